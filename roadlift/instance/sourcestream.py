"""Hear an aggregator, as an instance does that owns nothing."""

import zlib
from collections.abc import Callable

from roadlift.core.codec import read_fields
from roadlift.core.kernel import Kernel
from roadlift.core.logs import ComponentLog
from roadlift.core.loop import Timer
from roadlift.daemon.transport import Transport
from roadlift.decisions.sources import SOURCE_TIMEOUT, Candidate, Sources
from roadlift.instance.follower import Follower
from roadlift.instance.knowledge import Knowledge
from roadlift.instance.leases import Leases
from roadlift.serving.messages import (
    Digest,
    Heartbeat,
    HeartbeatReply,
    ListNews,
    OperatorNews,
    OwnerSign,
    Snapshot,
)
from roadlift.serving.newslog import unpack_changes
from roadlift.serving.position import NOWHERE, StorePosition
from roadlift.serving.telling import WholeTelling

BEAT_PERIOD = 0.25  # Seconds between heartbeats that ask for a reply.
PROBE_PERIOD = 1.0  # Seconds between looks whether others live.
# Seconds between heartbeats where calls have begun or ended since, for each
# subscriber of the aggregator, and at most.
TELL_PERIOD = 0.004
MOST_TELL_PERIOD = 0.25
# Seconds behind the start in which the operator's rows are read from the store
# alone; behind them an aggregator passes them on.
OWN_READ = 1.0

log = ComponentLog("subscription")


class SourceStream:
    """What an aggregator tells this process, and what it tells it.

    ``collect`` returns the WholeTelling, ``doubt`` has it tell all next.
    """

    def __init__(
        self,
        kernel: Kernel,
        collect: Callable[[], WholeTelling],
        doubt: Callable[[], None],
    ) -> None:
        self._kernel = kernel
        self._transport = kernel.get(Transport)
        self._knowledge = kernel.get(Knowledge)
        self._leases = kernel.get(Leases)
        self._follower = kernel.get(Follower)
        self._collect = collect
        self._doubt = doubt
        self._sources = Sources(self._order_zones())
        self._is_open = False
        self._stream = 0
        self._serial = 0
        self._list_serial = 0
        self._last_serial = 0
        self._is_passing_over = False
        self._members = 1
        self._beat_at = float("-inf")
        self._probe_at = float("-inf")
        self._started_at = kernel.clock.now()
        self._timer: Timer | None = None
        self._transport.subscribe((HeartbeatReply,), self._take_reply)
        self._transport.subscribe((Digest,), self._take_digest)
        self._transport.subscribe((Snapshot,), self._take_snapshot)
        self._transport.subscribe((ListNews,), self._take_list_news)
        self._transport.subscribe((OperatorNews,), self._take_operator_news)

    def _order_zones(self) -> list[str]:
        """Return the zones, the own first, the others as a hash has them."""
        own = self._kernel.settings.zone
        peer = self._kernel.settings.peer
        rank = lambda zone: zlib.crc32(f"{peer} {zone}".encode())
        others = [zone for zone in self._leases.list_zones() if zone != own]
        return [own, *sorted(others, key=rank)]

    @property
    def address(self) -> str:
        """Return the address of the aggregator that is heard, or empty."""
        return self._sources.current

    def open(self) -> None:
        """Begin to hear an aggregator."""
        self._is_open = True
        self._sources.current = ""
        self._forget_stream()

    def close(self) -> None:
        """Hear none any more."""
        if self._is_open:
            self._leave(self._sources.current)
        self._is_open = False
        if self._timer is not None:
            self._timer.close()
            self._timer = None

    def _forget_stream(self) -> None:
        self._stream = self._serial = self._list_serial = self._last_serial = 0
        self._doubt()

    def tick(self) -> None:
        """Choose the aggregator, and send what is due."""
        now = self._kernel.clock.now()
        before = self._sources.current
        candidates = self._list_candidates()
        address = self._sources.choose(candidates, now)
        if address != before:
            log.event("source_chosen", address=address, before=before)
            self._leave(before)
            self._forget_stream()
            self._beat_at = float("-inf")
        if now - self._beat_at >= BEAT_PERIOD - TELL_PERIOD:
            self.beat(True)
        self._probe_others(candidates, now)
        if self._sources.is_alive(now):
            self._follower.note_heard(now + SOURCE_TIMEOUT, self._members)
            self._leases.note_members(self._members)

    def _list_candidates(self) -> dict[str, Candidate]:
        """Return the owners that are known, by zone."""
        ages = {one.zone: one.list_age for one in self._knowledge.list_signs()}
        found = {}
        for zone in self._leases.list_zones():
            address = self._leases.find_owner(zone)
            if address:
                age = ages.get(zone, float("inf"))
                found[zone] = Candidate(zone, address, age)
        return found

    def _probe_others(self, candidates: dict[str, Candidate], now: float) -> None:
        """Ask for a sign of the aggregators that may be heard next."""
        if now - self._probe_at < PROBE_PERIOD:
            return
        self._probe_at = now
        for address in self._sources.list_probe_targets(candidates):
            self._send(address, WholeTelling(0, False, []), True, now)

    def _leave(self, address: str) -> None:
        """Tell an aggregator that this process subscribes no more."""
        if address:
            self._send(address, WholeTelling(0, False, []), True, 0.0)

    def plan(self) -> None:
        """Tell the aggregator of calls before long."""
        if self._is_open and self._timer is None:
            period = min(MOST_TELL_PERIOD, TELL_PERIOD * self._members)
            self._timer = self._kernel.loop.call_later(period, lambda: self.beat(False))

    def beat(self, wants_reply: bool) -> None:
        """Send a heartbeat."""
        if self._timer is not None:
            self._timer.close()
            self._timer = None
        if not self._is_open or not self._sources.current:
            return
        now = self._kernel.clock.now()
        if wants_reply:
            self._beat_at = now
        at = now if wants_reply else 0.0
        is_sent = self._send(self._sources.current, self._collect(), False, at)
        if not is_sent:
            # The way is being opened; what was told is lost with the message.
            self._doubt()
            self._beat_at = float("-inf")

    def _send(
        self, address: str, telling: WholeTelling, is_probe: bool, at: float
    ) -> bool:
        """Send a heartbeat; False means that it was dropped."""
        is_candidate = self._leases.is_candidate and self._follower.is_reachable
        heartbeat = Heartbeat(
            self._kernel.settings.peer,
            self._kernel.settings.zone,
            is_candidate,
            self._kernel.settings.link_mbps,
            is_probe,
            self._stream,
            self._serial,
            self._serial < self._last_serial,
            self._list_serial,
            self._measure_operator_place(),
            at,
            *telling,
        )
        return self._transport.send(address, heartbeat)

    def _measure_operator_place(self) -> int:
        """Return the newest row known, or -1 while all are being read."""
        position = self._follower.operator_position
        is_reading = self._kernel.clock.now() - self._started_at < OWN_READ
        return -1 if position == NOWHERE and is_reading else position.pack()

    # What aggregators tell.

    def _take_reply(self, sender: str, reply: HeartbeatReply) -> None:
        if not self._is_open:
            return
        for fields in reply.owners:
            self._knowledge.note_sign(read_fields(OwnerSign, fields))
        address = reply.address
        age = reply.list_age
        if reply.asked_at:
            self._sources.record_reply(address, reply.asked_at, age, reply.is_serving)
        if address != self._sources.current:
            return
        if reply.stream != self._stream:
            self._stream, self._serial, self._list_serial = reply.stream, -1, 0
        self._last_serial = reply.serial
        self._members = max(1, reply.members)
        self._knowledge.note_instances("", reply.instances)
        if not reply.is_complete:
            self._doubt()
            self.plan()
        if reply.asked_at:
            known = StorePosition.unpack(reply.operator_place)
            self._follower.note_operator_state(
                known, reply.operator_age, reply.asked_at
            )
        if reply.asked_at and reply.list_serial == self._list_serial:
            listed = StorePosition.unpack(reply.list_place)
            self._follower.note_state(listed, age, reply.asked_at)

    def _take_digest(self, sender: str, digest: Digest) -> None:
        if not self._is_open or digest.stream != self._stream:
            return
        if digest.serial <= self._serial:
            return
        if digest.since <= self._serial:
            # Behind a gap the serial stays, so that what lacks is sent.
            self._serial = digest.serial
        self._last_serial = max(self._last_serial, digest.serial)
        if digest.loads:
            self._knowledge.take_loads(digest.loads)
        changes = list(unpack_changes(digest.changes))
        if changes:
            self._knowledge.take_changes(changes)

    def _take_snapshot(self, sender: str, snapshot: Snapshot) -> None:
        if not self._is_open or snapshot.stream != self._stream:
            return
        self._serial = max(self._serial, snapshot.serial)
        self._knowledge.take_loads(snapshot.loads)
        self._knowledge.take_listing(snapshot.engines)

    def _take_list_news(self, sender: str, news: ListNews) -> None:
        if not self._is_open or news.stream != self._stream:
            return
        if StorePosition.unpack(news.place) < self._follower.list_position:
            # An aggregator that is cut from the store knows less than this.
            self._log_passed_over(news)
            return
        self._is_passing_over = False
        if news.is_whole or news.serial == self._list_serial + 1:
            # Behind a gap the next heartbeat brings the whole list.
            self._list_serial = news.serial
            self._follower.relay_list(news)

    def _log_passed_over(self, news: ListNews) -> None:
        """Tell of the first list of a row that is older than the own one."""
        if not self._is_passing_over:
            self._is_passing_over = True
            told = StorePosition.unpack(news.place)
            known = self._follower.list_position
            log.event("list_passed_over", told=list(told), known=list(known))

    def _take_operator_news(self, sender: str, news: OperatorNews) -> None:
        if self._is_open and news.stream == self._stream:
            self._follower.relay_operator(news)
