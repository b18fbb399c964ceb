"""Serve the few HTTP calls of a stand-in, with asyncio."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import NamedTuple


class Received(NamedTuple):
    """A request as a stand-in receives it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    def read_json(self) -> dict:
        """Return the body as JSON."""
        return json.loads(self.body or b"{}")


class Reply(NamedTuple):
    """An answer; ``status`` 0 drops the connection without one."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = {}


class Connection(NamedTuple):
    """The connection of a request, for a handler that answers itself."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def write(self, data: bytes) -> None:
        """Write bytes and feel the back-pressure."""
        self.writer.write(data)
        await self.writer.drain()

    @property
    def is_gone(self) -> bool:
        """Tell whether the far side has closed."""
        return self.reader.at_eof() or self.writer.transport.is_closing()


Handler = Callable[[Received, Connection], Awaitable[Reply | None]]


def reply_json(content: object, status: int = 200) -> Reply:
    """Return a JSON answer."""
    body = json.dumps(content).encode()
    return Reply(status, body, {"Content-Type": "application/json"})


def encode_head(status: int, headers: dict[str, str]) -> bytes:
    """Return the status line and headers."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode()


async def read_request(reader: asyncio.StreamReader) -> Received | None:
    """Read one request, or return None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        method, path, _ = first.split(" ", 2)
        pairs = [line.split(":", 1) for line in lines if line]
        headers = {name.lower(): value.strip() for name, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Received(method, path, headers, body)


async def serve(host: str, port: int, handle: Handler) -> asyncio.Server:
    """Serve requests; a handler that returns None has answered itself."""

    async def connect(reader, writer) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                reply = await handle(request, Connection(reader, writer))
                if reply is None or reply.status == 0:
                    break
                headers = {**reply.headers, "Content-Length": str(len(reply.body))}
                writer.write(encode_head(reply.status, headers) + reply.body)
                await writer.drain()
                if request.headers.get("connection") == "close":
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connect, host, port, limit=1 << 24, backlog=1024)
