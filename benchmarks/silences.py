"""Let the soak's engines pause, and let single ones hang."""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Awaitable, Callable

ENGINES = ("e00", "e01", "e10", "e11", "e20", "e21")
PAUSE = (0.3, 1.5)  # Seconds for which an engine pauses, at least and at most.
PAUSE_GAP = (0.3, 1.5)  # Seconds between two pauses of a series.
PAUSES_SPAN = (2.0, 6.0)  # Seconds for which a series goes on.
HANG_SPAN = (1.0, 4.0)  # Seconds in which an engine takes calls, and is silent.
SERIES_GAP = (0.2, 2.5)  # Seconds between two series, or hangs.
STOP = (0.8, 2.4)  # Seconds for which runners stand still beside a change.
STOPPED_PARTS = (0.6, 1.0)  # Parts of the runners that do.
STOP_LEAD = 0.6  # Seconds from the change until they do.
PLAIN = ("p00", "p10", "p20")
HANG_PART = 0.3  # Part of them that are hangs.


class Silences:
    """Draws which engines are silent, when and for how long."""

    def __init__(
        self, draw: random.Random, command: Callable[..., Awaitable[None]]
    ) -> None:
        self._draw = draw
        self._command = command
        self.counts: Counter[str] = Counter()

    async def run(self, until: float) -> None:
        """Let engines be silent in series, up to a time of the process."""
        while time.monotonic() < until:
            await asyncio.sleep(self._draw.uniform(*SERIES_GAP))
            if self._draw.random() < HANG_PART:
                await self._hang_engine()
            else:
                await self._pause_engines()

    async def _pause_engines(self) -> None:
        """Let engines pause and go on, one or several at once, for a while."""
        until = time.monotonic() + self._draw.uniform(*PAUSES_SPAN)
        while time.monotonic() < until:
            count = self._draw.choice((1, 1, 2, len(ENGINES)))
            for engine in self._draw.sample(ENGINES, count):
                await self._pause(engine)
            await asyncio.sleep(self._draw.uniform(*PAUSE_GAP))

    async def _pause(self, engine: str) -> None:
        self.counts["pauses"] += 1
        await self._command(runner=engine, pause=self._draw.uniform(*PAUSE))

    async def stand_still(self, change: Callable[[], Awaitable[None]]) -> None:
        """Let runners stand still, some time behind a change."""
        await change()
        await asyncio.sleep(STOP_LEAD)
        seconds = self._draw.uniform(*STOP)
        part = self._draw.choice(STOPPED_PARTS)
        for runner in (*ENGINES, *PLAIN):
            if self._draw.random() < part:
                await self._command(stop=runner, seconds=seconds)
        await asyncio.sleep(seconds)

    async def _hang_engine(self) -> None:
        """Let the streams of one engine go silent for good.

        It gives reports meanwhile; calls that come later run as before.
        """
        self.counts["hangs"] += 1
        seconds = self._draw.uniform(*HANG_SPAN)
        await self._command(runner=self._draw.choice(ENGINES), hang=seconds)
