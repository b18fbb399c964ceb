"""The interface to which answers are written, whatever the transport."""

from collections.abc import Callable, Mapping
from typing import Protocol

from roadlift.core.errors import RoadliftError


class Caller(Protocol):
    """The sending side of a caller's connection.

    ``on_gone`` is called once if the caller disconnects before the answer is
    complete; ``on_drained`` each time the buffered bytes fall below the
    low-water mark.
    """

    started: bool
    on_gone: Callable[[], None] | None
    on_drained: Callable[[], None] | None

    @property
    def is_full(self) -> bool:
        """Return whether the sender should pause."""

    def write_head(
        self, status: int, headers: Mapping[str, str], length: int | None = None
    ) -> None:
        """Write the status line and headers; without a length, use chunks."""

    def write(self, data: bytes) -> None:
        """Write body bytes."""

    def finish(self) -> None:
        """Mark the answer as complete."""

    def answer(self, status: int, headers: Mapping[str, str], body: bytes) -> None:
        """Write a complete answer at once."""

    def answer_error(self, error: RoadliftError, headers: Mapping[str, str]) -> None:
        """Write a typed error, as an answer or as a stream's last event."""

    def truncate(self) -> None:
        """Close after the written bytes, leaving the answer truncated."""

    def close(self) -> None:
        """Close the connection at once."""
