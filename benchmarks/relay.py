"""Measure the relay of streams: chunks a core-second, streams, memory.

One source process sends many streams of events, each at a steady pace; one
reading process takes them. Between them stands the daemon, and in a second
run of the same load a bare copy from socket to socket, so that the ratio of
the two is free of the machine's speed. Prints JSON.
"""

import argparse
import asyncio
import json
import resource
import selectors
import socket
import sys
import tempfile
import time
from pathlib import Path

from demo.fleet import EngineSpec, Fleet, Process
from standins.http import (
    Connection,
    Received,
    Reply,
    encode_head,
    reply_json,
    serve,
)

PACE = 0.049  # Seconds between the chunks of a stream.
EVENT = b"id: 1\ndata: " + b"x" * 48 + b"\n\n"
CHUNK = b"%x\r\n%b\r\n" % (len(EVENT), EVENT)
SLICES = 20  # Parts of the pace in which streams get their chunks.
SETTLE = 2.0  # Seconds after the last stream is open, before measuring.


class Source:
    """An engine that holds every copy and sends chunks at the pace."""

    def __init__(self) -> None:
        self._copies: list[str] = []
        self._streams: set[asyncio.StreamWriter] = set()

    async def run(self, port: int) -> None:
        """Serve until the process is ended."""
        server = await serve("127.0.0.1", port, self._handle)
        sender = asyncio.create_task(self._send_chunks())
        await server.serve_forever()
        sender.cancel()

    async def _handle(self, request: Received, connection: Connection) -> Reply | None:
        if request.path == "/v1/models":
            return reply_json({"data": [{"id": name} for name in self._copies]})
        if request.path == "/metrics":
            return Reply(200, b"process_start_time_seconds 1.0")
        if request.path == "/v1/load_lora_adapter":
            self._copies.append(request.read_json()["lora_name"])
            return Reply(200)
        if not request.path.startswith("/v1/completions"):
            return Reply(200)
        kind = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        await connection.write(encode_head(200, kind))
        self._streams.add(connection.writer)
        await connection.writer.wait_closed()
        return None

    async def _send_chunks(self) -> None:
        turn = 0
        while True:
            began = time.monotonic()
            self._send_slice(turn % SLICES)
            turn += 1
            used = time.monotonic() - began
            await asyncio.sleep(max(0.0, PACE / SLICES - used))

    def _send_slice(self, part: int) -> None:
        """Send a chunk to a part of the streams, as tokens are spread."""
        for index, writer in enumerate(tuple(self._streams)):
            if index % SLICES != part:
                continue
            if writer.is_closing():
                self._streams.discard(writer)
            else:
                writer.write(CHUNK)


def run_copy(port: int, target: int) -> None:
    """Copy bytes between sockets with a selector and nothing else."""
    selector = selectors.DefaultSelector()
    listener = socket.create_server(("127.0.0.1", port), backlog=4096)
    listener.setblocking(False)
    selector.register(listener, selectors.EVENT_READ)
    while True:
        for key, _ in selector.select():
            if key.fileobj is listener:
                caller, _ = listener.accept()
                endpoint = socket.create_connection(("127.0.0.1", target))
                for one, other in ((caller, endpoint), (endpoint, caller)):
                    one.setblocking(False)
                    one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    selector.register(one, selectors.EVENT_READ, other)
                continue
            try:
                data = key.fileobj.recv(65536)
            except BlockingIOError:
                continue
            if data:
                key.data.send(data)
                continue
            for one in (key.fileobj, key.data):
                selector.unregister(one)
                one.close()


class Readers:
    """Many callers that each read one stream, on one selector."""

    def __init__(self, port: int, model: str) -> None:
        self._port = port
        body = json.dumps({"model": model, "prompt": "p", "stream": True}).encode()
        head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        self._request = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        self._selector = selectors.DefaultSelector()
        self._sockets: list[socket.socket] = []
        self.chunks = 0

    def open(self, count: int) -> None:
        """Open streams, each answered before the next few."""
        for _ in range(count):
            one = socket.create_connection(("127.0.0.1", self._port))
            one.sendall(self._request)
            one.setblocking(False)
            self._selector.register(one, selectors.EVENT_READ)
            self._sockets.append(one)
            if len(self._sockets) % 50 == 0:
                self.read(0.05)

    def read(self, seconds: float) -> None:
        """Read what comes for some seconds and count the events."""
        end = time.monotonic() + seconds
        while (left := end - time.monotonic()) > 0:
            for key, _ in self._selector.select(left):
                data = key.fileobj.recv(65536)
                if not data:
                    self._selector.unregister(key.fileobj)
                    continue
                self.chunks += data.count(b"data: ")

    def close(self) -> None:
        """Close every stream."""
        for one in self._sockets:
            one.close()


def read_processor(pid: int) -> float:
    """Return the seconds of processor that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / 100.0


def read_memory(pid: int) -> int:
    """Return the resident bytes of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * resource.getpagesize()


def measure(process: Process, model: str, streams: int, seconds: float) -> dict:
    """Measure a relay process under a number of streams."""
    pid = process.child.pid
    before = read_memory(pid)
    readers = Readers(process.address.port, model)
    readers.open(streams)
    readers.read(SETTLE)
    readers.chunks = 0
    processor, began = read_processor(pid), time.monotonic()
    readers.read(seconds)
    wall = time.monotonic() - began
    used = read_processor(pid) - processor
    memory = read_memory(pid) - before
    readers.close()
    return {
        "streams": streams,
        "chunks_per_second": round(readers.chunks / wall),
        "core_share": round(used / wall, 3),
        "chunks_per_core_second": round(readers.chunks / max(used, 0.01)),
        "bytes_per_stream": round(memory / streams),
    }


def run(streams: int, seconds: float) -> dict:
    """Measure the daemon and the bare copy on the same load."""
    with tempfile.TemporaryDirectory() as temporary:
        fleet = Fleet(Path(temporary), {"most_running": "4096"})
        try:
            fleet.start_platform()
            source = _start(fleet, "source", "source", [str(streams)])
            fleet.engines["source"] = source
            fleet.specs["source"] = EngineSpec("source", "a", width=100_000)
            source.wait_until("/health")
            daemon = fleet.start_instance("entry-0", "a")
            fleet.roll(_make_bundle(fleet))
            result = measure(daemon, "m@1", streams, seconds)
            copy = _start(fleet, "copy", "copy", [str(source.address.port)])
            time.sleep(0.5)
            bare = measure(copy, "m@1", streams, seconds)
            copy.kill()
        finally:
            fleet.close()
    ratio = result["chunks_per_core_second"] / bare["chunks_per_core_second"]
    return {"daemon": result, "bare_copy": bare, "ratio": round(ratio, 3)}


def _make_bundle(fleet: Fleet) -> dict:
    service = {"organisation": "t", "priority": "interactive", "most_queued": 4096}
    adapter = {"versions": {"1": "m/1"}, "services": ["s"]}
    return {
        "adapters": {"m": adapter},
        "services": {"s": service},
        "endpoints": fleet.describe_endpoints(),
    }


def _start(fleet: Fleet, name: str, role: str, more: list[str]) -> Process:
    port = fleet.find_port(name)
    command = [sys.executable, "-m", "benchmarks.relay", "--role", role]
    command += ["--port", str(port), "--with", *more]
    process = Process(name, command, port, fleet._folder / f"{name}.log")
    process.start()
    return process


def main() -> None:
    """Read the flags and run."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--role", default="measure")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--with", type=int, default=0, dest="value")
    parser.add_argument("--streams", type=int, default=1200)
    parser.add_argument("--seconds", type=float, default=5.0)
    args = parser.parse_args()
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(limit, 65536), limit))
    if args.role == "source":
        asyncio.run(Source().run(args.port))
    elif args.role == "copy":
        run_copy(args.port, args.value)
    else:
        print(json.dumps(run(args.streams, args.seconds), indent=2))


if __name__ == "__main__":
    main()
