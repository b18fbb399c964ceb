"""Hold the lease under which one instance gives orders to a zone's engines.

The lease is a row of the platform's store. Its holder renews it by writing
it again, with the time of the writing on the store's own clock; another
instance takes it once the lease's whole time is over since then, or since it
saw the row first, or once it was given back. These rules keep two holders
apart without fences:

* ``valid_until`` counts from before the last renewing write was sent;
* the time that is written is not earlier than that, and the time by which a
  taker measures the row's age is not later than the store's;
* a taker gives no order before the last one of the holder before has surely
  arrived;
* an instance that comes back to a lease soon after it held it, with another
  holder between, gives no order within the quiet time since its own last one:
  the platform counts orders of holders that take turns as a fault. The row
  names the holders of the last while, as an instance may have restarted;
* the fencing number of a term is the row's packed position at its start, with
  eras counted from the one in which the row was first written: it only grows,
  and no two terms share it.

The store may come back from an older copy. A term that was taken or renewed in
the seconds it lost is in force all the same, and the row may name a holder of
long ago. So each record tells the era in which it was written, and

* one of an era that is over counts from when it was first seen in the newer
  one, whatever times it tells, also where the holder's process is gone;
* a holder whose term still holds writes it again, which no taker can do sooner
  than its term ends; one whose term does not hold is a candidate like others;
* a write in doubt is found in records of its own era alone.

A process whose instance holds the lease under an earlier process takes it at
once: the earlier one is gone, as this one listens at its address.

specification/lease.py explores these rules with delays, lost answers, pauses,
restarts and returned leases. A row that was never written has had no holder.
"""

import enum
from collections.abc import Sequence
from typing import NamedTuple

import msgpack

from roadlift.core.errors import MalformedMessage
from roadlift.serving.interfaces import StoreTime
from roadlift.serving.position import NOWHERE, StorePosition

RENEW_PERIOD = 1.0  # Seconds; a renewal is a priced write.
# Seconds that must be left of the lease for an order: a send that was checked
# leaves the process within this time unless the process is paused.
SEND_MARGIN = 0.15
# Seconds that an order which was sent in time may be on its way: what a
# retransmission can delay it by.
TRANSIT = 0.5
MOST_FORMER = 8  # Holders before that a row names at most.
NO_ERA = -1  # That of a record by the release before, which tells none.
# Between a process and the eras in a row: the release before reads six fields.
ERA_MARK = "@"
ERA_GAP = "."  # Between the first era and that of the writing.


class LeaseRecord(NamedTuple):
    """The value of a lease's row.

    ``process`` names one run of an instance; ``address`` is where its peers
    reach it; ``written_at`` is the store's time of the writing in seconds,
    or None; ``is_released`` tells that the lease was given back;
    ``orders_from`` is the store's time from which the holder gives orders;
    ``former`` are [address, store's time of the end] of holders before;
    ``era`` is the store's as the writer knew it, ``first_era`` that of the
    first of all records of the row that told one.
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
        """Return the bytes of the row's value."""
        process = self.process
        if self.era != NO_ERA:
            process = f"{process}{ERA_MARK}{self.first_era}{ERA_GAP}{self.era}"
        *fields, _, _ = self._replace(process=process)
        return msgpack.packb(fields)

    @classmethod
    def decode(cls, data: bytes) -> "LeaseRecord":
        """Read a row's value, or raise MalformedMessage."""
        try:
            fields = msgpack.unpackb(data)
            if len(fields) != len(cls._fields) - 2:
                raise ValueError(f"{len(fields)} fields")
            record = _split_era(cls(*fields))
            if not isinstance(record.process, str) or not isinstance(
                record.address, str
            ):
                raise TypeError("texts were expected")
            {str(address): float(ended_at) for address, ended_at in record.former}
        except (ValueError, TypeError, msgpack.exceptions.UnpackException) as error:
            raise MalformedMessage(repr(error)) from error
        return record


def _split_era(record: LeaseRecord) -> LeaseRecord:
    """Return a record with the eras that stand behind its process."""
    process, _, eras = record.process.rpartition(ERA_MARK)
    first, _, era = eras.partition(ERA_GAP)
    if not process or not first.isdecimal() or not era.isdecimal():
        return record
    return record._replace(process=process, era=int(era), first_era=int(first))


class Step(enum.Enum):
    """What the holder or a candidate has to do next."""

    NOTHING = "nothing"
    READ = "read"
    TAKE = "take"
    RENEW = "renew"


class Lease:
    """One zone's lease as one process sees it; times are in seconds.

    ``process`` runs at ``address``. ``lease_time`` is how long a renewal
    holds; ``quiet`` how long an instance gives no order after it held the
    lease, if it holds it again; ``patience`` how long a candidate waits beyond
    the lease's time, so that the instances of the zone itself come first.
    """

    def __init__(
        self,
        process: str,
        address: str,
        lease_time: float,
        quiet: float,
        patience: float = 0.0,
    ) -> None:
        self._process = process
        self._address = address
        self._lease_time = lease_time
        self._quiet = quiet + TRANSIT
        self._patience = patience
        self._planned_from = 0.0
        self._position = NOWHERE
        self._era = NO_ERA
        self._first_era = NO_ERA
        self._has_returned = False
        self._era_seen_at = float("-inf")
        self._must_rewrite = False
        # Until when a term may have given orders that no row tells of.
        self._lost_until = float("-inf")
        self._seen_at: float | None = None
        self._sent_at = 0.0
        self._doubt_since: float | None = None
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
        """Tell whether this process has the lease, valid or not."""
        return self.fence > 0

    @property
    def era(self) -> int:
        """Return the store's era as it is known, or NO_ERA."""
        return self._era

    @property
    def position(self) -> StorePosition:
        """Return the position that the next write expects."""
        return self._position

    @property
    def number(self) -> int:
        """Return the fencing number of a term that began at the known row."""
        return self._find_number(self._position)

    def _find_number(self, position: StorePosition) -> int:
        first = self._first_era if self._first_era != NO_ERA else position.era
        return position._replace(era=position.era - first).pack()

    @property
    def holder(self) -> LeaseRecord | None:
        """Return who has the lease, as far as known."""
        if self.record is None or self.record.is_released:
            return None
        return None if self.is_outdated and not self.is_held else self.record

    @property
    def is_outdated(self) -> bool:
        """Tell whether the row that is known is of an era that is over."""
        return self.record is not None and self._is_outdated(self.record)

    def _is_outdated(self, record: LeaseRecord) -> bool:
        """Tell whether a record is of an era that is over.

        One without a mark is by the release before: of any era.
        """
        if record.era == NO_ERA:
            return self._has_returned
        return record.era < self._era

    def note_era(self, era: int, now: float) -> None:
        """Learn of the store's era; what is known of the row is of one before.

        A holder reads the row and writes its term again while it holds.
        """
        if era <= self._era:
            return
        is_first = self._era == NO_ERA
        self._era = era
        if is_first:
            return
        self._has_returned = True
        self._era_seen_at = now
        self._in_flight = False
        self._doubt_since = None
        self.is_read = False
        if self.is_held:
            self._lost_until = self.valid_until
            self._must_rewrite = True
            self._drop_if_over(now)

    def _drop_if_over(self, now: float) -> None:
        """Hold no longer a term that is in no row and is over."""
        if self._must_rewrite and now >= self.valid_until:
            self._drop()

    def may_order(self, now: float) -> bool:
        """Tell whether an order may leave now."""
        if not self.is_held:
            return False
        return self.orders_from <= now < self.valid_until - SEND_MARGIN

    def choose_step(self, now: float) -> Step:
        """Return what to do; the caller reports how it ended."""
        self._drop_if_over(now)
        if self._in_flight:
            return Step.NOTHING
        if self.is_held and self.is_read:
            is_due = now - self._renewed_at >= RENEW_PERIOD
            return Step.RENEW if is_due else Step.NOTHING
        if not self.is_read:
            return Step.READ
        return Step.TAKE if self._may_take(now) else Step.READ

    def _may_take(self, now: float) -> bool:
        if self.record is None:
            # Behind a return, a first term of all may have been lost.
            known_at = max(self._seen_at, self._era_seen_at + self._lease_time)
            return now - known_at >= self._patience
        if self._is_predecessor(self.record):
            return True
        return self._measure_rest(now) >= self._patience

    def _is_predecessor(self, record: LeaseRecord) -> bool:
        """Tell whether an earlier process of this instance is the holder."""
        is_here = record.address == self._address and not record.is_released
        is_sure = is_here and not self._is_outdated(record)
        return is_sure and record.process != self._process

    def _measure_rest(self, now: float) -> float:
        """Return the seconds since the lease of the row's holder was over.

        Negative while it may last. The age of the row is the longer of what
        the store's clock tells and of the time since it was seen first.
        """
        age = now - self._seen_at
        if self._is_outdated(self.record):
            return age - self._lease_time
        if self.record.written_at is not None and self._time is not None:
            told = self._time.estimate_earliest(now) - self.record.written_at
            age = max(age, told)
        return age if self.record.is_released else age - self._lease_time

    def send(self, now: float) -> LeaseRecord:
        """Begin a write, and return the record to write."""
        self._in_flight = True
        self._sent_at = now
        if self._first_era == NO_ERA:
            self._first_era = self._era
        if not self.is_held:
            self._planned_from = now + self._measure_quiet(now)
        written_at = orders_from = None
        if self._time is not None:
            written_at = self._time.estimate_latest(now)
            orders_from = self._time.estimate_latest(self._planned_from)
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
        """Return the seconds until this process may give orders as a taker."""
        record = self.record
        if record is None:
            return 0.0
        if record.address == self._address:
            # The same holder as before, who may have had to be quiet.
            return max(TRANSIT, self._measure_until(record.orders_from, now))
        quiet = TRANSIT - max(0.0, self._measure_rest(now))
        for address, ended_at in record.former:
            if address == self._address:
                own = self._measure_until(ended_at + self._quiet, now)
                quiet = max(quiet, own)
        return max(0.0, quiet, self._lost_until + self._quiet - now)

    def _measure_until(self, store: float | None, now: float) -> float:
        """Return the most seconds until a time of the store's clock."""
        if store is None or self._time is None:
            return self._quiet
        return store - self._time.estimate_earliest(now)

    def _list_former(self, now: float) -> list[tuple[str, float]]:
        """Return the holders before whose return would be a turn."""
        record = self.record
        if record is None or self._time is None:
            return []
        earliest = self._time.estimate_earliest(now)
        former = dict(record.former)
        if record.address != self._address:
            # Where the row tells no time, its holder's term is over by now.
            written_at = record.written_at
            rest = 0.0 if record.is_released else self._lease_time
            ended_at = earliest if written_at is None else written_at + rest
            former[record.address] = ended_at
        recent = [
            (address, ended_at)
            for address, ended_at in former.items()
            if earliest - ended_at < self._quiet
        ]
        return sorted(recent, key=lambda one: one[1])[-MOST_FORMER:]

    def note_time(self, time: StoreTime) -> None:
        """Learn of the store's clock."""
        self._time = time

    def hurry(self) -> None:
        """Wait for nobody else once the lease was given back."""
        self._patience = 0.0

    def note_alive(self) -> None:
        """Learn that the holder gives signs, so that its row here may be old.

        Its age would else be taken for the holder's end, and leases of
        holders that live be tried for, each time with calls to the store.
        """
        if not self.is_held and not self._in_flight:
            self.is_read = False

    def note_written(
        self, position: StorePosition, record: LeaseRecord, now: float
    ) -> None:
        """Learn that this process's write took effect.

        One that was sent before the store came back older is lost.
        """
        if record.era < self._era:
            return
        self._in_flight = False
        if not self.is_held:
            self._begin_term(position, now)
        self._accept(position, record, self._sent_at)

    def note_lost(self) -> None:
        """Learn that another's write came first; read the row again.

        What became of one of before the store's return says nothing.
        """
        if not self._in_flight:
            return
        self._in_flight = False
        self._drop()

    def note_doubt(self) -> None:
        """Learn that nobody knows whether the write took effect.

        A holder goes on until its lease ends; the row is read to find out.
        Where several writes are in doubt, any of them may be what is read,
        so the lease counts from the oldest. One of before the store's return
        is lost.
        """
        if not self._in_flight:
            return
        self._in_flight = False
        self.is_read = False
        if self._doubt_since is None:
            self._doubt_since = self._sent_at

    def note_read(
        self, position: StorePosition, record: LeaseRecord | None, now: float
    ) -> None:
        """Learn of the row as it was read, in the era that is known.

        The position of no row has the version 0.
        """
        self.is_read = True
        if self._seen_at is not None and position <= self._position:
            # Nothing new, or an answer that was overtaken by a later one.
            return
        if record is not None and record.first_era != NO_ERA:
            self._first_era = record.first_era
        is_outdated = record is None or self._is_outdated(record)
        is_own = not is_outdated and record.process == self._process
        if is_own and not record.is_released and self._doubt_since is not None:
            # A write of ours whose answer was lost has taken effect.
            if not self.is_held:
                self._begin_term(position, now)
            self._accept(position, record, self._doubt_since)
            return
        if is_own and self._in_flight:
            # The read has overtaken the answer to the write that it shows.
            return
        self._position = position
        self._seen_at = now
        if self._must_rewrite and is_outdated:
            # The record of the term stays; what was read lacks its renewals.
            self._renewed_at = float("-inf")
            return
        self.record = record
        if self.is_held:
            self._drop()

    def release(self, now: float) -> LeaseRecord:
        """Stop giving orders, and return the record that gives it back."""
        self._must_rewrite = False
        self.fence = 0
        self.valid_until = 0.0
        written_at = self._time and self._time.estimate_latest(now)
        return self.record._replace(written_at=written_at, is_released=True)

    def _accept(
        self, position: StorePosition, record: LeaseRecord, sent_at: float
    ) -> None:
        self._position = position
        self._seen_at = sent_at
        self._renewed_at = sent_at
        self._doubt_since = None
        self._must_rewrite = False
        self.record = record
        self.is_read = True
        self.valid_until = sent_at + self._lease_time

    def _begin_term(self, position: StorePosition, now: float) -> None:
        """Begin to hold, and to give orders at the time of the last plan."""
        self.fence = self._find_number(position)
        self.orders_from = max(now, self._planned_from)

    def _drop(self) -> None:
        self._must_rewrite = False
        self.fence = 0
        self.valid_until = 0.0
        self.is_read = False
