"""Exchange the use of resources that all instances share.

Allowances of organisations and the slots of plain services are shared by all
instances, and no instance can count their use alone. Four times a second each
instance reports its use to its aggregator and receives the totals; aggregators
send their sums to each other. Between zones only sums are sent.
"""

from typing import NamedTuple

from roadlift.core.codec import read_fields
from roadlift.core.kernel import Kernel, components
from roadlift.core.loop import Timer
from roadlift.daemon.transport import Transport
from roadlift.instance.allowances import Allowances
from roadlift.instance.brittleness import BrittleEndpoints, Brittleness
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

USAGE_REPORT_INTERVAL = 0.25  # Seconds between usage reports.
# Seconds for which limits from another aggregator are used without an update.
LIMITS_TTL = 1.2


class _ReceivedLimits(NamedTuple):
    """The rate limits that another aggregator sent, and when."""

    limits: list[ReportedLimit]
    received_at: float


@components.register("sharing")
class SharedUse:
    """The usage reports of an instance, and of an aggregator if it is one."""

    name = "sharing"
    needs = (
        "allowances",
        BrittleEndpoints.name,
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
        self._brittle = kernel.get(BrittleEndpoints)
        self._aggregator_limits: dict[str, _ReceivedLimits] = {}
        self._last_source = ""
        self._timer: Timer | None = None
        self._transport.subscribe((InstanceUse,), self._handle_usage)
        self._transport.subscribe((InstanceTotals,), self._handle_totals)
        self._transport.subscribe((SharedStates,), self._handle_states)
        self._transport.subscribe((LimitNews,), self._handle_limits)

    def start(self) -> None:
        """Start to send reports."""
        self._timer = self._kernel.loop.call_every(
            USAGE_REPORT_INTERVAL, self._send_reports
        )

    def close(self) -> None:
        """Stop sending reports."""
        self._timer.close()

    # Sent messages

    def _send_reports(self) -> None:
        """Report the use, to the aggregator or as one."""
        now = self._kernel.clock.now()
        if not self._leases.list_held():
            self._report_to_aggregator(now)
            return
        uses = self._allowances.list_local()
        self._allowances.fleet.record_member(
            self._peer, self._kernel.started_at_ms, uses, now
        )
        self._services.record_member(self._peer, self._services.list_local())
        self._send_totals(now)
        states = self._allowances.fleet.describe(self._peer, now)
        self._allowances.apply_states(states, now)
        self._services.apply_totals(self._services.list_totals())
        self._limits.record_update(self._list_limits(now), now)

    def _report_to_aggregator(self, now: float) -> None:
        address = self._subscription.source
        if address != self._last_source:
            if self._last_source:
                self._send_usage(self._last_source, [], [], 0.0, True)
            self._last_source = address
        if address:
            uses = [list(use) for use in self._allowances.list_local()]
            services = [list(load) for load in self._services.list_local()]
            self._send_usage(address, uses, services, now, False)

    def _send_usage(
        self, address: str, uses: list, services: list, at: float, is_leaving: bool
    ) -> None:
        process = self._kernel.started_at_ms
        message = InstanceUse(self._peer, process, uses, services, at, is_leaving)
        self._transport.send(address, message)

    def _send_totals(self, now: float) -> None:
        """Send the sums to the other aggregators.

        The use of all instances is known while all of them are received.
        """
        owners = {self._leases.find_owner(zone) for zone in self._leases.list_zones()}
        aggregators = {owner or "" for owner in owners} - {self._peer}
        fleet = self._allowances.fleet
        fleet.update_others(aggregators, now)
        totals = InstanceTotals(
            self._peer,
            self._kernel.started_at_ms,
            fleet.count_members(),
            [list(use) for use in fleet.list_totals()],
            [list(load) for load in self._services.list_member_totals()],
        )
        self._transport.send_all(aggregators - {""}, totals)
        limits = [list(limit) for limit in self._permits.list_limits()]
        brittle = self._list_brittle()
        if limits or brittle:
            update = LimitNews(self._peer, True, limits, 0.0, brittle)
            self._transport.send_all(aggregators - {""}, update)

    def _list_brittle(self) -> list[list]:
        """Return the fields of what brittle endpoints announced."""
        return [list(one) for one in self._brittle.list_services()]

    def _list_limits(self, now: float) -> list[ReportedLimit]:
        """Return the rate limits of all zones' endpoints."""
        limits = self._permits.list_limits()
        for address, received in list(self._aggregator_limits.items()):
            if now - received.received_at > LIMITS_TTL:
                del self._aggregator_limits[address]
                continue
            age = now - received.received_at
            limits += [
                limit._replace(age=round(limit.age + age, 3))
                for limit in received.limits
            ]
        return limits

    # Received messages

    def _handle_usage(self, sender: str, message: InstanceUse) -> None:
        address, fleet = message.address, self._allowances.fleet
        if message.is_leaving:
            fleet.forget_member(address)
            self._services.remove_member(address)
            return
        if not self._leases.list_held():
            return
        now = self._kernel.clock.now()
        uses = [read_fields(Use, fields) for fields in message.organisations]
        fleet.record_member(address, message.process, uses, now)
        self._services.record_member(address, _read_loads(message.services))
        states = [list(one) for one in fleet.describe(address, now)]
        services = [list(load) for load in self._services.list_totals()]
        answer = SharedStates(self._peer, states, services, message.at)
        self._transport.send(address, answer)
        limits = [list(limit) for limit in self._list_limits(now)]
        brittle = self._list_brittle()
        if limits or brittle:
            update = LimitNews(self._peer, False, limits, message.at, brittle)
            self._transport.send(address, update)

    def _handle_totals(self, sender: str, message: InstanceTotals) -> None:
        now = self._kernel.clock.now()
        uses = [read_fields(Use, fields) for fields in message.organisations]
        self._allowances.fleet.record_other(
            message.address, message.process, message.members, uses, now
        )
        self._services.record_aggregator(message.address, _read_loads(message.services))

    def _handle_states(self, sender: str, message: SharedStates) -> None:
        if message.address != self._subscription.source:
            return
        states = [read_fields(FleetState, one) for one in message.organisations]
        self._allowances.apply_states(states, message.asked_at)
        self._allowances.follow_states(states)
        self._services.apply_totals(_read_loads(message.services))

    def _handle_limits(self, sender: str, message: LimitNews) -> None:
        limits = [read_fields(ReportedLimit, one) for one in message.limits]
        brittle = [read_fields(Brittleness, one) for one in message.brittle]
        self._brittle.record_services(brittle)
        if message.is_own:
            now = self._kernel.clock.now()
            self._aggregator_limits[message.address] = _ReceivedLimits(limits, now)
        elif message.address == self._subscription.source:
            self._limits.record_update(limits, message.asked_at)


def _read_loads(fields: list) -> list[ZoneLoad]:
    return [read_fields(ZoneLoad, one) for one in fields]
