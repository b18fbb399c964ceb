"""Describe the configuration of a stand-in installation."""

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
    version: int, added: list[dict], services: dict[str, bool], adapter_slots: int
) -> dict:
    """Return a configuration with the usual routes and further ones."""
    return describe_routes(version, [*ROUTES, *added], services, adapter_slots)


def describe_routes(
    version: int, routes: list[dict], services: dict[str, bool], adapter_slots: int
) -> dict:
    """Return a configuration; True marks the services with engines."""
    return {
        "version": version,
        "routes": routes,
        "backends": [
            _describe_service(name, has_engine, adapter_slots)
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
