"""Define the platform's configuration, and find a call's route in it."""

import hashlib
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from roadlift.http.messages import HttpLimits
from roadlift.serving.calls import Kind

_HASH_RANGE = 1 << 64


class Target(NamedTuple):
    """A service that gets a share of a route's calls, by its weight."""

    service: str
    weight: float


class Route(NamedTuple):
    """How the calls of a host below a path prefix are served.

    ``timeout``, ``objective`` (the time to the first byte of a stream, or to
    the end of another answer) and ``event_interval_objective`` (the time
    between events) are in seconds; ``priority`` 0 is the most urgent;
    ``attempts`` is the number of endpoints that a call may run on;
    ``patience`` is the seconds without an event after which callers are
    expected to abandon a stream, or None; calls of a route that ``is_open``
    need no key; ``homes`` are the regions in which its calls may run, or None
    for all.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    targets: tuple[Target, ...]
    timeout: float
    objective: float
    priority: int = 0
    attempts: int = 1
    is_resumable: bool = False
    event_interval_objective: float | None = None
    patience: float | None = None
    is_open: bool = False
    homes: frozenset[str] | None = None

    @property
    def is_repeatable(self) -> bool:
        """Return whether a call may run more than once."""
        return self.kind is Kind.IDEMPOTENT or (
            self.kind is Kind.STREAM and self.is_resumable
        )

    @property
    def is_long(self) -> bool:
        """Return whether an answer may take many seconds."""
        return self.kind is Kind.STREAM

    def choose_service(self, call_id: str) -> str:
        """Return the service of a call, by the weights of the targets."""
        if len(self.targets) == 1:
            return self.targets[0].service
        digest = hashlib.blake2b(call_id.encode(), digest_size=8).digest()
        total = sum(target.weight for target in self.targets)
        point = int.from_bytes(digest, "big") / _HASH_RANGE * total
        for target in self.targets:
            point -= target.weight
            if point < 0:
                return target.service
        return self.targets[-1].service


class BaseModel(NamedTuple):
    """A base model of a service's engines; sizes in MB, times in seconds."""

    name: str
    size: float
    load_time: float
    adapter_size: float = 0.0


class EngineCapacity(NamedTuple):
    """The capacity of each engine of a service.

    ``slots`` is the batch size, ``kv_tokens`` the tokens in the KV cache,
    ``weights`` the MB for base models and adapters, ``adapter_slots`` the
    number of adapters; ``loads_per_second`` is the weight store's rate limit
    for base models.
    """

    slots: int
    kv_tokens: int
    weights: float
    adapter_slots: int
    models: tuple[BaseModel, ...]
    loads_per_second: float


class Service(NamedTuple):
    """A service; ``engine`` is None if it runs no models.

    ``max_connections`` is how many one endpoint accepts from all callers;
    ``cold_rate`` is how many calls a second a cold one accepts, or 0 if that
    is not limited.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineCapacity | None = None
    cold_rate: float = 0.0


class Allowance(NamedTuple):
    """An organisation's rate limit, over all instances.

    ``rate`` is per second, ``burst`` in addition, in tokens if ``is_tokens``,
    else in calls; a call without a token count costs ``default_tokens``.
    """

    rate: float
    burst: float
    is_tokens: bool = False
    default_tokens: int = 0

    def measure(self, tokens: int) -> float:
        """Return the cost of a call with a token count, or with 0 for none."""
        if not self.is_tokens:
            return 1.0
        return float(tokens or self.default_tokens)


class Organisation(NamedTuple):
    """A customer; ``keys`` are the digests of its keys, see ``digest_key``.

    ``priority`` overrides that of routes unless it is None; ``homes`` are the
    regions in which its calls may run, or None for all.
    """

    name: str
    keys: frozenset[str]
    priority: int | None = None
    allowance: Allowance | None = None
    homes: frozenset[str] | None = None


class Configuration(NamedTuple):
    """A whole configuration; a higher version replaces a lower one.

    ``organisations`` is None if callers need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: HttpLimits
    organisations: tuple[Organisation, ...] | None = None


class RouteTable:
    """Finds the route with the longest prefix of a path."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_prefix = {(route.host, route.prefix): route for route in routes}

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a host and path, or None.

        Looks up one prefix for each slash of the path, which is cheaper than
        a scan of all routes: prefixes begin and end with a slash.
        """
        end = path.rfind("/")
        while end >= 0:
            route = self._by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
