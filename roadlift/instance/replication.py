"""Load further copies of adapters that fill one engine, as an owner."""

from collections.abc import Iterable, Sequence

from roadlift.core.codec import read_fields
from roadlift.core.kernel import Kernel
from roadlift.core.logs import ComponentLog
from roadlift.decisions.prefill import RATE_WINDOW, PrefillLoad
from roadlift.decisions.rates import Rate
from roadlift.decisions.replication import (
    COPY_INTERVAL,
    CopyRequest,
    EngineFill,
    choose_copy,
)
from roadlift.decisions.urgency import Urgency
from roadlift.decisions.workload import EngineLoad
from roadlift.instance.follower import Follower
from roadlift.instance.knowledge import Knowledge
from roadlift.instance.metrics import InstanceMetrics
from roadlift.instance.subscription import Subscription
from roadlift.serving.calls import Model
from roadlift.serving.directory import Endpoint
from roadlift.serving.messages import Ask
from roadlift.serving.usagereports import PromptSample

CHECK_INTERVAL = 0.25  # Seconds between searches for engines that are too full.
# A copy for which no call waits is loaded after the adapters of waiting calls
# that are due within this time in seconds, and only if its load can begin in
# as much time.
COPY_SLACK = 0.5

log = ComponentLog("owner")


class Replication:
    """The prompts and calls at the engines of a zone that is owned here."""

    def __init__(self, kernel: Kernel, zone: str) -> None:
        self._kernel = kernel
        self._zone = zone
        self._follower = kernel.get(Follower)
        self._knowledge = kernel.get(Knowledge)
        self._subscription = kernel.get(Subscription)
        self._metrics = kernel.get(InstanceMetrics)
        self._prefill: dict[str, PrefillLoad] = {}
        self._rates: dict[str, dict[Model, Rate]] = {}
        self._copied_at: dict[Model, float] = {}
        self._timer = kernel.loop.call_every(CHECK_INTERVAL, self._check)

    def close(self) -> None:
        """Request no further copies."""
        self._timer.close()

    # What instances report.

    def record_calls(self, endpoint: str, model: Model, count: int) -> None:
        """Count calls that began at an engine."""
        now = self._kernel.clock.now()
        rates = self._rates.setdefault(endpoint, {})
        rate = rates.get(model)
        if rate is None:
            rate = rates[model] = Rate(RATE_WINDOW, now)
        rate.note(count, now)

    def record_samples(self, samples: Iterable[Sequence]) -> None:
        """Record the prompts at the zone's engines; see ``PromptSample``."""
        now = self._kernel.clock.now()
        for fields in samples:
            sample = read_fields(PromptSample, fields)
            prefill = self._prefill.get(sample.endpoint)
            if prefill is None:
                prefill = self._prefill[sample.endpoint] = PrefillLoad(now)
            prefill.record_sent(sample.sent, now)
            if sample.read:
                prefill.record_read(sample.read, sample.seconds, now)

    def describe(self, endpoint: str, load: EngineLoad) -> EngineLoad:
        """Return an engine's load with its token time and fill."""
        prefill = self._prefill.get(endpoint)
        if prefill is None:
            return load
        now = self._kernel.clock.now()
        return load._replace(
            token_time=round(prefill.measure_token_time(now), 7),
            fill=round(prefill.measure_fill(now), 3),
        )

    def forget(self, endpoints: Iterable[str]) -> None:
        """Drop the engines that are gone."""
        for endpoint in endpoints:
            self._prefill.pop(endpoint, None)
            self._rates.pop(endpoint, None)

    # Copies.

    def _check(self) -> None:
        """Request a copy for each engine of the zone that is too full."""
        now = self._kernel.clock.now()
        self._copied_at = {
            model: at
            for model, at in self._copied_at.items()
            if now - at < COPY_INTERVAL
        }
        for service, endpoints in self._group_engines().items():
            engines = [self._describe_fill(one) for one in endpoints]
            for engine in engines:
                if engine.zone == self._zone:
                    self._relieve(service, engine, engines, now)

    def _group_engines(self) -> dict[str, list[Endpoint]]:
        """Return the ready engines of all zones by service."""
        found: dict[str, list[Endpoint]] = {}
        configuration = self._follower.configuration
        for service in configuration.services.values() if configuration else ():
            if service.engine is not None:
                ready = self._follower.directory.list_ready(service.name)
                found[service.name] = ready
        return found

    def _describe_fill(self, endpoint: Endpoint) -> EngineFill:
        workload = self._knowledge.workload
        return EngineFill(
            endpoint.id,
            endpoint.zone,
            workload.measure_fill(endpoint.id),
            workload.count_free_slots(endpoint.id),
            self._knowledge.has_owner(endpoint.zone),
        )

    def _relieve(
        self, service: str, full: EngineFill, engines: list[EngineFill], now: float
    ) -> None:
        rates = {
            model: rate.measure(now)
            for model, rate in self._rates.get(full.endpoint, {}).items()
        }
        copy = choose_copy(
            full, rates, engines, self._knowledge.residency.find, self._copied_at
        )
        if copy is None:
            return
        self._copied_at[copy.model] = now
        self._request(copy)
        self._metrics.count("roadlift_requested_copies", service)
        log.event(
            "copy_requested",
            model=str(copy.model),
            endpoint=copy.endpoint,
            zone=copy.zone,
            full=full.endpoint,
            fill=full.fill,
            rate=round(rates[copy.model], 2),
        )

    def _request(self, copy: CopyRequest) -> None:
        model = copy.model
        urgency = Urgency(0, COPY_SLACK, 0.0, COPY_SLACK)
        request = Ask(
            self._kernel.settings.peer,
            copy.zone,
            copy.endpoint,
            model.base,
            model.adapter,
            self._follower.find_version(model),
            list(urgency),
            False,
            False,
        )
        self._subscription.send_load_request(request)
