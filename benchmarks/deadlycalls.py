"""Send calls under which the soak's engines end, again and again."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import Protocol

from benchmarks.runchecks import CALM, Notes
from demo.installation import Channel
from roadlift.relay.address import Address
from tests.support.callers import Wanted, make_headers

PATH = "/long/deadly"
SPAN = 12.0  # Seconds for which such calls are sent.
GAP = (0.2, 0.8)  # Seconds between two, at least and at most.
CALL_LIMIT = 4.0  # Seconds that a caller gives a call.
COPIES = (1, 1, 1, 3)  # Of one call that are sent at once.
ADAPTERS = 40
LEAVING = 0.4  # Of the callers with a part that ends engines.


class DeadlyHost(Protocol):
    """The soak, as these callers see it."""

    notes: Notes

    def pick_instance(self) -> str:
        """Return the name of an instance that should take calls."""

    def find_address(self, name: str) -> Address:
        """Return where an instance listens."""

    def is_leaving(self, name: str) -> bool:
        """Return whether an instance is leaving and has not ended."""

    def note_sent(self, call_id: str, name: str, began: float) -> None:
        """Keep to which run of an instance a call is sent."""

    def is_over(self) -> bool:
        """Return whether the soak has stopped sending calls."""


class DeadlyCalls:
    """Callers of work that ends engines: whole calls, or parts of prompts."""

    def __init__(
        self,
        draws: tuple[random.Random, random.Random],
        host: DeadlyHost,
        command: Callable[..., Awaitable[None]],
        pick_key: Callable[[str], str],
    ) -> None:
        self._draw, self._departures = draws
        self._host = host
        self._command = command
        self._pick_key = pick_key
        self._serial = 0

    async def send_deadly(self) -> None:
        """Send one call again and again, for a while."""
        number = self._host.notes.counts["send_deadly"]
        await self._command(deadly=f"deadly {number}")
        await self._repeat(number, COPIES, "")

    async def send_deadly_part(self) -> None:
        """Send calls, no two alike, with one part, for a while."""
        part = f"d{self._host.notes.counts['send_deadly_part']}"
        await self._command(deadly_part=part)
        await self._repeat(0, (), part)

    async def _repeat(self, number: int, copies: tuple[int, ...], part: str) -> None:
        until = time.monotonic() + SPAN
        tasks = []
        while time.monotonic() < until and not self._host.is_over():
            count = self._draw.choice(copies) if copies else 1
            tasks += [
                asyncio.create_task(self._call(number, part)) for _ in range(count)
            ]
            await asyncio.sleep(self._draw.uniform(*GAP))
        await asyncio.gather(*tasks)

    async def _call(self, number: int, part: str) -> None:
        notes, name = self._host.notes, self._host.pick_instance()
        self._serial += 1
        call_id = f"d{self._serial}"
        began = time.monotonic()
        self._host.note_sent(call_id, name, began)
        is_disturbed = notes.disturbed.get(name, 0.0) > began - CALM
        notes.excused[call_id] = is_disturbed or self._host.is_leaving(name)
        leaves = bool(part) and self._departures.random() < LEAVING
        if leaves:
            notes.left.add(call_id)
        model, key = f"base/x{number % ADAPTERS}", self._pick_key(call_id)
        parts = (part,) if part else ()
        headers = make_headers(Wanted(call_id, model, CALL_LIMIT, key, parts=parts))
        content = (call_id if part else f"deadly {number}").encode()
        channel = Channel(self._host.find_address(name))
        is_enough = lambda body: leaves
        answer = await channel.call("POST", PATH, headers, content, is_enough)
        channel.close()
        notes.counts[f"deadly_{answer.status}"] += 1
