"""Read the log files that a command names."""

import sys
from contextlib import ExitStack
from pathlib import Path

from roadlift.explanation.lines import Log, read_lines


def read_logs(files: tuple[Path, ...]) -> Log:
    """Read log files, or standard input where none is named.

    Lines that can't be read are told on standard error.
    """
    if not files:
        log = read_lines([("standard input", sys.stdin)])
    else:
        with ExitStack() as stack:
            sources = [
                (str(path), stack.enter_context(path.open(errors="replace")))
                for path in files
            ]
            log = read_lines(sources)
    if log.bad_count:
        named = ", ".join(log.bad)
        print(f"{log.bad_count} lines can't be read: {named}", file=sys.stderr)
    return log
