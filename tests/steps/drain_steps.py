"""Steps on callers whose instance drains while they send or read."""

from behave import given, then, when

from tests.support.configuration import ROUTES, SERVICES, describe_routes
from tests.support.rawcallers import (
    RawAnswer,
    RawCaller,
    make_chunked_upload,
    make_upload,
)

UPLOAD_SIZE = 20_000  # Bytes of a body.
PIECES = 20  # Pieces in which a request is sent.
FIRST_DRAIN = 1.0  # Seconds of uploads before the drain.
STAGGER = 0.13  # Seconds between the first requests of two callers, and of one.
SMALL_SIZE = 10  # Bytes of a body that is sent at once.
NOT_RUN = (408, 421, 429, 503)
_MAKERS = {"with a length": make_upload, "in chunks": make_chunked_upload}


def _begin_drain(context) -> None:
    """Drain a; end it when its process would."""
    entry = context.entries.entries["a"]
    clock = context.entries.installation.clock
    context.term_at = clock.now()
    context.ended_at = None

    def stop() -> None:
        """End the instance."""
        context.ended_at = clock.now()
        context.entries.end("a")

    entry.kernel.stop = stop
    entry.ingress.leave()


def _connect(context, rate: float | None = None) -> RawCaller:
    server = context.entries.entries["a"].ingress._server
    caller = RawCaller(context.entries.installation.timeline, server, rate)
    context.add_cleanup(caller.close)
    return caller


def _list_plain(context) -> list:
    runners = context.entries.installation.runners.values()
    return [runner for runner in runners if runner.service == "plain"]


@given("plain endpoints that run calls for {seconds:g} seconds")
def step_run_time(context, seconds):
    """Set how long calls run."""
    for runner in _list_plain(context):
        runner.run_time = seconds
        runner.slots = 32


@given("plain endpoints that answer with {size:d} bytes after {seconds:g} seconds")
def step_size(context, size, seconds):
    """Set how long answers are."""
    for runner in _list_plain(context):
        runner.padding = size
        runner.run_time = seconds


class Uploader:
    """A caller that uploads requests, one after the other."""

    def __init__(self, context, name: str, how: str) -> None:
        self._caller = _connect(context)
        self._timeline = context.entries.installation.timeline
        self._name = name
        self._make = _MAKERS[how]
        self.sent = 0
        self._caller.on_answer = self._go_on

    @property
    def answers(self) -> dict[str, int]:
        """Return the statuses by request."""
        answers = enumerate(self._caller.answers)
        return {f"{self._name}-{number}": one.status for number, one in answers}

    def send(self) -> None:
        """Begin the next upload."""
        call_id = f"{self._name}-{self.sent}"
        self.sent += 1
        self._caller.send(self._make(call_id, UPLOAD_SIZE), PIECES, 1.0)

    def _go_on(self, answer: RawAnswer) -> None:
        if not answer.is_last:
            self._timeline.call_later(STAGGER, self.send)


@when(
    "{count:d} callers of a upload requests {how}, one after the other, and it drains"
)
def step_uploads(context, count, how):
    """Upload, drain, and let a end."""
    timeline = context.entries.installation.timeline
    context.uploaders = [Uploader(context, f"u{n}", how) for n in range(count)]
    for number, uploader in enumerate(context.uploaders):
        timeline.call_later(number * STAGGER, uploader.send)
    context.entries.advance(FIRST_DRAIN)
    _begin_drain(context)
    context.entries.advance(9.0)


def _list_run(context) -> set[str]:
    return {run["request-id"] for one in _list_plain(context) for run in one.ran}


def _list_answers(context) -> dict[str, int]:
    answers: dict[str, int] = {}
    for uploader in context.uploaders:
        answers.update(uploader.answers)
    return answers


@then("each request that was run was answered")
def step_answered(context):
    """Compare the runs with the answers."""
    run = _list_run(context)
    assert len(run) > len(context.uploaders), run
    lost = run - set(_list_answers(context))
    assert not lost, lost


@then("no request was run and answered as not run")
def step_true(context):
    """Check that each rejection was true."""
    answers = _list_answers(context).items()
    rejected = {call_id for call_id, status in answers if status in NOT_RUN}
    assert not rejected & _list_run(context), rejected


@then("a ended within {seconds:g} seconds of its SIGTERM")
def step_ended_within(context, seconds):
    """Check how long the drain lasted."""
    assert context.ended_at is not None
    assert context.ended_at - context.term_at <= seconds


@then("a ended between {least:g} and {most:g} seconds after its SIGTERM")
def step_ended_between(context, least, most):
    """Check how long the drain lasted."""
    assert context.ended_at is not None, "it has not ended"
    lasted = context.ended_at - context.term_at
    assert least <= lasted <= most, lasted


def _linger(context):
    caller = _connect(context)
    caller.lingers = True
    caller.send(make_upload("c1", SMALL_SIZE))
    context.entries.installation.timeline.call_later(3.0, caller.close)
    return caller


def _be_idle(context):
    for runner in _list_plain(context):
        runner.run_time = 0.1
    caller = _connect(context)
    caller.send(make_upload("before", SMALL_SIZE))
    context.entries.advance(0.2)
    assert [one.status for one in caller.answers] == [200]
    caller.answers.clear()
    return caller


def _send_small(context):
    caller = _connect(context)
    caller.send(make_upload("c1", SMALL_SIZE))
    return caller


def _upload(seconds, make=make_upload):
    def begin(context):
        caller = _connect(context)
        caller.send(make("c1", UPLOAD_SIZE), int(PIECES * seconds), seconds)
        return caller

    return begin


def _send_head_first(context):
    caller = _connect(context)
    request = make_upload("c1", SMALL_SIZE)
    caller.send(request[:-SMALL_SIZE])
    later = lambda: caller.send(request[-SMALL_SIZE:])
    context.entries.installation.timeline.call_later(0.9, later)
    return caller


def _trickle(make, start: bytes):
    """Send all up to the end of ``start`` at once, then a byte a second."""

    def begin(context):
        caller = _connect(context)
        request = make("c1", UPLOAD_SIZE)
        size = request.index(start) + len(start)
        caller.send(request[:size])
        caller.send(request[size : size + 8], 8, 8.0)
        return caller

    return begin


def _stop_midway(context):
    caller = _connect(context)
    request = make_upload("c1", UPLOAD_SIZE)
    caller.send(request[: len(request) // 2], PIECES // 2, 0.5)
    return caller


def _read_slowly(context):
    caller = _connect(context, rate=400_000)
    caller.send(make_upload("c1", SMALL_SIZE))
    return caller


def _pipeline(context):
    caller = _connect(context)
    requests = [make_upload(f"c{number}", SMALL_SIZE) for number in range(3)]
    caller.send(b"".join(requests))
    return caller


def _pipeline_upload(context):
    caller = _connect(context)
    caller.send(make_upload("c1", UPLOAD_SIZE), PIECES, 2.0)
    again = lambda: caller.send(make_upload("c2", SMALL_SIZE))
    context.entries.installation.timeline.call_later(2.001, again)
    return caller


def _send_stream(fault):
    def begin(context):
        for runner in context.entries.installation.runners.values():
            runner.faults = [fault] * 20
        caller = _connect(context)
        head = b"Host: h.example\r\nRequest-Id: c1\r\nModel: base\r\n"
        counts = b"Token-Count: 10,20\r\nPrompt-Prefix: ab:10\r\n\r\n"
        caller.send(b"GET /long/1 HTTP/1.1\r\n" + head + counts)
        return caller

    return begin


def _upload_unanswered(context):
    for runner in _list_plain(context):
        runner.faults = ["mute"]
    return _upload(4.2)(context)


_CALLERS = {
    "uploads for 4.2 seconds what no endpoint answers": _upload_unanswered,
    "sends a stream that no engine answers": _send_stream("mute"),
    "sends a stream that stalls": _send_stream("stall"),
    "has an idle connection": _be_idle,
    "sends a request on a new connection": _send_small,
    "does not close behind its last answer": _linger,
    "uploads for 2 seconds": _upload(2.0),
    "uploads in chunks for 2 seconds": _upload(2.0, make_chunked_upload),
    "uploads for 6 seconds": _upload(6.0),
    "sends a byte a second of a body": _trickle(make_upload, b"\r\n\r\n"),
    "sends a byte a second of chunks": _trickle(make_chunked_upload, b"\r\n\r\n"),
    "sends a byte a second of a head": _trickle(make_upload, b"HTTP/1.1\r\n"),
    "stops in the middle of a body": _stop_midway,
    "sends a head and, a second later, its body": _send_head_first,
    "reads its answer at 400000 bytes a second": _read_slowly,
    "pipelines three requests": _pipeline,
    "pipelines an upload of 2 seconds and a request": _pipeline_upload,
}


@when("a drains, and {seconds:g} seconds later a caller {does}")
def step_caller(context, seconds, does):
    """Drain, begin a caller, and let a end."""
    _begin_drain(context)
    context.entries.advance(seconds)
    context.caller = _CALLERS[does](context)
    context.entries.advance(9.0 - seconds)


@then('the caller gets "{statuses}"')
def step_gets(context, statuses):
    """Check the answers, the last of which tells that the connection ends."""
    answers = context.caller.answers
    assert ", ".join(str(one.status) for one in answers) == statuses, answers
    assert answers[-1].is_last
    assert not context.caller.partial, len(context.caller.partial)
    assert not context.caller.is_open


@then("the caller's answer is cut, and doesn't look complete")
def step_gets_cut(context):
    """Check that an answer began, and that it does not look complete."""
    assert not context.caller.answers, context.caller.answers
    assert context.caller.partial.startswith(b"HTTP/1.1 200 ")
    assert b"\r\n0\r\n\r\n" not in context.caller.partial
    assert not context.caller.is_open


@then('the caller gets ""')
def step_gets_nothing(context):
    """Check that the connection was closed without an answer."""
    assert not context.caller.answers and not context.caller.partial
    assert not context.caller.is_open


def _configure(context, change):
    entries = context.entries
    routes = ROUTES
    if change == "without its route":
        routes = [one for one in ROUTES if one["pathPrefix"] != "/once/"]
    entries.configure(routes, SERVICES)
    if change == "with an idle timeout of 1 second":
        content = describe_routes(entries.version + 1, routes, SERVICES, 2)
        content["limits"]["idleTimeoutMs"] = 1000
        entries.version += 1
        entries.installation.store.put("op", "config", content)


@when(
    "a caller {does}, and {seconds:g} seconds later a configuration {change}"
    " comes into force"
)
def step_configured(context, does, seconds, change):
    """Change the configuration while a caller sends or reads."""
    context.caller = _CALLERS[does](context)
    context.entries.advance(seconds)
    _configure(context, change)
    context.entries.advance(6.0)


@then('the caller gets "{statuses}" on a connection that stays open')
def step_gets_open(context, statuses):
    """Check the answers, none of which tells that the connection ends."""
    answers = context.caller.answers
    assert ", ".join(str(one.status) for one in answers) == statuses, answers
    assert not any(one.is_last for one in answers)
    assert context.caller.is_open and not context.caller.partial
