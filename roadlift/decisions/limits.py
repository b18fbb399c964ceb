"""Give out the calls that an endpoint takes, so that no instance counts alone.

Load pattern: an endpoint in need names how many calls a second it takes from
all instances together, some tenths to some tens. Hundreds of instances send
to it, each less often than once in seconds, so that no instance's part of the
limit is a whole call: shares would either be passed by all at once or serve
nobody. So one instance, the owner of the endpoint's zone, gives each send
out: one that wants to send asks it, a few milliseconds before, and is told
from when it may, or when to ask again. A grant expires soon, so that one that
is held up is not used behind others.

Over any span there are no more sends than the owners gave out in it and in a
grant's life before it. Only one owner has a valid lease; one that lost it, or
has not got it yet, gives out a small part, and all that hear no owner share a
smaller one. Sends without a grant, made before the limit was known, are told
of and taken off what is given out next.
"""

from typing import NamedTuple

# Part of a limit that an owner with a valid lease gives out, that one without
# gives out, and that all share who hear no owner. Together with what a grant's
# life adds they stay below one and a half times the limit.
GIVEN_PART = 1.0
UNSURE_PART = 0.25
FLOOR_PART = 0.05
GRANT_LIFE = 0.4  # Seconds for which a send may be begun.
# Seconds that a call waits for its send at most: below the pause between two
# owners of a zone, so that what both give out never begins at the same time.
MOST_PATIENCE = 0.4
BURST = 2.0  # Sends that may begin at once.
# Seconds of the limit at most that are taken off for sends without a grant:
# an endpoint that is shunned for longer serves nobody.
MOST_DEBT = 1.5
# A limit of 0, in calls a second: without a call now and then nobody would
# learn that the endpoint takes calls again.
LEAST_LIMIT = 0.1
# Calls a second from which on a limit binds nothing.
MOST_LIMIT = 10_000.0
ASK_MEMORY = 2.0  # Seconds for which the answer to an ask is repeated.
# Seconds for which it is remembered, and told, that a limit ended: an instance
# that has not heard of it does not bring it back.
END_MEMORY = 10.0


class Basis(NamedTuple):
    """By what a send was granted: the owner's term, and its count of namings.

    An answer to such a send is newer than all namings up to ``serial``.
    """

    fence: int
    serial: int


NO_BASIS = Basis(0, 0)


class Claim(NamedTuple):
    """What an instance tells the owner of an endpoint's limit.

    ``limit`` is what it goes by, in calls a second, or None. With
    ``is_named`` the endpoint itself said so, or, of None, said nothing, in the
    answer to a send on ``basis``. ``spent`` counts its sends without a grant.
    """

    process: str
    limit: float | None
    is_named: bool
    basis: Basis
    spent: int


class Grant(NamedTuple):
    """The answer to an ask: from when, in seconds, a send may begin.

    Where ``is_given`` is false, ``delay`` is until when none is free.
    """

    is_given: bool
    delay: float


def adapt(limit: float | None) -> float | None:
    """Return a limit that can be gone by, or None where it binds nothing."""
    if limit is None or limit >= MOST_LIMIT:
        return None
    return max(LEAST_LIMIT, limit)


class LimitRecord:
    """What is known of one endpoint's limit, by answers that overtake others.

    A lower limit counts at once, whatever its age. A higher one, or none, does
    so only in the answer to a send that was granted behind the last naming of
    a lower one: any other may be older than that.
    """

    def __init__(self, fence: int) -> None:
        self._fence = fence
        self._serial = 0
        self.limit: float | None = None

    @property
    def basis(self) -> Basis:
        """Return on what sends are granted now."""
        return Basis(self._fence, self._serial)

    def learn(self, limit: float | None, basis: Basis) -> bool:
        """Learn what an answer named; tell whether that changed anything."""
        before = self.limit
        if limit is not None and (before is None or limit <= before):
            self._serial += 1
            self.limit = limit
        elif basis == self.basis:
            self.limit = limit
        return self.limit != before


class SendLedger:
    """What the owner of an endpoint's zone gives out of its limit."""

    def __init__(self, fence: int, now: float) -> None:
        self._record = LimitRecord(fence)
        # When the next send would begin if none were given out in advance.
        self._next_at = now
        self._gap = 0.0
        self._spent: dict[str, int] = {}
        self._given: dict[tuple[str, int], float] = {}
        self._ended_at: float | None = None
        self.named_at = now

    @property
    def limit(self) -> float | None:
        """Return the limit in calls a second, or None where there is none."""
        return self._record.limit

    @property
    def basis(self) -> Basis:
        """Return on what sends are granted now."""
        return self._record.basis

    def is_forgotten(self, now: float) -> bool:
        """Tell whether the limit ended long ago."""
        return self._ended_at is not None and now - self._ended_at > END_MEMORY

    def learn(self, claim: Claim, now: float) -> bool:
        """Take what an instance tells; tell whether the limit changed."""
        before = self._record.limit
        is_new = before is None and self._ended_at is None
        has_changed = False
        if claim.is_named:
            has_changed = self._record.learn(claim.limit, claim.basis)
            if claim.limit is not None:
                self.named_at = now
        elif is_new and claim.limit is not None:
            # The owner before this one told it.
            has_changed = self._record.learn(claim.limit, NO_BASIS)
        if has_changed:
            self._pace(now)
        if has_changed and before is None:
            # Instances count their sends anew each time that a limit begins.
            self._spent.clear()
        self._charge_spent(claim, now)
        return has_changed

    def _pace(self, now: float) -> None:
        """Go on at another limit, with as many sends given out in advance."""
        limit = self._record.limit
        self._ended_at = now if limit is None else None
        ahead = max(0.0, self._next_at - now) / self._gap if self._gap else 0.0
        self._gap = 0.0 if limit is None else 1.0 / limit
        self._next_at = now + min(MOST_DEBT, ahead * self._gap)

    def _charge_spent(self, claim: Claim, now: float) -> None:
        """Take off what was sent without a grant since the last telling."""
        spent = claim.spent - self._spent.get(claim.process, 0)
        self._spent[claim.process] = claim.spent
        if self.limit is not None and spent > 0:
            self.charge(spent, now)

    def charge(self, count: int, now: float) -> None:
        """Take sends off what is given out next."""
        behind = max(self._next_at, now) + count * self._gap / GIVEN_PART
        most = max(MOST_DEBT, BURST * self._gap)
        self._next_at = max(self._next_at, min(behind, now + most))

    def give(
        self, asker: str, number: int, patience: float, part: float, now: float
    ) -> Grant:
        """Give a send out that may begin within ``patience`` seconds.

        The same ask, which comes again where its answer was lost, is given
        the same send.
        """
        known = self._given.get((asker, number))
        if known is not None:
            return Grant(True, max(0.0, known - now))
        delay = self._measure_delay(part, now)
        if delay > min(patience, MOST_PATIENCE):
            return Grant(False, delay)
        self._take(part, now)
        self._remember(asker, number, now + delay, now)
        return Grant(True, delay)

    def _measure_delay(self, part: float, now: float) -> float:
        ahead = (BURST - 1.0) * self._gap / part
        return max(0.0, self._next_at - ahead - now)

    def _take(self, part: float, now: float) -> None:
        self._next_at = max(self._next_at, now) + self._gap / part

    def _remember(self, asker: str, number: int, begins_at: float, now: float) -> None:
        self._given = {
            key: at for key, at in self._given.items() if now - at < ASK_MEMORY
        }
        self._given[asker, number] = begins_at


class Floor:
    """The sends of an instance that hears no owner, at one endpoint.

    All such instances share a part of the limit equally. ``phase``, from 0 to
    1, spreads their first sends, so that they do not all come at once.
    """

    def __init__(self, phase: float, now: float) -> None:
        self._phase = phase
        self._began_at = now
        self._sent_at: float | None = None

    def take(self, limit: float, instances: int, now: float) -> bool:
        """Take a send, if one is due."""
        period = max(1, instances) / (FLOOR_PART * limit)
        due = self._began_at + self._phase * period
        if self._sent_at is not None:
            due = self._sent_at + period
        if now < due:
            return False
        self._sent_at = now
        return True
