"""Define the state of an instance, and which of two states supersedes."""

import enum
from typing import NamedTuple


class State(enum.IntEnum):
    """State of an instance; the higher state wins at an equal ``number``.

    DEAD is presumed: the instance has not answered for the suspicion time-out
    and may be paused. GONE is proven: the instance announced it, its address
    refuses connections, or another process has its name and address.
    """

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3
    GONE = 4


class Member(NamedTuple):
    """One process of an instance.

    ``start`` orders the processes of one instance; ``number`` is its
    incarnation number, which only the process itself raises, as to refute a
    suspicion; ``peer`` and ``http`` are its addresses as ``host:port``.
    """

    name: str
    start: int
    zone: str
    peer: str
    http: str
    state: int = State.ALIVE
    number: int = 0

    @property
    def process(self) -> str:
        """Return the unique name of the process."""
        return f"{self.name}#{self.start}"

    def supersedes(self, other: "Member") -> bool:
        """Return whether this state supersedes ``other``."""
        return self._rank() > other._rank()

    def _rank(self) -> tuple[int, bool, int, int]:
        return (self.start, self.state == State.GONE, self.number, self.state)
