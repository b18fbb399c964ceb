"""Estimate how long engines take to read (prefill) prompts.

Load pattern: prompts from some hundreds to tens of thousands of tokens reach
engines that read them one after the other. The number of calls ahead says
little about how long a further one waits there; the number of tokens ahead
does.
"""

import math
from collections.abc import Collection

# Seconds a prompt token before the first sample: the order of magnitude at
# which one current accelerator reads prompts of a large model. An initial
# value that is wrong by a factor of three is corrected after a few calls.
INITIAL_ESTIMATE = 30e-6
# Tokens from which a call's time to its first event shows how fast its engine
# reads: below, the fixed costs of a call outweigh the reading.
MIN_TOKENS = 1000
HALF_LIFE = 5.0  # Seconds in which a sample loses half its weight.
# Weight, in samples, of the service's mean in the estimate of one engine.
SHARED_WEIGHT = 2.0
# Largest factor between a sample and the estimate: a call that waited for
# something not modelled here must not make its engine look slow for long.
MAX_STEP = 3.0


class _Mean:
    """A decaying mean of samples."""

    __slots__ = ("updated_at", "total", "weight")

    def __init__(self) -> None:
        self.updated_at = 0.0
        self.total = 0.0
        self.weight = 0.0

    def note(self, value: float, now: float) -> None:
        """Add a sample."""
        decay = math.exp2((self.updated_at - now) / HALF_LIFE)
        self.total = self.total * decay + value
        self.weight = self.weight * decay + 1.0
        self.updated_at = now

    def compute_weight(self, now: float) -> float:
        """Return the current weight of the samples."""
        return self.weight * math.exp2((self.updated_at - now) / HALF_LIFE)

    def compute_mean(self) -> float:
        """Return the mean of the samples."""
        return self.total / self.weight


class ReadingTimes:
    """The seconds that each engine takes for a prompt token."""

    def __init__(self) -> None:
        self._engines: dict[str, _Mean] = {}
        self._all = _Mean()
        self._reported: dict[str, float] = {}

    def note(self, endpoint: str, tokens: float, seconds: float, now: float) -> None:
        """Record the time of a call's first event.

        ``tokens`` is the number of its own tokens and those ahead of it.
        """
        if tokens < MIN_TOKENS:
            return
        known = self.estimate(endpoint, now)
        value = min(max(seconds / tokens, known / MAX_STEP), known * MAX_STEP)
        self._engines.setdefault(endpoint, _Mean()).note(value, now)
        self._all.note(value, now)

    def estimate(self, endpoint: str, now: float) -> float:
        """Return an engine's seconds a token."""
        reported = self._reported.get(endpoint)
        if reported is not None:
            return reported
        usual = self._all.compute_mean() if self._all.weight else INITIAL_ESTIMATE
        mean = self._engines.get(endpoint)
        if mean is None:
            return usual
        weight = mean.compute_weight(now)
        total = weight * mean.compute_mean() + SHARED_WEIGHT * usual
        return total / (weight + SHARED_WEIGHT)

    def record_report(self, endpoint: str, token_time: float) -> None:
        """Record what an engine's owner learned from all instances' calls.

        It goes before the samples of this process; 0 if nothing is known.
        """
        if token_time > 0.0:
            self._reported[endpoint] = token_time
        else:
            self._reported.pop(endpoint, None)

    def forget(self, known: Collection[str]) -> None:
        """Drop the engines that no longer exist."""
        for times in (self._engines, self._reported):
            for endpoint in set(times) - set(known):
                del times[endpoint]
