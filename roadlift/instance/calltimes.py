"""Measure the time that is left to one call."""

from roadlift.core.clock import Clock
from roadlift.instance.progress import Progress
from roadlift.serving.routes import Route


class CallTimes:
    """The limits of one call; times are in seconds of this process.

    The call is answered by its ``deadline`` at the latest.
    """

    def __init__(
        self, clock: Clock, route: Route, deadline: float, progress: Progress
    ) -> None:
        self._clock = clock
        self._route = route
        self._progress = progress
        self.deadline = deadline

    @property
    def began_at(self) -> float:
        """Return when the call arrived."""
        return self._progress.began_at

    def compute_caller_wait(self) -> float:
        """Return the seconds until the caller disconnects without events."""
        disconnects_at = self.deadline
        if self._route.patience is not None:
            disconnects_at = min(
                disconnects_at, self._progress.last_at + self._route.patience
            )
        return disconnects_at - self._clock.now()

    def compute_time_left(self) -> float:
        """Return the seconds that are left of the call's objective."""
        return self.began_at + self._route.objective - self._clock.now()
