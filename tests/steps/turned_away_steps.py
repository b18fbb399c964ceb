"""Steps on instances whose requests the store rejects."""

from behave import given, then, when

from roadlift.instance.follower import Follower
from roadlift.instance.leases import Leases
from tests.support.configuration import ROUTES, SERVICES
from tests.support.entries import Entries

CHECK_INTERVAL = 0.05  # Seconds between checks of what instances know.


@given("{count:d} instances in z1 and one in z2, and plain endpoints in both")
def step_many(context, count):
    """Start them, and wait until they know the endpoints."""
    context.entries = Entries()
    context.add_cleanup(context.entries.close)
    context.entries.configure(ROUTES, SERVICES)
    for number in range(count):
        context.entries.start(f"a{number}", "z1")
    context.entries.start("c", "z2")
    for name, zone in (("p1", "z1"), ("p2", "z2")):
        context.entries.installation.add_runner("plain", name, zone, "")
    context.entries.advance(6.0)


@when("the store rejects {rejected}, and an endpoint drains {seconds:g} seconds later")
def step_reject(context, rejected, seconds):
    """Cut instances off from the store, and let an endpoint drain."""
    entries = context.entries.entries
    owners = {
        name for name, one in entries.items() if one.kernel.get(Leases).list_held()
    }
    assert owners, "no instance owns a zone"
    cut = owners if rejected == "all aggregators" else set(entries)
    installation = context.entries.installation
    installation.cut_from_store.update(entries[name].dialer for name in cut)
    context.entries.advance(seconds)
    before = installation.store.calls + sum(installation.store_calls.values())
    runner = installation.runners["p1"]
    installation.store.put("servers", "p1", runner.describe("draining"))
    context.others = {name for name in entries if name not in cut}
    context.late = {}
    context.began = installation.clock.now()
    while installation.clock.now() - context.began < 2.0:
        context.entries.advance(CHECK_INTERVAL)
    context.unaware = {name for name in context.others if not _knows(context, name)}
    calls = installation.store.calls + sum(installation.store_calls.values()) - before
    # Each is counted by the store and by its caller.
    context.rate = calls / 2 / 2.0


def _knows(context, name):
    directory = context.entries.entries[name].kernel.get(Follower).directory
    known = directory.get("p1")
    return known is None or known.is_draining


@then("each other instance knows of it within 2 seconds")
def step_known(context):
    """Check that no instance is unaware of it."""
    assert not context.unaware, (len(context.unaware), sorted(context.unaware)[:5])


@then("the store is called at most {calls:d} times a second")
def step_calls(context, calls):
    """Check the rate of the calls in the last seconds."""
    assert context.rate <= calls, context.rate
