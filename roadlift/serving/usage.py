"""Count the calls that instances report at an engine."""

from roadlift.serving.calls import Model


class Usage:
    """The running calls on an engine's adapters, and unread prompt tokens."""

    def __init__(self) -> None:
        self._running: dict[Model, dict[str, int]] = {}
        self._reading: dict[str, int] = {}

    def record_running(self, instance: str, model: Model, running: int) -> None:
        """Record how many calls of an instance run on an adapter."""
        counts = self._running.setdefault(model, {})
        if running:
            counts[instance] = running
        else:
            counts.pop(instance, None)
        if not counts:
            del self._running[model]

    def is_running(self, model: Model) -> bool:
        """Return whether a call runs on an adapter."""
        return model in self._running

    def count_used(self) -> int:
        """Return the number of adapters on which calls run."""
        return len(self._running)

    def count_running(self) -> int:
        """Return the number of calls that run, of all instances."""
        return sum(sum(counts.values()) for counts in self._running.values())

    def record_reading(self, instance: str, tokens: int) -> None:
        """Record how many prompt tokens of an instance's calls are unread."""
        if tokens:
            self._reading[instance] = tokens
        else:
            self._reading.pop(instance, None)

    def count_reading(self) -> int:
        """Return the unread prompt tokens of all instances' calls."""
        return sum(self._reading.values())

    def forget_instance(self, instance: str) -> None:
        """Drop the reports of an instance that is gone."""
        self._reading.pop(instance, None)
        for model in list(self._running):
            self.record_running(instance, model, 0)


class Completeness:
    """Tracks the instances whose running calls are all known to an owner.

    Instances number their reports. A lost one may have reported the end of a
    call, whose copy would then count as in use for ever and occupy its slot.
    Two seconds without messages blocked all slots of a small deployment.
    """

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._incomplete: set[str] = set()

    def record(self, instance: str, count: int, is_whole: bool) -> None:
        """Record a report's number, and whether it was a full report."""
        if is_whole:
            self._incomplete.discard(instance)
        elif count != self._counts.get(instance, 0) + 1:
            self._incomplete.add(instance)
        self._counts[instance] = count

    def mark_all_incomplete(self) -> None:
        """Mark all instances as incomplete: reports may have been ignored."""
        self._incomplete |= set(self._counts)

    def is_complete(self, instance: str) -> bool:
        """Return whether all of an instance's running calls are known."""
        return instance not in self._incomplete

    def forget(self, instance: str) -> None:
        """Drop an instance that is gone."""
        self._counts.pop(instance, None)
        self._incomplete.discard(instance)
