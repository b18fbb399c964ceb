"""Decide how much is held for callers, and what yields where it is too much.

Load pattern: many callers that are each inside the limits of a request, and
together hold more than the machine has: uploads that stop just short of their
end, requests behind one that runs, answers that nobody reads. Limits by piece
do not bound the process, so all that is held for callers is one amount.

What costs its caller least yields first: an upload that has stalled, then one
that arrives, whose callers learn that it has not run; input behind a request
that runs; an answer that is not read. A call that runs and whose answer is
read never yields. Small calls have room that larger ones can't take.
"""

import enum
from collections.abc import Iterable
from typing import Generic, NamedTuple, TypeVar

# Of the machine's memory, what is held for callers: the rest is for what the
# process knows and runs, for other holders of a call, and for the kernel.
HELD_PART = 0.3
LARGE_PART = 0.75  # Of that, what calls above SMALL_SIZE may take.
SMALL_SIZE = 65536  # Bytes of a small call at most.
# Of the amount, what uploads give up beyond what is too much, so that what
# yields is looked for once for many arrivals.
SPARE_PART = 0.1
PRESSED_PART = 0.5  # Of the amount, above which slow callers get less buffer.
STALL_TIME = 1.0  # Seconds without a byte after which a caller has stalled.
LONG_UPLOAD = 10.0  # Seconds after which an upload yields before newer ones.
# Of the machine's memory, what the kernel may keep of input that is not read
# yet, and bytes of that for a connection.
KERNEL_PART = 0.25
RECEIVE_BUFFER = 65536
RESERVED_DESCRIPTORS = 128  # For files, listeners, the store and instances.
MIN_CONNECTIONS = 16

Key = TypeVar("Key")


class HoldingLimits(NamedTuple):
    """Bytes that may be held in all and by large calls, and connections."""

    total: int
    large: int
    connections: int


class Stage(enum.IntEnum):
    """What is held, in the order in which it yields."""

    STALLED_UPLOAD = 0
    LONG_UPLOAD = 1
    UPLOAD = 2
    INPUT_BEHIND = 3
    STALLED_ANSWER = 4
    SLOW_ANSWER = 5


class Holding(NamedTuple, Generic[Key]):
    """What may be given up of a connection; ``rank`` orders a stage."""

    key: Key
    stage: Stage
    rank: float
    size: int


def compute_limits(memory: int, descriptors: int) -> HoldingLimits:
    """Return the limits of a machine with bytes of memory and descriptors.

    A call at an endpoint takes a second descriptor, so that callers may have
    half of those that are not reserved. The kernel receives for connections
    that the process has not read yet.
    """
    total = int(memory * HELD_PART)
    connections = min(
        (descriptors - RESERVED_DESCRIPTORS) // 2,
        int(memory * KERNEL_PART) // RECEIVE_BUFFER,
    )
    return HoldingLimits(
        total, int(total * LARGE_PART), max(MIN_CONNECTIONS, connections)
    )


def judge_upload(
    key: Key, size: int, now: float, began_at: float, last_byte_at: float
) -> Holding[Key]:
    """Return the holding of a request that is not complete.

    Of those that have stalled the largest yields first, of those that take
    long the oldest, and of the others the newest.
    """
    if now - last_byte_at >= STALL_TIME:
        return Holding(key, Stage.STALLED_UPLOAD, -size, size)
    if now - began_at >= LONG_UPLOAD:
        return Holding(key, Stage.LONG_UPLOAD, began_at, size)
    return Holding(key, Stage.UPLOAD, -began_at, size)


def judge_answer(key: Key, size: int, now: float, last_byte_at: float) -> Holding[Key]:
    """Return the holding of an answer that waits to be read."""
    is_stalled = now - last_byte_at >= STALL_TIME
    stage = Stage.STALLED_ANSWER if is_stalled else Stage.SLOW_ANSWER
    return Holding(key, stage, -size, size)


def choose_yielding(
    holdings: Iterable[Holding[Key]], held: int, limits: HoldingLimits
) -> list[Holding[Key]]:
    """Return what yields where ``held`` bytes are held.

    Uploads yield until large calls have some room. What costs its caller more
    yields only where the whole amount is passed.
    """
    goal = limits.large - int(limits.total * SPARE_PART)
    chosen: list[Holding[Key]] = []
    for holding in sorted(holdings, key=lambda one: (one.stage, one.rank)):
        if holding.stage > Stage.UPLOAD:
            goal = limits.total
        if held <= goal:
            break
        chosen.append(holding)
        held -= holding.size
    return chosen
