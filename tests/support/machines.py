"""Run one instance on a small machine, and watch what it takes."""

import asyncio
import os
import sys
import threading
from pathlib import Path
from typing import NamedTuple

from demo.fleet import EngineSpec, Fleet, Machine, Process, make_document
from demo.installation import ZONES, Answer, Channel, Deployment
from roadlift.relay.address import Address
from standins.sink import Run, Sink
from tests.support.callers import Wanted, make_headers

MEGABYTE = 1_000_000
PAGE = os.sysconf("SC_PAGE_SIZE")
WATCH_PERIOD = 0.2  # Seconds between looks at what a process takes.
TRIES = 12  # Of an ordinary caller, which comes back when it is refused.
PAUSE = 0.5  # Seconds between its tries.
SETTLING = 3.0  # Seconds until an instance knows its runners.
LISTENING = "0A"  # A state of sockets; their queues count connections.
SINKS = ("plain", "other")  # Services, of one runner each.
INSTANCE = "entry-0"
MODEL = "ad-00000@1"


class Queues(NamedTuple):
    """Bytes that the kernel holds: not yet acknowledged, and not yet read."""

    sent: int
    received: int


class Watch:
    """Watches a process from outside: its memory, descriptors and log.

    ``peak`` are the most bytes that it and the kernel on its behalf held:
    what was received and not yet read counts on a machine as well.
    """

    def __init__(self, process: Process, ports: list[int], log: Path) -> None:
        self._process = process
        self._ports = {f"{port:04X}" for port in ports}
        self._log = log
        self._is_over = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.peak = 0
        self.descriptors = 0

    def start(self) -> None:
        """Begin to watch."""
        self._thread.start()

    def close(self) -> None:
        """Stop watching."""
        self._is_over.set()
        self._thread.join()

    @property
    def is_alive(self) -> bool:
        """Return whether the process runs."""
        return self._process.child.poll() is None

    @property
    def highest(self) -> int:
        """Return the most bytes that were resident or held for the process."""
        return max(self.peak, self._read_resident("VmHWM"))

    def count_log(self) -> int:
        """Return the bytes that the process has logged."""
        return self._log.stat().st_size

    def _run(self) -> None:
        while not self._is_over.wait(WATCH_PERIOD) and self.is_alive:
            try:
                held = self._read_resident("VmRSS") + sum(self._read_queues())
                opened = len(os.listdir(f"/proc/{self._process.child.pid}/fd"))
            except OSError:
                # The process has ended, which the check of its life tells.
                return
            self.peak = max(self.peak, held)
            self.descriptors = max(self.descriptors, opened)

    def _read_resident(self, field: str) -> int:
        status = Path(f"/proc/{self._process.child.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith(field):
                return int(line.split()[1]) * 1024
        return 0

    def count_queued(self) -> int:
        """Return the bytes that the kernel holds for the process."""
        return sum(self._read_queues())

    def _read_queues(self) -> Queues:
        """Read the bytes in the queues of the process's listening ports."""
        total = Queues(0, 0)
        with open("/proc/net/tcp", encoding="ascii") as table:
            next(table)
            for line in table:
                _, local, _, state, queues = line.split()[:5]
                if local.partition(":")[2] in self._ports and state != LISTENING:
                    sent, received = (int(text, 16) for text in queues.split(":"))
                    total = Queues(total.sent + sent, total.received + received)
        return total


class SmallMachine:
    """What machines of both interfaces share: an instance, and its callers."""

    def __init__(self, folder: Path) -> None:
        self._log = folder / f"{INSTANCE}.log"
        self._serial = 0
        self.addresses: dict[str, Address] = {}
        self.watch: Watch | None = None

    async def call(self) -> bool:
        """Let an ordinary caller ask, and come back until it is served."""
        for _ in range(TRIES):
            self._serial += 1
            channel = Channel(self.addresses["front"])
            answer = await self._ask(channel)
            channel.close()
            if answer.status == 200 and answer.is_whole:
                return True
            await asyncio.sleep(PAUSE)
        return False

    async def _ask(self, channel: Channel) -> Answer:
        """Send a small request that any instance can serve."""
        raise NotImplementedError

    def read_log(self) -> str:
        """Return the end of the instance's log."""
        return self._log.read_text()[-2000:]

    def _start_watch(self, process: Process) -> None:
        """Watch the instance and its listening ports."""
        ports = [address.port for address in self.addresses.values()]
        self.watch = Watch(process, ports, self._log)
        self.watch.start()


class RoutesMachine(SmallMachine):
    """One instance of the interface ``routes``, before two plain runners.

    The calls of a crowd that stay at work have a runner of their own: what an
    ordinary caller meets is then the instance, and not a runner that is full.
    """

    def __init__(self, folder: Path, machine: Machine) -> None:
        super().__init__(folder)
        self._deployment = _Sinks(folder, 1, machine=machine)
        self._deployment.services = dict.fromkeys(SINKS, False)
        self._deployment.add_route("/kept/", "idempotent", "other", timeoutMs=20000)
        process = self._deployment.instances[INSTANCE]
        metrics = self._deployment.find_port("metrics")
        process.command += ["--metrics", f"127.0.0.1:{metrics}"]
        # A proxy before the store would be one of this process.
        store = self._deployment.find_port("store")
        process.command += ["--platform", f"127.0.0.1:{store}"]
        self.addresses = {
            "front": process.address,
            "ready": self._find_address(f"{INSTANCE}/ready"),
            "metrics": self._find_address("metrics"),
        }
        self._sinks = [Sink(self._deployment.find_port(name)) for name in SINKS]

    def _find_address(self, name: str) -> Address:
        return Address("127.0.0.1", self._deployment.find_port(name))

    async def start(self) -> None:
        """Start all, and wait until a call is served."""
        for sink in self._sinks:
            await sink.start()
        await asyncio.to_thread(self._deployment.start)
        self._start_watch(self._deployment.instances[INSTANCE])
        await asyncio.sleep(SETTLING)
        assert await self.call(), self.read_log()

    def close(self) -> None:
        """End all."""
        if self.watch is not None:
            self.watch.close()
        self._deployment.close()
        for sink in self._sinks:
            sink.close()

    def list_runs(self) -> list[Run]:
        """Return what the runners have run."""
        return [run for sink in self._sinks for run in sink.runs]

    async def _ask(self, channel: Channel) -> Answer:
        headers = make_headers(Wanted(f"ordinary{self._serial}"))
        return await channel.call("POST", "/idem/1", headers, b"small")


class _Sinks(Deployment):
    """A deployment whose runners are served elsewhere, one a service."""

    def _make_site(self) -> Process:
        port = self.find_port("store")
        command = [sys.executable, "-m", "standins.loopback", "--port", str(port)]
        for name in SINKS:
            runner = f"{name},sink-{name},{ZONES[0]},{self.find_port(name)}"
            command += ["--listed", runner]
        return Process("site", command, port, self._folder / "site.log")


class OpenAIMachine(SmallMachine):
    """One instance of the interface ``openai``, an engine and a service."""

    def __init__(self, folder: Path, machine: Machine) -> None:
        super().__init__(folder)
        self._fleet = Fleet(folder, machine=machine)

    async def start(self) -> None:
        """Start all, and wait until a call is served."""
        await asyncio.to_thread(self._start)
        assert await self.call(), self.read_log()

    def _start(self) -> None:
        fleet = self._fleet
        fleet.start_platform()
        fleet.start_engine(EngineSpec("engine-1", "a", slots=8, width=256))
        fleet.start_service("labels-1", "a")
        process = fleet.start_instance(INSTANCE, "a")
        fleet.roll(make_document(fleet, 8))
        self.addresses["front"] = process.address
        self._start_watch(process)

    def close(self) -> None:
        """End all."""
        if self.watch is not None:
            self.watch.close()
        self._fleet.close()

    async def _ask(self, channel: Channel) -> Answer:
        body = b'{"model": "%b", "prompt": "x", "max_tokens": 2}' % MODEL.encode()
        return await channel.call("POST", "/v1/completions", {}, body)


MACHINES = {"routes": RoutesMachine, "openai": OpenAIMachine}
