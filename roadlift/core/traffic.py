"""Count the messages and bytes exchanged between instances, by kind."""

from collections.abc import Mapping
from typing import NamedTuple

SENT = "out"
RECEIVED = "in"


class Kind(NamedTuple):
    """A kind of message: its type's name, and SENT or RECEIVED."""

    message: str
    direction: str


class Count(NamedTuple):
    """The number of messages and their total size in bytes."""

    messages: int
    size: int


class Traffic:
    """Counts the messages that one process exchanged since its start."""

    def __init__(self) -> None:
        self._counts: dict[Kind, Count] = {}

    def record(self, message: object, direction: str, size: int) -> None:
        """Add a message of ``size`` bytes to the counts."""
        kind = Kind(type(message).__name__, direction)
        previous = self._counts.get(kind, Count(0, 0))
        self._counts[kind] = Count(previous.messages + 1, previous.size + size)

    def list_counts(self) -> Mapping[Kind, Count]:
        """Return the counts by kind of message."""
        return self._counts
