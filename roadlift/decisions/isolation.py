"""Suspect that this instance reaches no endpoint, and choose where to check.

Load pattern: a network partition cuts an instance off from all endpoints,
while callers, the store and other instances reach it. Its calls fail or hang
at one endpoint after the other. Signs from calls cost nothing and only raise a
suspicion: connections to several endpoints failed, or nothing was heard since
a call was sent. New connections to endpoints of several zones and services
then tell it from an endpoint, a service or a zone that is down: one that is
accepted clears the suspicion.
"""

from collections import defaultdict
from collections.abc import Iterable
from random import Random

from roadlift.serving.directory import Endpoint

# Seconds without a word of any endpoint, though calls were sent, until it is
# checked whether one can be reached: engines may pause for longer, but seldom
# all of them, and a check costs some connections.
SILENCE_TIMEOUT = 0.5
SILENCE_LIMIT = 1.0  # Seconds without an answer after which none is expected.
FAILURE_WINDOW = 1.0  # Seconds for which a failed connection counts.
MIN_FAILED_ENDPOINTS = 2  # One alone is at fault itself.
# Endpoints that are checked on a suspicion, and those that confirm it. All of
# the second have to fail too, so that lost packets don't isolate an instance.
CHECKED_ENDPOINTS = 3
CONFIRMING_ENDPOINTS = 8


class ReachSigns:
    """What calls tell of whether endpoints are reached; times in seconds."""

    def __init__(self) -> None:
        self._heard_at = float("-inf")
        self._waiting_since: float | None = None
        self._failed_at: dict[str, float] = {}

    def record_sent(self, now: float) -> None:
        """Record that something was sent to an endpoint."""
        if self._waiting_since is None:
            self._waiting_since = now

    def record_heard(self, now: float) -> None:
        """Record that an endpoint answered something."""
        self._heard_at = now
        self._waiting_since = None

    def record_failed(self, endpoint: str, now: float) -> None:
        """Record that a connection to an endpoint failed."""
        self._failed_at[endpoint] = now

    def is_suspicious(self, now: float) -> bool:
        """Return whether it should be checked what can be reached."""
        since = self._waiting_since
        if since is not None and now - since >= SILENCE_TIMEOUT:
            return True
        recent = now - FAILURE_WINDOW
        self._failed_at = {
            endpoint: at for endpoint, at in self._failed_at.items() if at > recent
        }
        return len(self._failed_at) >= MIN_FAILED_ENDPOINTS

    def is_silent(self, now: float) -> bool:
        """Return whether no endpoint has answered anything lately.

        Connections from before a cut may live on; then calls are still served.
        """
        return now - self._heard_at >= SILENCE_LIMIT

    def reset(self) -> None:
        """Forget all signs."""
        self._waiting_since = None
        self._failed_at.clear()


def choose_checked(
    endpoints: Iterable[Endpoint], count: int, rng: Random
) -> list[Endpoint]:
    """Return up to ``count`` endpoints, of many zones and services."""
    groups: dict[tuple[str, str], list[Endpoint]] = defaultdict(list)
    for endpoint in endpoints:
        groups[(endpoint.zone, endpoint.service)].append(endpoint)
    shuffled = list(groups.values())
    rng.shuffle(shuffled)
    for group in shuffled:
        rng.shuffle(group)
    chosen: list[Endpoint] = []
    while len(chosen) < count and any(shuffled):
        for group in filter(None, shuffled):
            chosen.append(group.pop())
    return chosen[:count]
