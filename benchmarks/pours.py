"""Measure instances as processes of which one runner sends bytes without end.

One of three runners of a plain service, or one engine of six, pours into each
of many calls at once. Prints a line of JSON for each kind of pour: the
instances' memory, how calls ended, and how many reached the runner that
pours. Fails where memory grew beyond a bound, or calls found no sound runner.
"""

import argparse
import asyncio
import json
import sys
import tempfile
from collections import Counter
from pathlib import Path

from benchmarks.relay import read_memory
from demo.installation import Channel, Deployment
from standins.pours import Pour
from tests.support.callers import Wanted, make_headers

CALLERS = 24
CALL_LIMIT = 4.0  # Seconds that callers give a call.
GAP = 0.05  # Seconds between two calls of a caller.
MAX_MEMORY = 150.0  # MiB of an instance; its machine has 300 MB.
SETTLING = 4.0  # Seconds until instances know of each other.
MIN_SERVED = 0.95  # Part of the calls that sound runners serve.
_ROUTES = {"plain": ("/often/1", "p00", ""), "llm": ("/resumed/1", "e00", "base")}


class Play:
    """Calls to instances while a runner pours."""

    def __init__(self, deployment: Deployment, service: str) -> None:
        self._deployment = deployment
        self._path, self.runner, self._model = _ROUTES[service]
        self._sent = 0
        self.answers: Counter[str] = Counter()
        self.memory = 0.0

    async def run(self, kind: Pour, seconds: float) -> None:
        """Let the runner pour, and send calls for some seconds."""
        command = self._deployment.command
        await asyncio.to_thread(command, runner=self.runner, pour=kind)
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        is_over = lambda: loop.time() >= end
        callers = [self._run_caller(number, is_over) for number in range(CALLERS)]
        await asyncio.gather(*callers, self._watch_memory(is_over))

    async def _run_caller(self, number: int, is_over) -> None:
        instances = list(self._deployment.instances.values())
        channel = Channel(instances[number % len(instances)].address)
        while not is_over():
            self._sent += 1
            wanted = Wanted(f"r{self._sent}", self._model, CALL_LIMIT)
            answer = await channel.call("POST", self._path, make_headers(wanted))
            is_cut = answer.status == 200 and not answer.is_whole
            self.answers[f"{answer.status} cut" if is_cut else str(answer.status)] += 1
            await asyncio.sleep(GAP)
        channel.close()

    async def _watch_memory(self, is_over) -> None:
        while not is_over():
            for process in self._deployment.instances.values():
                self.memory = max(self.memory, read_memory(process.child.pid) / 1048576)
            await asyncio.sleep(0.1)

    def measure_served(self) -> float:
        """Return the part of the calls that were served."""
        return self.answers["200"] / max(1, sum(self.answers.values()))


def play(kind: Pour, service: str, args: argparse.Namespace, folder: Path) -> dict:
    """Play one kind of pour in a folder and return what was seen."""
    deployment = Deployment(folder, args.instances)
    deployment.add_route("/often/", "idempotent", "plain", attempts=3)
    deployment.add_route("/resumed/", "streaming", "llm", attempts=3, resumable=True)
    running = Play(deployment, service)
    try:
        deployment.start()
        asyncio.run(asyncio.sleep(SETTLING))
        asyncio.run(running.run(kind, args.seconds))
        poured = len(deployment.site.read("/control")["poured"])
    finally:
        deployment.close()
    return {
        "pour": kind,
        "service": service,
        "memory_mib": round(running.memory, 1),
        "served": round(running.measure_served(), 3),
        "answers": dict(sorted(running.answers.items())),
        "poured": poured,
    }


def main() -> None:
    """Read the flags and play."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--pour", action="append", choices=list(Pour), default=[])
    parser.add_argument("--service", choices=list(_ROUTES), default="plain")
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--instances", type=int, default=2)
    parser.add_argument("--logs", type=Path)
    args = parser.parse_args()
    is_broken = False
    for kind in args.pour or Pour:
        with tempfile.TemporaryDirectory() as temporary:
            folder = args.logs or Path(temporary)
            folder.mkdir(parents=True, exist_ok=True)
            found = play(Pour(kind), args.service, args, folder)
        print(json.dumps(found), flush=True)
        # A body after the right head looks like that of a long answer.
        is_lost = kind != Pour.BODY and found["served"] < MIN_SERVED
        is_broken = is_broken or is_lost or found["memory_mib"] > MAX_MEMORY
    sys.exit(1 if is_broken else 0)


if __name__ == "__main__":
    main()
