"""Watch for calls that run at two runners at the same time."""

from collections.abc import Callable
from typing import Protocol

ALLOWED = 0.4  # Seconds for which the run before may go on beside the next.


class Timeline(Protocol):
    """Where checks in the future are kept."""

    def now(self) -> float:
        """Return the time in seconds."""

    def call_later(self, seconds: float, call: Callable[[], None]) -> None:
        """Call once the clock has moved on."""


class OverlapWatch:
    """The runs of streams, and the calls that ran twice at once for long."""

    def __init__(self, timeline: Timeline) -> None:
        self._timeline = timeline
        self._last: dict[str, Callable[[], bool]] = {}
        self.found: list[str] = []

    def note_run(self, call_id: str, is_closed: Callable[[], bool]) -> None:
        """Record that a runner accepts a call; ``is_closed`` tells the end."""
        before, self._last[call_id] = self._last.get(call_id), is_closed
        if before is not None and not before():
            check = lambda: self._check(call_id, before, is_closed)
            self._timeline.call_later(ALLOWED, check)

    def _check(
        self, call_id: str, before: Callable[[], bool], last: Callable[[], bool]
    ) -> None:
        """Note a call of which both runs go on."""
        if not before() and not last():
            self.found.append(call_id)
