"""Count the requests within and without their contract, over two windows.

A service's target is the share of requests whose first byte has to come
within the contracted time. The budget is the rest; a burn rate of 1 uses it
up exactly, a rate of 14 in a fiftieth of the time.
"""

from collections import deque
from typing import NamedTuple, TypedDict

SLOT = 5.0  # Seconds counted together.
SHORT = 300.0  # Seconds of the short window.
LONG = 3600.0  # Seconds of the long window.


class Sample(NamedTuple):
    """One request that has ended; times are in seconds.

    ``good`` tells that it kept the contract; ``stall`` is the time that it
    waited for its adapter's load.
    """

    organisation: str
    service: str
    priority: str
    target: float
    good: bool
    first_byte: float
    stall: float


class BurnRow(TypedDict):
    """The burn of one service, in counts that can be added up.

    ``fill`` and ``fill_samples`` give the batch efficiency of the engines
    that this instance owns.
    """

    organisation: str
    service: str
    priority: str
    target: float
    short_total: int
    short_bad: int
    long_total: int
    long_bad: int
    stalls: int
    stall_seconds: float
    worst_first_byte: float


class _Slot:
    __slots__ = ("start", "total", "bad", "stalls", "stall_seconds", "worst")

    def __init__(self, start: float) -> None:
        self.start = start
        self.total = 0
        self.bad = 0
        self.stalls = 0
        self.stall_seconds = 0.0
        self.worst = 0.0


class _Series:
    def __init__(self, sample: Sample) -> None:
        self.first = sample
        self.slots: deque[_Slot] = deque()


class BurnRecord:
    """The counts of one instance, kept for the long window."""

    def __init__(self) -> None:
        self._series: dict[tuple[str, str], _Series] = {}

    def add(self, sample: Sample, now: float) -> None:
        """Count one request at ``now``."""
        key = (sample.organisation, sample.service)
        series = self._series.setdefault(key, _Series(sample))
        start = now - now % SLOT
        if not series.slots or series.slots[-1].start < start:
            series.slots.append(_Slot(start))
        while series.slots[0].start <= now - LONG:
            series.slots.popleft()
        slot = series.slots[-1]
        slot.total += 1
        slot.bad += not sample.good
        slot.stalls += sample.stall > 0
        slot.stall_seconds += sample.stall
        slot.worst = max(slot.worst, sample.first_byte)

    def list_rows(self, now: float) -> list[BurnRow]:
        """Return a row a service, sorted by organisation and service."""
        return [self._make_row(self._series[key], now) for key in sorted(self._series)]

    def _make_row(self, series: _Series, now: float) -> BurnRow:
        long = [slot for slot in series.slots if slot.start > now - LONG]
        short = [slot for slot in long if slot.start > now - SHORT]
        first = series.first
        return BurnRow(
            organisation=first.organisation,
            service=first.service,
            priority=first.priority,
            target=first.target,
            short_total=sum(slot.total for slot in short),
            short_bad=sum(slot.bad for slot in short),
            long_total=sum(slot.total for slot in long),
            long_bad=sum(slot.bad for slot in long),
            stalls=sum(slot.stalls for slot in long),
            stall_seconds=sum(slot.stall_seconds for slot in long),
            worst_first_byte=max((slot.worst for slot in long), default=0.0),
        )


_SUMMED = (
    "short_total", "short_bad", "long_total", "long_bad", "stalls", "stall_seconds",
)  # fmt: skip


def merge_rows(rows: list[BurnRow]) -> list[BurnRow]:
    """Add up the rows of several instances, one a service."""
    merged: dict[tuple[str, str], BurnRow] = {}
    for row in rows:
        key = (row["organisation"], row["service"])
        known = merged.get(key)
        if known is None:
            merged[key] = BurnRow(**row)
            continue
        for name in _SUMMED:
            known[name] += row[name]
        known["worst_first_byte"] = max(
            known["worst_first_byte"], row["worst_first_byte"]
        )
    return [merged[key] for key in sorted(merged)]


def measure_burn(total: int, bad: int, target: float) -> float:
    """Return the burn rate: the bad share over the budget's share."""
    if not total:
        return 0.0
    return bad / total / max(1e-9, 1.0 - target)
