"""Keep the slots of one endpoint that a process leases."""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from roadlift.core.loop import Timer
from roadlift.decisions.slots import SlotLease
from roadlift.serving.directory import Endpoint

# Seconds for which a lease holds after the owner's last reply: less than the
# owner keeps it without a claim.
LEASE_VALIDITY = 1.5


class SlotCallbacks(NamedTuple):
    """Callbacks with the result of a request for a slot.

    ``on_granted`` is called where the call may be sent at once, ``on_denied``
    with the seconds until a slot may be free.
    """

    on_granted: Callable[[], None]
    on_denied: Callable[[float], None]


class PendingSlot:
    """A call that waits for a slot, at most until ``until``."""

    def __init__(self, until: float, callbacks: SlotCallbacks) -> None:
        self.until = until
        self.timer: Timer | None = None
        self._callbacks: SlotCallbacks | None = callbacks

    @property
    def is_open(self) -> bool:
        """Return whether the call still waits."""
        return self._callbacks is not None

    def close(self) -> None:
        """Stop waiting."""
        self._callbacks = None
        if self.timer is not None:
            self.timer.close()

    def grant(self) -> None:
        """Let the call be sent, if it still waits."""
        callbacks = self._callbacks
        self.close()
        if callbacks is not None:
            callbacks.on_granted()

    def deny(self, delay: float) -> None:
        """Let the call choose another endpoint, if it still waits."""
        callbacks = self._callbacks
        self.close()
        if callbacks is not None:
            callbacks.on_denied(delay)


class SlotUse:
    """The slots of one endpoint at this process, and who waits for one."""

    def __init__(self, endpoint: Endpoint, running: int, now: float) -> None:
        self.endpoint = endpoint
        # Calls that were sent before the endpoint was known to be brittle.
        self.lease = SlotLease(0, running, False, 0.0, 0.0)
        self.expires_at = now + LEASE_VALIDITY
        self.used_at = now
        self.free_at = now
        self.unanswered_until = float("-inf")
        self.duration = 0.0
        self.rejections = 0
        self.waiting: deque[PendingSlot] = deque()
        self.attempts = 0
        self.timer: Timer | None = None
        self.idle_timer: Timer | None = None

    def close(self) -> None:
        """Stop the timers."""
        for timer in (self.timer, self.idle_timer):
            if timer is not None:
                timer.close()
        self.timer = self.idle_timer = None

    def drop_closed(self) -> None:
        """Drop the calls that don't wait any longer."""
        if any(not one.is_open for one in self.waiting):
            self.waiting = deque(one for one in self.waiting if one.is_open)
