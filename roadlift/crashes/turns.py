"""Let calls under suspicion run one at a time.

A call that ends engines was seen to come to several instances, and several
times to one, within the 0.1 seconds that an engine lives under it. So of calls
that are the same and under suspicion one runs here at a time, until it brings
an event or ends.
"""

from collections.abc import Callable

from roadlift.core.loop import Loop, Timer

# Seconds that a turn lasts at most: ten times as long as engines were seen to
# live under a call that ends them.
TURN_LIMIT = 1.0


class _Turn:
    """A call that has its turn, and what waits for its end."""

    def __init__(self, timer: Timer) -> None:
        self.timer = timer
        self.waiters: list[Callable[[], None]] = []


class Turns:
    """The calls under suspicion that have their turn, by identity."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._turns: dict[bytes, _Turn] = {}

    def begin(self, identity: bytes) -> None:
        """Give a call its turn."""
        self.end(identity)
        timer = self._loop.call_later(TURN_LIMIT, lambda: self.end(identity))
        self._turns[identity] = _Turn(timer)

    def wait(self, identity: bytes, on_turn: Callable[[], None]) -> bool:
        """Call ``on_turn`` once the turn is over; False if there is none."""
        turn = self._turns.get(identity)
        if turn is None:
            return False
        turn.waiters.append(on_turn)
        return True

    def end(self, identity: bytes) -> None:
        """End a turn; without one this does nothing."""
        turn = self._turns.pop(identity, None)
        if turn is None:
            return
        turn.timer.close()
        for waiter in turn.waiters:
            self._loop.call_later(0, waiter)
