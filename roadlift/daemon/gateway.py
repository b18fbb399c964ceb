"""Take callers' requests by HTTP and hand each to the exchange it needs."""

import json

from roadlift.burn.record import BurnRecord
from roadlift.core.errors import (
    Draining,
    InvalidRequest,
    MemoryFull,
    NoBundle,
    Overloaded,
    RequestTooLarge,
    RoadliftError,
    UnknownModel,
    UnknownPath,
    UnknownService,
)
from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.daemon.bundles import Bundles
from roadlift.daemon.exchange import Call, EngineExchange, Exchange, ServiceExchange
from roadlift.daemon.status import Status
from roadlift.decisions.jsonsize import estimate_parsed_size
from roadlift.http.connection import RETRY_DELAY
from roadlift.http.holdings import REFUSED, Callers
from roadlift.http.messages import ReceivedRequest
from roadlift.policy.admission import Admission, AdmissionLimits
from roadlift.relay.caller import Caller

ENGINE_PATHS = ("/v1/completions", "/v1/chat/completions")
SERVICE_PREFIX = "/services/"
SERVICE_HEADER = "x-service"
KEY_HEADER = "idempotency-key"
MOST_KEY = 255  # Characters of an idempotency key.

log = ComponentLog("gateway")


@components.register("gateway")
class Gateway:
    """What takes callers' requests, apart from the sockets."""

    name = "gateway"
    needs = (
        "bundles",
        "calls",
        Callers.name,
        "metrics",
        "owners",
        "pins",
        "rests",
        "status",
    )

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._settings = kernel.settings
        self._callers = kernel.get(Callers)
        self._bundles = kernel.get(Bundles)
        self._status = kernel.get(Status)
        self._exchanges: set[Exchange] = set()
        self.admission = Admission(AdmissionLimits(self._settings.most_running))
        self.burn = BurnRecord()
        self.is_closed = False
        self._status.attach(self)

    @property
    def running(self) -> int:
        """Return the requests in flight."""
        return len(self._exchanges)

    def start(self) -> None:
        """Do nothing; requests come from the front."""

    def close(self) -> None:
        """Cut what is left."""
        for exchange in list(self._exchanges):
            exchange.close()

    def handle(self, request: ReceivedRequest, caller: Caller) -> None:
        """Answer a small request at once; hand a call to an exchange."""
        try:
            answer = self._status.answer(request.method, request.path)
            if answer is None:
                self._begin(request, caller)
            else:
                caller.answer(answer.status, answer.headers, answer.body)
        except RoadliftError as error:
            caller.answer_error(error, {})
        except Exception as error:
            log.error("A request broke the gateway: %r.", error)
            caller.answer_error(RoadliftError(type(error).__name__), {})

    def finish(self, exchange: Exchange) -> None:
        """Forget an exchange that is over."""
        self._exchanges.discard(exchange)
        self.admission.release(exchange.call.service)

    def _begin(self, request: ReceivedRequest, caller: Caller) -> None:
        if self.is_closed:
            raise Draining(retry_after=1.0)
        body = request.body
        if request.path in ENGINE_PATHS:
            call, kind = self._read_engine_call(request, body), EngineExchange
        elif request.path.startswith(SERVICE_PREFIX):
            call, kind = self._read_service_call(request, body), ServiceExchange
        else:
            raise UnknownPath(request.path)
        entry = self._bundles.bundle.get_service(call.service)
        most = entry["most_queued"] if entry else self._settings.most_running
        if not self.admission.admit(call.service, most):
            raise Overloaded(f"service {call.service!r} is at its limit", 1.0)
        exchange = kind(self._kernel, self, call, caller)
        self._exchanges.add(exchange)
        exchange.start()

    def _read_engine_call(self, request: ReceivedRequest, body: bytes) -> Call:
        if request.method != "POST":
            raise InvalidRequest(f"{request.path} takes POST, not {request.method}")
        self._check_size(body)
        content = _read_object(body)
        name = content.get("model")
        if not isinstance(name, str):
            raise InvalidRequest("$.model: adapter@version was expected")
        if self._bundles.chain.head.number == 0:
            raise NoBundle(retry_after=1.0)
        found = self._bundles.find_model(name)
        if found is None:
            raise UnknownModel(name)
        services = found.adapter["services"]
        service = request.headers.get(SERVICE_HEADER) or (services or [""])[0]
        if service and service not in services:
            raise UnknownService(f"{name} is not assigned to {service!r}")
        key = _read_key(request)
        return Call("POST", request.path, {}, body, service, key, True, name, content)

    def _check_size(self, body: bytes) -> None:
        """Refuse a body for whose values there is no room, now or ever."""
        size = estimate_parsed_size(body)
        if size > self._callers.limits.large:
            raise RequestTooLarge(f"{size} bytes once it is read")
        if not self._callers.can_begin(size, size):
            self._callers.record(REFUSED)
            raise MemoryFull("no room for what the body holds", RETRY_DELAY)

    def _read_service_call(self, request: ReceivedRequest, body: bytes) -> Call:
        service, _, path = request.path[len(SERVICE_PREFIX) :].partition("/")
        if self._bundles.bundle.get_service(service) is None:
            raise UnknownService(service)
        query = f"?{request.query}" if request.query else ""
        kind = request.headers.get("content-type", "application/octet-stream")
        key = _read_key(request)
        repeatable = request.method in ("GET", "HEAD", "PUT", "DELETE", "OPTIONS")
        headers = {"Content-Type": kind}
        return Call(
            request.method, f"/{path}{query}", headers, body, service, key, repeatable
        )


def _read_object(body: bytes) -> dict:
    try:
        content = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidRequest(f"the body is not JSON: {error}") from error
    if not isinstance(content, dict):
        raise InvalidRequest("$: an object was expected")
    return content


def _read_key(request: ReceivedRequest) -> str:
    key = request.headers.get(KEY_HEADER, "")
    if len(key) > MOST_KEY:
        raise InvalidRequest(f"Idempotency-Key has more than {MOST_KEY} characters")
    return key
