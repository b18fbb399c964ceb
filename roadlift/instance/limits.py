"""Track the rate limits that endpoints announce.

They become known from answers to this instance's calls, from the owner of an
endpoint's zone and from the aggregator. A cold endpoint has a limit as well,
which ends by itself, see ``decisions.warmup``.
"""

import random
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from roadlift.core.errors import InvalidLimit
from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.decisions.limits import NO_BASIS, Basis, MinimumRate, normalize_limit
from roadlift.decisions.rates import Rate
from roadlift.decisions.warmup import ColdEndpoints, compute_cold_limit
from roadlift.instance.follower import Follower
from roadlift.instance.metrics import InstanceMetrics
from roadlift.serving.directory import Endpoint
from roadlift.serving.evacuations import Evacuation
from roadlift.serving.statements import Statement

# Seconds before a limit became known whose sends count as sends without a
# permit.
LOOKBACK_WINDOW = 1.0
# Seconds after the last information on a limit from which on an update of the
# aggregator that lacks the limit ends it.
UPDATE_GRACE = 1.0
# Seconds after a limit's end in which older updates that still contain it are
# ignored, and after the last announcement received here in which updates of
# its end are ignored: the owner may not have received that announcement yet.
END_GRACE = 0.6
# Seconds after the last announcement of a limit from which on the endpoint is
# chosen like any other: without calls no instance would find out that the
# limit ended.
TRIAL_DELAY = 0.7
LOCAL_FENCE = -1  # Fence of the permits that this process granted to itself.
COLD_CHECK_INTERVAL = 0.1  # Seconds between checks for endpoints no longer cold.

log = ComponentLog("limits")


class LimitSource(StrEnum):
    """Where this process has a limit from; the values are logged."""

    ANSWER = "answer"
    OWNER = "owner"
    AGGREGATOR = "news"
    LIST = "list"


class ReportedLimit(NamedTuple):
    """A limit as an owner reports it, in calls a second, or None for its end.

    ``fence`` and ``serial`` are of the basis on which permits are granted; the
    endpoint last announced the limit ``age`` seconds ago.
    """

    endpoint: str
    limit: float | None
    fence: int
    serial: int
    age: float


class SendAnswer(NamedTuple):
    """An endpoint's answer to a send that was made ``age`` seconds ago.

    The send was permitted on ``basis``. ``has_run`` means that the endpoint
    ran the call, so that the answer is its own.
    """

    status: int
    statement: Statement
    has_run: bool
    basis: Basis
    age: float


class LimitAnnouncement(NamedTuple):
    """The limit in an endpoint's answer to a send on ``basis``, or None."""

    limit: float | None
    basis: Basis


class KnownLimit:
    """What this process knows of one endpoint's limit.

    The endpoint last announced it at ``announced_at``, and in an answer to
    this process at ``answered_at``; ``received_at`` is the time of the last
    information from any source, and ``announcements`` counts those in answers.
    No permit is requested before ``next_request_at``, and none is available
    before ``free_at``. ``reported_at`` and ``report_number`` are of the latest
    report to the owner of an announcement received here. ``ungranted_sends``
    counts the sends without a permit. The limit of a cold endpoint ends at
    ``expires_at``, which is None for one that the endpoint announced.
    """

    __slots__ = (
        "answered_at",
        "next_request_at",
        "basis",
        "minimum_rate",
        "free_at",
        "received_at",
        "limit",
        "announced_at",
        "announcements",
        "ungranted_sends",
        "reported_at",
        "report_number",
        "expires_at",
    )

    def __init__(
        self, limit: float, ungranted_sends: int, minimum_rate: MinimumRate, now: float
    ) -> None:
        self.limit = limit
        self.ungranted_sends = ungranted_sends
        self.minimum_rate = minimum_rate
        self.basis = NO_BASIS
        self.received_at = self.announced_at = now
        self.answered_at = self.reported_at = float("-inf")
        self.next_request_at = self.free_at = float("-inf")
        self.report_number = 0
        self.announcements = 0
        self.expires_at: float | None = None

    @property
    def is_cold(self) -> bool:
        """Return whether the endpoint is limited because it is cold."""
        return self.expires_at is not None

    def measure_rest(self, now: float) -> float:
        """Return the seconds until the limit ends, -1 if it does not."""
        return -1.0 if self.expires_at is None else max(0.0, self.expires_at - now)


@components.register("limits")
class EndpointLimits:
    """The rate limits of endpoints that this process observes."""

    name = "limits"
    needs = ("follower", "measures")

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._loop = kernel.loop
        self._timer = None
        self._rng = random.Random(kernel.started_at_ms)
        self._follower = kernel.get(Follower)
        self._metrics = kernel.get(InstanceMetrics)
        self._known: dict[str, KnownLimit] = {}
        self._ended_at: dict[str, float] = {}
        self._send_rates: dict[str, Rate] = {}
        self._cold = ColdEndpoints()
        self._follower.on_directory.append(self._remove_gone)
        self._follower.on_directory.append(self._read_entries)
        self._follower.on_evacuation.append(self._handle_evacuation)

    def start(self) -> None:
        """Start to check for endpoints that are no longer cold."""
        self._timer = self._loop.call_every(COLD_CHECK_INTERVAL, self._end_cold)

    def close(self) -> None:
        """Stop the checks."""
        self._timer.close()

    # Queries.

    def find(self, endpoint: str) -> KnownLimit | None:
        """Return the limit of an endpoint, or None if it has none."""
        return self._known.get(endpoint)

    def is_exhausted(self, endpoint: str) -> bool:
        """Return whether an endpoint's limit is used up at the moment."""
        known = self._known.get(endpoint)
        return known is not None and self._clock.now() < known.next_request_at

    def is_in_reserve(self, endpoint: str) -> bool:
        """Return whether to prefer other endpoints: this one has a limit."""
        known = self._known.get(endpoint)
        if known is None:
            return False
        return known.is_cold or self._clock.now() - known.announced_at < TRIAL_DELAY

    def measure_wait(self, endpoint: str) -> float:
        """Return the seconds until a permit may be available."""
        known = self._known.get(endpoint)
        return max(0.0, known.free_at - self._clock.now()) if known else 0.0

    def list_known(self) -> dict[str, KnownLimit]:
        """Return the known limits by endpoint."""
        return self._known

    # Sends and their answers.

    def record_send(self, endpoint: Endpoint, is_granted: bool) -> None:
        """Count a send; those without a permit are reported to the owner."""
        now = self._clock.now()
        rate = self._send_rates.get(endpoint.id)
        if rate is None:
            rate = self._send_rates[endpoint.id] = Rate(LOOKBACK_WINDOW, now)
        rate.note(1.0, now)
        known = self._known.get(endpoint.id)
        if known is not None and not is_granted:
            known.ungranted_sends += 1

    def record_answer(
        self, endpoint: Endpoint, answer: SendAnswer
    ) -> LimitAnnouncement | None:
        """Update the limit from an answer; return what to report, or None."""
        if answer.statement.cold_time is not None:
            self._record_cold_time(endpoint, answer.statement.cold_time)
        if answer.statement.has_fault(InvalidLimit):
            return None
        limit = normalize_limit(answer.statement.limit)
        if limit is None:
            return self._record_no_limit(endpoint, answer)
        now = self._clock.now()
        known = self._known.get(endpoint.id)
        if known is None:
            known = self._add(endpoint.id, limit, LimitSource.ANSWER, answer)
        elif limit < known.limit:
            known.expires_at = None
            self._change(endpoint.id, known, limit, LimitSource.ANSWER, answer)
        known.received_at = known.announced_at = known.answered_at = now
        known.announcements += 1
        return LimitAnnouncement(limit, answer.basis)

    def _record_no_limit(
        self, endpoint: Endpoint, answer: SendAnswer
    ) -> LimitAnnouncement | None:
        """Handle an answer without a limit.

        Only an answer to a call that ran says that there is no limit: a
        refusal may come from another component of the endpoint, or from
        another endpoint that has its address now.
        """
        known = self._known.get(endpoint.id)
        if known is None or known.is_cold or not answer.has_run:
            return None
        if answer.basis == Basis(LOCAL_FENCE, known.announcements):
            self._remove(endpoint.id, LimitSource.ANSWER, answer)
        return LimitAnnouncement(None, answer.basis)

    # Updates from the owner and the aggregator.

    def apply_owner_reply(
        self, report: ReportedLimit | None, endpoint: str, number: int
    ) -> None:
        """Apply the owner's reply to the report or request ``number``.

        A reply to one that was sent before the latest report of an
        announcement can only lower a limit.
        """
        known = self._known.get(endpoint)
        is_older = known is not None and number < known.report_number
        if report is not None:
            self._apply(report, LimitSource.OWNER, is_older)
        elif known is not None and not known.is_cold and not is_older:
            self._remove(endpoint, LimitSource.OWNER, None)

    def record_update(self, limits: Iterable[ReportedLimit], asked_at: float) -> None:
        """Apply all limits that an aggregator knows.

        ``asked_at`` is when this process sent the message that it answers.
        """
        reports = {report.endpoint: report for report in limits}
        for endpoint, report in reports.items():
            if report.limit is None:
                self._apply_end(endpoint, asked_at)
            elif asked_at > self._ended_at.get(endpoint, float("-inf")) + END_GRACE:
                self._apply(report, LimitSource.AGGREGATOR, True)
        for endpoint, known in list(self._known.items()):
            is_old = asked_at - known.received_at > UPDATE_GRACE
            if endpoint not in reports and is_old and not known.is_cold:
                self._remove(endpoint, LimitSource.AGGREGATOR, None)

    def _apply_end(self, endpoint: str, asked_at: float) -> None:
        known = self._known.get(endpoint)
        if known is None or known.is_cold:
            return
        if asked_at > known.answered_at + END_GRACE:
            self._remove(endpoint, LimitSource.AGGREGATOR, None)

    def _apply(
        self, report: ReportedLimit, source: LimitSource, can_only_lower: bool
    ) -> None:
        now = self._clock.now()
        known = self._known.get(report.endpoint)
        if known is None:
            if self._follower.directory.get(report.endpoint) is None:
                return
            known = self._add(report.endpoint, report.limit, source, None)
            known.announced_at = now - report.age
        is_lower = report.limit < known.limit
        can_raise = not can_only_lower and not known.is_cold
        is_raised = report.limit > known.limit and can_raise
        if is_lower or is_raised:
            self._change(report.endpoint, known, report.limit, source, None)
        known.basis = max(known.basis, Basis(report.fence, report.serial))
        known.received_at = now
        known.announced_at = max(known.announced_at, now - report.age)

    # Cold endpoints.

    def _find_cold_rate(self, service: str) -> float:
        configuration = self._follower.configuration
        found = configuration and configuration.services.get(service)
        return found.cold_rate if found else 0.0

    def _read_entries(self) -> None:
        """Apply the cold times in the list of endpoints."""
        now = self._clock.now()
        for endpoint in self._follower.directory.list_all():
            self._cold.record_entry(endpoint.id, endpoint.cold_time, now)
            self._apply_cold(endpoint, now)

    def _record_cold_time(self, endpoint: Endpoint, cold_time: float) -> None:
        """Apply the cold time in an answer."""
        now = self._clock.now()
        self._cold.record_answer(endpoint.id, cold_time, now)
        self._apply_cold(endpoint, now)

    def _handle_evacuation(self, evacuation: Evacuation, age: float) -> None:
        """Count the endpoints of a zone that returns as cold for a while."""
        if evacuation.is_active:
            return
        now = self._clock.now()
        for endpoint in self._follower.directory.list_all():
            if endpoint.zone == evacuation.zone:
                self._cold.record_return(endpoint.id, now)
                self._apply_cold(endpoint, now)

    def _apply_cold(self, endpoint: Endpoint, now: float) -> None:
        """Limit an endpoint while it is cold."""
        ends_at = self._cold.get_end(endpoint.id)
        rate = self._find_cold_rate(endpoint.service) if now < ends_at else 0.0
        if not rate:
            return
        limit = compute_cold_limit(rate)
        known = self._known.get(endpoint.id)
        if known is None:
            known = self._add(endpoint.id, limit, LimitSource.LIST, None)
        elif limit < known.limit:
            self._change(endpoint.id, known, limit, LimitSource.LIST, None)
        elif not known.is_cold:
            return
        known.expires_at = ends_at

    def _end_cold(self) -> None:
        """End the limits of endpoints that are no longer cold."""
        now = self._clock.now()
        for endpoint, known in list(self._known.items()):
            if known.is_cold and now >= self._cold.get_end(endpoint):
                self._remove(endpoint, LimitSource.LIST, None)

    # Changes of limits.

    def _add(
        self,
        endpoint: str,
        limit: float,
        source: LimitSource,
        answer: SendAnswer | None,
    ) -> KnownLimit:
        now = self._clock.now()
        rate = self._send_rates.get(endpoint)
        ungranted_sends = round(rate.measure(now) * LOOKBACK_WINDOW) if rate else 0
        minimum_rate = MinimumRate(self._rng.random(), now)
        known = self._known[endpoint] = KnownLimit(
            limit, ungranted_sends, minimum_rate, now
        )
        self._log_change(endpoint, limit, None, source, answer)
        return known

    def _change(
        self,
        endpoint: str,
        known: KnownLimit,
        limit: float,
        source: LimitSource,
        answer: SendAnswer | None,
    ) -> None:
        before, known.limit = known.limit, limit
        self._log_change(endpoint, limit, before, source, answer)

    def _remove(
        self, endpoint: str, source: LimitSource, answer: SendAnswer | None
    ) -> None:
        known = self._known.pop(endpoint)
        self._ended_at[endpoint] = self._clock.now()
        self._log_change(endpoint, None, known.limit, source, answer)

    def _log_change(
        self,
        endpoint: str,
        limit: float | None,
        before: float | None,
        source: LimitSource,
        answer: SendAnswer | None,
    ) -> None:
        """Log that a limit became known, changed or ended."""
        known = self._follower.directory.get(endpoint)
        service = known.service if known else None
        log.event(
            "limit_changed",
            endpoint=endpoint,
            service=service,
            limit=limit,
            before=before,
            heard=source.value,
            status=answer.status if answer else None,
            age=round(answer.age, 3) if answer else None,
        )
        self._update_metrics(service)

    def _update_metrics(self, service: str | None) -> None:
        limits = [
            known.limit
            for name, known in self._known.items()
            if self._find_service(name) == service
        ]
        cold = sum(
            known.is_cold and self._find_service(name) == service
            for name, known in self._known.items()
        )
        if service is not None:
            self._metrics.set("roadlift_cold_endpoints", cold, service)
            self._metrics.set("roadlift_limited_endpoints", len(limits), service)
            self._metrics.set("roadlift_endpoint_limits", sum(limits), service)

    def _find_service(self, endpoint: str) -> str | None:
        found = self._follower.directory.get(endpoint)
        return found.service if found else None

    def _remove_gone(self) -> None:
        """Remove endpoints that are gone.

        The next run of such an endpoint has not announced a limit yet.
        """
        listed = {endpoint.id for endpoint in self._follower.directory.list_all()}
        self._cold.forget(listed)
        for state in (self._known, self._ended_at, self._send_rates):
            for endpoint in set(state) - listed:
                del state[endpoint]
