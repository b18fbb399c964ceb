"""Explain from log files what became of a request."""

import sys
from contextlib import ExitStack
from pathlib import Path

from roadlift.explanation.lines import Log, read_lines
from roadlift.explanation.story import Story, tell_story
from roadlift.management.output import print_json


def handle(request: str, *files: Path, json: bool = False) -> None:
    """Explain from the logs of instances what became of a request.

    :param request: The request's id.
    :param files: Log files of any instances; standard input without one.
    :param json: Print JSON.
    """
    log = _read(files)
    story = tell_story(log, request)
    if log.bad_count:
        named = ", ".join(log.bad)
        print(f"{log.bad_count} lines can't be read: {named}", file=sys.stderr)
    if json:
        events = [event._asdict() for event in story.events]
        print_json({**story._asdict(), "events": events, "bad_lines": log.bad_count})
        return
    _print(story)


def _read(files: tuple[Path, ...]) -> Log:
    if not files:
        return read_lines([("standard input", sys.stdin)])
    with ExitStack() as stack:
        sources = [
            (str(path), stack.enter_context(path.open(errors="replace")))
            for path in files
        ]
        return read_lines(sources)


def _print(story: Story) -> None:
    error = f" ({story.error})" if story.error else ""
    print(f"Request {story.request}: {story.outcome}{error}")
    for cause in story.causes:
        print(f"  because: {cause}")
    print("Seconds from its arrival; lines of the request itself have a star.")
    for event in story.events:
        star = "*" if event.is_own else " "
        print(f"{event.at:9.3f} {star} {event.instance}  {event.text}")
