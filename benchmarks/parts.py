"""Count runs with a part of prompts under which engines end, by how they end.

Real processes: sound calls at random, beside calls that share one more part,
under which each engine that begins to run them ends, in one of several ways.
Prints a line of JSON for each play, and fails if more calls with the part ran
long behind its fifth end than are allowed, or too few sound calls were served.
"""

import argparse
import asyncio
import json
import random
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from demo.installation import Channel, Deployment
from roadlift.core.clock import BootClock
from standins.endings import ENDINGS
from tests.support.callers import Wanted, make_headers

PATH = "/long/1"
DEADLY_PATH = "/long/deadly"
DEADLY = "dead"
EVENTS = 20  # Of a stream.
SHARED = 8  # Parts of which each prompt has one.
ADAPTERS = 6
CALL_LIMIT = 4.0  # Seconds that callers give a call.
SETTLING = 4.0  # Seconds until instances know of each other.
MAX_ENDS = 5  # Ends after which no call with the part is to run.
LATE_TIME = 3.0  # Seconds after the last of them from which a run is late.
ALLOWED = 3  # Late runs.
MIN_SERVED = 0.9  # Of the sound calls, while engines end.


class Plan(NamedTuple):
    """How engines end, and what else happens.

    ``left`` is the fraction of the callers with the part that leave behind
    their first event, ``killed`` the seconds between kills of all instances,
    or None. Rates are calls a second.
    """

    ending: str
    left: float = 0.0
    rate: float = 1.2
    sound_rate: float = 20.0
    killed: float | None = None


PLANS = {
    **{name: Plan(name) for name in ENDINGS},
    "callers leave": Plan("plain", left=0.5),
    "callers leave, resets": Plan("resets", left=0.5),
    "most callers leave": Plan("plain", left=0.85, rate=3.0),
    "drawn": Plan("", left=0.3),
    "all killed": Plan("plain", killed=12.0),
    "drawn, all killed": Plan("", left=0.3, killed=12.0),
    "many": Plan("", left=0.3, rate=12.0),
    "few sound calls": Plan("", rate=0.5, sound_rate=2.0),
}


class Play:
    """One play of a plan."""

    def __init__(self, deployment: Deployment, plan: Plan, seed: int) -> None:
        self._deployment = deployment
        self._plan = plan
        self._seed = seed
        self._draw = random.Random(seed)
        self._clock = BootClock()
        self._serial = 0
        self._away: set[str] = set()
        self.counts: Counter[str] = Counter()

    async def run(self, seconds: float) -> None:
        """Send calls for some seconds."""
        await self._command(events=EVENTS)
        if self._plan.ending:
            await self._command(ending=self._plan.ending)
        else:
            await self._command(draw_endings=self._seed)
        await self._command(deadly_part=DEADLY)
        end = self._clock.now() + seconds
        is_over = lambda: self._clock.now() >= end
        await asyncio.gather(
            self._repeat(self._plan.sound_rate, self._call_sound, is_over),
            self._repeat(self._plan.rate, self._call_deadly, is_over),
            self._kill_all(is_over),
        )

    async def _command(self, **fields: object) -> None:
        await asyncio.to_thread(self._deployment.command, **fields)

    async def _repeat(self, rate: float, call, is_over: Callable[[], bool]) -> None:
        """Send calls at random until it is over."""
        tasks = []
        while not is_over():
            tasks.append(asyncio.create_task(call()))
            await asyncio.sleep(self._draw.expovariate(rate))
        await asyncio.gather(*tasks)

    async def _kill_all(self, is_over: Callable[[], bool]) -> None:
        """Kill all instances at once, again and again, if the plan says so."""
        if self._plan.killed is None:
            return
        while not is_over():
            await asyncio.sleep(self._plan.killed)
            names = sorted(self._deployment.instances)
            self._away |= set(names)
            for name in names:
                self._deployment.instances[name].send_signal(signal.SIGKILL)
            for name in names:
                process = self._deployment.instances[name]
                await asyncio.to_thread(process.child.wait)
                process.start()
            await asyncio.sleep(1.0)
            self._away.clear()

    async def _call_sound(self) -> None:
        answer = await self._call(PATH, (self._pick_shared(),))
        outcome = "served" if answer.is_whole and answer.status == 200 else "lost"
        self.counts[f"sound_{outcome}"] += 1
        self.counts[f"sound_{answer.status}"] += 1

    async def _call_deadly(self) -> None:
        leaves = self._draw.random() < self._plan.left
        is_enough = lambda body: leaves
        answer = await self._call(DEADLY_PATH, (self._pick_shared(), DEADLY), is_enough)
        self.counts[f"deadly_{answer.status}"] += 1

    def _pick_shared(self) -> str:
        return f"5{self._draw.randrange(SHARED)}"

    async def _call(self, path, parts, is_enough=lambda body: False):
        names = sorted(set(self._deployment.instances) - self._away)
        name = self._draw.choice(names or sorted(self._deployment.instances))
        self._serial += 1
        model = f"base/x{self._draw.randrange(ADAPTERS)}"
        call_id = f"r{self._serial}"
        wanted = Wanted(call_id, model, CALL_LIMIT, parts=parts)
        channel = Channel(self._deployment.instances[name].address)
        headers = make_headers(wanted)
        # No two calls are alike.
        body = call_id.encode()
        answer = await channel.call("POST", path, headers, body, is_enough)
        channel.close()
        return answer

    def describe(self, found: dict) -> dict:
        """Return what was counted at the engines."""
        ends = sorted(found["crash_times"])
        runs = [run[0] for run in found["deadly_part_runs"]]
        late = []
        if len(ends) >= MAX_ENDS:
            late = [at for at in runs if at > ends[MAX_ENDS - 1] + LATE_TIME]
        sound = self.counts["sound_served"] + self.counts["sound_lost"]
        return {
            "ends": len(ends),
            "runs": len(runs),
            "late": len(late),
            "sound": round(self.counts["sound_served"] / max(1, sound), 3),
            "counts": dict(sorted(self.counts.items())),
        }


def play(name: str, args: argparse.Namespace, folder: Path) -> dict:
    """Play a plan in a folder and return what was counted."""
    deployment = Deployment(folder, args.instances)
    running = Play(deployment, PLANS[name], args.seed)
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
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--instances", type=int, default=6)
    parser.add_argument("--logs", type=Path)
    args = parser.parse_args()
    is_broken = False
    for name in args.plan or PLANS:
        with tempfile.TemporaryDirectory() as temporary:
            folder = args.logs or Path(temporary)
            folder.mkdir(parents=True, exist_ok=True)
            found = play(name, args, folder)
        print(json.dumps(found), flush=True)
        is_broken = is_broken or found["late"] > ALLOWED or found["sound"] < MIN_SERVED
    sys.exit(1 if is_broken else 0)


if __name__ == "__main__":
    main()
