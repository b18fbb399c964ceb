"""Collect usage reports on the calls at engines for the owners of zones.

A report usually has only what changed. Reports are numbered, so that a
receiver detects one that it missed. It then requests a full report.
"""

from collections.abc import Callable
from typing import NamedTuple

from roadlift.serving.calls import Model


class PromptSample(NamedTuple):
    """The prompts at an engine since the last report.

    ``sent`` is the number of prompt tokens of calls that were sent. Calls that
    had their first event waited ``seconds`` in sum for ``read`` tokens: their
    own and those ahead of them.
    """

    endpoint: str
    sent: int
    read: int
    seconds: float


class UsageReport(NamedTuple):
    """A report to one owner.

    ``count`` numbers the reports to the owners of the zone. With ``is_whole``
    no calls run except those in the report. ``uses`` are [engine, base model,
    adapter, calls begun since the last report, running calls], ``reading``
    [engine, prompt tokens of calls that are not read yet], ``samples`` the
    fields of each ``PromptSample``.
    """

    count: int
    is_whole: bool
    uses: list
    reading: list
    samples: list


class AllZonesReport(NamedTuple):
    """A report to an aggregator: [zone, uses, reading] of all zones.

    ``samples`` are [zone, fields of a ``PromptSample``].
    """

    count: int
    is_whole: bool
    zones: list
    samples: list


class _Zone:
    """The known calls at one zone's engines, and what to report."""

    __slots__ = (
        "begun",
        "count",
        "needs_full_report",
        "readers",
        "running",
        "samples",
        "unreported",
    )

    def __init__(self) -> None:
        self.count = 0
        self.needs_full_report = False
        self.begun: dict[tuple[str, Model], int] = {}
        self.running: dict[tuple[str, Model], int] = {}
        self.samples: dict[str, PromptSample] = {}
        self.readers: set[str] = set()
        self.unreported: set[str] = set()


class UsageReports:
    """Collects the calls of one or several instances at engines, by zone."""

    def __init__(self) -> None:
        self._zones: dict[str, _Zone] = {}
        self._count = 0
        self._needs_full_report = False

    def _find(self, zone: str) -> _Zone:
        return self._zones.setdefault(zone, _Zone())

    def note_use(
        self, zone: str, endpoint: str, model: Model, begun: int, change: int
    ) -> None:
        """Count calls that begin, and a change in the number that run."""
        known = self._find(zone)
        key = (endpoint, model)
        known.begun[key] = known.begun.get(key, 0) + begun
        running = known.running.get(key, 0) + change
        if running > 0:
            known.running[key] = running
        else:
            known.running.pop(key, None)

    def note_sample(self, zone: str, sample: PromptSample) -> None:
        """Add to the prompts at an engine since the last report."""
        samples = self._find(zone).samples
        known = samples.get(sample.endpoint)
        if known is not None:
            sample = PromptSample(
                sample.endpoint,
                known.sent + sample.sent,
                known.read + sample.read,
                known.seconds + sample.seconds,
            )
        samples[sample.endpoint] = sample

    def note_reading(self, zone: str, endpoint: str) -> None:
        """Record that the unread prompt tokens at an engine changed."""
        self._find(zone).unreported.add(endpoint)

    def request_full_report(self, zone: str) -> None:
        """Make the next report to a zone's owner a full one."""
        self._find(zone).needs_full_report = True

    def request_full_reports(self) -> None:
        """Make all next reports full ones, as for a new receiver."""
        self._needs_full_report = True
        for known in self._zones.values():
            known.needs_full_report = True

    def collect(self, zone: str, count_reading: Callable[[str], int]) -> UsageReport:
        """Return the next report; ``count_reading`` gives unread tokens."""
        known = self._find(zone)
        known.count += 1
        is_whole, known.needs_full_report = known.needs_full_report, False
        begun, known.begun = known.begun, {}
        known.readers |= known.unreported
        readers, known.unreported = known.unreported, set()
        keys = set(begun)
        if is_whole:
            keys |= set(known.running)
            readers = known.readers
        uses = [
            [key[0], *key[1], begun.get(key, 0), known.running.get(key, 0)]
            for key in keys
        ]
        reading = [[name, count_reading(name)] for name in readers]
        known.readers -= {name for name, tokens in reading if not tokens}
        samples = [list(sample) for sample in known.samples.values()]
        known.samples = {}
        return UsageReport(known.count, is_whole, uses, reading, samples)

    def collect_all(self, count_reading: Callable[[str], int]) -> AllZonesReport:
        """Return the next report to an aggregator, of all zones."""
        self._count += 1
        is_whole, self._needs_full_report = self._needs_full_report, False
        zones = []
        samples = []
        for zone, known in self._zones.items():
            known.needs_full_report = is_whole
            report = self.collect(zone, count_reading)
            samples += [[zone, *sample] for sample in report.samples]
            if report.uses or report.reading:
                zones.append([zone, report.uses, report.reading])
        return AllZonesReport(self._count, is_whole, zones, samples)

    def request_full_aggregator_report(self) -> None:
        """Make the next report to the aggregator a full one."""
        self._needs_full_report = True
