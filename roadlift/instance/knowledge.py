"""Store what this process knows of the engines and of their owners.

The owners of zones send this state, directly or through an aggregator.
Listeners are notified once of each change, whichever way it arrived.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from roadlift.core.codec import read_fields
from roadlift.core.kernel import Kernel, components
from roadlift.daemon.transport import Transport
from roadlift.decisions.fleetsize import FleetSize
from roadlift.decisions.workload import EngineLoad, Workload
from roadlift.instance.follower import Follower
from roadlift.instance.leases import Leases
from roadlift.serving.calls import Model
from roadlift.serving.health import Health
from roadlift.serving.messages import Denial, Loaded, OwnerLiveness
from roadlift.serving.residency import Residency
from roadlift.serving.updatelog import Change

CHECK_INTERVAL = 0.1  # Seconds between checks for unresponsive owners.
# Seconds of inactivity after which an owner is sent no requests. Its liveness
# signal is sent every 0.25 s; if one is lost on a link, the next one arrives
# 0.2 to 0.6 s later. A signal that an aggregator relays is older by the
# aggregator's interval.
OWNER_TIMEOUT = 0.9
# Seconds within which an owner is replaced by another, or is back after all
# instances restarted. Calls wait for an owner for that time, and are refused
# afterwards.
OWNER_RETURN_TIMEOUT = 1.2
# Windows of the retry rule for which the largest number of instances is used:
# what was used by it has left the window then, and all know the smaller one.
COUNT_RETENTION = 1.2


class _Owner(NamedTuple):
    """The last liveness signal of an owner, and its and its list's times."""

    liveness: OwnerLiveness
    received_at: float
    list_at: float


@components.register("knowledge")
class Knowledge:
    """The adapters at engines, the engines' loads, and the owners' liveness.

    ``on_held`` is called with an adapter and an engine that now holds it,
    ``on_changes`` with the changes at engines, ``on_loads`` when loads have
    changed, and ``on_denial`` with a load that an owner denied.
    """

    name = "knowledge"
    needs = ("follower", "leases", "transport")

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._follower = kernel.get(Follower)
        self._leases = kernel.get(Leases)
        self._owners: dict[str, _Owner] = {}
        self._loads: dict[str, EngineLoad] = {}
        self._started_at = 0.0
        retention = COUNT_RETENTION * kernel.settings.retry_window
        self.fleet_size = FleetSize(self._leases.list_zones(), retention)
        self._timer = None
        self.residency = Residency()
        self.workload = Workload()
        self.health = Health()
        self.on_held: list[Callable[[Model, str], None]] = []
        self.on_changes: list[Callable[[list[Change]], None]] = []
        self.on_loads: list[Callable[[], None]] = []
        self.on_denial: list[Callable[[Denial], None]] = []
        self._follower.on_directory.append(self._forget_gone)
        self._follower.is_reader = lambda: bool(self._leases.list_held())
        transport = kernel.get(Transport)
        transport.subscribe((Loaded,), self._handle_loaded)
        transport.subscribe((Denial,), self._handle_denial)

    def start(self) -> None:
        """Start checking for unresponsive owners."""
        self._started_at = self._kernel.clock.now()
        self._timer = self._kernel.loop.call_every(
            CHECK_INTERVAL, self._ignore_unresponsive
        )

    def close(self) -> None:
        """Stop checking for unresponsive owners."""
        self._timer.close()

    # The adapters that engines hold.

    def put(self, endpoint: str, model: Model, version: int) -> None:
        """Record that an engine holds an adapter."""
        self.apply_changes([Change(endpoint, *model, version)])

    def drop(self, endpoint: str, model: Model) -> None:
        """Record that an engine does not hold an adapter."""
        self.apply_changes([Change(endpoint, *model, -1)])

    def apply_listing(self, engines: Iterable[list]) -> None:
        """Replace the adapters that engines hold; see ``Listing``."""
        for endpoint, adapters in engines:
            held = {Model(base, name): version for base, name, version in adapters}
            known = self.residency.list_held(endpoint)
            gone = [
                Change(endpoint, *model, -1) for model in known if model not in held
            ]
            there = [
                Change(endpoint, *model, version) for model, version in held.items()
            ]
            self.apply_changes([*gone, *there])

    def _handle_loaded(self, sender: str, loaded: Loaded) -> None:
        model = Model(loaded.base, loaded.adapter)
        self.put(loaded.endpoint, model, loaded.version)

    def _handle_denial(self, sender: str, denial: Denial) -> None:
        for listener in self.on_denial:
            listener(denial)

    def apply_changes(self, changes: list[Change]) -> None:
        """Apply changes in order."""
        held = [self._apply_change(change) for change in changes]
        for listener in self.on_changes:
            listener(changes)
        for change in filter(None, held):
            for listener in self.on_held:
                listener(Model(change.base, change.adapter), change.endpoint)

    def _apply_change(self, change: Change) -> Change | None:
        """Apply a change; return it if the engine now holds the adapter."""
        model = Model(change.base, change.adapter)
        if not change.base:
            self.residency.replace(change.endpoint, {})
        elif change.version < 0:
            self.residency.drop(change.endpoint, model)
        else:
            self.residency.put(change.endpoint, model, change.version)
            return change
        return None

    def list_engines(self) -> list:
        """Return the adapters that engines hold, as in ``Listing``."""
        return [
            [
                name,
                [
                    [*model, version]
                    for model, version in self.residency.list_held(name).items()
                ],
            ]
            for name in self.residency.list_endpoints()
        ]

    # The loads of engines.

    def apply_loads(self, loads: Iterable[list]) -> None:
        """Apply the reported loads of engines; see ``EngineLoads``."""
        for endpoint, *fields in loads:
            known = self._follower.directory.get(endpoint)
            if known is None:
                continue
            load = read_fields(EngineLoad, fields)
            local = self.health.count_running(endpoint)
            self._loads[endpoint] = load
            self.workload.record_report(endpoint, known.zone, load, local)
        for listener in self.on_loads:
            listener()

    def list_loads(self) -> dict[str, EngineLoad]:
        """Return the last reported load of each engine."""
        return self._loads

    # The owners.

    def record_owner_liveness(self, liveness: OwnerLiveness) -> None:
        """Record an owner's liveness signal, unless a later one is known."""
        now = self._kernel.clock.now()
        owner = _Owner(
            liveness, now - liveness.age, now - liveness.age - liveness.list_age
        )
        known = self._owners.get(liveness.zone)
        if known is not None and owner.received_at <= known.received_at:
            return
        self._owners[liveness.zone] = owner
        self._leases.record_owner(liveness.zone, liveness.address, liveness.fence)
        if now - owner.received_at < OWNER_TIMEOUT or not liveness.is_ready:
            self._leases.record_owner_alive(liveness.zone, liveness.is_ready)

    def list_owner_liveness(self) -> list[OwnerLiveness]:
        """Return each owner's last liveness signal, with its current age."""
        now = self._kernel.clock.now()
        return [
            owner.liveness._replace(
                age=round(now - owner.received_at, 3),
                list_age=round(owner.received_at - owner.list_at, 3),
            )
            for owner in self._owners.values()
        ]

    def compute_inactivity(self, zone: str) -> float:
        """Return the seconds since a zone's owner was last seen alive."""
        owner = self._owners.get(zone)
        return self._kernel.clock.now() - owner.received_at if owner else float("inf")

    def has_owner(self, zone: str) -> bool:
        """Return whether a zone has a live owner that may give orders."""
        owner = self._owners.get(zone)
        is_ready = owner is not None and owner.liveness.is_ready
        return is_ready and self.compute_inactivity(zone) < OWNER_TIMEOUT

    def is_owner_expected(self) -> bool:
        """Return whether an owner is expected to appear shortly.

        That is so if one was active recently, or if this process has just
        started.
        """
        received = [
            owner.received_at
            for owner in self._owners.values()
            if owner.liveness.is_ready
        ]
        last = max(received, default=self._started_at)
        return self._kernel.clock.now() - last < OWNER_RETURN_TIMEOUT

    def count_instances(self) -> int:
        """Return the number of instances that share what none can count."""
        return self.fleet_size.get(self._kernel.clock.now())

    def _ignore_unresponsive(self) -> None:
        """Ignore the reported loads of the engines of unresponsive owners."""
        unresponsive = [
            zone
            for zone in self._owners
            if self.compute_inactivity(zone) > OWNER_TIMEOUT
        ]
        self.workload.ignore_zones(unresponsive)

    def _forget_gone(self) -> None:
        known = {endpoint.id for endpoint in self._follower.directory.list_all()}
        gone = [
            endpoint
            for endpoint in self.residency.list_endpoints()
            if endpoint not in known
        ]
        self.residency.forget(gone)
        self.workload.forget(known)
        self.health.forget(known)
        for endpoint in set(self._loads) - known:
            del self._loads[endpoint]
