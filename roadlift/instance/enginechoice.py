"""Choose the engine of a call, from what is known of all engines."""

from roadlift.core.kernel import Kernel, components
from roadlift.decisions.homes import Regions, Scope
from roadlift.decisions.loading import AdapterSource, LoadWaits
from roadlift.decisions.placement import Engine, Option, Requirements, choose_engine
from roadlift.decisions.reading import ReadingTimes
from roadlift.instance.candidates import Candidates
from roadlift.instance.follower import Follower
from roadlift.instance.knowledge import Knowledge
from roadlift.instance.limits import EndpointLimits
from roadlift.serving.calls import Model
from roadlift.serving.directory import Endpoint
from roadlift.serving.selection import PreferredEndpoints

# Engines that are considered for one adapter, in addition to those that hold
# it. Many instances have the same view, some tenths of a second old, and would
# otherwise all choose the same engine; the preferred endpoints of different
# adapters differ.
MAX_CANDIDATES = 10


@components.register("enginechoice")
class EngineChoice:
    """Chooses engines by the expected wait of a call."""

    name = "enginechoice"
    needs = (Candidates.name, "follower", "knowledge", EndpointLimits.name)

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._zone = kernel.settings.zone
        self._regions = Regions.parse(kernel.settings.regions)
        self._candidates = kernel.get(Candidates)
        self._follower = kernel.get(Follower)
        self._knowledge = kernel.get(Knowledge)
        self._limits = kernel.get(EndpointLimits)
        self._preferred_endpoints = PreferredEndpoints()
        self.load_waits = LoadWaits()
        self.reading_times = ReadingTimes()
        self._follower.on_directory.append(self._remove_gone)

    def start(self) -> None:
        """Do nothing: engines are chosen as calls arrive."""

    def close(self) -> None:
        """Do nothing: there is nothing to close."""

    def find_best(
        self,
        scope: Scope,
        model: Model,
        requirements: Requirements,
        excluded: set[str],
    ) -> Option | None:
        """Return the best engine for a call, or None.

        The adapter may have to be loaded there first.
        """
        usable = self._candidates.list_usable(scope, excluded)
        engines = self._describe_engines(scope, usable, model)
        option = self._evaluate(engines, requirements)
        if option is not None:
            return option
        last_resort = self._candidates.list_last_resort(scope, excluded)
        return self.find_holder(scope, model, requirements, last_resort)

    def find_holder(
        self,
        scope: Scope,
        model: Model,
        requirements: Requirements,
        endpoints: list[Endpoint],
    ) -> Option | None:
        """Return the best of some engines that hold an adapter, or None."""
        if not endpoints:
            return None
        engines = [
            engine._replace(can_load=False)
            for engine in self._describe_engines(scope, endpoints, model)
        ]
        return self._evaluate(engines, requirements)

    def _evaluate(
        self, engines: list[Engine], requirements: Requirements
    ) -> Option | None:
        now = self._clock.now()
        return choose_engine(
            requirements, engines, self.reading_times, self.load_waits, now
        )

    def _describe_engines(
        self, scope: Scope, usable: list[Endpoint], model: Model
    ) -> list[Engine]:
        """Return the state of the engines that a call may be sent to."""
        min_version = self._follower.find_version(model) if model.adapter else 0
        ranked = self._list_candidates(scope.service, usable, model)
        return [
            self._describe(endpoint, rank, model, min_version)
            for rank, endpoint in enumerate(ranked)
            if endpoint.holds(model.base) and not self._limits.is_exhausted(endpoint.id)
        ]

    def _describe(
        self, endpoint: Endpoint, rank: int, model: Model, min_version: int
    ) -> Engine:
        workload = self._knowledge.workload
        token_time = workload.get_token_time(endpoint.id)
        self.reading_times.record_report(endpoint.id, token_time)
        return Engine(
            endpoint,
            workload.count_ahead(endpoint.id),
            workload.count_free_slots(endpoint.id),
            self._find_source(endpoint.id, model, min_version),
            rank,
            self._knowledge.has_owner(endpoint.zone),
            workload.measure_queue(endpoint.id),
            self._candidates.measure_wait(endpoint.id),
            self._limits.is_in_reserve(endpoint.id),
            self._regions.are_apart(endpoint.zone, self._zone),
            workload.count_running(
                endpoint.id, self._knowledge.health.count_running(endpoint.id)
            ),
            endpoint.slots,
            workload.measure_fill(endpoint.id),
        )

    def _list_candidates(
        self, service: str, usable: list[Endpoint], model: Model
    ) -> list[Endpoint]:
        """Return the engines for a model, preferred endpoints first."""
        if not model.adapter:
            return usable
        ranked = self._preferred_endpoints.rank(service, usable, model, MAX_CANDIDATES)
        holders = self._knowledge.residency.find(model)
        return ranked + [
            endpoint
            for endpoint in usable
            if endpoint.id in holders and endpoint not in ranked
        ]

    def _find_source(
        self, endpoint: str, model: Model, min_version: int
    ) -> AdapterSource:
        residency = self._knowledge.residency
        if not model.adapter or residency.holds(endpoint, model, min_version):
            return AdapterSource.HELD
        if residency.was_recently_held(endpoint, model, min_version):
            return AdapterSource.AT_HAND
        return AdapterSource.STORE

    def estimate_load_time(self, option: Option) -> float:
        """Return the seconds within which a load that starts now completes."""
        now = self._clock.now()
        return self.load_waits.estimate_upper_bound(option.engine.source, now)

    def estimate_reading_time(self, endpoint: str, tokens: int) -> float:
        """Return the seconds that an engine takes to read prompt tokens."""
        return self.reading_times.estimate(endpoint, self._clock.now()) * tokens

    def _remove_gone(self) -> None:
        listed = {endpoint.id for endpoint in self._follower.directory.list_all()}
        self.reading_times.forget(listed)
