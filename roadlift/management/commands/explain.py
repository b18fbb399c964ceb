"""Explain from log files what became of a request."""

from pathlib import Path

from roadlift.explanation.story import Story, tell_story
from roadlift.management.logfiles import read_logs
from roadlift.management.output import print_json


def handle(request: str, *files: Path, json: bool = False) -> None:
    """Explain from the logs of instances what became of a request.

    :param request: The request's id.
    :param files: Log files of any instances; standard input without one.
    :param json: Print JSON.
    """
    log = read_logs(files)
    story = tell_story(log, request)
    if json:
        events = [event._asdict() for event in story.events]
        print_json({**story._asdict(), "events": events, "bad_lines": log.bad_count})
        return
    _print(story)


def _print(story: Story) -> None:
    error = f" ({story.error})" if story.error else ""
    print(f"Request {story.request}: {story.outcome}{error}")
    for cause in story.causes:
        print(f"  because: {cause}")
    print("Seconds from its arrival; lines of the request itself have a star.")
    for event in story.events:
        star = "*" if event.is_own else " "
        print(f"{event.at:9.3f} {star} {event.instance}  {event.text}")
