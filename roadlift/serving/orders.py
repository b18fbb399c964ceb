"""Describe orders to engines, and what engines report."""

import enum
from collections.abc import Callable
from typing import NamedTuple

from roadlift.serving.calls import Model


class Action(enum.StrEnum):
    """The action that an order requests."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderResult(enum.Enum):
    """The outcome of an order.

    UNKNOWN: it may have been accepted, or may be accepted later.
    NOT_SENT: no byte of it left this process.
    """

    ACCEPTED = "accepted"
    DONE = "done"
    CONFLICT = "conflict"
    FENCED = "fenced"
    WRONG_ENDPOINT = "wrong_endpoint"
    INVALID = "invalid"
    UNKNOWN = "unknown"
    NOT_SENT = "not_sent"


class Order(NamedTuple):
    """One order to an engine.

    ``sequence`` is how many orders the engine must have accepted before;
    ``version`` is that of an adapter, or None for the newest; ``may_send``
    is called right before the first byte is written.
    """

    action: Action
    model: Model
    version: int | None
    sequence: int
    holder: str
    fence: int
    may_send: Callable[[], bool] | None = None


class HeldAdapter(NamedTuple):
    """An adapter at an engine; version 0 means that none was reported."""

    model: Model
    version: int


class EngineReport(NamedTuple):
    """An engine's report on itself, some hundred milliseconds late.

    ``arriving`` are adapters that are being loaded, which occupy slots.
    ``started_at`` distinguishes its runs, in milliseconds, or 0 if unknown.
    """

    sequence: int
    bases: tuple[str, ...]
    held: tuple[HeldAdapter, ...]
    arriving: tuple[HeldAdapter, ...]
    is_busy: bool
    running: int
    waiting: int
    started_at: int = 0
