"""Share an organisation's allowance among instances without a counter.

Load pattern: calls of one organisation arrive over a few connections, so that
the instances' shares of its usage differ by a factor of ten and more, and
single calls are as large as what an instance's equal share allows in ten
seconds. The allowance holds over all instances, including those that receive
no updates.

Each instance reports its usage to its aggregator, and aggregators report to
each other. While the fleet is well below an organisation's allowance, shares
do not matter: an instance may use what it needs. Once the allowance is nearly
used up, each instance has the share that its own callers request. If the fleet
is not known completely, the same is done among the known instances, for their
fraction of the allowance. An instance that receives no updates keeps to the
share that it had last. One that never received any has a small credit and no
more.

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
# Fraction of the burst that must be left for an organisation to be free. What
# is used until all instances know that it no longer is, about 0.6 s later, is
# a debt.
FREE_FRACTION = 0.5
# Fraction of the slack that is added to bursts: one call may use as much as a
# small allowance grants in a second, and with its burst alone an organisation
# would not be free for seconds after each such call.
EXTRA_BURST_FRACTION = 0.25
# Fraction of the permitted excess that may be used.
USED_EXCESS = 0.7
# Largest debt, in seconds of the rate.
MAX_DEBT = 2.0
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

        What is permitted beyond them is used while more is requested; the rest
        of it is reserved for reports that are on their way.
        """
        return 1.0 + USED_EXCESS * self.over

    @property
    def extra_burst(self) -> float:
        """Return what is added to bursts for single large calls."""
        return self.slack * EXTRA_BURST_FRACTION

    @property
    def credit(self) -> float:
        """Return what an instance may use that has no reports of others."""
        return self.slack / MAX_STARTS


class Share(NamedTuple):
    """What an instance may use of an organisation's allowance from now on.

    ``fraction`` is the instance's part of the rate and the burst; ``level`` is
    what is left to it, below 0 if too much was used. While ``is_free``,
    neither applies.
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
        self._refilled_at = now
        self._is_offline = False
        self.allowance = allowance
        self.share = Share(False, 0.0, 0.0)
        self.demand = Rate(DEMAND_WINDOW, now)
        self.spent = 0.0

    def set_share(self, share: Share, now: float) -> None:
        """Switch to a new share."""
        self._is_offline = False
        self.share = share
        self._level = share.level
        self._refilled_at = now

    def keep_last_share(self, now: float) -> None:
        """Keep to a part of the last share while there are no updates."""
        if not self._is_offline:
            self._is_offline = True
            self._refill(now)
            fraction = self.share.fraction * OFFLINE_FRACTION
            self.share = self.share._replace(is_free=False, fraction=fraction)

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
        rate = self._compute_share(self.allowance.rate)
        max_wait = self._tolerance.window
        wait = -self._level / rate if rate else max_wait
        return min(max_wait, max(MIN_WAIT, wait))

    def spend(self, amount: float) -> None:
        """Count an amount in any case; negative if it was not used."""
        self.spent += amount
        self._level -= amount

    def _compute_share(self, total: float) -> float:
        """Return this instance's share of a rate or burst."""
        return total * self.share.fraction

    def _refill(self, now: float) -> None:
        """Refill up to the share of the burst."""
        gained = self._compute_share(self.allowance.rate) * (now - self._refilled_at)
        burst = self._compute_share(self.allowance.burst + self._tolerance.extra_burst)
        self._level = max(self._level, min(burst, self._level + gained))
        self._refilled_at = now
