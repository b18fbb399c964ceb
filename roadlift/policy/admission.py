"""Limit admission by priority class, so that overload is refused early."""

from collections.abc import Mapping
from typing import NamedTuple


class EndpointLimits(NamedTuple):
    """Limits, by priority class, above which an owner refuses requests.

    ``max_fill`` bounds the running and queued requests as a multiple of the
    endpoint's batch size; ``max_load_wait`` bounds the expected time in
    seconds of a load and those ahead of it. Interactive requests, whose tail
    latency is contracted, are refused last as an endpoint fills up.
    """

    max_fill: Mapping[str, float]
    max_load_wait: Mapping[str, float]


DEFAULT_LIMITS = EndpointLimits(
    {"interactive": 2.0, "standard": 1.5, "batch": 0.8},
    {"interactive": 3.0, "standard": 5.0, "batch": 200.0},
)


class AdmissionLimits(NamedTuple):
    """Limits of one instance; ``most_running`` is a number of requests."""

    most_running: int


class Admission:
    """Count the running requests of an instance, in total and by service."""

    def __init__(self, limits: AdmissionLimits) -> None:
        self._limits = limits
        self._by_service: dict[str, int] = {}
        self.running = 0

    def admit(self, service: str, limit: int) -> bool:
        """Admit a request of ``service``, which may have ``limit`` at once."""
        count = self._by_service.get(service, 0)
        if self.running >= self._limits.most_running or count >= limit:
            return False
        self._by_service[service] = count + 1
        self.running += 1
        return True

    def release(self, service: str) -> None:
        """Record that a request of ``service`` has ended."""
        self.running -= 1
        self._by_service[service] -= 1
        if not self._by_service[service]:
            del self._by_service[service]
