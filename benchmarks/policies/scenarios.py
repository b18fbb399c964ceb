"""Define the deployments, the scenarios and their seeded arrivals."""

import bisect
import itertools
import random
from typing import NamedTuple

ADAPTERS = 3000
SKEW = 1.0  # Exponent of Zipf's law of popularity.
PREFILL = 0.12  # Seconds from entering a batch to the first token.
STEP = 0.02  # Seconds a token.
TOKENS = {"interactive": 60, "standard": 60, "batch": 200}  # Mean of an answer.
CONTRACT = 0.68  # Seconds to the first token.


class Deployment(NamedTuple):
    """The size of a deployment; times are in seconds."""

    name: str
    runners: int
    instances: int
    load_rate: float
    load_width: int
    zone_delay: float
    rate: float
    slots: int = 8
    width: int = 8
    zones: int = 3

    @property
    def capacity(self) -> float:
        """Return the requests a second that the engines can finish."""
        mean = sum(
            share * (PREFILL + STEP * TOKENS[name]) for name, share in MIX.items()
        )
        return self.runners * self.width / mean


MIX = {"interactive": 0.6, "standard": 0.1, "batch": 0.3}
DEPLOYMENTS = {
    "association": Deployment("association", 9, 6, 9.0, 4, 0.0005, 12.0),
    "rullivaht": Deployment("rullivaht", 6, 6, 4.0, 3, 0.001, 6.0),
}


class Scenario(NamedTuple):
    """What differs from the steady state, in parts of the whole time.

    ``slow_store`` divides the weight store's rate in the middle third;
    ``report_lag`` delays load figures, in seconds.
    """

    name: str
    load: float = 1.0
    is_capacity: bool = False
    shifts: bool = False
    floods: bool = False
    wakes: bool = False
    restarts: bool = False
    failing_loads: float = 0.0
    slow_store: float = 1.0
    report_lag: float = 0.0


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario("steady"),
        Scenario("shift", shifts=True),
        Scenario("flood", floods=True),
        Scenario("waking", wakes=True),
        Scenario("restarts", restarts=True),
        Scenario("failing_loads", failing_loads=0.1),
        Scenario("slow_store", slow_store=2.0),
        Scenario("lagging_figures", report_lag=5.0),
        Scenario("overload", load=1.5, is_capacity=True),
    )
}


class Arrival(NamedTuple):
    """One request: when, for which model, of which class, how long."""

    at: float
    model: str
    priority: str
    tokens: int
    instance: int


def make_arrivals(
    deployment: Deployment, scenario: Scenario, seconds: float, seed: int
) -> list[Arrival]:
    """Return the arrivals, the same for every policy."""
    rng = random.Random(f"{deployment.name}/{scenario.name}/{seed}")
    rate = deployment.rate * scenario.load
    if scenario.is_capacity:
        rate = deployment.capacity * scenario.load
    popular = _Popularity(rng, scenario, seconds)
    arrivals: list[Arrival] = []
    now = 0.0
    while (now := now + rng.expovariate(rate)) < seconds:
        priority = rng.choices(list(MIX), list(MIX.values()))[0]
        tokens = 1 + int(rng.expovariate(1.0 / TOKENS[priority]))
        model = popular.pick(now, priority)
        instance = rng.randrange(deployment.instances)
        arrivals.append(Arrival(now, model, priority, tokens, instance))
    return arrivals


class _Popularity:
    """Which adapter is asked for, as time goes on."""

    def __init__(self, rng: random.Random, scenario: Scenario, seconds: float) -> None:
        self._rng = rng
        self._scenario = scenario
        self._seconds = seconds
        weights = (1.0 / (rank + 1) ** SKEW for rank in range(ADAPTERS))
        self._sums = list(itertools.accumulate(weights))
        self._before = rng.sample(range(ADAPTERS), ADAPTERS)
        self._after = rng.sample(range(ADAPTERS), ADAPTERS)

    def pick(self, now: float, priority: str) -> str:
        """Return the model of a request at ``now``."""
        part = now / self._seconds
        scenario = self._scenario
        is_flood = scenario.floods and 0.5 <= part < 0.7
        if is_flood and priority == "interactive" and self._rng.random() < 0.5:
            return "cold@1"
        rank = bisect.bisect(self._sums, self._rng.random() * self._sums[-1])
        if scenario.wakes and part < 0.5:
            rank -= rank % 2
        order = self._after if scenario.shifts and part >= 0.5 else self._before
        return f"ad-{order[min(rank, ADAPTERS - 1)]}@1"
