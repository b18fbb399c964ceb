"""Steps for the membership and the costs of its heartbeats."""

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
    """Kill one instance without an announcement."""
    context.deployment.hub.kill(_pick(context))


@when("one instance is paused")
def step_pause(context):
    """Pause one instance, so that it runs nothing and answers nothing."""
    context.deployment.hub.pause(_pick(context))


@when("one instance begins to drain")
def step_leave(context):
    """Start draining one instance."""
    context.deployment.get(_pick(context), Leaving).leave()


@when("one instance is killed and started again at once")
def step_replace(context):
    """Replace a process by another with the same name and address."""
    hub, name = context.deployment.hub, _pick(context)
    context.earlier = context.deployment.get(name, Members).process
    hub.kill(name)
    hub.start(name, hub.zones[name])
    assert context.deployment.get(name, Members).process != context.earlier


@then("all others see it as {state} within {limit:g} s")
def step_see(context, state, limit):
    """Check the state of the affected instance at the others."""
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


@when("{seconds:g} s pass without calls")
def step_rest(context, seconds):
    """Advance the clock with no call, and record the costs."""
    deployment = context.deployment
    # By then the updates of the start have been propagated.
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
    highest = max(cost[0] for cost in context.costs.values()) / context.seconds
    assert 10 < highest <= most, highest


@then("no instance made more than {most:g} store reads a second")
def step_reads(context, most):
    """Check the reads of the busiest instance."""
    highest = max(cost[1] for cost in context.costs.values()) / context.seconds
    assert highest <= most, highest


@then("the store took at most {most:g} reads a second in all and no write")
def step_store(context, most):
    """Check the reads and writes of all instances."""
    reads = sum(cost[1] for cost in context.costs.values()) / context.seconds
    writes = sum(cost[2] for cost in context.costs.values())
    assert 0 < reads <= most, reads
    assert writes == 0, writes


@when("{count:d} instances start within a second")
def step_start_many(context, count):
    """Start instances with only those started before them as seeds."""
    context.deployment = Deployment(5, context.delivery)
    hub = context.deployment.hub
    for index in range(count):
        hub.start(f"entry-{index:02d}", "zone-a")
        hub.advance(1.0 / count)


@when("one instance loses its record of another")
def step_forget(context):
    """Remove a member at one instance, as if its updates were lost."""
    names = sorted(context.deployment.hub.kernels)
    detector = context.deployment.get(names[0], Members).detector
    del detector._members[names[-1]]
    detector._fingerprint = None


@then("all instances know each other within {limit:g} s")
def step_known(context, limit):
    """Check that each instance knows each other one, in any state."""
    deployment = context.deployment
    names = list(deployment.hub.kernels)
    deployment.hub.advance_until(
        lambda: all(deployment.see(a, b) != "UNKNOWN" for a in names for b in names),
        limit,
    )


@when("the network is reliable again")
def step_good(context):
    """Deliver every message."""
    context.deployment.hub.delivery = Delivery()
