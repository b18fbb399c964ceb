"""Run a case within its time, and turn its outcome into an exit code."""

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

HELD = 0
BROKEN = 1
NOT_RUN = 2
TIME_LIMIT_S = 110.0  # Below the 120 s that a script may take.


class Record:
    """The record of a run: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._lines: list[str] = []

    def add(self, line: str) -> None:
        """Add a line."""
        self._lines.append(line)

    def write(self) -> None:
        """Write the lines to the file."""
        self._path.write_text("\n".join([*self._lines, ""]))


def has_trouble() -> bool:
    """Return whether the disruption is to be made."""
    return os.environ.get("TROUBLE") != "0"


def run_case(script: str, play: Callable[[Record], Awaitable[list[str]]]) -> None:
    """Play a case and exit; it returns the breaches of the rule."""
    # A script that is ended early ends its processes as well.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    record = Record(Path(script).resolve().parent / "record.txt")
    record.add(f"trouble: {'yes' if has_trouble() else 'no'}")
    try:
        breaches = asyncio.run(asyncio.wait_for(play(record), TIME_LIMIT_S))
    except Exception:
        traceback.print_exc()
        record.add("not run:\n" + traceback.format_exc())
        record.write()
        sys.exit(NOT_RUN)
    for breach in breaches:
        record.add(f"BROKEN: {breach}")
    verdict = f"{len(breaches)} breaches" if breaches else "the rule held"
    record.add(f"verdict: {verdict}")
    record.write()
    print(*breaches[:5], verdict, sep="\n")
    sys.exit(BROKEN if breaches else HELD)
