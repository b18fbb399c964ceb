"""Forward one call of a route to an endpoint, and its answer to the caller."""

from roadlift.core.errors import (
    ConnectionLost,
    Draining,
    EndpointFailed,
    EndpointsResting,
    EndpointUnreachable,
    LimitReached,
    NoEndpoint,
    Outcome,
    RequestTimeout,
    RoadliftError,
    SendingRevoked,
    StaleConfiguration,
    StreamCut,
)
from roadlift.core.kernel import Kernel
from roadlift.core.logs import ComponentLog
from roadlift.crashes.detection import DETECTION_DELAY
from roadlift.crashes.ledger import CrashLedger
from roadlift.decisions.limits import Basis
from roadlift.decisions.origins import Origin
from roadlift.decisions.resending import BUDGET_SPENT
from roadlift.draining.connections import RETRY_DELAY
from roadlift.instance.access import Authorization
from roadlift.instance.adapterwait import (
    DEFAULT_RETRY_AFTER,
)
from roadlift.instance.answer import NOT_RUN_STATUSES, Answer
from roadlift.instance.attempts import Attempts, CallState
from roadlift.instance.callhost import CallHost
from roadlift.instance.callreport import CallEnd, CallReport
from roadlift.instance.callscope import CallScope
from roadlift.instance.calltimes import CallTimes
from roadlift.instance.crashes import CrashMonitor
from roadlift.instance.forwarding import PendingCall
from roadlift.instance.isolation import Isolation
from roadlift.instance.metrics import InstanceMetrics
from roadlift.instance.opensends import CANCELLED, Cancellation, OpenSends
from roadlift.instance.origins import OriginRegistry
from roadlift.instance.outcomes import SendOutcomes
from roadlift.instance.placement import Placement
from roadlift.instance.platform import Platform
from roadlift.instance.progress import Progress
from roadlift.instance.retrybudgets import ServiceBudgets
from roadlift.instance.search import EndpointSearch
from roadlift.instance.send import Send, classify_failure
from roadlift.instance.sendrequest import RequestBuilder
from roadlift.instance.silences import SilenceReport
from roadlift.relay.caller import Caller
from roadlift.serving.directory import Endpoint
from roadlift.serving.identity import identify, identify_parts
from roadlift.serving.interfaces import Verdict

# Minimum seconds between two searches for an engine that continues a call, as
# its own engine does not respond.
SEARCH_INTERVAL = 0.3
# Seconds until a begun answer that can't be continued now is tried again.
RESUMPTION_INTERVAL = 0.1
# Errors of a search for an endpoint that may succeed later.
_TEMPORARY = (EndpointsResting, LimitReached, NoEndpoint, StaleConfiguration)

log = ComponentLog("exchange")


class Exchange:
    """One call, its sends and its answer."""

    def __init__(
        self,
        kernel: Kernel,
        host: CallHost,
        pending: PendingCall,
        origin: Origin | None,
        authorization: Authorization,
        caller: Caller,
    ) -> None:
        self.call = pending.call
        # A body is kept where it is sent from, and nowhere else.
        call = pending.call.drop_body()
        self.route = route = authorization.apply_priority(pending.route)
        self._authorization = authorization
        self._kernel = kernel
        self._host = host
        self._caller = caller
        self._placement = kernel.get(Placement)
        self._crashes = kernel.get(CrashMonitor)
        self._isolation = kernel.get(Isolation)
        self._metrics = kernel.get(InstanceMetrics)
        self._ledger = kernel.get(CrashLedger)
        self._format = kernel.get(Platform).adapter.calls
        self._service = origin.service if origin else route.choose_service(call.id)
        self._scope = CallScope(
            authorization.choose_scope(self._service, route),
            call,
            route,
            kernel.get(OriginRegistry),
            origin,
        )
        self._progress = Progress(kernel.clock.now())
        self._times = CallTimes(kernel.clock, route, pending.deadline, self._progress)
        self._search = EndpointSearch(
            kernel, self, authorization, self._scope, self._times, host.sample_jitter
        )
        self._timer = None
        self._identity: bytes | None = None
        self._parts: tuple[bytes, ...] | None = None
        self._searched_at = float("-inf")
        self._silence_obstacle: str | None = None
        self._budgets = kernel.get(ServiceBudgets)
        self._attempts = Attempts(self._budgets, self._service, route, call.runs)
        self._is_over = False
        self._answer = Answer(kernel.clock, call, route, caller, self._progress)
        self._requests = RequestBuilder(
            kernel,
            self.call,
            route,
            authorization,
            self._progress,
            self._times.deadline,
        )
        self._report = CallReport(
            kernel,
            call,
            route,
            self._service,
            authorization,
            self._search.adapter_wait,
            self._attempts,
            self._progress,
            self._answer,
        )
        silences = SilenceReport(
            kernel.clock, self._metrics, self._service, self.record_step
        )
        self._sends = OpenSends(
            kernel.clock,
            kernel.loop,
            self._attempts,
            authorization,
            silences,
            self._stop_search,
        )
        self._outcomes = SendOutcomes(
            kernel, self._service, route, self._search.gate, self._progress
        )
        caller.on_gone = self._on_caller_gone
        caller.on_drained = self._on_caller_drained

    def start(self) -> None:
        """Start with the first send."""
        now = self._times.began_at
        self._budgets.count_request(self._service, now)
        self._timer = self._kernel.loop.call_later(
            max(0.0, self._times.deadline - now), self._on_deadline
        )
        self._search.try_send()

    def close(self) -> None:
        """End the call as the process ends; only a begun answer is cut."""
        if self._is_over:
            return
        if not self._answer.has_begun:
            error = Draining(retry_after=RETRY_DELAY)
            self._end_with_error(error, Cancellation("the instance ends"))
            return
        self._cancel_all()
        self._caller.truncate()
        self._end("cut", None)

    def withdraw(self, identity: bytes) -> None:
        """End the call if its work is quarantined now.

        A call that still waits at an engine would crash it as well. One that
        has brought events is not the cause, or it is too late to end it.
        """
        current = self._sends.current
        has_events = current is not None and (
            current.chunks_received or self._answer.has_begun
        )
        is_concerned = identity in (self.identify(), *self.identify_parts())
        if self._is_over or has_events or not is_concerned:
            return
        obstacle = self._ledger.judge_call(self)
        if obstacle is None:
            return
        if any(send.chunks_received for send in self._sends.kept):
            self._sends.return_to_kept(obstacle)
            return
        self._end_with_error(obstacle, Cancellation("work quarantined"))

    def pass_on(self) -> bool:
        """Forward the call if no endpoint is reached; return whether it was.

        It stays if its answer has begun, or if it may have run and must not
        run again, or may not by the retry budget.
        """
        if self._is_over or not self._may_pass_on():
            return False
        now = self._kernel.clock.now()
        was_sent = self._sends.count_written() > 0
        if was_sent and not self._attempts.take_handover(now):
            return False
        self._cancel_all()
        call = self.call
        self._end("forwarded", None)
        self._budgets.record_handover(self._service, now)
        call = call._replace(runs=self._attempts.runs)
        pending = PendingCall(call, self.route, self._times.deadline)
        self._host.forward(pending, self._caller)
        return True

    def _may_pass_on(self) -> bool:
        """Return whether another instance may take the call, and one does."""
        if self.call.is_forwarded or self._answer.has_begun or self._attempts.runs:
            return False
        runs = self._sends.count_written()
        if runs and not self.route.is_repeatable:
            return False
        if runs >= self.route.attempts:
            return False
        return self._isolation.choose_gateway() is not None

    def abort(self, error: Exception) -> None:
        """Fail the call after an internal error of this process."""
        log.error("Unhandled error in the exchange of a call: %r.", error)
        self._end_with_error(RoadliftError(type(error).__name__))

    def record_step(self, step: str, **fields: object) -> None:
        """Record a step for the log line of the call's end."""
        self._progress.record_step(self._kernel.clock.now(), step, **fields)

    # Sending

    @property
    def needs_endpoint(self) -> bool:
        """Return whether the call has not ended, and no current send."""
        return not self._is_over and self._sends.current is None

    @property
    def is_patient(self) -> bool:
        """Return whether the call gains nothing by a refusal and a retry."""
        has_begun = self._answer.has_begun or self._scope.is_bound
        return bool(self._sends.kept) or has_begun

    def list_kept(self) -> set[str]:
        """Return the endpoints that have the call and do not respond."""
        return self._sends.kept.list_endpoints()

    def identify(self) -> bytes:
        """Return the identity of the call's work; computed once."""
        if self._identity is None:
            self._identity = identify(self.call)
        return self._identity

    def identify_parts(self) -> tuple[bytes, ...]:
        """Return the identities of the parts that the prompt may share."""
        if self._parts is None:
            self._parts = identify_parts(self.call)
        return self._parts

    def begin_send(self, endpoint: Endpoint, basis: Basis) -> None:
        """Send the call to an endpoint."""
        send = Send(
            self._kernel,
            self,
            self._search.gate,
            self._search.gate.begin(endpoint, basis),
        )
        self._sends.begin(send)
        self.record_step(
            "send",
            endpoint=endpoint.id,
            zone=endpoint.zone,
            software=endpoint.software,
            running=self._placement.count_running(endpoint.id),
            ahead=send.tokens_ahead,
            **self._requests.describe_state_age(endpoint),
        )
        request = self._requests.build(send, self._answer.find_position())
        may_send = lambda: self._search.gate.may_send(endpoint)
        send.open(request._replace(may_send=may_send))
        if self._sends.kept:
            self._sends.schedule_handover(send)

    def _cancel_all(self, cancellation: Cancellation = CANCELLED) -> None:
        """Cancel all sends, and the search for an endpoint."""
        self._search.close()
        self._sends.cancel_all(cancellation)

    def _cancel_search(self) -> None:
        """Cancel the current send, or the search for an endpoint."""
        self._search.close()
        self._sends.cancel_current()

    # Engines that do not respond

    def on_unresponsive(self, send: Send) -> None:
        """Search for an engine that continues the call; keep this send."""
        now = self._kernel.clock.now()
        if send is not self._sends.current or now - self._searched_at < SEARCH_INTERVAL:
            return
        if not send.is_written:
            self._cancel_search()
            self._on_failure(send, EndpointUnreachable("unresponsive"))
            return
        self._searched_at = now
        error = StreamCut(f"{send.endpoint.id}: unresponsive")
        reason = self._take_retry(error)
        if reason is None:
            self._search_beside()
        elif reason != self._silence_obstacle:
            self.record_step("silent", endpoint=send.endpoint.id, given_up=reason)
        self._silence_obstacle = reason

    def _search_beside(self) -> None:
        """Search for another engine while the current send is kept."""
        self._sends.keep_current()
        self._search.begin_round()
        self._search.exclude(self.list_kept())
        self._search.gate.denied.clear()
        self._search.schedule(DETECTION_DELAY)

    def _stop_search(self) -> None:
        """End the search, as a kept send continues the call."""
        self._search.close()
        self._search.begin_round()
        self._search.forget_excluded()

    # Owner of a send

    def on_head(self, send: Send) -> None:
        """Forward the head of a stream, unless other sends are open."""
        if not self._sends.kept:
            self._answer.adopt(send)

    def on_body(self, send: Send, data: bytes) -> None:
        """Forward the body of a success, or the next events of a stream."""
        if self._answer.can_use(send):
            self._choose_answer(send)
            self._bind(send)
            self._answer.write(send, data)

    def _bind(self, send: Send) -> None:
        """Let the version that brings the first event continue the stream."""
        if not self._answer.is_stream or self._progress.writes:
            return
        self._scope.begin_stream(send.endpoint.software)
        self.record_step("begun", software=send.endpoint.software)

    def _choose_answer(self, send: Send) -> None:
        """Let a send that succeeds answer the caller, and no other one."""
        if self._sends.kept:
            self._sends.decide_between(send)
        self._answer.adopt(send)

    def on_end(self, send: Send) -> None:
        """Finish a complete answer, or handle a rejection."""
        if send.verdict is Verdict.SUCCEEDED and self._answer.can_use(send):
            self._choose_answer(send)
            self._sends.current = None
            self._outcomes.record_served(send, self._answer)
            self._answer.finish(send)
            self._end("served", None)
            return
        error = classify_failure(send)
        if send in self._sends.kept:
            self._on_kept_failed(send, error)
            return
        self._sends.current = None
        if not self._sends.kept:
            self._answer.adopt(send)
        if error.outcome is not Outcome.NOT_RUN:
            self._attempts.record_run(error)
        if send.verdict is Verdict.WRONG_ENDPOINT:
            self._outcomes.report_missing(send)
        is_excluded = send.verdict is not Verdict.WRONG_ENDPOINT
        self._on_failure(send, error, is_excluded)

    def on_error(self, send: Send, error: RoadliftError) -> None:
        """Send the call again, or end the answer with the error."""
        endpoint = send.endpoint
        if isinstance(error, ConnectionLost):
            self._crashes.record_cut(endpoint, send.describe_cut())
        if send in self._sends.kept:
            self._on_kept_failed(send, error)
            return
        self._sends.current = None
        if isinstance(error, SendingRevoked):
            self._on_revoked(endpoint)
            return
        if error.outcome is not Outcome.NOT_RUN:
            self._attempts.record_run(error)
        if self._answer.has_begun:
            error = StreamCut(f"{endpoint.id}: {error.detail}")
        self._on_failure(send, error)

    def _on_kept_failed(self, send: Send, error: RoadliftError) -> None:
        """Go on with the search alone: a send that was kept has ended."""
        self._search.exclude({send.endpoint.id})
        if send.verdict is Verdict.WRONG_ENDPOINT:
            self._outcomes.report_missing(send)
        if error.outcome is not Outcome.NOT_RUN:
            self._attempts.record_run(error)
            self._outcomes.record_failure(send.endpoint, error)
        self._sends.end_kept(send, error)

    def _on_revoked(self, endpoint: Endpoint) -> None:
        """Choose again: the endpoint refuses calls by now; none was sent."""
        self._authorization.refund()
        self._attempts.revoke()
        self._search.exclude({endpoint.id})
        self.record_step("held", endpoint=endpoint.id)
        self._search.try_send()

    # Failures

    def _on_failure(
        self, send: Send, error: RoadliftError, is_excluded: bool = True
    ) -> None:
        """Send again if the call's kind, time and budgets permit it."""
        if self._is_over:
            return
        now = self._kernel.clock.now()
        endpoint = send.endpoint
        if is_excluded:
            self._search.exclude({endpoint.id})
            self._outcomes.record_failure(endpoint, error)
        if error.outcome is Outcome.NOT_RUN:
            self._authorization.refund()
        reason = self._take_retry(error)
        self._metrics.count(
            "roadlift_failed_sends", self._service, error.code, reason or "no"
        )
        log.event(
            "send_failed",
            request=self.call.id,
            endpoint=endpoint.id,
            error=str(error),
            sends=self._attempts.sends,
            age=round(now - self._times.began_at, 3),
            given_up=reason,
            identity=self.identify().hex(),
            got=send.describe_answer(),
            framing=send.framing,
        )
        self.record_step("failed", error=str(error), given_up=reason)
        if reason is None:
            self._resend(error)
        elif reason == BUDGET_SPENT and self._may_resume_later():
            self._schedule_resumption(error)
        elif (
            isinstance(error, EndpointFailed)
            and self._answer.may_forward_failure
            and not self._sends.kept
        ):
            # An error answer of the endpoint is forwarded unchanged.
            self._answer.forward(send)
            self._end("failed", error)
        else:
            self.fail(error)

    def _resend(self, error: RoadliftError) -> None:
        """Send again; after a cut, wait until a crash would be known."""
        if isinstance(error, ConnectionLost | StreamCut):
            self._search.schedule(DETECTION_DELAY)
        else:
            self._search.try_send()

    def _take_retry(self, error: RoadliftError) -> str | None:
        """Return why the call is not sent again, or None."""
        now = self._kernel.clock.now()
        state = CallState(
            self._times.deadline - now,
            len(self._sends.list_all()),
            self._answer.has_begun,
            self._answer.can_continue,
            self._has_spare_slot,
        )
        return self._attempts.take_retry(error, state, now)

    def _has_spare_slot(self) -> bool:
        """Return whether a retry takes no slot from a call's first send."""
        is_plain = self.call.model is None
        return not is_plain or self._placement.has_spare_slots(self._scope.current)

    def fail(self, error: RoadliftError) -> None:
        """Stay with a send that is kept, or end the call with an error."""
        if self._is_over:
            return
        if self._sends.kept:
            self._sends.return_to_kept(error)
        elif isinstance(error, _TEMPORARY) and self._may_resume_later():
            self._schedule_resumption(error)
        else:
            self._end_with_error(error)

    def _may_resume_later(self) -> bool:
        """Return whether a begun answer can wait until it is continued."""
        is_resumable = self._answer.can_continue and self.route.is_repeatable
        wait = self._times.compute_caller_wait()
        return is_resumable and not self._sends.kept and wait > RESUMPTION_INTERVAL

    def _schedule_resumption(self, error: RoadliftError) -> None:
        """Search a little later for an engine that continues a stream."""
        self._cancel_search()
        self._search.begin_round()
        self._search.gate.denied.clear()
        self.record_step("again", error=str(error))
        self._search.call_later(RESUMPTION_INTERVAL, lambda: self._resume(error))

    def _resume(self, error: RoadliftError) -> None:
        """Search again, with a retry from the budget."""
        has_retry = self._attempts.has_retry
        reason = None if has_retry else self._take_retry(error)
        if reason is None:
            self._search.try_send()
        elif reason == BUDGET_SPENT and self._may_resume_later():
            self._schedule_resumption(error)
        else:
            self._end_with_error(error)

    def _end_with_error(
        self, error: RoadliftError, cancellation: Cancellation = CANCELLED
    ) -> None:
        """Answer the caller with an error, or end the answer that has begun.

        A call of which any send may have run is not reported as "not run".
        """
        if self._is_over:
            return
        self._cancel_all(cancellation)
        error = self._attempts.correct(error)
        headers = dict(self._format.describe(self.call.id))
        if error.status in NOT_RUN_STATUSES:
            delay = error.retry_after or (
                0.0 if error.is_final else DEFAULT_RETRY_AFTER
            )
            if delay:
                headers["Retry-After"] = f"{delay:g}"
        self._answer.fail(error, headers)
        self._end("refused" if error.outcome is Outcome.NOT_RUN else "failed", error)

    def _on_deadline(self) -> None:
        """Fail the call at its time limit, whatever its state."""
        error = NoEndpoint("time limit exceeded", DEFAULT_RETRY_AFTER)
        self._end_with_error(error, Cancellation("time limit", RequestTimeout))

    # Caller

    def _on_caller_gone(self) -> None:
        """Cancel the run of a caller that disconnected."""
        if self._is_over:
            return
        self._cancel_all()
        self._end("cancelled", ConnectionLost("caller disconnected"))

    def _on_caller_drained(self) -> None:
        for send in self._sends.list_all():
            send.resume()

    def _release_body(self) -> None:
        """Drop a large body now: others may still refer to the exchange.

        Its identity is still asked for.
        """
        if self.call.drop_body() is not self.call:
            self.identify()
            self.call = self.call.drop_body()
            self._requests.close()

    def _end(self, outcome: str, error: RoadliftError | None) -> None:
        self._is_over = True
        self._timer.close()
        self._release_body()
        now = self._kernel.clock.now()
        self._attempts.refund(now)
        self._host.finish(self)
        self._authorization.end(outcome)
        last = self._sends.endpoint
        endpoint = last.id if last else None
        self._report.write(CallEnd(outcome, error, endpoint, self._sends.sent_at, now))
