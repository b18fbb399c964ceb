"""List from log files the adapters that were never served."""

from collections import Counter
from pathlib import Path

from roadlift.explanation.adapters import (
    LEAST_CALLS,
    LEAST_SPAN,
    Unserved,
    find_unserved,
)
from roadlift.management.logfiles import read_logs
from roadlift.management.output import print_json


def handle(
    *files: Path,
    calls: int = LEAST_CALLS,
    span: float = LEAST_SPAN,
    json: bool = False,
) -> None:
    """List from the logs of instances the adapters that were never served.

    :param files: Log files of any instances; standard input without one.
    :param calls: Calls of an adapter below which it is passed over.
    :param span: Seconds from the first to the last of them, likewise.
    :param json: Print JSON.
    """
    census = find_unserved(read_logs(files), calls, span)
    if json:
        unserved = [one._asdict() for one in census.unserved]
        print_json({"asked": census.asked, "unserved": unserved})
        return
    print(f"{len(census.unserved)} of {census.asked} adapters were never served.")
    for one in census.unserved:
        _print(one)


def _print(one: Unserved) -> None:
    print(f"{one.model}: {one.calls} calls, {one.first:.1f} to {one.last:.1f} s")
    for ending, count in one.endings.most_common():
        print(f"  {count} {ending}")
    if one.denials:
        print(f"  loads denied: {_list(one.denials)}; at {_list(one.endpoints)}")


def _list(counts: Counter) -> str:
    return ", ".join(f"{count} {name}" for name, count in counts.most_common())
