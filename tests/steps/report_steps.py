"""Steps on load reports of engines of the interface openai."""

from behave import given, then

from roadlift.core.errors import EndpointFailed
from roadlift.endpoints.openai import OpenAiEngine
from roadlift.relay.upstream import Answer

_REPORT = (
    b"process_start_time_seconds 1700000123.25\n"
    b"vllm:num_requests_running 12\n"
    b"vllm:num_requests_waiting 3\n"
)


def _read(body):
    return OpenAiEngine().read_load_report(Answer(200, {}, body))


@given("the load report of an engine")
def step_report(context):
    """Check that it reads whole."""
    context.load = _read(_REPORT)
    assert (context.load.running, context.load.waiting) == (12, 3)


@then("each beginning of it is refused, or tells of the same start")
def step_beginnings(context):
    """Read each of them."""
    found = {}
    for size in range(len(_REPORT)):
        try:
            load = _read(_REPORT[:size])
        except EndpointFailed:
            continue
        if load.incarnation != context.load.incarnation:
            found[size] = load.incarnation
    assert not found, found
