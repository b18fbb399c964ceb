"""Add up at an aggregator what a fleet uses of organisations' allowances.

Usage is reported as totals, so that a lost message does no harm. An instance
that stops reporting is assumed to use as much as its last reported demand, and
from when it is without updates no more than its share. See ``shares`` for how
this is used.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import NamedTuple

from roadlift.organisations.shares import (
    FREE_FRACTION,
    MAX_DEBT,
    OFFLINE_FRACTION,
    STATE_MAX_AGE,
    AllowanceTolerance,
)
from roadlift.serving.routes import Allowance

# Seconds of the rate that a successor counts as used: what its predecessor had
# not been told yet.
UNREPORTED_TIME = 0.5
# Demand a second below which a usage is no longer reported: a call that counts
# as 1 is reported for 8 s. With 1.0, calls that arrived less than once a
# second at each instance were never counted.
MIN_DEMAND = 0.01


class Use(NamedTuple):
    """What was used of an allowance since a process began.

    ``demand`` is the amount requested a second.
    """

    name: str
    spent: float
    demand: float


class FleetState(NamedTuple):
    """What an aggregator reports to an instance about an organisation.

    It speaks for a ``fraction`` of the allowance, of which ``level`` is left,
    with a ``demand`` a second. ``counted`` is what it has counted of the
    instance's own usage.
    """

    name: str
    is_free: bool
    fraction: float
    demand: float
    level: float
    counted: float


class _Reporter:
    """The last report of one instance, or of another aggregator."""

    __slots__ = (
        "_extrapolated_at",
        "counted",
        "reported_at",
        "members",
        "process",
        "uses",
    )

    def __init__(self, process: int, now: float) -> None:
        self.process = process
        self.reported_at = now
        self.members = 0
        self.uses: dict[str, Use] = {}
        self.counted: dict[str, float] = {}
        self._extrapolated_at = now

    def apply_report(
        self, uses: Iterable[Use], is_first: bool, now: float
    ) -> Iterator[Use]:
        """Apply a report; yield what was used since the last one.

        The first report is the starting point: other aggregators may have
        counted what was used before it.
        """
        self.reported_at = self._extrapolated_at = now
        self.uses = {use.name: use for use in uses}
        for use in self.uses.values():
            before = self.counted.get(use.name, use.spent if is_first else 0.0)
            self.counted[use.name] = use.spent
            yield use._replace(spent=use.spent - before)

    def extrapolate(
        self, now: float, measure_share: Callable[[Use], float]
    ) -> Iterator[Use]:
        """Yield the assumed usage if there was no report for a while.

        Until the instance has noticed it, it may use what it is asked for;
        after that, at most the amount a second of ``measure_share``.
        """
        noticed_at = self.reported_at + STATE_MAX_AGE
        if now < noticed_at:
            return
        since, self._extrapolated_at = self._extrapolated_at, now
        unlimited = max(0.0, noticed_at - since)
        limited = now - max(since, noticed_at)
        for use in self.uses.values():
            limit = min(use.demand, measure_share(use))
            amount = use.demand * unlimited + limit * limited
            self.counted[use.name] = self.counted.get(use.name, 0.0) + amount
            yield use._replace(spent=amount)


class _TokenBucket:
    """What is left of a burst; it rises at the rate."""

    __slots__ = ("_refilled_at", "value")

    def __init__(self, now: float) -> None:
        self._refilled_at = now
        self.value = 0.0

    def set(self, value: float, now: float) -> None:
        """Set what is left."""
        self.value = value
        self._refilled_at = now

    def refill(self, rate: float, burst: float, now: float) -> None:
        """Refill up to the burst."""
        self.value = min(burst, self.value + rate * (now - self._refilled_at))
        self._refilled_at = now


class FleetUse:
    """The usage of all organisations, of members and of other aggregators."""

    def __init__(self, tolerance: AllowanceTolerance) -> None:
        self._tolerance = tolerance
        self._allowances: Mapping[str, Allowance] = {}
        self._members: dict[str, _Reporter] = {}
        self._others: dict[str, _Reporter] = {}
        self._totals: dict[str, float] = {}
        self._buckets: dict[str, _TokenBucket] = {}
        self._instances = 0
        self._is_complete = False

    def set_allowances(self, allowances: Mapping[str, Allowance]) -> None:
        """Replace the allowances; counted usage is kept."""
        self._allowances = allowances
        for known in (self._buckets, self._totals):
            for name in set(known) - set(allowances):
                del known[name]

    # Reports.

    def record_member(
        self, address: str, process: int, uses: Iterable[Use], now: float
    ) -> None:
        """Apply the report of a process at an address on its own usage."""
        for use in self._apply_report(self._members, address, process, uses, now):
            self._count(use, now)

    def record_other(
        self,
        address: str,
        process: int,
        members: int,
        uses: Iterable[Use],
        now: float,
    ) -> None:
        """Apply another aggregator's report on the usage of its members."""
        for use in self._apply_report(self._others, address, process, uses, now):
            self._spend(use, now)
        self._others[address].members = members

    def _apply_report(
        self,
        reporters: dict[str, _Reporter],
        address: str,
        process: int,
        uses: Iterable[Use],
        now: float,
    ) -> Iterator[Use]:
        known = reporters.get(address)
        is_first = known is None or known.process != process
        if is_first:
            known = reporters[address] = _Reporter(process, now)
        return known.apply_report(uses, is_first, now)

    def _count(self, use: Use, now: float) -> None:
        """Count the usage of a member, to report it to other aggregators."""
        self._totals[use.name] = self._totals.get(use.name, 0.0) + use.spent
        self._spend(use, now)

    def _spend(self, use: Use, now: float) -> None:
        allowance = self._allowances.get(use.name)
        if allowance is None:
            return
        bucket = self._refill(use.name, allowance, now)
        max_debt = allowance.rate * MAX_DEBT
        bucket.value = max(-max_debt, bucket.value - use.spent)

    def forget_member(self, address: str) -> None:
        """Drop an instance that now reports to another aggregator."""
        self._members.pop(address, None)

    def update_others(self, addresses: Iterable[str], now: float) -> None:
        """Set the other aggregators, and check which of them report."""
        expected = set(addresses)
        for address in set(self._others) - expected:
            del self._others[address]
        self._extrapolate(now)
        others = self._others.values()
        reporting = sum(now - one.reported_at < STATE_MAX_AGE for one in others)
        self._is_complete = reporting == len(expected)
        if self._is_complete:
            self._instances = len(self._members) + sum(one.members for one in others)

    def _extrapolate(self, now: float) -> None:
        """Count the assumed usage of inactive members; drop expired ones."""
        demands = self._compute_demands()

        def measure_share(use: Use) -> float:
            """Return what an instance without updates allows a second."""
            allowance = self._allowances.get(use.name)
            demand = demands.get(use.name, 0.0)
            if allowance is None or not demand:
                return 0.0
            return OFFLINE_FRACTION * allowance.rate * use.demand / demand

        for address, member in list(self._members.items()):
            for use in member.extrapolate(now, measure_share):
                self._count(use, now)
            if now - member.reported_at > self._tolerance.window:
                del self._members[address]

    def follow(self, states: Iterable[FleetState], now: float) -> None:
        """Follow the aggregator's state, to continue from it as its successor.

        An organisation that it does not report is free.
        """
        levels = {state.name: state.level for state in states}
        for name, allowance in self._allowances.items():
            burst = allowance.burst + self._tolerance.extra_burst
            bucket = self._buckets.setdefault(name, _TokenBucket(now))
            level = levels.get(name, FREE_FRACTION * burst)
            bucket.set(level - UNREPORTED_TIME * allowance.rate, now)

    # Results.

    def count_members(self) -> int:
        """Return the number of instances that report their usage here."""
        return len(self._members)

    def list_totals(self) -> list[Use]:
        """Return what the members used, for other aggregators."""
        demands: dict[str, float] = {}
        self._add_demands(self._members, demands)
        return [
            Use(name, self._totals.get(name, 0.0), demand)
            for name, demand in demands.items()
        ]

    def describe(self, address: str, now: float) -> list[FleetState]:
        """Return the states that an instance needs.

        These are the organisations that it uses itself, and those that are not
        free.
        """
        member = self._members.get(address)
        demands = self._compute_demands()
        fraction = self._compute_fraction()
        found = []
        for name, allowance in self._allowances.items():
            bucket = self._refill(name, allowance, now)
            min_level = FREE_FRACTION * allowance.burst * fraction
            is_free = fraction > 0 and bucket.value >= min_level
            is_used = member is not None and name in member.uses
            if is_free and not is_used:
                continue
            demand = demands.get(name, 0.0)
            counted = member.counted.get(name, 0.0) if member else 0.0
            state = FleetState(name, is_free, fraction, demand, bucket.value, counted)
            found.append(state)
        return found

    def _refill(self, name: str, allowance: Allowance, now: float) -> _TokenBucket:
        """Return what is left of an allowance now."""
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = self._buckets[name] = _TokenBucket(now)
        fraction = self._compute_fraction()
        burst = allowance.burst + self._tolerance.extra_burst
        bucket.refill(allowance.rate * fraction, burst * fraction, now)
        return bucket

    def _compute_fraction(self) -> float:
        """Return the fraction of allowances that this aggregator speaks for.

        If other aggregators do not report, this is its members' fraction of
        the number of instances at the time when all did.
        """
        if self._is_complete:
            return self._tolerance.factor
        if not self._instances:
            return 0.0
        return min(1.0, len(self._members) / self._instances)

    def _compute_demands(self) -> dict[str, float]:
        """Return the demand a second that this aggregator speaks for."""
        demands: dict[str, float] = {}
        self._add_demands(self._members, demands)
        if self._is_complete:
            self._add_demands(self._others, demands)
        return demands

    def _add_demands(
        self, reporters: Mapping[str, _Reporter], demands: dict[str, float]
    ) -> None:
        for reporter in reporters.values():
            for use in reporter.uses.values():
                demands[use.name] = demands.get(use.name, 0.0) + use.demand
