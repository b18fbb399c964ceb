"""Keep which adapters were denied, so that the same ones are not denied again.

Load pattern: the number of requested loads always exceeds what the engines can
perform. Each call starts its own series of load requests. Without a record of
denials, an adapter with few calls may be denied for each of them while other
adapters are loaded again and again.
"""

from collections import OrderedDict

from roadlift.serving.calls import Model

MAX_ADAPTERS = 4096  # Adapters of one owner.
# Seconds after the last denial from which nobody waits for an adapter.
RETENTION = 15.0


class Denials:
    """The times of the first and the last denial of each adapter."""

    def __init__(self) -> None:
        self._times: OrderedDict[Model, tuple[float, float]] = OrderedDict()

    def note(self, model: Model, now: float) -> None:
        """Record that an adapter was denied."""
        self._times[model] = self.find_since(model, now), now
        self._times.move_to_end(model)
        if len(self._times) > MAX_ADAPTERS:
            self._times.popitem(last=False)

    def find_since(self, model: Model, now: float) -> float:
        """Return when an adapter was first denied; ``now`` if never."""
        first, last = self._times.get(model, (now, now))
        return first if now - last <= RETENTION else now

    def forget(self, model: Model) -> None:
        """Drop the record of an adapter that is now loaded."""
        self._times.pop(model, None)
