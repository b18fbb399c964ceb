"""Measure how much of an engine's time goes into reading prompts.

Load pattern: streams that must not pause for long, on engines that read
prompts in pieces between the tokens of the streams. Each prompt stalls all
streams that run there. An engine that holds what is called most gets several
times as many prompts as others; its streams pause although their first events
come in time. The unread tokens at one moment show this too late: the fraction
of time that the recent prompts take (fill) shows it before.
"""

from roadlift.decisions.rates import Rate

# Window in seconds of the rate of prompts: some tens of calls at an engine,
# and short enough that demand which moves is followed before callers leave.
RATE_WINDOW = 1.5
# Window in seconds of the time that a token takes: engines slow down for
# seconds, and one call says little.
TIME_WINDOW = 5.0


class PrefillLoad:
    """The prompts that all instances send to one engine."""

    def __init__(self, now: float) -> None:
        self._tokens = Rate(RATE_WINDOW, now)
        self._read = Rate(TIME_WINDOW, now)
        self._seconds = Rate(TIME_WINDOW, now)

    def record_sent(self, tokens: float, now: float) -> None:
        """Count the prompt tokens of calls that were sent."""
        self._tokens.note(tokens, now)

    def record_read(self, tokens: float, seconds: float, now: float) -> None:
        """Record that calls had their first event.

        ``tokens`` are those of their prompts and of the prompts ahead of them,
        ``seconds`` the times since they were sent.
        """
        self._read.note(tokens, now)
        self._seconds.note(seconds, now)

    def measure_token_time(self, now: float) -> float:
        """Return the seconds that a prompt token takes; 0 if not known."""
        read = self._read.measure(now)
        return self._seconds.measure(now) / read if read > 0.0 else 0.0

    def measure_fill(self, now: float) -> float:
        """Return the fraction of the time that the recent prompts take."""
        return self._tokens.measure(now) * self.measure_token_time(now)
