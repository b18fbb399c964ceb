"""Describe the configuration of a stand-in installation."""

from typing import NamedTuple

BASE = "base"


def make_route(prefix: str, kind: str, service: str, **more: object) -> dict:
    """Return a route as the operator writes it."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "host": "h.example",
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 2000,
        "goalMs": 500,
        "priority": 1,
        "backend": service,
        "attempts": 2,
        **more,
    }


def describe_configuration(
    version: int,
    added: list[dict],
    services: dict[str, bool],
    adapter_slots: int,
    cold_rate: float = 0.0,
) -> dict:
    """Return a configuration with the usual routes and further ones."""
    routes = [*ROUTES, *added]
    return describe_routes(version, routes, services, adapter_slots, cold_rate)


def describe_routes(
    version: int,
    routes: list[dict],
    services: dict[str, bool],
    adapter_slots: int,
    cold_rate: float = 0.0,
) -> dict:
    """Return a configuration; True marks the services with engines.

    A cold endpoint of each service accepts ``cold_rate`` calls a second.
    """
    return {
        "version": version,
        "routes": routes,
        "backends": [
            {
                **_describe_service(name, has_engine, adapter_slots),
                "coldPerS": cold_rate,
            }
            for name, has_engine in services.items()
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def _describe_service(name: str, has_engine: bool, adapter_slots: int) -> dict:
    service = {
        "name": name,
        "healthPath": "/healthz",
        "maxConns": 100,
        "protocol": "h1",
        "tls": False,
    }
    if has_engine:
        service["engine"] = {
            "slots": 8,
            "kvCapTokens": 1000,
            "models": [{"name": BASE, "weightsMb": 10.0, "loadS": 0.5}],
            "weightsMb": 20.0,
            "adapterSlots": adapter_slots,
            "loadsPerS": 5.0,
        }
    return service


ROUTES = [
    make_route("/idem/", "idempotent", "plain"),
    make_route("/once/", "non_idempotent", "plain", attempts=1),
    make_route("/stream/", "streaming", "llm", attempts=1, resumable=False),
    make_route("/long/", "streaming", "llm", attempts=1, timeoutMs=20000),
    make_route("/again/", "streaming", "llm", resumable=True, gapGoalMs=400),
]
SERVICES = {"plain": False, "llm": True}


class Terms(NamedTuple):
    """What a call may take: seconds until its limit, and runs."""

    limit: float
    attempts: int


def read_terms(path: str, other: dict) -> Terms:
    """Return the terms of the usual route that a path has, or of another."""
    found = (one for one in ROUTES if path.startswith(one["pathPrefix"]))
    route = next(found, other)
    return Terms(route["timeoutMs"] / 1000, route["attempts"])


def make_tenant(name: str, keys: list[str], **more: object) -> dict:
    """Return a tenant as the operator writes it."""
    return {"name": name, "apiKeys": keys, **more}


_ALLOWANCE = {
    "unit": "generate",
    "plainTokens": 200,
    "ratePerS": 5.0,
    "burst": 7.0,
}
_KEYS = ["first-key", "second-key"]
_TENANTS = {
    "no tenant": [],
    "a tenant": [make_tenant("t", _KEYS, priority=1, **_ALLOWANCE)],
    "a tenant without an allowance": [make_tenant("t", _KEYS, ratePerS=0)],
    "a tenant counted in requests": [
        make_tenant("t", _KEYS, priority=1, **{**_ALLOWANCE, "unit": "request"})
    ],
    "a tenant without a name": [{"apiKeys": _KEYS}],
    "a tenant whose key is a number": [make_tenant("t", [7])],
    "tenants that are a text": "t",
}


def make_tenants(change: str) -> dict:
    """Return the part of a configuration that a test names, or nothing."""
    return {"tenants": _TENANTS[change]} if change in _TENANTS else {}
