"""Estimate the load of engines from owners' reports and later local sends.

Load pattern: many instances send to the same engines without a shared counter.
An owner reports the calls of all instances, some tens of milliseconds late.
What this process has sent or finished since then is added, so that it does not
send a second long prompt after a first one that is in no report yet.
"""

from collections.abc import Collection, Mapping
from typing import NamedTuple

from roadlift.serving.loads import INITIAL_DURATION, measure_queue

# Fraction by which an engine's calls, or its unread prompt tokens, must differ
# from the last report to be reported again, and the minimum change in tokens.
REPORT_FRACTION = 0.2
REPORT_MIN_TOKENS = 512
REPORT_MIN_FILL = 0.05  # Minimum change of the fill that is reported.
# Adapter slots of an engine without a report: enough to send a request.
UNREPORTED_SLOTS = 1
FULL_REPORT_INTERVAL = 2.0  # Seconds between reports of the loads of all engines.


class EngineLoad(NamedTuple):
    """The load of an engine: calls, unread prompt tokens, free adapter slots.

    ``free_slots`` is the number of slots into which adapters can be loaded
    now; a negative number is how many adapters wait beyond them. ``loads`` are
    in progress or waiting; each takes ``load_time`` seconds, as recently
    observed by its owner. A prompt token takes ``token_time`` seconds, 0 if
    that is not known; ``fill`` is the fraction of the time that the recent
    prompts take.
    """

    running: int
    reading: int
    free_slots: int
    loads: int = 0
    load_time: float = INITIAL_DURATION
    token_time: float = 0.0
    fill: float = 0.0

    def differs(self, reported: "EngineLoad") -> bool:
        """Return whether subscribers need a report of this load."""
        calls = (
            abs(self.running - reported.running) > REPORT_FRACTION * reported.running
        )
        change = abs(self.reading - reported.reading)
        tokens = change > max(REPORT_MIN_TOKENS, REPORT_FRACTION * reported.reading)
        is_same = (self.free_slots, self.loads) == (reported.free_slots, reported.loads)
        load_time_change = (
            abs(self.load_time - reported.load_time)
            > REPORT_FRACTION * reported.load_time
        )
        token_time_change = (
            abs(self.token_time - reported.token_time)
            > REPORT_FRACTION * reported.token_time
        )
        fill_change = abs(self.fill - reported.fill)
        is_filled = fill_change > max(REPORT_MIN_FILL, REPORT_FRACTION * reported.fill)
        is_other = load_time_change or token_time_change or is_filled
        return calls or tokens or is_other or not is_same


class ReportedLoads:
    """The loads of engines as last reported to one or more receivers."""

    def __init__(self) -> None:
        self._loads: dict[str, EngineLoad] = {}
        self._all_at = float("-inf")

    def list_changed(self, loads: Mapping[str, EngineLoad], now: float) -> list:
        """Return the loads to report: those that differ from the last report.

        All loads are reported once per FULL_REPORT_INTERVAL, as a message may
        have been dropped.
        """
        if now - self._all_at >= FULL_REPORT_INTERVAL:
            self._all_at = now
            self._loads.clear()
        changed = []
        for name, load in loads.items():
            known = self._loads.get(name)
            if known is None or load.differs(known):
                self._loads[name] = load
                changed.append([name, *load])
        return changed


class _ReportedLoad(NamedTuple):
    """A load as reported by a zone's owner, and the local load then."""

    load: EngineLoad
    zone: str
    local_running: int
    local_reading: int


class Workload:
    """The loads of engines as known to one process."""

    def __init__(self) -> None:
        self._reports: dict[str, _ReportedLoad] = {}
        self._reading: dict[str, int] = {}
        self._ignored_zones: set[str] = set()

    def change_reading(self, endpoint: str, tokens: int) -> None:
        """Add prompt tokens that were sent; negative if they were read."""
        self._reading[endpoint] = max(0, self.count_local_reading(endpoint) + tokens)

    def count_local_reading(self, endpoint: str) -> int:
        """Return the unread prompt tokens of this process's calls."""
        return self._reading.get(endpoint, 0)

    def record_report(
        self, endpoint: str, zone: str, load: EngineLoad, local_running: int
    ) -> None:
        """Record an owner's report, and the local load at that time."""
        local_reading = self.count_local_reading(endpoint)
        self._reports[endpoint] = _ReportedLoad(
            load, zone, local_running, local_reading
        )

    def ignore_zones(self, zones: Collection[str]) -> None:
        """Ignore the reports for zones whose owners stopped responding."""
        self._ignored_zones = set(zones)

    def _find_report(self, endpoint: str) -> _ReportedLoad | None:
        report = self._reports.get(endpoint)
        return None if report is None or report.zone in self._ignored_zones else report

    def reserve_slot(self, endpoint: str) -> None:
        """Count a load that this process requested, and its slot."""
        report = self._reports.get(endpoint)
        if report is not None:
            load = report.load._replace(
                free_slots=report.load.free_slots - 1, loads=report.load.loads + 1
            )
            self._reports[endpoint] = report._replace(load=load)

    def mark_full(self, endpoint: str) -> None:
        """Record that an engine had no free slot."""
        report = self._reports.get(endpoint)
        if report is not None:
            load = report.load._replace(free_slots=min(report.load.free_slots, 0))
            self._reports[endpoint] = report._replace(load=load)

    def count_ahead(self, endpoint: str) -> int:
        """Return an estimate of the prompt tokens to be read at an engine."""
        local = self.count_local_reading(endpoint)
        report = self._find_report(endpoint)
        if report is None:
            return local
        return max(local, report.load.reading + local - report.local_reading)

    def count_running(self, endpoint: str, local: int) -> int:
        """Return an estimate of the calls that run at an engine.

        ``local`` is the number of this process's calls among them.
        """
        report = self._find_report(endpoint)
        if report is None:
            return local
        return max(local, report.load.running + local - report.local_running)

    def measure_fill(self, endpoint: str) -> float:
        """Return the fraction of its time that an engine reads prompts."""
        report = self._find_report(endpoint)
        return 0.0 if report is None else report.load.fill

    def get_token_time(self, endpoint: str) -> float:
        """Return the seconds of a prompt token at an engine; 0 if unknown."""
        report = self._find_report(endpoint)
        return 0.0 if report is None else report.load.token_time

    def count_free_slots(self, endpoint: str) -> int:
        """Return the number of free adapter slots of an engine."""
        report = self._find_report(endpoint)
        return UNREPORTED_SLOTS if report is None else report.load.free_slots

    def measure_queue(self, endpoint: str) -> float:
        """Return the seconds until a further load begins at an engine."""
        report = self._find_report(endpoint)
        if report is None:
            return 0.0
        return measure_queue(report.load.loads, report.load.load_time)

    def forget(self, known: Collection[str]) -> None:
        """Drop the engines that no longer exist."""
        for endpoint in (set(self._reports) | set(self._reading)) - set(known):
            self._reports.pop(endpoint, None)
            self._reading.pop(endpoint, None)
