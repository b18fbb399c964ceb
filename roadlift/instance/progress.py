"""Follow how a call comes on: its decisions, its first byte and its pauses."""

from roadlift.serving.routes import Route

MOST_STEPS = 16  # Decisions of one call that are kept for the logs.


class Progress:
    """What became of one call since it came; times are in seconds."""

    def __init__(self, began_at: float) -> None:
        self.began_at = began_at
        self.steps: list[dict] = []
        self.writes = 0
        self.first_at: float | None = None
        self.last_at = began_at
        self.longest_pause = 0.0

    def note_step(self, now: float, step: str, **fields: object) -> None:
        """Keep a decision for the line that the call's end may write."""
        if len(self.steps) < MOST_STEPS:
            age = round(now - self.began_at, 4)
            self.steps.append({"at": age, "step": step, **fields})

    def note_write(self, now: float) -> None:
        """Learn that a part of the answer was written to the caller."""
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_pause = max(self.longest_pause, now - self.last_at)
        self.last_at = now
        self.writes += 1

    def note_whole(self, now: float) -> None:
        """Learn that the answer was written at once."""
        self.first_at = now

    @property
    def first_after(self) -> float | None:
        """Return the seconds from the call to the first byte, or None."""
        return None if self.first_at is None else self.first_at - self.began_at

    @property
    def generation(self) -> float:
        """Return the seconds from the first write to the last."""
        return self.last_at - self.first_at if self.first_at is not None else 0.0

    def is_late(self, route: Route) -> bool:
        """Tell whether the first byte, or one behind it, came too late."""
        first = self.first_after
        if first is None or first > route.objective:
            return True
        most = route.event_interval_objective
        return most is not None and self.longest_pause > most
