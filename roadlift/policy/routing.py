"""Choose a pinned copy for a request, or the endpoints to request a pin at.

Routers do no I/O: they are passed the endpoints, those of them at which this
instance has a pin on the model, and an estimate of how full each one is.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple, Protocol

from roadlift.core.registry import Registry
from roadlift.policy.placement import RingPlacer

routers: Registry = Registry("router")
MAX_CANDIDATES = 3  # Endpoints at which a pin is requested for one model.
SPILL_THRESHOLD = 1.0  # Fill of a batch from which another endpoint is tried.

Fill = Callable[[str], float]


class Plan(NamedTuple):
    """Where a request goes.

    ``use`` is the endpoint whose pin to use; if it is None, a pin is requested
    at the endpoints of ``ask``, in this order.
    """

    use: str | None
    ask: Sequence[str]


class Router(Protocol):
    """Chooses the endpoints for a request."""

    def __init__(self, endpoints: Iterable[str]) -> None:
        """Set the endpoints that may be used."""

    def plan(self, model: str, pinned: Sequence[str], fill: Fill) -> Plan:
        """Plan a request; ``fill`` returns 1 for an endpoint's full batch."""


@routers.register("ring")
class RingRouter:
    """Use a pinned copy with capacity; else try endpoints along the ring.

    Each adapter is hashed to its own position on the ring, so that the
    endpoints together hold as many different adapters as they have slots.
    Only a model whose pinned endpoints are full gets another copy, at the
    next endpoint on the ring.
    """

    def __init__(self, endpoints: Iterable[str]) -> None:
        self._placer = RingPlacer(endpoints)

    def plan(self, model: str, pinned: Sequence[str], fill: Fill) -> Plan:
        """Plan by pins first, then by the ring."""
        best = min(pinned, key=fill, default=None)
        if best is not None and fill(best) < SPILL_THRESHOLD:
            return Plan(best, ())
        return Plan(None, self._placer.rank(model, MAX_CANDIDATES))


@routers.register("hash")
class HashRouter:
    """Use only the first endpoint on the ring: plain consistent hashing."""

    def __init__(self, endpoints: Iterable[str]) -> None:
        self._placer = RingPlacer(endpoints)

    def plan(self, model: str, pinned: Sequence[str], fill: Fill) -> Plan:
        """Plan the model's only endpoint."""
        ranked = self._placer.rank(model, 1)
        if ranked and ranked[0] in pinned:
            return Plan(ranked[0], ())
        return Plan(None, ranked)


@routers.register("least_loaded")
class LeastLoadedRouter:
    """Use the least loaded endpoint, whichever adapters it has."""

    def __init__(self, endpoints: Iterable[str]) -> None:
        self._endpoints = sorted(endpoints)
        self._rotation = 0

    def plan(self, model: str, pinned: Sequence[str], fill: Fill) -> Plan:
        """Plan the least loaded endpoint; ties are broken in rotation."""
        count = len(self._endpoints)
        self._rotation += 1
        rotated = [self._endpoints[(self._rotation + i) % count] for i in range(count)]
        best = min(rotated, key=fill, default=None)
        if best is None or best in pinned:
            return Plan(best, ())
        return Plan(None, (best,))


class BaseModelRouter:
    """Routes a request among the engines of its model's base model."""

    def __init__(
        self, routers_by_base: Mapping[str, Router], find_base: Callable[[str], str]
    ) -> None:
        self._routers = routers_by_base
        self._find_base = find_base

    def plan(self, model: str, pinned: Sequence[str], fill: Fill) -> Plan:
        """Plan a request; the plan is empty if the base has no engine."""
        router = self._routers.get(self._find_base(model))
        if router is None:
            return Plan(None, ())
        return router.plan(model, pinned, fill)
