"""Watch, on the runners' side, whether the limits that they name are kept."""

from bisect import bisect_right
from typing import NamedTuple

WINDOW = 4.0  # Seconds in which calls are counted.
FACTOR = 1.5  # How many times its limit a runner may get in a window.
SLACK = 5  # Calls that it may get beside that.
# Seconds behind the first naming from which all have to keep to it.
CONTACT = 3.0


class Excess(NamedTuple):
    """A window that ends at ``at`` with more calls than are allowed.

    ``late`` of them came since the limit was named, ``since`` seconds ago.
    """

    at: float
    runner: str
    calls: int
    allowed: float
    since: float
    late: int


class _Naming(NamedTuple):
    """What a runner names from a time on; None for no limit."""

    at: float
    limit: float | None


class LimitWatch:
    """The calls that came to runners, and the limits that these named.

    Whoever sends them: a caller that was not told counts as well.
    """

    def __init__(self) -> None:
        self._calls: dict[str, list[float]] = {}
        self._namings: dict[str, list[_Naming]] = {}

    def note_call(self, runner: str, now: float) -> None:
        """Count a call that came."""
        self._calls.setdefault(runner, []).append(now)

    def note_naming(self, runner: str, limit: float | None, now: float) -> None:
        """Learn what a runner names from now on."""
        self._namings.setdefault(runner, []).append(_Naming(now, limit))

    def list_excess(self) -> list[Excess]:
        """Return the windows in which a runner got too many calls."""
        found = []
        for runner in self._namings:
            for at in self._calls.get(runner, ()):
                binding = self._find_binding(runner, at)
                if binding is None:
                    continue
                first, limit = binding
                calls = self.count_calls(runner, at - WINDOW, at)
                allowed = limit * WINDOW * FACTOR + SLACK
                late = self.count_calls(runner, max(first, at - WINDOW), at)
                excess = Excess(at, runner, calls, allowed, at - first, late)
                found += [excess] if calls > allowed else []
        return found

    def count_calls(self, runner: str, since: float, until: float) -> int:
        """Return the calls that came behind a time and up to another."""
        calls = self._calls.get(runner, [])
        return bisect_right(calls, until) - bisect_right(calls, since)

    def _find_binding(self, runner: str, at: float) -> _Naming | None:
        """Return the limit that binds in the window up to a time, or None.

        It is as of when one was named first; where it changed meanwhile, that
        is the largest.
        """
        first = None
        limits: list[_Naming] = []
        for naming in self._namings[runner]:
            if naming.at > at:
                break
            if naming.limit is None:
                first, limits = None, []
                continue
            first = naming.at if first is None else first
            limits.append(naming)
        if first is None or at < first + CONTACT:
            return None
        ends = [*(one.at for one in limits[1:]), at]
        within = zip(limits, ends, strict=True)
        largest = max(one.limit for one, end in within if end >= at - WINDOW)
        return _Naming(first, largest)
