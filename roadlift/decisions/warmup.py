"""Decide until when an endpoint counts as cold.

Load pattern: endpoints that have just started, or come back together with
their zone, take few calls a second and crash well above that, while callers
that were sent elsewhere all want to come back. Such an endpoint is limited to
its service's cold rate over all instances, like one that announces a rate
limit; unlike that, the limit ends by itself.
"""

from collections.abc import Collection

# Fraction of the cold rate that is granted. What an owner grants in a second
# and in the lifetime of a grant, what a former owner grants and what instances
# send that reach no owner stay together below one and a half times the rate,
# where an endpoint is at risk.
GRANTED_FRACTION = 0.75
# Seconds in which the endpoints of a zone count as cold after the zone's
# evacuation: the interval of heartbeats, their delay, and a read and relay of
# the list of endpoints. Then their entries show whether they are.
RETURN_TIME = 3.0
# Longest time in seconds for which an endpoint counts as cold by one report:
# an endpoint that reports an implausible time is not limited for ever.
MAX_COLD_TIME = 60.0


def compute_cold_limit(cold_rate: float) -> float:
    """Return the calls a second that all instances together may send."""
    return GRANTED_FRACTION * cold_rate


class ColdEndpoints:
    """Until when endpoints are cold, by their reports, in seconds."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}
        self._reported: dict[str, float] = {}

    def record_entry(self, endpoint: str, cold_time: float, now: float) -> None:
        """Record the cold time in an endpoint's entry of the list.

        The same entry may be received again later, and then is as old as
        before; each heartbeat of a cold endpoint has another time.
        """
        if self._reported.get(endpoint, 0.0) != cold_time:
            self._reported[endpoint] = cold_time
            self.record_answer(endpoint, cold_time, now)

    def record_answer(self, endpoint: str, cold_time: float, now: float) -> None:
        """Record the cold time that an endpoint reports now."""
        self._until[endpoint] = now + min(MAX_COLD_TIME, cold_time)

    def record_return(self, endpoint: str, now: float) -> None:
        """Record that an endpoint's zone is no longer evacuated."""
        until = max(self._until.get(endpoint, now), now + RETURN_TIME)
        self._until[endpoint] = until

    def get_end(self, endpoint: str) -> float:
        """Return until when an endpoint is cold; it may be in the past."""
        return self._until.get(endpoint, float("-inf"))

    def forget(self, known: Collection[str]) -> None:
        """Drop the endpoints that no longer exist."""
        for times in (self._until, self._reported):
            for endpoint in set(times) - set(known):
                del times[endpoint]
