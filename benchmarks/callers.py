"""Measure a daemon's memory after hard callers, and print it as JSON.

The callers are a slow one with an answer of 2,000 chunks, 200 streams at
once, and a prompt of 1 MiB, one after the other.
"""

import asyncio
import json
import socket
import tempfile
import time
from pathlib import Path

from benchmarks.relay import read_memory
from demo.client import complete
from demo.fleet import EngineSpec, Fleet, make_document

MODEL = "ad-00000@1"


async def open_streams(address, count: int) -> None:
    """Open streams at once and read them to their end."""
    calls = [complete(address, MODEL, f"p{i}", 50, True) for i in range(count)]
    for reply in await asyncio.gather(*calls):
        assert reply.whole, reply


async def send_large(address, size: int) -> None:
    """Send a large prompt."""
    reply = await complete(address, MODEL, "y" * size, 2, False)
    assert reply.status == 200 and reply.whole, reply


def read_slowly(address, chunks: int) -> None:
    """Read a long stream with a small buffer, after a pause."""
    content = {"model": MODEL, "prompt": "z", "max_tokens": chunks, "stream": True}
    body = json.dumps(content).encode()
    head = f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}"
    data = bytearray()
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.connect(address)
        caller.sendall(f"{head}\r\nConnection: close\r\n\r\n".encode() + body)
        time.sleep(1.0)
        while part := caller.recv(16384):
            data += part
    assert data.count(b"data: {") == chunks


def run() -> dict[str, float]:
    """Return the resident MiB of the daemon at the start and after each."""
    found: dict[str, float] = {}
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder))
        try:
            fleet.start_platform()
            fleet.start_engine(EngineSpec("engine-1", "a", slots=8, width=256))
            daemon = fleet.start_instance("entry-0", "a")
            fleet.roll(make_document(fleet, 3000))

            def note(name: str) -> None:
                """Keep the memory of this moment."""
                found[name] = round(read_memory(daemon.child.pid) / 2**20, 1)

            asyncio.run(send_large(daemon.address, 1))
            note("at the start")
            read_slowly(daemon.address, 2000)
            note("after 2,000 chunks at a slow caller")
            asyncio.run(open_streams(daemon.address, 200))
            note("after 200 streams at once")
            asyncio.run(send_large(daemon.address, 2**20))
            note("after a prompt of 1 MiB")
        finally:
            fleet.close()
    return found


if __name__ == "__main__":
    print(json.dumps(run(), indent=2))
