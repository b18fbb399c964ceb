"""Compare ways to place the calls of a plain service, on virtual time.

Many instances send short calls to a few endpoints, each with some slots and a
queue that refuses what is beyond it. Printed is, for each way and load, the
part of the calls that was served in time, late and refused, and the part that
crossed zones.

Run it as ``python -m benchmarks.services``.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Mapping
from typing import NamedTuple

from roadlift.decisions.balancing import (
    NO_LOAD,
    LocalLoad,
    ServiceBalancer,
    ServiceLoad,
)
from roadlift.instance.sharing import USAGE_REPORT_INTERVAL
from roadlift.relay.address import Address
from roadlift.serving.directory import Endpoint
from roadlift.serving.selection import choose_least_loaded

SERVICE = "web"
SLOTS = 6
QUEUE = 24
RUN_TIME = 0.0686  # Seconds, mean; drawn from a gamma distribution.
OBJECTIVE = 0.343
# Endpoints and instances by zone, and the zones' parts of the calls.
ENDPOINTS = {"a": 2, "b": 1, "c": 1}
INSTANCES = {"a": 26, "b": 27, "c": 21}
PARTS = {"a": 0.30, "b": 0.33, "c": 0.37}
LENGTH = 12.0  # Seconds of calls.
NEWS_DELAY = 0.15  # Seconds from a telling to the news of it, beside periods.
WAYS = ("own calls", "spread", "let in")


class Outcome(NamedTuple):
    """Parts of the calls."""

    in_time: float
    late: float
    refused: float
    abroad: float


class Server:
    """An endpoint: slots, and a queue in the order of arrival."""

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.running = 0
        self.waiting: list[Callable[[], None]] = []

    def offer(self, begin: Callable[[], None]) -> bool:
        """Take a call, or refuse it."""
        if self.running < SLOTS:
            self.running += 1
            begin()
        elif len(self.waiting) < QUEUE:
            self.waiting.append(begin)
        else:
            return False
        return True

    def end(self) -> None:
        """End a run, and begin the next."""
        if self.waiting:
            self.waiting.pop(0)()
        else:
            self.running -= 1


class Instance:
    """An instance, with what it knows."""

    def __init__(self, zone: str, seed: int) -> None:
        self.zone = zone
        self.rng = random.Random(seed)
        self.own: dict[str, int] = {}
        self.load = LocalLoad(0.0)
        self.spread = ServiceBalancer(zone, self.rng)

    def choose(self, way: str, endpoints: list[Endpoint], now: float) -> Endpoint:
        """Choose as a way does."""
        if way != "own calls":
            zone = self.spread.choose_zone(SERVICE, endpoints, now)
            endpoints = [one for one in endpoints if zone in (None, one.zone)]
        count = lambda name: float(self.own.get(name, 0))
        rng = FirstName() if way == "own calls" else self.rng
        return choose_least_loaded(endpoints, self.zone, count, rng)

    def begin(self, endpoint: Endpoint, now: float) -> None:
        """Count a call that begins."""
        self.own[endpoint.id] = self.own.get(endpoint.id, 0) + 1
        self.load.begin(now)

    def end(self, endpoint: Endpoint, has_run: bool, now: float) -> None:
        """Count a call that ends."""
        self.own[endpoint.id] -= 1
        self.load.end(has_run, now)


class FirstName(random.Random):
    """Draws nothing: of endpoints that are alike, the first one is chosen."""

    def expovariate(self, lambd: float = 1.0) -> float:
        """Return the same each time."""
        return 0.0


class Play:
    """One way under one load."""

    def __init__(self, way: str, rate: float, seed: int) -> None:
        self._way = way
        self._rate = rate
        self._rng = random.Random(seed)
        self._serial = itertools.count()
        self._events: list = []
        self._now = 0.0
        numbers = itertools.count()
        self._servers = {
            f"s{number}": Server(_make_endpoint(f"s{number}", zone))
            for zone, count in ENDPOINTS.items()
            for number in itertools.islice(numbers, count)
        }
        self._instances = {
            zone: [Instance(zone, seed * 1000 + n) for n in range(count)]
            for zone, count in INSTANCES.items()
        }
        self._counts = {"in_time": 0, "late": 0, "refused": 0, "abroad": 0, "all": 0}

    def run(self) -> Outcome:
        """Play, and return what became of the calls."""
        for zone, part in PARTS.items():
            self._plan_call(zone, self._rate * part)
        self._plan(USAGE_REPORT_INTERVAL, self._tell)
        while self._events and self._now < LENGTH + 3.0:
            self._now, _, call = heapq.heappop(self._events)
            call()
        counts = self._counts
        parts = [counts[name] / counts["all"] for name in Outcome._fields]
        return Outcome(*parts)

    def _plan(self, seconds: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self._now + seconds, next(self._serial), call))

    def _plan_call(self, zone: str, rate: float) -> None:
        def arrive() -> None:
            """Send one, and plan the next."""
            if self._now < LENGTH:
                self._send(self._rng.choice(self._instances[zone]), self._now, ())
                self._plan_call(zone, rate)

        self._plan(self._rng.expovariate(rate), arrive)

    def _send(self, instance: Instance, began_at: float, refused: tuple) -> None:
        usable = [one.endpoint for one in self._servers.values()]
        if not refused:
            self._counts["all"] += 1
            instance.load.count_request(self._now)
            refuse = instance.spread.refuse
            if self._way == "let in" and refuse(SERVICE, usable, OBJECTIVE, self._now):
                self._counts["refused"] += 1
                return
        usable = [one for one in usable if one.id not in refused]
        if not usable:
            self._counts["refused"] += 1
            return
        endpoint = instance.choose(self._way, usable, self._now)
        server = self._servers[endpoint.id]

        def end() -> None:
            """Count the answer."""
            server.end()
            instance.end(endpoint, True, self._now)
            is_late = self._now - began_at > OBJECTIVE
            self._counts["late" if is_late else "in_time"] += 1
            self._counts["abroad"] += endpoint.zone != instance.zone

        instance.begin(endpoint, self._now)
        shape = 4.0
        run = lambda: self._plan(self._rng.gammavariate(shape, RUN_TIME / shape), end)
        if not server.offer(run):
            instance.end(endpoint, False, self._now)
            self._send(instance, began_at, (*refused, endpoint.id))

    def _tell(self) -> None:
        """Let all know the sums of now, a while later."""
        sums: dict[str, ServiceLoad] = {}
        for zone, instances in self._instances.items():
            sums[zone] = NO_LOAD
            for one in instances:
                sums[zone] = sums[zone].add(one.load.measure(self._now))
        self._plan(NEWS_DELAY, lambda: self._hear({SERVICE: sums}))
        self._plan(USAGE_REPORT_INTERVAL, self._tell)

    def _hear(self, sums: Mapping[str, Mapping[str, ServiceLoad]]) -> None:
        for instances in self._instances.values():
            for one in instances:
                one.spread.record_update(sums, self._now)


def _make_endpoint(name: str, zone: str) -> Endpoint:
    return Endpoint(name, SERVICE, Address("10.0.0.1", 80), zone, SLOTS)


def play(way: str, load: float, seeds: range) -> Outcome:
    """Return the means of some seeds; ``load`` is a part of what can run."""
    rate = load * SLOTS * sum(ENDPOINTS.values()) / RUN_TIME
    found = [Play(way, rate, seed).run() for seed in seeds]
    return Outcome(*(sum(column) / len(found) for column in zip(*found, strict=True)))


def main() -> None:
    """Print a table of ways and loads."""
    print(f"{'load':>5} {'way':12}{'in time':>9}{'late':>8}{'refused':>9}{'abroad':>8}")
    for load in (0.4, 0.55, 0.7, 0.8, 0.9, 1.0, 1.2, 1.5, 2.0, 3.0):
        for way in WAYS:
            found = play(way, load, range(1, 4))
            print(
                f"{load:5.2f} {way:12}{found.in_time:9.3f}{found.late:8.3f}"
                f"{found.refused:9.3f}{found.abroad:8.3f}"
            )


if __name__ == "__main__":
    main()
