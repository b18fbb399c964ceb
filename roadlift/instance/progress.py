"""Record the progress of a call: its steps, its first byte and its pauses."""

from roadlift.serving.routes import Route

MAX_STEPS = 16  # Steps of one call that are kept for the log.


class Progress:
    """The progress of one call since it arrived; times are in seconds."""

    def __init__(self, began_at: float) -> None:
        self.began_at = began_at
        self.steps: list[dict] = []
        self.writes = 0
        self.first_at: float | None = None
        self.last_at = began_at
        self.longest_pause = 0.0

    def record_step(self, now: float, step: str, **fields: object) -> None:
        """Record a step for the log line of the call's end."""
        if len(self.steps) < MAX_STEPS:
            age = round(now - self.began_at, 4)
            self.steps.append({"at": age, "step": step, **fields})

    def record_write(self, now: float) -> None:
        """Record that a part of the answer was written to the caller."""
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_pause = max(self.longest_pause, now - self.last_at)
        self.last_at = now
        self.writes += 1

    def record_complete(self, now: float) -> None:
        """Record that the answer was written in one piece."""
        self.first_at = now

    @property
    def time_to_first_byte(self) -> float | None:
        """Return the seconds from the arrival to the first byte, or None."""
        return None if self.first_at is None else self.first_at - self.began_at

    @property
    def generation_time(self) -> float:
        """Return the seconds from the first write to the last."""
        return self.last_at - self.first_at if self.first_at is not None else 0.0

    def is_late(self, route: Route) -> bool:
        """Return whether the first byte or a later one was too late."""
        first = self.time_to_first_byte
        if first is None or first > route.objective:
            return True
        limit = route.event_interval_objective
        return limit is not None and self.longest_pause > limit
