"""Steps on the requests for adapters that several calls wait for."""

from behave import given, then, when

from roadlift.decisions.homes import Scope
from roadlift.decisions.placement import Requirements
from roadlift.instance.loadrequests import LoadRequests
from roadlift.instance.pendingloads import PendingLoad, Waiter
from roadlift.serving.calls import Model
from tests.support.configuration import BASE, ROUTES, SERVICES
from tests.support.entries import Entries

_HELD, _OTHER = Model(BASE, "x"), Model(BASE, "y")
_SCOPES = (Scope("llm"), Scope("llm", software=frozenset({"v1"})))
_LONG = 100.0  # Seconds for which the calls wait.


def _await(context, scope: Scope, model: Model) -> None:
    """Let a call wait at an engine that has denied the load."""
    now = context.entries.installation.clock.now()
    waiter = Waiter(
        scope,
        model,
        0,
        now + _LONG,
        now + _LONG,
        1.0,
        Requirements(10, "z1"),
        lambda: context.ready.append(scope),
        lambda endpoint: None,
        now + _LONG,
        lambda seconds: None,
    )
    pending = PendingLoad(now)
    pending.requested_at = now
    pending.waiters.append(waiter)
    pending.endpoint = "gone"
    pending.denied["gone"] = now
    context.requests._pending[scope, model] = pending


@given("an engine that holds an adapter, and calls of two scopes that wait for it")
def step_waiting(context):
    """Start an instance, and let the calls wait."""
    context.entries = entries = Entries()
    context.add_cleanup(entries.close)
    entries.configure(ROUTES, SERVICES)
    entry = entries.start("a", "z1")
    entries.installation.add_runner("llm", "e0", "z1", BASE).held[_HELD.adapter] = 1
    entries.advance(3.0)
    context.requests = entry.kernel.get(LoadRequests)
    context.ready = []
    for scope in _SCOPES:
        _await(context, scope, _HELD)


@given("a call that waits for another adapter")
def step_other(context):
    """Let it wait behind the others."""
    _await(context, _SCOPES[0], _OTHER)


@when("the requests are repeated")
def step_repeat(context):
    """Repeat them once."""
    context.requests._repeat_requests()


@then("the calls of both scopes may be sent, and the other one waits")
def step_ready(context):
    """Look at who was told."""
    assert context.ready == list(_SCOPES), context.ready
    assert list(context.requests._pending) == [(_SCOPES[0], _OTHER)]
