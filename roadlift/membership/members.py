"""Define what is known of one instance and which knowledge wins."""

import enum
from typing import NamedTuple


class State(enum.IntEnum):
    """How an instance is seen; a higher state wins at the same number.

    DEAD is a belief: it did not answer for long, and may be paused. GONE is
    proven: it said so itself, its address refuses connections, or another
    process has its name and address.
    """

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3
    GONE = 4


class Member(NamedTuple):
    """One process of an instance.

    ``start`` orders the processes of one instance; ``number`` is raised by
    the process itself to refute a suspicion; ``peer`` and ``http`` are its
    addresses as ``host:port``.
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
        """Return the name of the process, unlike any other one's."""
        return f"{self.name}#{self.start}"

    def is_newer(self, other: "Member") -> bool:
        """Tell whether this knowledge replaces the other's."""
        return self._rank() > other._rank()

    def _rank(self) -> tuple[int, bool, int, int]:
        return (self.start, self.state == State.GONE, self.number, self.state)
