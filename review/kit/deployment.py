"""Start the deploy file's command as processes, with a store beside them.

Each instance has a loopback address of its own and the settings that
``deploy/node.json`` gives on a small deployment.
"""

import asyncio
import json
import os
import random
import re
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from review.kit.platform import LIMITS, NAMES, SERVICE, SETTINGS
from review.kit.store import Store

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("zone-a", "zone-b", "zone-c")
REGION = "north"
START_LIMIT_S = 20.0  # Seconds for the instances to become ready.
STORE_HOST = 1  # The last part of the store's address.
FIRST_INSTANCE_HOST = 11
FIRST_RUNNER_HOST = 101


def _choose_network() -> str:
    """Return the first three parts of loopback addresses for this run."""
    return f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"


def _find_port(host: str) -> int:
    """Return a port that is free at an address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Instance:
    """One entry instance: the deploy file's command as a process."""

    def __init__(self, name: str, zone: str, host: str, folder: Path) -> None:
        self.name = name
        self.zone = zone
        self.host = host
        self.front = (host, _find_port(host))
        self.ready = (host, _find_port(host))
        self.peer_port = _find_port(host)
        self._settings = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self._store = ""
        self.process: subprocess.Popen | None = None

    def start(self, store: str) -> None:
        """Write the settings file and start the process."""
        self._store = store
        self._settings.write_text(_fill_template(self, store))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        kept = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "ROADLIFT_NODE_FILE": str(self._settings),
        }
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def restart(self) -> None:
        """Start the process again, as the platform does after its end."""
        self.start(self._store)

    def signal(self, number: int) -> None:
        """Send the process a signal."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def read_log(self) -> str:
        """Return what the process has logged."""
        return self._log.read_text(errors="replace")


def _fill_template(instance: Instance, store: str) -> str:
    """Return the settings file, as the platform fills the template in."""
    values = {
        "node|json": json.dumps(instance.name),
        "zone|json": json.dumps(instance.zone),
        "listen.front|json": json.dumps("{}:{}".format(*instance.front)),
        "listen.ready|json": json.dumps("{}:{}".format(*instance.ready)),
        "ip": instance.host,
        NAMES["peer_port"]: str(instance.peer_port),
        "provider.addr|json": json.dumps(store),
        **SETTINGS,
    }
    text = (ROOT / "deploy/node.json").read_text()
    regions = ",".join(f"{zone}={REGION}" for zone in ZONES)
    text = text.replace("{{#zones}}{{@}}={{.}}{{,}}{{/zones}}", regions)
    text = text.replace("{{#zones}}{{@}}{{,}}{{/zones}}", ",".join(ZONES))
    for name in re.findall(r"\{\{#([\w.]+)\}\}", text):
        section = (
            re.escape("{{#" + name + "}}") + "(.*?)" + re.escape("{{/" + name + "}}")
        )
        text = re.sub(section, r"\1" if name in values else "", text)
    return re.sub(r"\{\{([^{}]+)\}\}", lambda match: values[match[1]], text)


class Deployment:
    """The store, the instances and the addresses of the runners."""

    def __init__(self, instances: int) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.network = _choose_network()
        self.store = Store()
        self.instances = [
            Instance(
                f"entry-{number}",
                ZONES[number % len(ZONES)],
                f"{self.network}.{FIRST_INSTANCE_HOST + number}",
                Path(self._folder.name),
            )
            for number in range(instances)
        ]

    def find_runner_host(self, number: int) -> str:
        """Return the address of a runner."""
        return f"{self.network}.{FIRST_RUNNER_HOST + number}"

    async def start(self, configuration: dict) -> None:
        """Start everything, and wait until all instances are ready."""
        host = f"{self.network}.{STORE_HOST}"
        port = _find_port(host)
        await self.store.start(host, port)
        self.store.put("op", "config", configuration)
        for instance in self.instances:
            instance.start(f"{host}:{port}")
        for instance in self.instances:
            await self._wait_until_ready(instance)

    async def _wait_until_ready(self, instance: Instance) -> None:
        end = time.monotonic() + START_LIMIT_S
        while time.monotonic() < end:
            if await ask_ready(instance):
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(
            f"{instance.name} is not ready:\n{instance.read_log()[-2000:]}"
        )

    def close(self) -> None:
        """End every process that was started."""
        for instance in self.instances:
            instance.kill()
        self.store.close()
        self._folder.cleanup()


async def ask_ready(instance: Instance) -> bool:
    """Return whether an instance answers the platform's readiness question."""
    try:
        reader, writer = await asyncio.open_connection(*instance.ready)
    except OSError:
        return False
    try:
        writer.write(
            b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"
        )
        line = await asyncio.wait_for(reader.readline(), 1.0)
        return b" 200 " in line
    except (OSError, TimeoutError):
        return False
    finally:
        writer.close()


def make_route(prefix: str, kind: str, service: str, timeout_ms: int) -> dict:
    """Return a route as the operator writes it; ``kind`` is of ``NAMES``."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "host": "h.example",
        NAMES["prefix"]: prefix,
        "kind": NAMES[kind],
        NAMES["timeout"]: timeout_ms,
        NAMES["goal"]: timeout_ms // 5,
        "priority": 1,
        "backend": service,
        "attempts": 1,
    }


def make_configuration(routes: list[dict], services: list[str]) -> dict:
    """Return the first version of a configuration of plain services."""
    backends = [{"name": name, **SERVICE} for name in services]
    return {"version": 1, "routes": routes, "backends": backends, "limits": LIMITS}
