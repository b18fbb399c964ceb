"""Exchange messages with the owners of all zones, as an aggregator does."""

from collections.abc import Callable

from roadlift.core.kernel import Kernel
from roadlift.core.loop import Timer
from roadlift.daemon.transport import Transport
from roadlift.instance.knowledge import Knowledge
from roadlift.instance.leases import Leases
from roadlift.serving.messages import (
    EngineLoads,
    Listing,
    News,
    OwnerLiveness,
    Pulse,
    Subscribe,
)
from roadlift.serving.updatelog import unpack_changes
from roadlift.serving.usagereports import UsageReport

SUBSCRIBE_INTERVAL = 0.25  # Maximum seconds between messages to each owner.
# Seconds before a message to an owner after calls have begun or ended. An
# aggregator collects the changes of all its subscribers in that time.
REPORT_DELAY = 0.05


class OwnerStreams:
    """Receives updates from the owners, and sends them usage reports.

    ``collect`` returns the report for a zone as a ``UsageReport``;
    ``request_full_report`` makes the next report for a zone a full one;
    ``count_members`` returns the number of instances that a report covers.
    """

    def __init__(
        self,
        kernel: Kernel,
        collect: Callable[[str], UsageReport],
        request_full_report: Callable[[str], None],
        count_members: Callable[[], int],
    ) -> None:
        self._kernel = kernel
        self._transport = kernel.get(Transport)
        self._knowledge = kernel.get(Knowledge)
        self._leases = kernel.get(Leases)
        self._collect_report = collect
        self._request_full_report = request_full_report
        self._count_members = count_members
        self._is_open = False
        self._known: dict[str, tuple[int, int]] = {}
        self._pulses: dict[str, tuple[int, int]] = {}
        self._sent_at: dict[str, float] = {}
        self._timers: dict[str, Timer] = {}
        self._transport.subscribe((Pulse,), self._handle_pulse)
        self._transport.subscribe((EngineLoads,), self._handle_loads)
        self._transport.subscribe((Listing,), self._handle_listing)
        self._transport.subscribe((News,), self._handle_update)

    def open(self) -> None:
        """Start subscribing; each owner then sends its full state again."""
        self._is_open = True
        self._known.clear()
        self._pulses.clear()
        self._sent_at.clear()

    def close(self) -> None:
        """Stop subscribing."""
        self._is_open = False
        for timer in self._timers.values():
            timer.close()
        self._timers.clear()

    def tick(self) -> None:
        """Subscribe to the owners that were sent no message recently."""
        now = self._kernel.clock.now()
        for zone in self._leases.list_zones():
            last = self._sent_at.get(zone, float("-inf"))
            if now - last >= SUBSCRIBE_INTERVAL - REPORT_DELAY:
                self.send_subscription(zone)

    def schedule_subscription(self, zone: str) -> None:
        """Schedule a message to a zone's owner, unless one is scheduled."""
        if self._is_open and zone not in self._timers:
            self._timers[zone] = self._kernel.loop.call_later(
                REPORT_DELAY, lambda: self.send_subscription(zone)
            )

    def send_subscription(self, zone: str) -> None:
        """Send a zone's owner a subscription with a usage report."""
        timer = self._timers.pop(zone, None)
        if timer is not None:
            timer.close()
        owner = self._leases.find_owner(zone)
        if owner is None or not self._is_open:
            return
        self._sent_at[zone] = self._kernel.clock.now()
        fence, serial = self._known.get(zone, (0, 0))
        is_lacking = (fence, serial) < self._pulses.get(zone, (0, 0))
        subscription = Subscribe(
            self._kernel.settings.peer,
            zone,
            fence,
            serial,
            is_lacking,
            self._count_members(),
            *self._collect_report(zone),
        )
        self._transport.send(owner, subscription)

    def _handle_pulse(self, sender: str, pulse: Pulse) -> None:
        if not self._is_open:
            return
        self._pulses[pulse.zone] = (pulse.fence, pulse.serial)
        address = self._leases.find_owner(pulse.zone) or ""
        self._knowledge.record_owner_liveness(
            OwnerLiveness(
                pulse.zone, address, pulse.fence, pulse.is_ready, 0.0, pulse.list_age
            )
        )
        now = self._kernel.clock.now()
        self._knowledge.fleet_size.record_zone(pulse.zone, pulse.instances, now)
        if pulse.loads:
            self._knowledge.apply_loads(pulse.loads)
        if not pulse.is_complete:
            self._request_full_report(pulse.zone)
            self.schedule_subscription(pulse.zone)

    def _handle_loads(self, sender: str, loads: EngineLoads) -> None:
        if loads.zone in self._pulses:
            self._knowledge.apply_loads(loads.loads)

    def _handle_listing(self, sender: str, listing: Listing) -> None:
        fence, _ = self._known.get(listing.zone, (0, 0))
        if not self._is_open or listing.fence < fence:
            return
        self._known[listing.zone] = (listing.fence, listing.serial)
        self._knowledge.apply_listing(listing.engines)

    def _handle_update(self, sender: str, update: News) -> None:
        if self._is_open and self._record_serial(update):
            self._knowledge.apply_changes(list(unpack_changes(update.changes)))

    def _record_serial(self, update: News) -> bool:
        """Record the serial of an owner's update; return False if it is known.

        After a gap the serial stays, so that the owner sends the missing
        updates.
        """
        fence, serial = self._known.get(update.zone, (0, 0))
        if update.fence < fence or (update.fence == fence and update.serial <= serial):
            return False
        if update.fence == fence and update.since <= serial:
            self._known[update.zone] = (update.fence, update.serial)
        return True
