"""Keep this process's calls within the allowances of organisations.

Each instance tells its aggregator four times a second what it used, and is
told what is left; aggregators tell each other. What is made of it is decided
in ``roadlift/organisations``.
"""

from collections.abc import Mapping
from typing import NamedTuple

from roadlift.core.kernel import Kernel, parts
from roadlift.core.loop import Timer
from roadlift.daemon.transport import Transport
from roadlift.instance.follower import Follower
from roadlift.instance.leases import Leases
from roadlift.instance.measures import Measures
from roadlift.instance.subscription import Subscription
from roadlift.organisations.fleet import LEAST_DEMAND, FleetState, FleetUse, Use
from roadlift.organisations.shares import Limits, Meter
from roadlift.organisations.sharing import DemandSharing
from roadlift.serving.messages import (
    OrganisationStates,
    OrganisationTotals,
    OrganisationUse,
)
from roadlift.serving.routes import Allowance, Configuration, Organisation

TELL_PERIOD = 0.25  # Seconds between tellings of what was used.
# Organisations of which the share of the allowance is a metric, those with
# the largest demand: more series would cost more than they tell.
MOST_MEASURED = 32


class UseNow(NamedTuple):
    """What calls of an organisation are judged by here.

    ``part`` is of its allowance, ``used`` since the start, ``demand`` is
    asked for, a second, and ``news_age`` is in seconds.
    """

    part: float
    used: float
    demand: float
    news_age: float


@parts.register("allowances")
class Allowances:
    """What this process's calls use of organisations' allowances."""

    name = "allowances"
    needs = ("follower", "leases", "measures", "subscription", "transport")

    def __init__(self, kernel: Kernel) -> None:
        settings = kernel.settings
        self._kernel = kernel
        self._transport = kernel.get(Transport)
        self._leases = kernel.get(Leases)
        self._measures = kernel.get(Measures)
        self._subscription = kernel.get(Subscription)
        self._limits = Limits(
            settings.allowance_over,
            settings.allowance_slack,
            settings.allowance_window,
        )
        self._allowances: Mapping[str, Allowance] = {}
        self._meters: dict[str, Meter] = {}
        self._sharing = DemandSharing()
        self._fleet = FleetUse(self._limits)
        self._told = ""
        self._timer: Timer | None = None
        kernel.get(Follower).on_configuration.append(self._take_configuration)
        self._transport.subscribe((OrganisationUse,), self._take_use)
        self._transport.subscribe((OrganisationTotals,), self._take_totals)
        self._transport.subscribe((OrganisationStates,), self._take_states)

    def start(self) -> None:
        """Begin to tell."""
        self._timer = self._kernel.loop.call_every(TELL_PERIOD, self._tell)

    def close(self) -> None:
        """Tell no more."""
        self._timer.close()

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
            meter.share.part,
            meter.spent,
            meter.demand.measure(now),
            now - self._sharing.heard_at,
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
        self._fleet.set_allowances(self._allowances)
        for name, meter in list(self._meters.items()):
            if name in self._allowances:
                meter.allowance = self._allowances[name]
            else:
                del self._meters[name]

    # What is told.

    def _tell(self) -> None:
        """Tell what was used, to the aggregator or as one."""
        if not self._allowances:
            return
        now = self._kernel.clock.now()
        self._measure(now)
        if not self._leases.list_held():
            self._tell_aggregator(now)
            return
        address = self._kernel.settings.peer
        self._fleet.note_member(address, self._kernel.stamp, self._list_uses(now), now)
        self._tell_others(now)
        self._sharing.note_news(self._fleet.describe(address, now), now)

    def _tell_aggregator(self, now: float) -> None:
        address = self._subscription.source
        if address != self._told:
            self._leave(self._told)
            self._told = address
        if address:
            uses = [list(use) for use in self._list_uses(now)]
            self._send_use(address, uses, now, False)

    def _leave(self, address: str) -> None:
        if address:
            self._send_use(address, [], 0.0, True)

    def _send_use(self, address: str, uses: list, now: float, is_leaving: bool) -> None:
        peer, process = self._kernel.settings.peer, self._kernel.stamp
        message = OrganisationUse(peer, process, uses, now, is_leaving)
        self._transport.send(address, message)

    def _list_uses(self, now: float) -> list[Use]:
        found = []
        for name, meter in self._meters.items():
            demand = meter.demand.measure(now)
            if demand >= LEAST_DEMAND:
                found.append(Use(name, round(meter.spent), round(demand)))
        return found

    def _tell_others(self, now: float) -> None:
        """Tell other aggregators, and see which of them are heard."""
        own = self._kernel.settings.peer
        owners = {self._leases.find_owner(zone) for zone in self._leases.list_zones()}
        others = {owner or "" for owner in owners} - {own}
        self._fleet.keep_others(others, now)
        totals = OrganisationTotals(
            own,
            self._kernel.stamp,
            self._fleet.count_members(),
            [list(use) for use in self._fleet.list_totals()],
        )
        self._transport.send_all(others - {""}, totals)

    def _measure(self, now: float) -> None:
        demand = lambda item: item[1].demand.measure(now)
        largest = sorted(self._meters.items(), key=demand, reverse=True)
        for name, meter in largest[:MOST_MEASURED]:
            part = meter.share.part
            self._measures.set("roadlift_allowance_part", part, name)

    # What is heard.

    def _take_use(self, sender: str, message: OrganisationUse) -> None:
        if message.is_leaving:
            self._fleet.forget_member(message.address)
            return
        if not self._leases.list_held():
            return
        now = self._kernel.clock.now()
        uses = [Use(*fields) for fields in message.uses]
        self._fleet.note_member(message.address, message.process, uses, now)
        states = self._fleet.describe(message.address, now)
        answer = OrganisationStates(
            self._kernel.settings.peer, [list(one) for one in states], message.at
        )
        self._transport.send(message.address, answer)

    def _take_totals(self, sender: str, message: OrganisationTotals) -> None:
        now = self._kernel.clock.now()
        uses = [Use(*fields) for fields in message.uses]
        self._fleet.note_other(
            message.address, message.process, message.members, uses, now
        )

    def _take_states(self, sender: str, message: OrganisationStates) -> None:
        if message.address == self._subscription.source:
            states = [FleetState(*fields) for fields in message.states]
            self._sharing.note_news(states, message.asked_at)
