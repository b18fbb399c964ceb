"""Read and write HTTP/1.1 messages on asyncio streams, for the stand-ins."""

import asyncio
from typing import NamedTuple

HEAD_END = b"\r\n\r\n"


class Message(NamedTuple):
    """A request or an answer; header names are in lower case.

    ``first`` is the request line or the status line without its line end.
    """

    first: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first.split()[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the first line and the headers of a message."""
    head = (await reader.readuntil(HEAD_END)).decode("latin-1")
    first, *lines = head.rstrip().split("\r\n")
    pairs = [line.partition(":") for line in lines]
    headers = {name.strip().lower(): text.strip() for name, _, text in pairs}
    return Message(first, headers, b"")


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body has a length or comes in chunks."""
    message = await read_head(reader)
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        return message._replace(body=await _read_chunks(reader))
    length = int(message.headers.get("content-length", 0))
    return message._replace(body=await reader.readexactly(length))


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = bytearray()
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return bytes(body)
        body += data[:-2]


def write_message(first: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a message with a length."""
    lines = [first, *(f"{name}: {text}" for name, text in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
