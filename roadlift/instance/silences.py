"""Log and count the sends of one call whose endpoints fell silent."""

from collections.abc import Callable

from roadlift.core.clock import Clock
from roadlift.core.errors import RoadliftError
from roadlift.core.logs import ComponentLog
from roadlift.instance.metrics import InstanceMetrics
from roadlift.instance.send import Send

log = ComponentLog("exchange")


class SilenceReport:
    """What is told of one call's silent sends; ``on_step`` logs its steps."""

    def __init__(
        self,
        clock: Clock,
        measures: InstanceMetrics,
        service: str,
        on_step: Callable[..., None],
    ) -> None:
        self._clock = clock
        self._began_at = clock.now()
        self._measures = measures
        self._service = service
        self._on_step = on_step

    def record_silence(self, send: Send, sends: int) -> None:
        """Tell that a send fell silent, and is kept; ``sends`` were begun."""
        log.event(
            "send_silent",
            request=send.call_id,
            endpoint=send.endpoint.id,
            got=send.describe_answer(),
            sends=sends,
            age=self._measure_age(),
        )
        self._on_step("silent", endpoint=send.endpoint.id)

    def record_end(
        self, outcome: str, send: Send, error: RoadliftError | None = None
    ) -> None:
        """Tell what became of a send that was kept."""
        self._measures.count("roadlift_silent_sends", self._service, outcome)
        text = {} if error is None else {"error": str(error)}
        self._on_step(outcome, endpoint=send.endpoint.id, **text)
        log.event(
            "silence_ended",
            request=send.call_id,
            endpoint=send.endpoint.id,
            outcome=outcome,
            error=text.get("error"),
            age=self._measure_age(),
        )

    def _measure_age(self) -> float:
        return round(self._clock.now() - self._began_at, 3)
