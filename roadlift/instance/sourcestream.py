"""Exchange messages with an aggregator, as an instance without a zone does."""

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
    OwnerLiveness,
    Snapshot,
)
from roadlift.serving.position import ZERO_POSITION, StorePosition
from roadlift.serving.updatelog import unpack_changes
from roadlift.serving.usagereports import AllZonesReport

HEARTBEAT_INTERVAL = 0.25  # Seconds between heartbeats that request a reply.
PROBE_INTERVAL = 1.0  # Seconds between probes of other aggregators.
# Seconds between heartbeats after calls have begun or ended, per subscriber of
# the aggregator, and the maximum in total.
REPORT_INTERVAL = 0.004
MAX_REPORT_INTERVAL = 0.25
# Seconds after the start in which the operator's rows are read only from the
# store; after that, an aggregator relays them.
DIRECT_READ_WINDOW = 1.0

log = ComponentLog("subscription")


class SourceStream:
    """Receives updates from an aggregator, and sends it usage reports.

    ``collect`` returns the report as a ``AllZonesReport``;
    ``request_full_report`` makes the next report a full one.
    """

    def __init__(
        self,
        kernel: Kernel,
        collect: Callable[[], AllZonesReport],
        request_full_report: Callable[[], None],
    ) -> None:
        self._kernel = kernel
        self._transport = kernel.get(Transport)
        self._knowledge = kernel.get(Knowledge)
        self._leases = kernel.get(Leases)
        self._follower = kernel.get(Follower)
        self._collect_report = collect
        self._request_full_report = request_full_report
        self._sources = Sources(self._order_zones())
        self._is_open = False
        self._stream = 0
        self._serial = 0
        self._list_serial = 0
        self._last_serial = 0
        self._is_ignoring_lists = False
        self._members = 1
        self._beat_at = float("-inf")
        self._probe_at = float("-inf")
        self._started_at = kernel.clock.now()
        self._timer: Timer | None = None
        self._transport.subscribe((HeartbeatReply,), self._handle_reply)
        self._transport.subscribe((Digest,), self._handle_digest)
        self._transport.subscribe((Snapshot,), self._handle_snapshot)
        self._transport.subscribe((ListNews,), self._handle_list_update)
        self._transport.subscribe((OperatorNews,), self._handle_operator_update)

    def _order_zones(self) -> list[str]:
        """Return the local zone, then the remote zones ordered by a hash."""
        local = self._kernel.settings.zone
        peer = self._kernel.settings.peer
        rank = lambda zone: zlib.crc32(f"{peer} {zone}".encode())
        remote = [zone for zone in self._leases.list_zones() if zone != local]
        return [local, *sorted(remote, key=rank)]

    @property
    def address(self) -> str:
        """Return the address of the aggregator in use, or an empty string."""
        return self._sources.current

    def open(self) -> None:
        """Start receiving updates from an aggregator."""
        self._is_open = True
        self._sources.current = ""
        self._forget_stream()

    def close(self) -> None:
        """Unsubscribe, and stop receiving updates."""
        if self._is_open:
            self._unsubscribe(self._sources.current)
        self._is_open = False
        if self._timer is not None:
            self._timer.close()
            self._timer = None

    def _forget_stream(self) -> None:
        self._stream = self._serial = self._list_serial = self._last_serial = 0
        self._request_full_report()

    def tick(self) -> None:
        """Choose the aggregator; send heartbeats and probes that are due."""
        now = self._kernel.clock.now()
        before = self._sources.current
        candidates = self._list_candidates()
        address = self._sources.choose(candidates, now)
        if address != before:
            log.event("source_chosen", address=address, before=before)
            self._unsubscribe(before)
            self._forget_stream()
            self._beat_at = float("-inf")
        if now - self._beat_at >= HEARTBEAT_INTERVAL - REPORT_INTERVAL:
            self.send_heartbeat(True)
        self._probe_others(candidates, now)
        if self._sources.is_alive(now):
            self._follower.record_source_alive(now + SOURCE_TIMEOUT, self._members)
            self._leases.record_subscriber_count(self._members)

    def _list_candidates(self) -> dict[str, Candidate]:
        """Return the known owners by zone."""
        ages = {
            owner.zone: owner.list_age
            for owner in self._knowledge.list_owner_liveness()
        }
        found = {}
        for zone in self._leases.list_zones():
            address = self._leases.find_owner(zone)
            if address:
                age = ages.get(zone, float("inf"))
                found[zone] = Candidate(zone, address, age)
        return found

    def _probe_others(self, candidates: dict[str, Candidate], now: float) -> None:
        """Probe the aggregators that may be chosen next."""
        if now - self._probe_at < PROBE_INTERVAL:
            return
        self._probe_at = now
        for address in self._sources.list_probe_targets(candidates):
            self._send(address, AllZonesReport(0, False, [], []), True, now)

    def _unsubscribe(self, address: str) -> None:
        """Unsubscribe from an aggregator."""
        if address:
            self._send(address, AllZonesReport(0, False, [], []), True, 0.0)

    def schedule_heartbeat(self) -> None:
        """Schedule a heartbeat that reports calls, unless one is scheduled."""
        if self._is_open and self._timer is None:
            interval = min(MAX_REPORT_INTERVAL, REPORT_INTERVAL * self._members)
            self._timer = self._kernel.loop.call_later(
                interval, lambda: self.send_heartbeat(False)
            )

    def send_heartbeat(self, wants_reply: bool) -> None:
        """Send a heartbeat with a usage report."""
        if self._timer is not None:
            self._timer.close()
            self._timer = None
        if not self._is_open or not self._sources.current:
            return
        now = self._kernel.clock.now()
        if wants_reply:
            self._beat_at = now
        at = now if wants_reply else 0.0
        is_sent = self._send(self._sources.current, self._collect_report(), False, at)
        if not is_sent:
            # The connection is still being opened. The message was dropped,
            # and its report with it.
            self._request_full_report()
            self._beat_at = float("-inf")

    def _send(
        self, address: str, report: AllZonesReport, is_probe: bool, at: float
    ) -> bool:
        """Send a heartbeat; return False if it was dropped."""
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
            self._compute_operator_position(),
            at,
            *report,
        )
        return self._transport.send(address, heartbeat)

    def _compute_operator_position(self) -> int:
        """Return the packed position of the newest known operator's row.

        It is -1 while all rows are still being read.
        """
        position = self._follower.operator_position
        is_reading = self._kernel.clock.now() - self._started_at < DIRECT_READ_WINDOW
        return -1 if position == ZERO_POSITION and is_reading else position.pack()

    # Messages from aggregators.

    def _handle_reply(self, sender: str, reply: HeartbeatReply) -> None:
        if not self._is_open:
            return
        for fields in reply.owners:
            self._knowledge.record_owner_liveness(read_fields(OwnerLiveness, fields))
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
        now = self._kernel.clock.now()
        self._knowledge.fleet_size.record_total(reply.instances, now)
        if not reply.is_complete:
            self._request_full_report()
            self.schedule_heartbeat()
        if reply.asked_at:
            known = StorePosition.unpack(reply.operator_place)
            self._follower.record_operator_state(
                known, reply.operator_age, reply.asked_at
            )
        if reply.asked_at and reply.list_serial == self._list_serial:
            listed = StorePosition.unpack(reply.list_place)
            self._follower.record_list_state(listed, age, reply.asked_at)

    def _handle_digest(self, sender: str, digest: Digest) -> None:
        if not self._is_open or digest.stream != self._stream:
            return
        if digest.serial <= self._serial:
            return
        if digest.since <= self._serial:
            # After a gap the serial stays, so that the aggregator sends the
            # missing updates.
            self._serial = digest.serial
        self._last_serial = max(self._last_serial, digest.serial)
        if digest.loads:
            self._knowledge.apply_loads(digest.loads)
        changes = list(unpack_changes(digest.changes))
        if changes:
            self._knowledge.apply_changes(changes)

    def _handle_snapshot(self, sender: str, snapshot: Snapshot) -> None:
        if not self._is_open or snapshot.stream != self._stream:
            return
        self._serial = max(self._serial, snapshot.serial)
        self._knowledge.apply_loads(snapshot.loads)
        self._knowledge.apply_listing(snapshot.engines)

    def _handle_list_update(self, sender: str, update: ListNews) -> None:
        if not self._is_open or update.stream != self._stream:
            return
        if StorePosition.unpack(update.place) < self._follower.list_position:
            # An aggregator that cannot reach the store has an older list.
            self._log_ignored_list(update)
            return
        self._is_ignoring_lists = False
        if update.is_whole or update.serial == self._list_serial + 1:
            # After a gap the next heartbeat makes the aggregator send the
            # full list.
            self._list_serial = update.serial
            self._follower.apply_list_update(update)

    def _log_ignored_list(self, update: ListNews) -> None:
        """Log the first of several lists that are older than the local one."""
        if not self._is_ignoring_lists:
            self._is_ignoring_lists = True
            received = StorePosition.unpack(update.place)
            known = self._follower.list_position
            log.event("list_passed_over", told=list(received), known=list(known))

    def _handle_operator_update(self, sender: str, update: OperatorNews) -> None:
        if self._is_open and update.stream == self._stream:
            self._follower.apply_operator_update(update)
