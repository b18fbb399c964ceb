"""Steps on calls with idempotency keys, on a paused clock."""

from behave import then, when

from roadlift.http.holdings import Callers

KEY = {"Idempotency-Key": "key-1"}
MODEL = "m3@1"


def _send(context, name):
    context.caller = context.deployment.call(name, MODEL, KEY)
    # Both calls have to be the same to the byte.
    context.deployment.callers.pop()
    return context.caller


def _get_engine(context):
    return context.deployment.hub.get_engine("engine-a0")


def _advance_until_running(context):
    engine = _get_engine(context)
    context.deployment.hub.advance_until(lambda: bool(engine.state.runs), 10.0)


@when("a call with a key loses its caller {moment}")
def step_lose(context, moment):
    """Send a call and take its caller away at a moment."""
    hub = context.deployment.hub
    caller = _send(context, "entry-a0")
    if moment == "amid the load":
        hub.advance(0.1)
    elif moment == "amid the run":
        _advance_until_running(context)
    elif moment == "after the answer":
        hub.advance_until(lambda: caller.is_whole, 10.0)
        return
    caller.on_gone()


@when("a call with a key meets {fault}")
def step_meet(context, fault):
    """Send a call and bring a fault about."""
    hub = context.deployment.hub
    faults = hub.platform.faults
    if fault == "a platform that is away":
        faults["outage"] = True
    elif fault == "a lost reply to its claim":
        faults["lose_replies"] = 1
    _send(context, "entry-a0")
    if "amid it" in fault or "answer's write" in fault:
        _advance_until_running(context)
    if fault == "a platform that goes away amid it":
        faults["outage"] = True
    elif fault == "an engine that restarts amid it":
        _get_engine(context).restart()
    elif fault == "an instance that is killed amid it":
        hub.kill("entry-a0")
    elif fault == "a lost reply to its answer's write":
        faults["lose_replies"] = 1
    hub.advance(3.0)
    faults["outage"] = False


@when("the call is sent again at another instance")
def step_again(context):
    """Send the same call at the other instance."""
    _send(context, "entry-a1")
    context.deployment.hub.advance(10.0)


def _count_runs(context):
    return _get_engine(context).state.count("run")


@then("it is answered and the engine ran it once")
def step_once(context):
    """Check the answer and the journal."""
    assert context.caller.is_whole, context.caller.error
    assert _count_runs(context) == 1, _get_engine(context).state.journal


@then("the engine ran it at most once and it is told {told}")
def step_at_most_once(context, told):
    """Check the journal and what the caller was told."""
    assert _count_runs(context) <= 1, _get_engine(context).state.journal
    found = "answered" if context.caller.is_whole else context.caller.error.code
    assert found == told, found


@when("a call without a key meets a restart amid its run and then no load ends")
def step_restart_then_nothing(context):
    """Let a first try run, and every later one find no endpoint."""
    context.caller = context.deployment.call("entry-a0", MODEL)
    _advance_until_running(context)
    engine = _get_engine(context)
    engine.state.faults["fail_loads"] = 10_000
    engine.restart()


@then("the engine ran it once and it is told {code}, {outcome}")
def step_not_unrun(context, code, outcome):
    """Check what the caller was told of a call whose first try ran."""
    assert _count_runs(context) == 1
    error = context.caller.error
    assert error is not None and not context.caller.is_whole
    assert (error.code, str(error.outcome)) == (code, outcome), error


@when("the call has had time to end")
def step_end(context):
    """Let the engine end its run."""
    context.deployment.hub.advance(10.0)


@then("bytes are held for callers at its instance: {verdict}")
def step_held(context, verdict):
    """Check the account of the instance that has the call."""
    held = context.deployment.hub.kernels["entry-a0"].get(Callers).held
    assert bool(held) == (verdict == "yes"), held
