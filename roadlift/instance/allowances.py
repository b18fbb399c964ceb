"""Keep this process's calls within the allowances of organisations.

What is told of them goes with ``sharing``; what is made of it is decided in
``roadlift/organisations``.
"""

from collections.abc import Mapping
from typing import NamedTuple

from roadlift.core.kernel import Kernel, components
from roadlift.instance.follower import Follower
from roadlift.instance.metrics import InstanceMetrics
from roadlift.organisations.fleet import MIN_DEMAND, FleetState, FleetUse, Use
from roadlift.organisations.shares import AllowanceTolerance, Meter
from roadlift.organisations.sharing import DemandSharing
from roadlift.serving.routes import Allowance, Configuration, Organisation

# Organisations of which the share of the allowance is a metric, those with
# the largest demand: more series would cost more than they tell.
MOST_MEASURED = 32


class UseNow(NamedTuple):
    """What calls of an organisation are judged by here.

    ``fraction`` is of its allowance, ``used`` since the start, ``demand`` is
    asked for, a second, and ``news_age`` is in seconds.
    """

    fraction: float
    used: float
    demand: float
    news_age: float


@components.register("allowances")
class Allowances:
    """What this process's calls use of organisations' allowances."""

    name = "allowances"
    needs = ("follower", "measures")

    def __init__(self, kernel: Kernel) -> None:
        settings = kernel.settings
        self._kernel = kernel
        self._measures = kernel.get(InstanceMetrics)
        self._limits = AllowanceTolerance(
            settings.allowance_over,
            settings.allowance_slack,
            settings.allowance_window,
        )
        self._allowances: Mapping[str, Allowance] = {}
        self._meters: dict[str, Meter] = {}
        self._sharing = DemandSharing()
        self.fleet = FleetUse(self._limits)
        kernel.get(Follower).on_configuration.append(self._take_configuration)

    def start(self) -> None:
        """Do nothing; calls come later."""

    def close(self) -> None:
        """Do nothing."""

    # Calls.

    def take(self, organisation: Organisation, amount: float) -> float:
        """Take an amount and return 0, or the seconds until there is room."""
        meter = self._find_meter(organisation.name)
        if meter is None:
            return 0.0
        now = self._kernel.clock.now()
        self._sharing.update(organisation.name, meter, now)
        return meter.take(amount, now)

    def spend(self, organisation: Organisation, amount: float) -> None:
        """Count what is used in any case, or, below 0, was not after all."""
        meter = self._find_meter(organisation.name)
        if meter is not None:
            meter.spend(amount)

    def describe(self, organisation: Organisation) -> UseNow | None:
        """Return what calls of an organisation are judged by."""
        meter = self._meters.get(organisation.name)
        if meter is None:
            return None
        now = self._kernel.clock.now()
        return UseNow(
            meter.share.fraction,
            meter.spent,
            meter.demand.measure(now),
            now - self._sharing.known_at,
        )

    def _find_meter(self, name: str) -> Meter | None:
        allowance = self._allowances.get(name)
        if allowance is None:
            return None
        meter = self._meters.get(name)
        if meter is None:
            now = self._kernel.clock.now()
            meter = self._meters[name] = Meter(allowance, self._limits, now)
        return meter

    def _take_configuration(self, configuration: Configuration) -> None:
        """Go by the allowances of a configuration."""
        self._allowances = {
            one.name: one.allowance
            for one in configuration.organisations or ()
            if one.allowance is not None
        }
        self.fleet.set_allowances(self._allowances)
        for name, meter in list(self._meters.items()):
            if name in self._allowances:
                meter.allowance = self._allowances[name]
            else:
                del self._meters[name]

    # Tellings.

    def list_own(self) -> list[Use]:
        """Return what this process tells."""
        now = self._kernel.clock.now()
        self._measure(now)
        found = []
        for name, meter in self._meters.items():
            demand = meter.demand.measure(now)
            if demand >= MIN_DEMAND:
                found.append(Use(name, round(meter.spent, 2), round(demand, 2)))
        return found

    def record_update(self, states: list[FleetState], asked_at: float) -> None:
        """Take what an aggregator answered to what was told at a time."""
        self._sharing.record_update(states, asked_at)

    def _measure(self, now: float) -> None:
        demand = lambda item: item[1].demand.measure(now)
        largest = sorted(self._meters.items(), key=demand, reverse=True)
        for name, meter in largest[:MOST_MEASURED]:
            part = meter.share.fraction
            self._measures.set("roadlift_allowance_part", part, name)
