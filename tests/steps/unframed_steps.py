"""Steps on streams that have neither a length nor chunks."""

from behave import given, then, when

from standins.framings import Unframed
from standins.runners import Pause
from tests.support.configuration import BASE, SERVICES, make_route
from tests.support.entries import Entries

_TIMES = {"timeoutMs": 10000, "goalMs": 1000, "gapGoalMs": 500}
_ROUTES = [
    make_route("/again/", "streaming", "llm", resumable=True, **_TIMES),
    make_route("/once/", "streaming", "llm", **_TIMES),
]
_EVENTS = 6
_HEADERS = {
    "model": f"{BASE}/x",
    "token-count": "10,20",
    "prompt-prefix": "ab:10",
    "deadline-ms": "10000",
}
_DURATION = 6.0  # Seconds in which a stream ends.
_DEADLY = b"deadly"


def _list_runners(context):
    return list(context.entries.installation.runners.values())


@given(
    "{count:d} engines that hold an adapter, whose streams have neither a length nor"
    " chunks"
)
def step_engines(context, count):
    """Start them and an instance, and wait until it knows the adapters."""
    context.entries = entries = Entries()
    context.add_cleanup(entries.close)
    entries.configure(_ROUTES, SERVICES)
    entries.start("a", "z1")
    for index in range(count):
        runner = entries.installation.add_runner("llm", f"e{index}", "z1", BASE)
        runner.events = _EVENTS
        runner.held["x"] = 1
        runner.is_unframed = True
    entries.advance(3.0)


def _send(context, target, faults):
    """Send a stream; the first engine that runs it has the first fault."""
    entries = context.entries
    caller = context.caller = entries.call("a", f"{target}1", _HEADERS)
    for runner in _list_runners(context):
        runner.faults = faults[:1]
    _await_run(context)
    for runner in _list_runners(context):
        runner.faults = faults[1:]
    entries.advance(_DURATION)
    return caller


def _await_run(context):
    """Wait until an engine runs the stream."""
    for _ in range(100):
        if any(runner.ran for runner in _list_runners(context)):
            return
        context.entries.advance(0.01)
    raise AssertionError("no engine runs the stream")


@when('a stream is sent to "{target}", and its engine ends it')
def step_end(context, target):
    """Let the stream end whole."""
    _send(context, target, [Unframed()])


@when(
    'a stream is sent to "{target}", and its engine {ends} behind {size:d} bytes of it'
)
def step_break_off(context, target, ends, size):
    """Let the connection end there, in order or by a reset."""
    _send(context, target, [Unframed(size, ends == "resets")])


@when("a stream's engine pauses, and all others close behind {size:d} bytes of it")
def step_second(context, size):
    """Let each second send end inside an event."""
    _send(context, "/again/", [Pause(1.5)] + [Unframed(size)] * 20)


@when("a stream's engine pauses, and then closes inside an event")
def step_kept(context):
    """Let the kept send end behind a part of its second event."""
    entries = context.entries
    for runner in _list_runners(context):
        runner.faults = [Unframed(20)]
    context.caller = entries.call("a", "/again/1", _HEADERS)
    _await_run(context)
    entries.advance(0.03)
    for runner in _list_runners(context):
        runner.faults = []
        runner.queue_time = 1.2
        runner.pause(0.9)
    entries.advance(_DURATION)


@when("{count:d} streams are sent, and engines close behind {size:d} bytes of each")
def step_repeated(context, count, size):
    """Let one answer after the other end there."""
    for runner in _list_runners(context):
        runner.faults = [Unframed(size)] * count
    for _ in range(count):
        context.entries.call("a", "/once/1", _HEADERS)
        context.entries.advance(0.2)


@when('a deadly stream is sent to "{target}" {count:d} times in {seconds:g} seconds')
def step_deadly(context, target, count, seconds):
    """Send the same stream again and again."""
    entries = context.entries
    entries.installation.deadly.add(_DEADLY)
    for _ in range(count):
        entries.call("a", f"{target}1", _HEADERS, body=_DEADLY)
        entries.advance(seconds / count)


@then("its caller gets {count:d} events, and a complete answer")
def step_complete(context, count):
    """Check the events, and that the answer is framed as complete."""
    assert context.caller.body == _make_events(count), context.caller.body
    assert context.caller.is_whole


@then("its caller gets {count:d} events, and no complete answer")
def step_cut(context, count):
    """Check the events, and that the answer is cut, or an error."""
    assert context.caller.body == _make_events(count), context.caller.body
    assert not context.caller.is_whole
    assert context.caller.is_cut or context.caller.error is not None


def _make_events(count):
    return b"".join(b"id: %d\ndata: t%d\n\n" % (one, one) for one in range(count))


@then("an engine is ejected")
def step_ejected(context):
    """Look for the log event."""
    names = [one["event"] for one in context.recorder.events]
    assert "endpoint_ejected" in names, names


@then("the end of the call names its framing and {count:d} bytes of an event")
def step_logged(context, count):
    """Check the line of the call."""
    events = context.recorder.events
    (line,) = [one for one in events if one["event"] == "call_ended"]
    assert line["framing"] == "close", line
    assert line["partial"] == count, line


@then("it crashed {most:d} engines at most")
def step_crashes(context, most):
    """Count the runs under which engines ended."""
    runs = context.entries.installation.deadly_runs[_DEADLY]
    assert 0 < len(runs) <= most, runs
