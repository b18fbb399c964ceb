"""Watch, on the runners' side, evacuated zones and cold runners."""

from bisect import bisect_right
from collections.abc import Iterable
from typing import NamedTuple

STOP = 2.0  # Seconds after an evacuation's row in which calls may still come.
COLD_FACTOR = 1.5  # How many times its rate a cold runner may get in a second.
COLD_SLACK = 5  # Calls that it may get beside that.


class StrayCall(NamedTuple):
    """A call that came ``after`` seconds of its zone's evacuation."""

    call_id: str
    runner: str
    after: float


class Crowd(NamedTuple):
    """The calls that a cold runner got in the second before a time."""

    runner: str
    at: float
    calls: int
    allowed: float


class _Period(NamedTuple):
    """A time span, still open if it ends at infinity."""

    since: float
    until: float


class PlaceWatch:
    """The evacuations of zones, and the times in which runners were cold."""

    def __init__(self) -> None:
        self._calls: dict[str, list[tuple[float, str]]] = {}
        self._zones: dict[str, str] = {}
        self._evacuations: dict[str, list[_Period]] = {}
        self._cold: dict[str, list[_Period]] = {}
        self._rates: dict[str, float] = {}

    def note_call(self, runner: str, zone: str, call_id: str, now: float) -> None:
        """Count a call that came to a runner of a zone."""
        self._calls.setdefault(runner, []).append((now, call_id))
        self._zones[runner] = zone

    def note_evacuation(self, zone: str, now: float) -> None:
        """Note that a zone's row was written."""
        self._evacuations.setdefault(zone, []).append(_Period(now, float("inf")))

    def note_return(self, zone: str, now: float) -> None:
        """Note that a zone's row was deleted."""
        periods = self._evacuations[zone]
        periods[-1] = periods[-1]._replace(until=now)

    def note_cold(self, runner: str, rate: float, now: float, until: float) -> None:
        """Note that a runner is cold until a time and takes a rate."""
        self._cold.setdefault(runner, []).append(_Period(now, until))
        self._rates[runner] = rate

    def list_stray(self) -> list[StrayCall]:
        """Return the calls that came too late to evacuated zones."""
        return [
            StrayCall(call_id, runner, at - period.since)
            for runner, calls in self._calls.items()
            for period in self._evacuations.get(self._zones[runner], ())
            for at, call_id in calls
            if period.since + STOP < at <= period.until
        ]

    def list_late(self, orders: Iterable[tuple[float, str]]) -> list[float]:
        """Return how late orders came to zones; each is a time and a zone."""
        return [
            at - period.since
            for at, zone in orders
            for period in self._evacuations.get(zone, ())
            if period.since + STOP < at <= period.until
        ]

    def list_crowded(self) -> list[Crowd]:
        """Return the seconds in which a cold runner got too many calls."""
        found = []
        for runner, periods in self._cold.items():
            allowed = COLD_FACTOR * self._rates[runner] + COLD_SLACK
            times = [at for at, _ in self._calls.get(runner, ())]
            for period in periods:
                begin = bisect_right(times, period.since)
                end = bisect_right(times, period.until)
                for number in range(begin, end):
                    at = times[number]
                    first = max(begin, bisect_right(times, at - 1.0))
                    calls = number + 1 - first
                    if calls > allowed:
                        found.append(Crowd(runner, at, calls, allowed))
        return found
