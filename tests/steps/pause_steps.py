"""Steps on engines that make no event for a while."""

import re

from behave import then, when

from roadlift.instance.retrybudgets import ServiceBudgets
from standins.runners import REFUSAL, Pause
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
_MANY = 60  # Events of streams that go on until a case is over.
_SLOW_LOAD = 1.6  # Seconds, several times what a load usually takes here.
_HEADERS = {
    "model": f"{BASE}/x",
    "token-count": "10,20",
    "prompt-prefix": "ab:10",
    "deadline-ms": "10000",
}
_HANDED_OVER = 0.3  # Seconds in which a call is handed over.
_DURATION = 6.0  # Seconds for which a case is played.
_STEP = 0.01  # Seconds.
_ONCE = make_route("/once/", "streaming", "llm", timeoutMs=10000, attempts=1)
_REST = REFUSAL._replace(headers={**REFUSAL.headers, "retry-after": "1.0"})
_ONE_RETRY = {"retry_share": 0.0, "retry_slack": 1.7, "retry_window": 2.0}
_NO_RETRIES = {"retry_share": 0.0, "retry_slack": 0.0}

_FOUR_RETRIES = {"retry_share": 0.0, "retry_slack": 5.1}
_SETTINGS = {
    "other calls have used their part of retries": _FOUR_RETRIES,
    "the retry budget is spent": _NO_RETRIES,
    "the retry budget is spent for two seconds": _ONE_RETRY,
}


def _start(context, where):
    """Start an instance and engines of which one holds the adapter."""
    entries = Entries()
    context.add_cleanup(entries.close)
    entries.configure([_ROUTE, _ONCE], SERVICES)
    entries.start("a", "z1", _SETTINGS.get(where, {}))
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
        elif where.startswith("the others "):
            runner.held["x"] = 1
            runner.queue_time = 1.5 if "read prompts" in where else 0.0
            runner.faults = ["cut"] if "break off" in where else []
        elif where == "all other engines refuse it":
            runner.faults = [REFUSAL] * 50
        elif where == "the first sends elsewhere are refused":
            runner.faults = [REFUSAL]
        elif where == "all other engines rest for a second":
            runner.held["x"] = 1
            runner.want_rest("1.0")
            stop = lambda one=runner: one.want_rest(None)
            entries.installation.timeline.call_later(1.5, stop)
    if where.startswith("the others "):
        entries.advance(3.0)
    if where == "other calls have used their part of retries":
        _spend_retries(entries)
    if where == "the retry budget is spent for two seconds":
        _spend_retry(entries, holder)


def _spend_retries(entries):
    """Let calls without an answer use all retries that they get."""
    budgets = entries.entries["a"].kernel.get(ServiceBudgets)
    while budgets.consume_retry("llm", entries.installation.clock.now(), False):
        pass


def _spend_retry(entries, holder):
    """Let the instance use its only retry for another call."""
    holder.faults = ["cut"]
    entries.call("a", "/again/0", _HEADERS)
    entries.advance(1.0)


def _measure_longest_pause(context, entries, caller):
    """Let some seconds pass; return the longest between two events.

    How long behind its last event an answer was cut is kept as well.
    """
    clock = entries.installation.clock
    last_at, longest, size = clock.now(), 0.0, len(caller.body)
    for _ in range(round(_DURATION / _STEP)):
        entries.advance(_STEP)
        if len(caller.body) > size:
            longest = max(longest, clock.now() - last_at) if size else 0.0
            last_at, size = clock.now(), len(caller.body)
        if caller.is_cut and caller not in context.cut_after:
            context.cut_after[caller] = clock.now() - last_at
    return longest


def _play(context, where, play):
    """Return the callers that ``play`` makes in one case."""
    entries = _start(context, where)
    holder = _find_holder(entries)
    _prepare_others(entries, holder, where)
    callers = play(entries, holder)
    context.pauses.append(_measure_longest_pause(context, entries, callers[0]))
    context.deployments.append(entries)
    return callers


def _play_cases(context, play):
    context.deployments = []
    context.pauses = []
    context.cut_after = {}
    context.played = {
        row["where"]: _play(context, row["where"], play) for row in context.table
    }


@when("a stream has its first event, and its engine pauses for {seconds:g} seconds")
def step_stream(context, seconds):
    """Play each case of the table on a deployment of its own."""

    def play(entries, holder):
        """Send one stream."""
        holder.faults = [Pause(seconds)]
        return [entries.call("a", "/again/1", _HEADERS)]

    _play_cases(context, play)


@when("a call waits at an engine whose only stream pauses for {seconds:g} seconds")
def step_waiting(context, seconds):
    """Play each case, with a call that has no event yet beside the stream."""

    def play(entries, holder):
        """Send two calls, of which the second has no event yet."""
        holder.faults = [Pause(seconds)]
        stream = entries.call("a", "/again/1", _HEADERS)
        entries.advance(0.1)
        holder.queue_time = seconds
        return [stream, entries.call("a", "/again/2", _HEADERS)]

    _play_cases(context, play)


@when(
    "a stream has its first event, and its caller reads nothing for {seconds:g} seconds"
)
def step_full(context, seconds):
    """Let the caller's buffer be full for a while."""

    def play(entries, holder):
        """Send a stream whose caller stops to read."""
        caller = entries.call("a", "/again/1", _HEADERS)
        caller.is_full = True
        timeline = entries.installation.timeline
        timeline.call_later(seconds, lambda: _read_again(caller))
        return [caller]

    _play_cases(context, play)


def _read_again(caller):
    caller.is_full = False
    caller.on_drained()


@then("each of these calls ran once")
def step_once(context):
    """Count the runs of the last call of each deployment."""
    for entries in context.deployments:
        runners = entries.installation.runners.values()
        last = f"r{len(entries.callers)}"
        runs = [one for it in runners for one in it.ran if one["request-id"] == last]
        assert len(runs) == 1, len(runs)


@when("a stream has its first event, and its engine breaks off")
def step_break(context):
    """Play each case with a stream that may run again."""
    _play_cases(context, lambda entries, holder: _break(entries, holder, "/again/1"))


@when("a stream that may run once has its first event, and its engine breaks off")
def step_break_once(context):
    """Play each case with a stream that may not run again."""
    _play_cases(context, lambda entries, holder: _break(entries, holder, "/once/1"))


def _break(entries, holder, target):
    holder.faults = ["cut"]
    callers = [entries.call("a", target, _HEADERS)]
    return callers


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
    deployments = getattr(context, "deployments", None) or [context.entries]
    found = [one for it in deployments for one in it.installation.overlaps.found]
    assert not found, found


@then("its longest pause is {longest:g} seconds at most")
def step_pause(context, longest):
    """Check the times between the events that the callers got."""
    assert max(context.pauses) <= longest, context.pauses


@then("each of these answers is cut within {seconds:g} seconds")
def step_cut(context, seconds):
    """Check when the answers were cut, behind their last events."""
    callers = [one for callers in context.played.values() for one in callers]
    found = [context.cut_after.get(caller) for caller in callers]
    assert all(after is not None and after <= seconds for after in found), found


@then("the adapter was ordered at one other engine")
def step_one_order(context):
    """Count the engines that hold the adapter at the end."""
    for entries in context.deployments:
        runners = entries.installation.runners.values()
        holders = [one.id for one in runners if "x" in one.held or "x" in one.arriving]
        assert len(holders) == 2, holders


@when(
    "the only engine pauses for {seconds:g} seconds, and goes on with one of two"
    " streams"
)
def step_go_on_with_one(context, seconds):
    """Let the first of them make no event for much longer."""
    context.entries = entries = _start(context, "there is no other engine")
    engine = _find_holder(entries)
    engine.events = _MANY
    engine.faults = [Pause(_DURATION)]
    entries.call("a", "/again/held", _HEADERS)
    context.held = f"r{len(entries.callers)}"
    entries.call("a", "/again/slow", _HEADERS)
    entries.advance(0.5)
    engine.pause(seconds)
    entries.advance(_DURATION / 2)


@then("the other stream is not sent to it again")
def step_not_again(context):
    """Count its runs."""
    engine = _find_holder(context.entries)
    runs = [one for one in engine.ran if one["request-id"] == context.held]
    assert len(runs) == 1, len(runs)


@when(
    "a stream's engine pauses for {seconds:g} seconds, and the one that takes it over"
    " ends unread"
)
def step_taken_over(context, seconds):
    """End the other engine behind the handover, before its first event."""
    where = "the others read prompts for 1.5 seconds first"
    entries = _start(context, where)
    holder = _find_holder(entries)
    _prepare_others(entries, holder, where)
    holder.faults = [Pause(seconds)]
    caller = entries.call("a", "/again/1", _HEADERS)
    call_id = f"r{len(entries.callers)}"
    others = [one for one in entries.installation.runners.values() if one != holder]
    for _ in range(round(seconds / _STEP)):
        entries.advance(_STEP)
        taken = [one for one in others if _has_run(one, call_id)]
        if taken:
            break
    entries.advance(_HANDED_OVER)
    taken[0].crash()
    entries.advance(_DURATION)
    context.played = {where: [caller]}


def _has_run(engine, call_id):
    return any(one["request-id"] == call_id for one in engine.ran)
