"""Choose the endpoint of a plain service, and rank the homes of adapters."""

from collections.abc import Callable, Iterable, Sequence
from random import Random

from roadlift.policy.placement import RingPlacer
from roadlift.serving.calls import Model
from roadlift.serving.directory import Endpoint

# Calls under way that an endpoint of the own zone may have more than one
# elsewhere before the call crosses zones, and the same as a part of its slots,
# of which the less counts. A call ahead costs an engine's next one some 20 ms,
# whatever its slots: it is the reading of prompts that fills engines.
ZONE_CALLS = 2.0
ZONE_PART = 0.25
# Returns the calls under way at an endpoint, weighed by how slow it is.
Load = Callable[[str], float]


def choose_least_loaded(
    endpoints: Iterable[Endpoint], zone: str, load: Load, rng: Random
) -> Endpoint | None:
    """Return the endpoint with most room, the own zone's before others.

    Those that are alike are drawn, by their slots: an instance without calls
    of its own would else choose as all such instances do.
    """

    def measure(endpoint: Endpoint) -> tuple[float, float, float]:
        """Return how loaded an endpoint is; zone and a draw make an order."""
        slots = max(1, endpoint.slots)
        bonus = min(ZONE_CALLS, ZONE_PART * slots)
        away = 0.0 if endpoint.zone == zone else bonus
        return load(endpoint.id) + away, away, rng.expovariate(slots)

    return min(endpoints, key=measure, default=None)


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
