"""Steps on the membership and its costs."""

from behave import then, when

from roadlift.daemon.leaving import Leaving
from roadlift.daemon.members import Members
from standins.hub import Delivery
from tests.support.deployment import Deployment


def _pick(context):
    context.victim = sorted(context.deployment.hub.kernels)[-1]
    return context.victim


def _list_others(context):
    return [n for n in context.deployment.hub.kernels if n != context.victim]


@when("one instance is killed")
def step_kill(context):
    """End one instance without a word."""
    context.deployment.hub.kill(_pick(context))


@when("one instance is paused")
def step_pause(context):
    """Stop one instance's time."""
    context.deployment.hub.pause(_pick(context))


@when("one instance is told to leave")
def step_leave(context):
    """Tell one instance to leave."""
    context.deployment.get(_pick(context), Leaving).leave()


@when("one instance is killed and started again at once")
def step_replace(context):
    """Replace a process by another of the same name and address."""
    hub, name = context.deployment.hub, _pick(context)
    context.earlier = context.deployment.get(name, Members).process
    hub.kill(name)
    hub.start(name, hub.zones[name])
    assert context.deployment.get(name, Members).process != context.earlier


@then("all others see it as {state} within {limit:g} s")
def step_see(context, state, limit):
    """Check how the others see the victim."""
    deployment = context.deployment
    deployment.hub.advance_until(
        lambda: all(
            deployment.see(name, context.victim) == state
            for name in _list_others(context)
        ),
        limit,
    )


@then("all others know the earlier process as gone within {limit:g} s")
def step_gone(context, limit):
    """Check that the replaced process is proven dead."""
    deployment = context.deployment
    deployment.hub.advance_until(
        lambda: all(
            deployment.get(name, Members).detector.is_gone(context.earlier)
            for name in _list_others(context)
        ),
        limit,
    )


@when("{seconds:g} s pass at rest")
def step_rest(context, seconds):
    """Move the clock with no call, and note the costs."""
    deployment = context.deployment
    # The news of the start have been told by then.
    deployment.hub.advance(100.0)
    before = _read_costs(deployment)
    deployment.hub.advance(seconds)
    after = _read_costs(deployment)
    context.seconds = seconds
    context.costs = {
        name: tuple(a - b for a, b in zip(after[name], before[name], strict=True))
        for name in after
    }


def _read_costs(deployment):
    costs = {}
    for name, kernel in deployment.hub.kernels.items():
        transport, store = (
            kernel._components["transport"],
            kernel._components["store"].store,
        )
        costs[name] = (transport.bytes_out, store.reads, store.writes)
    return costs


@then("no instance sent more than {most:g} bytes a second")
def step_bytes(context, most):
    """Check the bytes between instances."""
    worst = max(cost[0] for cost in context.costs.values()) / context.seconds
    assert 10 < worst <= most, worst


@then("no instance made more than {most:g} store reads a second")
def step_reads(context, most):
    """Check the reads of the busiest instance."""
    worst = max(cost[1] for cost in context.costs.values()) / context.seconds
    assert worst <= most, worst


@then("the store took at most {most:g} reads a second in all and no write")
def step_store(context, most):
    """Check the reads and writes of all instances."""
    reads = sum(cost[1] for cost in context.costs.values()) / context.seconds
    writes = sum(cost[2] for cost in context.costs.values())
    assert 0 < reads <= most, reads
    assert writes == 0, writes


@when("{count:d} instances start within a second")
def step_start_many(context, count):
    """Start instances that know only those before them as seeds."""
    context.deployment = Deployment(5, context.delivery)
    hub = context.deployment.hub
    for index in range(count):
        hub.start(f"entry-{index:02d}", "zone-a")
        hub.advance(1.0 / count)


@when("one instance forgets another")
def step_forget(context):
    """Take a member out of one instance's knowledge, as if never told."""
    names = sorted(context.deployment.hub.kernels)
    detector = context.deployment.get(names[0], Members).detector
    del detector._members[names[-1]]
    detector._print = None


@then("all instances know each other within {limit:g} s")
def step_known(context, limit):
    """Check that nobody is unknown to anybody, alive or suspected."""
    deployment = context.deployment
    names = list(deployment.hub.kernels)
    deployment.hub.advance_until(
        lambda: all(deployment.see(a, b) != "UNKNOWN" for a in names for b in names),
        limit,
    )


@when("the network is good again")
def step_good(context):
    """Let every message arrive."""
    context.deployment.hub.delivery = Delivery()
