"""Steps on endpoints that repeat answers late, and on requests sent again."""

from behave import then, when

from roadlift.relay.history import ChannelHistory
from roadlift.relay.upstream import Request
from tests.support.sockets import read_all

_HEAD = b"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n"
REFUSAL = _HEAD + b"X-Call: %b\r\nContent-Length: 0\r\n\r\n"
SUCCESS = b"HTTP/1.1 200 OK\r\nX-Call: %b\r\nContent-Length: 3\r\n\r\nabc"


def make_request(call_id: str, history: ChannelHistory | None = None) -> Request:
    """Return a request whose answer repeats its id."""
    return Request(
        "POST",
        "/run",
        {"X-Call": call_id},
        max_idle=2.0,
        echo=("x-call", call_id),
        history=history,
    )


def make_order() -> Request:
    """Return an order, which bears no id."""
    return Request("POST", "/order", max_idle=2.0, echo=("x-call", ""))


def find_receiver(endpoint):
    """Return the connection on which a request has come."""
    (found,) = (sock for sock in endpoint.accepted if read_all(sock)[0])
    return found


def reply(endpoint, sock, data: bytes) -> None:
    """Write an answer on a connection."""
    sock.send(data)
    endpoint.driver.settle()


@when("a request is rejected, and is sent again while its rejection is {repeated}")
def step_again(context, repeated):
    """Send a request twice, and repeat the answer to the first send."""
    endpoint, history = context.endpoint, ChannelHistory()
    refusal = REFUSAL % b"r1"
    endpoint.open(make_request("r1", history))
    first = find_receiver(endpoint)
    reply(endpoint, first, refusal * (2 if repeated == "repeated at once" else 1))
    _, context.recorder = endpoint.open(make_request("r1", history))
    second = find_receiver(endpoint)
    if repeated == "repeated late":
        reply(endpoint, first, refusal)
    reply(endpoint, second, SUCCESS % b"r1")


@then("the second send is answered 200 by its own run")
def step_own(context):
    """Check that the second send has its own answer."""
    recorder = context.recorder
    assert recorder.is_whole and recorder.status == 200, recorder.status


@when("{count:d} requests are each rejected {rejected:d} times")
def step_many(context, count, rejected):
    """Send requests one after the other, each until it is run."""
    endpoint = context.endpoint
    for number in range(count):
        history, call_id = ChannelHistory(), f"r{number}"
        answers = [REFUSAL] * rejected + [SUCCESS]
        for answer in answers:
            _, recorder = endpoint.open(make_request(call_id, history))
            reply(endpoint, find_receiver(endpoint), answer % call_id.encode())
            assert recorder.is_whole


@then("{count:d} connections were opened")
def step_opened(context, count):
    """Check how many connections the endpoint has accepted."""
    assert len(context.endpoint.accepted) == count, len(context.endpoint.accepted)


_FAILURES = {
    "without an id": _HEAD + b"Content-Length: 0\r\n\r\n",
    "with its id": REFUSAL % b"r1",
    "with another id": REFUSAL % b"r0",
}


@when("a request is sent on a connection that is {used}, and a failure {named} comes")
def step_failure(context, used, named):
    """Answer a request with a failure."""
    endpoint = context.endpoint
    if used == "used":
        endpoint.open(make_request("r0"))
        reply(endpoint, find_receiver(endpoint), SUCCESS % b"r0")
    _, context.recorder = endpoint.open(make_request("r1"))
    assert len(endpoint.accepted) == 1
    reply(endpoint, find_receiver(endpoint), _FAILURES[named])


@then("the request is answered {status:d}")
def step_answered(context, status):
    """Check that the answer was taken for its own."""
    assert context.recorder.is_whole and context.recorder.status == status


@then("the request fails as {code}")
def step_fails(context, code):
    """Check that the answer was taken for nobody's."""
    assert context.recorder.error is not None and not context.recorder.status
    assert context.recorder.error.code == code


@then("the request is still open")
def step_open(context):
    """Check that the answer was skipped."""
    assert context.recorder.error is None and not context.recorder.status


@when("the answer to a call is repeated as an order follows on its connection")
def step_order(context):
    """Repeat the answer to a call, and answer the order."""
    endpoint = context.endpoint
    endpoint.open(make_request("r0"))
    used = find_receiver(endpoint)
    reply(endpoint, used, SUCCESS % b"r0")
    _, context.recorder = endpoint.open(make_order())
    receiver = find_receiver(endpoint)
    reply(endpoint, used, SUCCESS % b"r0")
    reply(endpoint, receiver, b"HTTP/1.1 409 Busy\r\nContent-Length: 0\r\n\r\n")


@then("the order is answered {status:d} by its endpoint")
def step_order_answered(context, status):
    """Check that the order has its own answer."""
    assert context.recorder.is_whole and context.recorder.status == status
