"""Share a retry budget among instances that have no common counter.

The deployment may send ``ratio`` retries for each request and ``slack`` more,
in any window. A process uses the ratio of its own requests and its instance's
share of the slack, by the number of instances. Both are reduced by a margin,
for instances that were lost after spending their share, or are cut off.

Load pattern: instances are killed or restarted in series while endpoints fail.
The share of the slack belongs to the instance, and a new process can't know
what the processes before it have used. Until that has left the window, it uses
a smaller share, which grows with its age: the ages of all processes of an
instance within a window add up to a window at most, however many there are.

An answer that has begun is cut if it can't be continued, while the caller of
another call can come back. Answers that have begun may therefore use a part of
the margin that other retries leave.
"""

from collections import deque
from typing import NamedTuple

USED_FRACTION = 0.6  # Fraction of the allowance that is used.
# The same for answers that have begun. If a fifth of the instances stop after
# spending it, the others' shares grow by a quarter, and the sum is 0.96.
BEGUN_FRACTION = 0.8
# The same for all retries of a process in its first window, beside what the
# process before it may have used of the same window.
FIRST_FRACTION = 0.2
BUCKETS = 20  # Buckets of a window in which requests and retries are counted.


class _Bucket:
    __slots__ = ("requests", "retries", "since")

    def __init__(self, since: float) -> None:
        self.since = since
        self.requests = 0
        self.retries = 0


class BudgetUse(NamedTuple):
    """What a process used of a budget in the last window, and may use."""

    requests: int
    retries: int
    allowed: float


class RetryRule(NamedTuple):
    """Retries that all instances may send to a service in any window.

    ``ratio`` is for each request; ``window`` is in seconds.
    """

    ratio: float
    slack: float
    window: float


class WindowBudget:
    """The retries of one process to one service; times are in seconds."""

    def __init__(self, rule: RetryRule, started_at: float) -> None:
        self._rule = rule
        self._started_at = started_at
        self._buckets: deque[_Bucket] = deque()
        self._requests = 0
        self._retries = 0

    def count_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._get_bucket(now).requests += 1
        self._requests += 1

    def spend(self, now: float, instances: int, has_begun: bool = False) -> bool:
        """Consume one retry; False means that none is left.

        ``has_begun`` tells that it continues an answer that has begun.
        """
        bucket = self._get_bucket(now)
        fraction = BEGUN_FRACTION if has_begun else USED_FRACTION
        if self._retries + 1 > self._compute_allowance(now, instances, fraction):
            return False
        bucket.retries += 1
        self._retries += 1
        return True

    def discount_request(self, now: float) -> None:
        """Uncount a request, which another process counts."""
        self._get_bucket(now)
        for bucket in reversed(self._buckets):
            if bucket.requests:
                bucket.requests -= 1
                self._requests -= 1
                return

    def refund(self, now: float) -> None:
        """Return a retry that was consumed and not sent."""
        self._get_bucket(now)
        for bucket in reversed(self._buckets):
            if bucket.retries:
                bucket.retries -= 1
                self._retries -= 1
                return

    def measure(self, now: float, instances: int) -> BudgetUse:
        """Return what was used, and what may be by other retries than cuts."""
        self._get_bucket(now)
        allowed = self._compute_allowance(now, instances, USED_FRACTION)
        return BudgetUse(self._requests, self._retries, allowed)

    def _compute_allowance(self, now: float, instances: int, fraction: float) -> float:
        """Return this process's part of what the deployment may send."""
        earned = self._rule.ratio * self._requests
        slack = self._rule.slack / max(1, instances)
        age = now - self._started_at
        if age > self._rule.window + self._bucket_width:
            return fraction * (earned + slack)
        return FIRST_FRACTION * (earned + slack * age / self._rule.window)

    @property
    def _bucket_width(self) -> float:
        return self._rule.window / BUCKETS

    def _get_bucket(self, now: float) -> _Bucket:
        """Return the current bucket; drop those of which all is too old.

        The last retry of a bucket may be later than its start by its width.
        """
        width, window = self._bucket_width, self._rule.window
        while self._buckets and now - self._buckets[0].since > window + width:
            old = self._buckets.popleft()
            self._requests -= old.requests
            self._retries -= old.retries
        if not self._buckets or now - self._buckets[-1].since >= width:
            self._buckets.append(_Bucket(now))
        return self._buckets[-1]
