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
        """Record a run at its first event; ``is_closed`` tells its end."""
        before, self._last[call_id] = self._last.get(call_id), is_closed
        if before is not None and not before():
            check = lambda: None if before() else self.found.append(call_id)
            self._timeline.call_later(ALLOWED, check)
