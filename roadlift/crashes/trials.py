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
TRIAL_TIMEOUT = 1.0


class _Trial:
    """The timer of a call that has a trial slot, and who waits for its end."""

    def __init__(self, timer: Timer) -> None:
        self.timer = timer
        self.waiters: list[Callable[[], None]] = []


class TrialSlots:
    """The suspected calls that have a trial slot, by identity."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._trials: dict[bytes, _Trial] = {}

    def begin(self, identity: bytes) -> None:
        """Allocate a trial slot to a call."""
        self.end(identity)
        timer = self._loop.call_later(TRIAL_TIMEOUT, lambda: self.end(identity))
        self._trials[identity] = _Trial(timer)

    def wait(self, identity: bytes, on_free: Callable[[], None]) -> bool:
        """Call ``on_free`` once the slot is free; False if not in use."""
        trial = self._trials.get(identity)
        if trial is None:
            return False
        trial.waiters.append(on_free)
        return True

    def end(self, identity: bytes) -> None:
        """Release a trial slot; without one this does nothing."""
        trial = self._trials.pop(identity, None)
        if trial is None:
            return
        trial.timer.close()
        for waiter in trial.waiters:
            self._loop.call_later(0, waiter)
