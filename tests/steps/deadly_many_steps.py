"""Steps on many random calls that crash engines at the same time."""

import random

from behave import given, then, when

from tests.support.configuration import BASE

_INTERVAL = (0.2, 0.8)  # Seconds until a deadly call is repeated.


def _call(context, target, adapter, body):
    names = sorted(context.entries.entries)
    headers = {
        "deadline-ms": "4000",
        "model": f"{BASE}/{adapter}",
        "token-count": "10,20",
        "prompt-prefix": "ab:10",
    }
    name = context.rng.choice(names)
    return context.entries.call(name, target, headers, body=body)


@given(
    "callers of {count:d} adapters, chosen at random with seed {seed:d}, {rate:g} calls"
    " a second"
)
def step_callers(context, count, seed, rate):
    """Send streams, all different, for the rest of the test."""
    context.rng = random.Random(seed)
    context.adapters = count
    context.others = []
    timeline = context.entries.installation.timeline

    def run(number):
        """Send one stream, and schedule the next."""
        adapter = f"x{context.rng.randrange(count)}"
        context.others.append(_call(context, f"/long/{number}", adapter, b"body"))
        delay = context.rng.expovariate(rate)
        timeline.call_later(delay, lambda: run(number + 1))

    run(0)
    context.entries.advance(3.0)


@when(
    "{count:d} deadly calls that begin within {period:g} seconds are repeated for"
    " {duration:g} seconds"
)
def step_deadly(context, count, period, duration):
    """Send them, and wait until the last is over."""
    context.others.clear()
    installation = context.entries.installation
    ends_at = installation.clock.now() + duration

    def repeat(which, body):
        """Send one call, and schedule its repetition."""
        if installation.clock.now() > ends_at:
            return
        _call(context, f"/long/deadly{which}", f"x{which % context.adapters}", body)
        delay = context.rng.uniform(*_INTERVAL)
        installation.timeline.call_later(delay, lambda: repeat(which, body))

    for which in range(count):
        body = f"deadly {which}".encode()
        installation.deadly.add(body)
        begin = lambda which=which, body=body: repeat(which, body)
        installation.timeline.call_later(context.rng.random() * period, begin)
    context.entries.advance(duration + 2.0)


@then("no other call was refused for crashes of engines")
def step_not_refused(context):
    """Check the answers to harmless calls."""
    errors = [call.error for call in context.others if call.error is not None]
    found = [error for error in errors if error.code == "ends_endpoints"]
    assert not found, (len(found), len(context.others), found[0])
