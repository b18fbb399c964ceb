"""Choose the endpoint of a call, and request loads of missing adapters."""

import random
from collections.abc import Iterable
from typing import NamedTuple

from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.decisions.balancing import MAX_RETRY_FILL
from roadlift.decisions.inactivity import InactivityMonitor
from roadlift.decisions.loading import AdapterSource, GenerationTimes, LoadWaits
from roadlift.decisions.placement import Engine, Option, Requirements, choose_engine
from roadlift.decisions.reading import ReadingTimes
from roadlift.decisions.urgency import Urgency
from roadlift.instance.availabilities import Availabilities
from roadlift.instance.follower import Follower
from roadlift.instance.knowledge import Knowledge
from roadlift.instance.limits import EndpointLimits
from roadlift.instance.pendingloads import PendingLoad, Waiter
from roadlift.instance.serviceloads import ServiceLoads
from roadlift.instance.subscription import Subscription
from roadlift.serving.calls import Call, Model
from roadlift.serving.directory import Endpoint
from roadlift.serving.messages import Ask, Denial
from roadlift.serving.selection import (
    Load,
    PreferredEndpoints,
    choose_least_loaded,
)
from roadlift.serving.speed import EngineSpeeds

LOAD_REQUEST_INTERVAL = 0.3  # Seconds after which a load request is repeated.
# Seconds for which an engine that denied a load is not requested again for the
# same adapter; also the interval between checks for load requests to repeat.
DENIAL_BACKOFF = 0.1
# Engines that are considered for one adapter, in addition to those that hold
# it. Many instances have the same view, some tenths of a second old, and would
# otherwise all choose the same engine; the preferred endpoints of different
# adapters differ.
MAX_CANDIDATES = 10
INACTIVITY_CHECK_INTERVAL = 0.1  # Seconds between checks for unresponsive engines.
# Seconds without a liveness signal from an owner after which an engine of
# another zone is requested. Owners send one each 0.25 s, and an aggregator
# adds up to as much again.
OWNER_INACTIVITY_TIMEOUT = 0.55

log = ComponentLog("placing")


class Backoff(NamedTuple):
    """An endpoint that requested no calls from this instance for a time."""

    endpoint: Endpoint
    seconds: float


@components.register("placing")
class Placement:
    """Chooses endpoints for calls and keeps this process's pending loads."""

    name = "placing"
    needs = (
        "follower",
        "knowledge",
        EndpointLimits.name,
        "serviceloads",
        Availabilities.name,
        "subscription",
    )

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._follower = kernel.get(Follower)
        self._knowledge = kernel.get(Knowledge)
        self._standings = kernel.get(Availabilities)
        self._subscription = kernel.get(Subscription)
        self._service_loads = kernel.get(ServiceLoads)
        self._limits = kernel.get(EndpointLimits)
        self._rng = random.Random(kernel.started_at_ms)
        self._residency = self._knowledge.residency
        self._preferred_endpoints = PreferredEndpoints()
        self._load_waits = LoadWaits()
        self._workload = self._knowledge.workload
        self._pending_loads: dict[tuple[str, Model], PendingLoad] = {}
        self._timers: list = []
        self.health = self._knowledge.health
        self.speeds = EngineSpeeds()
        self.reading_times = ReadingTimes()
        self.generations = GenerationTimes()
        self.inactivity = InactivityMonitor()
        self._knowledge.on_held.append(self._notify_waiters)
        self._knowledge.on_denial.append(self._handle_denial)
        self._follower.on_directory.append(self._remove_gone)

    def start(self) -> None:
        """Start the periodic checks."""
        loop = self._kernel.loop
        self._timers = [
            loop.call_every(DENIAL_BACKOFF, self._repeat_requests),
            loop.call_every(INACTIVITY_CHECK_INTERVAL, self._check_inactivity),
        ]

    def close(self) -> None:
        """Stop the periodic checks."""
        for timer in self._timers:
            timer.close()

    # Endpoint selection

    def choose_endpoint(self, service: str, excluded: set[str]) -> Endpoint | None:
        """Return the endpoint of a plain service for a call, or None."""
        now = self._kernel.clock.now()
        usable = self._list_unreserved(service, excluded, now)
        usable = usable or self._list_last_resort(service, excluded)
        zone = self._service_loads.balancer.choose_zone(service, usable, now)
        if zone is not None:
            usable = [one for one in usable if one.zone == zone] or usable
        local_zone = self._kernel.settings.zone
        return choose_least_loaded(
            usable, local_zone, self._weigh_running(usable, now), self._rng
        )

    def _list_unreserved(
        self, service: str, excluded: set[str], now: float
    ) -> list[Endpoint]:
        """Return the endpoints that accept a plain call.

        Rate-limited endpoints are left out while the others have spare slots.
        """
        usable = self._list_below_limit(service, excluded, now)
        unreserved = [one for one in usable if not self._limits.is_in_reserve(one.id)]
        fill = self._service_loads.balancer.compute_fill(service, unreserved, now)
        return unreserved if unreserved and fill < MAX_RETRY_FILL else usable

    def _list_below_limit(
        self, service: str, excluded: set[str], now: float
    ) -> list[Endpoint]:
        """Return the usable endpoints whose rate limit is not exhausted."""
        usable = self._list_usable(service, excluded, now)
        return [one for one in usable if not self._limits.is_exhausted(one.id)]

    def compute_limit_wait(self, service: str, excluded: set[str]) -> float | None:
        """Return the seconds until a rate limit of a service permits a send.

        None if rate limits are not the reason why a call has no endpoint.
        """
        waits = [
            self._limits.measure_wait(endpoint.id)
            for endpoint in self._follower.directory.list_ready(service)
            if self._limits.find(endpoint.id) is not None
            and (endpoint.id in excluded or self._limits.is_exhausted(endpoint.id))
        ]
        return min(waits, default=None)

    def accepts(self, endpoint: Endpoint, model: Model | None) -> bool:
        """Return whether an endpoint still accepts calls for an adapter."""
        listed = self._follower.directory.get(endpoint.id)
        is_last_resort = self._standings.is_last_resort(endpoint.id)
        if listed is None or (listed.is_draining and not is_last_resort):
            return False
        if model is None or not model.adapter:
            return True
        min_version = self._follower.find_version(model)
        return self._residency.holds(endpoint.id, model, min_version)

    def check_admission(self, service: str, objective: float) -> float | None:
        """Return None to admit a call, else the seconds until a retry.

        A call is refused if its service is too full to run it within
        ``objective`` seconds.
        """
        now = self._kernel.clock.now()
        self._service_loads.get_local(service).count_request(now)
        usable = self._list_below_limit(service, set(), now)
        if not usable:
            return None
        return self._service_loads.balancer.refuse(service, usable, objective, now)

    def has_spare_slots(self, service: str) -> bool:
        """Return whether a plain service has spare slots for retries."""
        now = self._kernel.clock.now()
        usable = self._list_below_limit(service, set(), now)
        fill = self._service_loads.balancer.compute_fill(service, usable, now)
        return fill < MAX_RETRY_FILL

    def choose_engine(
        self, service: str, call: Call, excluded: set[str]
    ) -> Option | None:
        """Return the best engine for a call, or None.

        Its adapter may have to be loaded there first.
        """
        return self._find_best(service, call.model, call.tokens_in, excluded)

    def _find_best(
        self, service: str, model: Model, tokens: int, excluded: set[str]
    ) -> Option | None:
        now = self._kernel.clock.now()
        usable = self._list_usable(service, excluded, now)
        requirements = Requirements(tokens, self._kernel.settings.zone)
        engines = self._describe_engines(service, usable, model, now)
        option = choose_engine(
            requirements, engines, self.reading_times, self._load_waits, now
        )
        if option is not None:
            return option
        draining = self._list_last_resort(service, excluded)
        engines = [
            engine._replace(can_load=False)
            for engine in self._describe_engines(service, draining, model, now)
        ]
        return choose_engine(
            requirements, engines, self.reading_times, self._load_waits, now
        )

    def estimate_load_time(self, option: Option) -> float:
        """Return the seconds within which a load that starts now completes."""
        now = self._kernel.clock.now()
        return self._load_waits.estimate_upper_bound(option.engine.source, now)

    def estimate_reading_time(self, option: Option, call: Call) -> float:
        """Return the seconds that an engine takes to read a call's prompt."""
        now = self._kernel.clock.now()
        seconds_per_token = self.reading_times.estimate(option.engine.endpoint.id, now)
        return seconds_per_token * call.tokens_in

    def _check_inactivity(self) -> None:
        now = self._kernel.clock.now()
        unresponsive = self.inactivity.list_unresponsive(now)
        for endpoint in unresponsive:
            self.health.record_connect_failure(endpoint, now)
            log.event("endpoint_silent", endpoint=endpoint)
        # Mark all of them as absent before any call chooses another engine.
        for endpoint in unresponsive:
            self.inactivity.abandon(endpoint)

    def _list_usable(
        self, service: str, excluded: set[str], now: float
    ) -> list[Endpoint]:
        ready = self._follower.directory.list_ready(service)
        usable = self.health.list_usable(self._standings.list_available(ready), now)
        return [one for one in usable if one.id not in excluded]

    def _list_last_resort(self, service: str, excluded: set[str]) -> list[Endpoint]:
        """Return the draining endpoints that accept calls no other can run."""
        return [
            endpoint
            for endpoint in self._follower.directory.list_service(service)
            if endpoint.id not in excluded
            and self._standings.is_last_resort(endpoint.id)
            and not self._standings.measure_backoff(endpoint.id)
        ]

    def find_backoff(self, service: str, model: Model | None) -> Backoff | None:
        """Return the backoff that ends first of those in the way, or None.

        If all endpoints of the service are backing off, each of them counts;
        otherwise only those that hold the model.
        """
        ready = self._follower.directory.list_ready(service)
        backoffs = [
            Backoff(one, self._standings.measure_backoff(one.id)) for one in ready
        ]
        active = [backoff for backoff in backoffs if backoff.seconds > 0.0]
        if len(active) < len(ready):
            min_version = self._follower.find_version(model) if model is not None else 0
            active = [
                backoff
                for backoff in active
                if self._holds_model(backoff.endpoint, model, min_version)
            ]
        return min(active, key=lambda backoff: backoff.seconds, default=None)

    def _holds_model(
        self, endpoint: Endpoint, model: Model | None, min_version: int
    ) -> bool:
        """Return whether an engine holds the model that a call requires."""
        if model is None or not endpoint.holds(model.base):
            return False
        return self._find_source(endpoint.id, model, min_version) is AdapterSource.HELD

    def _describe_engines(
        self, service: str, usable: list[Endpoint], model: Model, now: float
    ) -> list[Engine]:
        """Return the state of the engines that a call may be sent to."""
        min_version = self._follower.find_version(model) if model.adapter else 0
        ranked = self._list_candidates(service, usable, model)
        return [
            Engine(
                endpoint,
                self.count_ahead(endpoint.id),
                self._workload.count_free_slots(endpoint.id),
                self._find_source(endpoint.id, model, min_version),
                rank,
                self._knowledge.has_owner(endpoint.zone),
                self._workload.measure_queue(endpoint.id),
                self._limits.measure_wait(endpoint.id),
                self._limits.is_in_reserve(endpoint.id),
            )
            for rank, endpoint in enumerate(ranked)
            if endpoint.holds(model.base) and not self._limits.is_exhausted(endpoint.id)
        ]

    def _list_candidates(
        self, service: str, usable: list[Endpoint], model: Model
    ) -> list[Endpoint]:
        """Return the engines for a model, preferred endpoints first."""
        if not model.adapter:
            return usable
        ranked = self._preferred_endpoints.rank(service, usable, model, MAX_CANDIDATES)
        holders = self._residency.find(model)
        return ranked + [
            endpoint
            for endpoint in usable
            if endpoint.id in holders and endpoint not in ranked
        ]

    def _find_source(
        self, endpoint: str, model: Model, min_version: int
    ) -> AdapterSource:
        if not model.adapter or self._residency.holds(endpoint, model, min_version):
            return AdapterSource.HELD
        if self._residency.was_recently_held(endpoint, model, min_version):
            return AdapterSource.AT_HAND
        return AdapterSource.STORE

    def count_ahead(self, endpoint: str) -> int:
        """Return the estimated number of unread prompt tokens at an engine."""
        return self._workload.count_ahead(endpoint)

    def count_running(self, endpoint: str) -> int:
        """Return the estimated number of running calls of all instances.

        This is the last report of the endpoint's owner, corrected by the calls
        that this process has started or ended since. Without a current report
        it is the number of this process's own calls.
        """
        local_calls = self.health.count_running(endpoint)
        return self._workload.count_running(endpoint, local_calls)

    def _weigh_running(self, endpoints: Iterable[Endpoint], now: float) -> Load:
        """Return a function from endpoint to calls, weighted by slowness."""
        factors = self.speeds.compare([one.id for one in endpoints], now)
        return lambda name: self.count_running(name) * factors.get(name, 1.0)

    def begin(self, endpoint: Endpoint, call: Call) -> None:
        """Count a call as running at an endpoint."""
        self.health.begin(endpoint.id, self._kernel.clock.now())
        if call.model is None:
            now = self._kernel.clock.now()
            self._service_loads.get_local(endpoint.service).begin(now)
            return
        self._update_unread(endpoint, call.tokens_in)
        if call.model.adapter:
            self._subscription.record_use(endpoint, call.model, 1)

    def end_reading(self, endpoint: Endpoint, call: Call) -> None:
        """Stop counting a call's prompt as unread."""
        if call.model is not None:
            self._update_unread(endpoint, -call.tokens_in)

    def end(self, endpoint: Endpoint, call: Call, has_run: bool) -> None:
        """Stop counting a call as running."""
        self.health.end(endpoint.id)
        if call.model is None:
            now = self._kernel.clock.now()
            self._service_loads.get_local(endpoint.service).end(has_run, now)
        if call.model is not None and call.model.adapter:
            self._subscription.record_use(endpoint, call.model, -1)

    def _update_unread(self, endpoint: Endpoint, change: int) -> None:
        self._workload.change_reading(endpoint.id, change)
        self._subscription.record_reading_change(endpoint)

    def has_endpoints(self, service: str) -> bool:
        """Return whether a service has an endpoint that accepts calls."""
        ready = self._follower.directory.list_ready(service)
        return bool(ready or self._list_last_resort(service, set()))

    def await_load(self, waiter: Waiter, option: Option) -> None:
        """Request an adapter; ``on_ready`` is called when to choose again."""
        key = (waiter.service, waiter.model)
        pending = self._pending_loads.get(key)
        now = self._kernel.clock.now()
        if pending is None:
            pending = self._pending_loads[key] = PendingLoad(now)
        pending.waiters.append(waiter)
        if now - pending.requested_at >= LOAD_REQUEST_INTERVAL:
            self._request_load(key, pending, option.engine)
        else:
            self._commit(waiter, pending.engine.endpoint)

    def _commit(self, waiter: Waiter, endpoint: Endpoint) -> None:
        """Count the prompt of a waiting call as unread at an engine.

        Otherwise all calls that choose while a load is in progress would
        choose the same engine.
        """
        if not waiter.is_open:
            return
        waiter.commit(lambda: self._update_unread(endpoint, -waiter.tokens))
        self._update_unread(endpoint, waiter.tokens)

    def report_missing(self, endpoint: str, model: Model) -> None:
        """Record that an engine rejected a call because it lacks the adapter.

        The owner of the engine is notified as well.
        """
        self._knowledge.drop(endpoint, model)
        listed = self._follower.directory.get(endpoint)
        if listed is not None:
            self._send_request(listed, model, Urgency(0), True)

    # Load requests

    def _request_load(
        self, key: tuple[str, Model], pending: PendingLoad, engine: Engine
    ) -> None:
        _, model = key
        endpoint = engine.endpoint
        pending.requested_at = pending.first_requested_at = self._kernel.clock.now()
        pending.endpoint = endpoint.id
        pending.denied.pop(endpoint.id, None)
        pending.engine = engine
        self._send_request(
            endpoint, model, pending.compute_urgency(pending.requested_at)
        )
        self._workload.reserve_slot(endpoint.id)
        for waiter in pending.waiters:
            self._commit(waiter, endpoint)
            waiter.on_request(endpoint)

    def _repeat_request(
        self, key: tuple[str, Model], pending: PendingLoad, now: float
    ) -> None:
        """Repeat the request at the engine's owner, or request another engine.

        Only one engine is requested at a time, because a load that is not used
        occupies the adapter slot of another adapter.
        """
        endpoint = pending.engine.endpoint
        listed = self._follower.directory.get(endpoint.id)
        is_listed = listed is not None and not listed.is_draining
        owner_inactivity = self._knowledge.compute_inactivity(endpoint.zone)
        is_owner_alive = (
            owner_inactivity < OWNER_INACTIVITY_TIMEOUT
            and self._knowledge.has_owner(endpoint.zone)
        )
        if is_listed and is_owner_alive:
            pending.requested_at = now
            self._send_request(endpoint, key[1], pending.compute_urgency(now))
        else:
            pending.denied[endpoint.id] = now
            self._request_elsewhere(key, pending)

    def _request_elsewhere(self, key: tuple[str, Model], pending: PendingLoad) -> None:
        """Request an adapter at the engine that is the best choice now."""
        service, model = key
        now = self._kernel.clock.now()
        recently_denied = {
            name for name, at in pending.denied.items() if now - at < DENIAL_BACKOFF
        }
        for waiter in pending.waiters:
            waiter.release()
        tokens = max((one.tokens for one in pending.waiters), default=0)
        option = self._find_best(service, model, tokens, recently_denied)
        if option is None:
            return
        for waiter in pending.waiters:
            lateness = now + option.expected - waiter.disconnects_at
            if lateness > 0 and waiter.is_open:
                waiter.on_too_late(lateness)
        pending.waiters = [one for one in pending.waiters if one.is_open]
        if not pending.waiters:
            self._pending_loads.pop(key, None)
            return
        if option.engine.source is AdapterSource.HELD:
            self._notify_waiters(model, "")
        else:
            self._request_load(key, pending, option.engine)

    def _send_request(
        self,
        endpoint: Endpoint,
        model: Model,
        urgency: Urgency,
        is_missing: bool = False,
    ) -> None:
        request = Ask(
            self._kernel.settings.peer,
            endpoint.zone,
            endpoint.id,
            model.base,
            model.adapter,
            self._follower.find_version(model),
            list(urgency),
            is_missing,
            False,
        )
        self._subscription.send_load_request(request)

    def _repeat_requests(self) -> None:
        now = self._kernel.clock.now()
        for key, pending in list(self._pending_loads.items()):
            pending.waiters = [one for one in pending.waiters if one.is_open]
            if not pending.waiters:
                del self._pending_loads[key]
            elif pending.endpoint in pending.denied:
                self._request_elsewhere(key, pending)
            elif now - pending.requested_at >= LOAD_REQUEST_INTERVAL:
                self._repeat_request(key, pending, now)

    def _notify_waiters(self, model: Model, endpoint: str) -> None:
        """Let the calls that wait for an adapter choose again."""
        for key in [key for key in self._pending_loads if key[1] == model]:
            pending = self._pending_loads.pop(key)
            if pending.endpoint == endpoint:
                self._record_load_time(pending)
            for waiter in pending.waiters:
                if waiter.is_open:
                    waiter.close()
                    waiter.on_ready()

    def record_overdue(self, waiter: Waiter) -> None:
        """Update the load time estimate by a call that was refused.

        Its load takes at least as long as the call waited. If only loads that
        complete in time were recorded, an estimate that is too short would
        never be corrected, and every later call would be refused.
        """
        pending = self._pending_loads.get((waiter.service, waiter.model))
        if pending is not None:
            self._record_load_time(pending)

    def _record_load_time(self, pending: PendingLoad) -> None:
        """Update the load time estimate by a completed or abandoned load."""
        now = self._kernel.clock.now()
        if pending.engine is None:
            return
        queue = pending.engine.queue
        if pending.engine.places > 0:
            waited = max(0.0, now - pending.first_requested_at - queue)
            self._load_waits.note(pending.engine.source, waited, now)
            return
        load = self._load_waits.estimate(pending.engine.source, now)
        waited = max(0.0, now - pending.began_at - load - queue)
        self._load_waits.record_slot_wait(waited / (1 - pending.engine.places), now)

    # Messages from owners

    def _handle_denial(self, denial: Denial) -> None:
        model = Model(denial.base, denial.adapter)
        for (service, pending_model), pending in list(self._pending_loads.items()):
            if pending_model == model and pending.endpoint == denial.endpoint:
                self._workload.mark_full(denial.endpoint)
                pending.denied[denial.endpoint] = self._kernel.clock.now()
                self._request_elsewhere((service, pending_model), pending)

    def _remove_gone(self) -> None:
        listed = {endpoint.id for endpoint in self._follower.directory.list_all()}
        self.reading_times.forget(listed)
        self.speeds.forget(listed)
