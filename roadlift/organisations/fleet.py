"""Add up at an aggregator what a fleet uses of organisations' allowances.

Usage is reported as totals, so that a lost message does no harm. An instance
that stops reporting is assumed to use as much as its last reported demand. See
``shares`` for how this is used.
"""

from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from roadlift.organisations.shares import (
    FREE_TIME,
    MAX_DEBT,
    STATE_MAX_AGE,
    AllowanceTolerance,
)
from roadlift.serving.routes import Allowance

# Demand a second below which a usage is no longer reported: a call that counts
# as 1 is reported for 8 s. With 1.0, calls that arrived less than once a
# second at each instance were never counted.
MIN_DEMAND = 0.01
# Seconds of the rate that a successor counts as used: what its predecessor had
# not been told yet.
UNREPORTED_TIME = 0.5
SLOT_LENGTH = 0.25  # Seconds; the interval of reports, which have no finer times.


class Use(NamedTuple):
    """What was used of an allowance since a process began.

    ``demand`` is the amount requested a second.
    """

    name: str
    spent: float
    demand: float


class FleetState(NamedTuple):
    """What an aggregator reports to an instance about an organisation.

    It speaks for a ``fraction`` of the allowance, of which ``level`` is left
    in the window, with a ``demand`` a second. ``counted`` is what it has
    counted of the instance's own usage.
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

    def extrapolate(self, now: float) -> Iterator[Use]:
        """Yield the assumed usage if there was no report for a while."""
        if now - self.reported_at < STATE_MAX_AGE:
            return
        seconds, self._extrapolated_at = now - self._extrapolated_at, now
        for use in self.uses.values():
            amount = use.demand * seconds
            self.counted[use.name] = self.counted.get(use.name, 0.0) + amount
            yield use._replace(spent=amount)


class _UsageWindow:
    """What was used within the last seconds, in slots of equal length."""

    __slots__ = ("_slots", "_total", "_window")

    def __init__(self, window: float) -> None:
        self._window = window
        self._slots: deque[list[float]] = deque()  # [begin, amount]
        self._total = 0.0

    def add(self, amount: float, now: float) -> None:
        """Count an amount that was used now."""
        if not self._slots or now - self._slots[-1][0] >= SLOT_LENGTH:
            self._slots.append([now, 0.0])
        self._slots[-1][1] += amount
        self._total += amount

    def fill(self, amount: float, now: float) -> None:
        """Replace everything by an amount that was used evenly over time."""
        count = round(self._window / SLOT_LENGTH)
        begins = [now - SLOT_LENGTH * (count - 1 - slot) for slot in range(count)]
        self._slots = deque([begin, amount / count] for begin in begins)
        self._total = amount

    def measure(self, now: float) -> float:
        """Return the amount, and forget what is older than the window.

        A slot counts until its last use is as old.
        """
        oldest = now - self._window - SLOT_LENGTH
        while self._slots and self._slots[0][0] <= oldest:
            self._total -= self._slots.popleft()[1]
        return self._total


class _TokenBucket:
    """What is left of a burst; it rises at the rate."""

    __slots__ = ("_refilled_at", "value")

    def __init__(self, now: float) -> None:
        self._refilled_at = now
        self.value = 0.0

    def refill(self, rate: float, burst: float, now: float) -> None:
        """Refill up to the burst."""
        self.value = min(burst, self.value + rate * (now - self._refilled_at))
        self._refilled_at = now

    def take(self, amount: float, max_debt: float) -> None:
        """Use an amount; it may leave a debt."""
        self.value = max(-max_debt, self.value - amount)


class _OrganisationUse:
    """What an organisation used, at the members here and elsewhere.

    A process that has just started does not know what was used before: its
    bucket is empty, and the window was full.
    """

    __slots__ = ("assumed", "bucket", "members", "others")

    def __init__(self, window: float, capacity: float, now: float) -> None:
        self.members = _UsageWindow(window)
        self.others = _UsageWindow(window)
        self.assumed = _UsageWindow(window)
        self.assumed.fill(capacity, now)
        self.bucket = _TokenBucket(now)

    def follow(self, used: float, level: float, now: float) -> None:
        """Begin with what another aggregator has counted."""
        self.assumed.fill(used, now)
        self.bucket.value = level


class FleetUse:
    """The usage of all organisations, of members and of other aggregators."""

    def __init__(self, tolerance: AllowanceTolerance) -> None:
        self._tolerance = tolerance
        self._allowances: Mapping[str, Allowance] = {}
        self._members: dict[str, _Reporter] = {}
        self._others: dict[str, _Reporter] = {}
        self._totals: dict[str, float] = {}
        self._uses: dict[str, _OrganisationUse] = {}
        self._instances = 0
        self._is_complete = False

    def set_allowances(self, allowances: Mapping[str, Allowance], now: float) -> None:
        """Replace the allowances; counted usage is kept."""
        self._allowances = allowances
        for known in (self._uses, self._totals):
            for name in set(known) - set(allowances):
                del known[name]
        for name in allowances:
            self._find(name, now)

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
            found = self._spend(use, now)
            if found is not None:
                found.others.add(use.spent, now)
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
        found = self._spend(use, now)
        if found is not None:
            found.members.add(use.spent, now)

    def _spend(self, use: Use, now: float) -> _OrganisationUse | None:
        """Take an amount from the bucket of an organisation with one."""
        found = self._find(use.name, now)
        if found is not None:
            allowance = self._allowances[use.name]
            self._refill(found, allowance, now)
            found.bucket.take(use.spent, MAX_DEBT * allowance.rate)
        return found

    def _refill(
        self, found: _OrganisationUse, allowance: Allowance, now: float
    ) -> None:
        fraction = self._compute_fraction()
        if not fraction:
            # What the time since then is worth shows once others report.
            return
        rate = fraction * allowance.rate * self._tolerance.factor
        burst = fraction * self._tolerance.compute_burst(allowance)
        found.bucket.refill(rate, burst, now)

    def _find(self, name: str, now: float) -> _OrganisationUse | None:
        """Return the use of an organisation with an allowance, or None."""
        allowance = self._allowances.get(name)
        if allowance is None:
            return None
        found = self._uses.get(name)
        if found is None:
            capacity = self._tolerance.compute_capacity(allowance)
            window = self._tolerance.window
            found = self._uses[name] = _OrganisationUse(window, capacity, now)
        return found

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
        for address, member in list(self._members.items()):
            for use in member.extrapolate(now):
                self._count(use, now)
            if now - member.reported_at > self._tolerance.window:
                del self._members[address]

    def follow(self, states: Iterable[FleetState], now: float) -> None:
        """Follow the aggregator's state, to continue from it as its successor.

        An organisation that it does not report is free.
        """
        levels = {state.name: state.level for state in states}
        for name, allowance in self._allowances.items():
            capacity = self._tolerance.compute_capacity(allowance)
            level = levels.get(name, FREE_TIME * allowance.rate)
            level -= UNREPORTED_TIME * allowance.rate
            self._uses.pop(name, None)
            self._find(name, now).follow(max(0.0, capacity - level), level, now)

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
            level = self._measure_level(name, allowance, fraction, now)
            is_free = fraction > 0 and level >= FREE_TIME * allowance.rate * fraction
            is_used = member is not None and name in member.uses
            if is_free and not is_used:
                continue
            demand = demands.get(name, 0.0)
            counted = member.counted.get(name, 0.0) if member else 0.0
            state = FleetState(name, is_free, fraction, demand, level, counted)
            found.append(state)
        return found

    def _measure_level(
        self, name: str, allowance: Allowance, fraction: float, now: float
    ) -> float:
        """Return what is left of an allowance in the window.

        While not all aggregators report, what others use counts against their
        own fraction.
        """
        found = self._find(name, now)
        used = found.members.measure(now)
        elsewhere = found.others.measure(now)
        if self._is_complete:
            used += elsewhere
        capacity = fraction * self._tolerance.compute_capacity(allowance)
        self._refill(found, allowance, now)
        left = capacity - found.assumed.measure(now) - used
        return min(left, found.bucket.value)

    def _compute_fraction(self) -> float:
        """Return the fraction of allowances that this aggregator speaks for.

        If other aggregators do not report, this is its members' fraction of
        the number of instances at the time when all did.
        """
        if self._is_complete:
            return 1.0
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
