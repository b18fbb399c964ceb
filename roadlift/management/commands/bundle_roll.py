"""Put a signed bundle in force."""

import time

from roadlift.bundles.roll import roll
from roadlift.core.errors import RoadliftError
from roadlift.management.output import print_json
from roadlift.management.progress import measure_zones
from roadlift.management.sources import DEFAULT_ENTRY, DEFAULT_PLATFORM, open_store

POLL = 0.2  # Seconds between two looks.
EXIT_LATE = 3


def handle(
    digest: str,
    *,
    wait: bool = False,
    limit: float = 30.0,
    entry: str = DEFAULT_ENTRY,
    platform: str = DEFAULT_PLATFORM,
    json: bool = False,
) -> None:
    """Put a signed bundle in force, or get a conflict if the head moved.

    :param digest: The digest that ``propose`` printed.
    :param wait: Wait until it is in force in each availability zone.
    :param limit: Seconds to wait at most.
    :param entry: HTTP address of any instance, to wait by.
    :param platform: IP number and port of the platform.
    :param json: Print JSON.
    """
    began = time.monotonic()
    head = roll(open_store(platform), digest)
    if not json:
        print(f"Bundle {head.number} is the head.")
    in_force = not wait or _wait(head.number, entry, limit, json)
    if json:
        seconds = round(time.monotonic() - began, 3)
        print_json({**head._asdict(), "in_force": in_force, "seconds": seconds})
    if not in_force:
        raise SystemExit(EXIT_LATE)


def _wait(number: int, entry: str, limit: float, quiet: bool) -> bool:
    end = time.monotonic() + limit
    shown = ""
    while time.monotonic() < end:
        try:
            zones = measure_zones(entry, number)
        except RoadliftError as error:
            zones, text = {}, str(error)
        else:
            text = ", ".join(f"{name} {z.done}/{z.all}" for name, z in zones.items())
        if text != shown and not quiet:
            print(f"  in force: {text}", flush=True)
            shown = text
        if zones and all(zone.done == zone.all for zone in zones.values()):
            return True
        time.sleep(POLL)
    return False
