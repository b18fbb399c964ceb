"""Steps on calls that end the engines of the hub."""

import json

from behave import then, when

from roadlift.daemon.gateway import Gateway
from roadlift.http.messages import ReceivedRequest
from standins.hubcaller import HubCaller

_PROMPT = "deadly"


@when(
    "a deadly call is sent to each instance in turn, "
    "each {gap:g} seconds for {span:g} seconds"
)
def step_deadly(context, gap, span):
    """Send the same call again and again."""
    hub = context.deployment.hub
    for engine in hub.engines.values():
        engine.deadly.add(_PROMPT)
    names = sorted(hub.kernels)
    content = {"model": "m1@1", "prompt": _PROMPT, "max_tokens": 4}
    body = json.dumps(content).encode()
    for number in range(int(span / gap)):
        gateway = hub.kernels[names[number % len(names)]].get(Gateway)
        gateway.handle(
            ReceivedRequest("POST", "/v1/completions", {}, body), HubCaller()
        )
        hub.advance(gap)


@then("at most {most:d} runs of it began")
def step_runs(context, most):
    """Count the runs under which engines ended."""
    engines = context.deployment.hub.engines.values()
    found = sum(engine.deadly_runs for engine in engines)
    assert 0 < found <= most, found


@then("a call that harms no engine is served by each instance")
def step_others(context):
    """Send one to each, and wait for all."""
    deployment = context.deployment
    deployment.hub.advance(5.0)
    callers = [deployment.call(name, "m2@1") for name in sorted(deployment.hub.kernels)]
    deployment.settle()
    assert all(one.is_whole for one in callers), [one.error for one in callers]
