"""Order the loads that wait, and share the weight store's budget.

Instances share the store without a common counter: each sees by the time of
its own loads how crowded it is.
"""

import math
from collections.abc import Container, Mapping
from typing import NamedTuple

RANKS = {"interactive": 0, "standard": 1, "batch": 2}
# Seconds that a class waits for more requests of its model before a load is
# made for it. Each that comes meanwhile, or finds the model loaded for
# another class, saves a load.
HOLDS = {"interactive": 0.0, "standard": 0.0, "batch": 30.0}
QUIET_HOLD = 2.0  # Seconds that any class is held at most at a quiet endpoint.
QUIET = 5.0  # Seconds without a load after which an endpoint is quiet.

MOST_WAITING = 512  # Askings that wait at one endpoint.
# Seconds, beyond its hold, that a class waits for an uncrowded store.
PATIENCE = {"interactive": 0.0, "standard": 1.0, "batch": 30.0}
CROWDED = 1.3  # Slowness of loads at which the store counts as crowded.
SMOOTHING = 0.3  # Weight of the latest load in the slowness.
BEST_AGEING = 0.01  # Part by which the best time grows with each load.
NEWS_LIMIT = 5.0  # Seconds until the slowness of the last loads is forgotten.


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

    def __init__(
        self, holds: Mapping[str, float] = HOLDS, limit: int = MOST_WAITING
    ) -> None:
        self._holds = holds
        self._limit = limit
        self._waiting: list[Waiting] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, wait: Waiting) -> bool:
        """Take an asking; False means that the queue is full."""
        if len(self._waiting) >= self._limit:
            return False
        self._waiting.append(wait)
        return True

    def update(self, wait: Waiting) -> bool:
        """Renew an asking that waits already; False means that none does."""
        for index, known in enumerate(self._waiting):
            if known.holder == wait.holder and known.nonce == wait.nonce:
                self._waiting[index] = wait._replace(since=known.since)
                return True
        return False

    def peek(
        self,
        now: float,
        loading: Container[str] = (),
        full: Container[str] = (),
        is_quiet: bool = False,
    ) -> Waiting | None:
        """Return the first asking that is due for a load, or None.

        One whose model is being loaded already, or whose class is held back
        for company or is one of ``full``, is not due. At a quiet endpoint
        there is nothing to save by a long hold.
        """
        most = QUIET_HOLD if is_quiet else math.inf
        due = (
            wait
            for wait in self._waiting
            if wait.model not in loading
            and now - wait.since >= min(most, self._holds[wait.priority])
        )
        return min(due, key=_rank, default=None)

    def count_ahead(self, wait: Waiting) -> int | None:
        """Return how many models are loaded before an asking's.

        None means that an asking as urgent waits for its model already.
        """
        rank = _rank(wait)
        ahead = {other.model for other in self._waiting if _rank(other) <= rank}
        return None if wait.model in ahead else len(ahead)

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


class LoadGate:
    """Hold loads back while the weight store is crowded.

    The store's rate and width are one for the deployment, and no instance
    counts for all. Each sees the crowd by how long its own loads take: above
    the width every load is slowed. While they are slow, a class below the
    first waits for a free store, up to its patience; the first class never
    waits here, since a token or a share of a rate that is idle elsewhere
    would cost it more than a crowd does (see docs/internals/policy.md).
    """

    def __init__(self) -> None:
        self._best = 0.0
        self._slowness = 1.0
        self._seen_at = 0.0
        self._running: dict[str, int] = {}

    def try_start(self, wait: Waiting, now: float) -> bool:
        """Let a load for ``wait`` start, or tell it to wait."""
        if self._may_start(wait, now):
            self._running[wait.priority] = self._running.get(wait.priority, 0) + 1
            return True
        return False

    def finish(self, priority: str, seconds: float, now: float) -> None:
        """Count a load as ended after some seconds."""
        self._running[priority] -= 1
        if seconds <= 0:
            return
        # The best time is forgotten slowly, as a store may change for good.
        aged = self._best * (1.0 + BEST_AGEING)
        self._best = min(seconds, aged) if self._best else seconds
        self._slowness += SMOOTHING * (seconds / self._best - self._slowness)
        self._seen_at = now

    def measure_slowness(self, now: float) -> float:
        """Return how slow loads are: 1 is full speed; old news count less."""
        age = max(0.0, now - self._seen_at)
        return 1.0 + (self._slowness - 1.0) * max(0.0, 1.0 - age / NEWS_LIMIT)

    def _may_start(self, wait: Waiting, now: float) -> bool:
        patience = PATIENCE[wait.priority]
        if now - wait.since >= HOLDS[wait.priority] + patience:
            return True
        is_alone = not self._running.get(wait.priority)
        return is_alone and self.measure_slowness(now) < CROWDED
