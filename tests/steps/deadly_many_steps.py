"""Steps on many calls that end engines at once, drawn at random."""

import random

from behave import given, then, when

from tests.support.configuration import BASE

_GAP = (0.2, 0.8)  # Seconds until a deadly call comes again.


def _call(context, target, adapter, body):
    names = sorted(context.entries.entries)
    headers = {
        "deadline-ms": "4000",
        "model": f"{BASE}/{adapter}",
        "token-count": "10,20",
        "prompt-prefix": "ab:10",
    }
    name = context.draw.choice(names)
    return context.entries.call(name, target, headers, body=body)


@given(
    "callers of {count:d} adapters, drawn at random by seed {seed:d}, {rate:g} calls a"
    " second"
)
def step_callers(context, count, seed, rate):
    """Send streams, each of its own, as long as the test lasts."""
    context.draw = random.Random(seed)
    context.adapters = count
    context.others = []
    timeline = context.entries.installation.timeline

    def run(number):
        """Send one, and plan the next."""
        adapter = f"x{context.draw.randrange(count)}"
        context.others.append(_call(context, f"/long/{number}", adapter, b"body"))
        pause = context.draw.expovariate(rate)
        timeline.call_later(pause, lambda: run(number + 1))

    run(0)
    context.entries.advance(3.0)


@when(
    "{count:d} deadly calls that begin within {spread:g} seconds come again and again"
    " for {span:g} seconds"
)
def step_deadly(context, count, spread, span):
    """Send them, and wait until the last is over."""
    context.others.clear()
    installation = context.entries.installation
    ends_at = installation.clock.now() + span

    def again(which, body):
        """Send one, and plan its return."""
        if installation.clock.now() > ends_at:
            return
        _call(context, f"/long/deadly{which}", f"x{which % context.adapters}", body)
        pause = context.draw.uniform(*_GAP)
        installation.timeline.call_later(pause, lambda: again(which, body))

    for which in range(count):
        body = f"deadly {which}".encode()
        installation.deadly.add(body)
        begin = lambda which=which, body=body: again(which, body)
        installation.timeline.call_later(context.draw.random() * spread, begin)
    context.entries.advance(span + 2.0)


@then("no other call was refused for the ends of engines")
def step_not_refused(context):
    """Look at the answers to calls that harm no engine."""
    errors = [one.error for one in context.others if one.error is not None]
    found = [error for error in errors if error.code == "ends_endpoints"]
    assert not found, (len(found), len(context.others), found[0])
