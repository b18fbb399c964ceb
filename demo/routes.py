"""Show the interface ``routes``: calls for adapters, engines that end, why.

Four instances before a stand-in of a platform with six engines. Callers ask
for 40 adapters for some seconds; one of them sends a call that ends each
engine that begins to run it. The tables tell how calls ended and what was
refused.
"""

import argparse
import asyncio
import json
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from demo.fleet import run_tool
from demo.installation import ADAPTER_SLOTS, Channel, Deployment
from roadlift.management.output import print_table
from tests.support.callers import PROMISES, Wanted, make_headers

INSTANCES = 4
ADAPTERS = 40
CALLERS = 12
EXPONENT = 0.7  # Of the popularity of adapters.
DEADLY_GAP = 0.5  # Seconds until the deadly call comes again.
MOST_ENDS = 3  # Engines that may end under one call.
SETTLING = 4.0  # Seconds from the start to the first call.


class Demo:
    """The callers and what they were told."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self._deployment = deployment
        self._draw = random.Random(seed)
        self._serial = 0
        self.counts: Counter[tuple[str, str]] = Counter()

    async def run(self, seconds: float) -> None:
        """Send calls for some seconds."""
        end = time.monotonic() + seconds
        callers = [self._run_caller(end) for _ in range(CALLERS)]
        await asyncio.gather(*callers, self._run_deadly(end))

    def _open(self) -> Channel:
        instances = list(self._deployment.instances.values())
        return Channel(self._draw.choice(instances).address)

    async def _run_caller(self, end: float) -> None:
        while time.monotonic() < end:
            channel = self._open()
            for _ in range(10):
                rank = min(int(self._draw.paretovariate(EXPONENT)), ADAPTERS)
                await self._send(channel, "stream", f"base/x{rank}", b"")
                await asyncio.sleep(self._draw.uniform(0.0, 0.1))
            channel.close()

    async def _run_deadly(self, end: float) -> None:
        await asyncio.to_thread(self._deployment.command, deadly="deadly")
        while time.monotonic() < end:
            channel = self._open()
            await self._send(channel, "deadly stream", "base/x0", b"deadly")
            channel.close()
            await asyncio.sleep(DEADLY_GAP)

    async def _send(self, channel: Channel, kind: str, model: str, body: bytes) -> None:
        self._serial += 1
        headers = make_headers(Wanted(f"r{self._serial}", model, 4.0))
        answer = await channel.call("POST", "/long/1", headers, body)
        if answer.status == 200 and answer.is_whole:
            ending = "served"
        elif answer.status in PROMISES:
            ending = "refused as not run"
        else:
            ending = "broken off"
        self.counts[kind, ending] += 1


def run(seconds: float, seed: int, folder: Path) -> int:
    """Run the demo in a folder; return the exit code."""
    deployment = Deployment(folder, INSTANCES)
    try:
        deployment.start()
        time.sleep(SETTLING)
        demo = Demo(deployment, seed)
        asyncio.run(demo.run(seconds))
        found = deployment.site.read("/control")
        print(run_tool("barred", *sorted(map(str, folder.glob("e*.log")))))
    finally:
        deployment.close()
    rows = [(*key, count) for key, count in sorted(demo.counts.items())]
    print_table(("CALLS", "ENDED", "COUNT"), rows)
    ends = sum(len(runs) for runs in found["deadly"])
    print(f"{ends} ends of engines, of {ADAPTER_SLOTS} places each, under that call.")
    print(json.dumps({"ends": ends}))
    return 0 if ends <= MOST_ENDS else 1


def main() -> None:
    """Read the flags and run."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--logs", type=Path)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        folder = args.logs or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        sys.exit(run(args.seconds, args.seed, folder))


if __name__ == "__main__":
    main()
