"""The configurations of plays in which endpoints stop beside changes."""

from typing import NamedTuple

from tests.support.configuration import make_route


class Terms(NamedTuple):
    """What changes of the configuration."""

    added: int = 0
    timeout: int = 4000
    weight: int = 50
    is_moved: bool = False


def make_routes(terms: Terms) -> list[dict]:
    """Return the routes of a configuration."""
    times = {"timeoutMs": terms.timeout, "goalMs": 600, "gapGoalMs": 400}
    split = [
        {"backend": "plain", "weight": terms.weight},
        {"backend": "other", "weight": 100 - terms.weight},
    ]
    moved = "other" if terms.is_moved else "plain"
    once = {"kind": "non_idempotent", "attempts": 1}
    return [
        make_route("/once/", service="plain", **once),
        make_route("/split/", service="plain", split=split, **once),
        make_route("/moved/", service=moved, **once),
        make_route("/idem/", "idempotent", "plain", attempts=3),
        make_route("/stream/", "streaming", "llm", attempts=1, **times),
        make_route("/again/", "streaming", "llm", resumable=True, **times),
        *(
            make_route(f"/added-{number}/", service="plain", **once)
            for number in range(terms.added)
        ),
    ]
