"""Count the calls to plain services, of this process and of all."""

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

# Calls under way and calls a second below which a service is not told.
LEAST_TOLD = 0.005

LoadsByZone = dict[str, dict[str, ServiceLoad]]


class ZoneLoad(NamedTuple):
    """The load of a service by the instances of a zone, as it is told."""

    service: str
    zone: str
    busy: float
    asked: float
    served: float


class _Teller(NamedTuple):
    loads: list[ZoneLoad]
    heard_at: float


@components.register("serviceloads")
class ServiceLoads:
    """The loads of plain services."""

    name = "serviceloads"
    needs = ()

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._zone = kernel.settings.zone
        self._own: dict[str, LocalLoad] = {}
        self._members: dict[str, _Teller] = {}
        self._others: dict[str, _Teller] = {}
        self.spread = ServiceBalancer(self._zone, random.Random(kernel.started_at_ms))

    def start(self) -> None:
        """Do nothing; calls come later."""

    def close(self) -> None:
        """Do nothing."""

    def find_own(self, service: str) -> LocalLoad:
        """Return the load of a service by this process."""
        load = self._own.get(service)
        if load is None:
            load = self._own[service] = LocalLoad(self._clock.now())
        return load

    # Tellings.

    def list_own(self) -> list[ZoneLoad]:
        """Return what this process tells."""
        now = self._clock.now()
        found = {
            name: {self._zone: own.measure(now)} for name, own in self._own.items()
        }
        return _list_told(found)

    def record_member(self, address: str, loads: Iterable[ZoneLoad]) -> None:
        """Take what an instance told."""
        self._members[address] = _Teller(list(loads), self._clock.now())

    def record_other(self, address: str, loads: Iterable[ZoneLoad]) -> None:
        """Take the sums that another aggregator told."""
        self._others[address] = _Teller(list(loads), self._clock.now())

    def forget_member(self, address: str) -> None:
        """Drop an instance that tells another aggregator from now on."""
        self._members.pop(address, None)

    def list_sums(self) -> list[ZoneLoad]:
        """Return the sums of the members, for other aggregators."""
        found: LoadsByZone = {}
        self._add(self._members, found)
        return _list_told(found)

    def list_all(self) -> list[ZoneLoad]:
        """Return the sums of all instances, for the members."""
        found: LoadsByZone = {}
        self._add(self._members, found)
        self._add(self._others, found)
        return _list_told(found)

    def record_update(self, loads: Iterable[ZoneLoad]) -> None:
        """Take the sums of all instances."""
        found: LoadsByZone = {}
        _sum_up(loads, found)
        self.spread.record_update(found, self._clock.now())

    def _add(self, tellers: dict[str, _Teller], found: LoadsByZone) -> None:
        """Add up what those tell that were heard of late."""
        now = self._clock.now()
        for address, teller in list(tellers.items()):
            if now - teller.heard_at > LOADS_MAX_AGE:
                del tellers[address]
            else:
                _sum_up(teller.loads, found)


def _sum_up(loads: Iterable[ZoneLoad], found: LoadsByZone) -> None:
    for service, zone, *load in loads:
        zones = found.setdefault(service, {})
        zones[zone] = zones.get(zone, NO_LOAD).add(ServiceLoad(*load))


def _list_told(loads: Mapping[str, Mapping[str, ServiceLoad]]) -> list[ZoneLoad]:
    return [
        ZoneLoad(service, zone, *(round(number, 2) for number in load))
        for service, zones in loads.items()
        for zone, load in zones.items()
        if max(load) >= LEAST_TOLD
    ]
