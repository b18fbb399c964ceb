"""Read the log lines of many instances.

A collector may put text before the JSON object of a line. Lines that hold none
are counted and named, and the others are still used.
"""

import json
from collections.abc import Iterable
from typing import NamedTuple

MOST_NAMED = 5  # Bad lines that are named one by one.


class Line(NamedTuple):
    """One event: its time by its instance's clock, and its fields."""

    time: float
    instance: str
    name: str
    fields: dict


class Log(NamedTuple):
    """The events of all files in the order of their clocks.

    ``bad`` names lines that could not be read, as FILE:NUMBER; ``bad_count``
    is how many there were.
    """

    lines: list[Line]
    bad: list[str]
    bad_count: int


def read_lines(sources: Iterable[tuple[str, Iterable[str]]]) -> Log:
    """Read sources of lines, each with its name."""
    lines: list[Line] = []
    bad: list[str] = []
    bad_count = 0
    for source, texts in sources:
        for number, text in enumerate(texts, 1):
            if not text.strip():
                continue
            try:
                line = parse_line(text)
            except ValueError:
                bad_count += 1
                if len(bad) < MOST_NAMED:
                    bad.append(f"{source}:{number}")
                continue
            if line.name:
                lines.append(line)
    lines.sort(key=lambda line: line.time)
    return Log(lines, bad, bad_count)


def parse_line(text: str) -> Line:
    """Read one line, or raise ValueError; a sentence has an empty name."""
    start = text.find("{")
    if start < 0:
        raise ValueError("no JSON object")
    content = json.loads(text[start:])
    try:
        time = float(content.pop("time"))
        instance = str(content.pop("instance"))
        name = str(content.pop("event", ""))
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a log line: {error!r}") from error
    return Line(time, instance, name, content)
