"""Bound the load stalls by a planner that knows every arrival.

All slots are one pool, engines never queue, nothing is pinned, every message
takes no time. Loads are made on demand, interactive first, under the same
rate and width, and the copy whose next use is farthest is evicted (Belady's
rule). It loads nothing ahead of a request: a planner that did could hide
every stall while the store has a load to spare, which no policy can follow
without knowing the future, so that no ratio to it would mean anything.
"""

import heapq
import itertools
from bisect import bisect_right

from benchmarks.policies.engine import Events, WeightStore
from benchmarks.policies.scenarios import PREFILL, Arrival, Deployment, Scenario
from benchmarks.policies.world import Outcome
from roadlift.policy.loads import PRIORITY_RANKS

NEVER = float("inf")


class Clairvoyant:
    """The planner and its pool of slots."""

    def __init__(
        self, deployment: Deployment, scenario: Scenario, arrivals: list[Arrival]
    ) -> None:
        self._deployment = deployment
        self._scenario = scenario
        self._events = Events()
        self._store = WeightStore(self._events, deployment)
        self._slots = deployment.runners * deployment.slots
        self._uses: dict[str, list[float]] = {}
        for arrival in arrivals:
            self._uses.setdefault(arrival.model, []).append(arrival.at)
        self._loaded: set[str] = set()
        self._loading: set[str] = set()
        self._waiting: dict[str, list[Arrival]] = {}
        self._queue: list[tuple[int, int, str]] = []
        self._serial = itertools.count()
        self.outcomes: list[Outcome] = []
        self.loads = 0

    def run(self, arrivals: list[Arrival], seconds: float) -> None:
        """Run the arrivals to their end."""
        for arrival in arrivals:
            self._events.call_at(arrival.at, lambda a=arrival: self._take(a))
        if self._scenario.slow_store != 1.0:
            slow = self._scenario.slow_store
            self._events.call_at(seconds / 3, lambda: self._slow(slow))
            self._events.call_at(2 * seconds / 3, lambda: self._slow(1.0))
        self._events.run(seconds * 2)

    def _slow(self, slowdown: float) -> None:
        self._store._progress()
        self._store.slowdown = slowdown
        self._store._plan()

    def _take(self, arrival: Arrival) -> None:
        if arrival.model in self._loaded:
            self._note(arrival)
            return
        self._waiting.setdefault(arrival.model, []).append(arrival)
        item = (PRIORITY_RANKS[arrival.priority], next(self._serial), arrival.model)
        heapq.heappush(self._queue, item)
        self._load_next()

    def _note(self, arrival: Arrival) -> None:
        stall = self._events.now - arrival.at
        self.outcomes.append(Outcome(arrival, stall, stall + PREFILL, ""))

    def _load_next(self) -> None:
        while self._queue and len(self._loading) < self._deployment.load_width:
            model = heapq.heappop(self._queue)[2]
            if model in self._loading or model not in self._waiting:
                continue
            if len(self._loaded) + len(self._loading) >= self._slots:
                self._loaded.discard(max(self._loaded, key=self._find_next_use))
            self._loading.add(model)
            self._store.load(lambda m=model: self._finish(m))

    def _find_next_use(self, model: str) -> tuple[float, str]:
        uses = self._uses[model]
        index = bisect_right(uses, self._events.now)
        return (uses[index] if index < len(uses) else NEVER, model)

    def _finish(self, model: str) -> None:
        self.loads += 1
        self._loading.discard(model)
        self._loaded.add(model)
        for arrival in self._waiting.pop(model, []):
            self._note(arrival)
        self._load_next()
