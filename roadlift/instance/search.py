"""Search for the endpoint that one call is sent to."""

from collections.abc import Callable, Iterable
from typing import Protocol

from roadlift.core.errors import NoEndpoint, RoadliftError
from roadlift.core.kernel import Kernel
from roadlift.core.loop import Timer
from roadlift.crashes.ledger import CrashLedger
from roadlift.decisions.limits import Basis
from roadlift.decisions.loading import AdapterSource
from roadlift.instance.access import Authorization
from roadlift.instance.adapterwait import (
    DEFAULT_RETRY_AFTER,
    AdapterWait,
    WaitCallbacks,
)
from roadlift.instance.callscope import CallScope
from roadlift.instance.calltimes import CallTimes
from roadlift.instance.candidates import Candidates
from roadlift.instance.crashes import CrashMonitor
from roadlift.instance.follower import Follower
from roadlift.instance.gate import Gate, GateCallbacks
from roadlift.instance.knowledge import OWNER_RETURN_TIMEOUT, Knowledge
from roadlift.instance.placement import Placement
from roadlift.serving.calls import Call, Model
from roadlift.serving.directory import Endpoint
from roadlift.serving.identity import identify_load
from roadlift.serving.routes import Route

# Seconds after which a caller may retry if no owner may send orders: a large
# part of the time in which another instance takes over.
NO_OWNER_RETRY_DELAY = 1.0
OWNER_POLL_INTERVAL = 0.05  # Seconds between checks for an owner that is expected.
# Seconds until endpoints that have all rejected a call are tried once more.
SECOND_ROUND_DELAY = 0.05


class SearchOwner(Protocol):
    """The call that an endpoint is searched for."""

    call: Call
    route: Route

    @property
    def is_patient(self) -> bool:
        """Return whether the call gains nothing by a refusal and a retry."""

    @property
    def needs_endpoint(self) -> bool:
        """Return whether the call has not ended, and no current send."""

    def list_kept(self) -> set[str]:
        """Return the endpoints that have the call and do not respond."""

    def pass_on(self) -> bool:
        """Forward the call if no endpoint is reached; tell if it was."""

    def identify(self) -> bytes:
        """Return the identity of the call's work."""

    def identify_parts(self) -> tuple[bytes, ...]:
        """Return the identities of the parts that its prompt may share."""

    def begin_send(self, endpoint: Endpoint, basis: Basis) -> None:
        """Send the call to an endpoint, on the basis of a permit."""

    def fail(self, error: RoadliftError) -> None:
        """Handle that no endpoint was found."""

    def record_step(self, step: str, **fields: object) -> None:
        """Record a step for the log line of the call's end."""


class EndpointSearch:
    """The search of one call: what is excluded, awaited and permitted."""

    def __init__(
        self,
        kernel: Kernel,
        owner: SearchOwner,
        authorization: Authorization,
        scope: CallScope,
        times: CallTimes,
        sample_jitter: Callable[[], float],
    ) -> None:
        self._loop = kernel.loop
        self._owner = owner
        self._call = owner.call.drop_body()
        self._route = owner.route
        self._authorization = authorization
        self._scope = scope
        self._times = times
        self._sample_jitter = sample_jitter
        self._placement = kernel.get(Placement)
        self._candidates = kernel.get(Candidates)
        self._knowledge = kernel.get(Knowledge)
        self._follower = kernel.get(Follower)
        self._crashes = kernel.get(CrashMonitor)
        self._ledger = kernel.get(CrashLedger)
        self._excluded: set[str] = set()
        self._is_second_round = False
        self._is_admitted = False
        self._timer: Timer | None = None
        self.adapter_wait = AdapterWait(
            kernel,
            self._call,
            owner.route,
            scope,
            times.began_at,
            WaitCallbacks(owner.record_step, self.try_send, owner.fail),
        )
        self.gate = Gate(
            kernel,
            self._call,
            scope,
            GateCallbacks(owner.record_step, self._on_permitted, self.try_send),
        )

    def close(self) -> None:
        """Stop the search; it may begin again."""
        self.adapter_wait.close()
        self.gate.close()
        if self._timer is not None:
            self._timer.close()
            self._timer = None

    def exclude(self, endpoints: Iterable[str]) -> None:
        """Leave endpoints out until all others were tried."""
        self._excluded.update(endpoints)

    def begin_round(self) -> None:
        """Let a new search try the excluded endpoints again at its end."""
        self._is_second_round = False

    def forget_excluded(self) -> None:
        """Let all endpoints be tried again."""
        self._excluded.clear()

    def call_later(self, seconds: float, call: Callable[[], None]) -> None:
        """Go on with the search after some seconds."""
        self._timer = self._loop.call_later(seconds, call)

    def schedule(self, seconds: float) -> None:
        """Try to send again after some seconds."""
        self.call_later(seconds, self.try_send)

    def _list_excluded(self) -> set[str]:
        return self._excluded | self.gate.denied | self._owner.list_kept()

    # Sending

    def try_send(self) -> None:
        """Send the call to an endpoint, or wait for one."""
        is_waiting = self.adapter_wait.is_open or self.gate.is_open
        if is_waiting or not self._owner.needs_endpoint:
            return
        if self._owner.pass_on():
            return
        obstacle = self._authorization.check() or self._ledger.judge_call(self._owner)
        if obstacle is not None:
            self._owner.fail(obstacle)
            return
        if self._crashes.await_trial_slot(self._owner, self.try_send):
            self._owner.record_step("turn")
            return
        is_handled = (
            self._try_plain() if self._call.model is None else self._try_engine()
        )
        if not is_handled:
            self._wait_for_endpoint()

    def _try_plain(self) -> bool:
        """Send a call of a plain service; return False without an endpoint."""
        if self._refuse_if_full():
            return True
        endpoint = self._placement.choose_endpoint(
            self._scope.current, self._list_excluded()
        )
        if endpoint is not None:
            self._request_send(endpoint)
        return endpoint is not None

    def _try_engine(self) -> bool:
        """Send a call to an engine, or wait for its adapter there.

        Return False if there is no engine for it.
        """
        excluded = self._list_excluded()
        option = self._placement.choose_engine(
            self._scope.current, self._call, self._route, excluded
        )
        if option is None:
            return False
        if option.engine.source is AdapterSource.HELD:
            self._request_send(option.engine.endpoint)
            return True
        obstacle = self._ledger.judge(self._identify_load)
        if obstacle is not None:
            self._owner.fail(obstacle)
        else:
            self.adapter_wait.begin(
                option,
                self._times.compute_caller_wait(),
                self._owner.is_patient,
            )
        return True

    def _wait_for_endpoint(self) -> None:
        """Wait for an endpoint or an expected owner, or refuse the call."""
        if self._wait_for_backoff(None):
            return
        model = self._call.model
        is_servable = self._candidates.has_endpoints(self._scope.current)
        if is_servable and self._excluded and not self._is_second_round:
            # Each endpoint has rejected the call once; all are tried once
            # more.
            self._is_second_round = True
            self._excluded.clear()
            self.schedule(SECOND_ROUND_DELAY)
            return
        if self._refuse_if_limited():
            return
        if model is None or not model.adapter or not is_servable:
            unknown = NoEndpoint(
                f"service {self._scope.current.service}", DEFAULT_RETRY_AFTER
            )
            self._owner.fail(
                self._candidates.find_restriction(self._scope.current) or unknown
            )
            return
        if (
            self._knowledge.is_owner_expected()
            and self._times.compute_caller_wait() > OWNER_RETURN_TIMEOUT
        ):
            self._owner.record_step("wait", expected=OWNER_RETURN_TIMEOUT)
            self.schedule(OWNER_POLL_INTERVAL)
            return
        if self._wait_for_backoff(model):
            return
        # No owner may send orders now; the call is refused at once.
        self._owner.fail(
            NoEndpoint(f"no owner available to load {model}", NO_OWNER_RETRY_DELAY)
        )

    def _refuse_if_limited(self) -> bool:
        """Refuse a call that the endpoints' rate limits leave no room for."""
        error = self.gate.check_limits(self._sample_jitter())
        if error is not None:
            self._owner.fail(error)
        return error is not None

    def _wait_for_backoff(self, model: Model | None) -> bool:
        """Wait for the end of the endpoints' backoffs, or refuse the call."""
        backoff = self.gate.find_backoff(model)
        if backoff is None:
            return False
        time_left, draw = self._times.compute_time_left(), self._sample_jitter()
        error = self.gate.check_backoff(backoff, time_left, draw)
        if error is not None:
            self._owner.fail(error)
        else:
            self.gate.await_backoff(backoff)
        return True

    def _request_send(self, endpoint: Endpoint) -> None:
        """Request a send; an endpoint with a rate limit requires a permit."""
        if self.gate.has_reached_max_denials and self._refuse_if_limited():
            return
        self.gate.request_permit(endpoint, self._times.compute_time_left())

    def _on_permitted(self, endpoint: Endpoint, basis: Basis) -> None:
        """Send the call, unless it is not permitted any longer."""
        obstacle = self._authorization.check() or self._ledger.judge_call(self._owner)
        if obstacle is None:
            self._owner.begin_send(endpoint, basis)
        else:
            self._owner.fail(obstacle)

    def _refuse_if_full(self) -> bool:
        """Refuse a call that its service is too full to run in time."""
        if self._is_admitted:
            return False
        self._is_admitted = True
        retry_delay = self._placement.check_admission(
            self._scope.current, self._route.objective
        )
        if retry_delay is not None:
            self._owner.fail(
                NoEndpoint(
                    f"service {self._scope.current.service} is full", retry_delay
                )
            )
        return retry_delay is not None

    def _identify_load(self) -> bytes:
        """Return the identity of the load that the call would wait for."""
        model = self._call.model
        return identify_load(model, self._follower.find_version(model))
