"""Steps on the metrics of an instance of the interface routes."""

import logging
import socket

from behave import given, then, when

from roadlift.http.messages import ReceivedRequest
from roadlift.instance.leases import Leases
from roadlift.instance.metrics import InstanceMetrics
from tests.support.configuration import BASE


class _EventRecorder(logging.Handler):
    """Records the log events."""

    def __init__(self):
        super().__init__()
        self.events = []

    def emit(self, record):
        """Record the fields of an event."""
        self.events.append(record.fields)


@given("the log events are recorded")
def step_record(context):
    """Record the log events until the scenario's end."""
    logger = logging.getLogger("roadlift.events")
    level = logger.level
    context.recorder = _EventRecorder()
    logger.addHandler(context.recorder)
    logger.setLevel(logging.INFO)

    def restore():
        logger.removeHandler(context.recorder)
        logger.setLevel(level)

    context.add_cleanup(restore)


@when("{count:d} streams of an adapter are sent to a, and {seconds:d} seconds pass")
def step_streams(context, count, seconds):
    """Send streams of one adapter, one after the other."""
    headers = {"model": f"{BASE}/x", "token-count": "10,20", "prompt-prefix": "ab:10"}
    for _ in range(count):
        context.entries.call("a", "/stream/1", headers)
        context.entries.advance(seconds / count)


@then('one line of {event} has {field} "{value}"')
def step_logged(context, event, field, value):
    """Check the only line of an event."""
    (line,) = [line for line in context.recorder.events if line["event"] == event]
    assert line[field] == value, line


def _render(entry):
    return entry.kernel.get(InstanceMetrics).render().decode()


@then('the metrics of a contain "{sample}"')
def step_contain(context, sample):
    """Check a sample, whose value is given as an integer."""
    text = _render(context.entries.entries["a"])
    assert f"{sample}.0" in text.splitlines(), text


@then('the metrics of the instance of z1 that owns nothing have a sample of "{sample}"')
def step_have_sample(context, sample):
    """Check that something was counted."""
    entries = context.entries.entries
    (other,) = [
        entries[name]
        for name in ("a", "b")
        if not entries[name].kernel.get(Leases).list_held()
    ]
    text = _render(other)
    (line,) = [line for line in text.splitlines() if line.startswith(sample)]
    assert float(line.rpartition(" ")[2]) > 0, line


@then("the instances together hold {count:d} leases by their metrics")
def step_leases(context, count):
    """Add up the gauges."""
    held = 0.0
    for entry in context.entries.entries.values():
        for line in _render(entry).splitlines():
            if line.startswith("roadlift_held_leases "):
                held += float(line.split()[1])
    assert held == count, held


class _Caller:
    """Records the answer of a handler."""

    def __init__(self):
        self.status = 0

    def answer(self, status, headers, body):
        """Record the status, and check that there is a body."""
        assert body and headers["Content-Type"].startswith("text/plain")
        self.status = status


@when("{target} is requested at the metrics address")
def step_request_metrics(context, target):
    """Pass a request to the handler of the metrics."""
    context.caller = _Caller()
    metrics = context.entries.entries["a"].kernel.get(InstanceMetrics)
    metrics.handle(ReceivedRequest("GET", target, {}, b""), context.caller)


@then("the answer is {status:d}")
def step_status(context, status):
    """Check the status."""
    assert context.caller.status == status


@given("a socket that listens at an address")
def step_listen(context):
    """Listen on a free port."""
    context.listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(context.listener.close)


@when("an instance d starts whose metrics have that address")
def step_start_in_use(context):
    """Start an instance, and let it read the store."""
    host, port = context.listener.getsockname()
    context.entries.start("d", "z1", {"metrics": f"{host}:{port}"})
    context.entries.advance(1.0)
