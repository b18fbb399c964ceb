"""Limit the loads of an owner's engines, and estimate their duration."""

FIRST_POLL_DELAY = 0.02  # Seconds after a load order until its first poll.
SMOOTHING = 0.3  # Weight of the latest load in the estimate of load times.
# Factor by which the first poll moves earlier after a load that was already
# done at its first poll.
EARLIER_FACTOR = 0.9
MAX_FIRST_POLL_DELAY = 0.3  # Seconds until the first poll of a load at most.
# Concurrent loads at one engine; further ones would only wait inside it.
MAX_CONCURRENT_LOADS = 4
INITIAL_DURATION = 0.25  # Seconds of a load before any was observed.


def measure_queue(ahead: int, duration: float) -> float:
    """Return the seconds until a further load begins at an engine.

    ``ahead`` is the number of loads there in progress or queued, each of which
    takes ``duration`` seconds.
    """
    return max(0, ahead - MAX_CONCURRENT_LOADS + 1) * duration / MAX_CONCURRENT_LOADS


class BaseLoadLimiter:
    """One owner's share of the weight store's rate limit for base models.

    The platform limits how many loads from the weight store begin within some
    seconds over all engines. Owners share no counter, so each zone's owner
    gets an equal share. ``rate`` is in loads per second, 0 for no limit.
    """

    def __init__(self, rate: float) -> None:
        self._interval = 1.0 / rate if rate > 0 else 0.0
        self.next_at = 0.0

    def acquire(self, now: float) -> bool:
        """Return whether a load may begin now, and count it if so."""
        if now < self.next_at:
            return False
        self.next_at = now + self._interval
        return True


class LoadTimes:
    """Estimates of how long loads take at an owner's engines, in seconds.

    An adapter that the engine held recently is reloaded from its own memory
    much faster than one from the weight store.
    """

    def __init__(self) -> None:
        self._first_polls: dict[bool, float] = {}
        self._duration = INITIAL_DURATION

    @property
    def duration(self) -> float:
        """Return the smoothed duration of recent loads from any source."""
        return self._duration

    def estimate(self, is_reload: bool) -> float:
        """Return the seconds from a load order to its first poll."""
        return self._first_polls.get(is_reload, FIRST_POLL_DELAY)

    def record(self, is_reload: bool, seconds: float, polls: int) -> None:
        """Record the duration of a load, found done after ``polls`` polls.

        If the first poll found it done, it may have ended long before, so the
        next load is polled earlier.
        """
        self._duration += SMOOTHING * (seconds - self._duration)
        if polls <= 1:
            self._first_polls[is_reload] = self.estimate(is_reload) * EARLIER_FACTOR
            return
        first_poll = self._first_polls.get(is_reload, seconds)
        first_poll += SMOOTHING * (seconds - first_poll)
        self._first_polls[is_reload] = min(MAX_FIRST_POLL_DELAY, first_poll)
