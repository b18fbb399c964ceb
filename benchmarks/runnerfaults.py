"""Faults of the soak's runners, and words of the operator and the store."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

from demo.installation import COLD_RATE, ZONES

SOFTWARE = ("v1", "v1.2")  # Versions that engines come back with.
BRITTLE_SPAN = (5.0, 9.0)  # Seconds for which a service's runners are brittle.
BEARS = (2, 3, 5)  # Rejections a second that they bear.
LIMITS = (1.0, 12.0)  # Calls a second that a runner names, at least and at most.
LIMIT_SPAN = (4.0, 12.0)  # Seconds for which it does.
LEAVE_SPAN = (3.0, 8.0)  # Seconds for which a runner says that it leaves.
RESTS = (0.6, 4.0)  # Seconds of rest that a runner requests, at least and at most.
REST_SPAN = (2.0, 9.0)  # Seconds for which it turns calls away.
EVACUATION_SPAN = (4.0, 8.0)  # Seconds for which a zone is out of service.
COLD_SPAN = (3.0, 6.0)  # Seconds for which a runner is cold.
REPEAT_SPAN = (2.0, 5.0)  # Seconds for which runners repeat answers.
REJECT_GAP = 0.05  # Seconds between two of their rejections.
_ENGINE_FAULTS = (
    "cut",
    "mute",
    "refuse",
    "unframed",
    "break off",
    "break off early",
)
_HOT = 3  # Adapters of which new versions are named.


class RunnerFaults:
    """Draws what befalls runners, and for how long."""

    def __init__(
        self, draw: random.Random, command: Callable[..., Awaitable[None]]
    ) -> None:
        self._draw = draw
        self._command = command
        self._evacuated = ""

    async def restart_engine(self) -> None:
        """Let an engine start again under its name."""
        await self._command(restart=f"e{self._draw.randrange(3)}0")

    async def release(self) -> None:
        """Let an engine end, and come back with a version of its software."""
        runner = f"e{self._draw.randrange(3)}0"
        await self._command(release=runner, software=self._draw.choice(SOFTWARE))

    async def spoil_runner(self) -> None:
        """Let a runner play faults, one a call."""
        kind = self._draw.choice("ep")
        faults = _ENGINE_FAULTS if kind == "e" else ("lose", "refuse")
        runner = f"{kind}{self._draw.randrange(3)}0"
        for _ in range(self._draw.randrange(1, 4)):
            await self._command(runner=runner, fault=self._draw.choice(faults))

    async def name_version(self) -> None:
        """Name a newer version of a busy adapter."""
        await self._command(version=f"x{self._draw.randrange(_HOT)}")

    async def name_limit(self) -> None:
        """Let a runner, or all of a kind, name a limit for a while."""
        kind = self._draw.choice("ep")
        count = self._draw.choice((1, 3))
        limit = f"{self._draw.uniform(*LIMITS):.1f}"
        runners = [f"{kind}{number}0" for number in range(count)]
        for runner in runners:
            await self._command(runner=runner, limit=limit)
        await asyncio.sleep(self._draw.uniform(*LIMIT_SPAN))
        for runner in runners:
            await self._command(runner=runner, limit=None)

    async def leave_runner(self) -> None:
        """Let a runner say that it leaves, in answers alone, and end."""
        runner = f"{self._draw.choice('ep')}{self._draw.randrange(3)}0"
        await self._command(leaving=runner)
        await asyncio.sleep(self._draw.uniform(*LEAVE_SPAN))
        await self._command(restart=runner)

    async def evacuate(self) -> None:
        """Take a zone out of service for a while, one at a time."""
        if self._evacuated:
            return
        self._evacuated = zone = self._draw.choice(ZONES)
        await self._command(evacuate=zone)
        await asyncio.sleep(self._draw.uniform(*EVACUATION_SPAN))
        await self._command(take_back=zone)
        self._evacuated = ""

    async def turn_cold(self) -> None:
        """Start a runner again, or all of a kind, that is cold then."""
        kind = self._draw.choice("ep")
        seconds = self._draw.uniform(*COLD_SPAN)
        for number in range(self._draw.choice((1, 3))):
            runner = f"{kind}{number}0"
            await self._command(cold=runner, rate=COLD_RATE, seconds=seconds)

    async def want_rest(self) -> None:
        """Let a runner, or all of a kind, turn calls away for a while."""
        kind = self._draw.choice("ep")
        count = self._draw.choice((1, 1, 3))
        rest = f"{self._draw.uniform(*RESTS):.2f}"
        part = self._draw.choice((0.2, 0.5, 1.0))
        runners = [f"{kind}{number}0" for number in range(count)]
        for runner in runners:
            await self._command(runner=runner, rest=rest, part=part)
        await asyncio.sleep(self._draw.uniform(*REST_SPAN))
        for runner in runners:
            await self._command(runner=runner, rest=None, part=1.0)

    async def turn_brittle(self) -> None:
        """Let the runners of a service bear few rejections for a while."""
        service = self._draw.choice(("llm", "plain"))
        await self._command(shrink=service, bears=self._draw.choice(BEARS))
        await asyncio.sleep(self._draw.uniform(*BRITTLE_SPAN))
        await self._command(shrink=service, bears=None)

    async def repeat_answers(self) -> None:
        """Let plain runners reject calls, and repeat some of their answers."""
        runners = [f"p{number}0" for number in range(3)]
        for runner in runners:
            await self._command(runner=runner, repeat=True)
        until = time.monotonic() + self._draw.uniform(*REPEAT_SPAN)
        while time.monotonic() < until:
            for runner in runners:
                await self._command(runner=runner, fault="refuse")
            await asyncio.sleep(REJECT_GAP)
        for runner in runners:
            await self._command(runner=runner, repeat=False)

    async def lose_answers(self) -> None:
        """Let the store lose answers, and a poll of changes."""
        await self._command(lose_answers=2, lose_polls=1)
