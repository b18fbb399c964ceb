"""Decide whether a call whose send failed is sent again.

Load pattern: an endpoint, or all of them, fail some of their calls, and
network paths are cut. A call that did not run may be sent again as long as
time is left; one that may have run, only if it may run twice. Each further
send of a call that was served takes a slot from a first one. In runs in which
errors depended on the call, a quarter of the plain calls that failed at one
endpoint succeeded at another, so they are sent again only while there are
spare slots. The retry budget of the service is checked last, because checking
it spends it.
"""

from collections.abc import Callable
from typing import NamedTuple

from roadlift.core.errors import (
    ConnectionLost,
    EndpointUnreachable,
    Outcome,
    RoadliftError,
)
from roadlift.serving.routes import Route

# Maximum sends of one call, including those that did not run.
MAX_SENDS = 4
# Maximum further sends that reached no endpoint: a network cut removes most of
# a service's endpoints, and each instance notices them one by one.
MAX_UNREACHED = 8
# Seconds that must be left of a call's time to begin a further send.
MIN_TIME_LEFT = 0.02
# The obstacle that passes by itself: the budget of a service refills.
BUDGET_SPENT = "retry budget spent"


class Sends(NamedTuple):
    """The outcome of the sends of a call so far.

    ``unreached`` sends reached no endpoint, including the last one; ``runs``
    of them may have run; ``time_left`` is in seconds. An answer that
    ``has_begun`` can't be continued by another send.
    """

    count: int
    unreached: int
    runs: int
    time_left: float
    has_begun: bool


def correct_error(
    error: RoadliftError, runs: int, unconfirmed: RoadliftError | None
) -> RoadliftError:
    """Return the error of a call as it is true of all of its sends.

    An error promises that the call has not run; ``runs`` of its sends may
    have, of which the last ended as ``unconfirmed`` tells, where it is known.
    """
    if error.outcome is not Outcome.NOT_RUN or not runs:
        return error
    return unconfirmed or ConnectionLost("it was sent before")


def find_obstacle(
    error: RoadliftError,
    route: Route,
    sends: Sends,
    has_spare_slot: Callable[[], bool],
    spend_budget: Callable[[], bool],
) -> str | None:
    """Return why a call is not sent again after an error, or None."""
    if sends.time_left < MIN_TIME_LEFT:
        return "no time left"
    if isinstance(error, EndpointUnreachable):
        # Nothing arrived there, so the next send spends no budget.
        return "unreached too often" if sends.unreached > MAX_UNREACHED else None
    if sends.count - sends.unreached >= MAX_SENDS:
        return "sent too often"
    if error.outcome is not Outcome.NOT_RUN:
        if not route.is_repeatable:
            return "may not run twice"
        if sends.runs >= route.attempts:
            return "all attempts used"
        if not has_spare_slot():
            return "no slot to spare"
    if sends.has_begun:
        return "answer begun"
    return None if spend_budget() else BUDGET_SPENT
