"""Count the calls that are open at endpoints, by when they were sent."""

from collections import defaultdict
from collections.abc import Hashable


class OpenCalls:
    """The open calls of this process, by endpoint; times in seconds."""

    def __init__(self) -> None:
        self._sent_at: dict[str, dict[Hashable, float]] = defaultdict(dict)

    def begin(self, endpoint: str, call: Hashable, now: float) -> None:
        """Record a call that is sent to an endpoint."""
        self._sent_at[endpoint][call] = now

    def end(self, endpoint: str, call: Hashable) -> None:
        """Record that a call is over; an unknown one is ignored."""
        calls = self._sent_at.get(endpoint, {})
        calls.pop(call, None)
        if not calls:
            self._sent_at.pop(endpoint, None)

    def count(self, endpoint: str, before: float = float("inf")) -> int:
        """Return how many open calls were sent there before a time."""
        calls = self._sent_at.get(endpoint, {})
        return sum(at < before for at in calls.values())
