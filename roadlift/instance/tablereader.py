"""Read one table of the platform's store, and follow its changes."""

from collections.abc import Callable

from roadlift.core.errors import HistoryGone, RoadliftError
from roadlift.core.kernel import Kernel
from roadlift.core.logs import ComponentLog
from roadlift.instance.metrics import InstanceMetrics
from roadlift.instance.platform import Platform
from roadlift.serving.eras import StoreRestore
from roadlift.serving.interfaces import Rows
from roadlift.serving.position import ZERO_POSITION, StorePosition

# Seconds between checks whether a paused reader has to read again.
PAUSE_CHECK_INTERVAL = 0.2
RETRY_DELAY = 0.2  # Seconds between a failed read and the next one.

log = ComponentLog("follower")


class TableReader:
    """Reads a full table, then its changes, until it is closed.

    ``interval`` is the time between reads in seconds. With 0, the reader polls
    again immediately, and the store holds the poll for the time that
    ``compute_wait`` returns. ``retry_delay`` is the time in seconds between a
    failed read and the next one. While ``may_pause`` returns True, nothing is
    read once the full table is known.
    """

    def __init__(
        self,
        kernel: Kernel,
        table: str,
        compute_wait: Callable[[], float],
        interval: float,
        on_rows: Callable[[Rows, bool], None],
        on_return: Callable[[], None],
        may_pause: Callable[[], bool],
        retry_delay: float = RETRY_DELAY,
    ) -> None:
        self._loop = kernel.loop
        self._clock = kernel.clock
        self._store = kernel.get(Platform).store
        self._measures = kernel.get(InstanceMetrics)
        self._table = table
        self._compute_wait = compute_wait
        self._interval = interval
        self._on_rows = on_rows
        self._on_return = on_return
        self._may_pause = may_pause
        self._retry_delay = retry_delay
        self._position: StorePosition | None = None
        # Whether the last read was answered. A read that waits on a dead
        # connection is detected late, so the first one after a failure or an
        # outage does not wait at the store.
        self._was_answered = True
        self.is_paused = False
        self.requested_at = float("-inf")
        self._is_open = True
        self._is_started = False
        self._round = 0
        self.answered_at = kernel.clock.now()
        self.is_reachable = True
        self._store.eras.on_restore.append(self._handle_store_return)

    def start(self) -> None:
        """Start reading the table."""
        self._is_started = True
        self._read(self._round)

    def close(self) -> None:
        """Stop reading."""
        self._is_open = False
        self._store.eras.on_restore.remove(self._handle_store_return)

    def restart(self) -> None:
        """Read again, and ignore the answer to the read in progress."""
        self._was_answered = False
        self._round += 1
        self._read(self._round)

    @property
    def position(self) -> StorePosition:
        """Return the store's position up to which the table is known."""
        return self._position or ZERO_POSITION

    def advance_to(self, position: StorePosition) -> None:
        """Advance to a position up to which another instance saw no change."""
        if self._position is not None:
            self._position = max(self._position, position)

    def _handle_store_return(self, store_return: StoreRestore) -> None:
        """Read again: the read in progress belongs to an earlier era."""
        if self._is_started:
            self.restart()

    def _read(self, number: int) -> None:
        """Read, unless ``number`` is no longer the current round."""
        if not self._is_open or number != self._round:
            return
        self.is_paused = self._position is not None and self._may_pause()
        if self.is_paused:
            self._loop.call_later(PAUSE_CHECK_INTERVAL, lambda: self._read(number))
            return
        self.requested_at = self._clock.now()
        # Versions of an earlier era cannot select the changes of this one.
        is_full = self._position is None or not self._is_current()
        handle_rows = lambda rows: self._handle_rows(number, rows, is_full)
        handle_error = lambda error: self._handle_error(number, error)
        if is_full:
            self._store.read(self._table, handle_rows, handle_error)
        else:
            wait = self._compute_wait() if self._was_answered else 0.0
            self._store.follow(
                self._table, self._position, wait, handle_rows, handle_error
            )

    def _is_current(self) -> bool:
        return self._store.eras.is_current(self._position)

    def _handle_rows(self, number: int, rows: Rows, is_full: bool) -> None:
        if not self._is_open or number != self._round:
            return
        if not self.is_reachable:
            self.is_reachable = True
            era, version = rows.position
            log.event("store_regained", table=self._table, era=era, version=version)
            self._on_return()
        self._was_answered = True
        self._position = rows.position
        self.answered_at = self._clock.now()
        self._on_rows(rows, is_full)
        self._loop.call_later(self._interval, lambda: self._read(number))

    def _handle_error(self, number: int, error: RoadliftError) -> None:
        if not self._is_open or number != self._round:
            return
        if isinstance(error, HistoryGone):
            era, version = self.position
            log.event("history_gone", table=self._table, era=era, version=version)
            self._position = None
        else:
            self._was_answered = False
            self._measures.count("roadlift_store_failures", self._table)
        if self.is_reachable and not isinstance(error, HistoryGone):
            self.is_reachable = False
            log.event("store_lost", table=self._table, error=str(error))
        self._loop.call_later(self._retry_delay, lambda: self._read(number))
