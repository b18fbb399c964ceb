"""Decide whether calls may go to an endpoint, from what it announced.

Load pattern: endpoints that shut down soon, before the list can show it, and
endpoints that reject callers and request that each sends nothing for some
seconds (back-off). An endpoint with a drain notice gets no further calls,
except that calls which no other endpoint can run still go there for a while,
as it continues to serve them. One that requested a back-off gets nothing for
that time, and then a slow start: a single call at once, and one more for each
call that is not rejected. If all callers came back at once when the back-off
ends, the endpoint would only request the next one.
"""

# Fraction of the time for which a draining endpoint accepts calls in which it
# gets those that no other can run: the rest of it is for their runs, and for
# the time since other instances received its drain notice.
LAST_RESORT_FRACTION = 0.5
# Seconds without a rejection after which a call counts as accepted: an
# endpoint rejects calls at once.
TRIAL_TIME = 0.25
# Calls at once after a back-off at which its slow start is over.
MAX_TRIALS = 16
# Jitter of a back-off, as a fraction of it and in seconds at most: an instance
# extends its back-off by up to this, so that not all come back at the same
# moment.
JITTER_FRACTION = 0.25
MAX_JITTER = 1.0
# Longest back-off in seconds: if the endpoint announced an implausible number,
# one call an hour shows whether it still requests a back-off.
MAX_BACKOFF = 3600.0


class EndpointAvailability:
    """What one run of an endpoint announced to this instance."""

    def __init__(self) -> None:
        self.drain_notice_at: float | None = None
        self.backoff_until = float("-inf")
        self._max_trials = MAX_TRIALS
        self._trials: list[float] = []  # Times of sends without an answer yet.

    def record_drain_notice(self, now: float) -> bool:
        """Record a drain notice; return whether it is the first."""
        is_new = self.drain_notice_at is None
        if is_new:
            self.drain_notice_at = now
        return is_new

    def record_backoff(self, seconds: float, draw: float, now: float) -> bool:
        """Record a requested back-off; return whether it ends later now.

        ``draw``, from 0 to 1, is this instance's random number for the jitter.
        """
        seconds = min(MAX_BACKOFF, seconds)
        until = now + seconds + draw * min(MAX_JITTER, JITTER_FRACTION * seconds)
        is_longer = until > self.backoff_until
        self.backoff_until = max(self.backoff_until, until)
        self._max_trials = 1
        self._trials.clear()
        return is_longer

    def record_send(self, now: float) -> None:
        """Count a send; during a slow start it is a trial."""
        if self._max_trials < MAX_TRIALS:
            self._trials.append(now)

    def record_accepted(self, sent_at: float) -> None:
        """Record that a call sent at a time was not rejected.

        A call that was sent before the back-off says nothing about it.
        """
        if sent_at >= self.backoff_until and self._trials:
            self._trials.pop(0)
            self._max_trials += 1

    def measure_backoff(self, now: float) -> float:
        """Return the seconds until a call may be tried there."""
        if now < self.backoff_until:
            return self.backoff_until - now
        while self._trials and now - self._trials[0] >= TRIAL_TIME:
            self.record_accepted(now)
        if len(self._trials) < self._max_trials:
            return 0.0
        return self._trials[0] + TRIAL_TIME - now

    def is_last_resort(self, drain: float, now: float) -> bool:
        """Return whether it drains and still accepts what no other can run.

        ``drain`` is the number of seconds for which a draining endpoint
        accepts calls.
        """
        if self.drain_notice_at is None:
            return False
        return now - self.drain_notice_at < LAST_RESORT_FRACTION * drain

    def may_send(self, drain: float, now: float) -> bool:
        """Return whether a call that was placed there may still be sent."""
        is_left = self.drain_notice_at is not None and not self.is_last_resort(
            drain, now
        )
        return now >= self.backoff_until and not is_left
