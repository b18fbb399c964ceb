"""Hear the owners of all zones, as an aggregator does."""

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

SUBSCRIBE_PERIOD = 0.25  # Seconds between messages to each owner at most.
# The same where calls have begun or ended since: an aggregator gathers those
# of all its subscribers.
TELL_PERIOD = 0.05


class OwnerStreams:
    """What the owners tell this process, and what it tells them.

    ``collect`` returns the Telling for a zone, ``doubt`` has it tell all next,
    ``count_members`` returns for how many instances it is.
    """

    def __init__(
        self,
        kernel: Kernel,
        collect: Callable[[str], UsageReport],
        doubt: Callable[[str], None],
        count_members: Callable[[], int],
    ) -> None:
        self._kernel = kernel
        self._transport = kernel.get(Transport)
        self._knowledge = kernel.get(Knowledge)
        self._leases = kernel.get(Leases)
        self._collect = collect
        self._doubt = doubt
        self._count_members = count_members
        self._is_open = False
        self._known: dict[str, tuple[int, int]] = {}
        self._pulses: dict[str, tuple[int, int]] = {}
        self._told_at: dict[str, float] = {}
        self._timers: dict[str, Timer] = {}
        self._transport.subscribe((Pulse,), self._take_pulse)
        self._transport.subscribe((EngineLoads,), self._take_loads)
        self._transport.subscribe((Listing,), self._take_listing)
        self._transport.subscribe((News,), self._take_news)

    def open(self) -> None:
        """Begin to subscribe; all is told anew by each owner."""
        self._is_open = True
        self._known.clear()
        self._pulses.clear()
        self._told_at.clear()

    def close(self) -> None:
        """Subscribe no more."""
        self._is_open = False
        for timer in self._timers.values():
            timer.close()
        self._timers.clear()

    def tick(self) -> None:
        """Subscribe to the owners that were not told of late."""
        now = self._kernel.clock.now()
        for zone in self._leases.list_zones():
            last = self._told_at.get(zone, float("-inf"))
            if now - last >= SUBSCRIBE_PERIOD - TELL_PERIOD:
                self.tell(zone)

    def plan(self, zone: str) -> None:
        """Tell a zone's owner before long."""
        if self._is_open and zone not in self._timers:
            self._timers[zone] = self._kernel.loop.call_later(
                TELL_PERIOD, lambda: self.tell(zone)
            )

    def tell(self, zone: str) -> None:
        """Tell a zone's owner now."""
        timer = self._timers.pop(zone, None)
        if timer is not None:
            timer.close()
        owner = self._leases.find_owner(zone)
        if owner is None or not self._is_open:
            return
        self._told_at[zone] = self._kernel.clock.now()
        fence, serial = self._known.get(zone, (0, 0))
        is_lacking = (fence, serial) < self._pulses.get(zone, (0, 0))
        subscription = Subscribe(
            self._kernel.settings.peer,
            zone,
            fence,
            serial,
            is_lacking,
            self._count_members(),
            *self._collect(zone),
        )
        self._transport.send(owner, subscription)

    def _take_pulse(self, sender: str, pulse: Pulse) -> None:
        if not self._is_open:
            return
        self._pulses[pulse.zone] = (pulse.fence, pulse.serial)
        address = self._leases.find_owner(pulse.zone) or ""
        self._knowledge.note_sign(
            OwnerLiveness(
                pulse.zone, address, pulse.fence, pulse.is_ready, 0.0, pulse.list_age
            )
        )
        self._knowledge.note_instances(pulse.zone, pulse.instances)
        if pulse.loads:
            self._knowledge.take_loads(pulse.loads)
        if not pulse.is_complete:
            self._doubt(pulse.zone)
            self.plan(pulse.zone)

    def _take_loads(self, sender: str, loads: EngineLoads) -> None:
        if loads.zone in self._pulses:
            self._knowledge.take_loads(loads.loads)

    def _take_listing(self, sender: str, listing: Listing) -> None:
        fence, _ = self._known.get(listing.zone, (0, 0))
        if not self._is_open or listing.fence < fence:
            return
        self._known[listing.zone] = (listing.fence, listing.serial)
        self._knowledge.take_listing(listing.engines)

    def _take_news(self, sender: str, news: News) -> None:
        if self._is_open and self._note_serial(news):
            self._knowledge.take_changes(list(unpack_changes(news.changes)))

    def _note_serial(self, news: News) -> bool:
        """Follow an owner's news; False means that they are known.

        A gap leaves the serial behind, so that the owner sends what lacks.
        """
        fence, serial = self._known.get(news.zone, (0, 0))
        if news.fence < fence or (news.fence == fence and news.serial <= serial):
            return False
        if news.fence == fence and news.since <= serial:
            self._known[news.zone] = (news.fence, news.serial)
        return True
