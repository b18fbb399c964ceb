"""Steps on retries and on draining."""

from behave import given, then, when

from roadlift.core.clock import ManualClock
from roadlift.core.errors import list_errors
from roadlift.daemon.gateway import Gateway
from roadlift.daemon.leaving import Leaving
from roadlift.draining.drain import Drain
from roadlift.retries.rules import RetryBudget, may_retry


@then(
    "after {code} a request that is {kind} and of which the caller has {seen} may {may}"
)
def step_may(context, code, kind, seen, may):
    """Check one row of the rules."""
    (error,) = [kind for kind in list_errors() if kind.code == code]
    allowed = may_retry(error(), kind == "idempotent", seen == "a part")
    assert allowed == (may == "be repeated")


@given("a retry budget of {share:g} that saves {max_saved:g}")
def step_budget(context, share, max_saved):
    """Make a budget."""
    context.budget = RetryBudget(share, max_saved)


@when("{requests:d} requests each want {retries:d} retries")
def step_want(context, requests, retries):
    """Earn and spend retries."""
    context.granted = 0
    for _ in range(requests):
        context.budget.earn()
        context.granted += sum(context.budget.spend() for _ in range(retries))


@then("{granted:d} retries are granted")
def step_granted(context, granted):
    """Check the retries, to one for rounding."""
    assert abs(context.granted - granted) <= 1, context.granted


@given("a drain with a grace of {grace:g} s and a limit of {limit:g} s")
def step_drain(context, grace, limit):
    """Make a drain."""
    context.clock = ManualClock()
    context.drain = Drain(context.clock, grace, limit)


@when(
    "it has been draining for {age:g} s with {running:d} requests"
    " and {owned:d} endpoints"
)
def step_left(context, age, running, owned):
    """Check that it is serving, then compute its phase at an age."""
    assert context.drain.compute_phase(running, owned).name == "SERVING"
    context.drain.start()
    context.clock.advance(age)
    context.phase = context.drain.compute_phase(running, owned)


@then("its phase is {phase}")
def step_phase(context, phase):
    """Check the phase."""
    assert context.phase.name == phase, context.phase


@when("an instance with a call of {seconds:g} s is told to shut down")
def step_leave_with_call(context, seconds):
    """Drain an instance while one of its calls runs."""
    deployment, hub = context.deployment, context.deployment.hub
    engine = hub.get_engine("engine-a0")
    (owner,) = deployment.list_owners("engine-a0")
    context.victim = owner
    engine.run_time = seconds
    context.caller = deployment.call(owner, "m0@1")
    hub.advance_until(lambda: bool(engine.state.runs), 10.0)
    deployment.get(owner, Leaving).leave()


@then("a new call to it is refused as {code}")
def step_refused_call(context, code):
    """Check that no new work is taken."""
    late = context.deployment.call(context.victim, "m1@1")
    assert late.error is not None and late.error.code == code, late.error


@then("its call is answered")
def step_call_answered(context):
    """Check that the call in flight was not cut."""
    assert context.caller.is_whole, context.caller.error


@then("it has announced that it is gone")
def step_announced_gone(context):
    """Check that other instances know it, without a failure being detected."""
    deployment = context.deployment
    assert deployment.get(context.victim, Gateway).running == 0
    for name in deployment.hub.kernels:
        assert deployment.see(name, context.victim) == "GONE", name
