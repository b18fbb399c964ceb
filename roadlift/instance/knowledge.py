"""Keep what this process knows of the engines and of their owners.

The owners of zones tell it, an aggregator passes it on. Whoever listens here
hears of each change once, whichever way it came.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from roadlift.core.codec import read_fields
from roadlift.core.kernel import Kernel, components
from roadlift.daemon.transport import Transport
from roadlift.decisions.workload import EngineLoad, Workload
from roadlift.instance.follower import Follower
from roadlift.instance.leases import Leases
from roadlift.serving.calls import Model
from roadlift.serving.health import Health
from roadlift.serving.messages import Denial, Loaded, OwnerSign
from roadlift.serving.newslog import Change
from roadlift.serving.residency import Residency

TICK = 0.1  # Seconds between looks for owners that fell silent.
# Seconds of silence behind which an owner is not asked: its sign comes each
# 0.25 s, and one that is lost on a link comes 0.2 to 0.6 s later. What an
# aggregator passes on is older by its own period.
OWNER_LIMIT = 0.9
# Seconds within which an owner is followed by another, or is back behind a
# restart of all: calls wait so long for one, and are refused behind that.
OWNER_RETURN = 1.2


class _Owner(NamedTuple):
    """The last sign of an owner, and when it and its list were new."""

    sign: OwnerSign
    heard_at: float
    list_at: float


@components.register("knowledge")
class Knowledge:
    """The adapters at engines, their loads, and the signs of owners.

    ``on_held`` is called with an adapter and an engine that has it now,
    ``on_changes`` with what changed at engines, ``on_loads`` when loads did,
    and ``on_denial`` with what an owner will not load.
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
        self._instances: dict[str, int] = {}
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
        transport.subscribe((Loaded,), self._take_loaded)
        transport.subscribe((Denial,), self._take_denial)

    def start(self) -> None:
        """Begin to look for owners that fell silent."""
        self._started_at = self._kernel.clock.now()
        self._timer = self._kernel.loop.call_every(TICK, self._pass_over_silent)

    def close(self) -> None:
        """Look no more."""
        self._timer.close()

    # What engines hold.

    def put(self, endpoint: str, model: Model, version: int) -> None:
        """Learn that an engine holds an adapter."""
        self.take_changes([Change(endpoint, *model, version)])

    def drop(self, endpoint: str, model: Model) -> None:
        """Learn that an engine does not hold an adapter."""
        self.take_changes([Change(endpoint, *model, -1)])

    def take_listing(self, engines: Iterable[list]) -> None:
        """Learn of all that engines hold; see Listing."""
        for endpoint, adapters in engines:
            held = {Model(base, name): version for base, name, version in adapters}
            known = self.residency.list_held(endpoint)
            gone = [
                Change(endpoint, *model, -1) for model in known if model not in held
            ]
            there = [
                Change(endpoint, *model, version) for model, version in held.items()
            ]
            self.take_changes([*gone, *there])

    def _take_loaded(self, sender: str, loaded: Loaded) -> None:
        model = Model(loaded.base, loaded.adapter)
        self.put(loaded.endpoint, model, loaded.version)

    def _take_denial(self, sender: str, denial: Denial) -> None:
        for listener in self.on_denial:
            listener(denial)

    def take_changes(self, changes: list[Change]) -> None:
        """Learn of changes, in order."""
        held = [self._take_change(change) for change in changes]
        for listener in self.on_changes:
            listener(changes)
        for change in filter(None, held):
            for listener in self.on_held:
                listener(Model(change.base, change.adapter), change.endpoint)

    def _take_change(self, change: Change) -> Change | None:
        """Take a change; return it if the engine holds the adapter by it."""
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
        """Return all that engines hold, as a Listing has it."""
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

    # How loaded they are.

    def take_loads(self, loads: Iterable[list]) -> None:
        """Learn how loaded engines are; see EngineLoads."""
        for endpoint, *fields in loads:
            known = self._follower.directory.get(endpoint)
            if known is None:
                continue
            load = read_fields(EngineLoad, fields)
            own = self.health.count_running(endpoint)
            self._loads[endpoint] = load
            self.workload.record_report(endpoint, known.zone, load, own)
        for listener in self.on_loads:
            listener()

    def list_loads(self) -> dict[str, EngineLoad]:
        """Return the loads of engines as they were told last."""
        return self._loads

    # The owners.

    def note_sign(self, sign: OwnerSign) -> None:
        """Learn of a sign of an owner, unless a later one is known."""
        now = self._kernel.clock.now()
        owner = _Owner(sign, now - sign.age, now - sign.age - sign.list_age)
        known = self._owners.get(sign.zone)
        if known is not None and owner.heard_at <= known.heard_at:
            return
        self._owners[sign.zone] = owner
        self._leases.note_owner(sign.zone, sign.address, sign.fence)
        if now - owner.heard_at < OWNER_LIMIT or not sign.is_ready:
            self._leases.note_sign(sign.zone, sign.is_ready)

    def list_signs(self) -> list[OwnerSign]:
        """Return the last sign of each owner, with its present age."""
        now = self._kernel.clock.now()
        return [
            owner.sign._replace(
                age=round(now - owner.heard_at, 3),
                list_age=round(owner.heard_at - owner.list_at, 3),
            )
            for owner in self._owners.values()
        ]

    def measure_silence(self, zone: str) -> float:
        """Return the seconds since a zone's owner gave its last sign."""
        owner = self._owners.get(zone)
        return self._kernel.clock.now() - owner.heard_at if owner else float("inf")

    def has_owner(self, zone: str) -> bool:
        """Tell whether a zone has an owner that may give orders."""
        owner = self._owners.get(zone)
        is_ready = owner is not None and owner.sign.is_ready
        return is_ready and self.measure_silence(zone) < OWNER_LIMIT

    def is_owner_due(self) -> bool:
        """Tell whether there was an owner a moment ago, or none yet."""
        heard = [one.heard_at for one in self._owners.values() if one.sign.is_ready]
        last = max(heard, default=self._started_at)
        return self._kernel.clock.now() - last < OWNER_RETURN

    def note_instances(self, teller: str, count: int) -> None:
        """Learn how many instances an owner or an aggregator knows of."""
        self._instances[teller] = count

    def count_instances(self) -> int:
        """Return how many instances there are, as far as is known."""
        return max(self._instances.values(), default=1)

    def _pass_over_silent(self) -> None:
        """Use no load that was told of the engines of a silent owner."""
        silent = [
            zone for zone in self._owners if self.measure_silence(zone) > OWNER_LIMIT
        ]
        self.workload.ignore_zones(silent)

    def _forget_gone(self) -> None:
        known = {endpoint.id for endpoint in self._follower.directory.list_all()}
        gone = [one for one in self.residency.list_endpoints() if one not in known]
        self.residency.forget(gone)
        self.workload.forget(known)
        self.health.forget(known)
        for endpoint in set(self._loads) - known:
            del self._loads[endpoint]
