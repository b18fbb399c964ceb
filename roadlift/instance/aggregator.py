"""Relay the state of all zones from their owners to subscribing instances.

An instance that owns a zone acts as the aggregator for the instances of that
zone, and for instances of other zones whose aggregator is unavailable. It
reports the calls of its subscribers to the owners together with its local
calls, so that an owner receives messages from a few aggregators rather than
from hundreds of instances.
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
from roadlift.serving.operatorrows import PackedRow
from roadlift.serving.position import StorePosition
from roadlift.serving.updatelog import (
    CatchUp,
    Change,
    ResendLimiter,
    UpdateLog,
    pack_changes,
)
from roadlift.serving.usage import Completeness

# Seconds between two digests, per subscriber, and the maximum in total. Each
# digest goes to all subscribers, so the interval grows with their number.
DIGEST_INTERVAL = 0.003
MAX_DIGEST_INTERVAL = 0.15
# Seconds without a heartbeat after which a subscriber is removed.
SUBSCRIBER_TIMEOUT = 4.0
# Seconds without a heartbeat after which a subscriber is no longer offered a
# lease; heartbeats are sent every 0.25 s.
SUCCESSOR_TIMEOUT = 1.0
# Maximum size in bytes of a batch of the operator's rows that is relayed, over
# all subscribers. Above that, each subscriber reads the store itself.
MAX_RELAYED_BYTES = 2_000_000
# Seconds before a reply that was dropped, because the connection was not open
# yet, is sent again, and how often that is tried.
OPENING_RETRY_DELAY = 0.03
MAX_RETRIES = 5
LOAD_REQUEST_TTL = 3.0  # Seconds for which the requester of a forwarded load is kept.


class Subscriber(NamedTuple):
    """A subscriber, and the time in seconds of its last heartbeat."""

    last_seen_at: float
    zone: str
    is_candidate: bool
    link_mbps: float


@components.register("aggregator")
class Aggregator:
    """The subscribers of this process, and the updates sent to them."""

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
        self._update_log = UpdateLog()
        self._changes: list[Change] = []
        self._reported_loads = ReportedLoads()
        self._digest_timer = None
        self._subscribers: dict[str, Subscriber] = {}
        self._successors: dict[str, Subscriber] = {}
        self._completeness = Completeness()
        self._list_serial = 1
        self._listed: dict[str, Endpoint] = {}
        self._kept: set[str] = set()
        self._list_resends = ResendLimiter()
        self._operator_resends = ResendLimiter()
        self._requesters: dict[tuple[str, Model], dict[str, float]] = {}
        self._timer = None
        self._subscription.count_members = lambda: len(self._subscribers)
        self._transport.subscribe((Heartbeat,), self._handle_heartbeat)
        self._transport.subscribe((Ask,), self._handle_load_request)
        self._knowledge.on_changes.append(self._handle_changes)
        self._knowledge.on_loads.append(self._schedule_digest)
        self._knowledge.on_denial.append(self._forward_denial)
        self._follower.on_directory.append(self._relay_list)
        self._follower.on_operator.append(self._relay_operator)
        self._leases.on_change.append(lambda zone: self._check_serving())
        self._leases.on_release.append(self._offer_lease)

    def start(self) -> None:
        """Start the periodic expiry of subscribers and load requests."""
        self._timer = self._kernel.loop.call_every(1.0, self._tick)

    def close(self) -> None:
        """Notify the subscribers that this process stops serving them."""
        self._timer.close()
        if self._digest_timer is not None:
            self._digest_timer.close()
        for address in self._subscribers:
            self._reply(address, 0.0, False)

    @property
    def _is_serving(self) -> bool:
        return bool(self._leases.list_held())

    def list_subscribers(self) -> list[str]:
        """Return the addresses of the subscribers."""
        return list(self._subscribers)

    def _offer_lease(self, zone: str) -> None:
        """Offer a released lease to the most suitable subscriber.

        Without the offer, a zone whose owner shuts down has no owner until
        one of its instances happens to read the lease's row.
        """
        now = self._kernel.clock.now()
        found = [
            (subscriber.link_mbps, subscriber.last_seen_at, address)
            for address, subscriber in {
                **self._successors,
                **self._subscribers,
            }.items()
            if subscriber.zone == zone and subscriber.is_candidate
            if now - subscriber.last_seen_at < SUCCESSOR_TIMEOUT
        ]
        if found:
            _, _, address = max(found)
            self._transport.send(address, HandOver(zone))

    def _check_serving(self) -> None:
        """Remove all subscribers if this process no longer holds a lease."""
        if self._is_serving:
            return
        self._successors = dict(self._subscribers) or self._successors
        for address in list(self._subscribers):
            self._reply(address, 0.0, False)
            self._forget(address)

    # The subscribers.

    def _handle_heartbeat(self, sender: str, message: Heartbeat) -> None:
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
        self._completeness.record(address, message.count, message.is_whole)
        self._subscription.record_member_usage(message)
        self._owner.consider_release(message)
        self._answer(message, MAX_RETRIES)

    def _answer(self, message: Heartbeat, tries: int) -> None:
        """Reply to a subscriber, and send it the updates that it lacks.

        The first message to an address opens the connection and is dropped.
        Sending the reply again shortly afterwards gives a new subscriber the
        full state within 0.2 s of its start instead of 0.9 s.
        """
        address = message.address
        if address not in self._subscribers:
            return
        is_complete = self._completeness.is_complete(address)
        if message.at or not is_complete:
            is_sent = self._reply(address, message.at, True)
            if not is_sent and tries:
                retry = lambda: self._answer(message, tries - 1)
                self._kernel.loop.call_later(OPENING_RETRY_DELAY, retry)
                return
        now = self._kernel.clock.now()
        self._catch_up(message, now)
        self._catch_up_list(message, now)
        self._catch_up_operator(message, now)

    def _reply(self, address: str, asked_at: float, is_serving: bool) -> bool:
        """Send a reply; return False if it was dropped."""
        follower = self._follower
        reply = HeartbeatReply(
            self._kernel.settings.peer,
            self._stream,
            self._update_log.serial,
            is_serving,
            self._completeness.is_complete(address),
            self._knowledge.fleet_size.get_known(self._kernel.clock.now()),
            1 + len(self._subscribers),
            [list(liveness) for liveness in self._knowledge.list_owner_liveness()],
            self._list_serial,
            follower.list_position.pack(),
            round(follower.compute_list_age(), 3),
            follower.operator_position.pack(),
            follower.compute_operator_age(),
            asked_at,
        )
        return self._transport.send(address, reply)

    def _forget(self, address: str) -> None:
        """Remove a subscriber that unsubscribed or timed out."""
        if self._subscribers.pop(address, None) is None:
            return
        self._completeness.forget(address)
        self._update_log.forget(address)
        self._list_resends.forget(address)
        self._operator_resends.forget(address)
        self._subscription.forget_member(address)

    def _tick(self) -> None:
        """Remove subscribers that timed out, and expired load requests."""
        now = self._kernel.clock.now()
        for address, subscriber in list(self._subscribers.items()):
            if now - subscriber.last_seen_at > SUBSCRIBER_TIMEOUT:
                self._forget(address)
                self._transport.disconnect(address)
        for key, requested in list(self._requesters.items()):
            recent = {
                address: at
                for address, at in requested.items()
                if now - at < LOAD_REQUEST_TTL
            }
            if recent:
                self._requesters[key] = recent
            else:
                del self._requesters[key]

    # The adapters that engines hold, and the engines' loads.

    def _handle_changes(self, changes: list[Change]) -> None:
        for change in changes:
            self._notify_requesters(change)
        if self._subscribers:
            self._changes += changes
            self._schedule_digest()

    def _schedule_digest(self) -> None:
        if self._digest_timer is None and self._subscribers:
            interval = min(
                MAX_DIGEST_INTERVAL, DIGEST_INTERVAL * len(self._subscribers)
            )
            self._digest_timer = self._kernel.loop.call_later(
                interval, self._send_digest
            )

    def _send_digest(self) -> None:
        """Send all subscribers the changes since the last digest."""
        self._digest_timer = None
        changes, self._changes = self._changes, []
        now = self._kernel.clock.now()
        loads = self._reported_loads.list_changed(self._knowledge.list_loads(), now)
        if not changes and not loads:
            return
        since = self._update_log.add(changes)
        packed = pack_changes(changes)
        digest = Digest(self._stream, since, self._update_log.serial, packed, loads)
        self._transport.send_all(self._subscribers, digest)

    def _catch_up(self, message: Heartbeat, now: float) -> None:
        """Send a subscriber the updates on engines that it lacks."""
        known = message.serial if message.stream == self._stream else None
        chosen = self._update_log.choose(
            message.address, known, message.is_lacking, now
        )
        if chosen is CatchUp.CHANGES:
            changes = pack_changes(self._update_log.list_since(known))
            digest = Digest(self._stream, known, self._update_log.serial, changes, [])
            self._transport.send(message.address, digest)
        elif chosen is CatchUp.ALL:
            loads = [
                [name, *load] for name, load in self._knowledge.list_loads().items()
            ]
            snapshot = Snapshot(
                self._stream,
                self._update_log.serial,
                self._knowledge.list_engines(),
                loads,
            )
            self._transport.send(message.address, snapshot)

    # The list of endpoints.

    def _relay_list(self) -> None:
        """Send the subscribers the changes in the list of endpoints."""
        directory = self._follower.directory
        kept = directory.list_retained()
        known = {
            endpoint.id: endpoint
            for endpoint in directory.list_all()
            if endpoint.id not in kept
        }
        changed = [
            endpoint
            for endpoint in known.values()
            if self._listed.get(endpoint.id) != endpoint
        ]
        gone = (set(self._listed) | self._kept) - set(known) - kept
        is_same = not changed and not gone and kept == self._kept
        self._listed = known
        self._kept = kept
        if is_same:
            return
        self._list_serial += 1
        if self._subscribers:
            update = self._build_list_update(changed, list(gone), False)
            self._transport.send_all(self._subscribers, update)

    def _build_list_update(
        self, changed: Iterable[Endpoint], gone: list[str], is_whole: bool
    ) -> ListNews:
        return ListNews(
            self._stream,
            self._list_serial,
            self._follower.list_position.pack(),
            is_whole,
            [encode_endpoint(endpoint) for endpoint in changed],
            gone,
            list(self._kept),
        )

    def _catch_up_list(self, message: Heartbeat, now: float) -> None:
        """Send a subscriber the full list of endpoints if it lacks changes."""
        is_known = message.stream == self._stream
        if is_known and message.list_serial == self._list_serial:
            self._list_resends.forget(message.address)
        elif self._list_resends.acquire(message.address, now):
            update = self._build_list_update(self._listed.values(), [], True)
            self._transport.send(message.address, update)

    # The operator's rows.

    def _relay_operator(self, since: StorePosition) -> None:
        """Relay the rows that are newer than a position."""
        if not self._subscribers or not self._is_serving:
            return
        rows = self._follower.operator_rows.list_since(since)
        size = sum(len(row.value or b"") for row in rows)
        if size * len(self._subscribers) <= MAX_RELAYED_BYTES:
            update = self._build_operator_update(since, rows)
            self._transport.send_all(self._subscribers, update)

    def _build_operator_update(
        self, since: StorePosition, rows: list[PackedRow]
    ) -> OperatorNews:
        packed = [list(row) for row in rows]
        age = self._follower.measure_row_age(row.key for row in rows)
        return OperatorNews(self._stream, since.pack(), packed, age)

    def _send_lost_rows(self, address: str) -> None:
        """Send a new subscriber the rows that the store has lost.

        An instance that starts after the store was restored from an older copy
        can read only the rows of that copy.
        """
        rows = self._follower.operator_rows.list_lost_by_store()
        if rows:
            update = self._build_operator_update(self._follower.operator_position, rows)
            self._transport.send(address, update)

    def _catch_up_operator(self, message: Heartbeat, now: float) -> None:
        """Send a subscriber the operator's rows that it lacks."""
        if message.stream != self._stream:
            self._send_lost_rows(message.address)
        known = StorePosition.unpack(message.operator_place)
        is_reading = message.operator_place < 0
        if is_reading or known >= self._follower.operator_position:
            self._operator_resends.forget(message.address)
        elif self._operator_resends.acquire(message.address, now):
            rows = self._follower.operator_rows.list_since(known)
            update = self._build_operator_update(known, rows)
            self._transport.send(message.address, update)

    # Load requests of subscribers.

    def _handle_load_request(self, sender: str, message: Ask) -> None:
        """Load an adapter, or forward the request to the zone's owner."""
        owner = self._leases.find_owner(message.zone)
        is_local = message.zone in self._leases.list_held()
        if is_local or message.is_forwarded or owner is None or not self._is_serving:
            self._owner.handle_load_request(message)
            return
        key = (message.endpoint, Model(message.base, message.adapter))
        requested = self._requesters.setdefault(key, {})
        requested[message.address] = self._kernel.clock.now()
        forwarded = message._replace(
            address=self._kernel.settings.peer, is_forwarded=True
        )
        self._transport.send(owner, forwarded)

    def _notify_requesters(self, change: Change) -> None:
        """Notify the requesters of an adapter that has been loaded."""
        if change.version < 0 or not change.base:
            return
        key = (change.endpoint, Model(change.base, change.adapter))
        for address in self._requesters.pop(key, ()):
            self._transport.send(address, Loaded(*change))

    def _forward_denial(self, denial: Denial) -> None:
        """Forward a denial to the instances that requested the load here."""
        key = (denial.endpoint, Model(denial.base, denial.adapter))
        for address in self._requesters.pop(key, ()):
            self._transport.send(address, denial)
