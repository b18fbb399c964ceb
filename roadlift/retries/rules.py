"""Allow a retry if it can't run a request twice, within a budget.

An attempt that provably did not run may be repeated for any request. One whose
outcome is unknown, or that failed, may be repeated only for an idempotent
request of whose answer the caller has received no byte.
"""

from roadlift.core.errors import Outcome, RoadliftError


def may_retry(error: RoadliftError, idempotent: bool, answered: bool) -> bool:
    """Return whether a request may be tried again after ``error``.

    ``answered`` means that the caller has received a part of the answer.
    """
    if answered:
        return False
    return error.outcome is Outcome.NOT_RUN or idempotent


_ROUNDING = 1e-9  # Ten tenths of a retry are one, whatever their sum is.


# Retries that a process has as it starts. What it may save up is earned first:
# a process that is restarted in series would have it again each time.
INITIAL_SAVED = 1.0


class RetryBudget:
    """Retries as a fraction of the requests, so that they can't multiply load.

    Each request earns ``share`` of a retry; at most ``max_saved`` are saved
    up.
    """

    def __init__(self, share: float = 0.1, max_saved: float = 20.0) -> None:
        self._share = share
        self._max_saved = max_saved
        self._saved = min(INITIAL_SAVED, max_saved)

    def earn(self) -> None:
        """Count a request."""
        self._saved = min(self._max_saved, self._saved + self._share)

    def spend(self) -> bool:
        """Consume one retry; False means that none is left."""
        if self._saved < 1.0 - _ROUNDING:
            return False
        self._saved -= 1.0
        return True
