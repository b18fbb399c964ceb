"""Measure a real daemon: at rest, by requests, and by streams."""

import asyncio
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from benchmarks.capacity.fit import Slope, fit
from benchmarks.relay import read_memory, read_processor, run
from demo.client import complete
from demo.fleet import EngineSpec, Fleet, make_document

REST = 3.0  # Seconds of a measurement at rest.


EMPTY = """
import time
from circuits.web.servers import BaseServer
from circuits.core.pollers import EPoll
server = BaseServer(("127.0.0.1", 0)) + EPoll()
server.start()
time.sleep(60)
"""


def measure_empty() -> Slope:
    """Measure the memory of a web server of circuits with nothing else."""
    child = subprocess.Popen([sys.executable, "-c", EMPTY], stderr=subprocess.DEVNULL)
    try:
        time.sleep(2.0)
        size = read_memory(child.pid)
    finally:
        child.kill()
        child.wait()
    return fit("process.empty_memory", "bytes", "process", [(1, size)], held=False)


def measure_rest() -> list[Slope]:
    """Measure a daemon that has peers and a bundle, and nothing to do."""
    shares, sizes = [], []
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder))
        try:
            fleet.start_platform()
            fleet.start_engine(EngineSpec("engine-1", "a"))
            daemon = fleet.start_instance("entry-0", "a")
            for count in (2, 4, 6, 8):
                while len(fleet.instances) < count:
                    fleet.start_instance(f"entry-{len(fleet.instances)}", "a")
                fleet.wait_for_members()
                if count == 2:
                    fleet.roll(make_document(fleet, 3000))
                time.sleep(1.0)
                before = read_processor(daemon.child.pid)
                time.sleep(REST)
                used = read_processor(daemon.child.pid) - before
                shares.append((count, used / REST))
                sizes.append((count, read_memory(daemon.child.pid)))
        finally:
            fleet.close()
    return [
        fit("process.rest_processor", "cores", "instance", shares),
        fit("process.rest_memory", "bytes", "instance", sizes),
    ]


def measure_requests() -> list[Slope]:
    """Measure the processor time of whole requests over HTTP."""
    points = []
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder))
        try:
            fleet.start_platform(rate=100.0, width=8)
            fleet.start_engine(EngineSpec("engine-1", "a", slots=8, step=0.0001))
            daemon = fleet.start_instance("entry-0", "a")
            fleet.roll(make_document(fleet, 3000))
            for count in (50, 100, 200, 400):
                before = read_processor(daemon.child.pid)
                began = time.monotonic()
                asyncio.run(_send(daemon.address, count))
                seconds = time.monotonic() - began
                used = read_processor(daemon.child.pid) - before
                points.append((count, used - 0.01 * seconds))
        finally:
            fleet.close()
    return [fit("process.request_processor", "s", "request", points)]


async def _send(address, count: int) -> None:
    for index in range(count):
        model = f"ad-{index % 6:05d}@1"
        reply = await complete(address, model, f"p{index}", 1, False)
        assert reply.status == 200, reply


def measure_streams() -> list[Slope]:
    """Measure the processor time and memory of streams."""
    shares, sizes = [], []
    for streams in (200, 400, 600, 1200):
        found = run(streams, 2.0)["daemon"]
        shares.append((found["chunks_per_second"], found["core_share"]))
        sizes.append((streams, found["bytes_per_stream"] * streams))
    return [
        fit("process.chunk_processor", "cores", "chunk/s", shares),
        fit("process.stream_memory", "bytes", "stream", sizes),
    ]


def measure_processes() -> list[Slope]:
    """Return the slopes of a real daemon."""
    return [measure_empty(), *measure_rest(), *measure_requests(), *measure_streams()]
