"""Steps on where calls go when an endpoint is removed."""

from behave import then, when

from roadlift.daemon.calls import Calls

GAP = 0.1  # Seconds between calls.
ENTRY = "entry-a0"


@when("a bundle without {endpoint} comes into force amid calls for {count:d} models")
def step_remove(context, endpoint, count):
    """Hold pins at all engines, and remove one of them."""
    deployment = context.deployment
    _call_in_pairs(deployment, count)
    deployment.settle()
    held = deployment.count_pins(ENTRY)
    assert held == count, held
    number = deployment.roll_without(endpoint)
    came = lambda: deployment.list_numbers()[ENTRY] == number
    deployment.hub.advance_until(came, 2.0)
    for _ in range(3):
        _call_in_pairs(deployment, count)
    deployment.settle()


def _call_in_pairs(deployment, count):
    """Call each model twice at once, as a pin for one call is not kept."""
    for number in range(count):
        deployment.call(ENTRY, f"m{number}@1")
        deployment.call(ENTRY, f"m{number}@1")
        deployment.hub.advance(GAP)


@then("each of these calls is served")
def step_served(context):
    """Look at all callers."""
    errors = [str(one.error) for one in context.deployment.callers if one.error]
    assert not errors, (len(errors), set(errors))


@then("the retry budget is whole")
def step_budget(context):
    """Spend what is left of it."""
    budget = context.deployment.get(ENTRY, Calls).budget
    left = 0
    while budget.spend():
        left += 1
    assert left == 20, left
