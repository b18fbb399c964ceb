"""Find the calls and loads that are refused for the ends of endpoints."""

from typing import NamedTuple

from roadlift.explanation.lines import Line, Log


class Barred(NamedTuple):
    """Work that was refused, from ``first`` on, last told at ``last``.

    ``ends`` counts the endpoints that ended, as told last; ``endpoints`` are
    those of which the logs have the end, ``requests`` the calls that were cut
    there; ``is_cleared`` tells that it was let in again.
    """

    identity: str
    ends: int
    first: float
    last: float
    endpoints: list[str]
    requests: list[str]
    is_cleared: bool


def find_barred(log: Log) -> list[Barred]:
    """Return the work that instances refused, the most ends first."""
    told: dict[str, list[Line]] = {}
    for line in log.lines:
        if line.name in ("work_barred", "work_cleared"):
            told.setdefault(line.fields["identity"], []).append(line)
    found = [
        _describe(identity, lines, log)
        for identity, lines in told.items()
        if any(line.name == "work_barred" for line in lines)
    ]
    return sorted(found, key=lambda one: -one.ends)


def _is_suspected(line: Line, identity: str) -> bool:
    """Return whether a call or a part was a suspect as an endpoint ended."""
    suspects = [name for name, _ in line.fields["suspects"]]
    return identity in suspects or identity in line.fields.get("parts", ())


def _describe(identity: str, told: list[Line], log: Log) -> Barred:
    barred = [line for line in told if line.name == "work_barred"]
    endpoints = {
        line.fields["endpoint"]: None
        for line in log.lines
        if line.name == "endpoint_ended"
        if _is_suspected(line, identity)
    }
    requests = {
        line.fields["request"]: None
        for line in log.lines
        if line.name == "send_failed" and line.fields.get("identity") == identity
    }
    return Barred(
        identity,
        max(line.fields["ends"] for line in barred),
        barred[0].time,
        barred[-1].time,
        list(endpoints),
        list(requests),
        told[-1].name == "work_cleared",
    )
