"""Bound what is admitted, by class, so that overload is refused early."""

from collections.abc import Mapping
from typing import NamedTuple


class EndpointLimits(NamedTuple):
    """When an endpoint's owner refuses a class at once, by class.

    ``full_at`` is how many times its width an endpoint may have running and
    queued; ``most_load_wait`` how many seconds a load, with those before it,
    may be expected to take. The contracted tail is refused last.
    """

    full_at: Mapping[str, float]
    most_load_wait: Mapping[str, float]


DEFAULT_LIMITS = EndpointLimits(
    {"interactive": 2.0, "standard": 1.5, "batch": 0.8},
    {"interactive": 3.0, "standard": 5.0, "batch": 200.0},
)


class Limits(NamedTuple):
    """The limits of one instance, in requests."""

    most_running: int


class Admission:
    """Count the requests of an instance, in all and by service."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._by_service: dict[str, int] = {}
        self.running = 0

    def admit(self, service: str, most: int) -> bool:
        """Take a request of ``service``, which may have ``most`` at once."""
        count = self._by_service.get(service, 0)
        if self.running >= self._limits.most_running or count >= most:
            return False
        self._by_service[service] = count + 1
        self.running += 1
        return True

    def leave(self, service: str) -> None:
        """Count a request of ``service`` as over."""
        self.running -= 1
        self._by_service[service] -= 1
        if not self._by_service[service]:
            del self._by_service[service]
