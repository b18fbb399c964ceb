"""Track the health of endpoints by the outcomes of their calls."""

import math
from collections.abc import Collection

MAX_CONSECUTIVE_FAILURES = 3  # At this number an endpoint is ejected.
# Fraction of failed calls at which an endpoint is ejected as well, once
# ``MIN_CALLS`` calls are remembered. Healthy endpoints fail some calls of one
# kind too.
FAILED_FRACTION = 0.3
MIN_CALLS = 6.0
HALF_LIFE = 2.0  # Seconds in which a remembered call loses half its weight.
INITIAL_EJECTION_TIME = 1.0  # Seconds; doubled with each consecutive ejection.
MAX_EJECTION_TIME = 8.0  # Seconds.
# Fraction of a service's endpoints that may be ejected at the same time.
MAX_EJECTED_FRACTION = 0.5
# Seconds that an endpoint is avoided after a connection to it failed, at first
# and at most; doubled with each consecutive failure.
INITIAL_UNREACHABLE_TIME = 0.5
MAX_UNREACHABLE_TIME = 4.0
START_TIME = 3.0  # Seconds that an endpoint which ended takes to start again.
# Seconds in which a single call tests whether an endpoint is reachable again.
TRIAL_TIMEOUT = 0.5


class EndpointHealth:
    """The health of one endpoint."""

    __slots__ = (
        "connect_failures",
        "unreachable_until",
        "calls",
        "ejected_until",
        "ejections",
        "failed_calls",
        "failures",
        "updated_at",
        "running",
    )

    def __init__(self) -> None:
        self.running = 0
        self.failures = 0
        self.calls = 0.0
        self.failed_calls = 0.0
        self.updated_at = 0.0
        self.ejections = 0
        self.ejected_until = 0.0
        self.connect_failures = 0
        self.unreachable_until = 0.0

    def record_outcome(self, is_failure: bool, now: float) -> None:
        """Count a call that ended; the weight of older ones decays."""
        decay = math.exp2((self.updated_at - now) / HALF_LIFE)
        self.updated_at = now
        self.calls = self.calls * decay + 1.0
        self.failed_calls = self.failed_calls * decay + is_failure
        self.failures = self.failures + 1 if is_failure else 0

    def is_failing(self) -> bool:
        """Return whether too many calls failed."""
        limit = self.calls * FAILED_FRACTION
        is_over = self.calls >= MIN_CALLS and self.failed_calls >= limit
        return is_over or self.failures >= MAX_CONSECUTIVE_FAILURES

    def forget_outcomes(self) -> None:
        """Reset the failure rate."""
        self.calls = self.failed_calls = 0.0


class Health:
    """The running calls and recent outcomes, by endpoint."""

    def __init__(self) -> None:
        self._records: dict[str, EndpointHealth] = {}

    def count_running(self, endpoint: str) -> int:
        """Return the number of this process's running calls at an endpoint."""
        record = self._records.get(endpoint)
        return record.running if record else 0

    def begin(self, endpoint: str, now: float) -> None:
        """Count a call as running."""
        record = self._records.setdefault(endpoint, EndpointHealth())
        record.running += 1
        if record.connect_failures:
            # Other calls avoid the endpoint until the outcome of this one.
            record.unreachable_until = now + TRIAL_TIMEOUT

    def end(self, endpoint: str) -> None:
        """Count a call as ended."""
        record = self._records.get(endpoint)
        if record is not None and record.running:
            record.running -= 1

    def record_success(self, endpoint: str, now: float) -> None:
        """Record that a call succeeded."""
        record = self._records.setdefault(endpoint, EndpointHealth())
        record.record_outcome(False, now)
        if record.calls >= MIN_CALLS and not record.is_failing():
            record.ejections = 0

    def record_answer(self, endpoint: str) -> None:
        """Record that an endpoint answered, whatever the outcome."""
        record = self._records.setdefault(endpoint, EndpointHealth())
        record.connect_failures = 0
        record.unreachable_until = 0.0

    def record_connect_failure(self, endpoint: str, now: float) -> None:
        """Record that a connection to an endpoint failed."""
        record = self._records.setdefault(endpoint, EndpointHealth())
        seconds = min(
            MAX_UNREACHABLE_TIME, INITIAL_UNREACHABLE_TIME * 2**record.connect_failures
        )
        record.connect_failures += 1
        record.unreachable_until = now + seconds

    def record_end(self, endpoint: str, now: float) -> None:
        """Record that an endpoint ended, whatever listens at its address."""
        record = self._records.setdefault(endpoint, EndpointHealth())
        record.connect_failures += 1
        record.unreachable_until = now + START_TIME

    def record_failure(self, endpoint: str, now: float) -> bool:
        """Record that a call failed; return whether that ejected it."""
        record = self._records.setdefault(endpoint, EndpointHealth())
        record.record_outcome(True, now)
        if not record.is_failing() or now < record.ejected_until:
            return False
        record.forget_outcomes()
        seconds = min(MAX_EJECTION_TIME, INITIAL_EJECTION_TIME * 2**record.ejections)
        record.ejections += 1
        record.ejected_until = now + seconds
        return True

    def forget_failures(self) -> None:
        """Use all endpoints again: their failures were not their own."""
        for record in self._records.values():
            record.forget_outcomes()
            record.failures = 0
            record.ejected_until = 0.0
            record.connect_failures = 0
            record.unreachable_until = 0.0

    def is_ejected(self, endpoint: str, now: float) -> bool:
        """Return whether an endpoint is ejected."""
        record = self._records.get(endpoint)
        return record is not None and now < record.ejected_until

    def list_usable(self, endpoints: Collection, now: float) -> list:
        """Return the endpoints that are reachable and not ejected.

        If more than ``MAX_EJECTED_FRACTION`` of the reachable ones are
        ejected, the cause is not in the endpoints alone, and all reachable
        ones are used. Unreachable ones are used only if there is no other.
        """
        reachable = [
            endpoint
            for endpoint in endpoints
            if not self._is_unreachable(endpoint.id, now)
        ]
        usable = [
            endpoint for endpoint in reachable if not self.is_ejected(endpoint.id, now)
        ]
        if len(usable) < len(reachable) * (1.0 - MAX_EJECTED_FRACTION):
            usable = reachable
        return usable or list(endpoints)

    def _is_unreachable(self, endpoint: str, now: float) -> bool:
        record = self._records.get(endpoint)
        return record is not None and now < record.unreachable_until

    def forget(self, known: Collection[str]) -> None:
        """Drop the records of endpoints that are gone and run no calls."""
        for endpoint in set(self._records) - set(known):
            if not self._records[endpoint].running:
                del self._records[endpoint]
