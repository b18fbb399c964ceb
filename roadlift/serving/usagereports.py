"""Collect usage reports on the calls at engines for the owners of zones.

A report usually has only what changed. Reports are numbered, so that a
receiver detects one that it missed. It then requests a full report.
"""

from collections.abc import Callable
from typing import NamedTuple

from roadlift.serving.calls import Model


class UsageReport(NamedTuple):
    """A report to one owner.

    ``count`` numbers the reports to the owners of the zone. With ``is_whole``
    no calls run except those in the report. ``uses`` are [engine, base model,
    adapter, calls begun since the last report, running calls], ``reading``
    [engine, prompt tokens of calls that are not read yet].
    """

    count: int
    is_whole: bool
    uses: list
    reading: list


class AllZonesReport(NamedTuple):
    """A report to an aggregator: [zone, uses, reading] of all zones."""

    count: int
    is_whole: bool
    zones: list


class _ZoneCalls:
    """The calls at one zone's engines, and what is yet to be reported."""

    __slots__ = (
        "begun",
        "count",
        "needs_full_report",
        "readers",
        "running",
        "unreported",
    )

    def __init__(self) -> None:
        self.count = 0
        self.needs_full_report = False
        self.begun: dict[tuple[str, Model], int] = {}
        self.running: dict[tuple[str, Model], int] = {}
        self.readers: set[str] = set()
        self.unreported: set[str] = set()


class UsageReports:
    """Collects the calls of one or several instances at engines, by zone."""

    def __init__(self) -> None:
        self._zones: dict[str, _ZoneCalls] = {}
        self._count = 0
        self._needs_full_report = False

    def _find(self, zone: str) -> _ZoneCalls:
        return self._zones.setdefault(zone, _ZoneCalls())

    def note_use(
        self, zone: str, endpoint: str, model: Model, begun: int, change: int
    ) -> None:
        """Count calls that begin, and a change in the number that run."""
        zone_calls = self._find(zone)
        key = (endpoint, model)
        zone_calls.begun[key] = zone_calls.begun.get(key, 0) + begun
        running = zone_calls.running.get(key, 0) + change
        if running > 0:
            zone_calls.running[key] = running
        else:
            zone_calls.running.pop(key, None)

    def note_reading(self, zone: str, endpoint: str) -> None:
        """Record that the unread prompt tokens at an engine changed."""
        self._find(zone).unreported.add(endpoint)

    def request_full_report(self, zone: str) -> None:
        """Make the next report to a zone's owner a full one."""
        self._find(zone).needs_full_report = True

    def request_full_reports(self) -> None:
        """Make all next reports full ones, as for a new receiver."""
        self._needs_full_report = True
        for zone_calls in self._zones.values():
            zone_calls.needs_full_report = True

    def collect(self, zone: str, count_reading: Callable[[str], int]) -> UsageReport:
        """Return the next report to a zone's owner.

        ``count_reading`` returns the unread prompt tokens at an engine.
        """
        zone_calls = self._find(zone)
        zone_calls.count += 1
        is_whole, zone_calls.needs_full_report = zone_calls.needs_full_report, False
        begun, zone_calls.begun = zone_calls.begun, {}
        zone_calls.readers |= zone_calls.unreported
        readers, zone_calls.unreported = zone_calls.unreported, set()
        keys = set(begun)
        if is_whole:
            keys |= set(zone_calls.running)
            readers = zone_calls.readers
        uses = [
            [key[0], *key[1], begun.get(key, 0), zone_calls.running.get(key, 0)]
            for key in keys
        ]
        reading = [[name, count_reading(name)] for name in readers]
        zone_calls.readers -= {name for name, tokens in reading if not tokens}
        return UsageReport(zone_calls.count, is_whole, uses, reading)

    def collect_all(self, count_reading: Callable[[str], int]) -> AllZonesReport:
        """Return the next report to an aggregator, of all zones."""
        self._count += 1
        is_whole, self._needs_full_report = self._needs_full_report, False
        zones = []
        for zone, zone_calls in self._zones.items():
            zone_calls.needs_full_report = is_whole
            report = self.collect(zone, count_reading)
            if report.uses or report.reading:
                zones.append([zone, report.uses, report.reading])
        return AllZonesReport(self._count, is_whole, zones)

    def request_full_aggregator_report(self) -> None:
        """Make the next report to the aggregator a full one."""
        self._needs_full_report = True
