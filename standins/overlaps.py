"""Watch the runs of a call: whether two overlap, and how they end."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

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


class _Event(NamedTuple):
    """A whole event of a call: which run made it, and when."""

    run: object
    at: float


class EndWatch:
    """How the runs of calls ended: sound ones that senders gave up.

    A sender may end a sound run as soon as another one makes a whole event.
    """

    def __init__(self) -> None:
        self._events: dict[str, _Event] = {}
        self.ends: dict[str, bool] = {}  # Whether a sound run was given up.

    def note_event(self, call_id: str, run: object, now: float) -> None:
        """Record a whole event; with it, the call goes on at this run."""
        self._events[call_id] = _Event(run, now)
        self.ends.pop(call_id, None)

    def note_left(self, call_id: str, run: object, progress_at: float) -> None:
        """Record that a sender ends a sound run, of which this came last."""
        last = self._events.get(call_id)
        is_replaced = last is not None and last.run is not run
        if not (is_replaced and last.at >= progress_at):
            self.ends[call_id] = True

    def note_whole(self, call_id: str) -> None:
        """Record a run that came to its end."""
        self.ends[call_id] = True

    def note_unsound(self, call_id: str) -> None:
        """Record a run whose engine broke it off, or could not go on."""
        self.ends.setdefault(call_id, False)
