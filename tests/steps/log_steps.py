"""Steps for logs."""

import json
import logging as standard
import os
import signal

from absl import logging
from behave import given, then, when

from roadlift.core import logs


class _Unformattable:
    def __str__(self) -> str:
        raise ValueError("no text")

    __repr__ = __str__


@given("logs into a pipe")
def step_pipe(context):
    """Redirect the logs of this process into a pipe until the cleanup."""
    root = standard.getLogger()
    handlers, verbosity = list(root.handlers), logging.get_verbosity()
    context.reader, context.writer = os.pipe()
    os.set_blocking(context.reader, False)
    context.buffer = logs.use_json("i-1", context.writer)
    context.log = logs.ComponentLog("part")
    previous = signal.signal(signal.SIGPIPE, signal.SIG_IGN)

    def restore():
        root.handlers[:] = handlers
        logging.set_verbosity(verbosity)
        standard.getLogger("roadlift.events").setLevel(standard.WARNING)
        signal.signal(signal.SIGPIPE, previous)
        for fileno in (context.reader, context.writer):
            try:
                os.close(fileno)
            except OSError:
                # The scenario closed it already.
                pass

    context.add_cleanup(restore)


def _read(context):
    data = b""
    while True:
        try:
            piece = os.read(context.reader, 65536)
        except BlockingIOError:
            break
        if not piece:
            break
        data += piece
    return data


def _read_lines(context):
    return [json.loads(line) for line in _read(context).splitlines()]


@when('the event "{name}" with zone "{zone}" is logged and flushed')
def step_event(context, name, zone):
    """Log an event."""
    context.log.event(name, zone=zone)
    context.buffer.flush()


@when('the message "{message}" is logged and flushed')
def step_log_message(context, message):
    """Log a message."""
    context.log.info(message)
    context.buffer.flush()


@then('one line is read with event "{name}", zone "{zone}", and the common fields')
def step_line(context, name, zone):
    """Check the JSON object of an event."""
    (line,) = _read_lines(context)
    assert line.pop("time") > 0
    expected = {
        "level": "info",
        "instance": "i-1",
        "part": "part",
        "event": name,
        "zone": zone,
    }
    assert line == expected, line


@then('one line is read with the message "{message}"')
def step_message(context, message):
    """Check the JSON object of a message."""
    (line,) = _read_lines(context)
    assert line["message"] == message, line


@when("{count:d} events are logged and flushed without a reader")
def step_many(context, count):
    """Log more than the pipe and the buffer can hold."""
    for index in range(count):
        context.log.event("call_ended", request=f"r{index}", filler="x" * 50)
        if index % 100 == 0:
            context.buffer.flush()


@then("logging has not blocked, and at most {limit:d} bytes are buffered")
def step_bounded(context, limit):
    """Check the limit, and that lines were dropped."""
    assert context.buffer.dropped > 0
    assert context.buffer.count_buffered() <= limit


@when("the pipe is read and flushed until it is empty")
def step_drain(context):
    """Read everything that is buffered."""
    context.data = b""
    while True:
        context.buffer.flush()
        piece = _read(context)
        if not piece:
            break
        context.data += piece


@then("the last line says how many were dropped, and none is truncated")
def step_dropped_count(context):
    """Check that dropped and read lines add up to all lines."""
    lines = [json.loads(line) for line in context.data.splitlines()]
    dropped = int(lines[-1]["message"].split()[0])
    assert dropped + len(lines) - 1 == 20000, (dropped, len(lines))


@when("an event with a field that can't be formatted is logged")
def step_unformattable(context):
    """Log a field whose conversion to text raises."""
    context.log.event("call_ended", field=_Unformattable())


@then("its line is either written or counted as dropped")
def step_counted(context):
    """Check that every line is accounted for."""
    context.buffer.flush()
    lines = _read_lines(context)
    assert len(lines) + context.buffer.dropped == 1, lines


@when("the reader closes and {count:d} events are logged and flushed")
def step_closed(context, count):
    """Log after the reading end is closed."""
    os.close(context.reader)
    for _ in range(count):
        context.log.event("call_ended")
    context.buffer.flush()


@then("{count:d} lines are counted as dropped")
def step_dropped(context, count):
    """Check the number of dropped lines."""
    assert context.buffer.dropped == count, context.buffer.dropped
