"""Steps on streams at engines that pause, refuse and break off at random."""

import random
import re
from collections import Counter

from behave import given, then, when

from roadlift.instance.placement import Placement
from standins.runners import REFUSAL, Pause
from tests.support.configuration import BASE, SERVICES, make_route
from tests.support.entries import Entries

_EVENTS = 6
_HEADERS = {
    "model": f"{BASE}/x",
    "token-count": "10,20",
    "prompt-prefix": "ab:10",
    "deadline-ms": "10000",
}
_TAIL = 14.0  # Seconds in which all calls end, by their time limit at the latest.


@given(
    "an instance and {count:d} engines that hold an adapter, and routes of"
    " {attempts:d} attempts"
)
def step_instance(context, count, attempts):
    """Start them, and wait until the instance knows the adapters."""
    context.entries = entries = Entries()
    context.add_cleanup(entries.close)
    route = make_route(
        "/again/",
        "streaming",
        "llm",
        timeoutMs=10000,
        goalMs=1000,
        resumable=True,
        gapGoalMs=500,
        attempts=attempts,
    )
    entries.configure([route], SERVICES)
    entries.start("a", "z1")
    for index in range(count):
        runner = entries.installation.add_runner("llm", f"e{index}", "z1", BASE)
        runner.events = _EVENTS
        runner.held["x"] = 1
    entries.advance(5.0)


def _draw_faults(draw):
    """Return the faults of the next calls at an engine."""
    seconds = draw.uniform(0.5, 2.5)
    faults = (
        None,
        None,
        Pause(seconds),
        Pause(seconds, in_event=True),
        REFUSAL,
        "cut",
        "stall",
        "fail",
    )
    return draw.choices(faults, k=2)


@when(
    "{count:d} streams are sent while engines pause, refuse and break off, with seed"
    " {seed:d}"
)
def step_send(context, count, seed):
    """Send them one after the other, then wait until all have ended."""
    entries, draw = context.entries, random.Random(seed)
    runners = list(entries.installation.runners.values())
    context.ends = Counter()
    _count_ends(context)
    for number in range(count):
        for runner in runners:
            runner.faults = _draw_faults(draw)
            runner.queue_time = draw.choice((0.0, 0.0, 0.3, 0.9))
        headers = {**_HEADERS, "request-id": f"q{number}"}
        entries.call("a", f"/again/{number}", headers)
        entries.advance(draw.uniform(0.01, 0.3))
    for runner in runners:
        runner.faults = []
    entries.advance(_TAIL)


def _count_ends(context):
    """Count how often the instance finishes each call."""
    ingress = context.entries.entries["a"].ingress
    finish = ingress.finish

    def count(exchange):
        """Count, and finish."""
        context.ends[exchange.call.id] += 1
        finish(exchange)

    ingress.finish = count


@then("each answer has whole events in order, from the first on")
def step_order(context):
    """Compare what callers got with what a sound engine makes."""
    made = b"".join(b"id: %d\ndata: t%d\n\n" % (one, one) for one in range(_EVENTS))
    found = [
        caller.body
        for caller in context.entries.callers
        if not made.startswith(caller.body) or not _has_whole_events(caller.body)
    ]
    assert not found, found[:3]


def _has_whole_events(body):
    return not body or body.endswith(b"\n\n")


@then("each whole answer has all of them")
def step_all(context):
    """Count the events of whole answers."""
    whole = [caller.body for caller in context.entries.callers if caller.is_whole]
    found = [body for body in whole if len(re.findall(rb"id: ", body)) != _EVENTS]
    assert not found, found[:3]


@then("{least:d} in 100 of the answers are whole")
def step_least(context, least):
    """Count the whole answers."""
    callers = context.entries.callers
    whole = sum(caller.is_whole for caller in callers)
    assert whole >= least / 100 * len(callers), (whole, len(callers))


@then("no call ran more often than {most:d} times")
def step_attempts(context, most):
    """Count the runs of each call at all engines."""
    runners = context.entries.installation.runners.values()
    runs = Counter(one["request-id"] for runner in runners for one in runner.ran)
    found = {call: count for call, count in runs.items() if count > most}
    assert not found, found


@then("each call ended once, and none is counted at an engine")
def step_counts(context):
    """Check the counts of calls, and of unread prompts."""
    found = {call: ends for call, ends in context.ends.items() if ends != 1}
    assert not found, found
    assert len(context.ends) == len(context.entries.callers), len(context.ends)
    placement = context.entries.entries["a"].kernel.get(Placement)
    names = context.entries.installation.runners
    counted = {
        name: (placement.health.count_running(name), placement.count_ahead(name))
        for name in names
    }
    assert not any(any(counts) for counts in counted.values()), counted
