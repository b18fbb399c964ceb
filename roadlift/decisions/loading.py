"""Estimate how long a call waits until its adapter is loaded.

Load pattern: most adapters are called once or twice, so that many calls begin
with a load. A load from the weight store takes ten times as long as one from
an engine's own memory, and both take longer when many loads are in progress.
"""

import enum
import math

SMOOTHING = 0.2  # Weight of the latest wait in an estimate.
MAX_SAMPLE = 2.0  # Upper bound of one sample, in seconds.
# Seconds in which an estimate loses half its distance to the initial estimate
# while there are no samples. A call whose load is predicted to finish too late
# is refused and provides no sample: without the decay, calls would be refused
# forever after a period of slow loads.
HALF_LIFE = 5.0


class AdapterSource(enum.Enum):
    """Where an engine gets an adapter from.

    HELD: it is in a slot there. AT_HAND: the engine held it before and still
    has it in memory. STORE: it must be fetched from the weight store.
    """

    HELD = "held"
    AT_HAND = "at_hand"
    STORE = "store"


# Seconds assumed before the first sample: a transfer of some tens of
# megabytes, a tenth of that from memory, including the messages.
_INITIAL_ESTIMATES = {
    AdapterSource.HELD: 0.0,
    AdapterSource.AT_HAND: 0.05,
    AdapterSource.STORE: 0.3,
}
INITIAL_SLOT_WAIT = 0.3  # Seconds until a slot becomes free, likewise.


class GenerationTimes:
    """The seconds that a route's calls take after their first event."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def note(self, route: str, seconds: float) -> None:
        """Record how long a call generated."""
        known = self._means.get(route, seconds)
        self._means[route] = known + SMOOTHING * (seconds - known)

    def estimate(self, route: str) -> float:
        """Return how long a route's calls generate; 0 if not known."""
        return self._means.get(route, 0.0)


# Loads begin before the last possible moment by this many times their mean
# deviation from the estimate: a load that finishes just too late serves no
# call.
SAFETY_FACTOR = 2.0


class _Estimate:
    """An estimate in seconds that decays to its initial value without samples.

    The mean deviation of the samples from it decays to 0 likewise.
    """

    __slots__ = ("_deviation", "_initial", "_updated_at", "_value")

    def __init__(self, initial: float) -> None:
        self._initial = initial
        self._updated_at = 0.0
        self._value = initial
        self._deviation = 0.0

    def get(self, now: float) -> float:
        """Return the estimate."""
        return self._initial + (self._value - self._initial) * self._decay(now)

    def compute_deviation(self, now: float) -> float:
        """Return the mean deviation of the samples from the estimate."""
        return self._deviation * self._decay(now)

    def _decay(self, now: float) -> float:
        return math.exp2((self._updated_at - now) / HALF_LIFE)

    def note(self, seconds: float, now: float) -> None:
        """Add a sample."""
        known = self.get(now)
        error = min(seconds, MAX_SAMPLE) - known
        deviation = self.compute_deviation(now)
        self._deviation = deviation + SMOOTHING * (abs(error) - deviation)
        self._value = known + SMOOTHING * error
        self._updated_at = now


class LoadWaits:
    """The seconds from a load request until the adapter is loaded."""

    def __init__(self) -> None:
        self._loads = {
            source: _Estimate(initial) for source, initial in _INITIAL_ESTIMATES.items()
        }
        self._slot_wait = _Estimate(INITIAL_SLOT_WAIT)

    def note(self, source: AdapterSource, seconds: float, now: float) -> None:
        """Record how long a load took for which a slot was free."""
        self._loads[source].note(seconds, now)

    def record_slot_wait(self, seconds: float, now: float) -> None:
        """Record how long it took until a full engine had a free slot."""
        self._slot_wait.note(seconds, now)

    def estimate(self, source: AdapterSource, now: float) -> float:
        """Return how long a load takes."""
        return self._loads[source].get(now)

    def estimate_upper_bound(self, source: AdapterSource, now: float) -> float:
        """Return a time within which nearly every load is done."""
        known = self._loads[source]
        return known.get(now) + SAFETY_FACTOR * known.compute_deviation(now)

    def estimate_slot_wait(self, now: float) -> float:
        """Return how long it takes until a full engine has a free slot."""
        return self._slot_wait.get(now)
