"""Soak real processes under kills, pauses, cuts, drains and outages.

Seeded and bounded. Callers send calls all the while; what they were told is
then compared with what the endpoints noted. Prints JSON; fails where any
count of violations is above zero.
"""

import argparse
import asyncio
import json
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from demo.client import Reply, call, complete, expect_text, read_text
from demo.fleet import EngineSpec, Fleet, make_document
from roadlift.bundles.roll import propose, roll, sign
from roadlift.core.errors import RoadliftError
from roadlift.store.client import DirectStore

ZONES = ("hall-a", "hall-b", "hall-c")
ADAPTERS = 60
CALLERS = 16
PAUSE = 6.0  # Seconds a process is paused: beyond suspicion and death.
CUT = 6.0  # Seconds a zone is cut off.
RETRY_PAUSE = 0.2
MOST_TRIES = 40
VIOLATIONS = (
    "wrong_answer",
    "whole_but_cut",
    "cut_without_fault",
    "cut_by_drain",
    "doubled_label",
    "lost_label",
    "false_not_run",
    "evicted_running",
    "bundle_reverted",
    "work_while_leaving",
)


class Soak:
    """The callers, the faults and what they were told."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self.counts: Counter[str] = Counter()
        self.violations: Counter[str] = Counter(dict.fromkeys(VIOLATIONS, 0))
        self.details: list[str] = []
        self._not_run: set[str] = set()
        self._labels: dict[str, str] = {}
        self._takeovers: dict[str, int] = {}
        self._disturbed: dict[str, float] = {}
        self._killed: dict[str, float] = {}
        self._heads: dict[str, int] = {}
        self._absent: set[str] = set()
        self._leaving: dict[str, float] = {}
        self._engines_disturbed = 0.0
        self._end = 0.0

    async def run(self, seconds: float) -> None:
        """Run callers and faults for some seconds."""
        self._end = time.monotonic() + seconds
        callers = [self._run_caller(index) for index in range(CALLERS)]
        faults = [self._run_faults(), self._roll_bundles(), self._watch_heads()]
        await asyncio.gather(*callers, *faults)

    def note(self, violation: str, detail: str) -> None:
        """Note a violation."""
        self.violations[violation] += 1
        self.details.append(f"{violation}: {detail}")

    # Callers.

    async def _run_caller(self, caller: int) -> None:
        serial = 0
        while time.monotonic() < self._end:
            serial += 1
            if self._rng.random() < 0.2:
                await self._make_label(f"label-{caller}-{serial}")
            else:
                await self._complete(f"p-{caller}-{serial}")

    def _pick(self) -> str:
        names = sorted(set(self._fleet.instances) - self._absent)
        return self._rng.choice(names)

    async def _complete(self, name: str) -> None:
        rank = min(int(self._rng.paretovariate(0.8)) - 1, ADAPTERS - 1)
        model = f"ad-{rank:05d}@{self._rng.choice((1, 2))}"
        tokens = self._rng.choice((8, 30, 80))
        for attempt in range(MOST_TRIES):
            prompt = f"{name}-{attempt}"
            instance = self._pick()
            began = time.monotonic()
            address = self._fleet.instances[instance].address
            stream = self._rng.random() < 0.7
            reply = await complete(address, model, prompt, tokens, stream)
            self.counts["requests"] += 1
            if self._judge(reply, instance, model, prompt, tokens, began):
                return
            await asyncio.sleep(RETRY_PAUSE)
        self.counts["given_up"] += 1

    def _judge(self, reply: Reply, instance, model, prompt, tokens, began) -> bool:
        """Check one answer; True means that the caller is content."""
        if reply.status == 200 and reply.whole:
            if read_text(reply) != expect_text(model, prompt, tokens):
                self.note("wrong_answer", f"{model} {prompt}")
            self.counts["answered"] += 1
            return True
        if reply.read_outcome() == "not_run":
            self._not_run.add(prompt)
            self.counts["not_run"] += 1
            return False
        if reply.status == 200 and not reply.whole:
            self._judge_cut(reply, instance, prompt, began)
        self.counts["unknown"] += 1
        return False

    def _judge_cut(self, reply: Reply, instance, prompt, began) -> None:
        """An answer was cut: allowed where the sender or engine was ended."""
        if b"event: error" in reply.body:
            self.counts["cut_typed"] += 1
            if self._engines_disturbed < began - 1.0:
                self.note("cut_without_fault", f"{instance} {prompt}")
            return
        self.counts["cut_by_kill"] += 1
        if self._killed.get(instance, 0.0) < began:
            kind = "cut_by_drain" if instance in self._leaving else "cut_without_fault"
            self.note(kind, f"{instance} {prompt} {reply.body[-60:]!r}")

    async def _make_label(self, name: str) -> None:
        """Make a label at most once, however often it has to be asked for."""
        headers = {"Idempotency-Key": name}
        said = "unsent"
        for _ in range(MOST_TRIES):
            reply = await self._post_label(name, headers)
            if reply.status == 200 and reply.whole:
                said = "made"
                break
            outcome = reply.read_outcome()
            said = (
                "not_run" if outcome == "not_run" and said != "unknown" else "unknown"
            )
            await asyncio.sleep(RETRY_PAUSE)
        self._labels[name] = said
        self.counts[f"label_{said}"] += 1

    async def _post_label(self, name: str, headers: dict[str, str]) -> Reply:
        """Ask for a label, now and then at two instances at once.

        Of two answers the better known one counts: a whole answer before an
        unknown outcome, and that before a refusal as not run.
        """
        path = "/services/labels/labels"
        count = 2 if self._rng.random() < 0.3 else 1
        addresses = [self._fleet.instances[self._pick()].address for _ in range(count)]
        self.counts["requests"] += count
        replies = await asyncio.gather(
            *(
                call(address, "POST", path, name.encode(), headers, 20.0)
                for address in addresses
            )
        )
        whole = [reply for reply in replies if reply.status == 200 and reply.whole]
        if len({reply.body for reply in whole}) > 1:
            self.note("doubled_label", f"{name} got two answers")
        unknown = [reply for reply in replies if reply.read_outcome() != "not_run"]
        return (whole or unknown or list(replies))[0]

    # Faults.

    async def _run_faults(self) -> None:
        await asyncio.sleep(2.0)
        faults = (
            self._kill,
            self._pause,
            self._cut,
            self._drain,
            self._restart_engine,
            self._stop_platform,
            self._lose_replies,
        )
        order: list = []
        while time.monotonic() < self._end - 2.0:
            if not order:
                order = list(faults)
                self._rng.shuffle(order)
            await asyncio.gather(order.pop()(), asyncio.sleep(1.0))
            if len(order) % 2:
                # Two at once every other time.
                await asyncio.gather(*(f() for f in (order.pop(),)), self._kill())

    def _pick_instance(self) -> str | None:
        names = sorted(set(self._fleet.instances) - self._absent)
        return self._rng.choice(names) if len(names) > 3 else None

    async def _kill(self) -> None:
        name = self._pick_instance()
        if name is None:
            return
        self.counts["kills"] += 1
        self._absent.add(name)
        self._killed[name] = float("inf")
        self._fleet.instances[name].kill()
        await asyncio.sleep(self._rng.uniform(0.2, 5.0))
        await self._start_again(name)

    async def _start_again(self, name: str) -> None:
        self._heads.pop(name, None)
        process = self._fleet.start_instance(name, self._fleet.zones[name], wait=False)
        for _ in range(100):
            await asyncio.sleep(0.1)
            if (await call(process.address, "GET", "/readyz")).status == 200:
                break
        self._killed[name] = time.monotonic()
        self._absent.discard(name)

    async def _pause(self) -> None:
        name = self._pick_instance()
        if name is None:
            return
        self.counts["pauses"] += 1
        process = self._fleet.instances[name]
        self._absent.add(name)
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSE)
        process.send_signal(signal.SIGCONT)
        self._absent.discard(name)

    async def _cut(self) -> None:
        self.counts["cuts"] += 1
        zone = self._rng.choice(ZONES)
        with_platform = self._rng.random() < 0.5
        self._engines_disturbed = float("inf")
        self._fleet.cut(zone, with_platform)
        await asyncio.sleep(CUT)
        self._fleet.join()
        self._engines_disturbed = time.monotonic()

    async def _drain(self) -> None:
        name = self._pick_instance()
        if name is None:
            return
        self.counts["drains"] += 1
        process = self._fleet.instances[name]
        self._leaving[name] = time.monotonic()
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(2.0)
        self._absent.add(name)
        late = await complete(process.address, "ad-00000@1", "late", 1, False)
        if late.status == 200:
            self.note("work_while_leaving", name)
        for _ in range(200):
            if process.child.poll() is not None:
                break
            await asyncio.sleep(0.1)
        else:
            process.kill()
            self.counts["drains_unfinished"] += 1
        await self._start_again(name)
        del self._leaving[name]

    async def _restart_engine(self) -> None:
        self.counts["engine_restarts"] += 1
        name = self._rng.choice(sorted(self._fleet.engines))
        address = self._fleet.engines[name].address
        self._engines_disturbed = float("inf")
        body = json.dumps({"restart": True, "fail_loads": 1}).encode()
        await call(address, "POST", "/faults", body)
        await asyncio.sleep(2.0)
        self._engines_disturbed = time.monotonic()

    async def _stop_platform(self) -> None:
        self.counts["outages"] += 1
        await self._set_platform({"outage": True})
        await asyncio.sleep(4.0)
        await self._set_platform({"outage": False})

    async def _lose_replies(self) -> None:
        self.counts["lost_replies"] += 4
        await self._set_platform({"lose_replies": 4})
        name = self._rng.choice(sorted(self._fleet.engines))
        body = json.dumps({"lose_order_replies": 1}).encode()
        await call(self._fleet.engines[name].address, "POST", "/faults", body)

    async def _set_platform(self, faults: dict) -> None:
        address = self._fleet.platform.address
        await call(address, "POST", "/faults", json.dumps(faults).encode())

    # Bundles.

    async def _roll_bundles(self) -> None:
        """Two operators roll at the same moment, again and again."""
        turn = 0
        while time.monotonic() < self._end - 3.0:
            turn += 1
            await asyncio.gather(
                *(asyncio.to_thread(self._roll, turn, name) for name in ("ann", "ben"))
            )
            await asyncio.sleep(3.0)

    def _roll(self, turn: int, operator: str) -> None:
        store = DirectStore(self._fleet.platform.address, 2.0)
        document = make_bundle(self._fleet)
        document["adapters"][f"extra-{operator}-{turn}"] = {
            "versions": {"1": "extra/1"},
            "services": ["captions"],
        }
        try:
            digest = propose(store, document, operator).digest
            sign(store, digest, f"not-{operator}")
            roll(store, digest)
            self.counts["rolls"] += 1
        except RoadliftError as error:
            self.counts[f"rolls_{error.code}"] += 1

    async def _watch_heads(self) -> None:
        """See that no process ever goes back to a lower number."""
        while time.monotonic() < self._end:
            for name in sorted(set(self._fleet.instances) - self._absent):
                address = self._fleet.instances[name].address
                reply = await call(address, "GET", "/status", limit=1.0)
                if reply.status == 200 and reply.whole:
                    self._note_head(name, json.loads(reply.body))
            await asyncio.sleep(0.3)

    def _note_head(self, name: str, status: dict) -> None:
        key = status["process"]
        number = status["bundle"]["number"]
        if number < self._heads.get(key, 0):
            self.note("bundle_reverted", f"{key} {self._heads[key]} > {number}")
        self._heads[key] = number
        self._takeovers[key] = status["takeovers"]

    # Checking.

    def check_journals(self) -> None:
        """Compare the answers with the notes of endpoints."""
        run_prompts: set[str] = set()
        for name, engine in self._fleet.engines.items():
            for entry in engine.read("/journal"):
                if entry["kind"] == "evicted_running":
                    self.note("evicted_running", f"{name} {entry['copy']}")
                elif entry["kind"] == "run":
                    run_prompts.add(entry["prompt"])
                self.counts[f"engine_{entry['kind']}"] += 1
        for prompt in sorted(run_prompts & self._not_run):
            self.note("false_not_run", prompt)
        made = Counter(self._fleet.services["labels-1"].read("/journal"))
        for name, said in self._labels.items():
            if made[name] > 1:
                self.note("doubled_label", name)
            if said == "made" and not made[name]:
                self.note("lost_label", name)
            if said == "not_run" and made[name]:
                self.note("false_not_run", name)
        self.counts["takeovers"] = sum(self._takeovers.values())


def make_bundle(fleet: Fleet) -> dict:
    """Return the bundle, with no class that waits for company.

    A caller that waits half a minute for a batch load sends little.
    """
    document = make_document(fleet, ADAPTERS)
    for service in document["services"].values():
        service["priority"] = "interactive"
    return document


def run(seconds: float, seed: int, rule: str, folder: Path) -> dict:
    """Run the soak in a folder and return its summary."""
    settings = {
        "load_timeout": "3",
        "queue_timeout": "10",
        "answer_timeout": "10",
        "connect_timeout": "1",
        "store_timeout": "1",
        "pin_keep": "2",
    }
    fleet = Fleet(folder, settings, ("standins.faulty", rule))
    try:
        fleet.start_platform(rate=30.0, width=6)
        for zone in ZONES:
            for kind, fences in (("f", True), ("n", False)):
                spec = EngineSpec(f"llm-{zone}-{kind}", zone, fences, fences, slots=3)
                fleet.start_engine(spec)
        fleet.start_service("labels-1", ZONES[0])
        for index in range(6):
            fleet.start_instance(f"entry-{index}", ZONES[index % 3])
        fleet.roll(make_bundle(fleet))
        soak = Soak(fleet, seed)
        asyncio.run(soak.run(seconds))
        soak.check_journals()
    finally:
        fleet.close()
    return {
        "violations": dict(sorted(soak.violations.items())),
        "counts": dict(sorted(soak.counts.items())),
        "details": soak.details[:20],
        "seed": seed,
        "broken_rule": rule,
    }


def main() -> None:
    """Read the flags and run."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--break", default="none", dest="rule")
    parser.add_argument("--logs", type=Path)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        folder = args.logs or Path(temporary)
        summary = run(args.seconds, args.seed, args.rule, folder)
    print(json.dumps(summary, indent=2))
    sys.exit(1 if any(summary["violations"].values()) else 0)


if __name__ == "__main__":
    main()
