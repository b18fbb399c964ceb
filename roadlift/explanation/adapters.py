"""Find the adapters that were asked for again and again and never served.

Calls that were not served each have a line of their own; the adapters of those
that were are named by instance every few seconds, so that the two together
tell of each adapter whether any call of it was served.
"""

import re
from collections import Counter
from typing import NamedTuple

from roadlift.explanation.lines import Line, Log

LEAST_CALLS = 4  # Calls of an adapter below which nothing is said of it.
LEAST_SPAN = 8.0  # Seconds from the first to the last of them, likewise.
# What differs from call to call in an error's text: names and numbers.
_NAMES = re.compile(r"\S*[\d/]\S*")


class Unserved(NamedTuple):
    """An adapter of which no call was served, from ``first`` to ``last``.

    ``endings`` counts its calls by why they ended, ``denials`` the loads that
    owners denied by why, and ``endpoints`` those at which they did.
    """

    model: str
    calls: int
    first: float
    last: float
    endings: Counter
    denials: Counter
    endpoints: Counter


class Census(NamedTuple):
    """How many adapters were asked for often, and those never served."""

    asked: int
    unserved: list[Unserved]


def find_unserved(
    log: Log, least_calls: int = LEAST_CALLS, least_span: float = LEAST_SPAN
) -> Census:
    """Return the adapters that were never served, the most asked for first.

    ``asked`` counts the adapters of which so many calls ended over so many
    seconds, and those that were served.
    """
    served: set[str] = set()
    ended: dict[str, list[Line]] = {}
    denied: dict[str, list[Line]] = {}
    for line in log.lines:
        model = line.fields.get("model")
        if line.name == "adapters_served":
            served.update(line.fields["models"].split())
        elif line.name == "call_ended" and model and "/" in model:
            ended.setdefault(model, []).append(line)
        elif line.name == "load_denied":
            denied.setdefault(model, []).append(line)
    served |= {name for name, lines in ended.items() if any(map(_is_served, lines))}
    often = {
        name: lines
        for name, lines in ended.items()
        if len(lines) >= least_calls
        and lines[-1].time - lines[0].time >= least_span
        and name not in served
    }
    found = [
        _describe(name, lines, denied.get(name, [])) for name, lines in often.items()
    ]
    found.sort(key=lambda one: -one.calls)
    return Census(len(served) + len(often), found)


def _is_served(line: Line) -> bool:
    return line.fields.get("outcome") == "served"


def _describe(name: str, lines: list[Line], denied: list[Line]) -> Unserved:
    return Unserved(
        name,
        len(lines),
        lines[0].time,
        lines[-1].time,
        Counter(map(_tell_ending, lines)),
        Counter(line.fields.get("reason", "unknown") for line in denied),
        Counter(line.fields.get("endpoint") for line in denied),
    )


def _tell_ending(line: Line) -> str:
    """Return why a call ended, without what differs from call to call."""
    error = _NAMES.sub("..", str(line.fields.get("error")))
    sends = "sent" if line.fields.get("sends") else "not sent"
    return f"{line.fields.get('outcome')}, {sends}: {error}"
