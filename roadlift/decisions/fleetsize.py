"""Decide among how many instances to divide what none of them can count.

Load pattern: instances end and start again in series, alone or all at once,
and are cut off from each other. Who has just begun to count knows a part of
the instances, and a process that has just started knows of no other one. Each
would take a larger share than its own, while the processes before it, or those
from which it receives nothing, have used theirs.

So a count is used only if one was received from the owners of all zones, as
each of them counts the instances that reach it. A count that falls is used
only after the time in which what was used by the larger one still counts.
Until the first count, a process assumes that it is one of very many.
"""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

# At least as many instances as any deployment has.
ASSUMED_INSTANCES = 2000
# Seconds for which the count of a zone's owner is current: several of its
# liveness signals, so that one that is lost changes nothing.
COUNT_TTL = 2.0


class _Count(NamedTuple):
    """A count of instances, and when it was received."""

    instances: int
    received_at: float


class FleetSize:
    """The number of instances, as reported by owners or by an aggregator.

    ``retention`` is how many seconds a count is used that was followed by a
    smaller one.
    """

    def __init__(self, zones: Iterable[str], retention: float) -> None:
        self._zones = frozenset(zones)
        self._retention = retention
        self._by_zone: dict[str, _Count] = {}
        self._instances = 0
        self._former: deque[_Count] = deque()

    def record_zone(self, zone: str, instances: int, now: float) -> None:
        """Record how many instances reach the owner of a zone."""
        self._by_zone[zone] = _Count(instances, now)
        counts = [
            count.instances
            for name, count in self._by_zone.items()
            if name in self._zones and now - count.received_at <= COUNT_TTL
        ]
        if len(counts) == len(self._zones):
            self._record(max(counts), now)

    def record_total(self, instances: int, now: float) -> None:
        """Record an aggregator's count; 0 means that it has none."""
        if instances > 0:
            self._record(instances, now)

    def _record(self, instances: int, now: float) -> None:
        if instances < self._instances:
            self._former.append(_Count(self._instances, now))
        self._instances = instances

    def get_known(self, now: float) -> int:
        """Return the number to share with, or 0 without a count."""
        while self._former and now - self._former[0].received_at > self._retention:
            self._former.popleft()
        return max([self._instances, *(count.instances for count in self._former)])

    def get(self, now: float) -> int:
        """Return the number of instances to share with."""
        return self.get_known(now) or ASSUMED_INSTANCES
