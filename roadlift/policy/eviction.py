"""Measure what a loaded copy is worth keeping, for eviction."""

import math
from typing import Protocol

from roadlift.core.registry import Registry

evictors: Registry = Registry("evictor")
MOST_MODELS = 512  # Models whose use one endpoint's owner remembers.
HALF_LIFE = 60.0  # Seconds in which a use loses half its weight.


class ModelUse:
    """How a model was used: its last use and an ageing count of uses."""

    __slots__ = ("last", "count")

    def __init__(self, now: float) -> None:
        self.last = now
        self.count = 0.0

    def note(self, now: float, uses: int = 1) -> None:
        """Count uses at ``now``, in seconds."""
        self.count = uses + self.measure_count(now, HALF_LIFE)
        self.last = now

    def measure_count(self, now: float, half_life: float) -> float:
        """Return the count of uses, each aged by its half-life."""
        return self.count * math.exp2((self.last - now) / half_life)


class UseHistory:
    """The uses of models at one endpoint, also after their eviction.

    A count that began anew with each load would not tell a model that comes
    back again and again from one that comes once.
    """

    def __init__(self, most: int = MOST_MODELS) -> None:
        self._most = most
        self._uses: dict[str, ModelUse] = {}

    def find(self, model: str, now: float) -> ModelUse:
        """Return the use of a model, which begins now if it is new."""
        use = self._uses.get(model)
        if use is None:
            if len(self._uses) >= self._most:
                self._forget(now)
            use = self._uses[model] = ModelUse(now)
        return use

    def _forget(self, now: float) -> None:
        """Drop the half that was used least."""
        worth = lambda item: item[1].measure_count(now, HALF_LIFE)
        kept = sorted(self._uses.items(), key=worth, reverse=True)
        self._uses = dict(kept[: self._most // 2])


class Evictor(Protocol):
    """How copies compare; the one worth least is evicted."""

    def measure_worth(self, use: ModelUse, now: float) -> float:
        """Return the worth of a copy at ``now``; any scale."""


@evictors.register("recency")
class RecencyEvictor:
    """Evict the copy that was used longest ago."""

    def measure_worth(self, use: ModelUse, now: float) -> float:
        """Return the time of the last use."""
        return use.last


@evictors.register("aged_frequency")
class AgedFrequencyEvictor:
    """Evict the copy whose uses, halved each half-life, count least."""

    def measure_worth(self, use: ModelUse, now: float) -> float:
        """Return the aged count of uses."""
        return use.measure_count(now, HALF_LIFE)
