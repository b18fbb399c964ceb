"""Steps on what the soak of processes checks."""

import json

from behave import given, then, when

from benchmarks.routes import Cut, Soak
from standins.statements import Sent, StatementWatch


def _split(text):
    return [] if text == "nothing" else text.split(", ")


@given('a soak in which the calls "{calls}" were cut at instances that were leaving')
def step_cuts(context, calls):
    """Make a soak without processes, and note cuts."""
    context.soak = Soak(None, 1)
    context.soak._cuts = [Cut(name, "entry-0", 1.0) for name in _split(calls)]


@when('the runners tell that they broke off "{spoiled}"')
def step_spoiled(context, spoiled):
    """Check the cuts."""
    context.soak._check_cuts(set(_split(spoiled)))


@then("{violations:d} calls were cut by a drain and {excused:d} by runners")
def step_cut(context, violations, excused):
    """Look at the counts."""
    soak = context.soak
    found = (soak.violations["cut_by_drain"], soak.counts["cut_by_runner"])
    assert found == (violations, excused), found


@given(
    "a soak in which a runner that may get {allowed:d} calls gets {calls:d}, {late:d}"
    " of them late"
)
def step_limit(context, allowed, calls, late):
    """Check what a runner says that it got."""
    context.soak = Soak(None, 1)
    context.soak._check_limits([[5.0, "p0", calls, allowed, 3.4, late]])


@then("{violations:d} runners got more than their limit")
def step_over_limit(context, violations):
    """Look at the count."""
    assert context.soak.violations["over_limit"] == violations


@given('a soak in which a deadly call ran at "{runs}" seconds')
def step_deadly(context, runs):
    """Note runs, the last of them at an instance that was disturbed."""
    soak = context.soak = Soak(None, 1)
    is_frozen = runs.endswith(" at a frozen one")
    times = [float(one) for one in _split(runs.removesuffix(" at a frozen one"))]
    for index, at in enumerate(times):
        soak._sent_to[f"d{index}"] = ("entry-0", at)
        soak._excused[f"d{index}"] = is_frozen and index == len(times) - 1
    soak._check_deadly(list(soak._sent_to))


@then("{violations:d} deadly calls ran again")
def step_again(context, violations):
    """Look at the count."""
    found = context.soak.violations["deadly_again"]
    assert found == violations, (found, context.soak.details)


@given(
    "a soak in which a runner says {word} to a call, and {calls:d} more come {after:g}"
    " s later"
)
def step_said(context, word, calls, after):
    """Note what runners noted; a rest is of 3 seconds."""
    soak = context.soak = Soak(None, 1)
    watch = StatementWatch()
    soak._senders = {f"r{number}": Sent("entry-0", after) for number in range(calls)}
    soak._senders["first"] = Sent("entry-0", 0.0)
    if word == "leaving":
        watch.note_leaving("p0", "first", 0.0)
    else:
        watch.note_rest("p0", "first", 3.0, 0.0)
    for number in range(calls):
        watch.note_call("p0", f"r{number}", after)
    content = json.loads(json.dumps(watch.describe()))
    soak._check_statements(StatementWatch.read(content))


@then("{late:d} calls came too late and {broken:d} rests were broken")
def step_kept(context, late, broken):
    """Look at the counts."""
    found = context.soak.violations
    assert (found["late_to_leaving"], found["broken_rest"]) == (late, broken), found
