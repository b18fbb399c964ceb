"""Watch, on the runners' side, evacuated zones and cold runners."""

from collections.abc import Iterable
from typing import NamedTuple

from standins.limits import LimitWatch

STOP = 2.0  # Seconds after an evacuation's row in which calls may still come.
COLD_FACTOR = 1.5  # How many times its rate a cold runner may get in a second.
COLD_SLACK = 5  # Calls that it may get beside that.


class StrayCall(NamedTuple):
    """A call that came ``after`` seconds of its zone's evacuation."""

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

    def __init__(self, calls: LimitWatch) -> None:
        self._calls = calls
        self._evacuations: dict[str, list[_Period]] = {}
        self._cold: dict[str, list[_Period]] = {}
        self._rates: dict[str, float] = {}

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

    def list_stray(self, zones: Iterable[tuple[str, str]]) -> list[StrayCall]:
        """Return the calls that came too late; ``zones`` are of runners."""
        return [
            StrayCall(runner, at - period.since)
            for runner, zone in zones
            for period in self._evacuations.get(zone, ())
            for at in self._calls.list_calls(runner, period.since, period.until)
            if at - period.since > STOP
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
            for period in periods:
                for at in self._calls.list_calls(runner, *period):
                    since = max(period.since, at - 1.0)
                    calls = self._calls.count_calls(runner, since, at)
                    if calls > allowed:
                        found.append(Crowd(runner, at, calls, allowed))
        return found
