"""Check that an instance keeps to the runs that its calls have.

A stream that has begun at a sound engine is not cut before its time limit,
no call runs at two engines for long, and none has more runs than its route
allows.
"""

from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

from benchmarks.organisations import Breach
from tests.support.configuration import Terms, make_route, read_terms

CALL_LIMIT = 4.0  # Seconds that a caller gives a call.
SLOW_MIX = (
    ("slow", "/long/slow", 1),
    ("slow_again", "/again/slow", 2),
)
_ADDED = make_route("/home/", "idempotent", "plain")


class Call(NamedTuple):
    """A call as its caller saw it end, ``lasted`` seconds behind its sending.

    ``is_cut`` tells that its answer began and was not whole, ``is_held_up``
    that its instance was killed, stood still or was cut off meanwhile.
    """

    call_id: str
    instance: str
    terms: Terms
    after: float
    lasted: float
    is_cut: bool
    is_held_up: bool


def find_terms(path: str) -> Terms:
    """Return the terms of the route that a path has."""
    terms = read_terms(path, _ADDED)
    return terms._replace(limit=min(CALL_LIMIT, terms.limit))


class StreamWatch:
    """How calls ended, compared with what their runners noted."""

    def __init__(self) -> None:
        self._calls: dict[str, Call] = {}

    def note(self, call: Call) -> None:
        """Keep how a call ended."""
        self._calls[call.call_id] = call

    def is_expired(self, call_id: str) -> bool:
        """Tell whether a call's answer was cut at its time limit."""
        call = self._calls[call_id]
        return call.is_cut and call.lasted >= call.terms.limit

    def check(self, found: dict) -> Iterator[tuple[Breach, float | None]]:
        """Return the breaches, and when they were seen."""
        yield from self._list_cut(found["ends"])
        yield from self._list_overlaps(found["overlaps"])
        runs = Counter(run["id"] for run in found["runs"])
        runs.subtract(found["interrupted"])
        yield from self._list_excess(runs)

    def _list_cut(self, ends: dict) -> Iterator[tuple[Breach, float]]:
        """Return the streams that were cut though they had a sound run."""
        for call in self._calls.values():
            is_excused = call.is_held_up or not ends.get(call.call_id, True)
            if call.is_cut and not self.is_expired(call.call_id) and not is_excused:
                told = f"{call.call_id} at {call.instance} {call.lasted:.2f} s"
                yield Breach("cut_by_instance", told), call.after

    def _list_overlaps(self, found: list[str]) -> Iterator[tuple[Breach, float | None]]:
        """Return the calls that ran at two engines at once.

        An instance that stands still, or is cut off, can end no run.
        """
        for call_id in found:
            call = self._calls.get(call_id)
            if call is None:
                yield Breach("ran_at_two", call_id), None
            elif not call.is_held_up:
                yield Breach("ran_at_two", f"{call_id} {call.instance}"), call.after

    def _list_excess(self, runs: Counter[str]) -> Iterator[tuple[Breach, float]]:
        for call in self._calls.values():
            count, allowed = runs[call.call_id], call.terms.attempts
            if count > allowed:
                told = f"{call.call_id} at {call.instance} {count} of {allowed}"
                yield Breach("over_attempts", told), call.after
