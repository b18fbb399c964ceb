"""Write streams to a ring of rows in the platform's store.

Load pattern: hundreds of streams a second begin at the instances of a zone,
and end within a second. All processes that know them may end at any moment, so
the first one is written at once, and others in batches as often as the store
allows. A row is written over once no stream of it may be resumed.
"""

from collections.abc import Callable

from roadlift.core.errors import MalformedMessage, RoadliftError, VersionConflict
from roadlift.core.kernel import Kernel
from roadlift.core.logs import ComponentLog
from roadlift.core.loop import Timer
from roadlift.decisions.origins import MIN_TTL
from roadlift.instance.metrics import InstanceMetrics
from roadlift.instance.platform import Platform
from roadlift.serving.interfaces import Rows, RowWrite
from roadlift.serving.originrows import (
    STREAM_TABLE,
    Slot,
    Stream,
    encode_streams,
    read_slot,
)
from roadlift.serving.position import ZERO_POSITION, StorePosition

# Seconds between two writes of an owner: 15 owners make 150 a second.
WRITE_INTERVAL = 0.1
RETRY_DELAY = 0.3  # Seconds after a write that failed.
MAX_STREAMS = 4000  # Streams in a row, of 8 bytes each.
MAX_QUEUED = 20_000  # Streams that wait to be written; the oldest are dropped.

log = ComponentLog("origins")


class StreamRing:
    """The rows of one zone's ring; ``zone`` is None unless one is owned here.

    ``on_conflict`` is called as another process has written to the ring, whose
    rows then have to be adopted again.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._loop = kernel.loop
        self._store = kernel.get(Platform).store
        self._metrics = kernel.get(InstanceMetrics)
        self._positions: dict[Slot, StorePosition] = {}
        self._queue: list[Stream] = []
        self._number = 0
        self._size = 1
        self._may_write_at = 0.0
        self._is_writing = False
        self._timer: Timer | None = None
        self.zone: str | None = None
        self.on_conflict: Callable[[], None] = lambda: None
        self.resize(MIN_TTL)

    def close(self) -> None:
        """Stop writing."""
        if self._timer is not None:
            self._timer.close()

    def resize(self, ttl: float) -> None:
        """Let no row be written over for ``ttl`` seconds."""
        self._size = int(ttl / WRITE_INTERVAL) + 1

    def adopt(self, rows: Rows) -> None:
        """Go on behind the newest of the rows that were read."""
        self._positions = {}
        for row in rows.rows:
            try:
                self._positions[read_slot(row.key)] = row.position
            except MalformedMessage as error:
                log.error("A row of streams is ignored: %s.", error)
        own = [
            (position, slot.number)
            for slot, position in self._positions.items()
            if slot.zone == self.zone
        ]
        self._number = max(own)[1] + 1 if own else 0

    def put(self, stream: Stream) -> None:
        """Write a stream soon."""
        self._queue.append(stream)
        del self._queue[:-MAX_QUEUED]
        self._schedule()

    def _schedule(self) -> None:
        if self._timer is None and self._queue and not self._is_writing:
            wait = max(0.0, self._may_write_at - self._clock.now())
            self._timer = self._loop.call_later(wait, self._write)

    def _write(self) -> None:
        self._timer = None
        if self.zone is None:
            self._queue.clear()
            return
        batch, self._queue = self._queue[:MAX_STREAMS], self._queue[MAX_STREAMS:]
        slot = Slot(self.zone, self._number % self._size)
        self._number = slot.number + 1
        expected = self._positions.get(slot, ZERO_POSITION)
        row = RowWrite(STREAM_TABLE, slot.key, encode_streams(batch), expected)
        self._is_writing = True
        self._may_write_at = self._clock.now() + WRITE_INTERVAL
        self._store.write(
            row,
            lambda position, time: self._record_written(slot, position, len(batch)),
            lambda error: self._handle_error(batch, error),
        )

    def _record_written(self, slot: Slot, position: StorePosition, count: int) -> None:
        self._is_writing = False
        self._positions[slot] = position
        self._metrics.add("roadlift_stored_streams", count)
        self._schedule()

    def _handle_error(self, batch: list[Stream], error: RoadliftError) -> None:
        """Write streams again: they may not have been written."""
        self._is_writing = False
        self._queue = [*batch, *self._queue]
        self._may_write_at = self._clock.now() + RETRY_DELAY
        if isinstance(error, VersionConflict):
            self.on_conflict()
        log.event("streams_unwritten", streams=len(self._queue), error=str(error))
        self._schedule()
