"""Play clients that don't behave beside the other callers of the soak.

Now and then a few of them send at one instance what they do not end, or ask
for what they never read, stay for a while and leave, each crowd in a form that
is drawn. What the instances hold meanwhile is bounded by their machines, and
what was refused must not have run.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Protocol

from benchmarks.organisations import Breach
from demo.fleet import Machine, Process
from roadlift.relay.address import Address
from tests.support.callers import PROMISES
from tests.support.crowds import (
    CLIENT,
    Crowd,
    Sent,
    ask_unread,
    send_chunks,
    send_length,
    send_row,
    send_short_fields,
    send_trailer,
)

MACHINE = Machine(200_000_000, 4100)  # That of each instance.
CLIENTS = (5, 40)  # Of one crowd, at least and at most.
PAUSE = (1.0, 4.0)  # Seconds between two crowds.
STAY = (0.1, 2.0)  # Seconds for which a crowd stays once it has settled.
BODY = 2**20  # Bytes of a body.
_NOT_RUN = (*PROMISES, 413, 431)


class RoughHost(Protocol):
    """The soak, as these callers see it."""

    def pick_instance(self) -> str:
        """Return the name of an instance that should take calls."""

    def find_address(self, name: str) -> Address:
        """Return where an instance listens."""


class RoughCallers:
    """The crowds, and what their clients were told."""

    def __init__(self, draw: random.Random, host: RoughHost) -> None:
        self._draw = draw
        self._host = host
        self._serial = 0
        self._refused: set[str] = set()
        self._over: dict[str, int] = {}
        self.counts: Counter[str] = Counter()

    async def run(self, is_over: Callable[[], bool]) -> None:
        """Play one crowd after the other until the end."""
        while not is_over():
            await asyncio.sleep(self._draw.uniform(*PAUSE))
            await self._play()

    async def _play(self) -> None:
        self._serial += 1
        name = f"rough{self._serial}-{CLIENT.decode()}"
        sent = self._draw.choice(_list_forms(name))
        address = self._host.find_address(self._host.pick_instance())
        crowd = Crowd(address, sent, lambda: 0)
        count = self._draw.randint(*CLIENTS)
        self.counts["rough_clients"] += count
        await crowd.start(count)
        await asyncio.sleep(self._draw.uniform(*STAY))
        for client, status in crowd.list_statuses():
            self.counts[f"rough_{status}"] += 1
            if status in _NOT_RUN:
                self._refused.add(f"rough{self._serial}-{client}")
        crowd.close()

    def note_memory(self, name: str, process: Process) -> None:
        """Note the most memory that an instance has taken."""
        try:
            status = Path(f"/proc/{process.child.pid}/status").read_text()
        except OSError:
            # The instance is away.
            return
        for line in status.splitlines():
            if line.startswith("VmHWM"):
                self._note_peak(name, int(line.split()[1]) * 1024)

    def _note_peak(self, name: str, peak: int) -> None:
        highest = max(self.counts["rough_highest_mb"], peak // 1_000_000)
        self.counts["rough_highest_mb"] = highest
        if peak > MACHINE.memory:
            self._over[name] = max(peak, self._over.get(name, 0))

    def check(self, runs: Counter[str]) -> Iterator[Breach]:
        """Return the breaches, given the runs by their ids."""
        for name, peak in self._over.items():
            yield Breach("over_memory", f"{name}: {peak} bytes")
        for call_id in self._refused:
            if runs[call_id]:
                yield Breach("false_not_run", f"{call_id} of a crowd")


def _list_forms(name: str) -> list[Sent]:
    """Return what the clients of a crowd may send, as calls of a name."""
    field = f"Request-Id: {name}"
    return [
        send_chunks("/idem/1", 2, BODY // 4, field),
        send_chunks("/idem/1", 65536, 2 * BODY, field),
        send_length("/once/1", 2 * BODY, 1, field),
        send_length("/once/1", BODY, 0, field),
        send_trailer("/idem/1", b"", BODY, field),
        send_trailer("/idem/1", b"x-more: ", BODY, field),
        send_row("/nowhere/1", 2000, field),
        send_short_fields("/idem/1", 16000),
        ask_unread("/idem/large", field),
        Sent(()),
    ]
