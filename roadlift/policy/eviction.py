"""Compute the value of keeping a loaded copy, to choose what to evict."""

import math
from typing import Protocol

from roadlift.core.registry import Registry

evictors: Registry = Registry("evictor")
MAX_MODELS = 512  # Models for which an endpoint's owner keeps usage data.
HALF_LIFE = 60.0  # Seconds after which a use has half its weight.


class ModelUse:
    """A model's usage: its last use and an exponentially decaying count."""

    __slots__ = ("last", "count")

    def __init__(self, now: float) -> None:
        self.last = now
        self.count = 0.0

    def note(self, now: float, uses: int = 1) -> None:
        """Record a number of uses at the time ``now``, in seconds."""
        self.count = uses + self.compute_count(now, HALF_LIFE)
        self.last = now

    def compute_count(self, now: float, half_life: float) -> float:
        """Return the count of uses, decayed by the half-life up to ``now``."""
        return self.count * math.exp2((self.last - now) / half_life)


class UseHistory:
    """The usage of models at one endpoint, kept after their eviction.

    If counts were reset at each load, a model that is loaded repeatedly could
    not be distinguished from one that is used once.
    """

    def __init__(self, max_models: int = MAX_MODELS) -> None:
        self._max_models = max_models
        self._uses: dict[str, ModelUse] = {}

    def find(self, model: str, now: float) -> ModelUse:
        """Return the usage of a model; a new entry starts at ``now``."""
        use = self._uses.get(model)
        if use is None:
            if len(self._uses) >= self._max_models:
                self._prune(now)
            use = self._uses[model] = ModelUse(now)
        return use

    def _prune(self, now: float) -> None:
        """Remove the half of the models with the lowest counts."""
        get_count = lambda item: item[1].compute_count(now, HALF_LIFE)
        kept = sorted(self._uses.items(), key=get_count, reverse=True)
        self._uses = dict(kept[: self._max_models // 2])


class Evictor(Protocol):
    """An eviction policy: the copy of the lowest value is evicted."""

    def compute_value(self, use: ModelUse, now: float) -> float:
        """Return the value of a copy at ``now``, on any scale."""


@evictors.register("recency")
class RecencyEvictor:
    """Evict the least recently used copy."""

    def compute_value(self, use: ModelUse, now: float) -> float:
        """Return the time of the last use."""
        return use.last


@evictors.register("aged_frequency")
class AgedFrequencyEvictor:
    """Evict the copy with the lowest decayed count of uses."""

    def compute_value(self, use: ModelUse, now: float) -> float:
        """Return the decayed count of uses."""
        return use.compute_count(now, HALF_LIFE)
