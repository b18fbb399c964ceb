"""Share an organisation's allowance among instances without a counter.

Load pattern: calls of one organisation arrive over a few connections, so that
the instances' shares of its usage differ by a factor of ten and more, and
single calls are as large as what an instance's equal share allows in ten
seconds. The allowance holds over all instances, including those that receive
no updates.

What an organisation may use is counted over a window of some seconds, and in
the long run it is the rate: what was left unused in some seconds is there in
the next. Each instance reports
its usage to its aggregator, and aggregators report to each other. While much
of the window's allowance is left, shares do not matter: an instance may use
what it needs. Then each instance has the share that its own callers request
of what is left, at a pace that slows down as less is left. If the fleet is not
known completely, the same is done among the known instances, for their
fraction of the allowance. An instance that receives no updates keeps to the
share of the rate that it had last. One that never received any has a small
credit and no more.

Equal shares would only serve organisations whose callers are spread evenly.
"""

from typing import NamedTuple

from roadlift.decisions.rates import Rate
from roadlift.serving.routes import Allowance

# Window in seconds of the mean demand: long enough for a few calls of one
# organisation at one instance, short enough to follow a burst of some seconds.
DEMAND_WINDOW = 2.0
# Seconds after which a received state is no longer used: three report
# intervals.
STATE_MAX_AGE = 0.8
# Fraction of its share that an instance without updates may use: the demand of
# others may have grown in the meantime.
OFFLINE_FRACTION = 0.8
# Seconds of the rate that must be left of the window for an organisation to be
# free: until all instances know that it no longer is, about 0.6 s later, a hot
# organisation uses several times its rate.
FREE_TIME = 2.5
# Seconds in which what is left would be used up at the pace at which it is
# used then: longer than reports take, so that little is used beyond it.
PACE_TIME = 0.5
# Fraction of the rate over a window that an organisation may use in addition
# to its burst if it left as much unused before. In the long run it may use its
# rate.
CARRY_FRACTION = 0.25
MAX_DEBT = 2.0  # Largest debt, in seconds of the rate.
# Largest pace, in times the rate: where a process does not know what was used
# before it started, it was not much more than the rate.
MAX_PACE = 1.5
# Seconds of its pace that an instance may use at once.
PACE_BURST_TIME = 0.5
# Fraction of the slack that is added to the window: one call may use as much
# as a small allowance grants in a second.
EXTRA_BURST_FRACTION = 0.25
MIN_WAIT = 0.01  # Seconds; a wait of 0 means that a call was admitted.
# Instances that may start within one window, each with its credit, while the
# credits stay within what the deployment allows beyond the rate.
MAX_STARTS = 128


class AllowanceTolerance(NamedTuple):
    """What a deployment allows beyond rates and bursts.

    ``over`` is the fraction by which they may be exceeded, ``slack`` an
    amount, ``window`` the seconds in which usage is counted.
    """

    over: float = 0.0
    slack: float = 0.0
    window: float = 8.0

    @property
    def factor(self) -> float:
        """Return the factor for allowances when all instances report.

        Most of the permitted excess is reserved for reports that are on their
        way, and for instances that get none.
        """
        return 1.0 + self.over / 4

    def compute_capacity(self, allowance: Allowance) -> float:
        """Return what may be used in a window if all instances report."""
        total = allowance.rate * self.window + allowance.burst
        return total * self.factor + self.slack * EXTRA_BURST_FRACTION

    def compute_burst(self, allowance: Allowance) -> float:
        """Return what may be used at once after a time of little use."""
        carried = CARRY_FRACTION * allowance.rate * self.window
        return allowance.burst + carried + self.slack * EXTRA_BURST_FRACTION

    @property
    def credit(self) -> float:
        """Return what an instance may use that has no reports of others."""
        return self.slack / MAX_STARTS


class Share(NamedTuple):
    """What an instance may use of an organisation's allowance from now on.

    ``fraction`` is the instance's part of the rate; ``level`` is its part of
    what is left in the window. While ``is_free``, neither applies.
    """

    is_free: bool
    fraction: float
    level: float


class Meter:
    """What an instance uses of one organisation's allowance.

    ``spent`` only grows, except for what is released.
    """

    def __init__(
        self, allowance: Allowance, tolerance: AllowanceTolerance, now: float
    ) -> None:
        self._tolerance = tolerance
        self._level = tolerance.credit
        self._pace = 0.0
        self._refilled_at = now
        self.allowance = allowance
        self.share = Share(False, 0.0, 0.0)
        self.demand = Rate(DEMAND_WINDOW, now)
        self.spent = 0.0

    def set_share(self, share: Share, now: float) -> None:
        """Switch to a new share."""
        self._refill(now)
        if self.share.is_free:
            self._level = min(0.0, self._level)
        self.share = share
        self._pace = max(0.0, share.level) / PACE_TIME

    def keep_last_share(self, now: float) -> None:
        """Keep to the last share while there are no updates."""
        fraction = self.share.fraction * OFFLINE_FRACTION
        share = self.share._replace(is_free=False)
        self.set_share(share, now)
        self._pace = self.allowance.rate * fraction

    def take(self, amount: float, now: float) -> float:
        """Consume an amount and return 0, or return the seconds to wait.

        A call is admitted while anything is left, and may leave a debt:
        otherwise a large one would never be admitted.
        """
        self.demand.note(amount, now)
        self._refill(now)
        if self.share.is_free or self._level > 0:
            self.spend(amount)
            return 0.0
        max_wait = self._tolerance.window
        wait = -self._level / self._pace if self._pace else max_wait
        return min(max_wait, max(MIN_WAIT, wait))

    def spend(self, amount: float) -> None:
        """Count an amount in any case; negative if it was not used."""
        self.spent += amount
        if not self.share.is_free:
            self._level -= amount

    def _refill(self, now: float) -> None:
        """Refill at the pace, up to what may be used at once."""
        gained = self._pace * (now - self._refilled_at)
        burst = self._pace * PACE_BURST_TIME
        self._level = max(self._level, min(burst, self._level + gained))
        self._refilled_at = now
