"""Measure how far a bundle has spread."""

from typing import NamedTuple

from roadlift.management.sources import ask_all


class ZoneProgress(NamedTuple):
    """Instances of a zone in all, and with the bundle in force."""

    done: int
    all: int


def measure_zones(entry: str, number: int) -> dict[str, ZoneProgress]:
    """Return the progress of a bundle's number, by availability zone."""
    zones: dict[str, ZoneProgress] = {}
    for page in ask_all(entry, "/status").values():
        if page is None:
            continue
        done, count = zones.get(page["zone"], ZoneProgress(0, 0))
        is_done = page["bundle"]["number"] >= number
        zones[page["zone"]] = ZoneProgress(done + is_done, count + 1)
    return dict(sorted(zones.items()))
