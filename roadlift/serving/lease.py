"""The lease under which one instance gives orders to a zone's engines.

The lease is a row of the platform's store. Its holder renews it by rewriting
the row with the time of the write on the store's own clock. Another instance
may take the lease when the lease time has passed since that time, or since it
first saw the row, or when the lease was released. These rules keep two holders
apart without fencing:

* ``valid_until`` counts from before the last renewal was sent;
* the time in the row is not earlier than that, and the time by which a
  candidate computes the row's age is not later than the store's;
* a new holder gives no order until the last order of the previous holder has
  certainly arrived;
* an instance that regains a lease soon after it held it, with another holder
  in between, gives no order within the quiet time after its own last one: the
  platform counts orders of alternating holders as a fault. The row lists the
  recent holders, as an instance may have restarted;
* the fencing number of a term is the row's packed position at its start, with
  eras counted from the one in which the row was first written: it only grows,
  and no two terms share it.

The store may be restored from an older copy. A term that was acquired or
renewed in the seconds that are lost remains in force, and the row may name a
holder of long ago. So each record has the era in which it was written, and

* a record of an earlier era counts from when it was first seen in the newer
  era, whatever times it has, also if the holder's process is gone;
* a holder whose term is still valid writes it again, which no candidate can do
  before that term ends; one whose term has ended is a candidate like others;
* an unconfirmed write is recognised only in records of its own era.

A process whose instance holds the lease under an earlier process takes it at
once: the earlier process is gone, as this one listens at its address.

specification/lease.py explores these rules with delays, lost answers, pauses,
restarts and released leases. A row that was never written has had no holder.
"""

import enum
from collections.abc import Sequence
from typing import NamedTuple

import msgpack

from roadlift.core.errors import MalformedMessage
from roadlift.serving.interfaces import StoreTime
from roadlift.serving.position import ZERO_POSITION, StorePosition

RENEW_INTERVAL = 1.0  # Seconds; each renewal is a write, which is charged for.
# Seconds of the lease that must remain for an order: a send that was checked
# leaves the process within this time unless the process is paused.
SEND_MARGIN = 0.15
# Seconds that an order which was sent in time may be in transit: the delay
# that a retransmission can cause.
MAX_TRANSIT_TIME = 0.5
MAX_FORMER = 8  # Previous holders that a row lists at most.
NO_ERA = -1  # Of a record by the previous release, which has none.
# Separates the process from the eras in one field of a row: the previous
# release reads exactly six fields.
ERA_MARK = "@"
ERA_SEPARATOR = "."  # Separates the first era from the era of the write.


class LeaseRecord(NamedTuple):
    """The value of a lease's row.

    ``process`` names one run of an instance; ``address`` is where its peers
    reach it; ``written_at`` is the store's time of the write in seconds, or
    None; ``is_released`` is set when the holder released the lease;
    ``orders_from`` is the store's time from which the holder gives orders;
    ``former`` are [address, store's time of the end] of previous holders;
    ``era`` is the store's era known to the writer, ``first_era`` that of the
    row's first record with an era.
    """

    process: str
    address: str
    written_at: float | None = None
    is_released: bool = False
    orders_from: float | None = None
    former: Sequence[Sequence] = ()
    era: int = NO_ERA
    first_era: int = NO_ERA

    def encode(self) -> bytes:
        """Return the row's value as bytes."""
        process = self.process
        if self.era != NO_ERA:
            process = f"{process}{ERA_MARK}{self.first_era}{ERA_SEPARATOR}{self.era}"
        *fields, _, _ = self._replace(process=process)
        return msgpack.packb(fields)

    @classmethod
    def decode(cls, data: bytes) -> "LeaseRecord":
        """Parse a row's value, or raise MalformedMessage."""
        try:
            fields = msgpack.unpackb(data)
            if len(fields) != len(cls._fields) - 2:
                raise ValueError(f"{len(fields)} fields")
            record = _split_era(cls(*fields))
            if not isinstance(record.process, str) or not isinstance(
                record.address, str
            ):
                raise TypeError("process and address must be strings")
            {str(address): float(ended_at) for address, ended_at in record.former}
        except (ValueError, TypeError, msgpack.exceptions.UnpackException) as error:
            raise MalformedMessage(repr(error)) from error
        return record


def _split_era(record: LeaseRecord) -> LeaseRecord:
    """Return a record with the eras split off its process field."""
    process, _, eras = record.process.rpartition(ERA_MARK)
    first, _, era = eras.partition(ERA_SEPARATOR)
    if not process or not first.isdecimal() or not era.isdecimal():
        return record
    return record._replace(process=process, era=int(era), first_era=int(first))


class Step(enum.Enum):
    """The next action of the holder or a candidate."""

    NOTHING = "nothing"
    READ = "read"
    TAKE = "take"
    RENEW = "renew"


class Lease:
    """One zone's lease as one process sees it; times are in seconds.

    ``process`` runs at ``address``. ``lease_time`` is how long a renewal is
    valid; ``quiet`` how long an instance that regains the lease gives no
    order after its last term; ``extra_wait`` how long a candidate waits after
    the lease has expired, so that instances of the zone itself come first.
    """

    def __init__(
        self,
        process: str,
        address: str,
        lease_time: float,
        quiet: float,
        extra_wait: float = 0.0,
    ) -> None:
        self._process = process
        self._address = address
        self._lease_time = lease_time
        self._quiet = quiet + MAX_TRANSIT_TIME
        self._extra_wait = extra_wait
        self._planned_orders_from = 0.0
        self._position = ZERO_POSITION
        self._era = NO_ERA
        self._first_era = NO_ERA
        self._was_restored = False
        self._era_seen_at = float("-inf")
        self._must_rewrite = False
        # Until when a term that is in no row may have given orders.
        self._unrecorded_until = float("-inf")
        self._seen_at: float | None = None
        self._sent_at = 0.0
        self._unconfirmed_since: float | None = None
        self._renewed_at = 0.0
        self._in_flight = False
        self._time: StoreTime | None = None
        self.record: LeaseRecord | None = None
        self.is_read = False
        self.fence = 0
        self.valid_until = 0.0
        self.orders_from = 0.0

    @property
    def is_held(self) -> bool:
        """Return whether this process holds the lease, valid or not."""
        return self.fence > 0

    @property
    def era(self) -> int:
        """Return the store's era as far as known, or NO_ERA."""
        return self._era

    @property
    def position(self) -> StorePosition:
        """Return the position that the next write expects."""
        return self._position

    @property
    def number(self) -> int:
        """Return the fencing number of a term that begins at the known row."""
        return self._compute_number(self._position)

    def _compute_number(self, position: StorePosition) -> int:
        first = self._first_era if self._first_era != NO_ERA else position.era
        return position._replace(era=position.era - first).pack()

    @property
    def holder(self) -> LeaseRecord | None:
        """Return the holder's record as far as known, or None."""
        if self.record is None or self.record.is_released:
            return None
        return None if self.is_outdated and not self.is_held else self.record

    @property
    def is_outdated(self) -> bool:
        """Return whether the known row is of an earlier era."""
        return self.record is not None and self._is_outdated(self.record)

    def _is_outdated(self, record: LeaseRecord) -> bool:
        """Return whether a record is of an earlier era.

        One without an era, by the previous release, may be of any.
        """
        if record.era == NO_ERA:
            return self._was_restored
        return record.era < self._era

    def record_era(self, era: int, now: float) -> None:
        """Record the store's era; the known row is outdated if it is newer.

        A holder reads the row and writes its term again while it is valid.
        """
        if era <= self._era:
            return
        is_first = self._era == NO_ERA
        self._era = era
        if is_first:
            return
        self._was_restored = True
        self._era_seen_at = now
        self._in_flight = False
        self._unconfirmed_since = None
        self.is_read = False
        if self.is_held:
            self._unrecorded_until = self.valid_until
            self._must_rewrite = True
            self._drop_if_over(now)

    def _drop_if_over(self, now: float) -> None:
        """Drop a term that is in no row and has ended."""
        if self._must_rewrite and now >= self.valid_until:
            self._drop()

    def may_order(self, now: float) -> bool:
        """Return whether an order may be sent now."""
        if not self.is_held:
            return False
        return self.orders_from <= now < self.valid_until - SEND_MARGIN

    def choose_step(self, now: float) -> Step:
        """Return the next step; the caller records its outcome."""
        self._drop_if_over(now)
        if self._in_flight:
            return Step.NOTHING
        if self.is_held and self.is_read:
            is_due = now - self._renewed_at >= RENEW_INTERVAL
            return Step.RENEW if is_due else Step.NOTHING
        if not self.is_read:
            return Step.READ
        return Step.TAKE if self._may_take(now) else Step.READ

    def _may_take(self, now: float) -> bool:
        if self.record is None:
            # After a restore, the row's very first term may have been lost.
            known_at = max(self._seen_at, self._era_seen_at + self._lease_time)
            return now - known_at >= self._extra_wait
        if self._is_predecessor(self.record):
            return True
        return self._measure_time_since_expiry(now) >= self._extra_wait

    def _is_predecessor(self, record: LeaseRecord) -> bool:
        """Return whether the holder is an earlier process of this instance."""
        is_same_address = record.address == self._address and not record.is_released
        is_current_address = is_same_address and not self._is_outdated(record)
        return is_current_address and record.process != self._process

    def _measure_time_since_expiry(self, now: float) -> float:
        """Return the seconds since the lease of the row's holder expired.

        Negative while it may be valid. The age of the row is the larger of
        its age by the store's clock and the time since it was first seen.
        """
        age = now - self._seen_at
        if self._is_outdated(self.record):
            return age - self._lease_time
        if self.record.written_at is not None and self._time is not None:
            row_age = self._time.estimate_earliest(now) - self.record.written_at
            age = max(age, row_age)
        return age if self.record.is_released else age - self._lease_time

    def send(self, now: float) -> LeaseRecord:
        """Start a write; return the record to write."""
        self._in_flight = True
        self._sent_at = now
        if self._first_era == NO_ERA:
            self._first_era = self._era
        if not self.is_held:
            self._planned_orders_from = now + self._measure_quiet(now)
        written_at = orders_from = None
        if self._time is not None:
            written_at = self._time.estimate_latest(now)
            orders_from = self._time.estimate_latest(self._planned_orders_from)
        former = self.record.former if self.is_held else self._list_former(now)
        return LeaseRecord(
            self._process,
            self._address,
            written_at,
            False,
            orders_from,
            former,
            self._era,
            self._first_era,
        )

    def _measure_quiet(self, now: float) -> float:
        """Return the seconds until this process may give orders if it wins."""
        record = self.record
        if record is None:
            return 0.0
        if record.address == self._address:
            # The same instance held it before, and may have been in its quiet
            # time.
            return max(
                MAX_TRANSIT_TIME, self._measure_time_until(record.orders_from, now)
            )
        quiet = MAX_TRANSIT_TIME - max(0.0, self._measure_time_since_expiry(now))
        for address, ended_at in record.former:
            if address == self._address:
                own_quiet = self._measure_time_until(ended_at + self._quiet, now)
                quiet = max(quiet, own_quiet)
        return max(0.0, quiet, self._unrecorded_until + self._quiet - now)

    def _measure_time_until(self, store: float | None, now: float) -> float:
        """Return an upper bound of the seconds until a time of the store."""
        if store is None or self._time is None:
            return self._quiet
        return store - self._time.estimate_earliest(now)

    def _list_former(self, now: float) -> list[tuple[str, float]]:
        """Return the previous holders whose quiet time is not over."""
        record = self.record
        if record is None or self._time is None:
            return []
        earliest = self._time.estimate_earliest(now)
        former = dict(record.former)
        if record.address != self._address:
            # If the row has no time, its holder's term is over by now.
            written_at = record.written_at
            duration = 0.0 if record.is_released else self._lease_time
            ended_at = earliest if written_at is None else written_at + duration
            former[record.address] = ended_at
        recent = [
            (address, ended_at)
            for address, ended_at in former.items()
            if earliest - ended_at < self._quiet
        ]
        return sorted(recent, key=lambda holder: holder[1])[-MAX_FORMER:]

    def record_time(self, time: StoreTime) -> None:
        """Record a reading of the store's clock."""
        self._time = time

    def skip_extra_wait(self) -> None:
        """Wait no longer for other candidates: the lease is handed over."""
        self._extra_wait = 0.0

    def record_holder_alive(self) -> None:
        """Record that the holder is alive, so the known row may be outdated.

        Otherwise the row's age would pass for the holder's expiry, and the
        leases of live holders would be contended, each time with calls to the
        store.
        """
        if not self.is_held and not self._in_flight:
            self.is_read = False

    def record_written(
        self, position: StorePosition, record: LeaseRecord, now: float
    ) -> None:
        """Record that this process's write took effect.

        A write that was sent before a restore of the store is lost.
        """
        if record.era < self._era:
            return
        self._in_flight = False
        if not self.is_held:
            self._begin_term(position, now)
        self._record_own_row(position, record, self._sent_at)

    def record_conflict(self) -> None:
        """Record that another process's write came first; reread the row.

        The outcome of a write from before a restore is ignored.
        """
        if not self._in_flight:
            return
        self._in_flight = False
        self._drop()

    def record_unconfirmed(self) -> None:
        """Record that the outcome of the write is unknown.

        A holder continues until its lease ends; the row is read to find out.
        If several writes are unconfirmed, the row may show any of them, so
        the lease counts from the oldest. A write from before a restore is
        lost.
        """
        if not self._in_flight:
            return
        self._in_flight = False
        self.is_read = False
        if self._unconfirmed_since is None:
            self._unconfirmed_since = self._sent_at

    def record_read(
        self, position: StorePosition, record: LeaseRecord | None, now: float
    ) -> None:
        """Record the row as it was read, in the known era.

        The position of an absent row has the version 0.
        """
        self.is_read = True
        if self._seen_at is not None and position <= self._position:
            # Unchanged, or an answer that a later one has overtaken.
            return
        if record is not None and record.first_era != NO_ERA:
            self._first_era = record.first_era
        is_outdated = record is None or self._is_outdated(record)
        is_own = not is_outdated and record.process == self._process
        if is_own and not record.is_released and self._unconfirmed_since is not None:
            # A write of this process whose answer was lost has taken effect.
            if not self.is_held:
                self._begin_term(position, now)
            self._record_own_row(position, record, self._unconfirmed_since)
            return
        if is_own and self._in_flight:
            # The read has overtaken the answer to the write that it shows.
            return
        self._position = position
        self._seen_at = now
        if self._must_rewrite and is_outdated:
            # Keep the term's record; the row that was read lacks its renewals.
            self._renewed_at = float("-inf")
            return
        self.record = record
        if self.is_held:
            self._drop()

    def release(self, now: float) -> LeaseRecord:
        """Stop giving orders; return the record that releases the lease."""
        self._must_rewrite = False
        self.fence = 0
        self.valid_until = 0.0
        written_at = self._time and self._time.estimate_latest(now)
        return self.record._replace(written_at=written_at, is_released=True)

    def _record_own_row(
        self, position: StorePosition, record: LeaseRecord, sent_at: float
    ) -> None:
        self._position = position
        self._seen_at = sent_at
        self._renewed_at = sent_at
        self._unconfirmed_since = None
        self._must_rewrite = False
        self.record = record
        self.is_read = True
        self.valid_until = sent_at + self._lease_time

    def _begin_term(self, position: StorePosition, now: float) -> None:
        """Begin a term, with orders from the time that the write planned."""
        self.fence = self._compute_number(position)
        self.orders_from = max(now, self._planned_orders_from)

    def _drop(self) -> None:
        self._must_rewrite = False
        self.fence = 0
        self.valid_until = 0.0
        self.is_read = False
