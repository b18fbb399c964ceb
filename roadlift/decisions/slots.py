"""Allocate the slots of an endpoint that bears few rejections.

Load pattern: a brittle endpoint runs a few calls at once, lets fewer than
before wait, and crashes after a handful of rejections in a second. Many
instances send to it, most of them less often than it has slots, and each knows
the calls of the others only some tenths of a second late. Shares per instance
would be less than a slot. Therefore one instance, the owner of the endpoint's
zone, leases its slots: an instance sends a call only where it has a free slot,
and returns those that it does not use.

A claim states what an instance holds and wants, not a change, so that claims
and grants may be lost, repeated or reordered. A grant has a serial number, and
a claim that was made before the last grant does not lower it. The number of
slots falls with each rejection, as other calls than those leased may be there,
and rises again one by one. While calls wait, a few more are leased than the
endpoint runs at once, one at a time: its queue is how it stays busy between
two calls, but how long that is nobody knows.
"""

import math
from typing import NamedTuple

# Seconds between the claims of an instance that holds slots, and without a
# claim until an owner leases its slots to others.
CLAIM_INTERVAL = 0.5
CLAIM_TTL = 2.0
# Seconds from the start of an owner's term until all instances have claimed
# what they hold; until then it leases a part of the slots.
SETTLING_TIME = 0.8
SETTLING_FRACTION = 0.5
# Fraction leased by an owner without a valid lease on its zone: another one
# may still lease the rest.
UNLEASED_FRACTION = 0.75
# Fraction of the slots that instances which reach no owner use together.
UNOWNED_FRACTION = 0.5
# Fraction of the slots that stays in use whatever is rejected: a call may be
# rejected because it is too large for any endpoint.
MIN_FRACTION = 0.25
# Seconds between two reductions: the calls of one burst count once.
REDUCTION_INTERVAL = 0.1
# Seconds without a rejection until a slot more is leased, for an endpoint that
# bears one rejection a second, and between further ones.
RISE_DELAY = 4.0
RISE_INTERVAL = 0.5
# Fraction of the slots that may be leased beyond them, one more each second,
# and not for a while after a rejection.
QUEUE_FRACTION = 0.25
QUEUE_RISE_INTERVAL = 1.0
QUEUE_RISE_DELAY = 10.0
# Fraction of the slots that is left when instances return slots at once.
SCARCE_FRACTION = 0.25
# Seconds that a call is expected to hold a slot before any has ended.
INITIAL_DURATION = 0.5


class SlotClaim(NamedTuple):
    """What a process claims of an endpoint's slots.

    It was granted ``granted`` slots up to the grant ``serial``, has calls for
    ``wanted`` of them, and counted ``rejected`` rejections since it started.
    Its calls hold a slot for ``duration`` seconds, or 0 if that is not known.
    """

    process: str
    serial: int
    granted: int
    wanted: int
    rejected: int
    duration: float


class SlotLease(NamedTuple):
    """What a process may use: ``granted`` slots, as of a serial number.

    While they are ``is_scarce``, unused ones are returned at once. One more is
    expected to be free in ``delay`` seconds, and then one each ``interval``.
    """

    serial: int
    granted: int
    is_scarce: bool
    delay: float
    interval: float


class _Holder:
    """The slots of one process, and since when it waits for more."""

    __slots__ = ("granted", "claimed_at", "rejected", "serial", "waits_since", "wanted")

    def __init__(self, claim: SlotClaim) -> None:
        self.granted = claim.granted
        self.serial = claim.serial
        self.wanted = claim.wanted
        self.rejected = claim.rejected
        self.waits_since = 0.0
        self.claimed_at = 0.0

    @property
    def is_waiting(self) -> bool:
        """Return whether the process has calls without a slot."""
        return self.wanted > self.granted


class SlotLedger:
    """The slots of one endpoint, as its owner leases them.

    ``slots`` is how many calls the endpoint runs at once; it bears
    ``rejection_limit`` rejections a second. Until ``settles_at`` not all
    instances may have claimed.
    """

    def __init__(
        self, slots: int, rejection_limit: float, settles_at: float, now: float
    ) -> None:
        self._slots = max(1, slots)
        queue = math.ceil(self._slots * QUEUE_FRACTION) if rejection_limit else 0
        self._max_usable = self._slots + queue
        self._rejection_limit = rejection_limit
        self._usable = self._slots
        self._holders: dict[str, _Holder] = {}
        self._settles_at = settles_at
        self._rises_at = now
        self._queue_rises_at = now + QUEUE_RISE_INTERVAL
        self._reduced_at = float("-inf")
        self._duration = INITIAL_DURATION

    @property
    def usable(self) -> int:
        """Return how many slots are leased at most."""
        return self._usable

    def count_granted(self) -> int:
        """Return how many slots are leased."""
        return sum(holder.granted for holder in self._holders.values())

    def claim(self, claim: SlotClaim, now: float) -> None:
        """Apply a claim."""
        holder = self._holders.get(claim.process)
        if holder is None:
            holder = self._holders[claim.process] = _Holder(claim)
        if claim.rejected > holder.rejected:
            self._reduce(now)
        holder.rejected = max(holder.rejected, claim.rejected)
        if claim.serial >= holder.serial:
            holder.serial = claim.serial
            holder.granted = claim.granted
        if not holder.is_waiting:
            holder.waits_since = now
        holder.wanted = claim.wanted
        holder.claimed_at = now
        if claim.duration > 0.0:
            self._duration += (claim.duration - self._duration) / 4.0

    def allocate(self, fraction: float, now: float) -> list[str]:
        """Lease free slots; return the processes that get more.

        ``fraction`` is the part of the slots that may be leased. The process
        that waits for longest comes first.
        """
        self._expire(now)
        self._rise(now)
        free = self._compute_leasable(fraction, now) - self.count_granted()
        changed: dict[str, None] = {}
        while free > 0:
            name = self._find_next()
            if name is None:
                break
            holder = self._holders[name]
            holder.serial += name not in changed
            holder.granted += 1
            holder.waits_since = now
            changed[name] = None
            free -= 1
        return list(changed)

    def describe(self, process: str, fraction: float, now: float) -> SlotLease:
        """Return the lease of a process that has claimed."""
        holder = self._holders[process]
        ahead = sum(
            other.wanted - other.granted
            for other in self._holders.values()
            if other.is_waiting and other.waits_since < holder.waits_since
        )
        leasable = self._compute_leasable(fraction, now)
        free = leasable - self.count_granted()
        interval = self._duration / leasable
        delay = 0.0 if free > 0 else (ahead + 1) * interval
        is_scarce = free <= int(self._slots * SCARCE_FRACTION)
        return SlotLease(
            holder.serial,
            holder.granted,
            is_scarce,
            round(delay, 4),
            round(interval, 4),
        )

    def _compute_leasable(self, fraction: float, now: float) -> int:
        if now < self._settles_at:
            fraction = min(fraction, SETTLING_FRACTION)
        return max(1, int(self._usable * fraction))

    def _find_next(self) -> str | None:
        """Return the process that has waited for longest, or None."""
        waiting = [name for name, one in self._holders.items() if one.is_waiting]
        by_age = lambda name: (self._holders[name].waits_since, name)
        return min(waiting, key=by_age, default=None)

    def _reduce(self, now: float) -> None:
        """Lease fewer slots than are in use as the endpoint rejects a call."""
        self._rises_at = now + RISE_DELAY / max(1.0, self._rejection_limit)
        self._queue_rises_at = now + QUEUE_RISE_DELAY
        if now - self._reduced_at < REDUCTION_INTERVAL:
            return
        self._reduced_at = now
        least = max(1, int(self._slots * MIN_FRACTION))
        in_use = min(self._usable, self.count_granted())
        self._usable = max(least, in_use - 1)

    def _rise(self, now: float) -> None:
        """Lease one more slot if nothing was rejected for long."""
        while self._usable < self._slots and now >= self._rises_at:
            self._usable += 1
            self._rises_at += RISE_INTERVAL
        is_waited = self._find_next() is not None
        is_below = self._slots <= self._usable < self._max_usable
        if is_below and is_waited and now >= self._queue_rises_at:
            self._usable += 1
            self._queue_rises_at = now + QUEUE_RISE_INTERVAL

    def _expire(self, now: float) -> None:
        """Drop the processes that have not claimed for long."""
        for name, holder in list(self._holders.items()):
            if now - holder.claimed_at > CLAIM_TTL:
                del self._holders[name]


def compute_unowned_share(slots: int, instances: int, rank: float) -> int:
    """Return how many slots an instance uses that reaches no owner.

    All of them together use a fraction of the slots. ``rank``, from 0 to 1,
    differs between instances, so that some use a slot where there are fewer
    slots than instances.
    """
    return int(slots * UNOWNED_FRACTION / max(1, instances) + rank)
