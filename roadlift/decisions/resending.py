"""Decide whether a call whose send failed is sent again.

Load pattern: an endpoint, or all of them, fail a part of their calls, and
paths are cut. What did not run may be sent again wherever time is left; what
may have run only if the call may run twice. Each further send of what was
served takes a slot from a first one: of plain calls that failed at one
endpoint, a quarter succeeded at another where errors went with the call, so
they are sent again only while slots are to spare. The budget of the service
is asked last, as asking spends it.
"""

from collections.abc import Callable
from typing import NamedTuple

from roadlift.core.errors import EndpointUnreachable, Outcome, RoadliftError
from roadlift.serving.routes import Route

# Sends of one call at most, those included that did not run.
MOST_SENDS = 4
# Sends that reached no endpoint, beside those: a cut takes most of a service's
# endpoints away, and each instance learns of them one by one.
MOST_UNREACHED = 8
# Seconds of a call's time below which no further send is begun.
LEAST_TIME = 0.02


class Sends(NamedTuple):
    """What became of the sends of a call so far.

    ``unreached`` reached no endpoint, the last one included, ``runs`` may
    have run; ``time_left`` is in seconds; an answer that ``has_begun`` can't
    be gone on with by another send.
    """

    count: int
    unreached: int
    runs: int
    time_left: float
    has_begun: bool


def find_obstacle(
    error: RoadliftError,
    route: Route,
    sends: Sends,
    has_spare_slot: Callable[[], bool],
    spend_budget: Callable[[], bool],
) -> str | None:
    """Return why a call is not sent again behind an error, or None."""
    if sends.time_left < LEAST_TIME:
        return "no time left"
    if isinstance(error, EndpointUnreachable):
        # Nothing arrived there, so no budget is spent on the next send.
        return "unreached too often" if sends.unreached > MOST_UNREACHED else None
    if sends.count - sends.unreached >= MOST_SENDS:
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
    return None if spend_budget() else "retry budget spent"
