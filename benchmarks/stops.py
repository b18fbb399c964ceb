"""Stop endpoints beside changes, and look for refusals that are not true.

Instances, runners and the store in one process, on a paused clock. Routes
change 0.6 seconds before runners pause, stand still or let new connections
hang; instances drain, are killed, suspended, reset or cut from runners within
the stop, and the store goes away. Prints, as JSON, the calls of each seed that
were refused as not run though they ran, that ran more often than their route
allows, and the largest part of the allowed retries that was used.
"""

import argparse
import json
import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from roadlift.instance.answer import NOT_RUN_STATUSES
from roadlift.retries.window import RetryRule
from standins.arrivals import SentCall
from standins.hubcaller import HubCaller
from tests.support.callers import Wanted, make_headers
from tests.support.configuration import BASE
from tests.support.entries import Entries
from tests.support.stops import Terms, make_routes

RULE = RetryRule(0.2, 20.0, 10.0)
SECONDS = 24.0  # Of calls in a play.
RATE = 60.0  # Calls a second.
STEP = 0.02  # Seconds between two looks at what is due.
SETTLING = 6.0  # Seconds before the first call, and behind the last.
LEAD = 0.6  # Seconds from a change to the stop behind it.
GAP = (2.5, 4.5)  # Seconds between two stops, at least and at most.
STOP = (0.8, 2.4)  # Seconds for which runners stop.
DRAIN = 8.2  # Seconds until a draining instance has ended.
AWAY = (0.5, 2.5)  # Seconds for which the store is away.
CUT = (0.7, 3.0)  # Seconds for which instances are cut from runners.
GIVEN_UP = 0.1  # Part of the calls that their callers give up early.
REFUSAL_TIMES = (0.001, 0.3, 0.5)  # Seconds until a rejection is sent.
LIMITS = (1.0, 2.5, 4.0)  # Seconds that callers of streams wait.
TARGETS = {
    "/once/1": 1,
    "/split/1": 1,
    "/moved/1": 1,
    "/idem/1": 3,
    "/stream/1": 1,
    "/stream/slow": 1,
    "/again/1": 2,
    "/again/slow": 2,
}  # And the runs of a call that its route allows.
STREAMS = ("/stream", "/again")
SERVICES = {"plain": False, "llm": True, "other": False}
TROUBLES = ("drain", "suspend", "reset", "cut", "store", "kill")


class Played(NamedTuple):
    """A call: its path, its caller, when it was sent and its time limit."""

    target: str
    caller: HubCaller
    at: float
    limit: float


class Found(NamedTuple):
    """What a play has shown."""

    calls: int
    refused: int
    over_attempts: int
    retries: float


class Play:
    """One play of a seed."""

    def __init__(self, seed: int, instances: int) -> None:
        self._draw = random.Random(seed)
        self._terms = Terms()
        self._calls: dict[str, Played] = {}
        self._leaving: set[str] = set()
        self._due: list[tuple[float, Callable[[], None]]] = []
        self._entries = Entries()
        self._zones = {f"i{n}": ("z1", "z2")[n % 2] for n in range(instances)}
        self._start()

    def _start(self) -> None:
        self._configure()
        for name, zone in self._zones.items():
            self._entries.start(name, zone)
        for service, count in (("llm", 4), ("plain", 3), ("other", 3)):
            for number in range(count):
                zone, base = ("z1", "z2")[number % 2], BASE if service == "llm" else ""
                name = f"{service}-{number}"
                runner = self._entries.installation.add_runner(
                    service, name, zone, base
                )
                runner.slots, runner.events = 4, 8
        self._entries.advance(SETTLING)

    def run(self) -> Found:
        """Send calls beside troubles, and judge what callers were told."""
        began = due = self._now()
        self._plan(began)
        while self._now() < began + SECONDS:
            self._run_due()
            while due <= self._now():
                self._call()
                due += 1.0 / RATE
            self._entries.advance(STEP)
        for runner in self._list_runners():
            runner.want_rest(None)
        self._entries.advance(SETTLING)
        found = self._judge()
        self._entries.close()
        return found

    def _now(self) -> float:
        return self._entries.installation.clock.now()

    def _list_runners(self) -> list:
        return list(self._entries.installation.runners.values())

    def _later(self, seconds: float, call: Callable[[], None]) -> None:
        self._due.append((self._now() + seconds, call))

    def _run_due(self) -> None:
        ready = [one for one in self._due if one[0] <= self._now()]
        self._due = [one for one in self._due if one not in ready]
        for _, call in sorted(ready, key=lambda one: one[0]):
            call()

    # Calls

    def _call(self) -> None:
        names = [name for name in self._entries.entries if name not in self._leaving]
        if not names:
            return
        target = self._draw.choice(list(TARGETS))
        number = len(self._calls)
        is_stream = target.startswith(STREAMS)
        limit = self._draw.choice(LIMITS) if is_stream else LIMITS[0]
        model = f"{BASE}/x{self._draw.randrange(5)}" if is_stream else ""
        wanted = make_headers(Wanted(f"c{number}", model, limit))
        headers = {name.lower(): text for name, text in wanted.items()}
        caller = self._entries.call(self._draw.choice(names), target, headers)
        played = Played(target, caller, self._now(), limit)
        self._calls[f"c{number}"] = played
        if self._draw.random() < GIVEN_UP:
            self._later(self._draw.uniform(0.05, 1.5), lambda: _give_up(caller))

    # Troubles

    def _plan(self, began: float) -> None:
        at = 3.0
        while at < SECONDS - 3.0:
            self._due.append((began + at - LEAD, self._change))
            self._due.append((began + at, self._stop))
            for _ in range(self._draw.choice((0, 1, 2))):
                trouble = getattr(self, f"_{self._draw.choice(TROUBLES)}")
                self._due.append((began + at + self._draw.uniform(0.0, 1.2), trouble))
            at += self._draw.uniform(*GAP)

    def _configure(self) -> None:
        self._entries.configure(make_routes(self._terms), SERVICES, adapter_slots=4)

    def _change(self) -> None:
        terms, draw = self._terms, self._draw
        self._terms = draw.choice(
            (
                terms._replace(added=terms.added + 1),
                terms._replace(timeout=draw.choice((1500, 2500, 4000))),
                terms._replace(weight=draw.choice((0, 50, 100))),
                terms._replace(is_moved=not terms.is_moved),
            )
        )
        self._configure()

    def _stop(self) -> None:
        """Let runners stop, and some of them reject calls behind that."""
        part = self._draw.choice((1.0, 1.0, 0.6))
        kind = self._draw.choice(("pause", "stop", "shut", "shut"))
        service = self._draw.choice((None, "llm", "plain"))
        seconds = self._draw.uniform(*STOP)
        is_rejecting = self._draw.random() < 0.5
        for runner in self._list_runners():
            is_meant = service in (None, runner.service)
            if not is_meant or self._draw.random() >= part:
                continue
            getattr(runner, kind)(seconds)
            if is_rejecting:
                runner.refusal_time = self._draw.choice(REFUSAL_TIMES)
                runner.want_rest("0.2", self._draw.choice((0.5, 1.0)))
                end = lambda one=runner: one.want_rest(None)
                self._later(seconds + self._draw.uniform(0.05, 1.0), end)

    def _pick(self) -> str | None:
        """Return an instance, unless few are left."""
        names = [name for name in self._entries.entries if name not in self._leaving]
        return self._draw.choice(names) if len(names) > 2 else None

    def _drain(self) -> None:
        name = self._pick()
        if name is not None:
            self._leaving.add(name)
            self._entries.entries[name].ingress.leave()
            self._later(DRAIN, lambda: self._restart(name))

    def _kill(self) -> None:
        name = self._pick()
        if name is not None:
            self._restart(name)

    def _restart(self, name: str) -> None:
        self._entries.end(name)
        self._entries.start(name, self._zones[name])
        self._leaving.discard(name)

    def _suspend(self) -> None:
        name = self._pick()
        if name is not None:
            self._entries.suspend(name, self._draw.uniform(0.3, 1.5))

    def _reset(self) -> None:
        name = self._pick()
        if name is not None:
            entry = self._entries.entries[name]
            self._entries.installation.reset_lines(entry.dialer)

    def _cut(self) -> None:
        cut = self._entries.installation.cut_from_runners
        for _ in range(self._draw.choice((1, 2))):
            name = self._pick()
            if name is None:
                return
            dialer = self._entries.entries[name].dialer
            cut.add(dialer)
            end = lambda one=dialer: cut.discard(one)
            self._later(self._draw.uniform(*CUT), end)

    def _store(self) -> None:
        store = self._entries.installation.store
        store.is_down = True
        end = lambda: setattr(store, "is_down", False)
        self._later(self._draw.uniform(*AWAY), end)

    # What was found

    def _judge(self) -> Found:
        runs = Counter(
            ran["request-id"] for one in self._list_runners() for ran in one.ran
        )
        refused = over = 0
        for call_id, (target, caller, _, _) in self._calls.items():
            status = caller.error.status if caller.error else caller.status
            refused += status in NOT_RUN_STATUSES and runs[call_id] > 0
            over += runs[call_id] > TARGETS[target]
        return Found(len(self._calls), refused, over, self._measure_retries())

    def _measure_retries(self) -> float:
        sent = [
            SentCall(
                played.at,
                "llm" if played.target.startswith(STREAMS) else "plain",
                call_id,
                played.limit,
            )
            for call_id, played in self._calls.items()
        ]
        uses = self._entries.installation.arrivals.measure_use(sent, RULE)
        return round(max((use.fraction for use in uses), default=0.0), 2)


def _give_up(caller: HubCaller) -> None:
    """Leave a call that has no whole answer yet."""
    if caller.on_gone is not None and not caller.is_whole and caller.error is None:
        caller.on_gone()


def main() -> None:
    """Read the flags, play and print."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--instances", type=int, default=5)
    args = parser.parse_args()
    for seed in range(args.seed, args.seed + args.seeds):
        found = Play(seed, args.instances).run()
        print(json.dumps({"seed": seed, **found._asdict()}), flush=True)


if __name__ == "__main__":
    main()
