"""Carry one caller's call to an endpoint and its answer back.

An exchange claims the idempotency key where there is one, finds a pinned copy
or a service, sends the call, relays the answer, and on a failure tries again
where the rules of roadlift/retries allow.
"""

from typing import NamedTuple

from roadlift.bundles.directory import Endpoint
from roadlift.burn.record import Sample
from roadlift.core.errors import (
    ConnectionLost,
    EndpointFailed,
    EndpointsResting,
    NoEndpoint,
    Outcome,
    RefusedByEndpoint,
    RoadliftError,
    StreamCut,
)
from roadlift.core.kernel import Kernel
from roadlift.core.logs import ComponentLog
from roadlift.crashes.detection import DETECTION_DELAY, CutCall
from roadlift.daemon.bundles import Bundles
from roadlift.daemon.calls import Calls
from roadlift.daemon.members import Members
from roadlift.daemon.metrics import Metrics
from roadlift.daemon.pins import Pins
from roadlift.daemon.rests import Rests
from roadlift.daemon.resumption import Resumption, is_final
from roadlift.decisions.jsonsize import estimate_parsed_size
from roadlift.decisions.yielding import Holding
from roadlift.endpoints.api import engine_apis
from roadlift.endpoints.events import EventFrames
from roadlift.http.holdings import Callers
from roadlift.http.messages import parse_retry_after
from roadlift.idempotency.claims import (
    Claim,
    StoredAnswer,
    compute_fingerprint,
    compute_key,
)
from roadlift.pins.requester import Waiter
from roadlift.pins.table import HeldPin
from roadlift.relay.address import Address
from roadlift.relay.caller import Caller
from roadlift.relay.upstream import CallHandle, Request
from roadlift.retries.rules import may_retry
from roadlift.serving.identity import compute_identity

MOST_TRIES = 8
MOST_ERROR_BODY = 4096  # Bytes kept of an endpoint's error.
TURNED_AWAY = (429, 503)  # Statuses with which endpoints request a rest.
PASSED_HEADERS = ("content-type", "retry-after")

log = ComponentLog("exchange")


class Call(NamedTuple):
    """What a caller requests.

    ``key`` is the idempotency key, or empty; ``repeatable`` tells that the
    call is idempotent by itself; ``model`` and ``content`` are given for
    engines alone.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    service: str
    key: str
    repeatable: bool
    model: str = ""
    content: dict = {}


class Exchange:
    """What engine and service exchanges share.

    ``judged_from`` is the lowest status that is judged here; answers below
    it are passed to the caller.
    """

    judged_from = 400

    def __init__(self, kernel: Kernel, gateway, call: Call, caller: Caller) -> None:
        self.call = call
        self._kernel = kernel
        self._settings = kernel.settings
        self._gateway = gateway
        self._caller = caller
        self._bundles = kernel.get(Bundles)
        self._metrics = kernel.get(Metrics)
        self._calls = kernel.get(Calls)
        self._callers = kernel.get(Callers)
        self._rests = kernel.get(Rests)
        self._service = self._bundles.bundle.get_service(call.service)
        self._claim: Claim | None = None
        self._kept = bytearray() if call.key else None
        self._kept_head: tuple[int, dict[str, str]] = (0, {})
        self._length: int | None = None
        self._upstream: CallHandle | None = None
        self._address: Address | None = None
        self._sent_at = 0.0
        self._head: tuple[int, dict[str, str]] | None = None
        self._has_body = False  # Of the try under way.
        self._error_body = bytearray()
        self._tries = 0
        self._doubt: RoadliftError | None = None
        self._is_over = False
        self._held = 0
        self._began_at = kernel.clock.now()
        self._first_byte_at: float | None = None
        self._stall = 0.0
        caller.on_gone = self._on_gone
        caller.on_drained = self._on_drained

    # The course of an exchange.

    def start(self) -> None:
        """Begin, with the claim where the call has a key."""
        self._hold(estimate_parsed_size(self.call.body) if self.call.content else 0)
        self._metrics.count("requests")
        self._calls.budget.earn()
        if not self.call.key:
            self._attempt()
            return
        organisation = self._service["organisation"] if self._service else ""
        key = compute_key(organisation, self.call.key)
        target = f"{self.call.service} {self.call.path}"
        fingerprint = compute_fingerprint(target, self.call.body)
        claims = self._calls.claims
        claims.claim(key, fingerprint, self._on_claim, self._on_stored, self._fail)

    def close(self) -> None:
        """Cut the exchange, as the process ends."""
        if self._is_over:
            return
        if self._upstream is not None:
            self._upstream.close()
        self._caller.close()
        self._end()

    def _on_claim(self, claim: Claim) -> None:
        if self._is_over:
            # The caller went away before anything was sent.
            self._calls.claims.release(claim)
            return
        self._claim = claim
        self._attempt()

    def _on_stored(self, answer: StoredAnswer) -> None:
        if self._is_over:
            return
        headers = {**answer.headers, "X-Roadlift-Replayed": "true"}
        self._first_byte_at = self._kernel.clock.now()
        self._caller.answer(answer.status, headers, answer.body)
        self._end()

    def _attempt(self) -> None:
        """Try, unless endpoints ended while they ran the same call."""
        if self._is_over:
            return
        obstacle = self._calls.ledger.judge(self._identify)
        if obstacle is not None:
            self._fail(obstacle)
            return
        self._try()

    def _identify(self) -> bytes:
        call = self.call
        texts = ("call", call.method, call.service, call.path, call.model)
        return compute_identity(texts, call.body)

    def _try(self) -> None:
        raise NotImplementedError

    def _name_endpoint(self) -> str:
        """Return the endpoint of the try under way, or empty."""
        raise NotImplementedError

    def _leave_endpoint(self) -> None:
        """Give up what was held for the endpoint of the last try."""

    def _describe(self) -> dict[str, str]:
        """Return the headers that say what ran the call."""
        return {}

    def _send(self, address: Address, request: Request) -> None:
        self._tries += 1
        self._head = None
        self._has_body = False
        self._kept_head = (0, {})
        if self._kept is not None:
            self._kept.clear()
        self._open(address, request)

    def _open(self, address: Address, request: Request) -> None:
        endpoint = self._name_endpoint()
        self._rests.record_send(endpoint)
        # The call may wait for its connection when the endpoint wants rest.
        may_send = lambda: self._rests.is_awake(endpoint)
        request = request._replace(may_send=may_send)
        self._address = address
        self._sent_at = self._kernel.clock.now()
        timeout = self._settings.answer_timeout
        self._upstream = self._kernel.dialer.open(address, request, self, timeout)

    @property
    def _is_refusal(self) -> bool:
        """Return whether the answer is judged here, and not passed on."""
        return self._head is not None and self._head[0] >= self.judged_from

    @property
    def _is_turned_away(self) -> bool:
        """Return whether the endpoint says that it takes no call now."""
        return self._is_refusal and self._head[0] in TURNED_AWAY

    # The receiver of the upstream call.

    def receive_head(self, status: int, headers: dict[str, str]) -> None:
        """Take the head; the caller gets it with the first bytes behind it.

        Until then the call may still be sent to another endpoint.
        """
        self._head = (status, headers)
        self._error_body.clear()
        self._note_rest(status, headers)
        if self._is_refusal:
            return
        passed = {
            name.title(): headers[name] for name in PASSED_HEADERS if name in headers
        }
        passed.update(self._describe())
        self._kept_head = (status, passed)
        length = headers.get("content-length")
        self._length = int(length) if length else None

    def _write_head(self) -> None:
        if not self._caller.started:
            self._caller.write_head(*self._kept_head, self._length)

    def _note_rest(self, status: int, headers: dict[str, str]) -> None:
        """Record whether the endpoint wants calls from this process."""
        endpoint = self._name_endpoint()
        if status in TURNED_AWAY:
            self._rests.record_backoff(endpoint, parse_retry_after(headers))
        else:
            self._rests.record_accepted(endpoint, self._sent_at)

    def receive_body(self, data: bytes) -> None:
        """Relay body bytes and feel the caller's back-pressure."""
        if self._is_refusal:
            self._error_body += data
            if len(self._error_body) > MOST_ERROR_BODY:
                self._abandon()
            return
        self._has_body = True
        if self._first_byte_at is None:
            self._first_byte_at = self._kernel.clock.now()
        self._pass(data)

    def _abandon(self) -> None:
        """Judge a refusal by what was read of it, without the rest."""
        self._upstream.close()
        self.receive_end()

    def receive_end(self) -> None:
        """End a whole answer, or judge a refusal."""
        if self._is_refusal:
            self._on_failure(self._judge(self._head[0], bytes(self._error_body)))
            return
        self._finish()

    def receive_error(self, error: RoadliftError) -> None:
        """Try again or end the answer as what it is."""
        endpoint = self._name_endpoint()
        if isinstance(error, ConnectionLost) and endpoint:
            has_begun = self._head is not None and not self._has_body
            ends, identity = self._calls.ends, self._identify()
            ends.record_cut(endpoint, self._address, CutCall(identity, has_begun))
        self._on_failure(error)

    def _pass(self, data: bytes) -> None:
        self._write_head()
        if self._kept is not None:
            self._kept += data
        self._caller.write(data)
        if self._caller.is_full:
            self._upstream.pause()

    def _judge(self, status: int, body: bytes) -> RoadliftError:
        raise NotImplementedError

    def _finish(self) -> None:
        self._calls.ledger.clear(self._identify)
        self._leave_endpoint()
        if self._claim is not None:
            status, headers = self._kept_head
            answer = StoredAnswer(status, headers, bytes(self._kept))
            self._calls.claims.store_answer(self._claim, answer)
        self._write_head()
        self._caller.finish()
        self._end()

    def _on_failure(self, error: RoadliftError) -> None:
        self._leave_endpoint()
        if self._is_over:
            return
        if self._caller.started:
            # What ran in part ran, whatever its continuation was refused for.
            error = StreamCut(error.detail)
        if error.outcome is not Outcome.NOT_RUN:
            self._doubt = error
        repeatable = self.call.repeatable and not self.call.key
        allowed = may_retry(error, repeatable, self._caller.started)
        if not allowed or self._tries >= MOST_TRIES:
            self._fail(error)
            return
        if not self._calls.budget.spend():
            self._fail(error)
            return
        self._metrics.count("retries")
        if isinstance(error, ConnectionLost | StreamCut):
            self._kernel.loop.call_later(DETECTION_DELAY, self._attempt)
        else:
            self._attempt()

    def _fail(self, error: RoadliftError) -> None:
        """Give the caller the final answer at once.

        A call of which an earlier try may have run is not told "not run",
        whatever became of the last one.
        """
        if self._is_over:
            return
        if error.outcome is Outcome.NOT_RUN and self._doubt is not None:
            error = self._doubt
        if self._claim is not None:
            self._settle_failure(error)
        counts = {
            Outcome.NOT_RUN: "refused",
            Outcome.UNKNOWN: "unknown",
            Outcome.FAILED: "failed",
        }
        self._metrics.count(counts[error.outcome])
        self._caller.answer_error(error, self._describe())
        self._end(error)

    def _settle_failure(self, error: RoadliftError) -> None:
        """Release a claim that did not run; one in doubt stays claimed."""
        if error.outcome is Outcome.NOT_RUN:
            self._calls.claims.release(self._claim)

    # The caller.

    def _on_gone(self) -> None:
        """Cancel the run of a caller that went away.

        A call with an idempotency key runs on: its caller only watches, and
        comes back for the answer with the same key.
        """
        if self._is_over:
            return
        if self._claim is not None:
            # What was held for the connection is held for the call alone now.
            self._hold(self._held + len(self.call.body))
            # A closed connection no longer reports that it has drained.
            self._on_drained()
            return
        self._metrics.count("cancelled")
        if self._upstream is not None:
            self._upstream.close()
        self._leave_endpoint()
        self._end()

    def _on_drained(self) -> None:
        if self._upstream is not None:
            self._upstream.resume()

    def _end(self, error: RoadliftError | None = None) -> None:
        if self._is_over:
            return
        self._is_over = True
        self._note_burn(error)
        self._gateway.finish(self)
        self._callers.remove(self)
        # Others may still refer to the exchange.
        self.call = self.call._replace(body=b"", content={})

    def _hold(self, size: int) -> None:
        """Account for bytes that are held beside the caller's connection."""
        self._held = size
        self._callers.change(self, size, size)

    def find_holding(self, now: float) -> None:
        """Return nothing: a call does not yield."""

    def yield_holding(self, holding: Holding) -> None:
        """Do nothing; see ``find_holding``."""

    def _note_burn(self, error: RoadliftError | None) -> None:
        if self._service is None:
            return
        now = self._kernel.clock.now()
        first = (self._first_byte_at or now) - self._began_at
        self._metrics.time("first_byte", first)
        good = error is None and first <= self._service["first_token"]
        sample = Sample(
            self._service["organisation"],
            self.call.service,
            self._service["priority"],
            self._service["share"],
            good,
            first,
            self._stall,
        )
        self._gateway.burn.add(sample, now)


class EngineExchange(Exchange):
    """A call to an adapter's version on an engine."""

    def __init__(self, kernel: Kernel, gateway, call: Call, caller: Caller) -> None:
        super().__init__(kernel, gateway, call, caller)
        self._pins = kernel.get(Pins)
        self._api = engine_apis.get(self._settings.engine_api)()
        self._pin: HeldPin | None = None
        self._frames: EventFrames | None = None
        self._resume_from: dict[str, str] = {}
        self._resumption = Resumption(self._wait)
        self._placing_since = 0.0
        self._is_waiting = False

    @property
    def _priority(self) -> str:
        return self._service["priority"] if self._service else "standard"

    @property
    def _wait(self) -> float:
        """Return the seconds to wait for a place, or for a resumption."""
        is_batch = self._priority == "batch"
        settings = self._settings
        return settings.batch_timeout if is_batch else settings.queue_timeout

    def _try(self) -> None:
        now = self._kernel.clock.now()
        self._placing_since = now
        self._is_waiting = True
        deadline = now + self._wait
        waiter = Waiter(self._priority, deadline, self._on_pin, self._on_no_pin)
        self._pins.place(self.call.model, waiter)

    def _on_pin(self, pin: HeldPin) -> None:
        self._is_waiting = False
        waited = self._kernel.clock.now() - self._placing_since
        self._stall += waited
        self._metrics.time("load_stall", waited)
        endpoint = self._bundles.directory.find(pin.endpoint)
        if self._is_over:
            return
        if endpoint is None or not self._pins.table.begin(pin):
            # Nothing was sent: a search for another place is no retry.
            self._pins.drop(pin)
            self._attempt()
            return
        self._pin = pin
        self._frames = None
        request = self._api.build_run(
            self.call.path, self.call.content, pin.copy, self._priority
        )
        self._send(endpoint.address, request)

    def _on_no_pin(self, error: RoadliftError) -> None:
        self._is_waiting = False
        self._fail(error)

    def _name_endpoint(self) -> str:
        return self._pin.endpoint if self._pin is not None else ""

    def _leave_endpoint(self) -> None:
        if self._pin is not None:
            pin, self._pin = self._pin, None
            self._pins.end(pin)

    def _describe(self) -> dict[str, str]:
        adapter, _, version = self.call.model.partition("@")
        said = {"X-Roadlift-Adapter": adapter, "X-Roadlift-Version": version}
        if self._pin is not None:
            said["X-Roadlift-Endpoint"] = self._pin.endpoint
            said["X-Roadlift-Stall"] = f"{self._stall:.3f}"
        return said

    def _judge(self, status: int, body: bytes) -> RoadliftError:
        error = self._api.classify_refusal(status, body)
        is_unknown = isinstance(error, RefusedByEndpoint) and status == 404
        # A resumption names a stream and not a copy.
        if is_unknown and self._frames is None and self._pin is not None:
            self._pins.drop(self._pin)
        return error

    def receive_head(self, status: int, headers: dict[str, str]) -> None:
        """Take the head; the events of a stream are framed for resuming."""
        if self._frames is not None:
            # A resumed stream goes on under the head that the caller has.
            self._head = (status, headers)
            self._error_body.clear()
            self._note_rest(status, headers)
            if not self._is_refusal:
                self._metrics.count("resumed")
            return
        super().receive_head(status, headers)
        if status < 400 and "text/event-stream" in headers.get("content-type", ""):
            self._frames = EventFrames()
            self._resume_from = headers

    def _pass(self, data: bytes) -> None:
        if self._frames is not None:
            data = self._frames.extract_complete(data)
        if data:
            super()._pass(data)

    def _finish(self) -> None:
        if self._frames is not None and not self._frames.is_ended:
            self._on_failure(StreamCut("the stream has no end mark"))
            return
        super()._finish()

    def _on_failure(self, error: RoadliftError) -> None:
        if self._pin is not None and self._is_turned_away:
            self._pins.record_refusal(self._pin.endpoint)
        if self._frames is not None and self._frames.is_ended:
            # The caller has the whole answer; only its framing is not closed.
            super()._finish()
            return
        if self._frames is not None and self._schedule_resumption(error):
            return
        super()._on_failure(error)

    def _schedule_resumption(self, error: RoadliftError) -> bool:
        """Plan to continue a cut stream behind the last whole event.

        The pin is kept meanwhile: the run may go on at the engine.
        """
        last_id = self._frames.discard_partial()
        request = self._api.build_resume(self._resume_from, last_id)
        status = self._head[0] if self._is_refusal else 0
        if request is None or self._pin is None or is_final(error, status):
            return False
        delay = self._resumption.plan(last_id, self._kernel.clock.now())
        if delay is None:
            return False
        if self._resumption.tries == 2:
            endpoint = self._name_endpoint()
            log.warning("A stream can't be resumed at %s yet: %s.", endpoint, error)
        if delay:
            resume = lambda: self._resume(request)
            self._kernel.loop.call_later(delay, resume)
        else:
            self._resume(request)
        return True

    def _resume(self, request: Request) -> None:
        """Send the request to resume, once the engine's rest is over."""
        if self._is_over:
            return
        endpoint = self._name_endpoint()
        rest = self._rests.measure(endpoint)
        if not rest:
            self._head = None
            self._open(self._address, request)
        elif self._resumption.may_wait(rest, self._kernel.clock.now()):
            self._kernel.loop.call_later(rest, lambda: self._resume(request))
        else:
            super()._on_failure(EndpointsResting(endpoint, rest))


class ServiceExchange(Exchange):
    """A call to a plain service beside the engines."""

    judged_from = 500

    def __init__(self, kernel: Kernel, gateway, call: Call, caller: Caller) -> None:
        super().__init__(kernel, gateway, call, caller)
        self._members = kernel.get(Members)
        self._endpoint = ""
        self._avoided: set[str] = set()

    def _try(self) -> None:
        endpoint = self._choose()
        if endpoint is None:
            self._fail(self._explain_none())
            return
        self._endpoint = endpoint.name
        self._avoided.add(endpoint.name)
        self._calls.begin(endpoint.name)
        request = Request(
            self.call.method, self.call.path, self.call.headers, self.call.body
        )
        self._send(endpoint.address, request)

    def _choose(self) -> Endpoint | None:
        """Return the least busy endpoint, in this zone where there is one."""
        own_zone = self._members.detector.local_member.zone
        found = [
            endpoint
            for endpoint in self._bundles.directory.list_services(self.call.service)
            if endpoint.name not in self._avoided
            and not self._rests.measure(endpoint.name)
        ]
        busy = lambda e: (e.zone != own_zone, self._calls.count(e.name), e.name)
        return min(found, key=busy, default=None)

    def _explain_none(self) -> RoadliftError:
        """Return why there is no endpoint, and when there may be one."""
        service = self.call.service
        rests = [
            self._rests.measure(endpoint.name)
            for endpoint in self._bundles.directory.list_services(service)
        ]
        wait = min(rests, default=0.0)
        if wait > 0.0:
            return EndpointsResting(f"service {service}", wait)
        return NoEndpoint(f"no endpoint of {service}", 1.0)

    def _name_endpoint(self) -> str:
        return self._endpoint

    def _leave_endpoint(self) -> None:
        if self._endpoint:
            self._calls.end(self._endpoint)
            self._endpoint = ""

    def _describe(self) -> dict[str, str]:
        return {"X-Roadlift-Endpoint": self._endpoint} if self._endpoint else {}

    def _judge(self, status: int, body: bytes) -> RoadliftError:
        return EndpointFailed(f"status {status}")
