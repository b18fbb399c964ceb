"""Stand in for the batch of a runner: calls that run, and calls that wait."""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple, Protocol

CHECK_INTERVAL = 0.01  # Seconds between checks for slots that are free again.
WINDOW = 1.0  # Seconds in which a brittle runner counts what it rejects.
# Seconds behind the first answer that says so, from which on it may let fewer
# calls wait, and falls over.
CONTACT = 2.0


class Timeline(Protocol):
    """Calls in the future."""

    def now(self) -> float:
        """Return the time."""

    def call_later(self, seconds: float, call: Callable[[], None]) -> None:
        """Call later."""


class Line(Protocol):
    """A call at the runner."""

    is_closed: bool


class Fall(NamedTuple):
    """A runner that fell over, and the calls that it had rejected lately.

    ``time`` numbers the times in which runners were brittle.
    """

    runner: str
    time: int
    rejected: list[str]


class _Rejection(NamedTuple):
    """A call that was rejected for want of room."""

    at: float
    call_id: str


class _Waiting(NamedTuple):
    """A call that waits for a slot, and what begins its run."""

    line: Line
    begin: Callable[[], None]


class Batch:
    """The slots of one runner, and its queue.

    Where it has shrunk, ``small_room`` calls may wait in place of ``room``
    from CONTACT later on. While ``brittleness`` is a number, the runner says
    so, and falls over once it rejects more than that in a second.
    """

    def __init__(self, timeline: Timeline, slots: int, room: int) -> None:
        self._timeline = timeline
        self.slots = slots
        self.room = room
        self.small_room = 1
        self.brittleness: int | None = None
        self._shrunk_at = float("inf")
        self._running: list[Line] = []
        self._waiting: deque[_Waiting] = deque()
        self._is_checking = False
        self._rejected: deque[_Rejection] = deque()

    def renew(self) -> "Batch":
        """Return the batch of the runner's next start."""
        batch = Batch(self._timeline, self.slots, self.room)
        batch.small_room = self.small_room
        batch.brittleness = self.brittleness
        batch._shrunk_at = self._shrunk_at
        return batch

    def shrink(self, number: int | None) -> None:
        """Let fewer wait, and bear that many rejections, or any number."""
        self.brittleness = number
        self._shrunk_at = self._timeline.now()

    def recover(self) -> None:
        """Bear any number of rejections again, and let as many wait."""
        self.brittleness = None
        self._shrunk_at = float("inf")

    @property
    def is_small(self) -> bool:
        """Return whether the runner lets fewer wait by now."""
        return self._timeline.now() - self._shrunk_at >= CONTACT

    def admit(self, line: Line, begin: Callable[[], None]) -> bool:
        """Run a call, or let it wait; return whether there was room."""
        self._advance()
        room = self.small_room if self.is_small else self.room
        if len(self._running) >= self.slots and len(self._waiting) >= room:
            return False
        self._waiting.append(_Waiting(line, begin))
        self._advance()
        return True

    def take_waiting(self) -> list[Line]:
        """Return the calls that wait, and let none of them begin."""
        lines = [one.line for one in self._waiting if not one.line.is_closed]
        self._waiting.clear()
        return lines

    def list_rejected(self) -> list[str]:
        """Return the calls that were rejected in the last second."""
        return [one.call_id for one in self._rejected]

    def note_rejected(self, call_id: str) -> bool:
        """Count a rejection; return whether the runner falls over of it."""
        now = self._timeline.now()
        self._rejected.append(_Rejection(now, call_id))
        while self._rejected[0].at <= now - WINDOW:
            self._rejected.popleft()
        if self.brittleness is None or not self.is_small:
            return False
        return len(self._rejected) > self.brittleness

    def _advance(self) -> None:
        """Let calls that wait begin where slots are free."""
        self._running = [line for line in self._running if not line.is_closed]
        while self._waiting and len(self._running) < self.slots:
            waiting = self._waiting.popleft()
            if not waiting.line.is_closed:
                self._running.append(waiting.line)
                waiting.begin()
        if self._waiting and not self._is_checking:
            self._is_checking = True
            self._timeline.call_later(CHECK_INTERVAL, self._check)

    def _check(self) -> None:
        self._is_checking = False
        self._advance()
