"""Measure what a loaded copy is worth keeping, for eviction."""

import math
from typing import Protocol

from roadlift.core.registry import Registry

evictors: Registry = Registry("evictor")
HALF_LIFE = 30.0  # Seconds in which a use loses half its weight.


class CopyUse:
    """How a copy was used: its last use and an ageing count of uses."""

    __slots__ = ("last", "count")

    def __init__(self, now: float) -> None:
        self.last = now
        self.count = 0.0

    def note(self, now: float) -> None:
        """Count one use at ``now``, in seconds."""
        self.count = 1.0 + self.measure_count(now, HALF_LIFE)
        self.last = now

    def measure_count(self, now: float, half_life: float) -> float:
        """Return the count of uses, each aged by its half-life."""
        return self.count * math.exp2((self.last - now) / half_life)


class Evictor(Protocol):
    """How copies compare; the one worth least is evicted."""

    def measure_worth(self, use: CopyUse, now: float) -> float:
        """Return the worth of a copy at ``now``; any scale."""


@evictors.register("recency")
class RecencyEvictor:
    """Evict the copy that was used longest ago."""

    def measure_worth(self, use: CopyUse, now: float) -> float:
        """Return the time of the last use."""
        return use.last


@evictors.register("aged_frequency")
class AgedFrequencyEvictor:
    """Evict the copy whose uses, halved each half-life, count least."""

    def measure_worth(self, use: CopyUse, now: float) -> float:
        """Return the aged count of uses."""
        return use.measure_count(now, HALF_LIFE)
