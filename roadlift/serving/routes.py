"""Keep the configuration in force, and find a call's route in it."""

import hashlib
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from roadlift.http.messages import HttpLimits
from roadlift.serving.calls import Kind

_HASH_SPAN = 1 << 64


class Target(NamedTuple):
    """A service that takes a share of a route's calls, by its weight."""

    service: str
    weight: float


class Route(NamedTuple):
    """How the calls of a host below a path prefix are served.

    ``timeout``, ``objective`` (the time to the first byte, of streams, or to
    the whole answer) and ``pause_objective`` (between events) are in
    seconds; ``priority`` 0 is the most urgent; ``attempts`` is on how many
    endpoints a call may run; ``patience`` is after how many seconds without a
    first event callers leave a stream, where that is known; calls of a route
    that ``is_open`` need no key.
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
    pause_objective: float | None = None
    patience: float | None = None
    is_open: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Tell whether a call may run more than once."""
        return self.kind is Kind.IDEMPOTENT or (
            self.kind is Kind.STREAM and self.is_resumable
        )

    @property
    def is_long(self) -> bool:
        """Tell whether an answer may take many seconds."""
        return self.kind is Kind.STREAM

    def choose_service(self, call_id: str) -> str:
        """Return the service of a call, by the weights of the targets."""
        if len(self.targets) == 1:
            return self.targets[0].service
        digest = hashlib.blake2b(call_id.encode(), digest_size=8).digest()
        total = sum(target.weight for target in self.targets)
        point = int.from_bytes(digest, "big") / _HASH_SPAN * total
        for target in self.targets:
            point -= target.weight
            if point < 0:
                return target.service
        return self.targets[-1].service


class BaseModel(NamedTuple):
    """A base model that a service's engines run; sizes in MB, times in s."""

    name: str
    size: float
    load_time: float
    adapter_size: float = 0.0


class EngineShape(NamedTuple):
    """What each engine of a service has room for.

    ``slots`` is the batch, ``kv_tokens`` the tokens in memory, ``weights``
    the MB for base models and adapters, ``adapter_slots`` the adapters at
    once; ``loads_per_second`` is the weight store's rate for base models.
    """

    slots: int
    kv_tokens: int
    weights: float
    adapter_slots: int
    models: tuple[BaseModel, ...]
    loads_per_second: float


class Service(NamedTuple):
    """A service; ``engine`` is None where it runs no models.

    ``most_connections`` is what one endpoint accepts from all callers.
    """

    name: str
    health_path: str
    most_connections: int
    engine: EngineShape | None = None


class Allowance(NamedTuple):
    """What an organisation may have run, over all instances.

    ``rate`` is a second, ``burst`` beside it, in tokens where ``is_tokens``,
    else in calls; a call that names no tokens counts as ``plain_tokens``.
    """

    rate: float
    burst: float
    is_tokens: bool = False
    plain_tokens: int = 0

    def measure(self, tokens: int) -> float:
        """Return what a call of so many tokens, or of none, uses."""
        if not self.is_tokens:
            return 1.0
        return float(tokens or self.plain_tokens)


class Organisation(NamedTuple):
    """Who calls; ``keys`` are the digests of its keys, see digest_key.

    ``priority`` goes before that of routes, where there is one.
    """

    name: str
    keys: frozenset[str]
    priority: int | None = None
    allowance: Allowance | None = None


class Configuration(NamedTuple):
    """A whole configuration; a higher version replaces a lower one.

    ``organisations`` is None where callers need no keys.
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

        A look-up for each slash of the path costs less than one for each
        route: prefixes begin and end with a slash.
        """
        end = path.rfind("/")
        while end >= 0:
            route = self._by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
