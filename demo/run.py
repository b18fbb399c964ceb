"""Roll a bundle of 3,000 adapters and send real calls for some seconds."""

import argparse
import asyncio
import json
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from demo.client import Reply, call, complete, expect_text, read_text
from demo.fleet import EngineSpec, Fleet, make_document, run_tool
from roadlift.management.output import print_table

ADAPTERS = 3000
CALLERS = 24
ZONES = ("bern-a", "thun-c")
SKEW = 1.1  # Exponent of the popularity of adapters.


class Demo:
    """The callers and what they found."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._weights = [1.0 / (rank + 1) ** SKEW for rank in range(ADAPTERS)]
        self.counts: Counter[str] = Counter()
        self.faults: list[str] = []
        self.labels: list[str] = []

    async def send(self, seconds: float) -> None:
        """Send calls from many callers for some seconds."""
        end = time.monotonic() + seconds
        await asyncio.gather(*(self._run_caller(i, end) for i in range(CALLERS)))

    async def _run_caller(self, caller: int, end: float) -> None:
        serial = 0
        while time.monotonic() < end:
            serial += 1
            name = f"{caller}-{serial}"
            kind = self._rng.choices(("stream", "whole", "label"), (6, 3, 1))[0]
            if kind == "label":
                await self._send_label(name)
            else:
                await self._send_completion(name, kind)

    def _pick_address(self):
        return self._rng.choice(list(self._fleet.instances.values())).address

    async def _send_completion(self, name: str, kind: str) -> None:
        index = self._rng.choices(range(ADAPTERS), self._weights)[0]
        model = f"ad-{index:05d}@{self._rng.choice((1, 2))}"
        tokens = self._rng.choice((4, 16, 40))
        prompt = f"prompt-{name}"
        stream = kind == "stream"
        reply = await complete(self._pick_address(), model, prompt, tokens, stream)
        if self._note(kind, reply) and read_text(reply) != expect_text(
            model, prompt, tokens
        ):
            self.faults.append(f"wrong answer to {prompt} of {model}")

    async def _send_label(self, name: str) -> None:
        """Send a call that may not be repeated, twice with the same key."""
        headers = {"Idempotency-Key": f"label-{name}"}
        path, body = "/services/labels/labels", f"label-{name}".encode()
        first = await call(self._pick_address(), "POST", path, body, headers)
        if not self._note("label", first):
            return
        self.labels.append(body.decode())
        for _ in range(20):
            again = await call(self._pick_address(), "POST", path, body, headers)
            if again.status != 409:
                break
            await asyncio.sleep(0.1)
        if again.body != first.body:
            self.faults.append(f"label {name}: a repeat got {again.status}")

    def _note(self, kind: str, reply: Reply) -> bool:
        if reply.status == 200 and reply.whole:
            self.counts[f"{kind} answered"] += 1
            return True
        outcome = reply.read_outcome()
        if outcome == "not_run":
            self.counts[f"{kind} refused as not run: {reply.read_code()}"] += 1
        else:
            self.faults.append(f"{kind}: {reply.status} {reply.body[:200]!r}")
        return False

    def check_journals(self) -> None:
        """Compare with what the endpoints noted themselves."""
        for name, engine in self._fleet.engines.items():
            kinds = Counter(entry["kind"] for entry in engine.read("/journal"))
            if kinds["evicted_running"]:
                self.faults.append(f"{name} evicted a copy that was running")
            for kind in ("load", "unload", "run"):
                self.counts[f"engine {kind}s"] += kinds[kind]
        made = Counter(self._fleet.services["labels-1"].read("/journal"))
        for label, count in made.items():
            if count > 1:
                self.faults.append(f"{label} was made {count} times")
        for label in self.labels:
            if not made[label]:
                self.faults.append(f"{label} was answered but not made")


def run(seconds: float, seed: int, page: Path, folder: Path) -> int:
    """Run the demo in a folder; return the exit code."""
    fleet = Fleet(folder)
    try:
        fleet.start_platform()
        for index, zone in enumerate(ZONES):
            fleet.start_engine(EngineSpec(f"texthelfer-{index}a", zone, slots=8))
            spec = EngineSpec(f"texthelfer-{index}b", zone, fences=False, slots=8)
            fleet.start_engine(spec)
        fleet.start_service("labels-1", ZONES[0])
        for index in range(4):
            fleet.start_instance(f"entry-{index}", ZONES[index % 2])
        rolled = fleet.roll(make_document(fleet, ADAPTERS))
        print(f"Bundle {rolled['number']} in force after {rolled['seconds']} s.")
        demo = Demo(fleet, seed)
        asyncio.run(demo.send(seconds))
        demo.check_journals()
        entry = str(fleet.instances["entry-0"].address)
        print(run_tool("instances", "--entry", entry))
        print(run_tool("endpoints", "--entry", entry))
        print(run_tool("burn", "--entry", entry, "--html", str(page)))
    finally:
        fleet.close()
    print_table(("WHAT", "COUNT"), sorted(demo.counts.items()))
    print(f"The burn report is at {page}.")
    for fault in demo.faults[:20]:
        print(f"FAULT: {fault}", file=sys.stderr)
    print(json.dumps({"faults": len(demo.faults)}))
    return 1 if demo.faults else 0


def main() -> None:
    """Read the flags and run."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--page", type=Path, default=Path("burn.html"))
    parser.add_argument("--logs", type=Path)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        folder = args.logs or Path(temporary)
        raise SystemExit(run(args.seconds, args.seed, args.page.resolve(), folder))


if __name__ == "__main__":
    main()
