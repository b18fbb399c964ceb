"""Read one table of the platform's store, and follow its changes."""

from collections.abc import Callable

from roadlift.core.errors import HistoryGone, RoadliftError
from roadlift.core.kernel import Kernel
from roadlift.core.logs import ComponentLog
from roadlift.instance.metrics import InstanceMetrics
from roadlift.instance.platform import Platform
from roadlift.serving.eras import StoreReturn
from roadlift.serving.interfaces import Rows
from roadlift.serving.position import NOWHERE, StorePosition

REST_LOOK = 0.2  # Seconds between looks whether an instance has to read again.
RETRY_PAUSE = 0.2  # Seconds behind a read that failed.

log = ComponentLog("follower")


class TableReader:
    """Reads one table whole, then its changes, for as long as it is open.

    ``period`` is in seconds: 0 polls again at once, waiting at the store for
    what ``measure_wait`` returns; ``retry_pause`` is behind a read that
    failed, likewise.
    """

    def __init__(
        self,
        kernel: Kernel,
        table: str,
        measure_wait: Callable[[], float],
        period: float,
        on_rows: Callable[[Rows, bool], None],
        on_return: Callable[[], None],
        may_rest: Callable[[], bool],
        retry_pause: float = RETRY_PAUSE,
    ) -> None:
        self._loop = kernel.loop
        self._clock = kernel.clock
        self._store = kernel.get(Platform).store
        self._measures = kernel.get(InstanceMetrics)
        self._table = table
        self._measure_wait = measure_wait
        self._period = period
        self._on_rows = on_rows
        self._on_return = on_return
        self._may_rest = may_rest
        self._retry_pause = retry_pause
        self._position: StorePosition | None = None
        # Whether the last read was answered. A read that waits on a dead
        # connection is noticed late, so the first one behind a failure or an
        # outage does not wait.
        self._is_sound = True
        self.is_resting = False
        self.asked_at = float("-inf")
        self._is_open = True
        self._is_started = False
        self._round = 0
        self.answered_at = kernel.clock.now()
        self.is_reachable = True
        self._store.eras.on_return.append(self._note_return)

    def start(self) -> None:
        """Read the table."""
        self._is_started = True
        self._read(self._round)

    def close(self) -> None:
        """Read no more."""
        self._is_open = False
        self._store.eras.on_return.remove(self._note_return)

    def restart(self) -> None:
        """Send the read under way anew, and ignore its answer."""
        self._is_sound = False
        self._round += 1
        self._read(self._round)

    @property
    def position(self) -> StorePosition:
        """Return the store's position as of which the table is known."""
        return self._position or NOWHERE

    def skip_to(self, position: StorePosition) -> None:
        """Learn from another instance that nothing is new up to a position."""
        if self._position is not None:
            self._position = max(self._position, position)

    def _note_return(self, told: StoreReturn) -> None:
        """Read anew: what is under way is of an era that is over."""
        if self._is_started:
            self.restart()

    def _read(self, number: int) -> None:
        """Read; ``number`` is the round, of which only the newest counts."""
        if not self._is_open or number != self._round:
            return
        self.is_resting = self._position is not None and self._may_rest()
        if self.is_resting:
            self._loop.call_later(REST_LOOK, lambda: self._read(number))
            return
        self.asked_at = self._clock.now()
        # Versions of an era that is over say nothing of this one's changes.
        is_whole = self._position is None or not self._is_current()
        take = lambda rows: self._take(number, rows, is_whole)
        fail = lambda error: self._fail(number, error)
        if is_whole:
            self._store.read(self._table, take, fail)
        else:
            wait = self._measure_wait() if self._is_sound else 0.0
            self._store.follow(self._table, self._position, wait, take, fail)

    def _is_current(self) -> bool:
        return self._store.eras.is_current(self._position)

    def _take(self, number: int, rows: Rows, is_whole: bool) -> None:
        if not self._is_open or number != self._round:
            return
        if not self.is_reachable:
            self.is_reachable = True
            era, version = rows.position
            log.event("store_regained", table=self._table, era=era, version=version)
            self._on_return()
        self._is_sound = True
        self._position = rows.position
        self.answered_at = self._clock.now()
        self._on_rows(rows, is_whole)
        self._loop.call_later(self._period, lambda: self._read(number))

    def _fail(self, number: int, error: RoadliftError) -> None:
        if not self._is_open or number != self._round:
            return
        if isinstance(error, HistoryGone):
            era, version = self.position
            log.event("history_gone", table=self._table, era=era, version=version)
            self._position = None
        else:
            self._is_sound = False
            self._measures.count("roadlift_store_failures", self._table)
        if self.is_reachable and not isinstance(error, HistoryGone):
            self.is_reachable = False
            log.event("store_lost", table=self._table, error=str(error))
        self._loop.call_later(self._retry_pause, lambda: self._read(number))
