"""Let one call wait for its adapter, and refuse it if it can't be in time."""

from collections.abc import Callable
from typing import NamedTuple

from roadlift.core.errors import NoEndpoint, RoadliftError
from roadlift.core.kernel import Kernel
from roadlift.decisions.placement import Option
from roadlift.instance.callscope import CallScope
from roadlift.instance.enginechoice import EngineChoice
from roadlift.instance.loadrequests import LoadRequests
from roadlift.instance.metrics import InstanceMetrics
from roadlift.instance.pendingloads import Waiter
from roadlift.instance.placement import Placement
from roadlift.serving.calls import Call
from roadlift.serving.directory import Endpoint
from roadlift.serving.routes import Route

# Seconds after which a caller may retry a call that did not run.
DEFAULT_RETRY_AFTER = 0.2
# Multiple of the predicted load time for which a call waits. What delays a
# load beyond that is not known here, and another instance may serve the caller
# sooner. With this limit, half as many calls are held until their callers
# disconnect.
OVERDUE_FACTOR = 2.5


class WaitCallbacks(NamedTuple):
    """Callbacks of a wait, for its steps, its end and its refusal."""

    on_step: Callable[..., None]
    on_loaded: Callable[[], None]
    on_refused: Callable[[RoadliftError], None]


class AdapterWait:
    """The waits of one call for its adapter; ``seconds`` is their sum.

    ``began_at`` is when the call arrived, ``scope`` the endpoints that it may
    use.
    """

    def __init__(
        self,
        kernel: Kernel,
        call: Call,
        route: Route,
        scope: CallScope,
        began_at: float,
        callbacks: WaitCallbacks,
    ) -> None:
        self._clock = kernel.clock
        self._loop = kernel.loop
        self._choice = kernel.get(EngineChoice)
        self._load_requests = kernel.get(LoadRequests)
        self._placement = kernel.get(Placement)
        self._measures = kernel.get(InstanceMetrics)
        self._call = call
        self._route = route
        self._scope = scope
        self._call_began_at = began_at
        self._callbacks = callbacks
        self._waiter: Waiter | None = None
        self._timer = None
        self._began_at = 0.0
        self._deadline = 0.0
        self._max_wait = 0.0
        self.seconds = 0.0

    def begin(self, option: Option, caller_wait: float, is_patient: bool) -> None:
        """Request the adapter, or refuse if the caller disconnects before.

        The caller stays connected for ``caller_wait`` seconds. A call that
        ``is_patient`` can't come back, and waits for a load that is overdue.
        """
        if option.expected > caller_wait:
            self._refuse_too_late(option.expected - caller_wait)
            return
        now = self._began_at = self._clock.now()
        reading_time = self._choice.estimate_reading_time(
            option.engine.endpoint.id, self._call.tokens_in
        )
        time_to_first_event = self._choice.estimate_load_time(option) + reading_time
        self._waiter = Waiter(
            self._scope.current,
            self._call.model,
            self._route.priority,
            self._call_began_at + self._route.objective - time_to_first_event,
            now + caller_wait - time_to_first_event,
            time_to_first_event
            + self._placement.generations.estimate(self._route.name),
            self._placement.describe(self._call, self._route),
            self._on_loaded,
            self._on_requested,
            now + caller_wait,
            self._refuse_too_late,
        )
        # A load that starts in time is awaited until it completes. If the load
        # time were subtracted again, a load that takes half of the caller's
        # patience would always complete just after the refusal and serve
        # nobody.
        self._deadline = now + caller_wait - reading_time
        max_wait = OVERDUE_FACTOR * option.expected
        self._max_wait = caller_wait if is_patient else max_wait
        self._schedule_refusal()
        self._callbacks.on_step(
            "wait",
            expected=round(option.expected, 3),
            source=option.engine.source.value,
            ahead=option.engine.ahead,
            places=option.engine.places,
        )
        self._load_requests.await_load(self._waiter, option)

    @property
    def is_open(self) -> bool:
        """Return whether the call waits now."""
        return self._waiter is not None

    def close(self) -> None:
        """Cancel the wait."""
        if self._waiter is not None:
            self._waiter.close()
            self._waiter = None
            self._timer.close()

    def _refuse_too_late(self, lateness: float) -> None:
        """Refuse a call that would be served after its caller disconnects."""
        text = f"{self._call.model} can't be loaded in time"
        self._callbacks.on_refused(NoEndpoint(text, max(DEFAULT_RETRY_AFTER, lateness)))

    def _schedule_refusal(self) -> None:
        """Schedule the refusal for when the load is overdue or too late."""
        if self._timer is not None:
            self._timer.close()
        remaining = min(self._deadline - self._clock.now(), self._max_wait)
        self._timer = self._loop.call_later(max(0.0, remaining), self._on_overdue)

    def _on_requested(self, endpoint: Endpoint) -> None:
        self._callbacks.on_step("ask", endpoint=endpoint.id, zone=endpoint.zone)
        self._schedule_refusal()

    def _on_overdue(self) -> None:
        """Refuse a call whose adapter was not loaded in time."""
        if self._waiter is None:
            return
        self._count("overdue")
        self._load_requests.record_overdue(self._waiter)
        text = f"{self._call.model} was not loaded in time"
        self._callbacks.on_refused(NoEndpoint(text, DEFAULT_RETRY_AFTER))

    def _on_loaded(self) -> None:
        self._waiter = None
        self._timer.close()
        self.seconds += self._clock.now() - self._began_at
        self._callbacks.on_step("loaded")
        self._count("loaded")
        self._callbacks.on_loaded()

    def _count(self, outcome: str) -> None:
        service = self._scope.current.service
        self._measures.count("roadlift_predicted_waits", service, outcome)
