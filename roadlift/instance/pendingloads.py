"""Keep the calls that wait for an adapter, and the load requests for them."""

from collections.abc import Callable

from roadlift.decisions.homes import Scope
from roadlift.decisions.placement import Engine, Requirements
from roadlift.decisions.urgency import Urgency
from roadlift.serving.calls import Model
from roadlift.serving.directory import Endpoint


class Waiter:
    """A call that waits for an adapter; ``close`` cancels the wait.

    ``due`` is the time by which the load must start for the call to meet its
    objective, and ``until`` the time by which it must start for the call to be
    served at all. ``hold`` is the number of seconds for which the call will
    occupy an adapter slot; ``requirements`` choose its engine. The caller
    disconnects at ``disconnects_at``; ``on_too_late`` is called with the
    number of seconds after that at which the call would be served at best.
    """

    def __init__(
        self,
        scope: Scope,
        model: Model,
        priority: int,
        due: float,
        until: float,
        hold: float,
        requirements: Requirements,
        on_ready: Callable[[], None],
        on_request: Callable[[Endpoint], None],
        disconnects_at: float,
        on_too_late: Callable[[float], None],
    ) -> None:
        self.scope = scope
        self.model = model
        self.priority = priority
        self.due = due
        self.until = until
        self.hold = hold
        self.requirements = requirements
        self.on_ready = on_ready
        self.on_request = on_request
        self.disconnects_at = disconnects_at
        self.on_too_late = on_too_late
        self.is_open = True
        self._on_release: Callable[[], None] | None = None

    def commit(self, on_release: Callable[[], None]) -> None:
        """Count the call at an engine until ``on_release`` is called."""
        self.release()
        self._on_release = on_release

    def release(self) -> None:
        """Stop counting the call at an engine."""
        on_release, self._on_release = self._on_release, None
        if on_release is not None:
            on_release()

    def close(self) -> None:
        """Cancel the wait."""
        self.is_open = False
        self.release()


class PendingLoad:
    """The calls that wait for one adapter, and the engine to load it.

    ``first_requested_at`` is the time of the first request to that engine, and
    ``requested_at`` the time of the last one.
    """

    def __init__(self, now: float) -> None:
        self.began_at = now
        self.waiters: list[Waiter] = []
        self.first_requested_at = now
        self.requested_at = float("-inf")
        self.endpoint = ""
        self.engine: Engine | None = None
        self.denied: dict[str, float] = {}

    def compute_urgency(self, now: float) -> Urgency:
        """Return the urgency of the load for the calls that wait."""
        open_waiters = [waiter for waiter in self.waiters if waiter.is_open]
        priority = min((waiter.priority for waiter in open_waiters), default=0)
        due = max((waiter.due for waiter in open_waiters), default=now)
        until = max((waiter.until for waiter in open_waiters), default=now)
        hold = max((waiter.hold for waiter in open_waiters), default=0.0)
        hold /= max(1, len(open_waiters))
        return Urgency(priority, due - now, hold, until - now)
