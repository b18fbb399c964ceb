"""Steps on how control grows."""

from unittest.mock import patch

from behave import then, when

from benchmarks.capacity.control import read_bytes, read_messages, read_store, start
from roadlift.daemon.bundles import Bundles
from roadlift.daemon.owners import Owners
from roadlift.membership.detector import Detector
from roadlift.membership.members import State

REST = 20.0


def _measure(count):
    deployment = start(count)
    before, store = read_bytes(deployment), read_store(deployment)
    deployment.hub.advance(REST)
    after = read_store(deployment)
    sent = (read_bytes(deployment) - before) / REST / count
    return sent, after[0] - store[0], after[1] - store[1]


@when("deployments of {few:d} and {many:d} instances are at rest")
def step_rest(context, few, many):
    """Measure two sizes."""
    context.few, context.many = _measure(few), _measure(many)


@then("an instance of the larger one sends at most {most:g} times the bytes")
def step_bytes(context, most):
    """Compare what an instance sends."""
    assert 0 < context.many[0] <= most * context.few[0], (context.few, context.many)


@then("the store is read as often in both")
def step_reads(context):
    """Compare the store calls of all."""
    assert context.few[1:] == context.many[1:], (context.few, context.many)


def _ping_everyone(detector):
    now = detector._clock.now()
    if now < detector._next_probe_at:
        return []
    detector._next_probe_at = now + 1.0
    others = [
        m for m in detector.list_members(State.ALIVE) if m != detector.local_member
    ]
    return [detector._ping(member, now) for member in others]


@when(
    "deployments of {few:d} and {many:d} instances are at rest with a mesh of"
    " heartbeats"
)
def step_mesh(context, few, many):
    """Measure with the mechanism that the design avoids."""
    with patch.object(Detector, "tick", _ping_everyone):
        context.few, context.many = _measure(few), _measure(many)


@then("an instance of the larger one sends more than {least:g} times the bytes")
def step_grown(context, least):
    """Check that the bound would fail."""
    assert context.many[0] > least * context.few[0], (context.few, context.many)


@when("{count:d} requests are sent through 6 instances")
def step_requests(context, count):
    """Send requests for different models."""
    deployment = start(6, engines=2)
    rest_before = read_bytes(deployment)
    deployment.hub.advance(REST)
    rest = (read_bytes(deployment) - rest_before) / REST
    before, store = read_bytes(deployment), read_store(deployment)
    began = deployment.hub.clock.now()
    names = sorted(deployment.hub.kernels)
    for index in range(count):
        deployment.call(names[index % 6], f"m{index * 7 % 20}@1")
        deployment.hub.advance(0.25)
    deployment.hub.advance(20.0)
    seconds = deployment.hub.clock.now() - began
    used = read_bytes(deployment) - before - rest * seconds
    after = read_store(deployment)
    context.request_bytes = used / count
    context.request_calls = (
        after[0] - store[0] - 6.0 * seconds,
        after[1] - store[1],
    )
    assert all(c.is_whole for c in deployment.callers)


@then("a request costs at most {most:d} bytes between instances and no store call")
def step_request_cost(context, most):
    """Check bytes and store calls."""
    assert 0 < context.request_bytes <= most, context.request_bytes
    reads, writes = context.request_calls
    # A reader's period may fall in or out of the measured time, once each.
    assert reads <= 6 and writes == 0, context.request_calls


@when("{count:d} requests for one model come at once at one instance")
def step_one_model(context, count):
    """Send many requests for one model, at an instance that owns nothing."""
    deployment = start(6)
    (owner,) = deployment.list_owners("engine-a0")
    name = next(n for n in sorted(deployment.hub.kernels) if n != owner)
    deployment.hub.get_engine("engine-a0").state.slots = 4
    before = read_messages(deployment)
    began = deployment.hub.clock.now()
    for _ in range(count):
        deployment.call(name, "m1@1")
    deployment.settle()
    seconds = deployment.hub.clock.now() - began
    rest = 2.0 * 6 * seconds
    context.messages = read_messages(deployment) - before - rest
    assert all(c.is_whole for c in deployment.callers)


@then("they cost at most {most:d} messages between instances")
def step_messages(context, most):
    """Check the messages beyond those at rest."""
    assert context.messages <= most, context.messages


@when("an owner of 6 instances is killed")
def step_kill_owner(context):
    """Kill the instance that owns most, and let others take over."""
    deployment = start(6, engines=3)
    count = lambda name: len(deployment.get(name, Owners).list_owned())
    victim = max(sorted(deployment.hub.kernels), key=count)
    context.owned = count(victim)
    rest = read_bytes(deployment)
    deployment.hub.advance(30.0)
    rest = read_bytes(deployment) - rest
    store, before = read_store(deployment), read_bytes(deployment)
    reads_of_victim = deployment.hub.kernels[victim]._components["store"].store.reads
    deployment.hub.kill(victim)
    deployment.hub.advance(30.0)
    after = read_store(deployment)
    context.takeover_bytes = read_bytes(deployment) - before - rest * 5 / 6
    context.store_calls = (after[0] - store[0] + reads_of_victim, after[1] - store[1])
    for endpoint in deployment.hub.engine_names:
        assert len(deployment.list_owners(endpoint)) == 1, endpoint


@then("its takeovers cost no store call and at most {most:d} bytes each")
def step_takeover(context, most):
    """Check bytes and store calls; the readers go on reading."""
    assert context.owned >= 1
    assert context.takeover_bytes <= most * context.owned, context.takeover_bytes
    assert context.store_calls[0] <= 6 * 30 + 6, context.store_calls
    assert context.store_calls[1] == 0


@when("{count:d} bundles with one more adapter each are rolled")
def step_roll_adapters(context, count):
    """Roll bundles that leave the endpoints as they are."""
    deployment = context.deployment = start(6)
    for index in range(count):
        deployment.extra[f"x{index}"] = {"versions": {"1": "x/1"}, "services": ["s"]}
        number = deployment.roll()
        deployment.hub.advance_until(
            lambda n=number: min(deployment.list_numbers().values()) >= n, 30.0
        )
        for name in sorted(deployment.hub.kernels):
            deployment.call(name, "m1@1")
        deployment.settle()


@then("no instance built its directory more than once")
def step_builds(context):
    """Check the builds: one for no bundle, one for the first."""
    for name in context.deployment.hub.kernels:
        part = context.deployment.get(name, Bundles)
        assert part._directories.builds <= 2, (name, part._directories.builds)
