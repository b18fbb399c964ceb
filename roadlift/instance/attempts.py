"""Count the sends of a call, and the retries that they take."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from roadlift.core.errors import EndpointUnreachable, RoadliftError
from roadlift.decisions.resending import Sends, correct_error, find_obstacle
from roadlift.serving.routes import Route


class RetryBudgets(Protocol):
    """The retry budgets of the services."""

    def consume_retry(self, service: str, now: float, has_begun: bool) -> bool:
        """Consume a retry; return False without one.

        ``has_begun`` tells that it continues an answer that has begun.
        """

    def refund_retry(self, service: str, now: float) -> None:
        """Return a retry that was not sent."""


class CallState(NamedTuple):
    """The state of a call when it may be sent again.

    ``time_left`` is in seconds, ``open_sends`` the number of sends that go on.
    An answer that has begun ``can_continue`` if it is a stream of events.
    """

    time_left: float
    open_sends: int
    has_begun: bool
    can_continue: bool
    has_spare_slot: Callable[[], bool]


class Attempts:
    """The sends of one call so far.

    ``runs`` of those that have ended may have run, including those of the
    instance that passed the call on; ``unconfirmed`` is how the last of them
    ended here, or None. ``has_retry`` tells that a retry was taken from the
    budget and has not been sent yet.
    """

    def __init__(
        self, budgets: RetryBudgets, service: str, route: Route, runs: int
    ) -> None:
        self._budgets = budgets
        self._service = service
        self._route = route
        self._unreached = 0
        self._used_retry = False  # Whether the last send took one.
        self.sends = 0
        self.runs = runs
        self.unconfirmed: RoadliftError | None = None
        self.has_retry = False

    def begin(self) -> None:
        """Count a send, which uses the retry that was taken."""
        self.sends += 1
        self._used_retry, self.has_retry = self.has_retry, False

    def record_run(self, error: RoadliftError) -> None:
        """Record that a send which has ended like this may have run."""
        self.runs += 1
        self.unconfirmed = error

    def correct(self, error: RoadliftError) -> RoadliftError:
        """Return an error as it is true of all sends of the call."""
        return correct_error(error, self.runs, self.unconfirmed)

    def return_send(self) -> None:
        """Keep the retry of the last send, of which nothing was written."""
        self.has_retry = self.has_retry or self._used_retry

    def revoke(self) -> None:
        """Uncount the last send, which its endpoint's state has prevented."""
        self.sends -= 1
        self.return_send()

    def take_retry(
        self, error: RoadliftError, state: CallState, now: float
    ) -> str | None:
        """Return why the call is not sent again, or take a retry.

        A send that reached no endpoint takes none.
        """
        is_unreached = isinstance(error, EndpointUnreachable)
        self._unreached += is_unreached
        sends = Sends(
            self.sends,
            self._unreached,
            self.runs + state.open_sends,
            state.time_left,
            state.has_begun and not state.can_continue,
        )
        is_cut = state.has_begun and not state.open_sends
        obstacle = find_obstacle(
            error,
            self._route,
            sends,
            state.has_spare_slot,
            lambda: self._budgets.consume_retry(self._service, now, is_cut),
        )
        if obstacle is None and is_unreached:
            self.return_send()
        elif obstacle is None:
            self.has_retry = True
        return obstacle

    def take_handover(self, now: float) -> bool:
        """Return whether another instance may send a call that was sent here.

        That takes a retry; the other instance counts its first send as none.
        """
        if self.has_retry:
            self.has_retry = False
            return True
        return self._budgets.consume_retry(self._service, now, False)

    def refund(self, now: float) -> None:
        """Return a retry that was taken and not sent to the budget."""
        if self.has_retry:
            self.has_retry = False
            self._budgets.refund_retry(self._service, now)
