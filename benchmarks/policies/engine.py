"""Model the engines and the weight store on one event queue."""

import heapq
import itertools
from collections.abc import Callable

from benchmarks.policies.scenarios import PREFILL, STEP, Deployment
from roadlift.policy.loads import PRIORITY_RANKS


class Events:
    """Things to do at a time, in order."""

    def __init__(self) -> None:
        self.now = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = itertools.count()

    def call_at(self, at: float, call: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._queue, (at, next(self._serial), call))

    def call_later(self, seconds: float, call: Callable[[], None]) -> None:
        """Do something after some seconds."""
        self.call_at(self.now + seconds, call)

    def run(self, end: float) -> None:
        """Do everything that is due up to ``end``."""
        while self._queue and self._queue[0][0] <= end:
            self.now, _, call = heapq.heappop(self._queue)
            call()


class WeightStore:
    """Loads share a rate; more at once than its width slow each other."""

    def __init__(self, events: Events, deployment: Deployment) -> None:
        self._events = events
        self._deployment = deployment
        self._active: dict[int, list] = {}
        self._serial = itertools.count()
        self._since = 0.0
        self._turn = 0
        self.slowdown = 1.0

    def load(self, done: Callable[[], None]) -> None:
        """Begin a load; ``done`` is called when it has ended."""
        self._progress()
        work = self._deployment.load_width / self._deployment.load_rate
        self._active[next(self._serial)] = [work, done]
        self._plan()

    def _measure_speed(self) -> float:
        crowd = max(1.0, len(self._active) / self._deployment.load_width)
        return 1.0 / crowd / self.slowdown

    def _progress(self) -> None:
        elapsed = (self._events.now - self._since) * self._measure_speed()
        self._since = self._events.now
        for job in self._active.values():
            job[0] -= elapsed

    def _plan(self) -> None:
        """Wake up when the load that has least left is done."""
        self._turn += 1
        if not self._active:
            return
        least = max(0.0, min(job[0] for job in self._active.values()))
        turn = self._turn
        self._events.call_later(least / self._measure_speed(), lambda: self._wake(turn))

    def _wake(self, turn: int) -> None:
        if turn != self._turn:
            return
        self._progress()
        ended = [key for key, job in self._active.items() if job[0] <= 1e-9]
        finished = [self._active.pop(key)[1] for key in ended]
        self._plan()
        for done in finished:
            done()


class EngineModel:
    """A continuous batch: a width, a queue by class, a time a token."""

    def __init__(self, events: Events, width: int) -> None:
        self._events = events
        self._width = width
        self._queue: list[tuple[int, int, Callable[[float], None], int]] = []
        self._serial = itertools.count()
        self._since = 0.0
        self.running = 0
        self.busy_seconds = 0.0
        self.full_seconds = 0.0
        self.counts_from = 0.0
        self.counts_until = float("inf")

    def run(
        self,
        priority: str,
        tokens: int,
        first: Callable[[], None],
        done: Callable[[], None],
    ) -> None:
        """Run a request; ``first`` is called at the first token."""

        def enter() -> None:
            """Enter the batch."""
            self._events.call_later(PREFILL, first)
            seconds = PREFILL + STEP * tokens
            self._events.call_later(seconds, lambda: self._leave(done))

        if self.running < self._width:
            self._count(1)
            enter()
        else:
            item = (PRIORITY_RANKS[priority], next(self._serial), enter, tokens)
            heapq.heappush(self._queue, item)

    def count_crowd(self) -> int:
        """Return the requests that run or wait."""
        return self.running + len(self._queue)

    def _leave(self, done: Callable[[], None]) -> None:
        if self._queue:
            heapq.heappop(self._queue)[2]()
        else:
            self._count(-1)
        done()

    def _count(self, by: int) -> None:
        begin = max(self._since, self.counts_from)
        elapsed = max(0.0, min(self._events.now, self.counts_until) - begin)
        self._since = self._events.now
        if self.running:
            self.busy_seconds += elapsed
            self.full_seconds += elapsed * self.running / self._width
        self.running += by
