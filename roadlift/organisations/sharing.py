"""Two ways to share an organisation's allowance among instances.

``EvenSharing`` needs only the number of instances; ``DemandSharing`` uses the
sums of the aggregators.
"""

from collections.abc import Callable, Iterable
from typing import Protocol

from roadlift.organisations.fleet import FleetState
from roadlift.organisations.shares import STATE_MAX_AGE, Meter, Share


class Sharing(Protocol):
    """How an instance gets its share of an organisation's allowance."""

    def update(self, name: str, meter: Meter, now: float) -> None:
        """Apply the share that is in force now, before a call is checked."""


class EvenSharing:
    """Give each known instance the same share, whatever the demand."""

    def __init__(self, count_instances: Callable[[], int]) -> None:
        self._count_instances = count_instances

    def update(self, name: str, meter: Meter, now: float) -> None:
        """Set an equal share if the number of instances has changed."""
        fraction = 1.0 / max(1, self._count_instances())
        if meter.share.fraction != fraction:
            meter.set_share(Share(False, fraction, 0.0), now)


class DemandSharing:
    """Use the aggregator's last report for as long as it is valid."""

    def __init__(self) -> None:
        self._states: dict[str, FleetState] = {}
        self._pending: set[str] = set()
        self._known_at = float("-inf")

    @property
    def known_at(self) -> float:
        """Return as of when the states are known, in local seconds."""
        return self._known_at

    def record_update(self, states: Iterable[FleetState], asked_at: float) -> None:
        """Apply the answer to a report that was sent at ``asked_at``.

        An aggregator that has just begun, and has not received the reports of
        the others, speaks for no part of the allowances: it knows less than
        the last answer said.
        """
        states = list(states)
        if asked_at < self._known_at or any(one.fraction <= 0.0 for one in states):
            return
        self._known_at = asked_at
        self._states = {state.name: state for state in states}
        self._pending = set(self._states)

    def update(self, name: str, meter: Meter, now: float) -> None:
        """Set the share from the states; without any, keep the last one."""
        if now - self._known_at > STATE_MAX_AGE:
            meter.keep_last_share(now)
            return
        state = self._states.get(name)
        if state is None:
            # An organisation that is not listed is free.
            if not meter.share.is_free:
                meter.set_share(meter.share._replace(is_free=True), now)
        elif name in self._pending:
            self._pending.discard(name)
            meter.set_share(_compute_share(state, meter, now), now)


def _compute_share(state: FleetState, meter: Meter, now: float) -> Share:
    """Return an instance's share by its local demand."""
    local = meter.demand.measure(now)
    weight = local / max(local, state.demand) if local else 0.0
    unreported = meter.spent - state.counted
    return Share(
        state.is_free, weight * state.fraction, weight * state.level - unreported
    )
