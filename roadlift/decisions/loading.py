"""Learn how long a call waits until its adapter is loaded.

Load pattern: most adapters are called once or twice, so that many calls begin
with a load. One from the weight store takes ten times as long as one from an
engine's own memory, and both grow when many are on their way.
"""

import enum

SMOOTHING = 0.2  # Weight of the latest wait in an estimate.
MOST_SAMPLE = 2.0  # Seconds of one wait that count at most.


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


class LoadWaits:
    """The seconds from asking for an adapter to its being loaded."""

    def __init__(self) -> None:
        self._estimates = dict(_FIRST_GUESSES)
        self.place_wait = FIRST_PLACE_WAIT

    def note(self, source: Source, seconds: float) -> None:
        """Learn how long a load took for which a place was free."""
        known = self._estimates[source]
        change = SMOOTHING * (min(seconds, MOST_SAMPLE) - known)
        self._estimates[source] = known + change

    def note_place(self, seconds: float) -> None:
        """Learn how long it took until a full engine had a place free."""
        change = SMOOTHING * (min(seconds, MOST_SAMPLE) - self.place_wait)
        self.place_wait += change

    def estimate(self, source: Source) -> float:
        """Return how long a load takes."""
        return self._estimates[source]
