"""Steps on the running calls that owners know of."""

from behave import given, then, when

from roadlift.instance.owner import Owner
from standins.runners import EVENT_GAP
from tests.support.configuration import BASE


@given("engines generate for {seconds:g} seconds")
def step_generate(context, seconds):
    """Give each stream the number of events that takes this time."""
    for runner in context.entries.installation.runners.values():
        runner.events = int(seconds / EVENT_GAP)


@when("{count:d} adapters are each called at the instance of z1 that owns nothing")
def step_call(context, count):
    """Send a stream of each adapter, at once."""
    for index in range(count):
        headers = {
            "model": f"{BASE}/x{index}",
            "token-count": "10,20",
            "prompt-prefix": "ab:10",
        }
        context.entries.call(context.other, "/long/1", headers)


@when("messages between instances are lost for {seconds:d} seconds")
def step_lose(context, seconds):
    """Drop all messages between instances for a while."""
    context.entries.is_cut = True
    context.entries.advance(seconds)
    context.entries.is_cut = False


@then("owners count {count:d} running calls")
def step_count(context, count):
    """Add up the running calls that the owners count at their engines."""
    found = sum(
        engine.record.usage.count_running()
        for entry in context.entries.entries.values()
        for term in entry.kernel.get(Owner).list_terms()
        for engine in term.engines.values()
    )
    assert found == count, found
