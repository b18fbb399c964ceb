"""Steps on how the sends to an endpoint with a limit are given out."""

from behave import given, then, when

from benchmarks.limits import LIMITS, TROUBLES, WAYS, play
from roadlift.decisions.limits import GIVEN_PART, Claim, SendLedger


def _play(context, way, count, name):
    trouble = next(one for one in TROUBLES if one.name == name)
    context.outcomes = [play(WAYS[way], count, limit, trouble, 1) for limit in LIMITS]


@when("{count:d} instances have the sends given out: {trouble}")
def step_given_out(context, count, trouble):
    """Play the owner's way, with each limit."""
    _play(context, "given out", count, trouble)


@when("{count:d} instances share the limit by {way}: {trouble}")
def step_share(context, count, way, trouble):
    """Play another way, with each limit."""
    _play(context, way if way in WAYS else f"by {way}", count, trouble)


@then("no window has more than the bound")
def step_bound(context):
    """Look at the worst windows."""
    assert all(one.worst <= 1.0 for one in context.outcomes), context.outcomes


@then("a window has more than the bound")
def step_over_bound(context):
    """Look at the worst windows."""
    assert any(one.worst > 1.0 for one in context.outcomes), context.outcomes


def _measure_used(context):
    return sum(one.used for one in context.outcomes) / len(context.outcomes)


@then("at least {least:g} of the limit is let in")
def step_used(context, least):
    """Look at the mean of the limits."""
    assert _measure_used(context) >= least, context.outcomes


@then("less than {most:g} of the limit is let in")
def step_unused(context, most):
    """Look at the mean of the limits."""
    assert _measure_used(context) < most, context.outcomes


@given("an owner of an endpoint that takes {limit:g} calls a second")
def step_owner(context, limit):
    """Open a ledger."""
    context.ledger = SendLedger(1, 0.0)
    context.ledger.learn(Claim("a", limit, True, context.ledger.basis, 0), 0.0)


@when("an ask {case}")
def step_ask(context, case):
    """Ask five times at once, and count what may begin when."""
    patience = 0.4 if case.startswith("waits") else 0.0
    begins = set()
    for number in range(5):
        asker = f"a{number}" if "few" in case else "a"
        known = 0 if "under a number" in case else number
        grant = context.ledger.give(asker, known, patience, GIVEN_PART, 0.0)
        if grant.is_given:
            begins.add((asker, known))
    context.given_out = len(begins)


@then("it gives {count:d} sends out in all")
def step_count(context, count):
    """Compare."""
    assert context.given_out == count, context.given_out


@when(
    "an instance tells that {count:d} calls were sent before, ends the limit and names"
    " it again"
)
def step_spent(context, count):
    """Ask behind each telling, the second one 20 seconds later."""
    ledger = context.ledger
    context.delays = []
    for now in (0.0, 20.0):
        ledger.learn(Claim("b", 4.0, True, ledger.basis, count), now)
        context.delays.append(ledger.give("b", int(now), 0.0, GIVEN_PART, now).delay)
        ledger.learn(Claim("b", None, True, ledger.basis, count), now + 10.0)


@then("no send is free for {least:g} second both times")
def step_delays(context, least):
    """Look at the delays."""
    assert all(delay >= least for delay in context.delays), context.delays
