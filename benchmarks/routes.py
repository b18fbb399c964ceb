"""Soak instances of the interface ``routes`` as real processes under faults.

Seeded and bounded. Callers keep their connections open and send calls all the
while, as instances are killed, stopped, frozen, told to leave and cut from the
store, the store falls silent, loses answers or comes back older, engines start
again under their names, play faults, name limits, leave, ask for rest and end
under calls or under a part of prompts, or have little room and fall over under
what they reject; runners repeat answers late; callers send and read slowly;
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
from typing import NamedTuple

from benchmarks.organisations import REVOKE_LIMIT, SETTINGS, KeyRing
from benchmarks.restarts import Restarts, list_breaches
from benchmarks.silences import Silences
from benchmarks.slowcallers import SlowCallers
from benchmarks.streams import CALL_LIMIT, SLOW_MIX, Call, StreamWatch, find_terms
from benchmarks.takeups import TakeUps
from demo.installation import (
    COLD_RATE,
    HOME_ZONE,
    ZONES,
    Answer,
    Channel,
    Deployment,
)
from roadlift.core.clock import BootClock
from roadlift.relay.address import Address
from standins.arrivals import ArrivalWatch, SentCall
from standins.batches import Fall
from standins.proxies import Way
from standins.statements import Sent, StatementWatch
from tests.support.callers import PROMISES, Wanted, find_runner, make_headers

ADAPTERS = 40
CALLERS = 24
TAKERS = 6  # Callers that leave streams and take them up elsewhere.
SLOW_CALLERS = 18  # Callers that send and read slowly.
READERS = 16  # Callers of streams that are long enough to be held up.
EVENTS = 3  # Events of a whole stream.
LEASE_TURN = 3.0  # Seconds within which holders may not take turns.
VERSION_LIMIT = 5.0  # Seconds from a version's naming to its use at most.
ROUTE_LIMIT = 3.0  # Seconds in which an added route is in force.
START_LIMIT = 8.0  # Seconds in which a process that was started listens.
CALM = 4.0  # Seconds behind a disturbance in which an instance is excused.
CONTACT = 3.5  # Seconds in which all know of a call that ended three engines.
MOST_DEADLY = 3  # Runs of it behind that at most, as of engines under it.
DEADLY_SPAN = 12.0  # Seconds for which such a call comes again.
DEADLY_GAP = (0.2, 0.8)  # Seconds until it does, at least and at most.
MOST_PART_CRASHES = 5  # Crashes under a part behind which runs of it count.
BRITTLE_SPAN = (5.0, 9.0)  # Seconds for which a service's runners are brittle.
BEARS = (2, 3, 5)  # Rejections a second that they bear.
MOST_FALLS = 2  # Of them, in one such time.
HERD = 90  # New connections that come to one instance.
HERD_GAP = 0.03  # Seconds between them.
LIMITS = (1.0, 12.0)  # Calls a second that a runner names, at least and at most.
LIMIT_SPAN = (4.0, 12.0)  # Seconds for which it does.
LEAVE_SPAN = (3.0, 8.0)  # Seconds for which a runner says that it leaves.
RESTS = (0.6, 4.0)  # Seconds of rest that a runner asks for, at least and at most.
REST_SPAN = (2.0, 9.0)  # Seconds for which it turns calls away.
EVACUATION_SPAN = (4.0, 8.0)  # Seconds for which a zone is out of service.
SOFTWARE = ("v1", "v1.2")  # Versions that engines come back with.
COLD_SPAN = (3.0, 6.0)  # Seconds for which a runner is cold.
MOST_LOST = 8.0  # Seconds of writes that the store loses as it comes back.
MOST_PASSED = 500  # Versions that are given out again at once behind that.
MOST_CUT = 5.0  # Seconds for which an instance is cut from the store.
MOST_FROZEN = 10.0  # Seconds that an instance stands still: beyond its lease.
_ENGINE_FAULTS = (
    "cut",
    "mute",
    "refuse",
    "unframed",
    "break off",
    "break off early",
)
REPEAT_SPAN = (2.0, 5.0)  # Seconds for which runners repeat answers.
REJECT_GAP = 0.05  # Seconds between two rejections meanwhile.
FAULT_GAP = (0.2, 1.5)  # Seconds between two faults, at least and at most.
VIOLATIONS = (
    "wrong_answer",
    "whole_but_cut",
    "cut_by_drain",
    "ran_twice",
    "false_not_run",
    "lost_answer",
    "old_version",
    "overfull_engine",
    "holders_take_turns",
    "fence_goes_back",
    "late_route",
    "route_reverted",
    "deadly_again",
    "deadly_part_again",
    "fell_over",
    "over_limit",
    "late_to_leaving",
    "broken_rest",
    "late_to_evacuated",
    "over_cold_rate",
    "away_from_home",
    "revoked_run",
    "wrong_organisation",
    "key_passed_on",
    "over_allowance",
    "cut_by_instance",
    "ran_at_two",
    "over_attempts",
    "over_retries",
    "over_time",
    "two_versions",
    "events_out_of_order",
    "own_end",
    "no_recovery",
)
_MIX = (
    ("stream", "/long/1", 6),
    ("again", "/again/1", 3),
    ("once", "/once/1", 2),
    ("idem", "/idem/1", 2),
    ("home", "/home/1", 1),
)
_STREAMS = ("stream", "again", "slow", "slow_again")
_CUTS = (frozenset(Way), frozenset({Way.REQUESTS}), frozenset({Way.ANSWERS}))
_REPEATABLE = ("idem", "again", "home", "slow_again")
_HOT = 3  # Adapters of which new versions are named.


class Cut(NamedTuple):
    """A call that ended early at an instance that was leaving."""

    call_id: str
    instance: str
    after: float


class Soak:
    """The callers, the faults, and what is found."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self._deployment = deployment
        self._draw = random.Random(seed)
        self._began = 0.0
        self._end = 0.0
        self.noticed_after: float | None = None
        self.only: list[str] = []  # Names of faults; empty for all.
        self._serial = 0
        self._disturbed: dict[str, float] = {}
        self._away: set[str] = set()
        self._leaving_at: dict[str, float] = {}
        self._runs_of: dict[str, int] = {}
        self._freezes: Counter[str] = Counter()
        self._senders: dict[str, Sent] = {}
        self._clock = BootClock()
        self.keys = KeyRing(self._draw, self._clock)
        self._streams = StreamWatch()
        self._silences = Silences(self._draw, self._command)
        self._restarts = Restarts(
            random.Random(f"restarts {seed}"), self._command, (self._kill, self._leave)
        )
        self._writing = asyncio.Lock()
        self._seen_routes: dict[tuple[str, int], int] = {}
        self._store_disturbed = 0.0
        self._evacuated = ""
        self._added: list[float] = []
        self._takeups = TakeUps(
            random.Random(f"takeups {seed}"),
            self._pick_address,
            self.keys.pick,
            EVENTS,
        )
        slow_draw = random.Random(f"slow {seed}")
        self._slow_callers = SlowCallers(slow_draw, self, self.keys.get_safe)
        self._said: dict[str, str] = {}
        self._kinds: dict[str, str] = {}
        self._sent_to: dict[str, tuple[str, float]] = {}
        self._excused: dict[str, bool] = {}
        self._cuts: list[Cut] = []
        self.counts: Counter[str] = Counter()
        self.violations: Counter[str] = Counter(dict.fromkeys(VIOLATIONS, 0))
        self.details: list[str] = []

    async def run(self, seconds: float) -> None:
        """Run callers and faults for some seconds, then look at the rest."""
        self._began = time.monotonic()
        self._end = self._began + seconds
        await self._command(release="e10", software=SOFTWARE[1])
        mixes = [_MIX] * CALLERS + [SLOW_MIX] * READERS
        callers = [self._run_caller(mix) for mix in mixes]
        callers += [self._takeups.run(self._is_over) for _ in range(TAKERS)]
        callers += [self._slow_callers.run(self._is_over) for _ in range(SLOW_CALLERS)]
        watches = (self._watch_routes(), self._watch_processes())
        silences = self._silences.run(self._end - CALM)
        await asyncio.gather(*callers, self._run_faults(), silences, *watches)
        await self._check_recovery()

    def _is_over(self) -> bool:
        return time.monotonic() >= self._end

    def _pick_address(self) -> Address:
        return self.find_address(self.pick_instance())

    def find_address(self, name: str) -> Address:
        """Return where an instance listens."""
        return self._deployment.instances[name].address

    def is_leaving(self, name: str) -> bool:
        """Return whether an instance was told to leave and has not ended."""
        return name in self._leaving_at

    def was_disturbed(self, name: str, since: float) -> bool:
        """Return whether something else befell an instance since a time."""
        return self._disturbed.get(name, 0.0) >= since - CALM

    def note(self, violation: str, detail: str, after: float | None = None) -> None:
        """Note a violation, seen so many seconds after the beginning."""
        if after is None:
            after = round(time.monotonic() - self._began, 1)
        if self.noticed_after is None:
            self.noticed_after = after
        self.violations[violation] += 1
        self.details.append(f"{violation}: {detail}")

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
        self._kinds[call_id] = kind
        self._note_sent(call_id, name, began)
        run = self._runs_of.get(name, 0)
        answer = await channel.call("POST", path, headers)
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
        """Tell whether an instance was disturbed or ended since a time."""
        has_ended = name in self._away or self._runs_of.get(name, 0) != run
        return has_ended or self._disturbed.get(name, 0.0) >= began

    def _note_sent(self, call_id: str, name: str, began: float) -> None:
        """Keep to which run of an instance a call is sent, by both clocks."""
        self._sent_to[call_id] = (name, began)
        process = f"{name} {self._runs_of.get(name, 0)} {self._freezes[name]}"
        self._senders[call_id] = Sent(process, self._clock.now())

    def _judge(self, call_id, kind, name, began, answer: Answer) -> None:
        self.counts[f"{kind}_{answer.status}"] += 1
        if answer.status == 200 and answer.is_whole:
            self._said[call_id] = "served"
            self._check_answer(call_id, kind, answer)
        elif answer.status in PROMISES:
            self._said[call_id] = "not_run"
        elif self._streams.is_expired(call_id):
            self.counts["cut_at_limit"] += 1
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
        if self._disturbed.get(name, 0.0) < began - CALM:
            after = round(time.monotonic() - self._began, 1)
            self._cuts.append(Cut(call_id, name, after))

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
            (self._lose_answers, 2),
            (self._restart_engine, 3),
            (self._release, 8),
            (self._spoil_runner, 8),
            (self._add_route, 3),
            (self._name_version, 3),
            (self._send_deadly, 3),
            (self._name_limit, 3),
            (self._revoke_key, 2),
            (self._revoke_over_freeze, 2),
            (self._leave_runner, 3),
            (self._want_rest, 4),
            (self._evacuate, 3),
            (self._turn_cold, 3),
            (self._turn_brittle, 3),
            (self._send_deadly_part, 2),
            (self._send_herd, 2),
            (self._repeat_answers, 4),
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
            self.counts[fault.__name__.strip("_")] += 1
            tasks.append(asyncio.create_task(fault()))
        await asyncio.gather(*tasks)

    def _take_instance(self) -> str | None:
        """Return an instance that no other fault has, or None."""
        names = set(self._deployment.instances) - self._away - set(self._leaving_at)
        free = [name for name in sorted(names) if self._disturbed.get(name, 0) >= 0]
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
        self._disturbed[name] = time.monotonic()
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
        self._disturbed[name] = time.monotonic() + 60.0
        self._freezes[name] += 1
        process.send_signal(signal.SIGSTOP)
        yield
        process.send_signal(signal.SIGCONT)
        self._disturbed[name] = time.monotonic()

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
        self._store_disturbed = time.monotonic() + 60.0
        await self._command(is_down=True)
        await asyncio.sleep(self._draw.uniform(0.5, 5.0))
        await self._command(is_down=False)
        self._store_disturbed = time.monotonic()

    async def _go_back(self) -> None:
        """Take the store away for a moment; it comes back older."""
        self._store_disturbed = time.monotonic() + 60.0
        await self._command(is_down=True)
        await asyncio.sleep(self._draw.uniform(0.1, 2.0))
        passed = self._draw.choice((0, 20, MOST_PASSED))
        await self._command(go_back=self._draw.uniform(1.0, MOST_LOST), passed=passed)
        await self._command(is_down=False)
        self._store_disturbed = time.monotonic()

    async def _cut_from_store(self) -> None:
        """Let nothing pass between an instance and the store, or one way."""
        name = self._take_instance()
        if name is None:
            return
        proxy = self._deployment.proxies[name]
        self._disturbed[name] = time.monotonic() + 60.0
        proxy.held = self._draw.choice(_CUTS)
        await asyncio.sleep(self._draw.uniform(0.3, MOST_CUT))
        proxy.held = frozenset()
        self._disturbed[name] = time.monotonic()

    async def _reset_store(self) -> None:
        """Reset an instance's connections to the store, or silence them."""
        name = self._take_instance()
        if name is None:
            return
        self._disturbed[name] = time.monotonic()
        proxy = self._deployment.proxies[name]
        self._draw.choice((proxy.reset, proxy.silence))()

    async def _lose_answers(self) -> None:
        await self._command(lose_answers=2, lose_polls=1)

    async def _restart_engine(self) -> None:
        await self._command(restart=f"e{self._draw.randrange(3)}0")

    async def _release(self) -> None:
        """Let an engine end, and come back with a version of its software."""
        runner = f"e{self._draw.randrange(3)}0"
        await self._command(release=runner, software=self._draw.choice(SOFTWARE))

    async def _spoil_runner(self) -> None:
        kind = self._draw.choice("ep")
        faults = _ENGINE_FAULTS if kind == "e" else ("lose", "refuse")
        runner = f"{kind}{self._draw.randrange(3)}0"
        for _ in range(self._draw.randrange(1, 4)):
            await self._command(runner=runner, fault=self._draw.choice(faults))

    async def _add_route(self) -> None:
        self._deployment.routes += 1
        await self._write_configuration()
        self._added.append(time.monotonic())

    async def _name_version(self) -> None:
        await self._command(version=f"x{self._draw.randrange(_HOT)}")

    async def _name_limit(self) -> None:
        """Let a runner, or all of a kind, name a limit for a while."""
        kind = self._draw.choice("ep")
        count = self._draw.choice((1, 3))
        limit = f"{self._draw.uniform(*LIMITS):.1f}"
        runners = [f"{kind}{number}0" for number in range(count)]
        for runner in runners:
            await self._command(runner=runner, limit=limit)
        await asyncio.sleep(self._draw.uniform(*LIMIT_SPAN))
        for runner in runners:
            await self._command(runner=runner, limit=None)

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
        self._note_sent(call_id, name, time.monotonic())
        self.keys.note_former(call_id, key)
        headers = make_headers(Wanted(call_id, "", 4.0, key))
        channel = Channel(self._deployment.instances[name].address)
        answer = await channel.call("POST", "/idem/1", headers)
        channel.close()
        self.counts[f"former_{answer.status}"] += 1

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

    async def _leave_runner(self) -> None:
        """Let a runner say that it leaves, in answers alone, and end."""
        runner = f"{self._draw.choice('ep')}{self._draw.randrange(3)}0"
        await self._command(leaving=runner)
        await asyncio.sleep(self._draw.uniform(*LEAVE_SPAN))
        await self._command(restart=runner)

    async def _evacuate(self) -> None:
        """Take a zone out of service for a while, one at a time."""
        if self._evacuated:
            return
        self._evacuated = zone = self._draw.choice(ZONES)
        await self._command(evacuate=zone)
        await asyncio.sleep(self._draw.uniform(*EVACUATION_SPAN))
        await self._command(take_back=zone)
        self._evacuated = ""

    async def _turn_cold(self) -> None:
        """Start a runner again, or all of a kind, that is cold then."""
        kind = self._draw.choice("ep")
        seconds = self._draw.uniform(*COLD_SPAN)
        for number in range(self._draw.choice((1, 3))):
            runner = f"{kind}{number}0"
            await self._command(cold=runner, rate=COLD_RATE, seconds=seconds)

    async def _want_rest(self) -> None:
        """Let a runner, or all of a kind, turn calls away for a while."""
        kind = self._draw.choice("ep")
        count = self._draw.choice((1, 1, 3))
        rest = f"{self._draw.uniform(*RESTS):.2f}"
        part = self._draw.choice((0.2, 0.5, 1.0))
        runners = [f"{kind}{number}0" for number in range(count)]
        for runner in runners:
            await self._command(runner=runner, rest=rest, part=part)
        await asyncio.sleep(self._draw.uniform(*REST_SPAN))
        for runner in runners:
            await self._command(runner=runner, rest=None, part=1.0)

    async def _send_deadly(self) -> None:
        """Send a call that ends engines, again and again, for a while."""
        number = self.counts["send_deadly"]
        await self._command(deadly=f"deadly {number}")
        until = min(self._end, time.monotonic() + DEADLY_SPAN)
        tasks = []
        while time.monotonic() < until:
            copies = self._draw.choice((1, 1, 1, 3))
            tasks += [
                asyncio.create_task(self._call_deadly(number)) for _ in range(copies)
            ]
            await asyncio.sleep(self._draw.uniform(*DEADLY_GAP))
        await asyncio.gather(*tasks)

    async def _turn_brittle(self) -> None:
        """Let the runners of a service bear few rejections for a while."""
        service = self._draw.choice(("llm", "plain"))
        await self._command(shrink=service, bears=self._draw.choice(BEARS))
        await asyncio.sleep(self._draw.uniform(*BRITTLE_SPAN))
        await self._command(shrink=service, bears=None)

    async def _send_deadly_part(self) -> None:
        """Send calls, no two alike, with a part that ends engines."""
        part = f"d{self.counts['send_deadly_part']}"
        await self._command(deadly_part=part)
        until = min(self._end, time.monotonic() + DEADLY_SPAN)
        tasks = []
        while time.monotonic() < until:
            tasks.append(asyncio.create_task(self._call_deadly(0, part)))
            await asyncio.sleep(self._draw.uniform(*DEADLY_GAP))
        await asyncio.gather(*tasks)

    async def _send_herd(self) -> None:
        """Open many connections to one instance, each for one call."""
        name = self.pick_instance()
        address = self._deployment.instances[name].address

        async def call(call_id: str) -> None:
            """Send one call, and count how it ended."""
            self._note_sent(call_id, name, time.monotonic())
            headers = make_headers(
                Wanted(call_id, "", 2.0, self.keys.get_safe(call_id))
            )
            channel = Channel(address)
            answer = await channel.call("POST", "/idem/1", headers, b"")
            channel.close()
            self.counts[f"herd_{answer.status}"] += 1

        tasks = []
        for _ in range(HERD):
            self._serial += 1
            tasks.append(asyncio.create_task(call(f"h{self._serial}")))
            await asyncio.sleep(HERD_GAP)
        await asyncio.gather(*tasks)

    async def _repeat_answers(self) -> None:
        """Let plain runners reject calls, and repeat some of their answers."""
        runners = [f"p{number}0" for number in range(3)]
        for runner in runners:
            await self._command(runner=runner, repeat=True)
        until = time.monotonic() + self._draw.uniform(*REPEAT_SPAN)
        while time.monotonic() < until:
            for runner in runners:
                await self._command(runner=runner, fault="refuse")
            await asyncio.sleep(REJECT_GAP)
        for runner in runners:
            await self._command(runner=runner, repeat=False)

    async def _call_deadly(self, number: int, part: str = "") -> None:
        name = self.pick_instance()
        self._serial += 1
        call_id = f"d{self._serial}"
        began = time.monotonic()
        self._note_sent(call_id, name, began)
        is_disturbed = self._disturbed.get(name, 0.0) > began - CALM
        self._excused[call_id] = is_disturbed or name in self._leaving_at
        model, key = f"base/x{number % ADAPTERS}", self.keys.get_safe(call_id)
        headers = make_headers(Wanted(call_id, model, 4.0, key, part=part))
        channel = Channel(self._deployment.instances[name].address)
        body = (call_id if part else f"deadly {number}").encode()
        answer = await channel.call("POST", "/long/deadly", headers, body)
        channel.close()
        self.counts[f"deadly_{answer.status}"] += 1

    # Configurations.

    async def _watch_processes(self) -> None:
        """Start instances again that ended by themselves, and count them."""
        while time.monotonic() < self._end:
            for name, process in self._deployment.instances.items():
                has_ended = process.child.poll() is not None
                if has_ended and name not in self._away | set(self._leaving_at):
                    self.note("own_end", f"{name} {process.child.returncode}")
                    process.start()
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
        excused = max(self._disturbed.get(name, 0.0), self._store_disturbed)
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

    def check_runs(self, found: dict) -> None:
        """Compare what callers were told with what the runners noted."""
        runs = Counter(run["id"] for run in found["runs"])
        for call_id, kind in self._kinds.items():
            said = self._said.get(call_id)
            if kind not in _REPEATABLE and runs[call_id] > 1:
                self.note("ran_twice", f"{call_id} {kind} {runs[call_id]}")
            if said == "not_run" and runs[call_id]:
                self.note("false_not_run", f"{call_id} {kind}")
            if said == "served" and not runs[call_id]:
                self.note("lost_answer", f"{call_id} {kind}")
        spoiled = set(found["spoiled"]) | set(found["hung"])
        self._check_cuts(spoiled)
        for breach in self._slow_callers.check(runs, spoiled):
            self.note(breach.rule, breach.detail)
        self.counts.update(self._slow_callers.counts)
        for breach, after in self._streams.check(found):
            self.note(breach.rule, breach.detail, after)
        self.counts.update(self._silences.counts)
        self.counts.update(self._takeups.counts)
        for breach in self._takeups.breaches:
            self.note(breach.rule, breach.detail)
        self._check_arrivals(ArrivalWatch.read(found["arrivals"]))
        self.counts["hung_calls"] = len(found["hung"])
        for runs in found["deadly"]:
            self._check_deadly(runs, MOST_DEADLY, "deadly_again")
        for runs in found["deadly_parts"]:
            self._check_deadly(runs, MOST_PART_CRASHES, "deadly_part_again")
        self._check_falls([Fall(*fall) for fall in found["fallen"]])
        self.counts["rejected"] = found["rejected"]
        for run in found["runs"]:
            self._check_version(run["id"], run["old_for"])
        self._check_limits(found["excess"])
        for breach in self.keys.check(found["runs"]):
            self.note(breach.rule, breach.detail)
        self._check_statements(StatementWatch.read(found["statements"]))
        self._check_places(found)
        for name in found["overfull"]:
            self.note("overfull_engine", name)
        for name, orders in found["orders"].items():
            self._check_orders(name, orders)
        self.counts["runs"] = len(found["runs"])
        self.counts["store_calls"] = found["store_calls"]

    def _check_arrivals(self, watch: ArrivalWatch) -> None:
        """Note sends beyond the retry rule, or with too much time."""
        sent = [
            SentCall(sender.at, "", call_id, CALL_LIMIT)
            for call_id, sender in self._senders.items()
            if call_id in self._kinds
        ]
        for breach in list_breaches(watch, sent):
            self.note(breach.rule, breach.detail)

    def _check_limits(self, found: list) -> None:
        """Note what came too much behind the first naming of a limit.

        What came before it, in the same window, nobody could keep back.
        """
        for at, runner, calls, allowed, since, late in found:
            if late <= allowed:
                self.counts["over_limit_before"] += 1
                continue
            told = f"{runner} {calls} of {allowed:.0f} at {at:.1f}"
            self.note("over_limit", f"{told}, {late} of them in {since:.1f} s")

    def _check_statements(self, watch: StatementWatch) -> None:
        """Note what was sent on against what runners said of themselves."""
        self.counts["rests"] = watch.count_rests()
        for late in watch.list_late(self._senders):
            told = f"{late.call_id} at {late.runner} from {late.process}"
            self.note("late_to_leaving", f"{told}, {late.after:.2f} s")
        for rest in watch.list_broken(self._senders):
            told = f"{rest.calls} at {rest.runner} from {rest.process}"
            self.note("broken_rest", f"{told} in {rest.seconds} s from {rest.at:.1f}")

    def _check_places(self, found: dict) -> None:
        """Note calls in evacuated zones, at cold runners and away from home.

        A call in an evacuated zone is excused where its instance, or the
        store, was disturbed since the operator's row.
        """
        for call_id, runner, after in found["stray"]:
            name, began = self._sent_to.get(call_id, ("", 0.0))
            held_up = max(self._disturbed.get(name, 0.0), self._store_disturbed)
            if name and held_up < began - after:
                self.note("late_to_evacuated", f"{call_id} at {runner}, {after:.2f} s")
            self.counts["stray_excused"] += held_up >= began - after
        for runner, at, calls, allowed in found["crowded"]:
            self.note(
                "over_cold_rate", f"{runner} {calls} of {allowed:.0f} at {at:.1f}"
            )
        home = ZONES.index(HOME_ZONE)
        for run in found["runs"]:
            is_away = int(run["runner"][1]) != home
            if self._kinds.get(run["id"]) == "home" and is_away:
                self.note("away_from_home", f"{run['id']} at {run['runner']}")

    def _check_cuts(self, spoiled: set[str]) -> None:
        """Note the calls that were cut at a drain, but not by a runner."""
        for cut in self._cuts:
            if cut.call_id in spoiled:
                self.counts["cut_by_runner"] += 1
                continue
            self.note("cut_by_drain", f"{cut.call_id} at {cut.instance}", cut.after)

    def _check_deadly(self, runs: list[str], most: int, rule: str) -> None:
        """Count the runs of deadly calls that all should have known of.

        All know of them behind as many runs as ``most``.
        """
        sent = [(self._sent_to[call_id][1], call_id) for call_id in runs]
        self.counts["deadly_runs"] += len(sent)
        if len(sent) < most:
            return
        known_at = sent[most - 1][0] + CONTACT
        late = [one for at, one in sent if at > known_at and not self._excused[one]]
        if len(late) > MOST_DEADLY:
            self.note(rule, f"{len(sent)} runs, {late}")

    def _check_falls(self, falls: list[Fall]) -> None:
        """Count the runners that fell over in each time of brittleness.

        A fall counts if most of what was rejected came from instances that
        were not disturbed.
        """
        self.counts["falls"] = len(falls)
        counted = Counter(fall.time for fall in falls if self._is_counted(fall))
        for number, count in counted.items():
            if count > MOST_FALLS:
                self.note("fell_over", f"{count} in time {number}")

    def _is_counted(self, fall: Fall) -> bool:
        senders = [self._sent_to.get(call_id) for call_id in fall.rejected]
        calm = [
            sender
            for sender in senders
            if sender and self._disturbed.get(sender[0], 0.0) < sender[1] - CALM
        ]
        return 2 * len(calm) > len(senders)

    def _check_version(self, call_id: str, old_for: float) -> None:
        """A run on an old version is excused where its news were held up."""
        name, began = self._sent_to.get(call_id, ("", 0.0))
        if old_for <= VERSION_LIMIT or not name:
            return
        named_at = began - old_for
        held_up = max(self._disturbed.get(name, 0.0), self._store_disturbed)
        if held_up < named_at:
            self.note("old_version", f"{call_id} at {name}, {old_for:.1f} s")

    def _check_orders(self, engine: str, orders: list) -> None:
        """See that fences grow, and that holders take no turns."""
        last: dict[str, float] = {}
        fence, holder = 0, ""
        for at, name, number in orders:
            if number < fence:
                self.note("fence_goes_back", f"{engine} {name} {number} < {fence}")
            is_back = name != holder and name in last
            if is_back and at - last[name] < LEASE_TURN:
                self.note("holders_take_turns", f"{engine} {holder} {name} at {at:.2f}")
            fence, holder = max(fence, number), name
            last[name] = at


def run(
    seconds: float,
    seed: int,
    instances: int,
    folder: Path,
    rule: str,
    only: list[str],
) -> dict:
    """Run the soak in a folder and return its summary."""
    deployment = Deployment(folder, instances, rule, SETTINGS)
    soak = Soak(deployment, seed)
    soak.only = only
    deployment.tenants = soak.keys.describe()
    try:
        deployment.start()
        time.sleep(4.0)
        asyncio.run(soak.run(seconds))
        soak.check_runs(deployment.site.read("/control"))
    finally:
        deployment.close()
    return {
        "violations": dict(sorted(soak.violations.items())),
        "counts": dict(sorted(soak.counts.items())),
        "details": soak.details[:20],
        "seed": seed,
        "broken_rule": rule,
        "noticed_after": soak.noticed_after,
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
