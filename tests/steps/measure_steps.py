"""Steps on the metrics of an instance of the interface routes."""

import logging
import socket

from behave import given, then, when

from roadlift.http.messages import Received
from roadlift.instance.leases import Leases
from roadlift.instance.measures import Measures
from tests.support.configuration import BASE


class _EventKeeper(logging.Handler):
    """Keeps the events that are logged."""

    def __init__(self):
        super().__init__()
        self.events = []

    def emit(self, record):
        """Keep the fields of an event."""
        self.events.append(record.fields)


@given("the events are kept")
def step_keep(context):
    """Keep the events that are logged until the scenario's end."""
    logger = logging.getLogger("roadlift.events")
    level = logger.level
    context.keeper = _EventKeeper()
    logger.addHandler(context.keeper)
    logger.setLevel(logging.INFO)

    def restore():
        logger.removeHandler(context.keeper)
        logger.setLevel(level)

    context.add_cleanup(restore)


@when("{count:d} streams of an adapter are sent to a, and {seconds:d} seconds pass")
def step_streams(context, count, seconds):
    """Send streams of one adapter, one behind the other."""
    headers = {"model": f"{BASE}/x", "token-count": "10,20", "prompt-prefix": "ab:10"}
    for _ in range(count):
        context.entries.call("a", "/stream/1", headers)
        context.entries.advance(seconds / count)


@then('one line of {event} has {field} "{value}"')
def step_logged(context, event, field, value):
    """Check the only line of an event."""
    (line,) = [one for one in context.keeper.events if one["event"] == event]
    assert line[field] == value, line


def _render(entry):
    return entry.kernel.get(Measures).render().decode()


@then('the metrics of a hold "{sample}"')
def step_hold(context, sample):
    """Check a sample; its value is written as a whole number here."""
    text = _render(context.entries.entries["a"])
    assert f"{sample}.0" in text.splitlines(), text


@then('the metrics of the instance of z1 that owns nothing have a sample of "{name}"')
def step_have(context, name):
    """Check that something was counted."""
    entries = context.entries.entries
    (other,) = [
        entries[one]
        for one in ("a", "b")
        if not entries[one].kernel.get(Leases).list_held()
    ]
    text = _render(other)
    (line,) = [one for one in text.splitlines() if one.startswith(name)]
    assert float(line.rpartition(" ")[2]) > 0, line


@then("the instances together hold {count:d} leases by their metrics")
def step_leases(context, count):
    """Add the gauges up."""
    held = 0.0
    for entry in context.entries.entries.values():
        for line in _render(entry).splitlines():
            if line.startswith("roadlift_held_leases "):
                held += float(line.split()[1])
    assert held == count, held


class _Answered:
    """Keeps the answer that a handler gives."""

    def __init__(self):
        self.status = 0

    def answer(self, status, headers, body):
        """Keep the status; a body is always there."""
        assert body and headers["Content-Type"].startswith("text/plain")
        self.status = status


@when("{target} is asked for at the metrics address")
def step_ask_metrics(context, target):
    """Hand a request to what serves the metrics."""
    context.answered = _Answered()
    measures = context.entries.entries["a"].kernel.get(Measures)
    measures.handle(Received("GET", target, {}, b""), context.answered)


@then("the answer is {status:d}")
def step_status(context, status):
    """Check the status."""
    assert context.answered.status == status


@given("a socket that listens at an address")
def step_listen(context):
    """Take a port of this machine."""
    context.taken = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(context.taken.close)


@when("an instance d starts whose metrics have that address")
def step_start_taken(context):
    """Start an instance, and let it read the store."""
    host, port = context.taken.getsockname()
    context.entries.start("d", "z1", {"metrics": f"{host}:{port}"})
    context.entries.advance(1.0)
