"""Share an organisation's allowance out among instances without a counter.

Load pattern: calls of one organisation come by a few connections, so that the
instances' parts of its use differ by a factor of ten and more, and single
calls are as large as what an instance's equal part has room for in ten
seconds. The allowance holds over all instances, also those that hear nothing.

Each instance tells its aggregator what it used, and aggregators tell each
other. While the fleet is well below an organisation's allowance, nobody asks
whose part it is: an instance may use what it needs. Once the allowance is
nearly used up, each has the part that its own callers ask for. Where the
fleet is not known whole, the same goes on within the instances that are, for
their part of the allowance; and an instance that hears nobody keeps to the
part that it had last. One that never heard has a small credit and no more.

Equal parts would serve those of an organisation's callers alone who are spread
evenly.
"""

from typing import NamedTuple

from roadlift.decisions.rates import Rate
from roadlift.serving.routes import Allowance

# Seconds over which a demand is taken: long enough for a few calls of one
# organisation at one instance, short enough to follow a burst of some seconds.
DEMAND_SPAN = 2.0
# Seconds behind the last news in which they stand: three periods of telling.
NEWS_LIMIT = 0.8
# What an instance that hears nobody may use of its part: others may have
# begun to ask for more meanwhile.
KEPT_PART = 0.8
# Part of the burst that must be left for an organisation to be free. What is
# used until all know that it is not any more, some 0.6 s later, is owed then.
FREE_PART = 0.5
# Part of the slack that is added to bursts: one call may use as much as a
# small allowance has in a second, and with its burst alone an organisation is
# not free for seconds behind each.
LUMP_PART = 0.25
# Seconds of the rate that may be owed at most.
MOST_DEBT = 2.0
# Instances that may start within one window, each with its credit, while the
# credits stay within what the deployment allows beside the rate.
CREDITS = 128


class Limits(NamedTuple):
    """What a deployment allows beside rates and bursts.

    ``over`` is the part by which they may be passed, ``slack`` an amount,
    ``window`` the seconds in which use is counted.
    """

    over: float = 0.0
    slack: float = 0.0
    window: float = 8.0

    @property
    def factor(self) -> float:
        """Return by what allowances are multiplied where all are heard.

        Half of what they may be passed by is kept for news on their way.
        """
        return 1.0 + self.over / 2

    @property
    def lump(self) -> float:
        """Return what is added to bursts for single large calls."""
        return self.slack * LUMP_PART

    @property
    def credit(self) -> float:
        """Return what an instance may use that has not heard of others."""
        return self.slack / CREDITS


class Share(NamedTuple):
    """What an instance may use of an organisation's allowance from now on.

    ``part`` of the rate and the burst is the instance's; ``level`` is what
    is left to it, below 0 where too much was used. While ``is_free``, it
    need not keep to them.
    """

    is_free: bool
    part: float
    level: float


class Meter:
    """What an instance uses of one organisation's allowance.

    ``spent`` only grows, but for what is given back.
    """

    def __init__(self, allowance: Allowance, limits: Limits, now: float) -> None:
        self._limits = limits
        self._level = limits.credit
        self._advanced_at = now
        self.allowance = allowance
        self.share = Share(False, 0.0, 0.0)
        self.demand = Rate(DEMAND_SPAN, now)
        self.spent = 0.0

    def set_share(self, share: Share, now: float) -> None:
        """Go on with a share."""
        self.share = share
        self._level = share.level
        self._advanced_at = now

    def keep_part(self, now: float) -> None:
        """Go on with the part that was told last, as nothing is told now."""
        if self.share.is_free:
            self._advance(now)
            part = self.share.part * KEPT_PART
            self.share = self.share._replace(is_free=False, part=part)

    def take(self, amount: float, now: float) -> float:
        """Take an amount and return 0, or the seconds until there is room.

        A call is let in while anything is left, and may leave a debt: else a
        large one would never be.
        """
        self.demand.note(amount, now)
        self._advance(now)
        if self.share.is_free or self._level > 0:
            self.spend(amount)
            return 0.0
        rate = self._measure(self.allowance.rate)
        longest = self._limits.window
        return min(longest, -self._level / rate) if rate else longest

    def spend(self, amount: float) -> None:
        """Count what is used in any case, or, below 0, was not after all."""
        self.spent += amount
        self._level -= amount

    def _measure(self, whole: float) -> float:
        """Return this instance's part of a rate or burst."""
        return whole * self.share.part

    def _advance(self, now: float) -> None:
        """Let the level rise up to the part of the burst."""
        gained = self._measure(self.allowance.rate) * (now - self._advanced_at)
        burst = self._measure(self.allowance.burst + self._limits.lump)
        self._level = max(self._level, min(burst, self._level + gained))
        self._advanced_at = now
