"""Track as of when the operator's rows are known.

A revoked key must not be served for long anywhere, even if an instance is cut
off, suspended, just started, or receives updates only from others that are cut
off themselves. Therefore the relevant time is not when an update arrived but
the moment before the store was queried, by the clock that counts suspended
time. An instance that relays rows reports the age of its own knowledge; the
receiver counts that age from before it requested the report, so a relay can
make knowledge older but never younger.
"""

from typing import NamedTuple

from roadlift.serving.position import ZERO_POSITION, StorePosition


class RelayedState(NamedTuple):
    """What another instance reported of its knowledge of the operator's rows.

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
        self._pending: RelayedState | None = None
        self.known_at = float("-inf")

    def record_store_return(self, settled_at: float) -> None:
        """Record that the store came back older.

        Rows that it lost are written again by a certain time. A read before
        that may return rows that had been replaced, and does not count.
        """
        self._settled_at = max(self._settled_at, settled_at)

    def record_read(self, asked_at: float) -> None:
        """Record a read of the whole store, or of all that changed in it."""
        if asked_at >= self._settled_at:
            self.known_at = max(self.known_at, asked_at)

    def record_relay(self, state: RelayedState) -> None:
        """Record how far another instance knows the rows.

        It counts once all of those rows are known here too.
        """
        if state.position <= self._position:
            self.known_at = max(self.known_at, state.known_at)
        else:
            self._pending = state

    def record_position(self, position: StorePosition) -> None:
        """Record that all rows up to a position are known here."""
        self._position = max(self._position, position)
        pending = self._pending
        if pending is not None and pending.position <= self._position:
            self._pending = None
            self.known_at = max(self.known_at, pending.known_at)

    def measure_age(self, now: float) -> float:
        """Return the seconds for which a change may have gone unnoticed."""
        return now - self.known_at
