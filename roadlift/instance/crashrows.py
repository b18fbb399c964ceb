"""Keep in the platform's store which work is refused for good reason.

What is only suspected is told between instances and is gone with them. Work
that is refused is rare, and gets a row: instances that all start again, or
hear nothing of the others, learn of it from there. Those write and read rows
for which no aggregator reads. A row that is deleted lets its work in again; so
an operator can do.
"""

from typing import NamedTuple

from roadlift.core.errors import MalformedMessage, RoadliftError, VersionConflict
from roadlift.core.kernel import Kernel
from roadlift.core.logs import PartLog
from roadlift.core.loop import Timer
from roadlift.crashes.ledger import CrashLedger
from roadlift.decisions.crashes import MOST_CALLS
from roadlift.instance.follower import Follower
from roadlift.instance.leases import Leases
from roadlift.instance.platform import Platform
from roadlift.instance.tablereader import TableReader
from roadlift.serving.crashevidence import encode_row, read_key, read_row
from roadlift.serving.interfaces import Rows, RowWrite, StoredRow, StoreTime
from roadlift.serving.position import ZERO_POSITION, StorePosition

TABLE = "roadlift_crashes"
# Seconds that a poll waits at the store. Rows change seldom, and one that
# hangs on a dead path is noticed by the connection's keep-alive.
WAIT = 10.0
# Seconds between two polls. All read once at their start; by then an
# aggregator reads for most of them, and 195 instances save a call each.
POLL_PAUSE = 1.5
# Seconds behind a read that failed, and between tries to write.
RETRY_PAUSE = 2.0
# Seconds by which the owner of each further zone writes later, so that it
# finds the row that the one before has written.
TURN = 0.3

log = PartLog("crashes")


class _Known(NamedTuple):
    """A row as it is in the store: {endpoint: weight} and its position."""

    weights: dict[str, int]
    position: StorePosition


class CrashRows:
    """The rows of refused work, as this process reads and writes them."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._ledger = kernel.get(CrashLedger)
        self._crashes = self._ledger.crashes
        self._store = kernel.get(Platform).store
        self._leases = kernel.get(Leases)
        self._is_relayed = kernel.get(Follower).is_relayed
        self._rows: dict[bytes, _Known] = {}
        self._due: set[bytes] = set()
        self._era: int | None = None
        self._time: StoreTime | None = None
        self._timer: Timer | None = None
        self._ledger.on_change.append(self._note)
        self._reader = TableReader(
            kernel,
            TABLE,
            lambda: WAIT,
            POLL_PAUSE,
            self._take_rows,
            lambda: None,
            self._is_relayed,
            RETRY_PAUSE,
        )

    def start(self) -> None:
        """Read the rows, and follow them where nobody else does."""
        self._reader.start()
        self._timer = self._kernel.loop.call_every(RETRY_PAUSE, self._tick)

    def close(self) -> None:
        """Follow no more."""
        self._timer.close()
        self._reader.close()

    def _note(self, identity: bytes) -> None:
        """Keep what is known of work, or drop its row if it is cleared."""
        if self._is_relayed() or self._is_kept(identity):
            return
        self._due.add(identity)
        pause = TURN * self._find_turn()
        self._kernel.loop.call_later(pause, lambda: self._write(identity))

    def _is_kept(self, identity: bytes) -> bool:
        """Tell whether the store has what is known of a call."""
        known = self._rows.get(identity)
        if not self._crashes.is_refused(identity):
            # A row that is deleted lets the work in everywhere.
            return known is None or not self._crashes.is_settled(identity)
        return known is not None and known.weights == self._weigh(identity)

    def _find_turn(self) -> int:
        zones = self._leases.list_zones()
        held = self._leases.list_held()
        return min((zones.index(zone) for zone in held), default=len(zones))

    def _weigh(self, identity: bytes) -> dict[str, int]:
        signs = self._crashes.list_signs(self._kernel.clock.now(), identity)
        return {sign.endpoint: sign.weight for sign in signs}

    def _tick(self) -> None:
        """Try again what could not be written, and drop old rows."""
        for identity in list(self._due):
            self._write(identity)
        if self._find_turn() == 0:
            for identity in list(self._rows):
                self._note(identity)

    def _write(self, identity: bytes) -> None:
        if identity not in self._due:
            return
        known = self._rows.get(identity)
        is_full = known is None and len(self._rows) >= MOST_CALLS
        if self._is_kept(identity) or is_full:
            if is_full:
                log.warning("No row is kept of work: there are %s.", MOST_CALLS)
            self._due.discard(identity)
            return
        weights = self._weigh(identity) if self._crashes.is_refused(identity) else None
        row = RowWrite(
            TABLE,
            identity.hex(),
            self._encode(identity, weights) if weights else None,
            known.position if known else ZERO_POSITION,
        )
        self._store.write(
            row,
            lambda position, time: self._note_written(identity, weights, position),
            lambda error: self._note_failure(identity, error),
        )

    def _encode(self, identity: bytes, weights: dict[str, int]) -> bytes:
        now = self._kernel.clock.now()
        age = min(sign.age for sign in self._crashes.list_signs(now, identity))
        store_now = self._time.estimate_latest(now) if self._time else age
        return encode_row(store_now - age, weights)

    def _note_written(
        self,
        identity: bytes,
        weights: dict[str, int] | None,
        position: StorePosition,
    ) -> None:
        self._due.discard(identity)
        if weights is None:
            self._rows.pop(identity, None)
        else:
            self._rows[identity] = _Known(weights, position)

    def _note_failure(self, identity: bytes, error: RoadliftError) -> None:
        if isinstance(error, VersionConflict):
            # Another instance wrote the row; what it says is read before long.
            self._due.discard(identity)
        log.event("crash_row_failed", identity=identity.hex(), error=str(error))

    def _take_rows(self, rows: Rows, is_whole: bool) -> None:
        self._time = rows.time
        if is_whole:
            self._rows.clear()
        store_now = rows.time.estimate_latest(self._kernel.clock.now())
        for row in rows.rows:
            try:
                self._take_row(row, store_now)
            except MalformedMessage as error:
                log.error("A row of crashes is ignored: %s.", error)
        is_returned = self._era is not None and rows.position.era > self._era
        self._era = rows.position.era
        if is_returned:
            self._write_lost()

    def _write_lost(self) -> None:
        """Write rows again that the store lost as it came back older."""
        for identity in self._crashes.list_refused():
            self._note(identity)

    def _take_row(self, row: StoredRow, store_now: float) -> None:
        identity = read_key(row.key)
        if row.value is None:
            if self._rows.pop(identity, None) is not None:
                self._ledger.clear(lambda: identity)
            return
        signs = read_row(identity, row.value, store_now)
        weights = {sign.endpoint: sign.weight for sign in signs}
        self._rows[identity] = _Known(weights, row.position)
        self._ledger.learn(signs)
