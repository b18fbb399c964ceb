"""Find what began a stream that a caller resumes, before the call is sent.

Only the software version that began a stream may continue it. Where no
instance knows that version, the call is refused at once.
"""

from collections.abc import Callable

from roadlift.core.errors import (
    Draining,
    RoadliftError,
    SoftwareUnavailable,
    StreamUnknown,
)
from roadlift.core.kernel import Kernel
from roadlift.core.logs import ComponentLog
from roadlift.decisions.origins import Basis, Origin
from roadlift.draining.connections import RETRY_DELAY
from roadlift.instance.forwarding import PendingCall
from roadlift.instance.metrics import InstanceMetrics
from roadlift.instance.originquery import OriginAnswer
from roadlift.instance.origins import OriginRegistry
from roadlift.relay.caller import Caller
from roadlift.serving.calls import Call, Kind
from roadlift.serving.routes import Route

# Seconds after which a caller may return if an owner that may know its stream
# did not answer: another owner has usually taken over by then.
UNKNOWN_RETRY_DELAY = 0.5

log = ComponentLog("resumption")


def resumes_stream(call: Call, route: Route) -> bool:
    """Return whether a call continues a stream that an earlier one began."""
    is_resumable = route.kind is Kind.STREAM and route.is_resumable
    return is_resumable and bool(call.resumes or call.resume_after)


class Resumption:
    """A call that resumes a stream, until it is known what began the stream.

    ``on_found`` is called with the call and the origin of its stream, and
    ``on_refused`` with the call and the reason; ``on_end`` before either.
    """

    def __init__(
        self,
        kernel: Kernel,
        pending: PendingCall,
        caller: Caller,
        on_found: Callable[[PendingCall, Caller, Origin], None],
        on_refused: Callable[[PendingCall, Caller, RoadliftError], None],
        on_end: Callable[["Resumption"], None],
    ) -> None:
        self.call = pending.call
        self._clock = kernel.clock
        self._origins = kernel.get(OriginRegistry)
        self._metrics = kernel.get(InstanceMetrics)
        self._pending = pending
        self._caller = caller
        self._on_found = on_found
        self._on_refused = on_refused
        self._on_end = on_end
        self._service = pending.route.choose_service(self.call.resumes or self.call.id)
        self._began_at = kernel.clock.now()
        self._is_over = False
        caller.on_gone = self._leave

    def start(self) -> None:
        """Look the stream up, here and then at others."""
        self._origins.query(self.call.resumes, self._service, self._handle_answer)

    def close(self) -> None:
        """Refuse the call, which was not sent, as the process ends."""
        self._leave()
        error = Draining(retry_after=RETRY_DELAY)
        self._on_refused(self._pending, self._caller, error)

    def withdraw(self, identity: bytes) -> None:
        """Leave it to the exchange, which checks before it sends."""

    def pass_on(self) -> None:
        """Leave it to the exchange, which forwards before it sends."""

    def _leave(self) -> None:
        self._is_over = True
        self._on_end(self)

    def _handle_answer(self, answer: OriginAnswer) -> None:
        if self._is_over:
            return
        self._is_over = True
        error = self._find_obstacle(answer)
        basis = answer.finding.basis if error is None else "refused"
        self._metrics.count("roadlift_resumptions", self._service, basis)
        self._log(answer, error)
        self._on_end(self)
        if error is None:
            self._on_found(self._pending, self._caller, answer.finding.origin)
        else:
            self._on_refused(self._pending, self._caller, error)

    def _find_obstacle(self, answer: OriginAnswer) -> RoadliftError | None:
        """Return why the stream can't be resumed, or None."""
        origin = answer.finding.origin
        if origin is None:
            delay = None if answer.is_complete else UNKNOWN_RETRY_DELAY
            return StreamUnknown(self.call.resumes or "it is not named", delay)
        if all(one.service != origin.service for one in self._pending.route.targets):
            return SoftwareUnavailable(f"service {origin.service} left the route")
        return None

    def _log(self, answer: OriginAnswer, error: RoadliftError | None) -> None:
        origin, basis = answer.finding.origin, answer.finding.basis
        if error is None and basis is Basis.LOCAL:
            return
        log.event(
            "stream_looked_up",
            request=self.call.id,
            resumes=self.call.resumes or None,
            basis=basis.value,
            service=origin.service if origin else self._service,
            software=origin.software if origin else None,
            age=answer.finding.age,
            complete=answer.is_complete,
            error=str(error) if error else None,
            seconds=round(self._clock.now() - self._began_at, 4),
        )
