"""Carry one call of a route to an endpoint and its answer back."""

from math import isfinite

from roadlift.core.errors import (
    ConnectionLost,
    EndpointFailed,
    EndpointUnreachable,
    NoEndpoint,
    Outcome,
    RefusedByEndpoint,
    RequestTimeout,
    RoadliftError,
    SendingRevoked,
    StreamCut,
)
from roadlift.core.kernel import Kernel
from roadlift.core.logs import PartLog
from roadlift.crashes.detection import DETECTION_DELAY
from roadlift.crashes.ledger import CrashLedger
from roadlift.decisions.limits import Basis
from roadlift.decisions.loading import AdapterSource
from roadlift.decisions.resending import Sends, find_obstacle
from roadlift.endpoints.events import EventFrames
from roadlift.http.messages import drop_hop_by_hop
from roadlift.instance.access import Pass
from roadlift.instance.adapterwait import COME_BACK, AdapterWait, Waiting
from roadlift.instance.crashes import CrashMonitor
from roadlift.instance.follower import Follower
from roadlift.instance.gate import Gate, Passage
from roadlift.instance.knowledge import OWNER_RETURN, Knowledge
from roadlift.instance.placing import Placing
from roadlift.instance.platform import Platform
from roadlift.instance.progress import Progress
from roadlift.relay.caller import Caller
from roadlift.relay.upstream import CallHandle
from roadlift.serving.calls import Call, Kind, Model
from roadlift.serving.directory import Endpoint
from roadlift.serving.identity import identify, identify_load
from roadlift.serving.interfaces import Guard, Verdict
from roadlift.serving.routes import Route

# Bytes of an answer that are held back until it is whole; a longer one is
# passed on as it comes.
MOST_HELD = 131072
# Seconds without a byte after which an endpoint is given up. The call's own
# time limit is usually shorter.
SILENCE_LIMIT = 30.0
# Seconds after which a caller may come back where no owner may give orders: a
# good part of a takeover.
OWNERLESS_PAUSE = 1.0
OWNER_TICK = 0.05  # Seconds between looks for an owner that is due.
# Seconds until endpoints that have all refused a call are asked once more.
ROUND_PAUSE = 0.05
# By how much the priority of a call that is late is put back, so that engines
# read the prompts first of those that can still be served in time.
LATE_STEP = 4
# Statuses that tell a caller that its call did not run.
_PROMISES = (408, 421, 429, 503)
_EVENT_STREAM = "text/event-stream"

log = PartLog("exchange")


class Exchange:
    """One call, its sends and its answer; also the receiver of each send."""

    def __init__(
        self,
        kernel: Kernel,
        ingress,
        call: Call,
        route: Route,
        granted: Pass,
        caller: Caller,
    ) -> None:
        self.call = call
        self.route = route = granted.apply_priority(route)
        self._pass = granted
        self._kernel = kernel
        self._ingress = ingress
        self._caller = caller
        self._placing = kernel.get(Placing)
        self._knowledge = kernel.get(Knowledge)
        self._follower = kernel.get(Follower)
        self._crashes = kernel.get(CrashMonitor)
        self._ledger = kernel.get(CrashLedger)
        self._format = kernel.get(Platform).adapter.calls
        self._service = route.choose_service(call.id)
        self._configuration = self._follower.configuration.version
        self._began_at = kernel.clock.now()
        limit = route.timeout
        if call.time_limit is not None:
            limit = min(limit, call.time_limit)
        self._deadline = self._began_at + limit
        self._timer = None
        self._wait = AdapterWait(
            kernel,
            call,
            route,
            self._service,
            self._began_at,
            Waiting(self._note, self._try, self._fail),
        )
        self._gate = Gate(
            kernel,
            call,
            self._service,
            Passage(self._note, self._on_open, self._try),
        )
        self._identity: bytes | None = None
        self._is_suspect = False
        self._line: CallHandle | None = None
        self._endpoint: Endpoint | None = None
        self._excluded: set[str] = set()
        self._is_second_round = False
        self._is_let_in = False
        self._sends = 0
        self._unreached = 0
        self._runs = 0
        self._doubt: RoadliftError | None = None
        self._is_over = False
        self._progress = Progress(self._began_at)
        self._status = 0
        self._headers: dict[str, str] = {}
        self._verdict: Verdict | None = None
        self._held = bytearray()
        self._frames: EventFrames | None = None
        self._resume_after = call.resume_after
        self._sent_at = 0.0
        self._is_reading = False
        self._ahead = 0
        self._events = 0  # Reads of the present send's body.
        caller.on_gone = self._on_gone
        caller.on_drained = self._on_drained

    def start(self) -> None:
        """Begin with the first send."""
        now = self._began_at
        self._ingress.get_budget(self._service).count_request(now)
        self._timer = self._kernel.loop.call_later(
            max(0.0, self._deadline - now), self._on_deadline
        )
        self._try()

    def close(self) -> None:
        """Cut the exchange, as the process ends."""
        if self._is_over:
            return
        self._drop_line()
        self._caller.truncate()
        self._end("cut", None)

    def withdraw(self, identity: bytes) -> None:
        """End the call if it is the work that is refused now.

        One that waits at an engine would end it as well. One that has brought
        events is not the cause, or it is too late.
        """
        if self._is_over or self._events or self._identify() != identity:
            return
        obstacle = self._ledger.judge(self._identify)
        if obstacle is None:
            return
        if self._line is not None and self._line.written:
            self._doubt = ConnectionLost(f"at {self._endpoint.id}: withdrawn")
        self._fail(obstacle)

    def abort(self, error: Exception) -> None:
        """End with a failure, behind an error of this process's own."""
        log.error("A call broke its exchange: %r.", error)
        self._fail(RoadliftError(type(error).__name__))

    def _note(self, step: str, **fields: object) -> None:
        """Keep a decision for the line that the call's end may write."""
        self._progress.note_step(self._kernel.clock.now(), step, **fields)

    # Sending.

    def _try(self) -> None:
        """Send the call to an endpoint, or wait for one."""
        if self._is_over:
            return
        obstacle = self._pass.judge() or self._ledger.judge(self._identify)
        if obstacle is not None:
            self._fail(obstacle)
            return
        if self._crashes.await_trial_slot(self._identify, self._try):
            self._note("turn")
            return
        is_placed = self._try_plain() if self.call.model is None else self._try_engine()
        if not is_placed:
            self._wait_for_any()

    def _try_plain(self) -> bool:
        """Send a call of a plain service; False: there is no endpoint."""
        if self._is_refused():
            return True
        endpoint = self._placing.choose(
            self._service, self._excluded | self._gate.denied
        )
        if endpoint is not None:
            self._reach(endpoint)
        return endpoint is not None

    def _try_engine(self) -> bool:
        """Send a call to an engine, or wait for its adapter there.

        False means that there is no engine for it.
        """
        excluded = self._excluded | self._gate.denied
        option = self._placing.choose_engine(self._service, self.call, excluded)
        if option is None:
            return False
        if option.engine.source is AdapterSource.HELD:
            self._reach(option.engine.endpoint)
            return True
        obstacle = self._ledger.judge(self._identify_load)
        if obstacle is not None:
            self._fail(obstacle)
        else:
            self._wait.begin(option, self._measure_stay(self._kernel.clock.now()))
        return True

    def _wait_for_any(self) -> None:
        """Wait for an endpoint or an owner that is due, or refuse."""
        if self._is_behind_rest(None):
            return
        now = self._kernel.clock.now()
        model = self.call.model
        is_servable = self._placing.is_known(self._service)
        if is_servable and self._excluded and not self._is_second_round:
            # Each endpoint has refused once; they are asked once more.
            self._is_second_round = True
            self._excluded.clear()
            self._kernel.loop.call_later(ROUND_PAUSE, self._try)
            return
        if self._is_over_limits():
            return
        if model is None or not model.adapter or not is_servable:
            self._fail(NoEndpoint(f"service {self._service}", COME_BACK))
            return
        if self._knowledge.is_owner_due() and self._measure_stay(now) > OWNER_RETURN:
            self._note("wait", expected=OWNER_RETURN)
            self._kernel.loop.call_later(OWNER_TICK, self._try)
            return
        if self._is_behind_rest(model):
            return
        # Nobody may give orders now; the caller is told so at once.
        self._fail(NoEndpoint(f"no owner can load {model}", OWNERLESS_PAUSE))

    def _is_over_limits(self) -> bool:
        """Refuse a call that endpoints' limits leave no room for."""
        error = self._gate.judge_limits(self._ingress.draw())
        if error is not None:
            self._fail(error)
        return error is not None

    def _is_behind_rest(self, model: Model | None) -> bool:
        """Let a call wait for the end of endpoints' rests, or refuse it."""
        rest = self._gate.find_rest(model)
        if rest is None:
            return False
        left, draw = self._measure_left(), self._ingress.draw()
        error = self._gate.judge_rest(rest, left, draw)
        if error is not None:
            self._fail(error)
        else:
            self._gate.await_rest(rest)
        return True

    def _measure_left(self) -> float:
        """Return the seconds that are left of the call's objective."""
        return self._began_at + self.route.objective - self._kernel.clock.now()

    def _reach(self, endpoint: Endpoint) -> None:
        """Send to an endpoint, once its owner agrees where it has a limit."""
        if self._gate.is_denied_often and self._is_over_limits():
            return
        self._gate.ask(endpoint, self._measure_left())

    def _on_open(self, endpoint: Endpoint, basis: Basis) -> None:
        """Send, unless the call may not be any more."""
        obstacle = self._pass.judge() or self._ledger.judge(self._identify)
        if obstacle is None:
            self._send(endpoint, basis)
        else:
            self._fail(obstacle)

    def _is_refused(self) -> bool:
        """Refuse a call that its full service can't run in time."""
        if self._is_let_in:
            return False
        self._is_let_in = True
        wait = self._placing.refuse(self._service, self.route.objective)
        if wait is not None:
            self._fail(NoEndpoint(f"service {self._service} is full", wait))
        return wait is not None

    def _identify(self) -> bytes:
        """Return the identity of the call's work; computed once."""
        if self._identity is None:
            self._identity = identify(self.call)
        return self._identity

    def _identify_load(self) -> bytes:
        """Return the identity of the load that the call would wait for."""
        model = self.call.model
        return identify_load(model, self._follower.find_version(model))

    def _measure_stay(self, now: float) -> float:
        """Return the seconds that the caller stays without a further event."""
        until = self._deadline
        if self.route.patience is not None:
            until = min(until, self._progress.last_at + self.route.patience)
        return until - now

    def _send(self, endpoint: Endpoint, basis: Basis) -> None:
        now = self._kernel.clock.now()
        self._gate.begin(endpoint, basis)
        version = None
        if self.call.model is not None and self.call.model.adapter:
            version = self._follower.find_version(self.call.model) or None
        self._ahead = self._placing.count_ahead(endpoint.id)
        guard = Guard(
            self._deadline - now,
            self._choose_priority(endpoint, now),
            version,
            self._resume_after,
            self._pass.name,
        )
        request = self._format.build_request(self.call, self.route, endpoint, guard)
        request = request._replace(may_send=lambda: self._gate.may_send(endpoint))
        self._sends += 1
        self._pass.begin()
        self._sent_at = now
        running = self._placing.count_running(endpoint.id)
        self._note(
            "send",
            endpoint=endpoint.id,
            zone=endpoint.zone,
            running=running,
            ahead=self._ahead,
            **self._describe_knowledge(endpoint),
        )
        self._endpoint = endpoint
        self._verdict = None
        self._events = 0
        self._held.clear()
        self._placing.begin(endpoint, self.call)
        self._is_suspect = self._crashes.begin(self._identify)
        self._is_reading = True
        if self.call.model is not None:
            self._placing.silence.begin(endpoint.id, self, self._on_silent, now)
        self._line = self._kernel.dialer.open(
            endpoint.address, request, self, SILENCE_LIMIT
        )

    def _describe_knowledge(self, endpoint: Endpoint) -> dict[str, float]:
        """Return the age in seconds of what an engine was chosen by.

        That is since the owner of its zone gave the last sign that came here:
        a change of the engine's load behind it is not known yet.
        """
        if self.call.model is None:
            return {}
        silence = self._knowledge.measure_silence(endpoint.zone)
        return {"sign": round(silence, 3)} if isfinite(silence) else {}

    def _choose_priority(self, endpoint: Endpoint, now: float) -> int:
        """Return the priority of a send: a late call's is behind others'."""
        priority = self.route.priority
        if self.call.model is None or self._progress.writes:
            return priority
        pace = self._placing.reading_times.estimate(endpoint.id, now)
        expected = pace * (self._ahead + self.call.tokens_in)
        is_late = now + expected - self._began_at > self.route.objective
        return priority + LATE_STEP if is_late else priority

    def _drop_line(self) -> None:
        """Close the send under way; the endpoint cancels its run."""
        self._wait.close()
        self._gate.close()
        if self._line is not None:
            line, self._line = self._line, None
            line.close()
            self._end_send()

    def _leave_endpoint(self) -> None:
        """Note that the send under way is over by itself."""
        if self._line is not None:
            self._line = None
            self._end_send()

    def _end_send(self) -> None:
        self._placing.silence.end(self._endpoint.id, self)
        self._note_read()
        has_run = self._verdict in (Verdict.SUCCEEDED, Verdict.FAILED)
        self._placing.end(self._endpoint, self.call, has_run)
        self._end_turn()

    def _end_turn(self) -> None:
        """Let the same call run that waits, if this one is under suspicion."""
        if self._is_suspect:
            self._is_suspect = False
            self._crashes.end(self._identify())

    def _note_read(self) -> None:
        """Tell once for each send that its prompt is read, or won't be."""
        if self._is_reading:
            self._is_reading = False
            self._placing.note_read(self._endpoint, self.call)

    def _note_event(self, now: float) -> None:
        """Learn from an event of a stream."""
        if self._is_reading:
            self._learn_reading()
            self._note_read()
        self._placing.silence.record_event(self._endpoint.id, self, now)

    def _on_silent(self) -> None:
        """Leave an engine that went silent, where the call may run again."""
        may_resend = self.route.is_repeatable and self._runs + 1 < self.route.attempts
        if self._line is None or not may_resend:
            return
        line = self._line
        self._leave_endpoint()
        line.close()
        self._runs += 1
        self._excluded.add(self._endpoint.id)
        self._on_failure(StreamCut(f"{self._endpoint.id}: silent"), False)

    def _learn_reading(self) -> None:
        """Learn from a first event how fast the engine reads."""
        now = self._kernel.clock.now()
        self._placing.reading_times.note(
            self._endpoint.id,
            self._ahead + self.call.tokens_in,
            now - self._sent_at,
            now,
        )

    # The receiver of a send.

    def receive_head(self, status: int, headers: dict[str, str]) -> None:
        """Judge the head, and pass that of a stream on."""
        self._placing.health.note_answer(self._endpoint.id)
        self._verdict = self._format.judge(status, headers)
        has_run = self._verdict is Verdict.SUCCEEDED
        self._gate.note_head(self._endpoint, status, headers, has_run)
        if self._frames is not None:
            # A resumed stream goes on under the head that the caller has.
            return
        self._status = status
        self._headers = drop_hop_by_hop(headers)
        is_stream = self.route.kind is Kind.STREAM
        kind = headers.get("content-type", "")
        if self._verdict is Verdict.SUCCEEDED and is_stream and _EVENT_STREAM in kind:
            self._frames = EventFrames()
            self._write_head(None)

    def receive_body(self, data: bytes) -> None:
        """Pass whole events on; hold other answers until they are whole."""
        self._events += 1
        self._end_turn()
        if self._verdict is not Verdict.SUCCEEDED:
            self._held += data[: MOST_HELD - len(self._held)]
            return
        if self._frames is not None:
            self._write(self._frames.take_whole(data))
            return
        if self._caller.started:
            self._write(data)
            return
        self._held += data
        if len(self._held) > MOST_HELD:
            length = self._headers.get("content-length")
            self._write_head(int(length) if length else None)
            held, self._held = bytes(self._held), bytearray()
            self._write(held)

    def receive_end(self) -> None:
        """End a whole answer, or judge a refusal."""
        verdict = self._verdict
        endpoint = self._endpoint
        self._leave_endpoint()
        if verdict is Verdict.SUCCEEDED:
            self._runs += 1
            self._note_served(endpoint)
            self._finish()
        elif verdict is Verdict.WRONG_ENDPOINT:
            self._on_wrong_endpoint(endpoint)
        elif verdict is Verdict.NOT_RUN:
            self._on_failure(RefusedByEndpoint(f"{endpoint.id}: {self._status}"))
        else:
            self._runs += 1
            self._on_failure(EndpointFailed(f"{endpoint.id}: {self._status}"))

    def _note_served(self, endpoint: Endpoint) -> None:
        now = self._kernel.clock.now()
        self._ledger.clear(self._identify)
        self._placing.health.note_success(endpoint.id, now)
        if self._frames is None:
            self._placing.paces.note(endpoint.id, now - self._sent_at, now)
        elif self._progress.writes > 1:
            seconds = self._progress.generation
            gaps = self._progress.writes - 1
            self._placing.generations.note(self.route.name, seconds)
            self._placing.paces.note(endpoint.id, seconds / gaps, now)

    def receive_error(self, error: RoadliftError) -> None:
        """Try again or end the answer as what it is."""
        endpoint = self._endpoint
        self._leave_endpoint()
        if isinstance(error, SendingRevoked):
            self._on_revoked(endpoint)
            return
        if isinstance(error, ConnectionLost):
            has_begun = self._describe_answer() == "head"
            self._crashes.record_cut(endpoint, self._identify(), has_begun)
        if error.outcome is not Outcome.NOT_RUN:
            self._runs += 1
        if self._caller.started:
            error = StreamCut(f"{endpoint.id}: {error.detail}")
        self._on_failure(error)

    def _on_revoked(self, endpoint: Endpoint) -> None:
        """Choose again: the endpoint wants no calls by now; none was sent."""
        self._sends -= 1
        self._pass.give_back()
        self._excluded.add(endpoint.id)
        self._note("held", endpoint=endpoint.id)
        self._try()

    def _write_head(self, length: int | None) -> None:
        headers = dict(self._headers)
        headers.pop("content-length", None)
        self._caller.write_head(self._status, headers, length)

    def _write(self, data: bytes) -> None:
        if not data:
            return
        now = self._kernel.clock.now()
        if self.call.model is not None:
            self._note_event(now)
        self._progress.note_write(now)
        self._caller.write(data)
        if self._caller.is_full and self._line is not None:
            self._line.pause()

    def _finish(self) -> None:
        if self._caller.started:
            self._caller.finish()
        else:
            self._progress.note_whole(self._kernel.clock.now())
            self._answer_held()
        self._end("served", None)

    def _answer_held(self) -> None:
        headers = dict(self._headers)
        headers.pop("content-length", None)
        self._caller.answer(self._status, headers, bytes(self._held))

    # Failures.

    def _on_wrong_endpoint(self, endpoint: Endpoint) -> None:
        """Go on elsewhere: another run of the endpoint, or no such adapter."""
        model = self.call.model
        if model is not None and model.adapter:
            self._placing.note_missing(endpoint.id, model)
        self._on_failure(RefusedByEndpoint(f"{endpoint.id}: misdirected"), False)

    def _on_failure(self, error: RoadliftError, is_excluded: bool = True) -> None:
        """Send again where the call's kind, time and budgets allow."""
        if self._is_over:
            return
        now = self._kernel.clock.now()
        endpoint = self._endpoint
        if isinstance(error, EndpointUnreachable):
            self._excluded.add(endpoint.id)
            self._placing.health.note_absence(endpoint.id, now)
        elif is_excluded:
            self._excluded.add(endpoint.id)
            self._judge_failure(endpoint, error, now)
        if error.outcome is not Outcome.NOT_RUN:
            self._doubt = error
        else:
            self._pass.give_back()
        reason = self._find_obstacle(error, now)
        self._ingress.measures.count(
            "roadlift_failed_sends", self._service, error.code, reason or "no"
        )
        log.event(
            "send_failed",
            request=self.call.id,
            endpoint=endpoint.id,
            error=str(error),
            sends=self._sends,
            age=round(now - self._began_at, 3),
            given_up=reason,
            identity=self._identify().hex(),
            got=self._describe_answer(),
        )
        self._note("failed", error=str(error), given_up=reason)
        if reason is None:
            if self._frames is not None:
                self._resume_after = self._frames.cut() or self._resume_after
            self._try_again(error)
        elif isinstance(error, EndpointFailed) and self._may_pass_failure():
            # The endpoint's own failure is passed on as it is.
            self._answer_held()
            self._end("failed", error)
        else:
            self._fail(error)

    def _judge_failure(
        self, endpoint: Endpoint, error: RoadliftError, now: float
    ) -> None:
        """Pass an endpoint over that fails, but for what it says itself."""
        if self._gate.is_resting(endpoint):
            return
        if self._placing.health.note_failure(endpoint.id, now):
            self._ingress.measures.count("roadlift_ejections", self._service)
            log.event("endpoint_ejected", endpoint=endpoint.id, error=str(error))

    def _describe_answer(self) -> str:
        """Return how far the last send's answer has come."""
        if self._verdict is None:
            return "nothing"
        return "events" if self._events else "head"

    def _try_again(self, error: RoadliftError) -> None:
        """Send again, behind a cut once it is known if the endpoint ended."""
        if isinstance(error, ConnectionLost | StreamCut):
            self._kernel.loop.call_later(DETECTION_DELAY, self._try)
        else:
            self._try()

    def _may_pass_failure(self) -> bool:
        is_failure = self._status >= 400 and self._status not in _PROMISES
        return is_failure and not self._caller.started

    def _find_obstacle(self, error: RoadliftError, now: float) -> str | None:
        """Return why the call is not sent again, or None."""
        self._unreached += isinstance(error, EndpointUnreachable)
        sends = Sends(
            self._sends,
            self._unreached,
            self._runs,
            self._deadline - now,
            self._caller.started and self._frames is None,
        )
        return find_obstacle(
            error,
            self.route,
            sends,
            self._has_spare_slot,
            lambda: self._ingress.spend_retry(self._service, now),
        )

    def _has_spare_slot(self) -> bool:
        """Tell whether a second try takes no slot from a first one."""
        is_plain = self.call.model is None
        return not is_plain or self._placing.has_spare_room(self._service)

    def _fail(self, error: RoadliftError) -> None:
        """Give the caller the final answer at once.

        A call of which an earlier send may have run is not told "not run".
        """
        if self._is_over:
            return
        if error.outcome is Outcome.NOT_RUN and self._doubt is not None:
            error = self._doubt
        self._drop_line()
        if self._caller.started:
            self._caller.truncate()
        else:
            headers = dict(self._format.describe(self.call.id))
            if error.status in _PROMISES:
                headers["Retry-After"] = f"{error.retry_after or COME_BACK:g}"
            self._caller.answer_error(error, headers)
        self._end("refused" if error.outcome is Outcome.NOT_RUN else "failed", error)

    def _on_deadline(self) -> None:
        """Answer at the call's time limit, whatever is under way."""
        if self._is_over:
            return
        line = self._line
        if line is not None and line.written:
            self._doubt = RequestTimeout(f"at {self._endpoint.id}")
        error = NoEndpoint("the time limit is over", COME_BACK)
        self._fail(self._doubt or error)

    # The caller.

    def _on_gone(self) -> None:
        """Cancel the run of a caller that went away."""
        if self._is_over:
            return
        self._drop_line()
        self._end("cancelled", ConnectionLost("the caller is gone"))

    def _on_drained(self) -> None:
        if self._line is not None:
            self._line.resume()

    def _end(self, outcome: str, error: RoadliftError | None) -> None:
        self._is_over = True
        self._timer.close()
        now = self._kernel.clock.now()
        first = self._progress.first_after
        is_late = self._progress.is_late(self.route)
        self._ingress.finish(self)
        self._pass.end(outcome)
        self._measure(outcome, is_late, now)
        self._ingress.log_end(
            outcome,
            is_late,
            self.call.model,
            request=self.call.id,
            route=self.route.name,
            organisation=self._pass.name,
            service=self._service,
            endpoint=self._endpoint.id if self._endpoint else None,
            sends=self._sends,
            status=self._status,
            tokens_in=self.call.tokens_in,
            tokens_out=self.call.tokens_out,
            sent=round(self._sent_at - self._began_at, 4) if self._sends else None,
            waited=round(self._wait.seconds, 4),
            first=None if first is None else round(first, 4),
            pause=round(self._progress.longest_pause, 4),
            seconds=round(now - self._began_at, 4),
            error=str(error) if error else None,
            configuration=self._configuration,
            list_age=round(self._follower.measure_list_age(), 2),
            steps=self._progress.steps,
        )

    def _measure(self, outcome: str, is_late: bool, now: float) -> None:
        measures, service = self._ingress.measures, self._service
        late = "yes" if is_late else "no"
        measures.count("roadlift_calls", service, outcome, late)
        measures.observe("roadlift_call_seconds", now - self._began_at, service)
        first = self._progress.first_after
        if first is not None:
            measures.observe("roadlift_first_seconds", first, service)
        if self._wait.seconds:
            measures.observe("roadlift_wait_seconds", self._wait.seconds, service)
