"""Allocate the calls that a rate-limited endpoint accepts, across instances.

Load pattern: a rate-limited endpoint announces how many calls a second it
accepts from all instances together, from a few tenths to some tens. Hundreds
of instances send to it, each less often than once in several seconds, so that
no instance's share of the limit is a whole call: static shares would either be
exceeded by all instances at once or serve nobody. Therefore one instance, the
owner of the endpoint's zone, grants each send. An instance requests a send a
few milliseconds before it needs it, and is told from when it may send, or when
to request again. A grant expires soon, so that a delayed instance does not use
it after the sends of others.

Over any window there are no more sends than the owners granted in it and in
the lifetime of a grant before it. Only one owner has a valid lease. An owner
that lost its lease, or has not acquired it yet, grants a small fraction, and
all instances that reach no owner share a smaller one. Sends without a grant,
made before the limit was known, are reported and deducted from later grants.
"""

from typing import NamedTuple

# Fractions of a limit: granted by an owner with a valid lease, granted by one
# without, and shared by all instances that reach no owner. Together with what
# the lifetime of a grant adds, they stay below one and a half times the limit.
LEASED_FRACTION = 1.0
UNLEASED_FRACTION = 0.25
MIN_RATE_FRACTION = 0.05
GRANT_TTL = 0.4  # Seconds in which a granted send may begin.
# Longest wait of a call for its send, in seconds: shorter than the interval
# between two owners of a zone, so that sends granted by both never begin at
# the same time.
MAX_WAIT = 0.4
BURST = 2.0  # Sends that may begin at once.
# Largest deduction for sends without a grant, in seconds of the limit: an
# endpoint that is avoided for longer serves nobody.
MAX_DEBT = 1.5
# Limit that replaces 0, in calls a second: without an occasional call nobody
# would notice that the endpoint accepts calls again.
MIN_LIMIT = 0.1
# Calls a second from which a limit has no effect.
MAX_LIMIT = 10_000.0
REQUEST_RETENTION = 2.0  # Seconds for which the answer to a request is repeated.
# Seconds for which the end of a limit is kept and reported, so that an
# instance that has not received it yet does not restore the limit.
END_RETENTION = 10.0


class Basis(NamedTuple):
    """What a send was granted on: the owner's term and announcement count.

    An answer to such a send is newer than all announcements up to ``serial``.
    """

    fence: int
    serial: int


NO_BASIS = Basis(0, 0)


class Claim(NamedTuple):
    """What an instance reports to the owner of an endpoint's limit.

    ``limit`` is the one that it applies, in calls a second, or None. If
    ``is_named``, the endpoint itself announced it, or with None announced no
    limit, in the answer to a send on ``basis``. ``spent`` is the number of its
    sends without a grant. A limit that ends by itself ``lasts`` that many
    seconds; with None it holds until the endpoint announces another.
    """

    process: str
    limit: float | None
    is_named: bool
    basis: Basis
    spent: int
    lasts: float | None = None


class Grant(NamedTuple):
    """The answer to a request: in how many seconds a send may begin.

    If ``is_given`` is false, ``delay`` is the time until one is available.
    """

    is_given: bool
    delay: float


def normalize_limit(limit: float | None) -> float | None:
    """Return a limit that can be applied, or None if it has no effect."""
    if limit is None or limit >= MAX_LIMIT:
        return None
    return max(MIN_LIMIT, limit)


class LimitRecord:
    """What is known of one endpoint's limit, from answers in any order.

    A lower limit is applied at once, whatever its age. A higher one, or none,
    is applied only from the answer to a send that was granted after the last
    announcement of a lower one: any other answer may be older than that.
    """

    def __init__(self, fence: int) -> None:
        self._fence = fence
        self._serial = 0
        self.limit: float | None = None

    @property
    def basis(self) -> Basis:
        """Return the basis on which sends are granted now."""
        return Basis(self._fence, self._serial)

    def update(self, limit: float | None, basis: Basis) -> bool:
        """Apply the limit of an answer; return whether it changed anything."""
        before = self.limit
        if limit is not None and (before is None or limit <= before):
            self._serial += 1
            self.limit = limit
        elif basis == self.basis:
            self.limit = limit
        return self.limit != before


class _TemporaryLimit(NamedTuple):
    """A limit in calls a second that ends by itself at a time."""

    limit: float
    until: float


class SendLedger:
    """The sends that the owner of an endpoint's zone grants of its limit.

    The lower one binds if it announced a limit and has a temporary one too.
    """

    def __init__(self, fence: int, now: float) -> None:
        self._record = LimitRecord(fence)
        self._temporary: _TemporaryLimit | None = None
        # When the next send would begin if none were granted in advance.
        self._next_at = now
        self._interval = 0.0
        self._spent: dict[str, int] = {}
        self._granted: dict[tuple[str, int], float] = {}
        self._ended_at: float | None = None
        self.announced_at = now

    @property
    def limit(self) -> float | None:
        """Return the limit in calls a second, or None if there is none."""
        limits = [self._record.limit, self._temporary and self._temporary.limit]
        return min((limit for limit in limits if limit is not None), default=None)

    @property
    def basis(self) -> Basis:
        """Return the basis on which sends are granted now."""
        return self._record.basis

    def is_expired(self, now: float) -> bool:
        """Return whether the limit ended long ago."""
        return self._ended_at is not None and now - self._ended_at > END_RETENTION

    def apply_claim(self, claim: Claim, now: float) -> bool:
        """Apply an instance's report; return whether the limit changed."""
        self.expire(now)
        before = self.limit
        is_new = before is None and self._ended_at is None
        if claim.is_named:
            self._record.update(claim.limit, claim.basis)
            if claim.limit is not None:
                self.announced_at = now
        elif claim.lasts is not None and claim.limit is not None:
            self._extend_temporary(claim.limit, now + claim.lasts, now)
        elif is_new and claim.limit is not None:
            # It was reported by the previous owner.
            self._record.update(claim.limit, NO_BASIS)
        has_changed = self.limit != before
        if has_changed:
            self._change_rate(now)
        if has_changed and before is None:
            # Instances restart their count of sends whenever a limit begins.
            self._spent.clear()
        self._charge_spent(claim, now)
        return has_changed

    def _extend_temporary(self, limit: float, until: float, now: float) -> None:
        """Apply a limit until a time; the latest reported end holds."""
        known = self._temporary
        if known is not None:
            until = max(until, known.until)
        self._temporary = _TemporaryLimit(limit, until)
        self.announced_at = now

    def expire(self, now: float) -> None:
        """End a temporary limit whose time is over."""
        if self._temporary is not None and now >= self._temporary.until:
            self._temporary = None
            self._change_rate(now)

    def _change_rate(self, now: float) -> None:
        """Switch to a new limit; keep the number of sends granted ahead."""
        limit = self.limit
        self._ended_at = now if limit is None else None
        ahead = (
            max(0.0, self._next_at - now) / self._interval if self._interval else 0.0
        )
        self._interval = 0.0 if limit is None else 1.0 / limit
        self._next_at = now + min(MAX_DEBT, ahead * self._interval)

    def _charge_spent(self, claim: Claim, now: float) -> None:
        """Deduct the sends made without a grant since the last report."""
        spent = claim.spent - self._spent.get(claim.process, 0)
        self._spent[claim.process] = claim.spent
        if self.limit is not None and spent > 0:
            self.charge(spent, now)

    def charge(self, count: int, now: float) -> None:
        """Deduct a number of sends from later grants."""
        charged_until = (
            max(self._next_at, now) + count * self._interval / LEASED_FRACTION
        )
        max_ahead = max(MAX_DEBT, BURST * self._interval)
        self._next_at = max(self._next_at, min(charged_until, now + max_ahead))

    def grant(
        self, requester: str, number: int, max_wait: float, fraction: float, now: float
    ) -> Grant:
        """Grant a send that may begin within ``max_wait`` seconds.

        A request that is repeated because its answer was lost is granted the
        same send.
        """
        known = self._granted.get((requester, number))
        if known is not None:
            return Grant(True, max(0.0, known - now))
        delay = self._compute_delay(fraction, now)
        if delay > min(max_wait, MAX_WAIT):
            return Grant(False, delay)
        self._consume(fraction, now)
        self._record_grant(requester, number, now + delay, now)
        return Grant(True, delay)

    def _compute_delay(self, fraction: float, now: float) -> float:
        ahead = (BURST - 1.0) * self._interval / fraction
        return max(0.0, self._next_at - ahead - now)

    def _consume(self, fraction: float, now: float) -> None:
        self._next_at = max(self._next_at, now) + self._interval / fraction

    def _record_grant(
        self, requester: str, number: int, begins_at: float, now: float
    ) -> None:
        self._granted = {
            key: at for key, at in self._granted.items() if now - at < REQUEST_RETENTION
        }
        self._granted[requester, number] = begins_at


class MinimumRate:
    """The sends to one endpoint by an instance that reaches no owner.

    All such instances share a fraction of the limit equally. ``phase``, from 0
    to 1, spreads their first sends, so that they do not all come at once.
    """

    def __init__(self, phase: float, now: float) -> None:
        self._phase = phase
        self._began_at = now
        self._sent_at: float | None = None

    def take(self, limit: float, instances: int, now: float) -> bool:
        """Consume a send if one is due; return whether it was."""
        period = max(1, instances) / (MIN_RATE_FRACTION * limit)
        due = self._began_at + self._phase * period
        if self._sent_at is not None:
            due = self._sent_at + period
        if now < due:
            return False
        self._sent_at = now
        return True
