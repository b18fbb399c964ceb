"""Soak instances of the interface ``routes`` as real processes under faults.

Seeded and bounded. Callers keep their connections open and send calls all the
while, as instances are killed, stopped, frozen, told to leave and cut from the
store, the store falls silent, loses answers or comes back older, engines start
again under their names, play faults, name limits, leave, ask for rest and end
under calls or under a part of prompts, or have little room and fall over under
what they reject, each end in one of the ways that are drawn; runners repeat
answers late; callers send and read slowly, and leave within their streams;
many connections come to one instance; and the operator adds
routes, names versions and revokes keys; faults overlap. What callers were told
is compared with what the runners noted. Prints JSON, and fails where a count
of violations is above zero.
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
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from benchmarks.deadlycalls import DeadlyCalls
from benchmarks.organisations import REVOKE_LIMIT, SETTINGS, KeyRing
from benchmarks.restarts import Restarts
from benchmarks.roughcallers import MACHINE, RoughCallers
from benchmarks.runchecks import CALM, Cut, Notes, RunChecks, Watches
from benchmarks.runnerfaults import SOFTWARE, RunnerFaults
from benchmarks.silences import Silences
from benchmarks.slowcallers import SlowCallers
from benchmarks.streams import CALL_LIMIT, SLOW_MIX, Call, StreamWatch, find_terms
from benchmarks.takeups import TakeUps
from demo.installation import (
    Answer,
    Channel,
    Deployment,
)
from roadlift.core.clock import BootClock
from roadlift.relay.address import Address
from standins.proxies import Way
from standins.statements import Sent
from tests.support.callers import PROMISES, Wanted, find_runner, make_headers

ADAPTERS = 40
CALLERS = 24
TAKERS = 6  # Callers that leave streams and take them up elsewhere.
SLOW_CALLERS = 18  # Callers that send and read slowly.
READERS = 16  # Callers of streams that are long enough to be held up.
EVENTS = 3  # Events of a whole stream.
ROUTE_LIMIT = 3.0  # Seconds in which an added route is in force.
START_LIMIT = 8.0  # Seconds in which a process that was started listens.
LEAVING_PART = 0.05  # Of the callers of streams, that leave after an event.
HERD = 90  # New connections that come to one instance.
HERD_GAP = 0.03  # Seconds between them.
MOST_LOST = 8.0  # Seconds of writes that the store loses as it comes back.
MOST_PASSED = 500  # Versions that are given out again at once behind that.
MOST_CUT = 5.0  # Seconds for which an instance is cut from the store.
MOST_FROZEN = 10.0  # Seconds that an instance stands still: beyond its lease.
FAULT_GAP = (0.2, 1.5)  # Seconds between two faults, at least and at most.
_MIX = (
    ("stream", "/long/1", 6),
    ("again", "/again/1", 3),
    ("once", "/once/1", 2),
    ("idem", "/idem/1", 2),
    ("home", "/home/1", 1),
)
_STREAMS = ("stream", "again", "slow", "slow_again")
_CUTS = (frozenset(Way), frozenset({Way.REQUESTS}), frozenset({Way.ANSWERS}))


class Soak:
    """The callers, the faults, and what is found."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self._deployment = deployment
        self.notes = Notes()
        self._draw = random.Random(seed)
        self._began = 0.0
        self._end = 0.0
        self.only: list[str] = []  # Names of faults; empty for all.
        self._serial = 0
        self._away: set[str] = set()
        self._leaving_at: dict[str, float] = {}
        self._runs_of: dict[str, int] = {}
        self._freezes: Counter[str] = Counter()
        self._clock = BootClock()
        self.keys = KeyRing(self._draw, self._clock)
        self._streams = StreamWatch()
        self._silences = Silences(self._draw, self._command)
        self._restarts = Restarts(
            random.Random(f"restarts {seed}"), self._command, (self._kill, self._leave)
        )
        self._writing = asyncio.Lock()
        self._seen_routes: dict[tuple[str, int], int] = {}
        self._added: list[float] = []
        self._takeups = TakeUps(
            random.Random(f"takeups {seed}"),
            self._pick_address,
            self.keys.pick,
            EVENTS,
        )
        self._seed = seed
        self._departures = random.Random(f"departures {seed}")
        self._runner_faults = RunnerFaults(self._draw, self._command)
        self._deadly_calls = DeadlyCalls(
            (self._draw, self._departures), self, self._command, self.keys.get_safe
        )
        slow_draw = random.Random(f"slow {seed}")
        self._slow_callers = SlowCallers(slow_draw, self, self.keys.get_safe)
        self._rough_callers = RoughCallers(random.Random(f"rough {seed}"), self)

    async def run(self, seconds: float) -> None:
        """Run callers and faults for some seconds, then look at the rest."""
        self._began = self.notes.began_at = time.monotonic()
        self._end = self._began + seconds
        await self._command(draw_endings=self._seed)
        await self._command(release="e10", software=SOFTWARE[1])
        mixes = [_MIX] * CALLERS + [SLOW_MIX] * READERS
        callers = [self._run_caller(mix) for mix in mixes]
        callers += [self._takeups.run(self.is_over) for _ in range(TAKERS)]
        callers += [self._slow_callers.run(self.is_over) for _ in range(SLOW_CALLERS)]
        callers.append(self._rough_callers.run(self.is_over))
        watches = (self._watch_routes(), self._watch_processes())
        silences = self._silences.run(self._end - CALM)
        await asyncio.gather(*callers, self._run_faults(), silences, *watches)
        await self._check_recovery()

    def is_over(self) -> bool:
        """Return whether callers have stopped sending calls."""
        return time.monotonic() >= self._end

    def _pick_address(self) -> Address:
        return self.find_address(self.pick_instance())

    def find_address(self, name: str) -> Address:
        """Return where an instance listens."""
        return self._deployment.instances[name].address

    def is_leaving(self, name: str) -> bool:
        """Return whether an instance is leaving and has not ended."""
        return name in self._leaving_at

    def was_disturbed(self, name: str, since: float) -> bool:
        """Return whether something else befell an instance since a time."""
        return self.notes.disturbed.get(name, 0.0) >= since - CALM

    def note(self, violation: str, detail: str, after: float | None = None) -> None:
        """Note a violation, seen so many seconds after the beginning."""
        self.notes.add(violation, detail, after)

    # Callers.

    def pick_instance(self) -> str:
        """Return the name of an instance that should take calls."""
        names = set(self._deployment.instances)
        return self._draw.choice(sorted(names - self._away or names))

    async def _run_caller(self, mix: tuple) -> None:
        while time.monotonic() < self._end:
            name = self.pick_instance()
            channel = Channel(self._deployment.instances[name].address)
            for _ in range(self._draw.randrange(1, 30)):
                if time.monotonic() >= self._end or name in self._away:
                    break
                await self._send(channel, name, mix)
                await asyncio.sleep(self._draw.uniform(0.0, 0.1))
            channel.close()
            await asyncio.sleep(0.0 if name not in self._away else 0.05)

    async def _send(self, channel: Channel, name: str, mix: tuple) -> None:
        kinds, paths, weights = zip(*mix, strict=True)
        index = self._draw.choices(range(len(mix)), weights)[0]
        kind, path = kinds[index], paths[index]
        self._serial += 1
        call_id = f"r{self._serial}"
        model = ""
        if kind in _STREAMS:
            rank = min(int(self._draw.paretovariate(0.7)) - 1, ADAPTERS - 1)
            model = f"base/x{rank}"
        key = self.keys.pick(call_id)
        headers = make_headers(Wanted(call_id, model, CALL_LIMIT, key))
        began = time.monotonic()
        self.notes.kinds[call_id] = kind
        self.note_sent(call_id, name, began)
        run = self._runs_of.get(name, 0)
        leaves = kind in _STREAMS and self._departures.random() < LEAVING_PART
        is_enough = lambda body: leaves
        answer = await channel.call("POST", path, headers, is_enough=is_enough)
        if leaves:
            self.notes.counts["left"] += 1
            return
        self._note_call(call_id, path, name, run, began, answer)
        self._judge(call_id, kind, name, began, answer)

    def _note_call(self, call_id, path, name, run, began, answer: Answer) -> None:
        """Keep how a call ended, and whether its instance could serve it."""
        after = round(time.monotonic() - self._began, 1)
        lasted = time.monotonic() - began
        is_cut = answer.status == 200 and not answer.is_whole
        is_held_up = self._is_held_up(name, run, began)
        terms = find_terms(path)
        call = Call(call_id, name, terms, after, lasted, is_cut, is_held_up)
        self._streams.note(call)

    def _is_held_up(self, name: str, run: int, began: float) -> bool:
        """Return whether an instance was disturbed or ended since a time."""
        has_ended = name in self._away or self._runs_of.get(name, 0) != run
        return has_ended or self.notes.disturbed.get(name, 0.0) >= began

    def note_sent(self, call_id: str, name: str, began: float) -> None:
        """Keep to which run of an instance a call is sent, by both clocks."""
        self.notes.sent_to[call_id] = (name, began)
        process = f"{name} {self._runs_of.get(name, 0)} {self._freezes[name]}"
        self.notes.senders[call_id] = Sent(process, self._clock.now())

    def _judge(self, call_id, kind, name, began, answer: Answer) -> None:
        self.notes.counts[f"{kind}_{answer.status}"] += 1
        if answer.status == 200 and answer.is_whole:
            self.notes.said[call_id] = "served"
            self._check_answer(call_id, kind, answer)
        elif answer.status in PROMISES:
            self.notes.said[call_id] = "not_run"
        elif self._streams.is_expired(call_id):
            self.notes.counts["cut_at_limit"] += 1
        elif answer.status in (0, 200):
            self._check_cut(call_id, name, began)

    def _check_answer(self, call_id: str, kind: str, answer: Answer) -> None:
        runner = find_runner(answer.headers)
        if kind in _STREAMS:
            events = answer.body.decode().split("\n\n")[:-1]
            wanted = [f"id: {n}\ndata: t{n}" for n in range(EVENTS)]
            if [event.partition(" v")[0] for event in events] != wanted:
                self.note("whole_but_cut", f"{call_id} {events}")
            if len({event.partition(" v")[2] for event in events}) > 1:
                self.note("two_versions", f"{call_id} {events}")
        elif answer.body.decode() != f"{runner}:{call_id}":
            self.note("wrong_answer", f"{call_id} {answer.body[:60]!r}")
        if answer.headers.get("request-id") != call_id or not runner:
            self.note("wrong_answer", f"{call_id} {answer.headers}")

    def _check_cut(self, call_id: str, name: str, began: float) -> None:
        """A call that was cut at an instance which only leaves is a fault."""
        leaving_at = self._leaving_at.get(name)
        if leaving_at is None or began > leaving_at + 2.5:
            return
        if self.notes.disturbed.get(name, 0.0) < began - CALM:
            after = round(time.monotonic() - self._began, 1)
            self.notes.cuts.append(Cut(call_id, name, after))

    # Faults.

    async def _run_faults(self) -> None:
        faults = (
            (self._kill, 3),
            (self._freeze, 3),
            (self._leave, 6),
            (self._silence_store, 2),
            (self._go_back, 3),
            (self._cut_from_store, 3),
            (self._reset_store, 2),
            (self._runner_faults.lose_answers, 2),
            (self._runner_faults.restart_engine, 3),
            (self._runner_faults.release, 8),
            (self._runner_faults.spoil_runner, 8),
            (self._add_route, 3),
            (self._runner_faults.name_version, 3),
            (self._deadly_calls.send_deadly, 3),
            (self._runner_faults.name_limit, 3),
            (self._revoke_key, 2),
            (self._revoke_over_freeze, 2),
            (self._runner_faults.leave_runner, 3),
            (self._runner_faults.want_rest, 4),
            (self._runner_faults.evacuate, 3),
            (self._runner_faults.turn_cold, 3),
            (self._runner_faults.turn_brittle, 3),
            (self._deadly_calls.send_deadly_part, 2),
            (self._send_herd, 2),
            (self._runner_faults.repeat_answers, 4),
            (self._restarts.restart_in_series, 3),
            (self._restarts.fail_calls, 5),
            (self._stand_still_beside, 4),
            (self._kill_all, 1),
        )
        if self.only:
            faults = [one for one in faults if one[0].__name__.strip("_") in self.only]
        tasks = []
        calls, weights = zip(*faults, strict=True)
        while time.monotonic() < self._end - 6.0:
            await asyncio.sleep(self._draw.uniform(*FAULT_GAP))
            fault = self._draw.choices(calls, weights)[0]
            self.notes.counts[fault.__name__.strip("_")] += 1
            tasks.append(asyncio.create_task(fault()))
        await asyncio.gather(*tasks)

    def _take_instance(self) -> str | None:
        """Return an instance that no other fault has, or None."""
        names = set(self._deployment.instances) - self._away - set(self._leaving_at)
        free = [
            name for name in sorted(names) if self.notes.disturbed.get(name, 0) >= 0
        ]
        return self._draw.choice(free) if len(free) > 2 else None

    async def _command(self, **fields: object) -> None:
        await asyncio.to_thread(self._deployment.command, **fields)

    async def _kill(self) -> None:
        name = self._take_instance()
        if name is None:
            return
        self._away.add(name)
        self._deployment.instances[name].kill()
        await asyncio.sleep(self._draw.uniform(0.1, 2.0))
        await self._start_again(name)

    async def _kill_all(self) -> None:
        """Kill all instances at once, and start them together."""
        names = set(self._deployment.instances) - self._away - set(self._leaving_at)
        self._away |= names
        for name in names:
            self._deployment.instances[name].kill()
        await asyncio.sleep(self._draw.uniform(0.1, 1.0))
        await asyncio.gather(*map(self._start_again, sorted(names)))

    async def _stand_still_beside(self) -> None:
        await self._silences.stand_still(self._add_route)

    async def _start_again(self, name: str) -> None:
        self._runs_of[name] = self._runs_of.get(name, 0) + 1
        process = self._deployment.instances[name]
        process.start()
        await self._wait_until_listening(process.address)
        await asyncio.sleep(1.0)
        self.notes.disturbed[name] = time.monotonic()
        self._away.discard(name)

    async def _wait_until_listening(self, address: Address) -> None:
        """Wait until a process that was started takes connections.

        A signal before that ends it at once, as it has no handler yet.
        """
        until = time.monotonic() + START_LIMIT
        while time.monotonic() < until:
            try:
                _, writer = await asyncio.open_connection(*address)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            writer.close()
            return

    async def _freeze(self) -> None:
        name = self._take_instance()
        if name is None:
            return
        async with self._stand_still(name):
            await asyncio.sleep(self._draw.uniform(0.2, MOST_FROZEN))

    @asynccontextmanager
    async def _stand_still(self, name: str) -> AsyncIterator[None]:
        """Stop an instance for as long as this is held."""
        process = self._deployment.instances[name]
        self.notes.disturbed[name] = time.monotonic() + 60.0
        self._freezes[name] += 1
        process.send_signal(signal.SIGSTOP)
        yield
        process.send_signal(signal.SIGCONT)
        self.notes.disturbed[name] = time.monotonic()

    async def _leave(self) -> None:
        name = self._take_instance()
        if name is None:
            return
        process = self._deployment.instances[name]
        self._leaving_at[name] = time.monotonic()
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(2.5)
        self._away.add(name)
        for _ in range(100):
            if process.child.poll() is not None:
                break
            await asyncio.sleep(0.1)
        else:
            self.note("cut_by_drain", f"{name} did not end within 12 s")
            process.kill()
        await self._start_again(name)
        del self._leaving_at[name]

    async def _silence_store(self) -> None:
        self.notes.store_disturbed = time.monotonic() + 60.0
        await self._command(is_down=True)
        await asyncio.sleep(self._draw.uniform(0.5, 5.0))
        await self._command(is_down=False)
        self.notes.store_disturbed = time.monotonic()

    async def _go_back(self) -> None:
        """Take the store away for a moment; it comes back older."""
        self.notes.store_disturbed = time.monotonic() + 60.0
        await self._command(is_down=True)
        await asyncio.sleep(self._draw.uniform(0.1, 2.0))
        passed = self._draw.choice((0, 20, MOST_PASSED))
        await self._command(go_back=self._draw.uniform(1.0, MOST_LOST), passed=passed)
        await self._command(is_down=False)
        self.notes.store_disturbed = time.monotonic()

    async def _cut_from_store(self) -> None:
        """Let nothing pass between an instance and the store, or one way."""
        name = self._take_instance()
        if name is None:
            return
        proxy = self._deployment.proxies[name]
        self.notes.disturbed[name] = time.monotonic() + 60.0
        proxy.held = self._draw.choice(_CUTS)
        await asyncio.sleep(self._draw.uniform(0.3, MOST_CUT))
        proxy.held = frozenset()
        self.notes.disturbed[name] = time.monotonic()

    async def _reset_store(self) -> None:
        """Reset an instance's connections to the store, or silence them."""
        name = self._take_instance()
        if name is None:
            return
        self.notes.disturbed[name] = time.monotonic()
        proxy = self._deployment.proxies[name]
        self._draw.choice((proxy.reset, proxy.silence))()

    async def _add_route(self) -> None:
        self._deployment.routes += 1
        await self._write_configuration()
        self._added.append(time.monotonic())

    async def _revoke_over_freeze(self) -> None:
        """Revoke a key while an instance stands still, and ask it then."""
        name = self._take_instance()
        if name is None:
            return
        async with self._stand_still(name):
            key = await self._revoke_key()
            await asyncio.sleep(REVOKE_LIMIT + 0.3)
            call = lambda: asyncio.create_task(self._call_former(name, key))
            calls = [call() for _ in range(6)]
            await asyncio.sleep(0.3)
        await asyncio.gather(*calls)

    async def _call_former(self, name: str, key: str) -> None:
        self._serial += 1
        call_id = f"f{self._serial}"
        self.note_sent(call_id, name, time.monotonic())
        self.keys.note_former(call_id, key)
        headers = make_headers(Wanted(call_id, "", 4.0, key))
        channel = Channel(self._deployment.instances[name].address)
        answer = await channel.call("POST", "/idem/1", headers)
        channel.close()
        self.notes.counts[f"former_{answer.status}"] += 1

    async def _revoke_key(self) -> str:
        """Give an organisation another key; return the one that it had."""
        key = self.keys.replace()
        self._deployment.tenants = self.keys.describe()
        await self._write_configuration()
        self.keys.note_revoked(key)
        return key

    async def _write_configuration(self) -> None:
        """Write configurations one by one, the newest last."""
        async with self._writing:
            await asyncio.to_thread(self._deployment.write_configuration)

    async def _send_herd(self) -> None:
        """Open many connections to one instance, each for one call."""
        name = self.pick_instance()
        address = self._deployment.instances[name].address

        async def call(call_id: str) -> None:
            """Send one call, and count how it ended."""
            self.note_sent(call_id, name, time.monotonic())
            headers = make_headers(
                Wanted(call_id, "", 2.0, self.keys.get_safe(call_id))
            )
            channel = Channel(address)
            answer = await channel.call("POST", "/idem/1", headers, b"")
            channel.close()
            self.notes.counts[f"herd_{answer.status}"] += 1

        tasks = []
        for _ in range(HERD):
            self._serial += 1
            tasks.append(asyncio.create_task(call(f"h{self._serial}")))
            await asyncio.sleep(HERD_GAP)
        await asyncio.gather(*tasks)

    # Configurations.

    async def _watch_processes(self) -> None:
        """Start instances again that ended by themselves, and count them."""
        while time.monotonic() < self._end:
            for name, process in self._deployment.instances.items():
                has_ended = process.child.poll() is not None
                if has_ended and name not in self._away | set(self._leaving_at):
                    self.note("own_end", f"{name} {process.child.returncode}")
                    process.start()
                self._rough_callers.note_memory(name, process)
            await asyncio.sleep(0.5)

    async def _watch_routes(self) -> None:
        """Ask each instance for the newest route that is due."""
        while time.monotonic() < self._end:
            for name in sorted(self._deployment.instances):
                await self._ask_route(name)
            await asyncio.sleep(0.3)

    async def _ask_route(self, name: str) -> None:
        if name in self._away or not self._added:
            return
        now = time.monotonic()
        due = sum(at < now - ROUTE_LIMIT for at in self._added)
        run = (name, self._runs_of.get(name, 0))
        number = max(due, self._seen_routes.get(run, 0))
        if not number:
            return
        self._serial += 1
        call_id = f"r{self._serial}"
        headers = make_headers(Wanted(call_id, "", 1.0, self.keys.get_safe(call_id)))
        channel = Channel(self._deployment.instances[name].address)
        answer = await channel.call("POST", f"/added-{number}/1", headers)
        channel.close()
        if answer.status != 404:
            if answer.status == 200:
                self._seen_routes[run] = max(number, self._seen_routes.get(run, 0))
            return
        if self._seen_routes.get(run, 0) >= number:
            self.note("route_reverted", f"{name} /added-{number}/")
        excused = max(self.notes.disturbed.get(name, 0.0), self.notes.store_disturbed)
        is_same = run == (name, self._runs_of.get(name, 0))
        if is_same and excused < now - CALM and name not in self._away:
            self.note("late_route", f"{name} /added-{number}/")

    # Checking.

    async def _check_recovery(self) -> None:
        """See that every instance serves each kind, some seconds later."""
        await asyncio.sleep(CALM)
        for name, process in sorted(self._deployment.instances.items()):
            for kind, path, _ in _MIX:
                answer = Answer(0, {}, b"", False)
                for _ in range(4):
                    self._serial += 1
                    model = "base" if kind in _STREAMS else ""
                    call_id = f"r{self._serial}"
                    key = self.keys.get_safe(call_id)
                    headers = make_headers(Wanted(call_id, model, key=key))
                    channel = Channel(process.address)
                    answer = await channel.call("POST", path, headers)
                    channel.close()
                    if answer.status == 200:
                        break
                    await asyncio.sleep(0.5)
                else:
                    self.note("no_recovery", f"{name} {kind} {answer.status}")

    @property
    def checks(self) -> RunChecks:
        """Return what compares callers' answers with the runners' notes."""
        watches = Watches(
            self.keys,
            self._streams,
            self._silences,
            self._takeups,
            self._slow_callers,
            self._rough_callers,
        )
        return RunChecks(self.notes, watches)


def run(
    seconds: float,
    seed: int,
    instances: int,
    folder: Path,
    rule: str,
    only: list[str],
) -> dict:
    """Run the soak in a folder and return its summary."""
    deployment = Deployment(folder, instances, rule, SETTINGS, MACHINE)
    soak = Soak(deployment, seed)
    soak.only = only
    deployment.tenants = soak.keys.describe()
    try:
        deployment.start()
        time.sleep(4.0)
        asyncio.run(soak.run(seconds))
        soak.checks.check(deployment.site.read("/control"))
    finally:
        deployment.close()
    return {
        "violations": dict(sorted(soak.notes.violations.items())),
        "counts": dict(sorted(soak.notes.counts.items())),
        "details": soak.notes.details[:20],
        "seed": seed,
        "broken_rule": rule,
        "noticed_after": soak.notes.noticed_after,
    }


def main() -> None:
    """Read the flags and run."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--instances", type=int, default=6)
    parser.add_argument("--break", default="", dest="rule")
    parser.add_argument("--logs", type=Path)
    parser.add_argument("--fault", action="append", default=[])
    args = parser.parse_args()
    is_broken = False
    for seed in range(args.seed, args.seed + args.seeds):
        with tempfile.TemporaryDirectory() as temporary:
            folder = args.logs or Path(temporary)
            folder.mkdir(parents=True, exist_ok=True)
            summary = run(
                args.seconds, seed, args.instances, folder, args.rule, args.fault
            )
        print(json.dumps(summary, indent=2), flush=True)
        is_broken = is_broken or any(summary["violations"].values())
    sys.exit(1 if is_broken else 0)


if __name__ == "__main__":
    main()
