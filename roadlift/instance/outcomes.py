"""Record the health, speed and crashes of endpoints by the ends of sends."""

from roadlift.core.errors import EndpointUnreachable, RoadliftError
from roadlift.core.kernel import Kernel
from roadlift.core.logs import ComponentLog
from roadlift.crashes.ledger import CrashLedger
from roadlift.instance.answer import Answer
from roadlift.instance.gate import Gate
from roadlift.instance.loadrequests import LoadRequests
from roadlift.instance.metrics import InstanceMetrics
from roadlift.instance.placement import Placement
from roadlift.instance.progress import Progress
from roadlift.instance.send import Send
from roadlift.serving.directory import Endpoint
from roadlift.serving.routes import Route

log = ComponentLog("exchange")


class SendOutcomes:
    """Where the ends of one call's sends are recorded."""

    def __init__(
        self, kernel: Kernel, service: str, route: Route, gate: Gate, progress: Progress
    ) -> None:
        self._clock = kernel.clock
        self._ledger = kernel.get(CrashLedger)
        self._placement = kernel.get(Placement)
        self._load_requests = kernel.get(LoadRequests)
        self._metrics = kernel.get(InstanceMetrics)
        self._service = service
        self._route = route
        self._gate = gate
        self._progress = progress

    def record_served(self, send: Send, answer: Answer) -> None:
        """Record a send that has served its call."""
        now = self._clock.now()
        endpoint = send.endpoint.id
        self._ledger.clear(send.identify)
        self._placement.health.record_success(endpoint, now)
        if not answer.is_stream:
            self._placement.speeds.note(endpoint, now - send.sent_at, now)
        elif self._progress.writes > 1:
            seconds = self._progress.generation_time
            intervals = self._progress.writes - 1
            self._placement.generations.note(self._route.name, seconds)
            self._placement.speeds.note(endpoint, seconds / intervals, now)

    def record_failure(self, endpoint: Endpoint, error: RoadliftError) -> None:
        """Record an endpoint's failure, unless it has requested a backoff.

        Too many failures eject the endpoint from selection for a while.
        """
        now = self._clock.now()
        if isinstance(error, EndpointUnreachable):
            self._placement.health.record_connect_failure(endpoint.id, now)
            return
        if self._gate.is_backing_off(endpoint):
            return
        if self._placement.health.record_failure(endpoint.id, now):
            self._metrics.count("roadlift_ejections", self._service)
            log.event("endpoint_ejected", endpoint=endpoint.id, error=str(error))

    def report_missing(self, send: Send) -> None:
        """Record that an endpoint was restarted or lacks the adapter."""
        model = send.model
        if model is not None and model.adapter:
            self._load_requests.report_missing(send.endpoint.id, model)
