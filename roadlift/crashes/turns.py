"""Run suspected calls one at a time.

A call that crashes engines was seen to arrive at several instances, and
several times at one, within the 0.1 seconds that an engine survives it.
Therefore of identical suspected calls only one runs here at a time, until it
produces an event or ends.
"""

from collections.abc import Callable

from roadlift.core.loop import Loop, Timer

# Seconds after which a trial slot is released: ten times as long as engines
# were seen to survive a call that crashes them.
TURN_LIMIT = 1.0


class _Turn:
    """The timer of a call that has a trial slot, and who waits for its end."""

    def __init__(self, timer: Timer) -> None:
        self.timer = timer
        self.waiters: list[Callable[[], None]] = []


class Turns:
    """The suspected calls that have a trial slot, by identity."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._turns: dict[bytes, _Turn] = {}

    def begin(self, identity: bytes) -> None:
        """Allocate a trial slot to a call."""
        self.end(identity)
        timer = self._loop.call_later(TURN_LIMIT, lambda: self.end(identity))
        self._turns[identity] = _Turn(timer)

    def wait(self, identity: bytes, on_turn: Callable[[], None]) -> bool:
        """Call ``on_free`` once the slot is free; False if not in use."""
        turn = self._turns.get(identity)
        if turn is None:
            return False
        turn.waiters.append(on_turn)
        return True

    def end(self, identity: bytes) -> None:
        """Release a trial slot; without one this does nothing."""
        turn = self._turns.pop(identity, None)
        if turn is None:
            return
        turn.timer.close()
        for waiter in turn.waiters:
            self._loop.call_later(0, waiter)
