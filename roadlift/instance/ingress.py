"""Accept callers' requests, find their routes, and drain before shutdown."""

import random

from roadlift import __version__
from roadlift.core.errors import (
    Draining,
    NoConfiguration,
    NoEndpoint,
    NoRoute,
    RoadliftError,
)
from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.crashes.ledger import CrashLedger
from roadlift.decisions.origins import Origin
from roadlift.draining.connections import RETRY_DELAY, ConnectionDrain
from roadlift.draining.drain import Drain, Phase
from roadlift.http.connection import Connection, ConnectionState
from roadlift.http.holdings import Callers
from roadlift.http.messages import SMALL_LIMITS, HttpLimits, ReceivedRequest
from roadlift.http.server import FEW_CONNECTIONS, Server
from roadlift.instance.access import Access
from roadlift.instance.aggregator import Aggregator
from roadlift.instance.availabilities import Availabilities
from roadlift.instance.callhost import RunningCall
from roadlift.instance.calllog import CallLog
from roadlift.instance.control import ControlCosts
from roadlift.instance.crashes import CrashMonitor
from roadlift.instance.exchange import Exchange
from roadlift.instance.follower import Follower
from roadlift.instance.forwarding import ForwardedCall, PendingCall
from roadlift.instance.isolation import Isolation
from roadlift.instance.leases import Leases
from roadlift.instance.limits import EndpointLimits
from roadlift.instance.metrics import InstanceMetrics
from roadlift.instance.origins import OriginRegistry
from roadlift.instance.owner import Owner
from roadlift.instance.permits import Permits
from roadlift.instance.placement import Placement
from roadlift.instance.platform import Platform
from roadlift.instance.refusals import RefusalLog
from roadlift.instance.resumption import Resumption, resumes_stream
from roadlift.instance.retrybudgets import ServiceBudgets
from roadlift.instance.sharing import SharedUse
from roadlift.instance.slots import EndpointSlots
from roadlift.relay.address import Address
from roadlift.serving.calls import Call
from roadlift.serving.routes import Configuration, Route

DRAIN_CHECK_INTERVAL = 0.1  # Seconds between checks of the drain's progress.
# Seconds before the drain limit at which a process ends by itself: the time
# that it takes to close, and the delay of a timer on a slow instance.
DRAIN_LIMIT_MARGIN = 0.5
# Seconds after which a call may come back to an instance that reaches no
# endpoint: the time in which it finds another one, or that it reaches some.
ISOLATED_RETRY_DELAY = 0.5

log = ComponentLog("ingress")


@components.register("ingress")
class Ingress:
    """The callers' side of an instance."""

    name = "ingress"
    needs = (
        Access.name,
        Aggregator.name,
        Callers.name,
        CallLog.name,
        ControlCosts.name,
        CrashLedger.name,
        CrashMonitor.name,
        "follower",
        Isolation.name,
        "knowledge",
        "leases",
        EndpointLimits.name,
        "measures",
        OriginRegistry.name,
        Owner.name,
        Permits.name,
        "placing",
        "platform",
        ServiceBudgets.name,
        SharedUse.name,
        EndpointSlots.name,
        Availabilities.name,
    )

    def __init__(self, kernel: Kernel) -> None:
        settings = kernel.settings
        self._kernel = kernel
        self._rng = random.Random(kernel.started_at_ms)
        self._format = kernel.get(Platform).adapter.calls
        self._follower = kernel.get(Follower)
        self._placement = kernel.get(Placement)
        self._access = kernel.get(Access)
        self._metrics = kernel.get(InstanceMetrics)
        self._isolation = kernel.get(Isolation)
        self._isolation.on_gateway.append(self._pass_on)
        self._exchanges: set[RunningCall] = set()
        self._refusal_log = RefusalLog(kernel.clock)
        self.is_drained = False
        limit = max(settings.grace, settings.drain_limit - DRAIN_LIMIT_MARGIN)
        self._drain = Drain(kernel.clock, settings.grace, limit)
        self._timer = None
        callers = kernel.get(Callers)
        callers.on_yield = lambda reason: self._metrics.count(
            "roadlift_yielded", reason
        )
        self._server = Server(
            kernel.loop, Address.parse(settings.http), self, HttpLimits(), callers
        )
        self._ready_server = Server(
            kernel.loop,
            Address.parse(settings.ready),
            _ReadinessHandler(self),
            SMALL_LIMITS,
            callers,
            FEW_CONNECTIONS,
        )
        self._connection_drain = ConnectionDrain(
            self._drain, self._server, is_admitting=True
        )
        self._follower.on_configuration.append(self._apply_limits)
        self._ledger = kernel.get(CrashLedger)
        self._ledger.on_change.append(self._end_quarantined)

    @property
    def is_ready(self) -> bool:
        """Return whether the instance is ready for new callers."""
        return self._follower.is_ready and not self._drain.is_draining

    def start(self) -> None:
        """Bind the addresses and start to accept."""
        self._server.start()
        self._ready_server.start()
        log.event("started", version=__version__)

    def close(self) -> None:
        """Cut the remaining exchanges and close the servers."""
        if self._timer is not None:
            self._timer.close()
        cut = len(self._exchanges)
        log.event("stopped", cut=cut, connections=self._count_connections())
        for exchange in list(self._exchanges):
            exchange.close()
        self._server.close()
        self._ready_server.close()

    def leave(self) -> None:
        """Start to drain; further calls have no effect."""
        if self._drain.is_draining:
            return
        log.event("leaving", running=len(self._exchanges))
        self._drain.start()
        self._timer = self._kernel.loop.call_every(
            DRAIN_CHECK_INTERVAL, self._check_drain
        )
        self._kernel.get(Leases).release()

    def sample_jitter(self) -> float:
        """Return a random number from 0 to 1, as jitter for retries."""
        return self._rng.random()

    def handle(self, received: ReceivedRequest, caller: Connection) -> None:
        """Start the exchange of a request, or refuse it."""
        call = None
        try:
            call = self._read_call(received)
            self._start_exchange(call, caller)
        except RoadliftError as error:
            self._refuse(self._format.read_id(received), caller, error, call)
        except Exception as error:
            log.error("Unhandled error in the ingress: %r.", error)
            error = RoadliftError(type(error).__name__)
            self._refuse(self._format.read_id(received), caller, error, call)

    def forward(self, pending: PendingCall, caller: Connection) -> None:
        """Let another instance take a call."""
        call = ForwardedCall(self._kernel, pending, caller, self.finish)
        self._exchanges.add(call)
        call.start()

    def finish(self, call: RunningCall) -> None:
        """Remove an exchange that has ended."""
        self._exchanges.discard(call)
        self._metrics.set("roadlift_running_calls", len(self._exchanges))

    def _read_call(self, received: ReceivedRequest) -> Call:
        if self._follower.configuration is None:
            raise NoConfiguration(retry_after=1.0)
        return self._format.read_call(received)

    def _find_route(self, call: Call) -> Route:
        host = call.host.partition(":")[0].lower()
        route = self._follower.routes.find(host, call.path)
        if route is None:
            # An old configuration may lack a new route, just as it may still
            # contain a revoked key.
            self._access.check_age()
            raise NoRoute(f"{host}{call.path}")
        return route

    def _start_exchange(self, call: Call, caller: Connection) -> None:
        route = self._find_route(call)
        if not self._follower.directory.is_known:
            raise NoConfiguration("no endpoint is known yet", 1.0)
        if not self._can_finish(route):
            raise Draining(retry_after=RETRY_DELAY)
        if self._isolation.is_isolated and self._forward(call, route, caller):
            return
        pending = self._make_pending(call, route)
        if resumes_stream(call, route):
            self._find_origin(pending, caller)
        else:
            self._begin(pending, caller, None)

    def _can_finish(self, route: Route) -> bool:
        """Return whether a call that starts now can end before the process.

        A stream that starts late might be cut at the end of the drain.
        """
        phase = self._drain.compute_phase(1, 0)
        if phase < Phase.CLOSED:
            return True
        is_in_time = self._drain.compute_time_left() >= route.objective
        return phase is Phase.CLOSED and is_in_time and not route.is_long

    def _make_pending(self, call: Call, route: Route) -> PendingCall:
        """Return a call that arrives now, with the time of its limit."""
        limit = route.timeout
        if call.time_limit is not None:
            limit = min(limit, call.time_limit)
        return PendingCall(call, route, self._kernel.clock.now() + limit)

    def _find_origin(self, pending: PendingCall, caller: Connection) -> None:
        """Find what began the stream that a call resumes."""
        resumption = Resumption(
            self._kernel,
            pending,
            caller,
            self._resume,
            self._refuse_pending,
            self.finish,
        )
        self._exchanges.add(resumption)
        resumption.start()

    def _resume(self, pending: PendingCall, caller: Connection, origin: Origin) -> None:
        """Start the exchange of a call whose stream's origin is known."""
        try:
            self._begin(pending, caller, origin)
        except RoadliftError as error:
            self._refuse_pending(pending, caller, error)
        except Exception as error:
            log.error("Unhandled error as a stream is resumed: %r.", error)
            error = RoadliftError(type(error).__name__)
            self._refuse_pending(pending, caller, error)

    def _refuse_pending(
        self, pending: PendingCall, caller: Connection, error: RoadliftError
    ) -> None:
        self._refuse(pending.call.id, caller, error, pending.call)

    def _begin(
        self, pending: PendingCall, caller: Connection, origin: Origin | None
    ) -> None:
        """Authorize a call, and start its exchange."""
        authorization = self._access.admit(pending.call, pending.route)
        exchange = Exchange(self._kernel, self, pending, origin, authorization, caller)
        self._exchanges.add(exchange)
        self._metrics.set("roadlift_running_calls", len(self._exchanges))
        try:
            exchange.start()
        except Exception as error:
            # The exchange answers the caller, so that none of its sends keeps
            # running.
            exchange.abort(error)

    def _forward(self, call: Call, route: Route, caller: Connection) -> bool:
        """Forward a call that arrives now; return False if it stays here.

        One that can't be served here, and that no other instance takes or
        that came from one, is refused at once.
        """
        has_gateway = self._isolation.choose_gateway() is not None
        if call.is_forwarded or not has_gateway:
            if self._isolation.is_cut_off:
                raise NoEndpoint("no endpoint is reached", ISOLATED_RETRY_DELAY)
            return False
        self.forward(self._make_pending(call, route), caller)
        return True

    def _pass_on(self) -> None:
        """Forward the calls that are stuck here."""
        for exchange in list(self._exchanges):
            exchange.pass_on()

    def _refuse(
        self,
        call_id: str,
        caller: Connection,
        error: RoadliftError,
        call: Call | None,
    ) -> None:
        self._metrics.count("roadlift_refusals", error.code)
        self._refusal_log.log_refusal(
            error.code,
            call_id,
            str(error),
            self._get_configuration_version(),
            self._access.describe(call),
        )
        headers = dict(self._format.describe(call_id)) if call_id else {}
        if error.retry_after is not None:
            headers["Retry-After"] = f"{error.retry_after:g}"
        caller.answer_error(error, headers)

    def _get_configuration_version(self) -> int | None:
        configuration = self._follower.configuration
        return configuration.version if configuration else None

    def _end_quarantined(self, identity: bytes) -> None:
        """End the running calls whose work turns out to crash endpoints."""
        if not self._ledger.crashes.is_refused(identity):
            return
        for exchange in list(self._exchanges):
            exchange.withdraw(identity)

    def _apply_limits(self, configuration: Configuration) -> None:
        self._server.limits = configuration.limits

    def _check_drain(self) -> None:
        phase = self._connection_drain.advance(len(self._exchanges), 0)
        if phase is not Phase.ENDED:
            return
        self._timer.close()
        self.is_drained = True
        cut = len(self._exchanges)
        log.event("drained", cut=cut, connections=self._count_connections())
        for exchange in list(self._exchanges):
            exchange.close()
        self._kernel.loop.call_later(DRAIN_CHECK_INTERVAL, self._kernel.stop)

    def _count_connections(self) -> dict[str, int]:
        """Return how many connections are in each state, by its name."""
        states = self._server.count_states()
        return {state.value: states[state] for state in ConnectionState}


class _ReadinessHandler:
    """Answers the platform's readiness checks of this instance."""

    def __init__(self, ingress: Ingress) -> None:
        self._ingress = ingress

    def handle(self, received: ReceivedRequest, caller: Connection) -> None:
        """Answer 200 if the instance is ready, else 503."""
        is_ready = self._ingress.is_ready
        status, body = (200, b"ready\n") if is_ready else (503, b"not ready\n")
        caller.answer(status, {"Content-Type": "text/plain"}, body)
