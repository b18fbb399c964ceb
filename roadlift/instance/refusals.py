"""Log why requests were refused, with a bounded number of lines."""

from roadlift.core.clock import Clock
from roadlift.core.logs import ComponentLog
from roadlift.instance.access import AccessState

# Lines a second for each error code. A line costs about 0.1 ms of processor
# time: a flood of invalid keys, 3,000 a second at one instance, would use a
# third of a processor.
MAX_LINES = 20
MAX_AGE = 999.0  # Seconds; logged for what was never known.

log = ComponentLog("ingress")


class RefusalLog:
    """The log lines on refusals; each line counts those omitted before it."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._second = 0
        self._written: dict[str, int] = {}
        self._left_out: dict[str, int] = {}

    def log_refusal(
        self,
        code: str,
        request: str,
        error: str,
        configuration: int | None,
        access_state: AccessState | None,
    ) -> None:
        """Write a line, unless too many of the same error were written."""
        if not self._count_line(code):
            self._left_out[code] = self._left_out.get(code, 0) + 1
            return
        use = access_state.use if access_state else None
        log.event(
            "call_refused",
            request=request,
            error=error,
            configuration=configuration,
            configuration_age=_round_age(access_state.age) if access_state else None,
            organisation=access_state.organisation if access_state else None,
            share=round(use.share, 4) if use else None,
            used=round(use.used) if use else None,
            demand=round(use.demand) if use else None,
            news_age=_round_age(use.update_age) if use else None,
            left_out=self._left_out.pop(code, 0),
        )

    def _count_line(self, code: str) -> bool:
        """Count a line of this second; return False above the maximum."""
        second = int(self._clock.now())
        if second != self._second:
            self._second = second
            self._written.clear()
        written = self._written.get(code, 0)
        self._written[code] = written + 1
        return written < MAX_LINES


def _round_age(seconds: float) -> float:
    return round(min(seconds, MAX_AGE), 3)
