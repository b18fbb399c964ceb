"""Start and end the processes of a small deployment on loopback."""

import contextlib
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import NamedTuple

from demo.ports import PortBlock
from roadlift.core.errors import RoadliftError
from roadlift.relay.address import Address
from roadlift.relay.upstream import Request
from roadlift.store.client import call_directly

ROOT = Path(__file__).resolve().parent.parent
START_LIMIT = 20.0  # Seconds for a process to answer.


class EngineSpec(NamedTuple):
    """One engine to start; ``step`` is in seconds a token."""

    name: str
    zone: str
    fences: bool = True
    resumes: bool = True
    slots: int = 4
    width: int = 8
    step: float = 0.005


def run_tool(*arguments: str) -> str:
    """Run the command-line tool and return what it printed."""
    command = [sys.executable, "-m", "roadlift.management.main", *arguments]
    done = subprocess.run(command, capture_output=True, text=True, cwd=ROOT)
    if done.returncode:
        raise RuntimeError(f"{arguments}: {done.stdout}{done.stderr}")
    return done.stdout


class Machine(NamedTuple):
    """What the machine of a process has: bytes of memory, and descriptors.

    The process is told by its resource limits, as by a service manager. The
    kernel enforces the one on descriptors, and not that on resident memory.
    """

    memory: int
    descriptors: int

    def apply(self) -> None:
        """Set the resource limits of the calling process."""
        for kind, amount in (
            (resource.RLIMIT_RSS, self.memory),
            (resource.RLIMIT_NOFILE, self.descriptors),
        ):
            resource.setrlimit(kind, (amount, amount))


class Process:
    """One child process with its address, and its machine if one is given."""

    def __init__(
        self,
        name: str,
        command: list[str],
        port: int,
        log: Path,
        machine: Machine | None = None,
    ) -> None:
        self.name = name
        self._machine = machine
        self.command = command
        self.address = Address("127.0.0.1", port)
        self._log = log
        self.child: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process; its output goes to its log."""
        with self._log.open("ab") as output:
            self.child = subprocess.Popen(
                self.command,
                stdout=output,
                stderr=output,
                cwd=ROOT,
                preexec_fn=self._machine and self._machine.apply,
            )

    def wait_until(self, path: str) -> None:
        """Wait until ``path`` answers with 200."""
        end = time.monotonic() + START_LIMIT
        while time.monotonic() < end:
            with contextlib.suppress(RoadliftError):
                if self.ask("GET", path).status == 200:
                    return
            time.sleep(0.05)
        raise TimeoutError(f"{self.name}: {path} gave no 200; see {self._log}")

    def ask(self, method: str, path: str, content: object = None):
        """Send one request to the process."""
        body = b"" if content is None else json.dumps(content).encode()
        headers = {"Content-Type": "application/json"}
        return call_directly(self.address, Request(method, path, headers, body), 5.0)

    def read(self, path: str):
        """Return the JSON at ``path``."""
        return json.loads(self.ask("GET", path).body)

    def send_signal(self, number: int) -> None:
        """Send a signal to this process alone, by its id."""
        if self.child is not None and self.child.poll() is None:
            os.kill(self.child.pid, number)

    def kill(self) -> None:
        """End the process at once."""
        if self.child is None:
            return
        self.send_signal(signal.SIGCONT)
        self.child.kill()
        self.child.wait()


class Fleet:
    """A platform, engines, a plain service and entry instances."""

    def __init__(
        self,
        folder: Path,
        settings: dict[str, str] | None = None,
        daemon: tuple[str, ...] = ("roadlift.daemon.main",),
        machine: Machine | None = None,
    ) -> None:
        self._folder = folder
        self._settings = settings or {}
        self._daemon = daemon
        self._machine = machine
        self._ports: dict[str, int] = {}
        self._port_block = PortBlock()
        self._port_block.start()
        self.platform: Process | None = None
        self.engines: dict[str, Process] = {}
        self.specs: dict[str, EngineSpec] = {}
        self.services: dict[str, Process] = {}
        self.service_zones: dict[str, str] = {}
        self.instances: dict[str, Process] = {}
        self.zones: dict[str, str] = {}

    def start_platform(self, rate: float = 9.0, width: int = 4) -> Process:
        """Start the platform's stand-in."""
        flags = ["--weight-rate", str(rate), "--weight-width", str(width)]
        self.platform = self._start("platform", "standins.platform", flags)
        self.platform.wait_until("/counts")
        return self.platform

    def start_engine(self, spec: EngineSpec) -> Process:
        """Start an engine's stand-in."""
        flags = ["--weights", str(self.platform.address.port)]
        flags += ["--slots", str(spec.slots), "--width", str(spec.width)]
        flags += ["--step", str(spec.step)]
        flags += ["--fences"] if spec.fences else []
        flags += ["--resumes"] if spec.resumes else []
        engine = self._start(spec.name, "standins.engine", flags)
        self.engines[spec.name] = engine
        self.specs[spec.name] = spec
        engine.wait_until("/health")
        return engine

    def start_service(self, name: str, zone: str) -> Process:
        """Start a plain service's stand-in."""
        self.services[name] = self._start(name, "standins.service", [])
        self.service_zones[name] = zone
        self.services[name].wait_until("/status")
        return self.services[name]

    def start_instance(self, name: str, zone: str, wait: bool = True) -> Process:
        """Start an entry instance, anew where one of the name has ended."""
        http, peer = self.find_port(name), self.find_port(f"{name}/peer")
        self.zones[name] = zone
        seeds = [f"127.0.0.1:{self.find_port(f'{other}/peer')}" for other in self.zones]
        values = {
            "instance": name,
            "zone": zone,
            "http": f"127.0.0.1:{http}",
            "peer": f"127.0.0.1:{peer}",
            "platform": str(self.platform.address),
            "seeds": ",".join(seeds),
            **self._settings,
        }
        flags = []
        for key, value in values.items():
            flags += [f"--{key.replace('_', '-')}", value]
        command = [sys.executable, "-m", *self._daemon, *flags]
        log = self._folder / f"{name}.log"
        instance = Process(name, command, http, log, self._machine)
        instance.start()
        self.instances[name] = instance
        if wait:
            instance.wait_until("/livez")
        return instance

    def wait_for_members(self) -> None:
        """Wait until every instance sees every other one alive."""
        end = time.monotonic() + START_LIMIT
        while time.monotonic() < end:
            seen = [
                sum(m["state"] == "alive" for m in process.read("/status")["members"])
                for process in self.instances.values()
            ]
            if min(seen) == len(self.instances):
                return
            time.sleep(0.05)
        raise TimeoutError(f"the instances see {seen} of {len(self.instances)}")

    def describe_endpoints(self) -> dict[str, dict]:
        """Return the endpoints section of a bundle for this fleet."""
        entries: dict[str, dict] = {}
        for name, spec in self.specs.items():
            entries[name] = {
                "address": str(self.engines[name].address),
                "zone": spec.zone,
                "kind": "engine",
                "fences": spec.fences,
                "slots": spec.slots,
                "width": spec.width,
            }
        for name, process in self.services.items():
            entries[name] = {
                "address": str(process.address),
                "zone": self.service_zones[name],
                "kind": "service",
                "service": "labels",
            }
        return entries

    def roll(self, document: dict) -> dict:
        """Propose, sign and roll a bundle with the command-line tool."""
        self.wait_for_members()
        path = self._folder / "bundle.json"
        path.write_text(json.dumps(document))
        platform = ["--platform", str(self.platform.address)]
        entry = str(next(iter(self.instances.values())).address)
        said = run_tool(
            "bundle", "propose", str(path), "--operator", "ann", *platform, "--json"
        )
        digest = json.loads(said)["digest"]
        run_tool("bundle", "sign", digest, "--operator", "ben", *platform)
        said = run_tool(
            "bundle", "roll", digest, "--wait", "--entry", entry, *platform, "--json"
        )
        return json.loads(said)

    def cut(self, zone: str, platform: bool) -> None:
        """Cut a zone off from the others, and perhaps from the platform.

        Works with the daemon of standins.faulty; callers reach all zones.
        """
        inside = self._list_addresses(zone, True)
        outside = self._list_addresses(zone, False)
        if platform:
            outside.append(str(self.platform.address))
        for name, own_zone in self.zones.items():
            self._block(name, outside if own_zone == zone else inside)

    def join(self) -> None:
        """Mend every cut."""
        for name in self.zones:
            self._block(name, [])

    def _list_addresses(self, zone: str, inside: bool) -> list[str]:
        found = []
        for name, own_zone in self.zones.items():
            if (own_zone == zone) == inside:
                found.append(str(self.instances[name].address))
                found.append(f"127.0.0.1:{self.find_port(f'{name}/peer')}")
        for name, spec in self.specs.items():
            if (spec.zone == zone) == inside:
                found.append(str(self.engines[name].address))
        return found

    def _block(self, name: str, addresses: list[str]) -> None:
        peer = ("127.0.0.1", self.find_port(f"{name}/peer"))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(json.dumps(addresses).encode(), peer)

    def close(self) -> None:
        """End every process that this fleet started."""
        groups = (self.instances, self.engines, self.services)
        for group in groups:
            for process in group.values():
                process.kill()
        if self.platform is not None:
            self.platform.kill()
        self._port_block.close()

    def find_port(self, name: str) -> int:
        """Return the port of a name, the same each time."""
        if name not in self._ports:
            self._ports[name] = self._port_block.choose()
        return self._ports[name]

    def _start(self, name: str, module: str, flags: list[str]) -> Process:
        port = self.find_port(name)
        command = [sys.executable, "-m", module, "--port", str(port), *flags]
        process = Process(name, command, port, self._folder / f"{name}.log")
        process.start()
        return process


def make_document(fleet: Fleet, adapters: int) -> dict:
    """Return a bundle with the fleet's endpoints and many adapters."""
    services = {
        "captions": {"organisation": "association", "priority": "interactive"},
        "stories": {"organisation": "association", "priority": "batch"},
        "reels": {"organisation": "rullivaht", "priority": "interactive"},
        "dossiers": {"organisation": "rullivaht", "priority": "batch"},
        "labels": {"organisation": "rullivaht", "priority": "standard"},
    }
    engine_services = [name for name in services if name != "labels"]
    entries = {}
    for index in range(adapters):
        name = f"ad-{index:05d}"
        versions = {str(n): f"{name}/{n}" for n in (1, 2)}
        assigned = [engine_services[index % 4]]
        entries[name] = {"versions": versions, "services": assigned}
    return {
        "adapters": entries,
        "services": services,
        "endpoints": fleet.describe_endpoints(),
    }
