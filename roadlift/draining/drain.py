"""Drain a process that shuts down, phase by phase.

SIGTERM starts LEAVING: readiness fails and the peers are notified at once, so
that the load balancer and the election of owners exclude this process, while
calls that still arrive in the grace period are served. CLOSED refuses new
calls as not run. The process ends when its last call has ended, no connection
of a caller is left and its endpoints have been taken over, or at the limit,
which cuts what remains and is logged.
"""

import enum
import math

from roadlift.core.clock import Clock


class Phase(enum.IntEnum):
    """Phase of a process's shutdown."""

    SERVING = 0
    LEAVING = 1
    CLOSED = 2
    ENDED = 3


class Drain:
    """The draining of one process; times are in seconds.

    Endpoints that this process owns are waited for at most ten times the
    grace period.
    """

    def __init__(self, clock: Clock, grace: float = 1.0, limit: float = 600.0) -> None:
        self._clock = clock
        self._grace = grace
        self._limit = limit
        self._started_at: float | None = None

    @property
    def is_draining(self) -> bool:
        """Return whether draining has started."""
        return self._started_at is not None

    def start(self) -> None:
        """Start draining; further calls have no effect."""
        if self._started_at is None:
            self._started_at = self._clock.now()

    def compute_time_left(self) -> float:
        """Return the seconds until the limit, infinite before draining."""
        if self._started_at is None:
            return math.inf
        return max(0.0, self._started_at + self._limit - self._clock.now())

    def compute_phase(self, running: int, owned: int) -> Phase:
        """Return the phase, given the running requests and owned endpoints."""
        if self._started_at is None:
            return Phase.SERVING
        age = self._clock.now() - self._started_at
        if age < self._grace:
            return Phase.LEAVING
        is_over = not running and (not owned or age >= self._grace * 10)
        if is_over or age >= self._limit:
            return Phase.ENDED
        return Phase.CLOSED
