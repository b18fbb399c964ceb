"""Exponentially decaying means of rates and of levels."""

import math


class Rate:
    """A decaying mean of amounts a second; ``window`` is in seconds."""

    __slots__ = ("_noted_at", "_span", "_total")

    def __init__(self, span: float, now: float) -> None:
        self._span = span
        self._noted_at = now
        self._total = 0.0

    def note(self, amount: float, now: float) -> None:
        """Count an amount."""
        self._total = self.measure(now) * self._span + amount
        self._noted_at = now

    def measure(self, now: float) -> float:
        """Return the recent amount a second."""
        fade = math.exp((self._noted_at - now) / self._span)
        return self._total * fade / self._span


class Level:
    """A decaying mean of a count that goes up and down."""

    __slots__ = ("_count", "_mean", "_noted_at", "_span")

    def __init__(self, span: float, now: float) -> None:
        self._span = span
        self._mean = 0.0
        self._count = 0
        self._noted_at = now

    def change(self, count: int, now: float) -> None:
        """Add to the count, or subtract from it if ``count`` is negative."""
        self._mean = self.measure(now)
        self._noted_at = now
        self._count += count

    def measure(self, now: float) -> float:
        """Return the recent mean."""
        fade = math.exp((self._noted_at - now) / self._span)
        return self._count + (self._mean - self._count) * fade
