"""Let one call wait for its adapter, and give up what can't be in time."""

from collections.abc import Callable
from typing import NamedTuple

from roadlift.core.errors import NoEndpoint, RoadliftError
from roadlift.core.kernel import Kernel
from roadlift.decisions.placement import Option
from roadlift.instance.metrics import InstanceMetrics
from roadlift.instance.placing import Placing
from roadlift.instance.waiting import Waiter
from roadlift.serving.calls import Call
from roadlift.serving.directory import Endpoint
from roadlift.serving.routes import Route

# Seconds after which a caller may come back for a call that did not run.
COME_BACK = 0.2
# How many times the predicted time a call waits for its adapter. What holds up
# the load behind that is not known here, and its caller may fare better at
# another instance. With it half as much is held until callers leave.
OVERDUE = 2.5


class Waiting(NamedTuple):
    """Whom a wait tells of its steps, its end, and its refusal."""

    on_step: Callable[..., None]
    on_loaded: Callable[[], None]
    on_refused: Callable[[RoadliftError], None]


class AdapterWait:
    """The waits of one call for its adapter; ``seconds`` are of all of them.

    ``began_at`` is when the call came, ``service`` where it goes.
    """

    def __init__(
        self,
        kernel: Kernel,
        call: Call,
        route: Route,
        service: str,
        began_at: float,
        waiting: Waiting,
    ) -> None:
        self._clock = kernel.clock
        self._loop = kernel.loop
        self._placing = kernel.get(Placing)
        self._measures = kernel.get(InstanceMetrics)
        self._call = call
        self._route = route
        self._service = service
        self._call_began_at = began_at
        self._waiting = waiting
        self._waiter: Waiter | None = None
        self._timer = None
        self._began_at = 0.0
        self._until = 0.0
        self._overdue = 0.0
        self.seconds = 0.0

    def begin(self, option: Option, stays: float) -> None:
        """Ask for the adapter, or refuse where the caller leaves before.

        The caller stays for ``stays`` seconds.
        """
        if option.expected > stays:
            self._refuse_hopeless(option.expected - stays)
            return
        now = self._began_at = self._clock.now()
        reading = self._placing.estimate_reading(option, self._call)
        rest = self._placing.estimate_load(option) + reading
        self._waiter = Waiter(
            self._service,
            self._call.model,
            self._route.priority,
            self._call_began_at + self._route.objective - rest,
            now + stays - rest,
            rest + self._placing.generations.estimate(self._route.name),
            self._call.tokens_in,
            self._on_loaded,
            self._on_asked,
            now + stays,
            self._refuse_hopeless,
        )
        # What begins in time is waited for until it is there: were its time
        # counted again, a load of half the caller's patience would always come
        # just behind the refusal, and serve nobody.
        self._until = now + stays - reading
        self._overdue = OVERDUE * option.expected
        self._plan_refusal()
        self._waiting.on_step(
            "wait",
            expected=round(option.expected, 3),
            source=option.engine.source.value,
            ahead=option.engine.ahead,
            places=option.engine.places,
        )
        self._placing.await_load(self._waiter, option)

    def close(self) -> None:
        """Wait no more."""
        if self._waiter is not None:
            self._waiter.close()
            self._waiter = None
            self._timer.close()

    def _refuse_hopeless(self, late: float) -> None:
        """Refuse at once what would be served behind its caller's leaving."""
        text = f"{self._call.model} can't be loaded in time"
        self._waiting.on_refused(NoEndpoint(text, max(COME_BACK, late)))

    def _plan_refusal(self) -> None:
        """Refuse when the engine asked is overdue, or it is too late."""
        if self._timer is not None:
            self._timer.close()
        longest = min(self._until - self._clock.now(), self._overdue)
        self._timer = self._loop.call_later(max(0.0, longest), self._on_overdue)

    def _on_asked(self, endpoint: Endpoint) -> None:
        self._waiting.on_step("ask", endpoint=endpoint.id, zone=endpoint.zone)
        self._plan_refusal()

    def _on_overdue(self) -> None:
        """Refuse a call for which no load came in time."""
        if self._waiter is None:
            return
        self._count("overdue")
        self._placing.note_overdue(self._waiter)
        text = f"{self._call.model} was not loaded in time"
        self._waiting.on_refused(NoEndpoint(text, COME_BACK))

    def _on_loaded(self) -> None:
        self._waiter = None
        self._timer.close()
        self.seconds += self._clock.now() - self._began_at
        self._waiting.on_step("loaded")
        self._count("loaded")
        self._waiting.on_loaded()

    def _count(self, outcome: str) -> None:
        self._measures.count("roadlift_predicted_waits", self._service, outcome)
