"""Control whether one call may be sent to an endpoint, up to its first byte.

The state that endpoints report in their answers is kept outside the exchanges
and queried here: an endpoint with a rate limit requires a permit from its
owner, one that bears few rejections a free slot, and right before the call is
written it is checked once more whether the endpoint is draining or backing off
by then.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from roadlift.core.errors import EndpointsResting, LimitReached
from roadlift.core.kernel import Kernel
from roadlift.core.loop import Timer
from roadlift.decisions.limits import NO_BASIS, Basis
from roadlift.instance.adapterwait import DEFAULT_RETRY_AFTER
from roadlift.instance.availabilities import Availabilities
from roadlift.instance.callscope import CallScope
from roadlift.instance.candidates import Backoff, Candidates
from roadlift.instance.limits import EndpointLimits, SendAnswer
from roadlift.instance.permits import PendingPermit, PermitCallbacks, Permits
from roadlift.instance.slots import EndpointSlots, PendingSlot, SlotCallbacks
from roadlift.serving.calls import Call, Model
from roadlift.serving.directory import Endpoint

# Fraction of the time left of a call's objective for which it waits until it
# may be sent; the rest is reserved for its run.
MAX_WAIT_FRACTION = 0.5
# Seconds for which a call with a permit waits for a slot: permits expire.
MAX_SLOT_WAIT = 0.1
MAX_DENIALS = 4  # Endpoints at which a call requests a permit at most.
# Minimum seconds until a call that waits for the end of a backoff checks
# again.
MIN_BACKOFF_WAIT = 0.02
# Seconds over which the retries of callers that were refused because of a
# backoff are distributed.
RETRY_JITTER = 0.5


class GateCallbacks(NamedTuple):
    """Callbacks of a gate.

    ``on_step`` logs a step of the call; ``on_permitted`` is called with the
    basis of the permitted send, and ``on_choose_again`` when the call has to
    choose another endpoint.
    """

    on_step: Callable[..., None]
    on_permitted: Callable[[Endpoint, Basis], None]
    on_choose_again: Callable[[], None]


class SentCall(NamedTuple):
    """A call that is sent to an endpoint, the permit's basis, and when."""

    endpoint: Endpoint
    basis: Basis
    at: float


class Gate:
    """The permits of one call; ``denied`` holds endpoints that denied one."""

    def __init__(
        self, kernel: Kernel, call: Call, scope: CallScope, callbacks: GateCallbacks
    ) -> None:
        self._clock = kernel.clock
        self._loop = kernel.loop
        self._candidates = kernel.get(Candidates)
        self._limits = kernel.get(EndpointLimits)
        self._permits = kernel.get(Permits)
        self._standings = kernel.get(Availabilities)
        self._call = call
        self._scope = scope
        self._callbacks = callbacks
        self._slots = kernel.get(EndpointSlots)
        self._permit_wait: PendingPermit | None = None
        self._slot_wait: PendingSlot | None = None
        self._backoff_timer: Timer | None = None
        self.denied: set[str] = set()

    @property
    def is_open(self) -> bool:
        """Return whether a permit or a slot is requested now."""
        return self._permit_wait is not None or self._slot_wait is not None

    def close(self) -> None:
        """Cancel a pending permit request, or the wait for a backoff."""
        if self._backoff_timer is not None:
            self._backoff_timer.close()
            self._backoff_timer = None
        if self._permit_wait is not None:
            self._permit_wait.close()
            self._permit_wait = None
        if self._slot_wait is not None:
            self._slot_wait.close()
            self._slot_wait = None

    # Before a send

    def request_permit(self, endpoint: Endpoint, time_left: float) -> None:
        """Request a permit; ``time_left`` is what the objective leaves."""
        max_wait = max(0.0, time_left) * MAX_WAIT_FRACTION
        known = self._limits.find(endpoint.id)
        if known is None:
            self._request_slot(endpoint, max_wait, NO_BASIS)
            return
        seconds_since = round(self._clock.now() - known.announced_at, 3)
        self._callbacks.on_step(
            "limit", endpoint=endpoint.id, limit=known.limit, named=seconds_since
        )
        outcome = PermitCallbacks(
            lambda basis: self._on_granted(endpoint, max_wait, basis),
            lambda wait: self._on_denied(endpoint, wait),
        )
        permit_wait = self._permits.ask(endpoint, max_wait, outcome)
        if permit_wait is not None:
            self._permit_wait = permit_wait

    @property
    def has_reached_max_denials(self) -> bool:
        """Return whether as many endpoints as allowed denied a permit."""
        return len(self.denied) >= MAX_DENIALS

    def _on_granted(self, endpoint: Endpoint, max_wait: float, basis: Basis) -> None:
        self._permit_wait = None
        self._request_slot(endpoint, min(max_wait, MAX_SLOT_WAIT), basis)

    def _request_slot(self, endpoint: Endpoint, max_wait: float, basis: Basis) -> None:
        """Request a slot of an endpoint that bears few rejections."""
        outcome = SlotCallbacks(
            lambda: self._on_ready(endpoint, basis),
            lambda wait: self._on_denied(endpoint, wait),
        )
        slot_wait = self._slots.ask(endpoint, max_wait, outcome)
        if slot_wait is not None:
            self._slot_wait = slot_wait
            self._callbacks.on_step("slot", endpoint=endpoint.id)

    def _on_ready(self, endpoint: Endpoint, basis: Basis) -> None:
        self._slot_wait = None
        if self._candidates.accepts(endpoint, self._call.model):
            self._callbacks.on_permitted(endpoint, basis)
            return
        # The permit is discarded: it would expire before another call used it.
        self._callbacks.on_choose_again()

    def _on_denied(self, endpoint: Endpoint, wait: float) -> None:
        """Choose again, as this endpoint takes no more calls now."""
        self._permit_wait = self._slot_wait = None
        self.denied.add(endpoint.id)
        self._callbacks.on_step("full", endpoint=endpoint.id, wait=round(wait, 3))
        self._callbacks.on_choose_again()

    # Without an available endpoint

    def check_limits(self, draw: float) -> LimitReached | None:
        """Return an error if rate limits leave no room, or None.

        The caller is told to retry when a send may be available, with jitter
        by its ``draw`` from 0 to 1.
        """
        wait = self._candidates.compute_limit_wait(self._scope.current, self.denied)
        if wait is None:
            return None
        delay = max(DEFAULT_RETRY_AFTER, wait) * (1.0 + draw)
        return LimitReached(f"service {self._scope.current.service}", delay)

    def find_backoff(self, model: Model | None) -> Backoff | None:
        """Return the backoff that ends first if all back off, or None.

        With a ``model``, only the endpoints that hold it count.
        """
        backoff = self._candidates.find_backoff(self._scope.current, model)
        if backoff is not None:
            wait = round(backoff.seconds, 3)
            self._callbacks.on_step("rest", endpoint=backoff.endpoint.id, wait=wait)
        return backoff

    def check_backoff(
        self, backoff: Backoff, time_left: float, draw: float
    ) -> EndpointsResting | None:
        """Return an error if a backoff delays the call too long, or None.

        The call has ``time_left`` seconds of its objective.
        """
        if backoff.seconds <= time_left * MAX_WAIT_FRACTION:
            return None
        delay = max(DEFAULT_RETRY_AFTER, backoff.seconds) + draw * RETRY_JITTER
        return EndpointsResting(f"service {self._scope.current.service}", delay)

    def await_backoff(self, backoff: Backoff) -> None:
        """Let the call choose again when a backoff has ended."""
        wait = max(MIN_BACKOFF_WAIT, backoff.seconds)
        self._backoff_timer = self._loop.call_later(
            wait, self._callbacks.on_choose_again
        )

    # Sends and their answers

    def begin(self, endpoint: Endpoint, basis: Basis) -> SentCall:
        """Count a send on the given basis."""
        self._limits.record_send(endpoint, basis.fence > 0)
        self._standings.record_send(endpoint)
        return SentCall(endpoint, basis, self._clock.now())

    def end(self, sent: SentCall, has_run: bool) -> None:
        """Let other calls use the slot of a send that is over."""
        seconds = self._clock.now() - sent.at
        self._slots.record_end(sent.endpoint, seconds, has_run)

    def may_send(self, endpoint: Endpoint) -> bool:
        """Return whether the first byte of the call may still be written."""
        return self._standings.may_send(endpoint)

    def is_backing_off(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint has requested a backoff that lasts."""
        return self._standings.is_backing_off(endpoint.id)

    def record_head(
        self,
        sent: SentCall,
        status: int,
        headers: Mapping[str, str],
        has_run: bool,
    ) -> None:
        """Update the endpoint's state by an answer; notify its owner."""
        endpoint, age = sent.endpoint, self._clock.now() - sent.at
        statement = self._standings.note_head(endpoint, status, headers, age)
        answer = SendAnswer(status, statement, has_run, sent.basis, age)
        announcement = self._limits.record_answer(endpoint, answer)
        if announcement is not None:
            self._permits.report_announcement(endpoint, announcement)
