"""Log why requests were refused, bounded under a flood of them."""

from roadlift.core.clock import Clock
from roadlift.core.logs import ComponentLog
from roadlift.instance.access import Judgement

# Lines a second for one error. A line costs some 0.1 ms of a processor: a
# flood of bad keys, 3,000 a second at one instance, would take a third of it.
MOST_LINES = 20
MOST_AGE = 999.0  # Seconds; what was never known is logged as this.

log = ComponentLog("ingress")


class RefusalLog:
    """The lines on refusals; what is left out is counted in the next line."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._second = 0
        self._written: dict[str, int] = {}
        self._left_out: dict[str, int] = {}

    def note(
        self,
        code: str,
        request: str,
        error: str,
        configuration: int | None,
        judgement: Judgement | None,
    ) -> None:
        """Write a line, unless too many of the same error were written."""
        if not self._take_line(code):
            self._left_out[code] = self._left_out.get(code, 0) + 1
            return
        use = judgement.use if judgement else None
        log.event(
            "call_refused",
            request=request,
            error=error,
            configuration=configuration,
            configuration_age=_round_age(judgement.age) if judgement else None,
            organisation=judgement.organisation if judgement else None,
            share=round(use.fraction, 4) if use else None,
            used=round(use.used) if use else None,
            demand=round(use.demand) if use else None,
            news_age=_round_age(use.news_age) if use else None,
            left_out=self._left_out.pop(code, 0),
        )

    def _take_line(self, code: str) -> bool:
        """Count a line of this second; False means that there are enough."""
        second = int(self._clock.now())
        if second != self._second:
            self._second = second
            self._written.clear()
        written = self._written.get(code, 0)
        self._written[code] = written + 1
        return written < MOST_LINES


def _round_age(seconds: float) -> float:
    return round(min(seconds, MOST_AGE), 3)
