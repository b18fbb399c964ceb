"""Measure what organisations ask for and use, at one instance."""

import math

# Seconds over which a rate is taken: long enough for a few calls of one
# organisation at one instance, short enough to follow a burst of some seconds.
SPAN = 2.0


class Rate:
    """A fading mean of amounts a second."""

    __slots__ = ("_noted_at", "_total")

    def __init__(self, now: float) -> None:
        self._noted_at = now
        self._total = 0.0

    def note(self, amount: float, now: float) -> None:
        """Count an amount."""
        self._total = self.measure(now) * SPAN + amount
        self._noted_at = now

    def measure(self, now: float) -> float:
        """Return the amount a second of late."""
        fade = math.exp((self._noted_at - now) / SPAN)
        return self._total * fade / SPAN
