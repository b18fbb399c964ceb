"""Bring a leaving process to its end, step by step.

SIGTERM starts LEAVING: readiness fails and the peers are told at once, so
that the balancer and the owners' election pass this process over, while the
calls that still arrive in the grace are served. CLOSED refuses new calls as
not run. The process ends when its last stream has ended and its endpoints
have been taken over, or at the limit, which cuts what is left and is logged.
"""

import enum

from roadlift.core.clock import Clock


class Phase(enum.IntEnum):
    """How far a process is on its way out."""

    SERVING = 0
    LEAVING = 1
    CLOSED = 2
    ENDED = 3


class Drain:
    """The way out of one process; times are in seconds."""

    def __init__(self, clock: Clock, grace: float = 1.0, limit: float = 600.0) -> None:
        self._clock = clock
        self._grace = grace
        self._limit = limit
        self._since: float | None = None

    @property
    def is_leaving(self) -> bool:
        """Tell whether the process was told to leave."""
        return self._since is not None

    def start(self) -> None:
        """Begin to leave; a second time does nothing."""
        if self._since is None:
            self._since = self._clock.now()

    def measure_phase(self, running: int, owned: int) -> Phase:
        """Return the phase, from the running requests and owned endpoints."""
        if self._since is None:
            return Phase.SERVING
        age = self._clock.now() - self._since
        if age < self._grace:
            return Phase.LEAVING
        is_over = not running and (not owned or age >= self._grace * 10)
        if is_over or age >= self._limit:
            return Phase.ENDED
        return Phase.CLOSED
