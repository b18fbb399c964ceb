"""Stand in for engines: runners that stream events and may resume a stream."""

import asyncio
import itertools
import json
import time
from typing import NamedTuple

from runners import BEAT
from store import Store
from wire import NAMES, encode_answer, now, read_message, reset

SLOTS = 32  # Streams that an engine works on at once.
BASE = "base"


class Run(NamedTuple):
    """A stream that an engine began to work on."""

    at: float
    engine: str
    software: str
    call_id: str
    after: int


class Engine:
    """One engine; it may start again under its name with other software."""

    def __init__(
        self, store: Store, service: str, name: str, zone: str, port: int
    ) -> None:
        self._store = store
        self._service = service
        self._zone = zone
        self._port = port
        self._beats = itertools.count(1)
        self._beating: asyncio.Task | None = None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._born = 0
        self.name = name
        self.software = ""
        self.events = 40
        self.interval = 0.05
        self.reading = 0.0  # Seconds until a stream's first event.
        # Whether it works; while it is cleared, the engine is silent.
        self.works = asyncio.Event()
        self.works.set()
        self.runs: list[Run] = []

    async def start(self, software: str) -> None:
        """Listen, and register as a new run of this name."""
        self.software = software
        self._born = int(time.time() * 1000)
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self._port, reuse_address=True
        )
        self._beating = asyncio.create_task(self._beat())

    def end(self) -> None:
        """End: reset what is open, and refuse new connections."""
        self._beating.cancel()
        self._server.close()
        for writer in list(self._writers):
            reset(writer)

    async def _beat(self) -> None:
        while True:
            entry = {
                NAMES["route"]["service"]: self._service,
                "addr": f"127.0.0.1:{self._port}",
                "zone": self._zone,
                "version": self.software,
                "slots": SLOTS,
                "state": "ready",
                "models": [{"name": BASE, "version": 1}],
                "born": self._born,
                "seq": next(self._beats),
            }
            await self._store.put("servers", self.name, entry)
            await asyncio.sleep(BEAT)

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                await self._answer(request, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The other side, or the case, has ended.
            pass
        finally:
            self._writers.discard(writer)
            reset(writer)

    async def _answer(self, request, writer) -> None:
        path = request.first.split(" ")[1]
        call_id = request.headers.get(NAMES["call_id"], "")
        own = {NAMES["call_id"]: call_id} if call_id else {}
        wanted = request.headers.get(NAMES["expected_runner"], self.name)
        if wanted != self.name:
            writer.write(encode_answer(421, {**own, NAMES["not_run"]: "1"}, b""))
        elif path == NAMES["report"]:
            body = json.dumps(self._describe()).encode()
            writer.write(encode_answer(200, {}, body))
        elif path == NAMES["order"] or not call_id:
            writer.write(encode_answer(200, {"Instance-Id": self.name}, b""))
        else:
            await self._stream(request, call_id, writer)

    def _describe(self) -> dict:
        return {
            "stage": "unified",
            "models": [{"name": BASE, "version": 1, "adapters": []}],
            "busy": False,
            "seq": 0,
            "queued": 0,
            "running": 0,
            "coming": [],
            "born": self._born,
        }

    async def _stream(self, request, call_id: str, writer) -> None:
        """Write the events behind the one that is named."""
        software = self.software
        after = int(request.headers.get(NAMES["last_event"], "") or 0)
        self.runs.append(Run(now(), self.name, software, call_id, after))
        lines = [
            "HTTP/1.1 200 OK",
            f"{NAMES['call_id']}: {call_id}",
            f"{NAMES['stamp']}: stamp-{self.name}-{call_id}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        await asyncio.sleep(self.reading)
        writer.write("\r\n".join([*lines, "", ""]).encode())
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.interval)
            await self.works.wait()
            event = f"id: {number}\ndata: {software} {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
