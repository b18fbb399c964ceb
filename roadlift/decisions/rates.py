"""Exponentially decaying means of rates and of levels."""

import math


class Rate:
    """A decaying mean of amounts a second; ``window`` is in seconds."""

    __slots__ = ("_updated_at", "_window", "_total")

    def __init__(self, window: float, now: float) -> None:
        self._window = window
        self._updated_at = now
        self._total = 0.0

    def note(self, amount: float, now: float) -> None:
        """Count an amount."""
        self._total = self.measure(now) * self._window + amount
        self._updated_at = now

    def measure(self, now: float) -> float:
        """Return the recent amount a second."""
        decay = math.exp((self._updated_at - now) / self._window)
        return self._total * decay / self._window


class LevelMean:
    """A decaying mean of a count that goes up and down."""

    __slots__ = ("_count", "_mean", "_updated_at", "_window")

    def __init__(self, window: float, now: float) -> None:
        self._window = window
        self._mean = 0.0
        self._count = 0
        self._updated_at = now

    def change(self, count: int, now: float) -> None:
        """Add to the count, or subtract from it if ``count`` is negative."""
        self._mean = self.measure(now)
        self._updated_at = now
        self._count += count

    def measure(self, now: float) -> float:
        """Return the recent mean."""
        decay = math.exp((self._updated_at - now) / self._window)
        return self._count + (self._mean - self._count) * decay
