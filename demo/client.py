"""Call the system as its callers do, and check every answer."""

import asyncio
import json
from typing import NamedTuple

from roadlift.relay.address import Address
from standins.state import make_word


class Reply(NamedTuple):
    """An answer: ``whole`` tells that it was framed to its end."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool

    def read_code(self) -> str:
        """Return the error's code, or nothing."""
        try:
            return json.loads(self.body)["error"]["code"]
        except (ValueError, KeyError, TypeError):
            return ""

    def read_outcome(self) -> str:
        """Return the error's outcome, or nothing."""
        try:
            return json.loads(self.body)["error"]["outcome"]
        except (ValueError, KeyError, TypeError):
            return ""


async def call(
    address: Address,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    limit: float = 60.0,
) -> Reply:
    """Send one request on a connection of its own; status 0 is no answer."""
    try:
        work = _call(address, method, path, body, headers or {})
        return await asyncio.wait_for(work, limit)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return Reply(0, {}, b"", False)


async def _call(address, method, path, body, headers) -> Reply:
    reader, writer = await asyncio.open_connection(*address, limit=1 << 24)
    try:
        lines = [f"{method} {path} HTTP/1.1", "Host: x", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        writer.write("\r\n".join(lines).encode() + body)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *rest = head.rstrip().split("\r\n")
        pairs = [line.split(":", 1) for line in rest]
        found = {name.lower(): value.strip() for name, value in pairs}
        status = int(first.split()[1])
        if found.get("transfer-encoding") == "chunked":
            text, whole = await _read_chunks(reader)
            return Reply(status, found, text, whole)
        length = int(found.get("content-length", 0))
        try:
            return Reply(status, found, await reader.readexactly(length), True)
        except asyncio.IncompleteReadError as error:
            return Reply(status, found, error.partial, False)
    finally:
        writer.close()


async def _read_chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    body = bytearray()
    try:
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return bytes(body), True
            body += data[:-2]
    except (asyncio.IncompleteReadError, ConnectionError):
        return bytes(body), False


async def complete(
    address: Address,
    model: str,
    prompt: str,
    tokens: int,
    stream: bool,
    headers: dict[str, str] | None = None,
) -> Reply:
    """Ask a model to complete a prompt."""
    content = {
        "model": model,
        "prompt": prompt,
        "max_tokens": tokens,
        "stream": stream,
    }
    kind = {"Content-Type": "application/json", **(headers or {})}
    return await call(
        address, "POST", "/v1/completions", json.dumps(content).encode(), kind
    )


def read_text(reply: Reply) -> str:
    """Return the text of a whole or streamed answer."""
    if reply.headers.get("content-type", "").startswith("text/event-stream"):
        words = []
        for event in reply.body.decode().split("\n\n"):
            lines = [line for line in event.split("\n") if line.startswith("data: {")]
            for line in lines:
                choices = json.loads(line[len("data: ") :]).get("choices", [])
                words += [choice["text"] for choice in choices]
        return "".join(words)
    return json.loads(reply.body)["choices"][0]["text"]


def expect_text(model: str, prompt: str, tokens: int) -> str:
    """Return what the weights of ``adapter@version`` must say."""
    path = model.replace("@", "/")
    return "".join(make_word(path, prompt, index) for index in range(tokens))
