"""Own the zones whose lease this process holds."""

from roadlift.core.kernel import Kernel, parts
from roadlift.daemon.transport import Transport
from roadlift.instance.follower import Follower
from roadlift.instance.leases import MIN_OWNER_LINK_MBPS, Leases
from roadlift.instance.term import Term, deny
from roadlift.serving.calls import Model
from roadlift.serving.messages import (
    Ask,
    Heartbeat,
    Subscribe,
)

# Seconds between hand-backs of one zone's lease to the zone's own instances:
# where none of them takes it, the zone has no owner for some seconds.
HAND_BACK_PERIOD = 10.0


@parts.register("owner")
class Owner:
    """The terms of this process as an owner."""

    name = "owner"
    needs = (
        "crashledger",
        "follower",
        "leases",
        "measures",
        "standings",
        "transport",
    )

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._leases = kernel.get(Leases)
        self._terms: dict[str, Term] = {}
        self._handed_back: dict[str, float] = {}
        self._timer = None
        follower = kernel.get(Follower)
        follower.on_directory.append(self._update)
        follower.on_configuration.append(lambda configuration: self._update())
        follower.on_version.append(self._take_version)
        self._leases.on_change.append(self._check_zone)
        transport = kernel.get(Transport)
        transport.subscribe((Subscribe,), self._take_subscription)

    def start(self) -> None:
        """Begin to look after the subscribers."""
        self._timer = self._kernel.loop.call_every(1.0, self._tick)

    def close(self) -> None:
        """Give no more orders."""
        self._timer.close()
        for term in self._terms.values():
            term.close()

    def list_terms(self) -> list[Term]:
        """Return the terms of the zones that this process owns."""
        return list(self._terms.values())

    def _check_zone(self, zone: str) -> None:
        lease = self._leases.get(zone)
        term = self._terms.get(zone)
        if term is not None and (not lease.is_held or term.fence != lease.fence):
            self._terms.pop(zone).close()
            term = None
        if lease.is_held and term is None:
            self._terms[zone] = Term(self._kernel, zone, lease.fence)
            self._terms[zone].update()

    def _update(self) -> None:
        for term in self._terms.values():
            term.update()

    def _take_version(self, model: Model, version: int) -> None:
        for term in self._terms.values():
            term.take_version(model, version)

    def _take_subscription(self, sender: str, message: Subscribe) -> None:
        term = self._terms.get(message.zone)
        if term is None:
            return
        term.take_subscription(message)

    def consider_hand_back(self, message: Heartbeat) -> None:
        """Give a lease back where a subscriber is better placed for it.

        That is one of the zone itself, one whose link bears what an owner
        sends where this process's does not, or any one where this process
        reaches none of the zone's engines. When the zone is cut off, an owner
        inside it goes on for a while.
        """
        zone = message.home
        settings = self._kernel.settings
        if zone not in self._terms or not message.is_candidate:
            return
        is_weak = settings.link_mbps < MIN_OWNER_LINK_MBPS <= message.link_mbps
        is_lost = self._terms[zone].reaches_none
        if zone == settings.zone and not is_weak and not is_lost:
            return
        now = self._kernel.clock.now()
        last = self._handed_back.get(zone, float("-inf"))
        is_due = now - last >= HAND_BACK_PERIOD
        if is_due and self._leases.get(zone).may_order(now):
            self._handed_back[zone] = now
            self._leases.release_zone(zone)

    def take_ask(self, message: Ask) -> None:
        """Load an adapter, or deny it where this process does not own it."""
        term = self._terms.get(message.zone)
        if term is not None:
            term.take_ask(message)
            return
        deny(self._kernel.get(Transport), message)

    def _tick(self) -> None:
        for term in self._terms.values():
            term.tick()
