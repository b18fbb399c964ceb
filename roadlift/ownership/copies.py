"""Record a copy of an adapter at an endpoint, and the pins on it."""

import enum
from typing import NamedTuple

from roadlift.ownership.names import CopyName
from roadlift.policy.eviction import ModelUse


class CopyState(enum.Enum):
    """How far a copy is."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"


class Pin(NamedTuple):
    """A holder's pin: the asking it answered and its running requests."""

    nonce: int
    running: int


class Copy:
    """An adapter's version as loaded at the endpoint."""

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
        """Change the state at ``now``."""
        self.state = state
        self.since = now

    def count_running(self) -> int:
        """Return the requests that the holders last reported."""
        return sum(pin.running for pin in self.pins.values())


def note_pin(pins: dict[str, Pin], holder: str, said: Pin) -> None:
    """Take what a holder said of its pin, but keep a newer grant's nonce.

    A grant may be on its way while the holder's older word arrives; with the
    older nonce, giving back the older pin would lose the newer one.
    """
    known = pins.get(holder)
    nonce = max(said.nonce, known.nonce) if known else said.nonce
    pins[holder] = Pin(nonce, said.running)
