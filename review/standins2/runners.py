"""Stand in for runners of a plain service."""

import asyncio
import itertools
import time
from typing import NamedTuple

from store import Store
from wire import NAMES, encode_answer, now, read_message, reset

BEAT = 1.2  # Seconds between the entries that a runner writes.
SLOTS = 6  # Requests that a runner works on at once.


class Arrival(NamedTuple):
    """A request that reached a runner."""

    at: float
    runner: str
    call_id: str


class Runner:
    """One runner: it writes its entry, and answers after its working time."""

    def __init__(
        self, store: Store, service: str, name: str, zone: str, port: int, work: float
    ) -> None:
        self._store = store
        self._entry = {
            NAMES["route"]["service"]: service,
            "addr": f"127.0.0.1:{port}",
            "zone": zone,
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
        }
        self._port = port
        self._work = work
        self._places = asyncio.Semaphore(SLOTS)
        self._beats = itertools.count(1)
        self._beating: asyncio.Task | None = None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        # Seconds by which the time of day is off on the runner's machine, or
        # None where its entry tells no start.
        self.clock_error: float | None = None
        self.name = name
        self.zone = zone
        self.arrivals: list[Arrival] = []
        self.ended: list[Arrival] = []

    async def start(self) -> None:
        """Listen, and register."""
        self._entry["state"] = "ready"
        if self.clock_error is not None:
            self._entry["born"] = int((time.time() + self.clock_error) * 1000)
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self._port, reuse_address=True
        )
        self._beating = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            entry = {**self._entry, "seq": next(self._beats)}
            await self._store.put("servers", self.name, entry)
            await asyncio.sleep(BEAT)

    async def withdraw(self) -> float:
        """Remove the entry and serve on; return when the store took it."""
        self._beating.cancel()
        await self._store.put("servers", self.name, None)
        return now()

    async def drain(self) -> float:
        """Report that it drains; return when the store took the report."""
        self._beating.cancel()
        self._entry["state"] = "draining"
        entry = {**self._entry, "seq": next(self._beats)}
        await self._store.put("servers", self.name, entry)
        return now()

    def end(self) -> None:
        """End: reset what is open, and refuse new connections."""
        if self._beating is not None:
            self._beating.cancel()
        self._server.close()
        for writer in list(self._writers):
            reset(writer)

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                writer.write(await self._answer(request))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The other side, or the case, has ended.
            pass
        finally:
            self._writers.discard(writer)
            reset(writer)

    async def _answer(self, request) -> bytes:
        call_id = request.headers.get(NAMES["call_id"], "")
        wanted = request.headers.get(NAMES["expected_runner"], self.name)
        if not call_id:
            return encode_answer(200, {"Instance-Id": self.name}, b"")
        own = {NAMES["call_id"]: call_id}
        if wanted != self.name:
            return encode_answer(421, {**own, NAMES["not_run"]: "1"}, b"")
        self.arrivals.append(Arrival(now(), self.name, call_id))
        async with self._places:
            await asyncio.sleep(self._work)
        self.ended.append(Arrival(now(), self.name, call_id))
        stamp = {NAMES["stamp"]: f"stamp-{self.name}-{call_id}"}
        return encode_answer(200, {**own, **stamp}, f"{call_id} done".encode())
