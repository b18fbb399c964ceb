"""Show the availability zones, as the platform's store has them."""

from collections import Counter
from typing import NamedTuple

from roadlift.core.errors import InvalidConfiguration
from roadlift.management.output import print_json, print_table
from roadlift.management.rows import BlockingRows
from roadlift.management.sources import DEFAULT_PLATFORM
from roadlift.serving.directory import Endpoint
from roadlift.serving.interfaces import Rows, StateFormat

TITLES = ("ZONE", "STATE", "ENDPOINTS", "DRAINING", "COLD")


class ZoneState(NamedTuple):
    """A zone: whether it is evacuated, and its endpoints by state."""

    zone: str
    is_evacuated: bool
    endpoints: int
    draining: int
    cold: int


def handle(*, platform: str = DEFAULT_PLATFORM, json: bool = False) -> None:
    """Show which zones are evacuated, and which endpoints drain or are cold.

    With the environment's settings of an instance of the interface routes.

    :param platform: Address of the platform's table service.
    :param json: Print JSON.
    """
    rows = BlockingRows(platform)
    try:
        state = rows.state
        operator = rows.read(state.operator_table)
        directory = rows.read(state.directory_table)
    finally:
        rows.close()
    zones = list_zones(state, operator, directory)
    if json:
        print_json({"zones": [one._asdict() for one in zones]})
        return
    print_table(
        TITLES,
        [
            (
                one.zone,
                "evacuated" if one.is_evacuated else "in service",
                one.endpoints,
                one.draining,
                one.cold,
            )
            for one in zones
        ],
    )


def list_zones(state: StateFormat, operator: Rows, directory: Rows) -> list[ZoneState]:
    """Return the zones of the operator's rows and of the endpoints."""
    evacuated = _list_evacuated(state, operator)
    endpoints = _list_endpoints(state, directory)
    total = Counter(one.zone for one in endpoints)
    draining = Counter(one.zone for one in endpoints if one.is_draining)
    cold = Counter(one.zone for one in endpoints if one.cold_time > 0.0)
    return [
        ZoneState(zone, zone in evacuated, total[zone], draining[zone], cold[zone])
        for zone in sorted(evacuated | set(total))
    ]


def _list_evacuated(state: StateFormat, operator: Rows) -> set[str]:
    zones = set()
    for row in operator.rows:
        try:
            evacuation = state.read_evacuation(row)
        except InvalidConfiguration as error:
            print(f"Ignored an invalid row: {error}.")
            continue
        if evacuation is not None and evacuation.is_active:
            zones.add(evacuation.zone)
    return zones


def _list_endpoints(state: StateFormat, directory: Rows) -> list[Endpoint]:
    found = []
    for row in directory.rows:
        try:
            found.append(state.read_endpoint(row))
        except InvalidConfiguration as error:
            print(f"Ignored an invalid entry: {error}.")
    return found
