"""Steps on calls that share a part of their prompts which crashes engines."""

import random

from behave import given, then, when

from standins.departures import LeavingCaller
from standins.endings import ENDINGS
from tests.steps.crash_steps import find_owner, restart
from tests.support.configuration import BASE

_FIRST = "f0"  # The first part of all prompts.
_DEADLY = "dead"
_SHARED = 8  # Further parts, of which each prompt has one.
_ADAPTERS = 6
_ANSWERED = 3.0  # Seconds until all calls have their answers.


def _call(context, parts, target, caller=None):
    """Send a call to any instance; its prompt ends with a part of its own."""
    names = sorted(context.entries.entries)
    if not names:
        return None
    context.number += 1
    prompt = [*parts, f"{context.number:x}"]
    headers = {
        "deadline-ms": "4000",
        "model": f"{BASE}/x{context.rng.randrange(_ADAPTERS)}",
        "token-count": "10,20",
        "prompt-prefix": ",".join(f"{part}:5" for part in prompt),
    }
    body = f"body {context.number}".encode()
    name = context.rng.choice(names)
    target = f"{target}{context.number}"
    return context.entries.call(name, target, headers, body=body, caller=caller)


def _repeat(context, rate, send, until=float("inf")):
    """Send at random, so many a second, until a time."""
    installation = context.entries.installation
    due = [installation.clock.now()]

    def run():
        """Send, and schedule the next."""
        due[0] += context.rng.expovariate(rate)
        if due[0] < until:
            delay = max(0.0, due[0] - installation.clock.now())
            installation.timeline.call_later(delay, run)
        send()

    run()


@given("engines end so: {ending}")
def step_ending(context, ending):
    """Let all engines end in one way."""
    context.entries.installation.ending = ENDINGS[ending]


@given("{left:d} in 100 of the callers with the part leave after their first event")
def step_leaving(context, left):
    """Let callers leave before their calls can crash an engine."""
    context.left = left / 100


@given(
    "sound callers at random with seed {seed:d}, {rate:g} calls a second, that share"
    " parts"
)
def step_sound(context, seed, rate):
    """Send sound calls for the rest of the test."""
    context.rng = random.Random(seed)
    context.number = 0
    context.others = []

    def send():
        """Send one; it shares two parts with others."""
        shared = f"s{context.rng.randrange(_SHARED)}"
        context.others.append(_call(context, [_FIRST, shared], "/long/"))

    _repeat(context, rate, send)
    context.entries.advance(6.0)
    context.usual = _measure_served(context)


def _measure_served(context):
    """Return the fraction of the answered sound calls that were served."""
    sent = [call for call in context.others if call is not None]
    done = [call for call in sent if call.is_whole or call.error or call.is_cut]
    served = sum(call.is_whole and call.status == 200 for call in done)
    return served / max(1, len(done))


def _stop_store(context):
    context.entries.installation.store.is_down = True


def _cut_zones(context):
    context.entries.is_zone_cut = True


def _restart_in_turn(context):
    """Kill an instance each 2 seconds, the owner first."""
    restart(context, [find_owner(context)])
    for name in ("b", "c", "f"):
        context.entries.advance(1.0)
        restart(context, [name])


def _crash_many(context):
    """End a third of the engines at once, for a reason of their own."""
    runners = context.entries.installation.runners
    names = sorted(name for name in runners if name.startswith("e"))
    for name in names[::3]:
        runners[name].crash()


@when("{engines} of the engines end at once, three times")
def step_end(context, engines):
    """End engines for reasons of their own, and wait until they are back."""
    share = 1 if engines == "all" else 3
    for _ in range(3):
        runners = context.entries.installation.runners
        names = sorted(name for name in runners if name.startswith("e"))
        for name in names[::share]:
            runners[name].crash()
        context.entries.advance(4.0)


def _queue(context):
    """Let engines begin to run calls later."""
    for runner in context.entries.installation.runners.values():
        runner.queue_time = 0.3


_TROUBLES = {
    "nothing happens": lambda context: None,
    "the owner of z1 is killed": lambda context: restart(
        context, [find_owner(context)]
    ),
    "instances are killed in turn": _restart_in_turn,
    "all instances are killed": lambda context: restart(
        context, list(context.entries.entries)
    ),
    "zones can't reach each other": _cut_zones,
    "the store does not answer": _stop_store,
    "a third of the engines end": _crash_many,
    "engines queue calls": _queue,
}


@when(
    "{rate:g} calls a second with a deadly part are sent for {seconds:g} seconds while"
    " {trouble}"
)
def step_deadly(context, rate, seconds, trouble):
    """Send them, and cause a trouble a little later."""
    entries = context.entries
    entries.installation.deadly_parts.add(_DEADLY)
    until = entries.installation.clock.now() + seconds
    context.others.clear()
    context.deadly = []

    def send():
        """Send one; beside the deadly part it shares those of sound calls."""
        shared = f"s{context.rng.randrange(_SHARED)}"
        parts = [_FIRST, shared, _DEADLY]
        leaves = context.rng.random() < getattr(context, "left", 0.0)
        caller = LeavingCaller(entries.installation.timeline) if leaves else None
        context.deadly.append(_call(context, parts, "/long/deadly", caller))

    _repeat(context, rate, send, until)
    entries.advance(2.0)
    _TROUBLES[trouble](context)
    entries.advance(max(0.0, until - entries.installation.clock.now()) + _ANSWERED)


@then(
    "at most {most:d} of them ran later than {seconds:g} seconds after the fifth crash"
)
def step_late(context, most, seconds):
    """Count the runs that began too late."""
    runs = context.entries.installation.deadly_part_runs.get(_DEADLY, [])
    crashes = context.entries.installation.crash_times
    late = [run for run in runs if len(crashes) > 4 and run.at > crashes[4] + seconds]
    assert len(late) <= most, (len(late), len(runs), len(crashes))


@then("{most:d} engines crashed under them at most")
def step_crashes(context, most):
    """Count the crashes."""
    found = context.entries.installation.crash_times
    assert len(found) <= most, (len(found), found)


@then("{least:d} in 100 of the sound calls were served, as many as at other times")
def step_served(context, least):
    """Compare with the time before."""
    served = _measure_served(context)
    assert served >= least / 100 * context.usual > 0, (served, context.usual)
