"""Keep this process's calls within the allowances of organisations.

``sharing`` exchanges the usage reports between instances; the shares are
computed in ``roadlift/organisations``.
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

# Organisations whose share of the allowance is exported as a metric, those
# with the highest demand first: more series would cost more than they are
# worth.
MAX_METRIC_ORGANISATIONS = 32


class CurrentUse(NamedTuple):
    """An organisation's use of its allowance, as known to this process.

    ``share`` is this instance's share of the allowance, ``used`` the amount
    used since the start, ``demand`` the amount requested a second, and
    ``update_age`` the seconds since the last update.
    """

    share: float
    used: float
    demand: float
    update_age: float


@components.register("allowances")
class Allowances:
    """The use of organisations' allowances by this process's calls."""

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
        kernel.get(Follower).on_configuration.append(self._apply_configuration)

    def start(self) -> None:
        """Nothing to start; the work is done for each call."""

    def close(self) -> None:
        """Nothing to close."""

    # Calls

    def acquire(self, organisation: Organisation, amount: float) -> float:
        """Consume an amount and return 0, or return the seconds to wait."""
        meter = self._find_meter(organisation.name)
        if meter is None:
            return 0.0
        now = self._kernel.clock.now()
        self._sharing.update(organisation.name, meter, now)
        return meter.take(amount, now)

    def charge(self, organisation: Organisation, amount: float) -> None:
        """Charge an amount without a check; a negative amount is a refund."""
        meter = self._find_meter(organisation.name)
        if meter is not None:
            meter.spend(amount)

    def describe(self, organisation: Organisation) -> CurrentUse | None:
        """Return an organisation's current use of its allowance, or None."""
        meter = self._meters.get(organisation.name)
        if meter is None:
            return None
        now = self._kernel.clock.now()
        return CurrentUse(
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

    def _apply_configuration(self, configuration: Configuration) -> None:
        """Apply the allowances of a configuration."""
        self._allowances = {
            organisation.name: organisation.allowance
            for organisation in configuration.organisations or ()
            if organisation.allowance is not None
        }
        self.fleet.set_allowances(self._allowances)
        for name, meter in list(self._meters.items()):
            if name in self._allowances:
                meter.allowance = self._allowances[name]
            else:
                del self._meters[name]

    # Usage reports

    def list_local(self) -> list[Use]:
        """Return the use that this process reports."""
        now = self._kernel.clock.now()
        self._update_metrics(now)
        uses = []
        for name, meter in self._meters.items():
            demand = meter.demand.measure(now)
            if demand >= MIN_DEMAND:
                uses.append(Use(name, round(meter.spent, 2), round(demand, 2)))
        return uses

    def apply_states(self, states: list[FleetState], asked_at: float) -> None:
        """Apply the aggregator's answer to the report sent at ``asked_at``."""
        self._sharing.record_update(states, asked_at)

    def follow_states(self, states: list[FleetState]) -> None:
        """Follow another aggregator, to continue from there if it ends."""
        if all(state.fraction > 0.0 for state in states):
            self.fleet.follow(states, self._kernel.clock.now())

    def _update_metrics(self, now: float) -> None:
        demand = lambda item: item[1].demand.measure(now)
        largest = sorted(self._meters.items(), key=demand, reverse=True)
        for name, meter in largest[:MAX_METRIC_ORGANISATIONS]:
            share = meter.share.fraction
            self._measures.set("roadlift_allowance_part", share, name)
