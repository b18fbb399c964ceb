"""Run instances of the interface ``routes`` as processes on loopback.

One more process stands in for the platform's store and its runners.
"""

import asyncio
import sys
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple, Protocol

from demo.fleet import Machine, Process
from demo.ports import PortBlock
from roadlift.relay.address import Address
from standins.proxies import Proxy
from tests.support.configuration import SERVICES, describe_configuration, make_route

ZONES = ("z1", "z2", "z3")
REGIONS = "z1=north,z2=north,z3=south"
HOME_ZONE = "z3"  # Where the calls of the route /home/ may run.
COLD_RATE = 4.0  # Calls a second that a cold runner takes.
ADAPTER_SLOTS = 6  # Adapters that an engine holds at once.


class Answer(NamedTuple):
    """An answer: ``is_whole`` tells that it was framed to its end."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


class Channel:
    """A caller's connection to one instance, kept while it is open."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    def close(self) -> None:
        """Drop the connection."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None

    async def call(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b"",
        is_enough: Callable[[bytes], bool] = lambda body: False,
    ) -> Answer:
        """Send a request; status 0 is an answer that did not come.

        An answer in chunks is left once what came of it is enough.
        """
        called = self._call(method, path, headers, body, is_enough)
        try:
            return await asyncio.wait_for(called, 8.0)
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
            self.close()
            return Answer(0, {}, b"", False)

    async def _call(self, method, path, headers, content, is_enough) -> Answer:
        if self._writer is None:
            opened = await asyncio.open_connection(*self._address, limit=1 << 22)
            self._reader, self._writer = opened
        lines = [f"{method} {path} HTTP/1.1", "Host: h.example"]
        lines += [f"Content-Length: {len(content)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self._writer.write("\r\n".join([*lines, "", ""]).encode() + content)
        answer = await read_answer(self._reader, is_enough)
        if answer.headers.get("connection") == "close" or not answer.is_whole:
            self.close()
        return answer


class AnswerReader(Protocol):
    """What an answer is read from, such as asyncio's StreamReader."""

    async def readuntil(self, separator: bytes) -> bytes:
        """Read up to a separator."""

    async def readexactly(self, count: int) -> bytes:
        """Read so many bytes."""


async def read_answer(
    reader: AnswerReader, is_enough: Callable[[bytes], bool] = lambda body: False
) -> Answer:
    """Read an answer; one in chunks is left once what came of it is enough."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *rest = head.rstrip().split("\r\n")
    pairs = [line.split(":", 1) for line in rest]
    headers = {name.lower(): value.strip() for name, value in pairs}
    body, is_whole = await _read_body(reader, headers, is_enough)
    return Answer(int(first.split()[1]), headers, body, is_whole)


async def _read_body(
    reader: AnswerReader, headers: dict[str, str], is_enough: Callable[[bytes], bool]
) -> tuple[bytes, bool]:
    body = bytearray()
    try:
        if headers.get("transfer-encoding") != "chunked":
            length = int(headers.get("content-length", 0))
            return await reader.readexactly(length), True
        while True:
            line = await reader.readuntil(b"\r\n")
            data = await reader.readexactly(int(line, 16) + 2)
            if len(data) == 2:
                return bytes(body), True
            body += data[:-2]
            if is_enough(bytes(body)):
                return bytes(body), False
    except (asyncio.IncompleteReadError, ConnectionError):
        return bytes(body), False


class Deployment:
    """The processes: instances, and one for the store and the runners.

    ``rule`` is taken out of the instances' code; empty for none. ``more`` are
    settings beside the usual ones; ``machine`` is that of each instance;
    ``tenants`` are the organisations of the configurations that are written,
    and ``services`` their services, True for those with engines.
    """

    def __init__(
        self,
        folder: Path,
        instances: int,
        rule: str = "",
        more: dict[str, str] | None = None,
        machine: Machine | None = None,
    ) -> None:
        self._folder = folder
        self._machine = machine
        self._more = more or {}
        self.tenants: list[dict] = []
        self._daemon = ["standins.broken", rule] if rule else ["roadlift.daemon.main"]
        self._ports: dict[str, int] = {}
        self._port_block = PortBlock()
        self._port_block.start()
        self.proxies: dict[str, Proxy] = {}
        self.site = self._make_site()
        self.instances = {
            f"entry-{index}": self._make_instance(f"entry-{index}", ZONES[index % 3])
            for index in range(instances)
        }
        self.routes = 0
        self.services = dict(SERVICES)
        self._more_routes: list[dict] = []
        self.version = 1

    def find_port(self, name: str) -> int:
        """Return the port of a name, the same each time."""
        if name not in self._ports:
            self._ports[name] = self._port_block.choose()
        return self._ports[name]

    def _make_site(self) -> Process:
        command = [sys.executable, "-m", "standins.loopback"]
        command += ["--port", str(self.find_port("store"))]
        for number, zone in enumerate(ZONES):
            for service, kind, count in (("llm", "e", 2), ("plain", "p", 1)):
                for index in range(count):
                    name = f"{kind}{number}{index}"
                    port = self.find_port(name)
                    command += ["--runner", f"{service},{name},{zone},{port}"]
        log = self._folder / "site.log"
        return Process("site", command, self.find_port("store"), log)

    def _make_instance(self, name: str, zone: str) -> Process:
        proxy = Proxy(("127.0.0.1", self.find_port("store")))
        self.proxies[name] = proxy
        values = {
            "instance": name,
            "zone": zone,
            "zones": ",".join(ZONES),
            "regions": REGIONS,
            "http": f"127.0.0.1:{self.find_port(name)}",
            "ready": f"127.0.0.1:{self.find_port(name + '/ready')}",
            "peer": f"127.0.0.1:{self.find_port(name + '/peer')}",
            "platform": proxy.address,
            "interface": "routes",
            "adapter": "platform",
            "plugins": "platform/adapter",
            "retry_share": "0.2",
            "retry_slack": "50",
            "store_timeout": "0.7",
            "grace": "2.8",
            "drain_limit": "8",
            "log_format": "json",
            **self._more,
        }
        command = [sys.executable, "-m", *self._daemon]
        for key, value in values.items():
            command += [f"--{key.replace('_', '-')}", value]
        log = self._folder / f"{name}.log"
        return Process(name, command, self.find_port(name), log, self._machine)

    def start(self) -> None:
        """Start everything, and wait until calls are served."""
        self.site.start()
        self.site.wait_until("/control")
        self.write_configuration()
        for proxy in self.proxies.values():
            proxy.start()
        for process in self.instances.values():
            process.start()

    def close(self) -> None:
        """End every process that this deployment started."""
        for process in (*self.instances.values(), self.site):
            process.kill()
        for proxy in self.proxies.values():
            proxy.close()
        self._port_block.close()

    def command(self, **fields: object) -> None:
        """Give the site a command."""
        self.site.ask("POST", "/control", fields)

    def add_route(self, prefix: str, kind: str, service: str, **more: object) -> None:
        """Add a route to the configurations that are written from now on."""
        self._more_routes.append(make_route(prefix, kind, service, **more))

    def write_configuration(self) -> None:
        """Write the next version, with the routes that were added so far."""
        self.version += 1
        added = [
            make_route(f"/added-{number}/", "idempotent", "plain")
            for number in range(1, self.routes + 1)
        ]
        added.append(
            make_route("/home/", "idempotent", "plain", allowedRegions=["south"])
        )
        added += self._more_routes
        content = describe_configuration(
            self.version, added, self.services, ADAPTER_SLOTS, COLD_RATE
        )
        if self.tenants:
            content["tenants"] = self.tenants
        self.command(put="config", content=content)
