"""Learn how long a call waits until its adapter is loaded.

Load pattern: most adapters are called once or twice, so that many calls begin
with a load. One from the weight store takes ten times as long as one from an
engine's own memory, and both grow when many are on their way.
"""

import enum
import math

SMOOTHING = 0.2  # Weight of the latest wait in an estimate.
MOST_SAMPLE = 2.0  # Seconds of one wait that count at most.
# Seconds in which an estimate loses half its distance to the first guess
# while nothing is learned. A call whose load is predicted to come too late is
# refused, and teaches nothing: behind a time of slow loads, calls would be
# refused for good.
HALF_LIFE = 5.0


class Source(enum.Enum):
    """Where an engine has an adapter from.

    HELD: it is in a place there. AT_HAND: the engine held it a while ago and
    has it in its memory. STORE: the weight store must send it.
    """

    HELD = "held"
    AT_HAND = "at_hand"
    STORE = "store"


# Seconds before anything was observed: a transfer of some tens of megabytes,
# and a tenth of it from memory, with the messages around it.
_FIRST_GUESSES = {Source.HELD: 0.0, Source.AT_HAND: 0.05, Source.STORE: 0.3}
FIRST_PLACE_WAIT = 0.3  # Seconds until a place comes free, likewise.


class Generations:
    """The seconds that a route's calls take behind their first event."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def note(self, route: str, seconds: float) -> None:
        """Learn how long a call generated."""
        known = self._means.get(route, seconds)
        self._means[route] = known + SMOOTHING * (seconds - known)

    def estimate(self, route: str) -> float:
        """Return how long a route's calls generate; 0 where none is known."""
        return self._means.get(route, 0.0)


# How many times the usual deviation of loads from their estimate a load is
# begun sooner than the last moment: what comes just too late serves nobody.
SAFETY = 2.0


class _Estimate:
    """An estimate in seconds that fades to its first guess without samples.

    So does the usual deviation of the samples from it, to none.
    """

    __slots__ = ("_deviation", "_guess", "_noted_at", "_value")

    def __init__(self, guess: float) -> None:
        self._guess = guess
        self._noted_at = 0.0
        self._value = guess
        self._deviation = 0.0

    def get(self, now: float) -> float:
        """Return the estimate."""
        return self._guess + (self._value - self._guess) * self._fade(now)

    def measure_deviation(self, now: float) -> float:
        """Return by how much the samples differed from the estimate."""
        return self._deviation * self._fade(now)

    def _fade(self, now: float) -> float:
        return math.exp2((self._noted_at - now) / HALF_LIFE)

    def note(self, seconds: float, now: float) -> None:
        """Take a sample."""
        known = self.get(now)
        error = min(seconds, MOST_SAMPLE) - known
        deviation = self.measure_deviation(now)
        self._deviation = deviation + SMOOTHING * (abs(error) - deviation)
        self._value = known + SMOOTHING * error
        self._noted_at = now


class LoadWaits:
    """The seconds from asking for an adapter to its being loaded."""

    def __init__(self) -> None:
        self._loads = {
            source: _Estimate(guess) for source, guess in _FIRST_GUESSES.items()
        }
        self._place = _Estimate(FIRST_PLACE_WAIT)

    def note(self, source: Source, seconds: float, now: float) -> None:
        """Learn how long a load took for which a place was free."""
        self._loads[source].note(seconds, now)

    def note_place(self, seconds: float, now: float) -> None:
        """Learn how long it took until a full engine had a place free."""
        self._place.note(seconds, now)

    def estimate(self, source: Source, now: float) -> float:
        """Return how long a load takes."""
        return self._loads[source].get(now)

    def estimate_safely(self, source: Source, now: float) -> float:
        """Return within how many seconds nearly every load is done."""
        known = self._loads[source]
        return known.get(now) + SAFETY * known.measure_deviation(now)

    def estimate_place(self, now: float) -> float:
        """Return how long it takes until a full engine has a place free."""
        return self._place.get(now)
