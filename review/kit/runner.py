"""Stand in for a runner of a plain service, which registers itself."""

import asyncio
import contextlib
import hashlib
import random
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from review.kit.platform import NAMES
from review.kit.store import Store
from review.kit.wire import Message, read_message, write_message

HEARTBEAT_S = 1.2


class Run(NamedTuple):
    """One request that the runner ran."""

    request_id: str
    target: str
    digest: str
    size: int
    began_at: float


class Runner:
    """A sound runner: it runs what it is sent and answers it whole.

    ``make_body`` returns the body of an answer. ``pause`` is awaited in each
    run, and stands for the work. It runs ``slots`` requests at once and
    rejects what comes beyond them. With ``extra_share`` it sends that part of
    its answers once more, late: where the next answer on the channel is
    expected.
    """

    def __init__(self, store: Store, name: str, service: str, zone: str) -> None:
        self._store = store
        self._name = name
        self._service = service
        self._zone = zone
        self._sequence = 0
        self._beats: asyncio.Task | None = None
        self._server: asyncio.Server | None = None
        self._address = ""
        self.runs: list[Run] = []
        self.make_body: Callable[[Message], bytes] = lambda request: request.body[:64]
        self.pause: Callable[[Message], Awaitable[None]] = _take_no_time
        self.slots = 32
        self.running = 0
        self.rejected: list[str] = []
        self.extra_share = 0.0
        self.answers = 0
        self.extras: list[str] = []
        # When the last byte of an answer was written.
        self.ended_at: dict[str, float] = {}

    async def start(self, host: str) -> None:
        """Listen, and register in the store."""
        self._server = await asyncio.start_server(
            self._serve, host, 0, limit=8 * 1024 * 1024
        )
        self._address = "{}:{}".format(*self._server.sockets[0].getsockname())
        self._beats = asyncio.create_task(self._beat())

    def close(self) -> None:
        """Stop listening and reporting."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()

    async def _beat(self) -> None:
        while True:
            self._sequence += 1
            entry = {
                "backend": self._service,
                "addr": self._address,
                "zone": self._zone,
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "coldLeftMs": 0,
                "seq": self._sequence,
            }
            self._store.put("servers", self._name, entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        extra = b""
        writer.transport.set_write_buffer_limits(0)
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            while True:
                request = await read_message(reader)
                writer.write(extra)
                answer = await self._answer(request)
                writer.write(answer)
                extra = self._choose_extra(request, answer)
                await writer.drain()
                self.ended_at[request.headers.get("request-id", "")] = time.monotonic()
        writer.close()

    def _choose_extra(self, request: Message, answer: bytes) -> bytes:
        """Return an answer that is to be sent once more, or nothing."""
        self.answers += 1
        if random.random() >= self.extra_share:
            return b""
        self.extras.append(request.headers.get("request-id", ""))
        return answer

    async def _answer(self, request: Message) -> bytes:
        if request.headers.get(NAMES["expect"].lower()) not in (None, self._name):
            return write_message("HTTP/1.1 421 Misdirected Request", {}, b"")
        target = request.first.split()[1]
        if target == "/healthz":
            head = {"Instance-Id": self._name}
            return write_message("HTTP/1.1 200 OK", head, b"")
        request_id = request.headers["request-id"]
        if self.running >= self.slots:
            self.rejected.append(request_id)
            head = {"Request-Id": request_id, NAMES["not_run"]: "1"}
            return write_message("HTTP/1.1 503 Service Unavailable", head, b"")
        digest = hashlib.sha256(request.body).hexdigest()
        run = Run(request_id, target, digest, len(request.body), time.monotonic())
        self.runs.append(run)
        self.running += 1
        try:
            await self.pause(request)
        finally:
            self.running -= 1
        body = self.make_body(request)
        stamp = hashlib.sha256(body).hexdigest()[:16]
        head = {"Request-Id": request_id, NAMES["stamp"]: stamp}
        return write_message("HTTP/1.1 200 OK", head, body)


async def _take_no_time(request: Message) -> None:
    """Run a request at once."""
