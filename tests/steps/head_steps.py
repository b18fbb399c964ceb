"""Steps on heads of answers that stop short, and on probes of endpoints."""

from behave import given, then, when

from roadlift.relay.upstream import Request
from tests.steps.upstream_steps import ANSWERS, step_answer, step_endpoint
from tests.support.sockets import Endpoint

_STATUS = b"HTTP/1.1 200 OK\r\n"
_ID = b"X-Call: c1\r\n"
_INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
_OTHER = b"HTTP/1.1 200 OK\r\nX-Call: c0\r\nContent-Length: 0\r\n\r\n"
_STOPPED = {
    "in the status line": b"HTTP/1.1 20",
    "behind the status line": _STATUS,
    "in a header's name": _STATUS + _ID + b"Content-Le",
    "behind a header's name": _STATUS + _ID + b"Content-Length:",
    "in the length": _STATUS + _ID + b"Content-Length: 1",
    "behind a length of nothing": _STATUS + _ID + b"Content-Length: 0\r\n",
    "before the last line": _STATUS + _ID,
    "behind one CR": _STATUS + _ID + b"\r",
    "behind one CR with a length": _STATUS + _ID + b"Content-Length: 0\r\n\r",
    "behind an interim answer": _INTERIM + _STATUS + _ID,
    "behind an interim answer alone": _INTERIM,
    "behind another answer": _OTHER + _STATUS + _ID,
}
ANSWERS.update({f"a head that stops {where}": it for where, it in _STOPPED.items()})


@when('another call is made there, and the endpoint answers "{answer}" and closes')
def step_second(context, answer):
    """Call again on the connection that is kept, and answer short."""
    endpoint = context.endpoint
    count = len(endpoint.accepted)
    request = Request(
        "POST", "/run", {"X-Call": "c1"}, max_idle=2.0, echo=("x-call", "c1")
    )
    context.call, context.recorder = endpoint.open(request)
    assert len(endpoint.accepted) == count
    step_answer(context, answer, "at once", "closes")


@then('the other call fails as {code} having read ""')
def step_other_failed(context, code):
    """Check its failure."""
    context.execute_steps(f'then the call fails as {code} having read ""')


def _probe(context, address=None):
    request = Request("GET", "/", is_probe=True)
    context.call, context.recorder = context.endpoint.open(request, address)


@given("an endpoint and a probe of it")
def step_probe(context):
    """Connect, and send nothing."""
    step_endpoint(context)
    _probe(context)


@given("a probe of an endpoint that no longer listens")
def step_probe_gone(context):
    """Connect to an address at which no server listens."""
    gone = Endpoint()
    address = gone.address
    gone.close()
    step_endpoint(context)
    _probe(context, address)


@when("the endpoint {does} it")
def step_does(context, does):
    """End its side of the connection, write or wait."""
    endpoint = context.endpoint
    if does == "writes to":
        endpoint.reply(b"junk", False)
    elif does == "only holds":
        endpoint.driver.advance(6.0)
    else:
        endpoint.end("reset" if does == "resets" else "close")


@then("the probe fails as {code}")
def step_probe_failed(context, code):
    """Check how the probe failed."""
    assert context.recorder.error.code == code, context.recorder.error
