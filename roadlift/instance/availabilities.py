"""Track the availability that endpoints advertise in the heads of answers.

A drain notice concerns all instances: the directory keeps it, and aggregators
relay it with the list of endpoints. A requested back-off concerns only the
instance that received it.
"""

import random
from collections.abc import Mapping, Sequence

from roadlift.core.errors import RoadliftError
from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.daemon.transport import Transport
from roadlift.decisions.availability import EndpointAvailability
from roadlift.instance.brittleness import BrittleEndpoints
from roadlift.instance.evacuations import ZoneEvacuations
from roadlift.instance.follower import Follower
from roadlift.instance.leases import Leases
from roadlift.instance.metrics import InstanceMetrics
from roadlift.instance.platform import Platform
from roadlift.instance.subscription import Subscription
from roadlift.serving.directory import Endpoint
from roadlift.serving.messages import LeavingNews
from roadlift.serving.statements import Statement

# Maximum number of unknown header names that a process logs: the callers'
# applications may invent any number of names.
MAX_UNKNOWN_HEADERS = 32
NOTICE_INTERVAL = 1.0  # Seconds between two drain notices about one endpoint.
LOG_INTERVAL = 1.0  # Seconds between two log lines on back-offs of one endpoint.

log = ComponentLog("standings")


@components.register("standings")
class Availabilities:
    """The endpoints that are draining or requested a back-off."""

    name = "standings"
    needs = (
        BrittleEndpoints.name,
        ZoneEvacuations.name,
        "follower",
        "leases",
        "measures",
        "platform",
        "subscription",
        "transport",
    )

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._loop = kernel.loop
        self._peer = kernel.settings.peer
        self._drain_time = kernel.settings.endpoint_drain_ms / 1000.0
        self._rng = random.Random(kernel.started_at_ms)
        self._format = kernel.get(Platform).adapter.calls
        self._follower = kernel.get(Follower)
        self._leases = kernel.get(Leases)
        self._subscription = kernel.get(Subscription)
        self._transport = kernel.get(Transport)
        self._metrics = kernel.get(InstanceMetrics)
        self._evacuations = kernel.get(ZoneEvacuations)
        self._brittle = kernel.get(BrittleEndpoints)
        self._known: dict[str, EndpointAvailability] = {}
        self._notified_at: dict[str, float] = {}
        self._logged_at: dict[str, float] = {}
        self._logged_faults: set[tuple[str, str]] = set()
        self._logged_headers: set[str] = set()
        self._follower.on_directory.append(self._update_from_directory)
        self._transport.subscribe((LeavingNews,), self._handle_drain_notice)

    def start(self) -> None:
        """Do nothing: state is built from answers as they arrive."""

    def close(self) -> None:
        """Do nothing: there is nothing to close."""

    # Queries.

    def list_available(self, endpoints: Sequence[Endpoint]) -> Sequence[Endpoint]:
        """Return the endpoints that this instance is not backing off from."""
        if not self._known:
            return endpoints
        return [
            endpoint for endpoint in endpoints if not self.measure_backoff(endpoint.id)
        ]

    def measure_backoff(self, endpoint: str) -> float:
        """Return the seconds until a call may be sent to an endpoint."""
        known = self._known.get(endpoint)
        return known.measure_backoff(self._clock.now()) if known else 0.0

    def is_backing_off(self, endpoint: str) -> bool:
        """Return whether an endpoint's back-off has not ended yet."""
        known = self._known.get(endpoint)
        return known is not None and self._clock.now() < known.backoff_until

    def is_last_resort(self, endpoint: str) -> bool:
        """Return whether an endpoint that is not ready still takes calls.

        It drains, or its zone is evacuated. It gets only those calls that no
        other endpoint can take.
        """
        listed = self._follower.directory.get(endpoint)
        if listed is None or self._evacuations.is_closed(listed.zone):
            return False
        if not listed.is_draining:
            return self._evacuations.is_closing(listed.zone)
        known = self._known.get(endpoint)
        now = self._clock.now()
        return known is not None and known.is_last_resort(self._drain_time, now)

    def may_send(self, endpoint: Endpoint) -> bool:
        """Return whether a call's first byte may be written to it now."""
        known = self._known.get(endpoint.id)
        now = self._clock.now()
        is_open = known is None or known.may_send(self._drain_time, now)
        is_ready = self._follower.directory.is_ready(endpoint.id)
        if is_open and (is_ready or self.is_last_resort(endpoint.id)):
            return True
        self._metrics.count("roadlift_held_sends", endpoint.service)
        return False

    # Sends and their answers.

    def record_send(self, endpoint: Endpoint) -> None:
        """Count a call that is sent."""
        known = self._known.get(endpoint.id)
        if known is not None:
            known.record_send(self._clock.now())

    def note_head(
        self,
        endpoint: Endpoint,
        status: int,
        headers: Mapping[str, str],
        age: float | None = None,
    ) -> Statement:
        """Update the state of an endpoint from the head of an answer.

        ``age`` is the seconds since the call was sent, or None if the answer
        is not to a call.
        """
        statement = self._format.read_statement(status, headers)
        for fault in statement.faults:
            self._log_fault(endpoint, fault)
        for name in statement.unknown:
            self._count_unknown_header(endpoint, name)
        if age is not None:
            self._brittle.record_answer(endpoint, statement, status)
        elif statement.rejection_limit is not None:
            self._brittle.record_announcement(endpoint, statement.rejection_limit, 0.0)
        if statement.is_leaving:
            self._record_drain_notice(endpoint, status, age)
        if statement.rest:
            self._record_backoff(endpoint, statement.rest, status, age)
        elif age is not None and not statement.is_rejected:
            self._record_accepted(endpoint, age)
        return statement

    def _record_accepted(self, endpoint: Endpoint, age: float) -> None:
        if endpoint.id in self._known:
            self._known[endpoint.id].record_accepted(self._clock.now() - age)

    def _find(self, endpoint: str) -> EndpointAvailability:
        return self._known.setdefault(endpoint, EndpointAvailability())

    def _record_drain_notice(
        self, endpoint: Endpoint, status: int, age: float | None
    ) -> None:
        now = self._clock.now()
        if self._find(endpoint.id).record_drain_notice(now):
            log.event(
                "endpoint_leaving",
                endpoint=endpoint.id,
                service=endpoint.service,
                heard="answer",
                status=status,
                age=_round(age),
            )
            self._follower.record_drain_notice(endpoint.id)
            self._update_metrics(endpoint.service)
        if now - self._notified_at.get(endpoint.id, float("-inf")) >= NOTICE_INTERVAL:
            self._notified_at[endpoint.id] = now
            self._publish(LeavingNews(self._peer, endpoint.id, False))

    def _record_backoff(
        self, endpoint: Endpoint, seconds: float, status: int, age: float | None
    ) -> None:
        now = self._clock.now()
        state = self._find(endpoint.id)
        if not state.record_backoff(seconds, self._rng.random(), now):
            return
        kept = state.backoff_until - now
        self._loop.call_later(kept, lambda: self._end_backoff(endpoint))
        self._update_metrics(endpoint.service)
        if now - self._logged_at.get(endpoint.id, float("-inf")) < LOG_INTERVAL:
            return
        self._logged_at[endpoint.id] = now
        log.event(
            "endpoint_resting",
            endpoint=endpoint.id,
            service=endpoint.service,
            asked=seconds,
            seconds=round(kept, 3),
            status=status,
            age=_round(age),
        )

    def _end_backoff(self, endpoint: Endpoint) -> None:
        """Log the end of a back-off, unless it was extended."""
        known = self._known.get(endpoint.id)
        now = self._clock.now()
        if known is None or now < known.backoff_until:
            return
        self._update_metrics(endpoint.service)
        if self._logged_at.pop(endpoint.id, None) is not None:
            log.event("endpoint_rested", endpoint=endpoint.id, service=endpoint.service)

    # Messages between instances.

    def _publish(self, notice: LeavingNews) -> None:
        """Send a drain notice to the aggregator.

        An aggregator sends it to the other aggregators instead.
        """
        if not self._leases.list_held():
            if self._subscription.source:
                self._transport.send(self._subscription.source, notice)
            return
        owners = {self._leases.find_owner(zone) for zone in self._leases.list_zones()}
        others = owners - {self._peer, None, ""}
        self._transport.send_all(others, notice._replace(is_passed_on=True))

    def _handle_drain_notice(self, sender: str, message: LeavingNews) -> None:
        """Mark the endpoint in the directory, whose subscribers get that."""
        if (
            self._follower.record_drain_notice(message.endpoint)
            and not message.is_passed_on
        ):
            self._publish(message)

    # Metrics and logs.

    def _update_metrics(self, service: str) -> None:
        """Count the draining endpoints of a service, and those backed off."""
        now = self._clock.now()
        found = [
            self._known[endpoint.id]
            for endpoint in self._follower.directory.list_service(service)
            if endpoint.id in self._known
        ]
        draining = sum(state.drain_notice_at is not None for state in found)
        backing_off = sum(now < state.backoff_until for state in found)
        self._metrics.set("roadlift_leaving_endpoints", draining, service)
        self._metrics.set("roadlift_resting_endpoints", backing_off, service)

    def _log_fault(self, endpoint: Endpoint, fault: RoadliftError) -> None:
        """Log an invalid header once for each endpoint and error code."""
        key = (endpoint.id, fault.code)
        if key not in self._logged_faults:
            self._logged_faults.add(key)
            log.warning("Invalid header in an answer of %s: %s.", endpoint.id, fault)

    def _count_unknown_header(self, endpoint: Endpoint, name: str) -> None:
        """Count a header that no table lists, and log its name once."""
        self._metrics.count("roadlift_unknown_headers", endpoint.service)
        if (
            name in self._logged_headers
            or len(self._logged_headers) >= MAX_UNKNOWN_HEADERS
        ):
            return
        self._logged_headers.add(name)
        log.event(
            "header_unknown",
            header=name,
            endpoint=endpoint.id,
            service=endpoint.service,
        )

    def _update_from_directory(self) -> None:
        """Record relayed drain notices, and remove endpoints that are gone.

        An entry that lapsed because the list could not be written may come
        back, so a back-off that has not ended yet is kept.
        """
        now = self._clock.now()
        listed = set()
        for endpoint in self._follower.directory.list_all():
            listed.add(endpoint.id)
            if endpoint.is_leaving:
                self._find(endpoint.id).record_drain_notice(now)
        self._logged_faults = {key for key in self._logged_faults if key[0] in listed}
        for endpoint in set(self._known) - listed:
            if now >= self._known[endpoint].backoff_until:
                del self._known[endpoint]
        for times in (self._notified_at, self._logged_at):
            for endpoint in set(times) - listed:
                del times[endpoint]


def _round(age: float | None) -> float | None:
    return None if age is None else round(age, 3)
