"""Choose the endpoint of a call, and count the calls at endpoints."""

import random
from collections.abc import Iterable

from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.decisions.balancing import MAX_RETRY_FILL
from roadlift.decisions.homes import Scope
from roadlift.decisions.inactivity import InactivityMonitor
from roadlift.decisions.loading import AdapterSource, GenerationTimes
from roadlift.decisions.placement import Option, Requirements
from roadlift.decisions.reading import MIN_TOKENS
from roadlift.decisions.urgency import Urgency
from roadlift.instance.candidates import Candidates
from roadlift.instance.enginechoice import EngineChoice
from roadlift.instance.follower import Follower
from roadlift.instance.knowledge import Knowledge
from roadlift.instance.limits import EndpointLimits
from roadlift.instance.loadrequests import LoadRequests
from roadlift.instance.serviceloads import ServiceLoads
from roadlift.instance.subscription import Subscription
from roadlift.serving.calls import Call
from roadlift.serving.directory import Endpoint
from roadlift.serving.routes import Route
from roadlift.serving.selection import Load, choose_least_loaded
from roadlift.serving.speed import EngineSpeeds
from roadlift.serving.usagereports import PromptSample

INACTIVITY_CHECK_INTERVAL = 0.1  # Seconds between checks for unresponsive engines.

log = ComponentLog("placing")


@components.register("placing")
class Placement:
    """Chooses endpoints for calls."""

    name = "placing"
    needs = (
        Candidates.name,
        EngineChoice.name,
        "follower",
        "knowledge",
        EndpointLimits.name,
        LoadRequests.name,
        "serviceloads",
        "subscription",
    )

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._loop = kernel.loop
        self._zone = kernel.settings.zone
        self._candidates = kernel.get(Candidates)
        self._choice = kernel.get(EngineChoice)
        self._follower = kernel.get(Follower)
        self._knowledge = kernel.get(Knowledge)
        self._limits = kernel.get(EndpointLimits)
        self._load_requests = kernel.get(LoadRequests)
        self._service_loads = kernel.get(ServiceLoads)
        self._subscription = kernel.get(Subscription)
        self._rng = random.Random(kernel.started_at_ms)
        self._timer = None
        self.health = self._knowledge.health
        self.speeds = EngineSpeeds()
        self.generations = GenerationTimes()
        self.inactivity = InactivityMonitor()
        self.inactivity.on_responsive.append(self.health.record_answer)
        self._follower.on_directory.append(self._remove_gone)

    def start(self) -> None:
        """Start the periodic check for unresponsive engines."""
        self._timer = self._loop.call_every(
            INACTIVITY_CHECK_INTERVAL, self._check_inactivity
        )

    def close(self) -> None:
        """Stop the periodic check."""
        self._timer.close()

    # Plain services

    def choose_endpoint(self, scope: Scope, excluded: set[str]) -> Endpoint | None:
        """Return the endpoint of a plain service for a call, or None."""
        now = self._clock.now()
        usable = self._list_unreserved(scope, excluded, now)
        usable = usable or self._candidates.list_last_resort(scope, excluded)
        zone = self._service_loads.balancer.choose_zone(scope.service, usable, now)
        if zone is not None:
            usable = [one for one in usable if one.zone == zone] or usable
        return choose_least_loaded(
            usable, self._zone, self._weigh_running(usable, now), self._rng
        )

    def _list_unreserved(
        self, scope: Scope, excluded: set[str], now: float
    ) -> list[Endpoint]:
        """Return the endpoints that accept a plain call.

        Rate-limited endpoints are left out while the others have spare slots.
        """
        usable = self._candidates.list_below_limit(scope, excluded)
        unreserved = [one for one in usable if not self._limits.is_in_reserve(one.id)]
        fill = self._service_loads.balancer.compute_fill(scope.service, unreserved, now)
        return unreserved if unreserved and fill < MAX_RETRY_FILL else usable

    def check_admission(self, scope: Scope, objective: float) -> float | None:
        """Return None to admit a call, else the seconds until a retry.

        A call is refused if its service is too full to run it within
        ``objective`` seconds.
        """
        now = self._clock.now()
        service = scope.service
        self._service_loads.get_local(service).count_request(now)
        usable = self._candidates.list_below_limit(scope.widen(), set())
        if not usable:
            return None
        return self._service_loads.balancer.refuse(service, usable, objective, now)

    def has_spare_slots(self, scope: Scope) -> bool:
        """Return whether a plain service has spare slots for retries."""
        now = self._clock.now()
        usable = self._candidates.list_below_limit(scope.widen(), set())
        fill = self._service_loads.balancer.compute_fill(scope.service, usable, now)
        return fill < MAX_RETRY_FILL

    # Engines

    def describe(self, call: Call, route: Route) -> Requirements:
        """Return what a call of a route requires of its engine."""
        return Requirements(
            call.tokens_in,
            self._zone,
            route.event_interval_objective,
            self.generations.estimate(route.name),
        )

    def choose_engine(
        self, scope: Scope, call: Call, route: Route, excluded: set[str]
    ) -> Option | None:
        """Return the best engine for a call, or None.

        Its adapter may have to be loaded there first.
        """
        model, requirements = call.model, self.describe(call, route)
        option = self._choice.find_best(scope, model, requirements, excluded)
        if option is None or option.engine.source is AdapterSource.HELD:
            return option
        closing = self._candidates.list_closing(scope, excluded)
        holder = self._choice.find_holder(scope, model, requirements, closing)
        if holder is None:
            return option
        # The zone of all engines that hold the adapter is being evacuated: the
        # call goes there, and later ones to the copy that is loaded meanwhile.
        self._load_requests.request_copy(model, option, Urgency(0))
        return holder

    def _check_inactivity(self) -> None:
        now = self._clock.now()
        unresponsive = self.inactivity.list_unresponsive(now)
        for endpoint in unresponsive:
            self.health.record_connect_failure(endpoint, now)
            log.event("endpoint_silent", endpoint=endpoint)
        # Mark all of them as absent before any call chooses another engine.
        for endpoint in unresponsive:
            self.inactivity.abandon(endpoint)

    # The calls of this process

    def count_ahead(self, endpoint: str) -> int:
        """Return the estimated number of unread prompt tokens at an engine."""
        return self._knowledge.workload.count_ahead(endpoint)

    def count_running(self, endpoint: str) -> int:
        """Return the estimated number of running calls of all instances.

        This is the last report of the endpoint's owner, corrected by the calls
        that this process has started or ended since. Without a current report
        it is the number of this process's own calls.
        """
        local_calls = self.health.count_running(endpoint)
        return self._knowledge.workload.count_running(endpoint, local_calls)

    def _weigh_running(self, endpoints: Iterable[Endpoint], now: float) -> Load:
        """Return a function from endpoint to calls, weighted by slowness."""
        factors = self.speeds.compare([one.id for one in endpoints], now)
        return lambda name: self.count_running(name) * factors.get(name, 1.0)

    def begin(self, endpoint: Endpoint, call: Call) -> None:
        """Count a call as running at an endpoint."""
        now = self._clock.now()
        self.health.begin(endpoint.id, now)
        if call.model is None:
            self._service_loads.get_local(endpoint.service).begin(now)
            return
        self._update_unread(endpoint, call.tokens_in)
        sample = PromptSample(endpoint.id, call.tokens_in, 0, 0.0)
        self._subscription.record_prompt(endpoint, sample)
        if call.model.adapter:
            self._subscription.record_use(endpoint, call.model, 1)

    def end_reading(self, endpoint: Endpoint, call: Call) -> None:
        """Stop counting a call's prompt as unread."""
        if call.model is not None:
            self._update_unread(endpoint, -call.tokens_in)

    def record_first_event(
        self, endpoint: Endpoint, tokens: int, seconds: float
    ) -> None:
        """Record that an engine read some prompt tokens in a time.

        They are those of a call and of the prompts ahead of it.
        """
        if tokens >= MIN_TOKENS:
            sample = PromptSample(endpoint.id, 0, tokens, seconds)
            self._subscription.record_prompt(endpoint, sample)
        now = self._clock.now()
        self._choice.reading_times.note(endpoint.id, tokens, seconds, now)

    def end(self, endpoint: Endpoint, call: Call, has_run: bool) -> None:
        """Stop counting a call as running."""
        self.health.end(endpoint.id)
        if call.model is None:
            now = self._clock.now()
            self._service_loads.get_local(endpoint.service).end(has_run, now)
        if call.model is not None and call.model.adapter:
            self._subscription.record_use(endpoint, call.model, -1)

    def _update_unread(self, endpoint: Endpoint, change: int) -> None:
        self._knowledge.workload.change_reading(endpoint.id, change)
        self._subscription.record_reading_change(endpoint)

    def _remove_gone(self) -> None:
        listed = {endpoint.id for endpoint in self._follower.directory.list_all()}
        self.speeds.forget(listed)
