"""Start the project's own program, and call it as callers do."""

import asyncio
import json
import os
import signal
import socket
import subprocess
from pathlib import Path
from typing import NamedTuple

from wire import NAMES, now, read_message

ROOT = Path(__file__).resolve().parents[2]
COMMAND = ["python3", "-m", "roadlift.daemon.main"]  # Of the deploy file.
BOUNDS = {
    "memory_mb": 300,
    "max_descriptors": 4100,
    "link_mbps": 1000.0,
    "holder_quiet_ms": 3000,
    "retry_share": 0.2,
    "retry_slack": 52,
    "retry_window": 10,
    "drain_limit": 8,
    "endpoint_drain_ms": 2000,
    "grace": 2.8,
    "store_timeout": 0.7,
    "interface": "routes",
    "adapter": "platform",
    "plugins": "platform/adapter",
    "log_format": "json",
}


class Ports:
    """Free ports; all are held until the last one is chosen."""

    def __init__(self) -> None:
        self._held: list[socket.socket] = []

    def choose(self) -> int:
        """Return a free port."""
        held = socket.socket()
        held.bind(("127.0.0.1", 0))
        self._held.append(held)
        return held.getsockname()[1]

    def release(self) -> None:
        """Let the ports be used."""
        for held in self._held:
            held.close()


class Instance:
    """One process of the project, with the settings of the deploy file."""

    def __init__(
        self, folder: Path, name: str, zone: str, zones: list[str], ports: Ports
    ) -> None:
        self.name = name
        self.zone = zone
        self.port = ports.choose()
        self.ready_port = ports.choose()
        self.store_port = ports.choose()
        self._file = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self._child: subprocess.Popen | None = None
        self._content = {
            "instance": name,
            "zone": zone,
            "zones": ",".join(zones),
            "regions": ",".join(f"{one}=r" for one in zones),
            "http": f"127.0.0.1:{self.port}",
            "ready": f"127.0.0.1:{self.ready_port}",
            "metrics": f"127.0.0.1:{ports.choose()}",
            "peer": f"127.0.0.1:{ports.choose()}",
            "platform": f"127.0.0.1:{self.store_port}",
            **BOUNDS,
        }
        self.write_settings()

    def write_settings(self) -> None:
        """Write the settings file, anew if it is there."""
        self._file.write_text(json.dumps(self._content))

    def start(self) -> None:
        """Start the process; its output goes to a file."""
        variables = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "ROADLIFT_NODE_FILE": str(self._file),
        }
        with self._log.open("ab") as log:
            self._child = subprocess.Popen(
                COMMAND, cwd=ROOT, env=variables, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        self._child.send_signal(number)

    def poll(self) -> int | None:
        """Return how the process ended, or None while it runs."""
        return self._child.poll()

    def wait(self) -> int:
        """Wait for the end of the process, and return how it ended."""
        return self._child.wait()

    def end(self) -> None:
        """Kill the process."""
        if self._child is not None and self._child.poll() is None:
            self._child.kill()
            self._child.wait()

    async def is_ready(self) -> bool:
        """Ask whether the process is ready, as the platform does."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready_port)
        except OSError:
            return False
        try:
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: platform\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader), 1.0)
            return answer.first.split(" ")[1] == "200"
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()


class Sent(NamedTuple):
    """A request of a caller: when it was sent, and how it ended."""

    at: float
    call_id: str
    instance: str
    status: int
    ended_at: float


async def call(instance: Instance, call_id: str, path: str, limit: float) -> Sent:
    """Send one request on a new channel; status 0 is no whole answer."""
    sent_at = now()
    try:
        status = await asyncio.wait_for(
            _call(instance, call_id, path, limit), limit + 1.0
        )
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        status = 0
    return Sent(sent_at, call_id, instance.name, status, now())


async def _call(instance: Instance, call_id: str, path: str, limit: float) -> int:
    reader, writer = await asyncio.open_connection("127.0.0.1", instance.port)
    try:
        lines = [
            f"POST {path} HTTP/1.1",
            "Host: review.example",
            f"{NAMES['call_id']}: {call_id}",
            f"{NAMES['time_left']}: {int(limit * 1000)}",
            "Content-Length: 2",
        ]
        writer.write("\r\n".join([*lines, "", "{}"]).encode())
        answer = await read_message(reader)
        return int(answer.first.split(" ")[1])
    finally:
        writer.close()


def describe_configuration(version: int, service: str) -> dict:
    """Return a configuration with a route of each kind to a plain service."""
    route = NAMES["route"]
    kinds = {"/once/": NAMES["once"], "/again/": NAMES["repeatable"]}
    routes = [
        {
            "name": prefix.strip("/"),
            "host": "review.example",
            route["prefix"]: prefix,
            "kind": kind,
            route["timeout"]: 1000,
            route["objective"]: 200,
            route["service"]: service,
            "priority": 2,
            "attempts": 1 if kind == NAMES["once"] else 2,
        }
        for prefix, kind in kinds.items()
    ]
    backend = {"name": service, "healthPath": "/healthz", NAMES["connections"]: 96}
    return {
        "version": version,
        "routes": routes,
        NAMES["services"]: [backend],
        "limits": NAMES["limits"],
    }


async def wait_until_ready(instances: list[Instance], limit: float) -> bool:
    """Wait until all instances are ready; return whether they are."""
    end = now() + limit
    while now() < end:
        if all([await one.is_ready() for one in instances]):
            return True
        await asyncio.sleep(0.1)
    return False


def describe_streams(version: int, service: str) -> dict:
    """Return a configuration with a route of streams that may be resumed."""
    route = NAMES["route"]
    content = describe_configuration(version, service)
    content[NAMES["services"]][0]["engine"] = NAMES["engine"]
    content["routes"].append(
        {
            "name": "tale",
            "host": "review.example",
            route["prefix"]: "/tale/",
            "kind": NAMES["kind_of_streams"],
            NAMES["may_resume"]: True,
            NAMES["pause"]: 400,
            route["timeout"]: 6000,
            route["objective"]: 1000,
            route["service"]: service,
            "priority": 0,
            "attempts": 2,
        }
    )
    return content
