"""Show the head and where it is in force."""

from roadlift.bundles.roll import HEAD_KEY, HeadRow
from roadlift.management.output import print_json, print_table
from roadlift.management.progress import measure_zones
from roadlift.management.sources import DEFAULT_ENTRY, DEFAULT_PLATFORM, open_store


def handle(
    *,
    entry: str = DEFAULT_ENTRY,
    platform: str = DEFAULT_PLATFORM,
    json: bool = False,
) -> None:
    """Show the newest bundle and in how many instances it is in force.

    :param entry: HTTP address of any instance.
    :param platform: IP number and port of the platform.
    :param json: Print JSON.
    """
    head = HeadRow.decode(open_store(platform).read_row(HEAD_KEY))
    zones = measure_zones(entry, head.number)
    if json:
        shown = {name: zone._asdict() for name, zone in zones.items()}
        print_json({"number": head.number, "digest": head.digest, "zones": shown})
        return
    print(f"Bundle {head.number}, {head.digest}")
    rows = [(name, zone.done, zone.all) for name, zone in zones.items()]
    print_table(("ZONE", "IN FORCE", "INSTANCES"), rows)
