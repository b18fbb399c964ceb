"""Tell what this process uses of what all instances share, and hear the rest.

Allowances of organisations and the slots of plain services are shared by all
instances, and no instance has a count of its own. Each tells its aggregator
four times a second what it uses and is told how all stands; aggregators tell
each other their sums. Between zones go sums alone.
"""

from typing import NamedTuple

from roadlift.core.codec import read_fields
from roadlift.core.kernel import Kernel, components
from roadlift.core.loop import Timer
from roadlift.daemon.transport import Transport
from roadlift.instance.allowances import Allowances
from roadlift.instance.leases import Leases
from roadlift.instance.limits import EndpointLimits, ReportedLimit
from roadlift.instance.permits import Permits
from roadlift.instance.serviceloads import ServiceLoads, ZoneLoad
from roadlift.instance.subscription import Subscription
from roadlift.organisations.fleet import FleetState, Use
from roadlift.serving.messages import (
    InstanceTotals,
    InstanceUse,
    LimitNews,
    SharedStates,
)

TELL_PERIOD = 0.25  # Seconds between tellings.
# Seconds for which limits that another aggregator told stand without news.
LIMITS_LIFE = 1.2


class _ToldLimits(NamedTuple):
    """The limits that an aggregator told, and when."""

    limits: list[ReportedLimit]
    heard_at: float


@components.register("sharing")
class SharedUse:
    """The tellings of what is shared, as an instance or as an aggregator."""

    name = "sharing"
    needs = (
        "allowances",
        "leases",
        EndpointLimits.name,
        Permits.name,
        "serviceloads",
        "subscription",
        "transport",
    )

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._peer = kernel.settings.peer
        self._transport = kernel.get(Transport)
        self._leases = kernel.get(Leases)
        self._subscription = kernel.get(Subscription)
        self._allowances = kernel.get(Allowances)
        self._services = kernel.get(ServiceLoads)
        self._limits = kernel.get(EndpointLimits)
        self._permits = kernel.get(Permits)
        self._others: dict[str, _ToldLimits] = {}
        self._told = ""
        self._timer: Timer | None = None
        self._transport.subscribe((InstanceUse,), self._take_use)
        self._transport.subscribe((InstanceTotals,), self._take_totals)
        self._transport.subscribe((SharedStates,), self._take_states)
        self._transport.subscribe((LimitNews,), self._take_limits)

    def start(self) -> None:
        """Begin to tell."""
        self._timer = self._kernel.loop.call_every(TELL_PERIOD, self._tell)

    def close(self) -> None:
        """Tell no more."""
        self._timer.close()

    # What is told.

    def _tell(self) -> None:
        """Tell what is used, to the aggregator or as one."""
        now = self._kernel.clock.now()
        if not self._leases.list_held():
            self._tell_aggregator(now)
            return
        uses = self._allowances.list_own()
        self._allowances.fleet.record_member(
            self._peer, self._kernel.started_at_ms, uses, now
        )
        self._services.record_member(self._peer, self._services.list_own())
        self._tell_others(now)
        states = self._allowances.fleet.describe(self._peer, now)
        self._allowances.record_update(states, now)
        self._services.record_update(self._services.list_all())
        self._limits.record_update(self._list_limits(now), now)

    def _tell_aggregator(self, now: float) -> None:
        address = self._subscription.source
        if address != self._told:
            if self._told:
                self._send(self._told, [], [], 0.0, True)
            self._told = address
        if address:
            uses = [list(use) for use in self._allowances.list_own()]
            services = [list(load) for load in self._services.list_own()]
            self._send(address, uses, services, now, False)

    def _send(
        self, address: str, uses: list, services: list, at: float, is_leaving: bool
    ) -> None:
        process = self._kernel.started_at_ms
        message = InstanceUse(self._peer, process, uses, services, at, is_leaving)
        self._transport.send(address, message)

    def _tell_others(self, now: float) -> None:
        """Tell other aggregators, and see which of them are heard."""
        owners = {self._leases.find_owner(zone) for zone in self._leases.list_zones()}
        others = {owner or "" for owner in owners} - {self._peer}
        fleet = self._allowances.fleet
        fleet.update_others(others, now)
        totals = InstanceTotals(
            self._peer,
            self._kernel.started_at_ms,
            fleet.count_members(),
            [list(use) for use in fleet.list_totals()],
            [list(load) for load in self._services.list_sums()],
        )
        self._transport.send_all(others - {""}, totals)
        limits = [list(limit) for limit in self._permits.list_limits()]
        if limits:
            news = LimitNews(self._peer, True, limits, 0.0)
            self._transport.send_all(others - {""}, news)

    def _list_limits(self, now: float) -> list[ReportedLimit]:
        """Return the limits of all zones' endpoints."""
        found = self._permits.list_limits()
        for address, told in list(self._others.items()):
            if now - told.heard_at > LIMITS_LIFE:
                del self._others[address]
                continue
            age = now - told.heard_at
            found += [one._replace(age=round(one.age + age, 3)) for one in told.limits]
        return found

    # What is heard.

    def _take_use(self, sender: str, message: InstanceUse) -> None:
        address, fleet = message.address, self._allowances.fleet
        if message.is_leaving:
            fleet.forget_member(address)
            self._services.forget_member(address)
            return
        if not self._leases.list_held():
            return
        now = self._kernel.clock.now()
        uses = [read_fields(Use, fields) for fields in message.organisations]
        fleet.record_member(address, message.process, uses, now)
        self._services.record_member(address, _read_loads(message.services))
        states = [list(one) for one in fleet.describe(address, now)]
        services = [list(load) for load in self._services.list_all()]
        answer = SharedStates(self._peer, states, services, message.at)
        self._transport.send(address, answer)
        limits = [list(limit) for limit in self._list_limits(now)]
        if limits:
            news = LimitNews(self._peer, False, limits, message.at)
            self._transport.send(address, news)

    def _take_totals(self, sender: str, message: InstanceTotals) -> None:
        now = self._kernel.clock.now()
        uses = [read_fields(Use, fields) for fields in message.organisations]
        self._allowances.fleet.record_other(
            message.address, message.process, message.members, uses, now
        )
        self._services.record_other(message.address, _read_loads(message.services))

    def _take_states(self, sender: str, message: SharedStates) -> None:
        if message.address != self._subscription.source:
            return
        states = [read_fields(FleetState, one) for one in message.organisations]
        self._allowances.record_update(states, message.asked_at)
        self._services.record_update(_read_loads(message.services))

    def _take_limits(self, sender: str, message: LimitNews) -> None:
        limits = [read_fields(ReportedLimit, one) for one in message.limits]
        if message.is_own:
            now = self._kernel.clock.now()
            self._others[message.address] = _ToldLimits(limits, now)
        elif message.address == self._subscription.source:
            self._limits.record_update(limits, message.asked_at)


def _read_loads(fields: list) -> list[ZoneLoad]:
    return [read_fields(ZoneLoad, one) for one in fields]
