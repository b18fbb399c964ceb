"""Account for what is held for callers, and let connections yield.

One account serves all listening addresses of a process. See
roadlift/decisions/yielding.py for what yields, and in which order.
"""

import sys
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from roadlift.core.clock import Clock
from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.core.machine import read_machine
from roadlift.decisions.yielding import (
    PRESSED_PART,
    SMALL_SIZE,
    Holding,
    HoldingLimits,
    choose_yielding,
    compute_limits,
)

LOG_INTERVAL = 10.0  # Seconds between two log lines.
# Seconds, and the part of the amount that is received meanwhile, after which
# connections are asked again where too little could yield.
ASK_INTERVAL = 0.1
ASK_PART = 0.03
# Reasons beside the stages that yield, as metrics and logs name them: too many
# connections, and calls for which there is no room.
CONNECTIONS = "connections"
REFUSED = "refused"

log = ComponentLog("holdings")


class Holder(Protocol):
    """A connection for which something is held."""

    def find_holding(self, now: float) -> "Holding[Holder] | None":
        """Return what may be given up, if anything."""

    def yield_holding(self, holding: "Holding[Holder]") -> None:
        """Give it up."""


class Holdings:
    """The bytes that are held for each connection, and what yielded."""

    def __init__(self, clock: Clock, limits: HoldingLimits) -> None:
        self._clock = clock
        self._sizes: dict[Holder, int] = {}
        self._running: dict[Holder, int] = {}
        self._is_yielding = False
        self._asked_at = float("-inf")
        self._held_when_asked = 0
        self._unlogged: Counter[str] = Counter()
        self._logged_at = float("-inf")
        self.limits = limits
        self.held = 0
        self.running = 0
        self.on_yield: Callable[[str], None] = lambda reason: None

    @property
    def is_pressed(self) -> bool:
        """Return whether slow callers are to get less buffer."""
        return self.held > self.limits.total * PRESSED_PART

    def change(self, holder: Holder, size: int, running: int = 0) -> None:
        """Set the bytes held for a connection, and let others yield.

        ``running`` are those of its call, which does not yield.
        """
        self.held += size - self._sizes.get(holder, 0)
        self.running += running - self._running.get(holder, 0)
        self._sizes[holder] = size
        self._running[holder] = running
        if self.held > self.limits.large:
            self._make_room()

    def remove(self, holder: Holder) -> None:
        """Return all that is held for a connection that is closed."""
        self.held -= self._sizes.pop(holder, 0)
        self.running -= self._running.pop(holder, 0)

    def can_begin(self, size: int, more: int = 0) -> bool:
        """Return whether a call may run, with ``more`` bytes to be held."""
        return self.held + more <= self._get_limit(size)

    def can_ever_begin(self, size: int) -> bool:
        """Return whether a call may run once all that may yield has."""
        return self.running + size <= self._get_limit(size)

    def record(self, reason: str) -> None:
        """Count something that yielded, and log it now and then."""
        self.on_yield(reason)
        self._unlogged[reason] += 1
        now = self._clock.now()
        if now - self._logged_at < LOG_INTERVAL:
            return
        self._logged_at = now
        log.event(
            "callers_yielded",
            reasons=dict(self._unlogged),
            held=self.held,
            most=self.limits.total,
            connections=len(self._sizes),
        )
        self._unlogged.clear()

    def _get_limit(self, size: int) -> int:
        """Return up to what may be held with a call of a size."""
        return self.limits.total if size <= SMALL_SIZE else self.limits.large

    def _may_ask(self, now: float) -> bool:
        """Return whether connections may yield more than the last time."""
        grown = self.held - self._held_when_asked
        is_later = now - self._asked_at >= ASK_INTERVAL
        return is_later or grown >= self.limits.total * ASK_PART

    def _make_room(self) -> None:
        """Let connections yield until what larger calls may take is left."""
        now = self._clock.now()
        if self._is_yielding or not self._may_ask(now):
            return
        self._is_yielding = True
        found = [holder.find_holding(now) for holder in self._sizes]
        holdings = [holding for holding in found if holding is not None]
        for holding in choose_yielding(holdings, self.held, self.limits):
            self.record(holding.stage.name.lower())
            holding.key.yield_holding(holding)
        self._asked_at = now
        self._held_when_asked = self.held
        self._is_yielding = False


def make_unbounded(clock: Clock) -> Holdings:
    """Return an account without limits, for a server of its own."""
    return Holdings(clock, HoldingLimits(sys.maxsize, sys.maxsize, sys.maxsize))


@components.register("callers")
class Callers(Holdings):
    """The account of a process, by the settings and the machine."""

    name = "callers"
    needs = ()

    def __init__(self, kernel: Kernel) -> None:
        settings = kernel.settings
        machine = read_machine(settings.memory_mb, settings.max_descriptors)
        limits = compute_limits(machine.memory, machine.descriptors)
        super().__init__(kernel.clock, limits)

    def start(self) -> None:
        """Log the limits."""
        log.event(
            "holding_limits",
            total=self.limits.total,
            large=self.limits.large,
            connections=self.limits.connections,
        )

    def close(self) -> None:
        """Do nothing; connections return what is held for them."""
