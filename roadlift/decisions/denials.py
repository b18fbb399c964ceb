"""Remember which adapters were denied, so that the same are not denied again.

Load pattern: more loads are asked for than engines bring, all the time. Each
call's asking begins anew, so that an adapter whose calls are few may be denied
with each of them while others are loaded again and again.
"""

from collections import OrderedDict

from roadlift.serving.calls import Model

MOST_REMEMBERED = 4096  # Adapters of one owner.
# Seconds behind the last denial at which an adapter is asked for by nobody.
MEMORY = 15.0


class Denials:
    """Since when adapters are denied, and when they were last."""

    def __init__(self) -> None:
        self._times: OrderedDict[Model, tuple[float, float]] = OrderedDict()

    def note(self, model: Model, now: float) -> None:
        """Learn that an adapter is denied."""
        self._times[model] = self.find_since(model, now), now
        self._times.move_to_end(model)
        if len(self._times) > MOST_REMEMBERED:
            self._times.popitem(last=False)

    def find_since(self, model: Model, now: float) -> float:
        """Return since when an adapter waits; ``now`` if it was not denied."""
        first, last = self._times.get(model, (now, now))
        return first if now - last <= MEMORY else now

    def forget(self, model: Model) -> None:
        """Learn that an adapter is there."""
        self._times.pop(model, None)
