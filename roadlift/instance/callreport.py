"""Log how a call ended, and count it."""

from typing import NamedTuple

from roadlift.core.errors import RoadliftError
from roadlift.core.kernel import Kernel
from roadlift.instance.access import Authorization
from roadlift.instance.adapterwait import AdapterWait
from roadlift.instance.answer import Answer
from roadlift.instance.attempts import Attempts
from roadlift.instance.calllog import CallLog
from roadlift.instance.follower import Follower
from roadlift.instance.metrics import InstanceMetrics
from roadlift.instance.progress import Progress
from roadlift.serving.calls import Call
from roadlift.serving.routes import Route


class CallEnd(NamedTuple):
    """The end of a call; times are in seconds of this process.

    ``endpoint`` is that of the last send, and ``sent_at`` its time.
    """

    outcome: str
    error: RoadliftError | None
    endpoint: str | None
    sent_at: float
    now: float


class CallReport:
    """What is told of one call when it has ended."""

    def __init__(
        self,
        kernel: Kernel,
        call: Call,
        route: Route,
        service: str,
        authorization: Authorization,
        adapter_wait: AdapterWait,
        attempts: Attempts,
        progress: Progress,
        answer: Answer,
    ) -> None:
        self._log_lines = kernel.get(CallLog)
        self._metrics = kernel.get(InstanceMetrics)
        self._follower = kernel.get(Follower)
        self._call = call
        self._route = route
        self._service = service
        self._authorization = authorization
        self._adapter_wait = adapter_wait
        self._attempts = attempts
        self._progress = progress
        self._answer = answer
        self._configuration = self._follower.configuration.version

    def write(self, end: CallEnd) -> None:
        """Count the call, and log it."""
        is_late = self._progress.is_late(self._route)
        self._count(end, is_late)
        self._log(end, is_late)

    def _log(self, end: CallEnd, is_late: bool) -> None:
        began_at = self._progress.began_at
        first = self._progress.time_to_first_byte
        has_sends = bool(self._attempts.sends)
        self._log_lines.log_end(
            end.outcome,
            is_late,
            self._call.model,
            request=self._call.id,
            resumes=self._call.resumes or None,
            route=self._route.name,
            organisation=self._authorization.name,
            service=self._service,
            endpoint=end.endpoint,
            sends=self._attempts.sends,
            runs=self._attempts.runs,
            status=self._answer.status,
            framing=self._answer.framing,
            partial=self._answer.count_partial(),
            tokens_in=self._call.tokens_in,
            tokens_out=self._call.tokens_out,
            sent=round(end.sent_at - began_at, 4) if has_sends else None,
            waited=round(self._adapter_wait.seconds, 4),
            first=None if first is None else round(first, 4),
            pause=round(self._progress.longest_pause, 4),
            seconds=round(end.now - began_at, 4),
            error=str(end.error) if end.error else None,
            configuration=self._configuration,
            list_age=round(self._follower.compute_list_age(), 2),
            steps=self._progress.steps,
        )

    def _count(self, end: CallEnd, is_late: bool) -> None:
        metrics, service = self._metrics, self._service
        late = "yes" if is_late else "no"
        metrics.count("roadlift_calls", service, end.outcome, late)
        seconds = end.now - self._progress.began_at
        metrics.observe("roadlift_call_seconds", seconds, service)
        first = self._progress.time_to_first_byte
        if first is not None:
            metrics.observe("roadlift_first_seconds", first, service)
        if self._adapter_wait.seconds:
            metrics.observe(
                "roadlift_wait_seconds", self._adapter_wait.seconds, service
            )
