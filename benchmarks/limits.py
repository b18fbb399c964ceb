"""Compare ways to keep an endpoint's limit over all instances.

Some instances send calls to one endpoint that names a limit, most of them by a
few instances. Printed is, for each way, size and trouble: the most calls of a
window as a part of what is allowed, the calls let in as a part of the limit
while more is asked for, and the messages a second. The real decisions, on
virtual time.

Run it as ``python -m benchmarks.limits``.
"""

import random
from collections import deque
from collections.abc import Iterator
from typing import NamedTuple, Protocol

from roadlift.decisions.limits import (
    GRANT_TTL,
    LEASED_FRACTION,
    UNLEASED_FRACTION,
    Claim,
    MinimumRate,
    SendLedger,
)
from roadlift.instance.permits import MIN_BACKOFF, UNANSWERED_BACKOFF
from roadlift.instance.sharing import USAGE_REPORT_INTERVAL
from roadlift.organisations.fleet import FleetUse, Use
from roadlift.organisations.shares import AllowanceTolerance, Meter
from roadlift.organisations.sharing import DemandSharing
from roadlift.serving.routes import Allowance
from standins.limits import FACTOR, SLACK, WINDOW

NAME = "e1"
SIZES = (6, 74, 195, 1800)
LIMITS = (0.5, 4.0, 30.0)
LENGTH = 24.0  # Seconds of calls.
ASKED = 3.0  # Requests to an endpoint, in multiples of its limit.
WAY = 0.003  # Seconds of a message's way, through an aggregator.
PATIENCE = 0.25  # Seconds that a call waits for a send.
TURN = 8.0  # Seconds until the trouble begins.
TURN_LENGTH = 8.0


class Trouble(NamedTuple):
    """What goes on from TURN on: parts of instances, and of messages.

    ``cut`` instances hear nobody, ``lost`` messages do not arrive; with
    ``has_two`` the owner that was replaced gives out on without a lease;
    ``late`` instances use what they were given a second later; ``less`` is
    the part to which the limit falls.
    """

    name: str
    cut: float = 0.0
    lost: float = 0.0
    has_two: bool = False
    late: float = 0.0
    less: float = 1.0


TROUBLES = (
    Trouble("calm"),
    Trouble("a fifth of messages lost", lost=0.2),
    Trouble("a third cut off", cut=0.33),
    Trouble("all cut off", cut=1.0),
    Trouble("an owner too many", has_two=True),
    Trouble("a third suspended", late=0.33),
    Trouble("limit falls to a quarter", less=0.25),
)


class Way(Protocol):
    """A way to keep a limit; ``messages`` counts what it sends."""

    messages: int

    def take(self, instance: int, now: float) -> float | None:
        """Return when a call is sent, or None where it is not let in."""

    def set_limit(self, limit: float, now: float) -> None:
        """Go by another limit."""


class EvenWay:
    """Each instance that is known has the same part, and stores no burst."""

    def __init__(self, count: int, limit: float, trouble: Trouble, seed: int) -> None:
        rng = random.Random(seed)
        self._count = count
        self._limit = limit
        self._next = [rng.random() * count / limit for _ in range(count)]
        self.messages = 0

    def set_limit(self, limit: float, now: float) -> None:
        """Spread the parts of the new limit."""
        scale = self._limit / limit
        self._next = [now + max(0.0, at - now) * scale for at in self._next]
        self._limit = limit

    def take(self, instance: int, now: float) -> float | None:
        """Send if this instance's next time has come."""
        if now < self._next[instance]:
            return None
        self._next[instance] = now + self._count / self._limit
        return now


class DemandWay:
    """Parts by demand, as organisations' allowances have them."""

    def __init__(self, count: int, limit: float, trouble: Trouble, seed: int) -> None:
        self._rng = random.Random(seed)
        self._trouble = trouble
        self._bounds = AllowanceTolerance(FACTOR - 1.0, SLACK, WINDOW)
        allowance = Allowance(limit, limit, False, 1)
        self._fleet = FleetUse(self._bounds)
        self._fleet.set_allowances({NAME: allowance})
        self._meters = [Meter(allowance, self._bounds, 0.0) for _ in range(count)]
        self._shares = [DemandSharing() for _ in range(count)]
        self._told_at = [
            self._rng.random() * -USAGE_REPORT_INTERVAL for _ in range(count)
        ]
        self._cut = set(self._rng.sample(range(count), int(count * trouble.cut)))
        self.messages = 0

    def set_limit(self, limit: float, now: float) -> None:
        """Go by another allowance."""
        allowance = Allowance(limit, limit, False, 1)
        self._fleet.set_allowances({NAME: allowance})
        for meter in self._meters:
            meter.allowance = allowance

    def _tell(self, instance: int, now: float) -> None:
        is_lost = is_troubled(now) and (
            instance in self._cut or self._rng.random() < self._trouble.lost
        )
        if now - self._told_at[instance] < USAGE_REPORT_INTERVAL or is_lost:
            return
        self._told_at[instance] = now
        self.messages += 2
        meter = self._meters[instance]
        self._fleet.update_others((), now)
        uses = [Use(NAME, meter.spent, meter.demand.measure(now))]
        self._fleet.record_member(str(instance), 1, uses, now)
        states = self._fleet.describe(str(instance), now)
        self._shares[instance].record_update(states, now)

    def take(self, instance: int, now: float) -> float | None:
        """Send where anything is left of this instance's share."""
        self._tell(instance, now)
        meter = self._meters[instance]
        self._shares[instance].update(NAME, meter, now)
        return None if meter.take(1.0, now) else now


class GivenWay:
    """The owner of the endpoint's zone gives each send out."""

    def __init__(self, count: int, limit: float, trouble: Trouble, seed: int) -> None:
        self._rng = random.Random(seed)
        self._trouble = trouble
        self._count = count
        self._limit = limit
        self._ledger = self._begin(1, limit, 0.0)
        self._former: SendLedger | None = None
        self._floors = [MinimumRate(self._rng.random(), 0.0) for _ in range(count)]
        self._ask_at = [0.0] * count
        sample = self._rng.sample(range(count), count)
        self._cut = set(sample[: int(count * trouble.cut)])
        self._late = set(sample[: int(count * trouble.late)])
        self._numbers = 0
        self.messages = 0

    def _begin(self, fence: int, limit: float, now: float) -> SendLedger:
        ledger = SendLedger(fence, now)
        ledger.apply_claim(Claim("", limit, True, ledger.basis, 0), now)
        return ledger

    def set_limit(self, limit: float, now: float) -> None:
        """Let the owner hear of another limit."""
        self._limit = limit
        self._ledger.apply_claim(Claim("", limit, True, self._ledger.basis, 0), now)

    def _find_ledger(self, instance: int, now: float) -> tuple[SendLedger, float]:
        """Return whom an instance asks, and the part that is given out."""
        if self._trouble.has_two and is_troubled(now):
            if self._former is None:
                self._former = self._ledger
                self._ledger = self._begin(2, self._limit, now)
            if instance % 2:
                return self._former, UNLEASED_FRACTION
        return self._ledger, LEASED_FRACTION

    def take(self, instance: int, now: float) -> float | None:
        """Query the owner, unless none is free yet."""
        if now < self._ask_at[instance]:
            return None
        self._numbers += 1
        is_lost = is_troubled(now) and (
            instance in self._cut or self._rng.random() < self._trouble.lost**3
        )
        if is_lost:
            self.messages += 3
            if self._floors[instance].take(self._limit, self._count, now):
                return now
            self._ask_at[instance] = now + UNANSWERED_BACKOFF
            return None
        self.messages += 4
        ledger, part = self._find_ledger(instance, now)
        grant = ledger.grant(str(instance), self._numbers, PATIENCE, part, now)
        if not grant.is_given:
            pause = max(MIN_BACKOFF, grant.delay - PATIENCE)
            self._ask_at[instance] = now + pause
            return None
        begins_at = now + 2 * WAY + grant.delay
        if not is_troubled(now) or instance not in self._late:
            return begins_at
        # It wakes within a second, and uses what is still in time.
        woken_at = begins_at + self._rng.random()
        return woken_at if woken_at < now + grant.delay + GRANT_TTL else None


WAYS = {"equal parts": EvenWay, "by demand": DemandWay, "given out": GivenWay}


def is_troubled(now: float) -> bool:
    """Return whether the trouble goes on."""
    return TURN <= now < TURN + TURN_LENGTH


class Outcome(NamedTuple):
    """What a way let in: see the module."""

    worst: float
    used: float
    messages: float


def draw_calls(count: int, limit: float, seed: int) -> Iterator[tuple[float, int]]:
    """Yield times and instances; most calls come by a few instances."""
    rng = random.Random(seed)
    clients = [rng.randrange(count) for _ in range(max(4, count // 6))]
    weights = [rng.lognormvariate(0.0, 1.0) for _ in clients]
    at = 0.0
    while (at := at + rng.expovariate(limit * ASKED)) < LENGTH:
        yield at, rng.choices(clients, weights)[0]


def play(
    kind: type[Way], count: int, limit: float, trouble: Trouble, seed: int
) -> Outcome:
    """Play one way under a trouble."""
    way = kind(count, limit, trouble, seed)
    sent = []
    is_less = trouble.less == 1.0
    for at, instance in draw_calls(count, limit, seed):
        if not is_less and at >= TURN:
            is_less = True
            way.set_limit(limit * trouble.less, at)
        begins_at = way.take(instance, at)
        if begins_at is not None:
            sent.append(begins_at)
    worst = _find_worst(sorted(sent), limit, trouble)
    return Outcome(worst, len(sent) / (limit * LENGTH), way.messages / LENGTH)


def _find_worst(sent: list[float], limit: float, trouble: Trouble) -> float:
    """Return the most of a window, as a part of what is allowed."""
    worst = 0.0
    window: deque[float] = deque()
    for at in sent:
        window.append(at)
        while at - window[0] > WINDOW:
            window.popleft()
        part = trouble.less if at >= TURN + WINDOW else 1.0
        allowed = FACTOR * WINDOW * limit * part + SLACK
        worst = max(worst, len(window) / allowed)
    return worst


def main() -> None:
    """Print a table of ways, sizes and troubles."""
    seeds = range(1, 4)
    print(f"{'instances, trouble':34}" + "".join(f"{name:>30}" for name in WAYS))
    print(f"{'':34}" + f"{'worst, used, messages/s':>30}" * len(WAYS))
    for count in SIZES:
        for trouble in TROUBLES:
            cells = ""
            for kind in WAYS.values():
                found = [
                    play(kind, count, limit, trouble, seed)
                    for limit in LIMITS
                    for seed in seeds
                ]
                worst = max(one.worst for one in found)
                used = sum(one.used for one in found) / len(found)
                messages = sum(one.messages for one in found) / len(found)
                cells += f"{worst:>14.2f},{used:>6.2f},{messages:>7.1f}"
            print(f"{count:>5} {trouble.name:28}{cells}")


if __name__ == "__main__":
    main()
