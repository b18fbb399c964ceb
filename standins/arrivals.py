"""Note the sends that runners receive, and count them against BUDGET.

What a runner rejects is a send like any other.
"""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from roadlift.retries.window import RetryRule

TOLERANCE = 0.5  # Seconds by which a time limit may lie later than the caller's.
STEP = 0.1  # Seconds between two windows in which retries are counted.


class Arrival(NamedTuple):
    """A send as its runner received it; times are in seconds.

    ``limit`` is the time that the send says is left, or None without one.
    """

    at: float
    service: str
    call_id: str
    runner: str
    limit: float | None


class SentCall(NamedTuple):
    """A call as its caller sent it, with its time limit or None."""

    at: float
    service: str
    call_id: str
    limit: float | None


class RetryUse(NamedTuple):
    """The retries of the window that used most of what is allowed."""

    service: str
    since: float
    retries: int
    allowed: float

    @property
    def fraction(self) -> float:
        """Return the part of the allowance that was used."""
        return self.retries / self.allowed


class ArrivalWatch:
    """The sends that runners received, in order."""

    def __init__(self, arrivals: Iterable[Arrival] = ()) -> None:
        self.arrivals = list(arrivals)

    @classmethod
    def read(cls, found: list[list]) -> "ArrivalWatch":
        """Read what ``describe`` returned."""
        return cls(Arrival(*fields) for fields in found)

    def describe(self) -> list[list]:
        """Return the arrivals for JSON."""
        return [list(arrival) for arrival in self.arrivals]

    def note(self, arrival: Arrival) -> None:
        """Note a send that was received now."""
        self.arrivals.append(arrival)

    def list_first(self) -> list[SentCall]:
        """Return the first arrival of each call, as if it was its sending."""
        first: dict[tuple[str, str], SentCall] = {}
        for at, service, call_id, _, limit in self.arrivals:
            first.setdefault((service, call_id), SentCall(at, service, call_id, limit))
        return list(first.values())

    def measure_use(self, sent: Iterable[SentCall], rule: RetryRule) -> list[RetryUse]:
        """Return the worst window of each service."""
        times: dict[str, list[float]] = defaultdict(list)
        for call in sent:
            times[call.service].append(call.at)
        return [
            _find_worst(service, sorted(times[service]), retries, rule)
            for service, retries in sorted(self.list_retries().items())
        ]

    def list_retries(self) -> dict[str, list[float]]:
        """Return when each service received more than the first of a call."""
        seen: set[tuple[str, str]] = set()
        retries: dict[str, list[float]] = defaultdict(list)
        for arrival in self.arrivals:
            key = (arrival.service, arrival.call_id)
            if key in seen:
                retries[arrival.service].append(arrival.at)
            seen.add(key)
        return retries

    def list_overlong(self, sent: Iterable[SentCall]) -> Iterator[Arrival]:
        """Return the sends with more time than their calls have left.

        A send names at most the time that the caller gave. One that follows
        the first ends no later than that, or than the caller's time does.
        """
        calls = {call.call_id: call for call in sent if call.limit is not None}
        ends: dict[str, float] = {}
        for arrival in self.arrivals:
            call = calls.get(arrival.call_id)
            if call is None:
                continue
            if arrival.limit is None or arrival.limit > call.limit + TOLERANCE:
                yield arrival
                continue
            end = arrival.at + arrival.limit
            first_end = ends.setdefault(arrival.call_id, end)
            if end > max(first_end, call.at + call.limit) + TOLERANCE:
                yield arrival


def _find_worst(
    service: str, requests: list[float], retries: list[float], rule: RetryRule
) -> RetryUse:
    """Return the window with the largest part of its allowance used."""
    worst = RetryUse(service, 0.0, 0, 1.0)
    since = retries[0] - rule.window
    while since <= retries[-1]:
        counted = max(
            _count(requests, since - earlier, rule.window)
            for earlier in (0.0, rule.window / 2, rule.window)
        )
        allowed = rule.ratio * counted + rule.slack
        use = RetryUse(service, since, _count(retries, since, rule.window), allowed)
        if use.fraction > worst.fraction:
            worst = use
        since += STEP
    return worst


def _count(times: list[float], since: float, window: float) -> int:
    """Count the times within a window."""
    return bisect_left(times, since + window) - bisect_left(times, since)
