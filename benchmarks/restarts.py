"""Let instances end and start again in series, beside endpoints that fail.

What the runners receive meanwhile is compared with the retry rule.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable, Iterator

from benchmarks.organisations import Breach
from roadlift.retries.window import RetryRule
from standins.arrivals import ArrivalWatch, SentCall

RULE = RetryRule(0.2, 50.0, 10.0)
SERIES = (4, 14)  # Restarts of a series, at least and at most.
RESTART_GAP = (0.1, 0.7)  # Seconds between two of them.
FAILED_PARTS = (0.3, 0.6, 1.0)  # Parts of a service's calls that fail.
FAILED_SPAN = (3.0, 9.0)  # Seconds for which they do.


class Restarts:
    """Draws series of restarts, and services whose calls fail.

    ``ends`` are the ways in which some instance ends and starts again.
    """

    def __init__(
        self,
        draw: random.Random,
        command: Callable[..., Awaitable[None]],
        ends: Iterable[Callable[[], Awaitable[None]]],
    ) -> None:
        self._draw = draw
        self._command = command
        self._ends = list(ends)

    async def restart_in_series(self) -> None:
        """End instances one behind the other, also before others are back."""
        tasks = []
        for _ in range(self._draw.randint(*SERIES)):
            tasks.append(asyncio.create_task(self._draw.choice(self._ends)()))
            await asyncio.sleep(self._draw.uniform(*RESTART_GAP))
        await asyncio.gather(*tasks)

    async def fail_calls(self) -> None:
        """Let all runners of a service fail a part of their calls."""
        service = self._draw.choice(("llm", "plain"))
        part = self._draw.choice(FAILED_PARTS)
        await self._command(service=service, failed_part=part)
        await asyncio.sleep(self._draw.uniform(*FAILED_SPAN))
        await self._command(service=service, failed_part=0.0)


def list_breaches(
    watch: ArrivalWatch, sent: Iterable[SentCall], rule: RetryRule = RULE
) -> Iterator[Breach]:
    """Return what runners received beyond the retry rule and time limits.

    Calls that never arrived count as no requests, so less is allowed here.
    """
    for use in watch.measure_use(watch.list_first(), rule):
        if use.fraction > 1.0:
            told = f"{use.service} {use.retries} of {use.allowed:.0f}"
            yield Breach("over_retries", f"{told} from {use.since:.1f}")
    for late in watch.list_overlong(sent):
        yield Breach("over_time", f"{late.call_id} at {late.runner}: {late.limit}")
