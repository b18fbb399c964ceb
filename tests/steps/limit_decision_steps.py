"""Steps on how the sends to a rate-limited endpoint are granted."""

from behave import given, then, when

from benchmarks.limits import LIMITS, TROUBLES, WAYS, play
from roadlift.decisions.limits import LEASED_FRACTION, Claim, SendLedger


def _play(context, way, count, name):
    trouble = next(one for one in TROUBLES if one.name == name)
    context.outcomes = [play(WAYS[way], count, limit, trouble, 1) for limit in LIMITS]


@when("{count:d} instances let the owner grant each send: {trouble}")
def step_owner_grants(context, count, trouble):
    """Simulate grants by the owner, with each limit."""
    _play(context, "given out", count, trouble)


@when("{count:d} instances share the limit by {way}: {trouble}")
def step_share(context, count, way, trouble):
    """Simulate another way of sharing, with each limit."""
    _play(context, way if way in WAYS else f"by {way}", count, trouble)


@then("no window has more than the bound")
def step_bound(context):
    """Check the windows with the most sends."""
    assert all(one.worst <= 1.0 for one in context.outcomes), context.outcomes


@then("a window has more than the bound")
def step_over_bound(context):
    """Check the windows with the most sends."""
    assert any(one.worst > 1.0 for one in context.outcomes), context.outcomes


def _measure_used(context):
    return sum(one.used for one in context.outcomes) / len(context.outcomes)


@then("at least {minimum:g} of the limit is admitted")
def step_used(context, minimum):
    """Check the mean over the limits."""
    assert _measure_used(context) >= minimum, context.outcomes


@then("less than {maximum:g} of the limit is admitted")
def step_unused(context, maximum):
    """Check the mean over the limits."""
    assert _measure_used(context) < maximum, context.outcomes


@given("an owner of an endpoint that accepts {limit:g} calls a second")
def step_owner(context, limit):
    """Open a ledger."""
    context.ledger = SendLedger(1, 0.0)
    context.ledger.apply_claim(Claim("a", limit, True, context.ledger.basis, 0), 0.0)


@when("a send request {case}")
def step_request(context, case):
    """Request five sends at once, and count the distinct grants."""
    max_wait = 0.4 if case.startswith("waits") else 0.0
    begins = set()
    for number in range(5):
        requester = f"a{number}" if "several" in case else "a"
        sequence = 0 if "under one number" in case else number
        grant = context.ledger.grant(
            requester, sequence, max_wait, LEASED_FRACTION, 0.0
        )
        if grant.is_given:
            begins.add((requester, sequence))
    context.granted = len(begins)


@then("it grants {count:d} sends in all")
def step_count(context, count):
    """Compare."""
    assert context.granted == count, context.granted


@when(
    "an instance reports {count:d} earlier sends, ends the limit and announces it again"
)
def step_spent(context, count):
    """Request a send after each report, the second time 20 seconds later."""
    ledger = context.ledger
    context.delays = []
    for now in (0.0, 20.0):
        ledger.apply_claim(Claim("b", 4.0, True, ledger.basis, count), now)
        context.delays.append(
            ledger.grant("b", int(now), 0.0, LEASED_FRACTION, now).delay
        )
        ledger.apply_claim(Claim("b", None, True, ledger.basis, count), now + 10.0)


@then("no send is available for {minimum:g} second both times")
def step_delays(context, minimum):
    """Check the delays."""
    assert all(delay >= minimum for delay in context.delays), context.delays
