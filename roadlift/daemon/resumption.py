"""Decide when a cut stream is resumed, and until when that is tried."""

from roadlift.core.errors import (
    ConnectionRefused,
    InvalidRequest,
    RefusedByEndpoint,
    RoadliftError,
)

MIN_RETRY_BACKOFF = 0.05  # Seconds before the second try; doubled each time.
MAX_RETRY_BACKOFF = 1.0
_UNKNOWN_STREAM = 404


def is_final(error: RoadliftError, status: int) -> bool:
    """Return whether an engine will not resume a stream later either.

    A process that exited has no listener and has lost its streams; one that
    does not know a stream, or rejects the request itself, does so each time.
    ``status`` is that of the answer, or 0.
    """
    if isinstance(error, RefusedByEndpoint):
        return status == _UNKNOWN_STREAM
    return isinstance(error, ConnectionRefused | InvalidRequest)


class Resumption:
    """The tries to resume one stream; times are in seconds.

    Each new event that a try brings starts a new ``wait``.
    """

    def __init__(self, wait: float) -> None:
        self._wait = wait
        self._last_id = ""
        self._until = 0.0
        self._backoff = 0.0
        self.tries = 0  # Since the last event.

    def plan(self, last_id: str, now: float) -> float | None:
        """Return the seconds until the next try, or None if time is up.

        ``last_id`` is the id of the last event that the caller has.
        """
        if last_id != self._last_id:
            self._last_id = last_id
            self._until = now + self._wait
            self._backoff = 0.0
            self.tries = 0
        delay = self._backoff
        if not self.may_wait(delay, now):
            return None
        self._backoff = min(MAX_RETRY_BACKOFF, max(MIN_RETRY_BACKOFF, 2 * delay))
        self.tries += 1
        return delay

    def may_wait(self, seconds: float, now: float) -> bool:
        """Return whether there is time for a try after some seconds."""
        return now + seconds < self._until
