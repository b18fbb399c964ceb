"""Stand in for a plain runner that reads bodies of any size and keeps none.

Some calls run at once and the others wait. It tells of each call how many
bytes of body came, and their digest.
"""

import asyncio
import hashlib
from typing import NamedTuple

from standins.runners import STAMP

PLACES = 6  # Calls that run at once.
LARGE_ANSWER = 3_000_000  # Bytes of the answer on a path that ends so.
LARGE_PATH = "/large"
SLOW_PATH = "/slow"
SLOW_TIME = 1.0  # Seconds that a call on such a path runs.
READ_SIZE = 65536


class Run(NamedTuple):
    """A call that ran: its id, and the digest of its body."""

    call_id: str
    digest: str


class Sink:
    """The runner, at a port of loopback."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._server: asyncio.Server | None = None
        self._places = asyncio.Semaphore(PLACES)
        self.runs: list[Run] = []

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self._port, backlog=1000
        )

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader, writer) -> None:
        try:
            while await self._answer(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The instance has left the connection, or the sink is closed.
            pass
        finally:
            writer.close()

    async def _answer(self, reader, writer) -> bool:
        """Answer one call; return whether the connection stays open."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *rest = head.rstrip().split("\r\n")
        path = first.split(" ")[1]
        fields = dict(line.lower().split(": ", 1) for line in rest)
        digest = hashlib.sha256()
        left = int(fields.get("content-length", 0))
        while left:
            data = await reader.read(min(left, READ_SIZE))
            if not data:
                return False
            digest.update(data)
            left -= len(data)
        call_id = fields.get("request-id", "")
        async with self._places:
            self.runs.append(Run(call_id, digest.hexdigest()))
            await asyncio.sleep(SLOW_TIME if path.endswith(SLOW_PATH) else 0.0)
        body = b"x" * (LARGE_ANSWER if path.endswith(LARGE_PATH) else 2)
        lines = ["HTTP/1.1 200 OK", f"Request-Id: {call_id}", f"{STAMP}: stamp-sink"]
        lines += [f"Content-Length: {len(body)}", "", ""]
        writer.write("\r\n".join(lines).encode() + body)
        await writer.drain()
        return fields.get("connection") != "close"
