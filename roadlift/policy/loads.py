"""Order the loads that wait, and share the weight store's budget.

The budget is one for the deployment, and no instance counts for all. Each
takes a share of the rate by its part of the loads that wait anywhere, as the
heartbeats tell; a share is a token bucket with room for one load, so that
the rate holds over time without a common counter.
"""

from collections.abc import Container
from typing import NamedTuple

RANKS = {"interactive": 0, "standard": 1, "batch": 2}


class Waiting(NamedTuple):
    """An asking that waits for a load; times are in seconds."""

    holder: str
    nonce: int
    model: str
    priority: str
    deadline: float
    since: float


class LoadQueue:
    """The askings that wait at one endpoint, soonest class first."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._waiting: list[Waiting] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, wait: Waiting) -> bool:
        """Take an asking; False means that the queue is full."""
        for index, known in enumerate(self._waiting):
            if known.holder == wait.holder and known.nonce == wait.nonce:
                self._waiting[index] = wait._replace(since=known.since)
                return True
        if len(self._waiting) >= self._limit:
            return False
        self._waiting.append(wait)
        return True

    def peek(self, loading: Container[str] = ()) -> Waiting | None:
        """Return the first asking whose model is not loading, or None."""
        due = (wait for wait in self._waiting if wait.model not in loading)
        return min(due, key=_rank, default=None)

    def pop_model(self, model: str) -> list[Waiting]:
        """Remove and return the askings for ``model``, soonest first."""
        found = sorted((w for w in self._waiting if w.model == model), key=_rank)
        self._waiting = [w for w in self._waiting if w.model != model]
        return found

    def pop_expired(self, now: float) -> list[Waiting]:
        """Remove and return the askings whose deadline is over."""
        found = [w for w in self._waiting if w.deadline <= now]
        if found:
            self._waiting = [w for w in self._waiting if w.deadline > now]
        return found

    def remove_holder(self, holder: str) -> None:
        """Remove the askings of a process that is dead."""
        self._waiting = [w for w in self._waiting if w.holder != holder]

    def list_models(self) -> set[str]:
        """Return the models that are waited for."""
        return {w.model for w in self._waiting}


def _rank(wait: Waiting) -> tuple[int, float]:
    return RANKS.get(wait.priority, len(RANKS)), wait.since


class LoadBudget:
    """This instance's share of the loads a second of the weight store."""

    def __init__(self, rate: float, width: int) -> None:
        self._rate = rate
        self._width = width
        self._share = 1.0
        self._tokens = 1.0
        self._since = 0.0
        self._running = 0

    def set_share(self, own_demand: int, all_demand: int, instances: int) -> None:
        """Set the share from the loads that wait here and everywhere.

        Half of a load for each instance is added, so that one which has
        nothing waiting can start its first load at once.
        """
        floor = 0.5
        self._share = (own_demand + floor) / (all_demand + floor * max(1, instances))
        self._share = min(1.0, self._share)

    def try_start(self, now: float, priority: str) -> bool:
        """Take one load from the share; False means to wait."""
        refill = (now - self._since) * self._rate * self._share
        self._tokens = min(1.0, self._tokens + refill)
        self._since = now
        if self._tokens < 1.0 or self._running >= self._measure_width():
            return False
        self._tokens -= 1.0
        self._running += 1
        return True

    def finish(self) -> None:
        """Count one load as ended."""
        self._running -= 1

    def _measure_width(self) -> int:
        return max(1, round(self._width * self._share))
