"""Steps on whether calls are sent again."""

from behave import given, then, when

from roadlift.core.errors import (
    ConnectionLost,
    EndpointFailed,
    EndpointUnreachable,
    RefusedByEndpoint,
)
from roadlift.decisions.resending import Sends, find_obstacle
from roadlift.serving.calls import Kind
from roadlift.serving.routes import Route, Target

_ERRORS = {
    "a failure": EndpointFailed(),
    "a loss": ConnectionLost(),
    "a refusal": RefusedByEndpoint(),
    "no way": EndpointUnreachable(),
}


@given("a call of a route that is {kind} with {attempts:d} attempts")
def step_route(context, kind, attempts):
    """Make the route."""
    kinds = {"repeatable": Kind.IDEMPOTENT, "single": Kind.NOT_IDEMPOTENT}
    target = (Target("s", 1),)
    context.route = Route(
        "r", "h", "/", kinds[kind], target, 2.0, 0.5, attempts=attempts
    )


@given(
    "{count:d} sends, {unreached:d} unreached, {runs:d} runs, {left:g} s left, {answer}"
)
def step_sends(context, count, unreached, runs, left, answer):
    """Keep the outcome of its sends."""
    context.sends = Sends(count, unreached, runs, left, answer == "an answer")


@when("its last send ends with {error}, {slots} to spare and {budget}")
def step_end(context, error, slots, budget):
    """Decide."""
    context.reason = find_obstacle(
        _ERRORS[error],
        context.route,
        context.sends,
        lambda: slots == "slots",
        lambda: budget == "a budget",
    )


@then("the obstacle to sending it again is {reason}")
def step_reason(context, reason):
    """Compare the reason."""
    assert (context.reason or "nothing") == reason, context.reason
