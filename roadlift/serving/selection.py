"""Choose endpoints of plain services, and rank engines for an adapter."""

from collections.abc import Callable, Iterable, Sequence
from random import Random

from roadlift.policy.placement import RingPlacer
from roadlift.serving.calls import Model
from roadlift.serving.directory import Endpoint

# How many more running calls an endpoint of the local zone may have than a
# remote one before a call crosses zones: the smaller of a number and of a
# fraction of the remote endpoint's slots. Each call ahead delays an engine's
# next call by about 20 ms, whatever its slots: reading prompts is what
# saturates engines.
MAX_ZONE_PENALTY = 2.0
ZONE_PENALTY_FRACTION = 0.25
# Returns the running calls at an endpoint, weighted by its slowness.
Load = Callable[[str], float]


def choose_least_loaded(
    endpoints: Iterable[Endpoint], zone: str, load: Load, rng: Random
) -> Endpoint | None:
    """Return the least loaded endpoint, with a preference for ``zone``.

    Ties are broken at random, weighted by slots. Otherwise all instances
    without running calls would choose the same endpoint.
    """

    def measure(endpoint: Endpoint) -> tuple[float, float, float]:
        """Return the load; the zone and a random draw break ties."""
        slots = max(1, endpoint.slots)
        penalty = min(MAX_ZONE_PENALTY, ZONE_PENALTY_FRACTION * slots)
        remote = 0.0 if endpoint.zone == zone else penalty
        return load(endpoint.id) + remote, remote, rng.expovariate(slots)

    return min(endpoints, key=measure, default=None)


# Rings of one service that are kept: of all its engines, and of those that may
# continue streams of two versions. A ring holds 64 points an engine.
MAX_RINGS = 3


class PreferredEndpoints:
    """Ranks the engines of a service for an adapter, by consistent hashing.

    Every instance computes the same order from the list of endpoints alone,
    so an adapter returns to the engine that still has its weights in memory.
    """

    def __init__(self) -> None:
        self._rings: dict[str, dict[tuple[str, ...], RingPlacer]] = {}

    def rank(
        self, service: str, endpoints: Sequence[Endpoint], model: Model, count: int
    ) -> list[Endpoint]:
        """Return up to ``count`` engines, the most preferred first."""
        by_id = {endpoint.id: endpoint for endpoint in endpoints}
        names = tuple(sorted(by_id))
        ring = self._find_ring(service, names)
        return [by_id[name] for name in ring.rank(str(model), count)]

    def _find_ring(self, service: str, names: tuple[str, ...]) -> RingPlacer:
        """Return the ring of some engines, one that was kept if any."""
        rings = self._rings.setdefault(service, {})
        ring = rings[names] = rings.pop(names, None) or RingPlacer(names)
        if len(rings) > MAX_RINGS:
            del rings[next(iter(rings))]
        return ring
