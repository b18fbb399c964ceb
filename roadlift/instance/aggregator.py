"""Pass on to other instances what the owners of all zones tell.

An instance that owns a zone serves the instances of the zone as an aggregator,
and those of others whose own is away. It tells the owners of its subscribers'
calls as of its own, so that an owner hears a few aggregators, not hundreds of
instances.
"""

import zlib
from collections.abc import Iterable
from typing import NamedTuple

from roadlift.core.kernel import Kernel, components
from roadlift.daemon.transport import Transport
from roadlift.decisions.workload import ReportedLoads
from roadlift.instance.follower import Follower
from roadlift.instance.knowledge import Knowledge
from roadlift.instance.leases import Leases
from roadlift.instance.owner import Owner
from roadlift.instance.subscription import Subscription
from roadlift.serving.calls import Model
from roadlift.serving.directory import Endpoint, encode_endpoint
from roadlift.serving.messages import (
    Ask,
    Denial,
    Digest,
    HandOver,
    Heartbeat,
    HeartbeatReply,
    ListNews,
    Loaded,
    OperatorNews,
    Snapshot,
)
from roadlift.serving.newslog import CatchUp, Change, NewsLog, Resends, pack_changes
from roadlift.serving.operatorrows import PackedRow
from roadlift.serving.position import StorePosition
from roadlift.serving.usage import Completeness

# Seconds for each subscriber between two digests, and at most: each goes to
# all of them.
DIGEST_PERIOD = 0.003
MOST_DIGEST_PERIOD = 0.15
SUBSCRIBER_LIMIT = 4.0  # Seconds of silence after which a subscriber is gone.
# Seconds of silence after which a subscriber is offered no lease: it sends a
# heartbeat each 0.25 s.
HEIR_LIMIT = 1.0
# Bytes of the operator's rows that are passed on to all subscribers at once;
# of more, each reads the store itself.
MOST_PASSED_ON = 2_000_000
OPENING_PAUSE = 0.03  # Seconds until a reply is sent again that was dropped.
MOST_TRIES = 5  # How often at most.
ASK_LIFE = 3.0  # Seconds for which an asking that was passed on is kept.


class Subscriber(NamedTuple):
    """An instance that subscribes, heard last at a time in seconds."""

    heard_at: float
    home: str
    is_candidate: bool
    link_mbps: float


@components.register("aggregator")
class Aggregator:
    """The instances that subscribe to this process, and what they are told."""

    name = "aggregator"
    needs = ("follower", "knowledge", "leases", "owner", "subscription", "transport")

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._transport = kernel.get(Transport)
        self._follower = kernel.get(Follower)
        self._knowledge = kernel.get(Knowledge)
        self._leases = kernel.get(Leases)
        self._owner = kernel.get(Owner)
        self._subscription = kernel.get(Subscription)
        process = f"{kernel.settings.peer} {kernel.started_at_ms}"
        self._stream = zlib.crc32(process.encode()) or 1
        self._news = NewsLog()
        self._changes: list[Change] = []
        self._told = ReportedLoads()
        self._digest_timer = None
        self._subscribers: dict[str, Subscriber] = {}
        self._heirs: dict[str, Subscriber] = {}
        self._completeness = Completeness()
        self._list_serial = 1
        self._listed: dict[str, Endpoint] = {}
        self._kept: set[str] = set()
        self._list_resends = Resends()
        self._operator_resends = Resends()
        self._askers: dict[tuple[str, Model], dict[str, float]] = {}
        self._timer = None
        self._subscription.count_members = lambda: len(self._subscribers)
        self._transport.subscribe((Heartbeat,), self._take_heartbeat)
        self._transport.subscribe((Ask,), self._take_ask)
        self._knowledge.on_changes.append(self._take_changes)
        self._knowledge.on_loads.append(self._plan_digest)
        self._knowledge.on_denial.append(self._pass_denial)
        self._follower.on_directory.append(self._relay_list)
        self._follower.on_operator.append(self._relay_operator)
        self._leases.on_change.append(lambda zone: self._check_serving())
        self._leases.on_hand_back.append(self._offer)

    def start(self) -> None:
        """Begin to look after the subscribers."""
        self._timer = self._kernel.loop.call_every(1.0, self._tick)

    def close(self) -> None:
        """Tell the subscribers to look for another."""
        self._timer.close()
        if self._digest_timer is not None:
            self._digest_timer.close()
        for address in self._subscribers:
            self._reply(address, 0.0, False)

    @property
    def _is_serving(self) -> bool:
        return bool(self._leases.list_held())

    def list_subscribers(self) -> list[str]:
        """Return the addresses of those that hear this process."""
        return list(self._subscribers)

    def _offer(self, zone: str) -> None:
        """Offer a lease that was given back to the best subscriber for it.

        Without it a zone whose owner leaves has none until one of its
        instances happens to read the row.
        """
        now = self._kernel.clock.now()
        found = [
            (one.link_mbps, one.heard_at, address)
            for address, one in {**self._heirs, **self._subscribers}.items()
            if one.home == zone and one.is_candidate
            if now - one.heard_at < HEIR_LIMIT
        ]
        if found:
            _, _, address = max(found)
            self._transport.send(address, HandOver(zone))

    def _check_serving(self) -> None:
        """Send the subscribers away where no lease is left."""
        if self._is_serving:
            return
        self._heirs = dict(self._subscribers) or self._heirs
        for address in list(self._subscribers):
            self._reply(address, 0.0, False)
            self._forget(address)

    # The subscribers.

    def _take_heartbeat(self, sender: str, message: Heartbeat) -> None:
        address = message.address
        if message.is_probe or not self._is_serving:
            self._forget(address)
            if message.at:
                self._reply(address, message.at, self._is_serving)
            return
        now = self._kernel.clock.now()
        self._subscribers[address] = Subscriber(
            now, message.home, message.is_candidate, message.link_mbps
        )
        self._completeness.note(address, message.count, message.is_whole)
        self._subscription.record_member(message)
        self._owner.consider_release(message)
        self._answer(message, MOST_TRIES)

    def _answer(self, message: Heartbeat, tries: int) -> None:
        """Reply to a subscriber, and send it what it lacks.

        A first message is dropped, as it opens the way. Sent again at once, a
        new subscriber knows all within 0.2 s of its start, not 0.9.
        """
        address = message.address
        if address not in self._subscribers:
            return
        is_complete = self._completeness.is_complete(address)
        if message.at or not is_complete:
            is_sent = self._reply(address, message.at, True)
            if not is_sent and tries:
                again = lambda: self._answer(message, tries - 1)
                self._kernel.loop.call_later(OPENING_PAUSE, again)
                return
        now = self._kernel.clock.now()
        self._catch_up(message, now)
        self._catch_up_list(message, now)
        self._catch_up_operator(message, now)

    def _reply(self, address: str, asked_at: float, is_serving: bool) -> bool:
        """Send a reply; False means that it was dropped."""
        follower = self._follower
        reply = HeartbeatReply(
            self._kernel.settings.peer,
            self._stream,
            self._news.serial,
            is_serving,
            self._completeness.is_complete(address),
            self._knowledge.count_instances(),
            1 + len(self._subscribers),
            [list(sign) for sign in self._knowledge.list_signs()],
            self._list_serial,
            follower.list_position.pack(),
            round(follower.measure_list_age(), 3),
            follower.operator_position.pack(),
            follower.measure_operator_age(),
            asked_at,
        )
        return self._transport.send(address, reply)

    def _forget(self, address: str) -> None:
        """Drop a subscriber that left or fell silent."""
        if self._subscribers.pop(address, None) is None:
            return
        self._completeness.forget(address)
        self._news.forget(address)
        self._list_resends.forget(address)
        self._operator_resends.forget(address)
        self._subscription.forget_member(address)

    def _tick(self) -> None:
        """Drop subscribers that fell silent, and askings that are over."""
        now = self._kernel.clock.now()
        for address, subscriber in list(self._subscribers.items()):
            if now - subscriber.heard_at > SUBSCRIBER_LIMIT:
                self._forget(address)
                self._transport.disconnect(address)
        for key, asked in list(self._askers.items()):
            recent = {one: at for one, at in asked.items() if now - at < ASK_LIFE}
            if recent:
                self._askers[key] = recent
            else:
                del self._askers[key]

    # What engines hold, and how loaded they are.

    def _take_changes(self, changes: list[Change]) -> None:
        for change in changes:
            self._answer_askers(change)
        if self._subscribers:
            self._changes += changes
            self._plan_digest()

    def _plan_digest(self) -> None:
        if self._digest_timer is None and self._subscribers:
            period = min(MOST_DIGEST_PERIOD, DIGEST_PERIOD * len(self._subscribers))
            self._digest_timer = self._kernel.loop.call_later(period, self._send_digest)

    def _send_digest(self) -> None:
        """Tell every subscriber what changed since the last time."""
        self._digest_timer = None
        changes, self._changes = self._changes, []
        now = self._kernel.clock.now()
        loads = self._told.list_changed(self._knowledge.list_loads(), now)
        if not changes and not loads:
            return
        since = self._news.add(changes)
        packed = pack_changes(changes)
        digest = Digest(self._stream, since, self._news.serial, packed, loads)
        self._transport.send_all(self._subscribers, digest)

    def _catch_up(self, message: Heartbeat, now: float) -> None:
        """Send a subscriber what it lacks of what is known of engines."""
        known = message.serial if message.stream == self._stream else None
        sent = self._news.choose(message.address, known, message.is_lacking, now)
        if sent is CatchUp.CHANGES:
            changes = pack_changes(self._news.list_since(known))
            digest = Digest(self._stream, known, self._news.serial, changes, [])
            self._transport.send(message.address, digest)
        elif sent is CatchUp.ALL:
            loads = [
                [name, *load] for name, load in self._knowledge.list_loads().items()
            ]
            snapshot = Snapshot(
                self._stream, self._news.serial, self._knowledge.list_engines(), loads
            )
            self._transport.send(message.address, snapshot)

    # The list of endpoints.

    def _relay_list(self) -> None:
        """Tell the subscribers what changed in the list."""
        directory = self._follower.directory
        kept = directory.list_kept()
        known = {one.id: one for one in directory.list_all() if one.id not in kept}
        changed = [one for one in known.values() if self._listed.get(one.id) != one]
        gone = (set(self._listed) | self._kept) - set(known) - kept
        is_same = not changed and not gone and kept == self._kept
        self._listed = known
        self._kept = kept
        if is_same:
            return
        self._list_serial += 1
        if self._subscribers:
            news = self._make_list_news(changed, list(gone), False)
            self._transport.send_all(self._subscribers, news)

    def _make_list_news(
        self, changed: Iterable[Endpoint], gone: list[str], is_whole: bool
    ) -> ListNews:
        return ListNews(
            self._stream,
            self._list_serial,
            self._follower.list_position.pack(),
            is_whole,
            [encode_endpoint(one) for one in changed],
            gone,
            list(self._kept),
        )

    def _catch_up_list(self, message: Heartbeat, now: float) -> None:
        """Send a subscriber the list of endpoints, if need be."""
        is_known = message.stream == self._stream
        if is_known and message.list_serial == self._list_serial:
            self._list_resends.forget(message.address)
        elif self._list_resends.take(message.address, now):
            news = self._make_list_news(self._listed.values(), [], True)
            self._transport.send(message.address, news)

    # The operator's rows.

    def _relay_operator(self, since: StorePosition) -> None:
        """Pass the rows on that are newer than a position."""
        if not self._subscribers or not self._is_serving:
            return
        rows = self._follower.operator_rows.list_since(since)
        size = sum(len(row.value or b"") for row in rows)
        if size * len(self._subscribers) <= MOST_PASSED_ON:
            news = self._make_operator_news(since, rows)
            self._transport.send_all(self._subscribers, news)

    def _make_operator_news(
        self, since: StorePosition, rows: Iterable[PackedRow]
    ) -> OperatorNews:
        return OperatorNews(self._stream, since.pack(), [list(row) for row in rows])

    def _tell_ahead(self, address: str) -> None:
        """Tell a new subscriber what the store lacks since it came back older.

        One that starts then knows of the copy alone.
        """
        rows = self._follower.operator_rows.list_ahead()
        if rows:
            news = self._make_operator_news(self._follower.operator_position, rows)
            self._transport.send(address, news)

    def _catch_up_operator(self, message: Heartbeat, now: float) -> None:
        """Send a subscriber the rows that it lacks."""
        if message.stream != self._stream:
            self._tell_ahead(message.address)
        known = StorePosition.unpack(message.operator_place)
        is_reading = message.operator_place < 0
        if is_reading or known >= self._follower.operator_position:
            self._operator_resends.forget(message.address)
        elif self._operator_resends.take(message.address, now):
            rows = self._follower.operator_rows.list_since(known)
            news = self._make_operator_news(known, rows)
            self._transport.send(message.address, news)

    # What subscribers ask for.

    def _take_ask(self, sender: str, message: Ask) -> None:
        """Load an adapter, or pass the asking on to its zone's owner."""
        owner = self._leases.find_owner(message.zone)
        is_own = message.zone in self._leases.list_held()
        if is_own or message.is_forwarded or owner is None or not self._is_serving:
            self._owner.handle_load_request(message)
            return
        key = (message.endpoint, Model(message.base, message.adapter))
        asked = self._askers.setdefault(key, {})
        asked[message.address] = self._kernel.clock.now()
        forwarded = message._replace(
            address=self._kernel.settings.peer, is_forwarded=True
        )
        self._transport.send(owner, forwarded)

    def _answer_askers(self, change: Change) -> None:
        """Tell at once those that asked for what is there now."""
        if change.version < 0 or not change.base:
            return
        key = (change.endpoint, Model(change.base, change.adapter))
        for address in self._askers.pop(key, ()):
            self._transport.send(address, Loaded(*change))

    def _pass_denial(self, denial: Denial) -> None:
        """Tell those that asked here that an adapter will not be loaded."""
        key = (denial.endpoint, Model(denial.base, denial.adapter))
        for address in self._askers.pop(key, ()):
            self._transport.send(address, denial)
