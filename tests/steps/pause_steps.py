"""Steps on engines that make no event for a while."""

import re

from behave import then, when

from standins.installation import REFUSAL, Pause
from tests.support.configuration import BASE, SERVICES, make_route
from tests.support.entries import Entries

_ROUTE = make_route(
    "/again/",
    "streaming",
    "llm",
    timeoutMs=10000,
    goalMs=1000,
    resumable=True,
    gapGoalMs=500,
)
_EVENTS = 6
_SLOW_LOAD = 1.6  # Seconds, several times what a load usually takes here.
_HEADERS = {
    "model": f"{BASE}/x",
    "token-count": "10,20",
    "prompt-prefix": "ab:10",
    "deadline-ms": "10000",
}
_DURATION = 6.0  # Seconds for which a case is played.
_STEP = 0.01  # Seconds.
_NO_RETRIES = {"retry_share": 0.0, "retry_slack": 0.0}


def _start(context, where):
    """Start an instance and engines of which one holds the adapter."""
    entries = Entries()
    context.add_cleanup(entries.close)
    entries.configure([_ROUTE], SERVICES)
    entries.start("a", "z1", _NO_RETRIES if "budget" in where else {})
    names = ["e1"] if where == "there is no other engine" else ["e1", "e2", "e3"]
    for name in names:
        runner = entries.installation.add_runner("llm", name, "z1", BASE)
        runner.events = _EVENTS
    entries.advance(3.0)
    entries.call("a", "/again/0", _HEADERS)
    entries.advance(1.0)
    return entries


def _find_holder(entries):
    runners = entries.installation.runners.values()
    return next(one for one in runners if "x" in one.held)


def _prepare_others(entries, holder, where):
    """Let the other engines be as a case says."""
    for runner in entries.installation.runners.values():
        if runner is holder:
            continue
        if where == "the adapter takes too long to load elsewhere":
            runner.load_time = _SLOW_LOAD
        elif where == "the others can go on at once":
            runner.held["x"] = 1
        elif where == "all other engines refuse it":
            runner.faults = [REFUSAL] * 50
        elif where == "the first sends elsewhere are refused":
            runner.faults = [REFUSAL]
    if where == "the others can go on at once":
        entries.advance(3.0)


def _measure_longest_pause(entries, caller):
    """Let some seconds pass; return the longest between two events."""
    clock = entries.installation.clock
    last_at, longest, size = clock.now(), 0.0, len(caller.body)
    for _ in range(round(_DURATION / _STEP)):
        entries.advance(_STEP)
        if len(caller.body) > size:
            longest = max(longest, clock.now() - last_at) if size else 0.0
            last_at, size = clock.now(), len(caller.body)
    return longest


def _play(context, where, seconds, is_waiting):
    """Return the callers whose engine pauses in one case."""
    entries = _start(context, where)
    holder = _find_holder(entries)
    _prepare_others(entries, holder, where)
    holder.faults = [Pause(seconds)]
    callers = [entries.call("a", "/again/1", _HEADERS)]
    if is_waiting:
        entries.advance(0.1)
        holder.queue_time = seconds
        callers.append(entries.call("a", "/again/2", _HEADERS))
    context.pauses.append(_measure_longest_pause(entries, callers[0]))
    context.deployments.append(entries)
    return callers


def _play_cases(context, seconds, is_waiting):
    context.deployments = []
    context.pauses = []
    context.played = {
        row["where"]: _play(context, row["where"], seconds, is_waiting)
        for row in context.table
    }


@when("a stream has its first event, and its engine pauses for {seconds:g} seconds")
def step_stream(context, seconds):
    """Play each case of the table on a deployment of its own."""
    _play_cases(context, seconds, False)


@when("a call waits at an engine whose only stream pauses for {seconds:g} seconds")
def step_waiting(context, seconds):
    """Play each case, with a call that has no event yet beside the stream."""
    _play_cases(context, seconds, True)


def _describe_fault(caller):
    """Return what is wrong with an answer, or None."""
    if not caller.is_whole:
        return "cut" if caller.is_cut else f"not whole: {caller.error!r}"
    ids = [int(one) for one in re.findall(rb"id: (\d+)", caller.body)]
    return None if ids == list(range(_EVENTS)) else f"events {ids}"


@then("each of these answers is whole and has each event once")
def step_whole(context):
    """Check what each caller got."""
    faults = {
        f"{where}, call {number}": _describe_fault(caller)
        for where, callers in context.played.items()
        for number, caller in enumerate(callers, 1)
    }
    found = {case: fault for case, fault in faults.items() if fault is not None}
    assert not found, found


@then("no call ran at two engines at once for long")
def step_overlaps(context):
    """Check the runs of all engines."""
    found = [
        one for it in context.deployments for one in it.installation.overlaps.found
    ]
    assert not found, found


@then("its longest pause is {longest:g} seconds at most")
def step_pause(context, longest):
    """Check the times between the events that the callers got."""
    assert max(context.pauses) <= longest, context.pauses
