"""Measure how slow each endpoint is, against the others of its service.

The sample of a call is how long its answer took for each part: for a stream
the mean time between its events, which does not depend on how long the prompt
was, for another answer the whole time. It grows where an endpoint's hardware
is slow and where too much is under way there.
"""

import math
import statistics
from collections.abc import Collection, Iterable

HALF_LIFE = 2.0  # Seconds in which the weight of a sample halves.
# A sample counts as this many times the known pace at most, so that one long
# answer does not make its endpoint look slow.
MOST_STEP = 4.0
LEAST_FACTOR = 0.5  # Bounds of what is made of it.
MOST_FACTOR = 4.0


class _Mean:
    """An ageing mean of samples, in seconds."""

    __slots__ = ("noted_at", "total", "weight")

    def __init__(self, now: float) -> None:
        self.noted_at = now
        self.total = 0.0
        self.weight = 0.0

    def note(self, seconds: float, now: float) -> None:
        """Take a sample."""
        fade = math.exp2((self.noted_at - now) / HALF_LIFE)
        if self.weight:
            seconds = min(seconds, MOST_STEP * self.total / self.weight)
        self.total = self.total * fade + seconds
        self.weight = self.weight * fade + 1.0
        self.noted_at = now

    def measure(self, now: float) -> tuple[float, float]:
        """Return the mean, and what weight it has now."""
        fade = math.exp2((self.noted_at - now) / HALF_LIFE)
        return self.total / self.weight, self.weight * fade


class Paces:
    """The paces of endpoints, as this process's calls show them."""

    def __init__(self) -> None:
        self._means: dict[str, _Mean] = {}

    def note(self, endpoint: str, seconds: float, now: float) -> None:
        """Take the sample of a call that an endpoint served."""
        mean = self._means.get(endpoint)
        if mean is None:
            mean = self._means[endpoint] = _Mean(now)
        mean.note(seconds, now)

    def compare(self, endpoints: Iterable[str], now: float) -> dict[str, float]:
        """Return how slow each endpoint is; 1 is usual for its service.

        An endpoint whose samples are old or few counts as nearly usual.
        """
        known = {
            name: self._means[name].measure(now)
            for name in endpoints
            if name in self._means
        }
        if len(known) < 2:
            return {}
        usual = statistics.median(mean for mean, _ in known.values())
        if usual <= 0:
            return {}
        return {
            name: _bound((weight * mean / usual + 1.0) / (weight + 1.0))
            for name, (mean, weight) in known.items()
        }

    def forget(self, known: Collection[str]) -> None:
        """Drop the endpoints that are gone."""
        for endpoint in set(self._means) - set(known):
            del self._means[endpoint]


def _bound(factor: float) -> float:
    return min(MOST_FACTOR, max(LEAST_FACTOR, factor))
