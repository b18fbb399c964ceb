"""Read and write HTTP messages, and hold the names of the platform's wire."""

import asyncio
import json
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

NAMES = json.loads(Path(__file__).with_name("names.json").read_text())
REASON = "Answer"


class Message(NamedTuple):
    """A request or an answer: its first line, headers and whole body."""

    first: str
    headers: dict[str, str]
    body: bytes


def now() -> float:
    """Return the steady time in seconds."""
    return time.monotonic()


async def read_message(
    reader: asyncio.StreamReader, keep: Callable[[bytes], None] = lambda data: None
) -> Message:
    """Read a message whose body has a length, chunks or nothing.

    ``keep`` gets each chunk as it comes: the answer may be cut behind it.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    headers = {name.strip().lower(): value.strip() for name, value in pairs}
    if headers.get("transfer-encoding", "") != "chunked":
        length = int(headers.get("content-length", 0))
        return Message(first, headers, await reader.readexactly(length))
    body = b""
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return Message(first, headers, body)
        body += data[:-2]
        keep(data[:-2])


def encode_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} {REASON}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    writer.transport.abort()
