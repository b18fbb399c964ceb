"""Count the retries of instances as processes that fail, end and start again.

Instances serve calls of a plain, idempotent route while its runners fail some
of them and something befalls the instances. The retries are counted from what
the runners received, in windows that slide. Prints a line of JSON for each
play, and fails if one has sent more than the rule allows.
"""

import argparse
import asyncio
import json
import random
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple

from demo.installation import Channel, Deployment
from roadlift.core.clock import BootClock
from roadlift.retries.window import RetryRule
from standins.arrivals import ArrivalWatch, SentCall
from tests.support.callers import Wanted, make_headers

RULE = RetryRule(0.2, 50.0, 10.0)
PATH = "/often/1"
ATTEMPTS = 3
CALL_LIMIT = 2.0  # Seconds that callers give a call.
SETTLING = 4.0  # Seconds until instances know of each other.


class Plan(NamedTuple):
    """What befalls the instances, in turn or all but ``spared`` at once.

    ``gap`` is in seconds; ``failed_part`` of the calls fail.
    """

    signal: int
    gap: float
    spared: int | None
    failed_part: float


PLANS = {
    "nothing": Plan(0, 1.0, None, 1.0),
    "drained in turn, a half fails": Plan(signal.SIGTERM, 0.5, None, 0.5),
    "drained in turn, all fail": Plan(signal.SIGTERM, 0.5, None, 1.0),
    "killed in turn, a half fails": Plan(signal.SIGKILL, 0.5, None, 0.5),
    "killed in turn, all fail": Plan(signal.SIGKILL, 0.2, None, 1.0),
    "all but one killed": Plan(signal.SIGKILL, 3.0, 1, 1.0),
    "all killed": Plan(signal.SIGKILL, 6.0, 0, 1.0),
}


class Play:
    """One play of a plan."""

    def __init__(self, deployment: Deployment, plan: Plan, rate: float, seed: int):
        self._deployment = deployment
        self._plan = plan
        self._rate = rate
        self._draw = random.Random(seed)
        self._clock = BootClock()
        self._sent: list[SentCall] = []
        self._away: set[str] = set()
        self._turn = 0
        self.counts: Counter[str] = Counter()

    async def run(self, seconds: float) -> None:
        """Send calls for some seconds while the plan is carried out."""
        end = self._clock.now() + seconds
        is_over = lambda: self._clock.now() >= end
        command = self._deployment.command
        await asyncio.to_thread(
            command, service="plain", failed_part=self._plan.failed_part
        )
        await asyncio.gather(self._send_calls(is_over), self._disturb(is_over))
        await asyncio.sleep(CALL_LIMIT)

    async def _send_calls(self, is_over: Callable[[], bool]) -> None:
        tasks = []
        while not is_over():
            tasks.append(asyncio.create_task(self._call(f"r{len(tasks)}")))
            await asyncio.sleep(self._draw.expovariate(self._rate))
        await asyncio.gather(*tasks)

    async def _call(self, call_id: str) -> None:
        names = sorted(set(self._deployment.instances) - self._away)
        if not names:
            return
        name = self._draw.choice(names)
        self._sent.append(SentCall(self._clock.now(), "plain", call_id, CALL_LIMIT))
        channel = Channel(self._deployment.instances[name].address)
        headers = make_headers(Wanted(call_id, limit=CALL_LIMIT))
        answer = await channel.call("POST", PATH, headers)
        channel.close()
        self.counts[f"answers_{answer.status}"] += 1

    async def _disturb(self, is_over: Callable[[], bool]) -> None:
        tasks: list[Awaitable[None]] = []
        while not is_over() and self._plan.signal:
            for name in self._choose_instances():
                tasks.append(asyncio.create_task(self._restart(name)))
            await asyncio.sleep(self._plan.gap)
        await asyncio.gather(*tasks)

    def _choose_instances(self) -> list[str]:
        names = sorted(self._deployment.instances)
        if self._plan.spared is not None:
            return [name for name in names[self._plan.spared :] if self._is_up(name)]
        self._turn += 1
        name = names[self._turn % len(names)]
        return [name] if self._is_up(name) else []

    def _is_up(self, name: str) -> bool:
        return name not in self._away

    async def _restart(self, name: str) -> None:
        """End an instance, and start it again once its process is gone."""
        process = self._deployment.instances[name]
        self._away.add(name)
        process.send_signal(self._plan.signal)
        while process.child.poll() is None:
            await asyncio.sleep(0.02)
        process.start()
        self.counts["starts"] += 1
        # Callers find it as soon as it listens.
        await asyncio.sleep(0.6)
        self._away.discard(name)

    def describe(self, found: dict) -> dict:
        """Return what was counted at the runners."""
        watch = ArrivalWatch.read(found["arrivals"])
        uses = watch.measure_use(self._sent, RULE)
        runs = Counter(run["id"] for run in found["runs"])
        return {
            "most_used": max((round(use.fraction, 3) for use in uses), default=0.0),
            "worst": [
                [use.service, use.retries, round(use.allowed, 1)] for use in uses
            ],
            "over_attempts": sum(count > ATTEMPTS for count in runs.values()),
            "overlong": sum(1 for _ in watch.list_overlong(self._sent)),
            "counts": dict(sorted(self.counts.items())),
        }


def play(name: str, args: argparse.Namespace, folder: Path) -> dict:
    """Play a plan in a folder and return what was counted."""
    deployment = Deployment(folder, args.instances)
    deployment.add_route("/often/", "idempotent", "plain", attempts=ATTEMPTS)
    running = Play(deployment, PLANS[name], args.rate, args.seed)
    try:
        deployment.start()
        asyncio.run(asyncio.sleep(SETTLING))
        asyncio.run(running.run(args.seconds))
        found = deployment.site.read("/control")
    finally:
        deployment.close()
    return {"plan": name, "seed": args.seed, **running.describe(found)}


def main() -> None:
    """Read the flags and play."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--plan", action="append", choices=list(PLANS), default=[])
    parser.add_argument("--seconds", type=float, default=24.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--instances", type=int, default=7)
    parser.add_argument("--rate", type=float, default=70.0)
    parser.add_argument("--logs", type=Path)
    args = parser.parse_args()
    is_broken = False
    for name in args.plan or PLANS:
        with tempfile.TemporaryDirectory() as temporary:
            folder = args.logs or Path(temporary)
            folder.mkdir(parents=True, exist_ok=True)
            found = play(name, args, folder)
        print(json.dumps(found), flush=True)
        is_broken = is_broken or found["most_used"] > 1.0
        is_broken = is_broken or found["over_attempts"] + found["overlong"] > 0
    sys.exit(1 if is_broken else 0)


if __name__ == "__main__":
    main()
