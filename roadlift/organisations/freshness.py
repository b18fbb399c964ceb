"""Know as of when the operator's rows are known.

A key that was taken away must not be served for long anywhere, also where an
instance is cut off, suspended, just started, or hears only others that are
cut off themselves. So what counts is not when news came but the moment before
the store was asked, by the clock that counts suspended time. Who passes rows
on tells how old its own knowledge is; the receiver counts that from before it
asked for the telling, so a relay can make knowledge older and never younger.
"""

from typing import NamedTuple

from roadlift.serving.position import ZERO_POSITION, StorePosition


class RelayedState(NamedTuple):
    """What another instance told of its knowledge of the operator's rows.

    It knows all rows up to ``position`` as of the time ``known_at``, in
    seconds of this process's clock.
    """

    position: StorePosition
    known_at: float


class Freshness:
    """As of when all rows are known here, in seconds of this process."""

    def __init__(self) -> None:
        self._position = ZERO_POSITION
        self._settled_at = float("-inf")
        self._lacking: RelayedState | None = None
        self.known_at = float("-inf")

    def note_return(self, settled_at: float) -> None:
        """Learn that the store came back older.

        What it lost is written again by a time: who reads before that may read
        rows which had been replaced, and learns nothing new of them.
        """
        self._settled_at = max(self._settled_at, settled_at)

    def note_read(self, asked_at: float) -> None:
        """Learn that the store was read whole, or all that changed of it."""
        if asked_at >= self._settled_at:
            self.known_at = max(self.known_at, asked_at)

    def note_relay(self, state: RelayedState) -> None:
        """Learn how far another instance knows the rows.

        It counts once all of those rows are known here too.
        """
        if state.position <= self._position:
            self.known_at = max(self.known_at, state.known_at)
        else:
            self._lacking = state

    def note_position(self, position: StorePosition) -> None:
        """Learn that all rows up to a position are known here."""
        self._position = max(self._position, position)
        lacking = self._lacking
        if lacking is not None and lacking.position <= self._position:
            self._lacking = None
            self.known_at = max(self.known_at, lacking.known_at)

    def measure_age(self, now: float) -> float:
        """Return the seconds for which a change may have gone unnoticed."""
        return now - self.known_at
