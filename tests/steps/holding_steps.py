"""Steps on what an ingress holds for callers, on raw sockets."""

import errno
import socket
import struct

from behave import given, then, when

from roadlift.core.errors import MemoryFull
from roadlift.decisions.yielding import LARGE_PART, HoldingLimits
from roadlift.http.holdings import Holdings
from roadlift.http.messages import HttpLimits
from tests.support.sockets import POLL, Driver, Ingress, read_all

MANY = 1000  # Connections, where these are not what a scenario is about.
PAUSE = 16.0  # Seconds behind which idle connections are closed.
_RESET = struct.pack("ii", 1, 0)


def _start(context, holdings: HoldingLimits, body_bytes: int) -> None:
    """Start an ingress with limits of what is held."""
    limits = HttpLimits(4096, body_bytes, 3.0, 15.0)
    driver = Driver()
    account = Holdings(driver.clock, holdings)
    context.ingress = Ingress(limits, driver, account)
    context.add_cleanup(context.ingress.close)
    context.sockets = []
    context.caller = context.ingress.connect()
    context.seen, context.is_closed = b"", False


@given("an ingress that may hold {total:d} bytes, for requests of {size:d}")
def step_account(context, total, size):
    """Start an ingress with an amount for callers."""
    _start(context, HoldingLimits(total, int(total * LARGE_PART), MANY), size)


@given("an ingress with {most:d} places for connections")
def step_places(context, most):
    """Start an ingress with few places."""
    _start(context, HoldingLimits(10**9, 10**9, most), 1000)


@given("it holds its answers")
def step_hold(context):
    """Let calls run on."""
    context.ingress.handler.is_holding = True


def _send(context, sent: int, total: int) -> None:
    sock = context.ingress.connect()
    head = f"POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: {total}\r\n\r\n"
    data = memoryview(head.encode() + b"x" * sent)
    while data:
        try:
            data = data[sock.send(data) :]
        except BlockingIOError:
            context.ingress.driver.loop.run_once(POLL)
        except OSError:
            break
    context.ingress.driver.settle()
    context.sockets.append(sock)


@when("{count:d} callers send {sent:d} of {total:d} bytes each")
def step_uploads(context, count, sent, total):
    """Send a part of a request, or a whole one, from some callers."""
    for _ in range(count):
        _send(context, sent, total)


@when("one more caller sends {sent:d} of {total:d} bytes")
def step_one_more(context, sent, total):
    """Send a part of a request."""
    _send(context, sent, total)


@when("a small request arrives")
def step_small(context):
    """Send a request without a body."""
    sock = context.ingress.connect()
    context.ingress.send(sock, b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n", False)
    context.sockets.append(sock)


@then("at most {most:d} bytes are held")
def step_most(context, most):
    """Check the account."""
    held = context.ingress.holdings.held
    assert 0 < held <= most, held


def _list_refused(context) -> list[bytes]:
    answers = [read_all(sock)[0] for sock in context.sockets]
    return [answer for answer in answers if answer]


@then("each caller that was refused was told 503 with a time to return")
def step_told(context):
    """Check the refusals, and keep them."""
    context.refused = _list_refused(context)
    assert context.refused
    for answer in context.refused:
        assert answer.startswith(b"HTTP/1.1 503 "), answer
        assert b"Retry-After: " in answer and b"memory_full" in answer, answer


@then("{count:d} callers were refused")
@then("{count:d} caller was refused")
def step_refused(context, count):
    """Check the number of refusals."""
    refused = getattr(context, "refused", None) or _list_refused(context)
    assert len(refused) == count, refused


@when("the connection ends: {end}")
def step_end(context, end):
    """End the connection in one of the ways."""
    ingress = context.ingress
    if end == "the caller resets":
        context.caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    if end in ("the caller closes", "the caller resets"):
        context.caller.close()
    elif end == "the idle timeout passes":
        ingress.driver.advance(PAUSE)
        ingress.driver.advance(PAUSE)
    elif end == "the process closes":
        ingress.server.close()
    else:
        _end_calls(ingress, end == "the call is answered")
        context.caller.close()
    ingress.driver.settle()


def _end_calls(ingress: Ingress, is_answered: bool) -> None:
    """Answer or refuse the calls that are held, until none is left."""
    handler = ingress.handler
    while handler.callers:
        received, caller = handler.received.pop(0), handler.callers.pop(0)
        if is_answered:
            handler.answer(received, caller)
        else:
            caller.answer_error(MemoryFull("a test"), {})
        ingress.driver.settle()


@then("bytes are held for the call")
def step_held(context):
    """Check that the running call is accounted for."""
    assert context.ingress.holdings.running > 0


@then("nothing is held for callers")
def step_nothing(context):
    """Check that everything was returned."""
    holdings = context.ingress.holdings
    assert (holdings.held, holdings.running) == (0, 0), vars(holdings)
    assert not context.ingress.server.connections


@when(
    "a body in chunks and {count:d} bytes of an unfinished {part} of its trailer arrive"
)
def step_trailer(context, count, part):
    """Send a trailer that does not end."""
    head = b"POST /t HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    name = b"" if part == "name" else b"x: "
    body = b"1\r\na\r\n0\r\n" + name + b"y" * count
    context.caller = context.ingress.connect()
    context.ingress.send(context.caller, head + body, False)


@then("the caller of the trailer finds it {state}")
def step_state(context, state):
    """Check what the caller was told."""
    data, is_closed = context.ingress.read(context.caller)
    if state == "open without an answer":
        assert (data, is_closed) == (b"", False), data
    else:
        assert data.startswith(b"HTTP/1.1 431 ") and is_closed, data


@when("{count:d} callers connect and are silent")
@when("{count:d} callers wait to be accepted")
def step_connect(context, count):
    """Open connections."""
    for _ in range(count):
        context.sockets.append(context.ingress.connect())
        context.ingress.driver.clock.advance(0.01)


@then("{count:d} connections are open, the newest ones")
def step_newest(context, count):
    """Check which connections were closed."""
    states = [read_all(sock)[1] for sock in context.sockets]
    assert len(context.ingress.server.connections) <= count
    assert not any(states[-count + 1 :]) and any(states[:-count]), states


@then("the ingress accepts one more caller, which is answered")
def step_accepts(context):
    """Send a request on a new connection."""
    sock = context.ingress.connect()
    context.ingress.send(sock, b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n", False)
    data, _ = read_all(sock)
    assert data.startswith(b"HTTP/1.1 200 "), data


class _Exhausted:
    """A listening socket that finds no descriptor."""

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self.is_exhausted = True
        self.attempts = 0

    def accept(self):
        """Fail, or accept."""
        self.attempts += 1
        if self.is_exhausted:
            raise OSError(errno.EMFILE, "Too many open files")
        return self._socket.accept()

    def __getattr__(self, name: str):
        return getattr(self._socket, name)


@given("an ingress whose accepting fails for want of descriptors")
def step_exhausted(context):
    """Start an ingress, and put the failing socket in place of its own."""
    _start(context, HoldingLimits(10**9, 10**9, MANY), 1000)
    context.caller.close()
    context.ingress.driver.settle()
    server = context.ingress.server
    context.listener = server._socket = _Exhausted(server._socket)


@when("the loop runs {count:d} times")
def step_run(context, count):
    """Poll without any time that passes."""
    for _ in range(count):
        context.ingress.driver.loop.run_once(0.0)


@then("at most {most:d} attempts to accept were made")
def step_attempts(context, most):
    """Check that the loop does not spin."""
    assert 0 < context.listener.attempts <= most, context.listener.attempts


@when("descriptors are free again")
def step_free(context):
    """Let accepting succeed."""
    context.listener.is_exhausted = False


@then("{count:d} connections were accepted")
def step_open(context, count):
    """Check that all were accepted."""
    assert len(context.ingress.server.connections) == count


@then("{count:d} calls are at work")
def step_at_work(context, count):
    """Check how many calls the handler was given."""
    assert len(context.ingress.handler.received) == count


class _LargeAnswers:
    """Answers in pieces, and notes when it hears that a caller has gone."""

    def __init__(self, size: int) -> None:
        self._size = size
        self._is_writing = False
        self.heard: list[bool] = []  # Whether it was writing then.

    def handle(self, received, caller) -> None:
        """Write the whole answer at once."""
        caller.on_gone = lambda: self.heard.append(self._is_writing)
        self._is_writing = True
        caller.write_head(200, {}, self._size)
        caller.write(bytes(self._size))
        self._is_writing = False


@given("its answers have {size:d} bytes, which callers don't read")
def step_large_answers(context, size):
    """Let another handler answer."""
    context.handler = _LargeAnswers(size)
    context.ingress.server._handler = context.handler


@then("calls whose answers were cut heard of it once each, behind their writing")
def step_heard(context):
    """Check when the calls heard of the cuts."""
    context.ingress.driver.settle()
    heard = context.handler.heard
    assert heard and len(heard) <= len(context.sockets), heard
    assert not any(heard), heard
