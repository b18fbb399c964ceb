"""Act as the owner of the zones whose lease this process holds."""

from roadlift.core.kernel import Kernel, components
from roadlift.daemon.transport import Transport
from roadlift.instance.follower import Follower
from roadlift.instance.leases import MIN_OWNER_LINK_MBPS, Leases
from roadlift.instance.provenloads import ProvenLoads
from roadlift.instance.term import Term, deny
from roadlift.serving.calls import Model
from roadlift.serving.messages import (
    Ask,
    Heartbeat,
    Subscribe,
)

# Seconds between two releases of one zone's lease in favour of other
# instances: if none of them acquires it, the zone has no owner for some
# seconds.
RELEASE_INTERVAL = 10.0


@components.register("owner")
class Owner:
    """The terms of this process as the owner of zones."""

    name = "owner"
    needs = (
        "crashledger",
        "follower",
        "leases",
        "measures",
        ProvenLoads.name,
        "standings",
        "transport",
    )

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._leases = kernel.get(Leases)
        self._terms: dict[str, Term] = {}
        self._released_at: dict[str, float] = {}
        self._timer = None
        follower = kernel.get(Follower)
        follower.on_directory.append(self._update_engines)
        follower.on_configuration.append(lambda configuration: self._update_engines())
        follower.on_version.append(self._handle_version)
        self._leases.on_change.append(self._update_term)
        transport = kernel.get(Transport)
        transport.subscribe((Subscribe,), self._handle_subscription)

    def start(self) -> None:
        """Begin to expire subscribers and requests."""
        self._timer = self._kernel.loop.call_every(1.0, self._tick)

    def close(self) -> None:
        """End all terms."""
        self._timer.close()
        for term in self._terms.values():
            term.close()

    def list_terms(self) -> list[Term]:
        """Return the terms of the zones that this process owns."""
        return list(self._terms.values())

    def _update_term(self, zone: str) -> None:
        lease = self._leases.get(zone)
        term = self._terms.get(zone)
        if term is not None and (not lease.is_held or term.fence != lease.fence):
            self._terms.pop(zone).close()
            term = None
        if lease.is_held and term is None:
            self._terms[zone] = Term(self._kernel, zone, lease.fence)
            self._terms[zone].update()

    def _update_engines(self) -> None:
        for term in self._terms.values():
            term.update()

    def _handle_version(self, model: Model, version: int) -> None:
        for term in self._terms.values():
            term.handle_version(model, version)

    def _handle_subscription(self, sender: str, message: Subscribe) -> None:
        term = self._terms.get(message.zone)
        if term is None:
            return
        term.handle_subscription(message)

    def consider_release(self, message: Heartbeat) -> None:
        """Release a lease if a subscriber is better placed to hold it.

        That is an instance of the zone itself; one with a link that is fast
        enough for an owner, if this process has a slower one; or any instance,
        if this process reaches none of the zone's engines. An owner inside the
        zone keeps working for a while when the zone is cut off. An owner that
        took the lease from one that reached none either keeps it: the engines
        are down, and each owner begins without the usage reports.
        """
        zone = message.home
        settings = self._kernel.settings
        if zone not in self._terms or not message.is_candidate:
            return
        is_weak = settings.link_mbps < MIN_OWNER_LINK_MBPS <= message.link_mbps
        term = self._terms[zone]
        is_lost = term.reaches_no_engine and term.measure_age() >= RELEASE_INTERVAL
        if zone == settings.zone and not is_weak and not is_lost:
            return
        now = self._kernel.clock.now()
        last = self._released_at.get(zone, float("-inf"))
        is_due = now - last >= RELEASE_INTERVAL
        if is_due and self._leases.get(zone).may_order(now):
            self._released_at[zone] = now
            self._leases.release_zone(zone)

    def handle_load_request(self, message: Ask) -> None:
        """Load an adapter, or deny it if this process is not the owner."""
        term = self._terms.get(message.zone)
        if term is not None:
            term.handle_load_request(message)
            return
        deny(self._kernel.get(Transport), message)

    def _tick(self) -> None:
        for term in self._terms.values():
            term.tick()
