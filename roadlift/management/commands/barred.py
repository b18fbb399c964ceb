"""List from log files the calls and loads that are refused."""

from pathlib import Path

from roadlift.explanation.barred import find_barred
from roadlift.management.logfiles import read_logs
from roadlift.management.output import print_json, print_table

TITLES = ("IDENTITY", "ENDS", "FROM", "LAST", "ENDPOINTS", "CALLS CUT", "LET IN")
MOST_NAMED = 3  # Endpoints and calls of one that are named in the table.


def handle(*files: Path, json: bool = False) -> None:
    """List from the logs of instances what is refused for ends of endpoints.

    :param files: Log files of any instances; standard input without one.
    :param json: Print JSON.
    """
    found = find_barred(read_logs(files))
    if json:
        print_json({"barred": [one._asdict() for one in found]})
        return
    print(f"{len(found)} calls or loads were refused for the ends of endpoints.")
    if not found:
        return
    rows = [
        (
            one.identity,
            one.ends,
            f"{one.first:.1f}",
            f"{one.last:.1f}",
            _name(one.endpoints),
            _name(one.requests),
            "yes" if one.is_cleared else "no",
        )
        for one in found
    ]
    print_table(TITLES, rows)


def _name(names: list[str]) -> str:
    rest = len(names) - MOST_NAMED
    text = " ".join(names[:MOST_NAMED]) or "-"
    return f"{text} and {rest} more" if rest > 0 else text
