"""Count the calls to plain services, of this process and of all instances."""

import random
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from roadlift.core.kernel import Kernel, components
from roadlift.decisions.balancing import (
    LOADS_MAX_AGE,
    NO_LOAD,
    LocalLoad,
    ServiceBalancer,
    ServiceLoad,
)
from roadlift.decisions.homes import Regions

# Calls running and calls a second below which a service is not reported.
MIN_REPORTED_LOAD = 0.005

LoadsByZone = dict[str, dict[str, ServiceLoad]]


class ZoneLoad(NamedTuple):
    """The load of a service by the instances of a zone, as it is reported."""

    service: str
    zone: str
    busy: float
    asked: float
    served: float


class _Report(NamedTuple):
    loads: list[ZoneLoad]
    received_at: float


@components.register("serviceloads")
class ServiceLoads:
    """The loads of plain services."""

    name = "serviceloads"
    needs = ()

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._zone = kernel.settings.zone
        self._local: dict[str, LocalLoad] = {}
        self._members: dict[str, _Report] = {}
        self._aggregators: dict[str, _Report] = {}
        self.balancer = ServiceBalancer(
            self._zone,
            random.Random(kernel.started_at_ms),
            Regions.parse(kernel.settings.regions),
        )

    def start(self) -> None:
        """Nothing to start; the work is done for each call."""

    def close(self) -> None:
        """Nothing to close."""

    def get_local(self, service: str) -> LocalLoad:
        """Return the load of a service by this process."""
        load = self._local.get(service)
        if load is None:
            load = self._local[service] = LocalLoad(self._clock.now())
        return load

    # Usage reports

    def list_local(self) -> list[ZoneLoad]:
        """Return the loads that this process reports."""
        now = self._clock.now()
        totals = {
            name: {self._zone: load.measure(now)} for name, load in self._local.items()
        }
        return _list_reportable(totals)

    def record_member(self, address: str, loads: Iterable[ZoneLoad]) -> None:
        """Record the report of an instance."""
        self._members[address] = _Report(list(loads), self._clock.now())

    def record_aggregator(self, address: str, loads: Iterable[ZoneLoad]) -> None:
        """Record the sums that another aggregator reported."""
        self._aggregators[address] = _Report(list(loads), self._clock.now())

    def remove_member(self, address: str) -> None:
        """Remove an instance that reports to another aggregator now."""
        self._members.pop(address, None)

    def list_member_totals(self) -> list[ZoneLoad]:
        """Return the sums of the members, for other aggregators."""
        totals: LoadsByZone = {}
        self._add(self._members, totals)
        return _list_reportable(totals)

    def list_totals(self) -> list[ZoneLoad]:
        """Return the sums of all instances, for the members."""
        totals: LoadsByZone = {}
        self._add(self._members, totals)
        self._add(self._aggregators, totals)
        return _list_reportable(totals)

    def apply_totals(self, loads: Iterable[ZoneLoad]) -> None:
        """Apply the sums of all instances."""
        totals: LoadsByZone = {}
        _sum_up(loads, totals)
        self.balancer.record_update(totals, self._clock.now())

    def _add(self, reports: dict[str, _Report], totals: LoadsByZone) -> None:
        """Add up the recent reports, and remove the others."""
        now = self._clock.now()
        for address, report in list(reports.items()):
            if now - report.received_at > LOADS_MAX_AGE:
                del reports[address]
            else:
                _sum_up(report.loads, totals)


def _sum_up(loads: Iterable[ZoneLoad], totals: LoadsByZone) -> None:
    for service, zone, *load in loads:
        zones = totals.setdefault(service, {})
        zones[zone] = zones.get(zone, NO_LOAD).add(ServiceLoad(*load))


def _list_reportable(loads: Mapping[str, Mapping[str, ServiceLoad]]) -> list[ZoneLoad]:
    return [
        ZoneLoad(service, zone, *(round(value, 2) for value in load))
        for service, zones in loads.items()
        for zone, load in zones.items()
        if max(load) >= MIN_REPORTED_LOAD
    ]
