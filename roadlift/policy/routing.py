"""Plan where a request goes: on a pinned copy, or which owners to ask.

Routers are pure: they are told which endpoints there are, which of them hold
a pinned copy of the model, and how full each seems from here.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple, Protocol

from roadlift.core.registry import Registry
from roadlift.policy.placement import RingPlacer

routers: Registry = Registry("router")
CANDIDATES = 3  # Endpoints that are asked for one model.
SPILL_AT = 1.0  # Fill of a batch at which another endpoint is asked.

Fill = Callable[[str], float]


class Plan(NamedTuple):
    """Use the pin at ``use`` where it is given; else ask in this order."""

    use: str | None
    ask: Sequence[str]


class Router(Protocol):
    """How the endpoints for a request are chosen."""

    def __init__(self, endpoints: Iterable[str]) -> None:
        """Take the endpoints that may be used."""

    def plan(self, model: str, pinned: Sequence[str], fill: Fill) -> Plan:
        """Plan a request; ``fill`` of an endpoint is 1 for a full batch."""


@routers.register("ring")
class RingRouter:
    """Use a pinned copy with room; else ask along the ring.

    Each adapter has a place of its own on the ring, so that the endpoints
    together hold as many different ones as they have slots. Only a model
    whose pinned endpoints are full gets a further copy, at the next place.
    """

    def __init__(self, endpoints: Iterable[str]) -> None:
        self._placer = RingPlacer(endpoints)

    def plan(self, model: str, pinned: Sequence[str], fill: Fill) -> Plan:
        """Plan by pins first and by the ring next."""
        best = min(pinned, key=fill, default=None)
        if best is not None and fill(best) < SPILL_AT:
            return Plan(best, ())
        return Plan(None, self._placer.rank(model, CANDIDATES))


@routers.register("hash")
class HashRouter:
    """Use the first place on the ring alone: plain consistent hashing."""

    def __init__(self, endpoints: Iterable[str]) -> None:
        self._placer = RingPlacer(endpoints)

    def plan(self, model: str, pinned: Sequence[str], fill: Fill) -> Plan:
        """Plan the model's only place."""
        ranked = self._placer.rank(model, 1)
        if ranked and ranked[0] in pinned:
            return Plan(ranked[0], ())
        return Plan(None, ranked)


@routers.register("least_loaded")
class LeastLoadedRouter:
    """Use the endpoint that seems emptiest, whatever it holds."""

    def __init__(self, endpoints: Iterable[str]) -> None:
        self._endpoints = sorted(endpoints)
        self._turn = 0

    def plan(self, model: str, pinned: Sequence[str], fill: Fill) -> Plan:
        """Plan the emptiest endpoint; equals take turns."""
        count = len(self._endpoints)
        self._turn += 1
        turned = [self._endpoints[(self._turn + i) % count] for i in range(count)]
        best = min(turned, key=fill, default=None)
        if best is None or best in pinned:
            return Plan(best, ())
        return Plan(None, (best,))


class BaseRouter:
    """Routes a model among the engines of its base model."""

    def __init__(
        self, routers_by_base: Mapping[str, Router], find_base: Callable[[str], str]
    ) -> None:
        self._routers = routers_by_base
        self._find_base = find_base

    def plan(self, model: str, pinned: Sequence[str], fill: Fill) -> Plan:
        """Plan a request; without an engine of its base there is none."""
        router = self._routers.get(self._find_base(model))
        if router is None:
            return Plan(None, ())
        return router.plan(model, pinned, fill)
