"""Represent a copy of an adapter at an endpoint, and the pins on it."""

import enum
from typing import NamedTuple

from roadlift.ownership.names import CopyName
from roadlift.policy.eviction import ModelUse


class CopyState(enum.Enum):
    """The state of a copy at its endpoint, as far as the owner knows."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"


class Pin(NamedTuple):
    """A holder's pin: the nonce of its request, and its running requests."""

    nonce: int
    running: int


class Copy:
    """A version of an adapter that is loaded at an endpoint."""

    __slots__ = (
        "name",
        "model",
        "epoch",
        "state",
        "since",
        "pins",
        "use",
        "recalled_at",
    )

    def __init__(
        self, name: CopyName, state: CopyState, now: float, use: ModelUse
    ) -> None:
        self.name = str(name)
        self.model = name.model
        self.epoch = name.epoch
        self.state = state
        self.since = now
        self.pins: dict[str, Pin] = {}
        self.use = use
        self.recalled_at: float | None = None

    def enter(self, state: CopyState, now: float) -> None:
        """Change the state, and record the time of the change."""
        self.state = state
        self.since = now

    def count_running(self) -> int:
        """Return the number of running requests that holders last reported."""
        return sum(pin.running for pin in self.pins.values())


def note_pin(pins: dict[str, Pin], holder: str, reported: Pin) -> None:
    """Record a pin that a holder reported, but keep a newer grant's nonce.

    A grant may be in flight when an older report of the holder arrives. If
    the older nonce were stored, a release of the older pin would also remove
    the newer one.
    """
    known = pins.get(holder)
    nonce = max(reported.nonce, known.nonce) if known else reported.nonce
    pins[holder] = Pin(nonce, reported.running)
