"""Remember when endpoints last survived calls with parts of prompts.

Load pattern: evidence against a part arrives from other instances, or seconds
after the crash, while calls that share the part run on at other endpoints. A
crash is refuted by a later survival, in whatever order the two become known.
"""

from collections import OrderedDict

# Parts that are remembered: those of the calls of the time that evidence takes
# to arrive.
MAX_SURVIVALS = 4096


class Survivals:
    """The time of the last survival of each part, in seconds."""

    def __init__(self) -> None:
        self._times: OrderedDict[bytes, float] = OrderedDict()

    def record(self, part: bytes, now: float) -> None:
        """Record that an endpoint has survived a call with a part."""
        self._times[part] = now
        self._times.move_to_end(part)
        if len(self._times) > MAX_SURVIVALS:
            self._times.popitem(last=False)

    def find(self, part: bytes) -> float | None:
        """Return when an endpoint last survived a part, or None."""
        return self._times.get(part)
