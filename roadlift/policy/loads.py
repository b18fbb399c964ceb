"""Queue loads by priority, and limit the load on the weight store.

Instances share the weight store without a common counter: each estimates how
congested the store is from the duration of its own loads.
"""

import math
from collections.abc import Container, Mapping
from typing import NamedTuple

PRIORITY_RANKS = {"interactive": 0, "standard": 1, "batch": 2}
# Seconds, by priority class, that a load is delayed so that further requests
# for the model can share it. Each request that arrives in that time, or finds
# the model loaded for another class, saves a load.
COALESCING_DELAYS = {"interactive": 0.0, "standard": 0.0, "batch": 30.0}
MAX_IDLE_DELAY = 2.0  # Maximum delay of any class at an idle endpoint, in s.
IDLE_TIME = 5.0  # Seconds without a load after which an endpoint is idle.

MAX_QUEUED_REQUESTS = 512  # Queued requests at one endpoint.
# Seconds, by priority class and beyond the coalescing delay, that a load waits
# at most for a store that is not congested.
MAX_STORE_WAIT = {"interactive": 0.0, "standard": 1.0, "batch": 30.0}
CONGESTION_THRESHOLD = 1.3  # Slowness from which the store is congested.
SLOWNESS_SMOOTHING = 0.3  # Weight of the latest load in the average slowness.
# Fraction by which the best time grows with each load.
BEST_TIME_GROWTH = 0.01
SLOWNESS_RETENTION = 5.0  # Seconds until the last slowness is disregarded.


class QueuedRequest(NamedTuple):
    """A pin request that waits for a load; times are in seconds."""

    holder: str
    nonce: int
    model: str
    priority: str
    deadline: float
    since: float


class LoadQueue:
    """The queued requests at one endpoint, most urgent class first."""

    def __init__(
        self,
        coalescing_delays: Mapping[str, float] = COALESCING_DELAYS,
        limit: int = MAX_QUEUED_REQUESTS,
    ) -> None:
        self._coalescing_delays = coalescing_delays
        self._limit = limit
        self._requests: list[QueuedRequest] = []

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, wait: QueuedRequest) -> bool:
        """Add a request; return False if the queue is full."""
        if len(self._requests) >= self._limit:
            return False
        self._requests.append(wait)
        return True

    def update(self, wait: QueuedRequest) -> bool:
        """Update a request that is queued already; return False if none is."""
        for index, queued in enumerate(self._requests):
            if queued.holder == wait.holder and queued.nonce == wait.nonce:
                self._requests[index] = wait._replace(since=queued.since)
                return True
        return False

    def peek(
        self,
        now: float,
        loading: Container[str] = (),
        full: Container[str] = (),
        is_idle: bool = False,
    ) -> QueuedRequest | None:
        """Return the first request that is due for a load, or None.

        A request is not due while its model is being loaded, or while the
        load is delayed for its priority class. At an idle endpoint a long
        delay saves nothing. Classes in ``full`` are meant not to be due
        either, but the argument is not evaluated.
        """
        max_delay = MAX_IDLE_DELAY if is_idle else math.inf
        due = (
            wait
            for wait in self._requests
            if wait.model not in loading
            and now - wait.since
            >= min(max_delay, self._coalescing_delays[wait.priority])
        )
        return min(due, key=_rank, default=None)

    def count_ahead(self, wait: QueuedRequest) -> int | None:
        """Return how many models are loaded before a request's model.

        None means that an equally urgent request for the model is queued.
        """
        rank = _rank(wait)
        ahead = {other.model for other in self._requests if _rank(other) <= rank}
        return None if wait.model in ahead else len(ahead)

    def pop_model(self, model: str) -> list[QueuedRequest]:
        """Remove and return the requests for ``model``, most urgent first."""
        found = sorted((w for w in self._requests if w.model == model), key=_rank)
        self._requests = [w for w in self._requests if w.model != model]
        return found

    def pop_expired(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests whose deadline has passed."""
        found = [w for w in self._requests if w.deadline <= now]
        if found:
            self._requests = [w for w in self._requests if w.deadline > now]
        return found

    def remove_holder(self, holder: str) -> None:
        """Remove the requests of a process that is dead."""
        self._requests = [w for w in self._requests if w.holder != holder]

    def list_models(self) -> set[str]:
        """Return the models of the queued requests."""
        return {w.model for w in self._requests}


def _rank(wait: QueuedRequest) -> tuple[int, float]:
    return PRIORITY_RANKS.get(wait.priority, len(PRIORITY_RANKS)), wait.since


class LoadGate:
    """Delay loads while the weight store is congested.

    All instances share the store's rate and concurrency, and none keeps a
    common count. Each detects congestion from the duration of its own loads,
    since above the store's concurrency every load is slower. While loads are
    slow, those of other than interactive requests wait up to a maximum time
    for the store. Interactive loads never wait here: a token, or a share of a
    rate that is unused elsewhere, would cost them more than congestion does
    (see docs/internals/policy.md).
    """

    def __init__(self) -> None:
        self._best = 0.0
        self._slowness = 1.0
        self._finished_at = 0.0
        self._running: dict[str, int] = {}

    def try_start(self, wait: QueuedRequest, now: float) -> bool:
        """Return whether a load for ``wait`` may start; count it if so."""
        if self._may_start(wait, now):
            self._running[wait.priority] = self._running.get(wait.priority, 0) + 1
            return True
        return False

    def finish(self, priority: str, seconds: float, now: float) -> None:
        """Record the end of a load and its duration."""
        self._running[priority] -= 1
        if seconds <= 0:
            return
        # The best time grows slowly, as the store may have become slower for
        # good.
        grown = self._best * (1.0 + BEST_TIME_GROWTH)
        self._best = min(seconds, grown) if self._best else seconds
        self._slowness += SLOWNESS_SMOOTHING * (seconds / self._best - self._slowness)
        self._finished_at = now

    def compute_slowness(self, now: float) -> float:
        """Return the slowness of loads, which decays to 1 (full speed)."""
        age = max(0.0, now - self._finished_at)
        return 1.0 + (self._slowness - 1.0) * max(0.0, 1.0 - age / SLOWNESS_RETENTION)

    def _may_start(self, wait: QueuedRequest, now: float) -> bool:
        max_wait = MAX_STORE_WAIT[wait.priority]
        if now - wait.since >= COALESCING_DELAYS[wait.priority] + max_wait:
            return True
        is_alone = not self._running.get(wait.priority)
        return is_alone and self.compute_slowness(now) < CONGESTION_THRESHOLD
