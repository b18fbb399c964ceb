"""Steps on where calls go when their first place is lost."""

import json

from behave import then, when

from roadlift.daemon.calls import Calls
from roadlift.daemon.gateway import Gateway
from roadlift.http.messages import ReceivedRequest
from roadlift.retries.rules import INITIAL_SAVED
from standins.hubcaller import HubCaller

GAP = 0.1  # Seconds between calls.
SHARE = 0.1  # Retries that a request earns, as the settings have it.
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
    """Spend what is left of it: all that it had and has earned."""
    calls = context.deployment.get(ENTRY, Calls)
    earned = len(context.deployment.callers) * SHARE
    left = 0
    while calls.budget.spend():
        left += 1
    assert left == int(INITIAL_SAVED + earned), left


@when("a {kind} loses its connection behind its head at an engine that {can} resume")
def step_lose_head(context, kind, can):
    """Cut the first answer of each engine behind its head."""
    for engine in context.deployment.hub.engines.values():
        engine.can_resume = can == "can"
        engine.cuts = [0]
    content = {"model": "m3@1", "prompt": "p", "max_tokens": 4}
    content["stream"] = kind.startswith("stream")
    headers = {"idempotency-key": "key-1"} if kind.endswith("with a key") else {}
    body = json.dumps(content).encode()
    request = ReceivedRequest("POST", "/v1/completions", headers, body)
    context.caller = HubCaller()
    context.deployment.get(ENTRY, Gateway).handle(request, context.caller)


def _count(deployment, kind):
    engines = deployment.hub.engine_names
    return {name: deployment.hub.get_engine(name).state.count(kind) for name in engines}


@then("it is answered whole by the engine that its head names")
def step_answered(context):
    """Compare the head with the engines' journals."""
    caller = context.caller
    assert caller.is_whole, caller.error
    ended = _count(context.deployment, "end")
    assert sum(ended.values()) == 1, ended
    assert ended[caller.headers["X-Roadlift-Endpoint"]] == 1, caller.headers


@then("it ran once and its caller is told {code}, {outcome}")
def step_told(context, code, outcome):
    """Look into the engines' journals and at the error."""
    assert sum(_count(context.deployment, "run").values()) == 1
    error = context.caller.error
    assert not context.caller.is_whole and error is not None
    assert (error.code, str(error.outcome)) == (code, outcome), error


@when(
    "a load fails and the next one ends {late:g} s behind the time of the first of"
    " 2 calls"
)
def step_late_load(context, late):
    """Send one call, another one amid its wait, and let a load end between."""
    deployment = context.deployment
    hub, engine = deployment.hub, deployment.hub.get_engine("engine-a0")
    wait = hub.kernels[ENTRY].settings.queue_timeout
    engine.load_time = (wait + late) / 2
    engine.state.faults["fail_loads"] = 1
    first = deployment.call(ENTRY, "m3@1")
    hub.advance(wait * 0.6)
    context.caller = deployment.call(ENTRY, "m3@1")
    hub.advance_until(lambda: first.error is not None, wait)
    assert not engine.state.copies
    hub.advance_until(lambda: bool(engine.state.copies), 2 * late)


@then("the second call is served within {limit:g} s of the load")
def step_served_soon(context, limit):
    """Wait for its answer."""
    context.deployment.hub.advance(limit)
    assert context.caller.is_whole, context.caller.error


@when("6 calls of models held at both engines come as one answers {status:d}")
def step_refuse(context, status):
    """Hold pins at all engines, and let the first one run nothing."""
    deployment = context.deployment
    hub = deployment.hub
    _call_in_pairs(deployment, 6)
    deployment.settle()
    hub.get_engine(sorted(hub.engine_names)[0]).full_status = status
    context.calls = []
    for number in range(6):
        context.calls.append(deployment.call(ENTRY, f"m{number}@1"))
        hub.advance(0.5)
    deployment.settle()


@then("{count:d} of these calls are served")
def step_count_served(context, count):
    """Count the whole answers."""
    errors = [str(call.error) for call in context.calls if call.error]
    assert sum(call.is_whole for call in context.calls) == count, errors


@then("no engine got more than {most:d} of them in vain")
def step_in_vain(context, most):
    """Count the runs that engines refused."""
    hub = context.deployment.hub
    refused = [len(engine.turned_away) for engine in hub.engines.values()]
    assert 0 < max(refused) <= most, refused
