"""Choose the endpoint of a call, and the engine at which to load for it."""

import math
from collections.abc import Callable, Iterable, Sequence

from roadlift.policy.placement import RingPlacer
from roadlift.serving.calls import Model
from roadlift.serving.directory import Endpoint

# Calls under way that an endpoint of the own zone may have more than one
# elsewhere before the call crosses zones, and the same as a part of its slots,
# of which the less counts. A call ahead costs an engine's next one some 20 ms,
# whatever its slots: it is the reading of prompts that fills engines.
ZONE_CALLS = 2.0
ZONE_PART = 0.25
# How much more loaded than the mean of its service an engine may be that is
# still the home of an adapter, and the calls that are allowed beside. Swept:
# docs/internals/platform.md has the figures.
MOST_LOAD = 1.5
SPARE_CALLS = 6.0
SPARE_PART = 0.25  # The same as a part of the slots, of which the less counts.
# Part of an engine's fair share of a service's calls that one copy of an
# adapter may bring it; a hotter adapter gets a further copy. Swept as well.
SHARE_PER_COPY = 1.0
# Calls, as they are remembered, from which on a copy that relieves a loaded
# engine is worth its place; one instance sees but a part of the calls.
REPEATED = 1.5
LEAST_CALLS = 10.0  # Calls, as they are remembered, that a share is taken from.
HALF_LIFE = 5.0  # Seconds in which a call loses half its weight.
MOST_MODELS = 1024  # Adapters whose calls are remembered.

# Returns the calls under way at an endpoint, weighed by how slow it is.
Load = Callable[[str], float]


def choose_least_loaded(
    endpoints: Iterable[Endpoint], zone: str, load: Load
) -> Endpoint | None:
    """Return the endpoint with most room, the own zone's before others."""

    def measure(endpoint: Endpoint) -> tuple[float, float, str]:
        """Return how loaded an endpoint is; zone and id make an order."""
        bonus = min(ZONE_CALLS, ZONE_PART * max(1, endpoint.slots))
        away = 0.0 if endpoint.zone == zone else bonus
        return load(endpoint.id) + away, away, endpoint.id

    return min(endpoints, key=measure, default=None)


def find_overloaded(endpoints: Sequence[Endpoint], load: Load) -> set[str]:
    """Return the endpoints that are much more loaded than their mean."""
    loads = {one.id: load(one.id) for one in endpoints}
    if not loads:
        return set()
    slots = min(max(1, one.slots) for one in endpoints)
    spare = min(SPARE_CALLS, SPARE_PART * slots)
    most = MOST_LOAD * sum(loads.values()) / len(loads) + spare
    return {name for name, calls in loads.items() if calls > most}


class Popularity:
    """The shares of adapters in the calls of one service at one instance."""

    def __init__(self) -> None:
        self._counts: dict[Model, tuple[float, float]] = {}
        self._total = (0.0, 0.0)

    def note(self, model: Model, now: float) -> None:
        """Count a call for an adapter."""
        if len(self._counts) >= MOST_MODELS:
            self._forget(now)
        self._counts[model] = (self._measure(model, now) + 1.0, now)
        self._total = (_decay(self._total, now) + 1.0, now)

    def count_copies(self, model: Model, engines: int, now: float) -> int:
        """Return how many engines should hold an adapter."""
        total = _decay(self._total, now)
        if total < LEAST_CALLS:
            return 1
        share = self._measure(model, now) / total
        return max(1, min(engines, math.ceil(share * engines / SHARE_PER_COPY)))

    def is_wanted(self, model: Model, now: float) -> bool:
        """Tell whether an adapter is called again and again."""
        return self._measure(model, now) >= REPEATED

    def _measure(self, model: Model, now: float) -> float:
        return _decay(self._counts.get(model, (0.0, now)), now)

    def _forget(self, now: float) -> None:
        """Drop the half that was called least."""
        kept = sorted(self._counts, key=lambda one: self._measure(one, now))
        for model in kept[: MOST_MODELS // 2]:
            del self._counts[model]


def _decay(count: tuple[float, float], now: float) -> float:
    """Return a count as of ``now``; it is given with the time it is of."""
    return count[0] * math.exp2((count[1] - now) / HALF_LIFE)


def order_by_zones(ranked: Sequence[Endpoint]) -> list[Endpoint]:
    """Return homes so that the first ones are in as many zones as there are.

    Copies in several zones spare the bytes between them, and outlive a zone.
    """
    zones: set[str] = set()
    first, later = [], []
    for endpoint in ranked:
        (later if endpoint.zone in zones else first).append(endpoint)
        zones.add(endpoint.zone)
    return first + later


class Homes:
    """The order in which the engines of a service are home to an adapter.

    Every instance finds the same order from the list of endpoints alone, so
    an adapter comes back to the engine that still has its weights at hand.
    """

    def __init__(self) -> None:
        self._rings: dict[str, tuple[tuple[str, ...], RingPlacer]] = {}

    def rank(
        self, service: str, endpoints: Sequence[Endpoint], model: Model, count: int
    ) -> list[Endpoint]:
        """Return up to ``count`` engines, the adapter's first home first."""
        by_id = {endpoint.id: endpoint for endpoint in endpoints}
        names = tuple(sorted(by_id))
        known = self._rings.get(service)
        if known is None or known[0] != names:
            known = self._rings[service] = (names, RingPlacer(names))
        return [by_id[name] for name in known[1].rank(str(model), count)]
