"""Compare the speed of each endpoint with the others of its service.

The sample of a call is, for a stream, the mean time between its events, which
does not depend on the length of the prompt; for another answer it is the whole
duration. It grows with slow hardware and with too many concurrent calls.
"""

import math
import statistics
from collections.abc import Collection, Iterable

HALF_LIFE = 2.0  # Seconds in which the weight of a sample halves.
# A sample is capped at this multiple of the current mean, so that one long
# answer does not make its endpoint look slow.
MAX_SAMPLE_RATIO = 4.0
MIN_FACTOR = 0.5  # Bounds of the relative speed factor.
MAX_FACTOR = 4.0


class _Mean:
    """An exponentially decaying mean of samples, in seconds."""

    __slots__ = ("updated_at", "total", "weight")

    def __init__(self, now: float) -> None:
        self.updated_at = now
        self.total = 0.0
        self.weight = 0.0

    def add(self, seconds: float, now: float) -> None:
        """Add a sample."""
        decay = math.exp2((self.updated_at - now) / HALF_LIFE)
        if self.weight:
            seconds = min(seconds, MAX_SAMPLE_RATIO * self.total / self.weight)
        self.total = self.total * decay + seconds
        self.weight = self.weight * decay + 1.0
        self.updated_at = now

    def measure(self, now: float) -> tuple[float, float]:
        """Return the mean and its weight at ``now``."""
        decay = math.exp2((self.updated_at - now) / HALF_LIFE)
        return self.total / self.weight, self.weight * decay


class EngineSpeeds:
    """The speeds of endpoints, as observed by this process's calls."""

    def __init__(self) -> None:
        self._means: dict[str, _Mean] = {}

    def note(self, endpoint: str, seconds: float, now: float) -> None:
        """Add the sample of a call that an endpoint served."""
        mean = self._means.get(endpoint)
        if mean is None:
            mean = self._means[endpoint] = _Mean(now)
        mean.add(seconds, now)

    def compare(self, endpoints: Iterable[str], now: float) -> dict[str, float]:
        """Return a slowness factor by endpoint; 1 is the service's median.

        The factor of an endpoint with few or old samples is close to 1.
        """
        known = {
            name: self._means[name].measure(now)
            for name in endpoints
            if name in self._means
        }
        if len(known) < 2:
            return {}
        median = statistics.median(mean for mean, _ in known.values())
        if median <= 0:
            return {}
        return {
            name: _bound((weight * mean / median + 1.0) / (weight + 1.0))
            for name, (mean, weight) in known.items()
        }

    def forget(self, known: Collection[str]) -> None:
        """Drop the endpoints that are gone."""
        for endpoint in set(self._means) - set(known):
            del self._means[endpoint]


def _bound(factor: float) -> float:
    return min(MAX_FACTOR, max(MIN_FACTOR, factor))
