"""Provide the runtime's clock, which tests can pause and advance.

Every timeout, lease and heartbeat reads this clock and never the wall clock,
so that a step of the wall clock can't shorten or extend one. It includes the
time for which the machine is suspended, as the store and all other instances
do: a lease that expired during a suspension is over. A wait of the event loop
does not count suspended time, so it may last up to one second after the
machine resumes; decisions taken then use this clock. The wall clock is used
only for logs and for the kernel's ``started_at_ms``.
"""

import time
from typing import Protocol


class Clock(Protocol):
    """A source of monotonic seconds."""

    def now(self) -> float:
        """Return monotonic seconds since an arbitrary origin."""


class BootClock:
    """The clock of a running process."""

    def now(self) -> float:
        """Return the seconds since the machine booted.

        time.monotonic excludes suspended time: an owner that was suspended
        for 10 seconds considered its lease of 7 seconds still valid, and sent
        orders at the same time as the instance that had acquired the lease.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """A clock that is paused until a test advances it."""

    def __init__(self, start: float = 0.0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the seconds to which the clock was advanced."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward by ``seconds``."""
        self._now += seconds
