"""Keep quarantined work in the platform's store.

Evidence that does not suffice for a quarantine is only exchanged between
instances, and is lost when all of them end. Quarantined work is rare, and gets
a row: after a restart of all instances, or without contact to the others, an
instance reads it from there. Rows are written and read by the instances that
get no rows from an aggregator. Deleting a row admits its work again, which an
operator may do.
"""

from typing import NamedTuple

from roadlift.core.errors import MalformedMessage, RoadliftError, VersionConflict
from roadlift.core.kernel import Kernel
from roadlift.core.logs import ComponentLog
from roadlift.core.loop import Timer
from roadlift.crashes.ledger import CrashLedger
from roadlift.decisions.crashes import MAX_CALLS
from roadlift.instance.follower import Follower
from roadlift.instance.leases import Leases
from roadlift.instance.platform import Platform
from roadlift.instance.tablereader import TableReader
from roadlift.serving.crashevidence import encode_row, read_key, read_row
from roadlift.serving.interfaces import Rows, RowWrite, StoredRow, StoreTime
from roadlift.serving.position import ZERO_POSITION, StorePosition

TABLE = "roadlift_crashes"
# Seconds for which the store may hold a poll without a change. Rows rarely
# change, and a poll that hangs on a dead path is detected by the keep-alive of
# the connection.
POLL_TIMEOUT = 10.0
# Seconds between two polls. All instances read once at their start; by the
# second poll an aggregator reads for most of them, which saves 195 instances
# a store call each.
POLL_INTERVAL = 1.5
# Seconds after a failed read, and between attempts to write.
RETRY_DELAY = 2.0
# Seconds by which the owner of each further zone writes later, so that it
# finds the row that the owner of the previous zone has written.
ZONE_DELAY = 0.3

log = ComponentLog("crashes")


class _KnownRow(NamedTuple):
    """A row in the store: the weights by endpoint, and its position."""

    weights: dict[str, int]
    position: StorePosition


class CrashRows:
    """The rows of quarantined work that this process reads and writes."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._ledger = kernel.get(CrashLedger)
        self._crashes = self._ledger.crashes
        self._store = kernel.get(Platform).store
        self._leases = kernel.get(Leases)
        self._is_relayed = kernel.get(Follower).is_relayed
        self._rows: dict[bytes, _KnownRow] = {}
        self._unwritten: set[bytes] = set()
        self._era: int | None = None
        self._time: StoreTime | None = None
        self._timer: Timer | None = None
        self._ledger.on_change.append(self._schedule_write)
        self._reader = TableReader(
            kernel,
            TABLE,
            lambda: POLL_TIMEOUT,
            POLL_INTERVAL,
            self._apply_rows,
            lambda: None,
            self._is_relayed,
            RETRY_DELAY,
        )

    def start(self) -> None:
        """Read the rows, and poll them unless an aggregator relays them."""
        self._reader.start()
        self._timer = self._kernel.loop.call_every(RETRY_DELAY, self._tick)

    def close(self) -> None:
        """Stop polling and writing."""
        self._timer.close()
        self._reader.close()

    def _schedule_write(self, identity: bytes) -> None:
        """Schedule a write, or a deletion of cleared work, if it is due."""
        if self._is_relayed() or self._is_stored(identity):
            return
        self._unwritten.add(identity)
        delay = ZONE_DELAY * self._find_rank()
        self._kernel.loop.call_later(delay, lambda: self._write(identity))

    def _is_stored(self, identity: bytes) -> bool:
        """Return whether the store agrees with what is known of work."""
        known = self._rows.get(identity)
        if not self._crashes.is_refused(identity):
            # Deleting a row admits the work at all instances.
            return known is None or not self._crashes.is_settled(identity)
        return known is not None and known.weights == self._list_weights(identity)

    def _find_rank(self) -> int:
        """Return the index of the first zone owned here."""
        zones = self._leases.list_zones()
        held = self._leases.list_held()
        return min((zones.index(zone) for zone in held), default=len(zones))

    def _list_weights(self, identity: bytes) -> dict[str, int]:
        evidence = self._crashes.list_evidence(self._kernel.clock.now(), identity)
        return {item.endpoint: item.weight for item in evidence}

    def _tick(self) -> None:
        """Retry the pending writes, and delete rows that are outdated."""
        for identity in list(self._unwritten):
            self._write(identity)
        if self._find_rank() == 0:
            for identity in list(self._rows):
                self._schedule_write(identity)

    def _write(self, identity: bytes) -> None:
        if identity not in self._unwritten:
            return
        known = self._rows.get(identity)
        is_full = known is None and len(self._rows) >= MAX_CALLS
        if self._is_stored(identity) or is_full:
            if is_full:
                log.warning("Quarantined work not stored: %s rows already.", MAX_CALLS)
            self._unwritten.discard(identity)
            return
        weights = (
            self._list_weights(identity) if self._crashes.is_refused(identity) else None
        )
        row = RowWrite(
            TABLE,
            identity.hex(),
            self._encode(identity) if weights else None,
            known.position if known else ZERO_POSITION,
        )
        self._store.write(
            row,
            lambda position, time: self._record_written(identity, weights, position),
            lambda error: self._handle_failure(identity, error),
        )

    def _encode(self, identity: bytes) -> bytes:
        now = self._kernel.clock.now()
        evidence = self._crashes.list_evidence(now, identity)
        last = min(item.age for item in evidence)
        store_now = self._time.estimate_latest(now) if self._time else last
        return encode_row(store_now, evidence)

    def _record_written(
        self,
        identity: bytes,
        weights: dict[str, int] | None,
        position: StorePosition,
    ) -> None:
        self._unwritten.discard(identity)
        if weights is None:
            self._rows.pop(identity, None)
        else:
            self._rows[identity] = _KnownRow(weights, position)

    def _handle_failure(self, identity: bytes, error: RoadliftError) -> None:
        if isinstance(error, VersionConflict):
            # Another instance wrote the row, which the next poll returns.
            self._unwritten.discard(identity)
        log.event("crash_row_failed", identity=identity.hex(), error=str(error))

    def _apply_rows(self, rows: Rows, is_complete: bool) -> None:
        self._time = rows.time
        if is_complete:
            self._rows.clear()
        store_now = rows.time.estimate_latest(self._kernel.clock.now())
        for row in rows.rows:
            try:
                self._apply_row(row, store_now)
            except MalformedMessage as error:
                log.error("A row of quarantined work is ignored: %s.", error)
        is_returned = self._era is not None and rows.position.era > self._era
        self._era = rows.position.era
        if is_returned:
            self._rewrite_lost()

    def _rewrite_lost(self) -> None:
        """Write the rows that the store lost when it came back older."""
        for identity in self._crashes.list_refused():
            self._schedule_write(identity)

    def _apply_row(self, row: StoredRow, store_now: float) -> None:
        identity = read_key(row.key)
        if row.value is None:
            known = self._rows.pop(identity, None)
            if known is not None:
                self._ledger.readmit(identity, known.weights)
            return
        evidence = read_row(identity, row.value, store_now)
        weights = {item.endpoint: item.weight for item in evidence}
        self._rows[identity] = _KnownRow(weights, row.position)
        self._ledger.record_evidence(evidence)
