"""Ask for one call whether it may go to an endpoint, up to its first byte.

What an endpoint says of itself in answers is kept outside the exchanges, and
asked for here: the owner's agreement where it names a limit, and once more
right before the call is written whether it leaves or wants rest by then.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from roadlift.core.errors import EndpointsResting, LimitReached
from roadlift.core.kernel import Kernel
from roadlift.decisions.limits import NO_BASIS, Basis
from roadlift.instance.adapterwait import COME_BACK
from roadlift.instance.availabilities import Availabilities
from roadlift.instance.limits import EndpointLimits, SendAnswer
from roadlift.instance.permits import PendingPermit, PermitCallbacks, Permits
from roadlift.instance.placing import Placing, Rest
from roadlift.serving.calls import Call, Model
from roadlift.serving.directory import Endpoint

# Part of what is left of a call's objective for which it waits until it may be
# sent: the rest is for its run.
PATIENT_PART = 0.5
MOST_DENIED = 4  # Endpoints that a call asks for a send at most.
LEAST_WAIT = 0.02  # Seconds until a call that waits for a rest's end looks again.
# Seconds within which callers come back that were refused for a rest.
RETURN_SPREAD = 0.5


class Passage(NamedTuple):
    """Whom a gate tells of its steps, and of what came of an ask.

    ``on_open`` is called with the basis of the send; ``on_shut`` where the
    call is to choose again.
    """

    on_step: Callable[..., None]
    on_open: Callable[[Endpoint, Basis], None]
    on_shut: Callable[[], None]


class Gate:
    """The asks of one call; ``denied`` are endpoints without a send for it."""

    def __init__(
        self, kernel: Kernel, call: Call, service: str, passage: Passage
    ) -> None:
        self._clock = kernel.clock
        self._loop = kernel.loop
        self._placing = kernel.get(Placing)
        self._limits = kernel.get(EndpointLimits)
        self._permits = kernel.get(Permits)
        self._standings = kernel.get(Availabilities)
        self._call = call
        self._service = service
        self._passage = passage
        self._waiting: PendingPermit | None = None
        self._basis = NO_BASIS
        self._sent_at = 0.0
        self.denied: set[str] = set()

    def close(self) -> None:
        """Wait for no send any more."""
        if self._waiting is not None:
            self._waiting.close()
            self._waiting = None

    # Before a send.

    def ask(self, endpoint: Endpoint, left: float) -> None:
        """Ask for a send, of a call with ``left`` seconds of its objective."""
        known = self._limits.find(endpoint.id)
        if known is None:
            self._passage.on_open(endpoint, NO_BASIS)
            return
        named = round(self._clock.now() - known.announced_at, 3)
        self._passage.on_step(
            "limit", endpoint=endpoint.id, limit=known.limit, named=named
        )
        outcome = PermitCallbacks(
            lambda basis: self._on_granted(endpoint, basis),
            lambda wait: self._on_denied(endpoint, wait),
        )
        waiting = self._permits.ask(endpoint, max(0.0, left) * PATIENT_PART, outcome)
        if waiting is not None:
            self._waiting = waiting

    @property
    def is_denied_often(self) -> bool:
        """Tell whether the call has asked at as many endpoints as it may."""
        return len(self.denied) >= MOST_DENIED

    def _on_granted(self, endpoint: Endpoint, basis: Basis) -> None:
        self._waiting = None
        if self._placing.holds(endpoint, self._call.model):
            self._passage.on_open(endpoint, basis)
            return
        # The send is lost: kept for another call, it would outlive its time.
        self._passage.on_shut()

    def _on_denied(self, endpoint: Endpoint, wait: float) -> None:
        """Go on elsewhere, as an endpoint's limit is used up."""
        self._waiting = None
        self.denied.add(endpoint.id)
        self._passage.on_step("full", endpoint=endpoint.id, wait=round(wait, 3))
        self._passage.on_shut()

    # Where there is no endpoint.

    def judge_limits(self, draw: float) -> LimitReached | None:
        """Return the refusal of a call that limits leave no room for, or None.

        Its caller comes back when a send may be free, each a little later than
        another by its ``draw`` from 0 to 1.
        """
        wait = self._placing.measure_limit_wait(self._service, self.denied)
        if wait is None:
            return None
        delay = max(COME_BACK, wait) * (1.0 + draw)
        return LimitReached(f"service {self._service}", delay)

    def find_rest(self, model: Model | None) -> Rest | None:
        """Return the first rest to end where all endpoints rest, or None.

        Or, with a ``model``, where those rest that hold it.
        """
        rest = self._placing.find_rest(self._service, model)
        if rest is not None:
            wait = round(rest.seconds, 3)
            self._passage.on_step("rest", endpoint=rest.endpoint.id, wait=wait)
        return rest

    def judge_rest(
        self, rest: Rest, left: float, draw: float
    ) -> EndpointsResting | None:
        """Return the refusal of a call that is late behind a rest, or None.

        It has ``left`` seconds of its objective.
        """
        if rest.seconds <= left * PATIENT_PART:
            return None
        delay = max(COME_BACK, rest.seconds) + draw * RETURN_SPREAD
        return EndpointsResting(f"service {self._service}", delay)

    def await_rest(self, rest: Rest) -> None:
        """Let the call choose again once a rest is over."""
        wait = max(LEAST_WAIT, rest.seconds)
        self._loop.call_later(wait, self._passage.on_shut)

    # A send, and its answer.

    def begin(self, endpoint: Endpoint, basis: Basis) -> None:
        """Count a send on a basis."""
        self._basis = basis
        self._sent_at = self._clock.now()
        self._limits.record_send(endpoint, basis.fence > 0)
        self._standings.record_send(endpoint)

    def may_send(self, endpoint: Endpoint) -> bool:
        """Tell whether the first byte of the call may still be written."""
        return self._standings.may_send(endpoint)

    def is_resting(self, endpoint: Endpoint) -> bool:
        """Tell whether an endpoint wants no calls for a while."""
        return self._standings.is_backing_off(endpoint.id)

    def note_head(
        self,
        endpoint: Endpoint,
        status: int,
        headers: Mapping[str, str],
        has_run: bool,
    ) -> None:
        """Learn from the answer's head, and tell the endpoint's owner."""
        age = self._clock.now() - self._sent_at
        statement = self._standings.note_head(endpoint, status, headers, age)
        answer = SendAnswer(status, statement, has_run, self._basis, age)
        naming = self._limits.record_answer(endpoint, answer)
        if naming is not None:
            self._permits.report_announcement(endpoint, naming)
