"""Play callers that send and read slowly, whatever their instance is told.

They keep their connections until the instance closes them, so that uploads and
long answers are under way as it leaves. What had been passed on must be
answered, and what was answered as not run must not have run.
"""

import asyncio
import random
import socket
import time
from collections import Counter
from collections.abc import Callable, Iterator
from typing import NamedTuple, Protocol

from benchmarks.organisations import Breach
from demo.installation import Answer, read_answer
from roadlift.relay.address import Address
from tests.support.callers import PROMISES, Wanted, make_headers

UPLOAD_SIZE = 20_000  # Bytes of a body.
PIECES = 20  # Pieces in which a request is sent.
UPLOAD_TIME = (0.5, 1.5)  # Seconds for which it is sent, at least and at most.
READ_SIZE = 4096  # Bytes that are read at once, and buffered by the socket.
READ_RATE = 400_000  # Bytes that are read in a second.
SEGMENT = 1400  # Bytes of a segment, as on Ethernet.
ANSWER_LIMIT = 8.0  # Seconds from a request's last byte to the end of its answer.
MAX_PAUSE = 0.05  # Seconds between an answer and the next request.
_UPLOAD = "/once/1"
_LARGE = "/idem/large"


class SlowHost(Protocol):
    """The soak, as these callers see it."""

    def pick_instance(self) -> str:
        """Return the name of an instance that should take calls."""

    def find_address(self, name: str) -> Address:
        """Return where an instance listens."""

    def is_leaving(self, name: str) -> bool:
        """Return whether an instance is leaving and has not ended."""

    def was_disturbed(self, name: str, since: float) -> bool:
        """Return whether something else befell an instance since a time."""


class SlowCall(NamedTuple):
    """How a request ended; ``status`` is 0 if its connection did before.

    ``is_owed`` tells that its instance was only leaving as it ended.
    """

    call_id: str
    instance: str
    status: int
    is_whole: bool
    is_owed: bool


class SlowCallers:
    """The callers, and how their requests ended."""

    def __init__(
        self, draw: random.Random, host: SlowHost, get_key: Callable[[str], str]
    ) -> None:
        self._draw = draw
        self._host = host
        self._get_key = get_key
        self._serial = 0
        self._calls: list[SlowCall] = []
        self.counts: Counter[str] = Counter()

    async def run(self, is_over: Callable[[], bool]) -> None:
        """Send requests until the end, on connections that are kept."""
        while not is_over():
            name = self._host.pick_instance()
            try:
                await self._use_connection(name, is_over)
            except OSError:
                # The instance is away; another one is picked.
                await asyncio.sleep(MAX_PAUSE)

    async def _use_connection(self, name: str, is_over: Callable[[], bool]) -> None:
        sock = _make_socket()
        address = self._host.find_address(name)
        await asyncio.get_running_loop().sock_connect(sock, address)
        reader, writer = await asyncio.open_connection(sock=sock, limit=READ_SIZE)
        is_open = True
        while is_open and not is_over():
            is_open = await self._call(name, reader, writer)
            await asyncio.sleep(self._draw.uniform(0.0, MAX_PAUSE))
        writer.close()

    async def _call(self, name: str, reader, writer) -> bool:
        """Send one request; return whether its connection stays open."""
        self._serial += 1
        call_id = f"s{self._serial}"
        path = self._draw.choice((_UPLOAD, _LARGE))
        began = time.monotonic()
        answer = Answer(0, {}, b"", False)
        try:
            await self._upload(writer, call_id, path)
            read = read_answer(_SlowReader(reader))
            answer = await asyncio.wait_for(read, ANSWER_LIMIT)
        except (OSError, EOFError, TimeoutError, ValueError):
            # The connection ended; what that means is judged by the runs.
            pass
        self._note(call_id, name, path, began, answer)
        return answer.is_whole and answer.headers.get("connection") != "close"

    async def _upload(self, writer, call_id: str, path: str) -> None:
        headers = make_headers(Wanted(call_id, key=self._get_key(call_id)))
        lines = [f"POST {path} HTTP/1.1", "Host: h.example"]
        lines += [f"Content-Length: {UPLOAD_SIZE}"]
        lines += [f"{field}: {value}" for field, value in headers.items()]
        data = "\r\n".join([*lines, "", ""]).encode() + bytes(UPLOAD_SIZE)
        pause = self._draw.uniform(*UPLOAD_TIME) / PIECES
        size = -(-len(data) // PIECES)
        for start in range(0, len(data), size):
            await asyncio.sleep(pause)
            writer.write(data[start : start + size])
            await writer.drain()

    def _note(
        self, call_id: str, name: str, path: str, began: float, answer: Answer
    ) -> None:
        kind = "upload" if path == _UPLOAD else "large"
        status = answer.status if answer.is_whole else 0
        self.counts[f"{kind}_{status}"] += 1
        is_leaving = self._host.is_leaving(name)
        self.counts[f"{kind}_at_drain"] += is_leaving
        is_owed = is_leaving and not self._host.was_disturbed(name, began)
        call = SlowCall(call_id, name, status, answer.is_whole, is_owed)
        self._calls.append(call)

    def check(self, runs: Counter[str], spoiled: set[str]) -> Iterator[Breach]:
        """Return the breaches, given the runs and what runners broke off."""
        for call in self._calls:
            if not runs[call.call_id] or call.call_id in spoiled:
                continue
            told = f"{call.call_id} at {call.instance}"
            if not call.status and call.is_owed:
                yield Breach("cut_by_drain", told)
            elif call.status in PROMISES:
                yield Breach("false_not_run", f"{told} {call.status}")


class _SlowReader:
    """Reads from a connection at a bounded rate."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self._reader = reader

    async def readuntil(self, separator: bytes) -> bytes:
        """Read a head or a line at once."""
        return await self._reader.readuntil(separator)

    async def readexactly(self, count: int) -> bytes:
        """Read a body piece by piece."""
        data = bytearray()
        while len(data) < count:
            size = min(READ_SIZE, count - len(data))
            data += await self._reader.readexactly(size)
            await asyncio.sleep(size / READ_RATE)
        return bytes(data)


def _make_socket() -> socket.socket:
    """Return a socket that buffers little, in segments as on a network."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_SIZE)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)
    sock.setblocking(False)
    return sock
