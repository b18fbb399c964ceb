"""Steps for clients that don't behave, on the system's own processes."""

import asyncio
import re
import tempfile
from pathlib import Path

from behave import given, then, when

from demo.fleet import Machine
from demo.installation import Channel
from tests.support.crowds import (
    CLIENT,
    Crowd,
    Sent,
    ask_unread,
    play_waves,
    send_behind,
    send_chunks,
    send_length,
    send_lists,
    send_row,
    send_short_fields,
    send_trailer,
)
from tests.support.machines import MACHINES, MEGABYTE

ID = f"Request-Id: {CLIENT.decode()}"
LIMIT = 2**20  # What the pages call a megabyte of a body.
_NAMES = {"the front": "front", "the readiness": "ready", "the metrics": "metrics"}
_PLAIN_PATHS = {"routes": "/idem/1", "openai": "/v1/completions"}
_WAITING = "/kept/slow"
_SERVICE = "/services/labels/labels"
_WRITERS = (
    (
        r"(\d+) MB in chunks of (\d+) bytes?",
        lambda path, total, size: send_chunks(path, size, total * LIMIT - size, ID),
    ),
    (
        r"(\d+) MB with a length, short of 1 byte",
        lambda path, total: send_length(path, total * LIMIT, 1, ID),
    ),
    (
        r"a trailer whose name has (\d+) MB",
        lambda path, total: send_trailer(path, b"", total * LIMIT, ID),
    ),
    (
        r"a trailer whose value has (\d+) MB",
        lambda path, total: send_trailer(path, b"x-more: ", total * LIMIT, ID),
    ),
    (r"a head of (\d+) bytes in very short fields", send_short_fields),
    (
        r"whole bodies of (\d+) MB",
        lambda path, total: send_length(path, total * LIMIT, 0, ID),
    ),
    (
        r"whole bodies of (\d+) MB, for a runner with 6 places",
        lambda path, total: send_length(_WAITING, total * LIMIT, 0, ID),
    ),
    (
        r"whole bodies of (\d+) MB, for no route",
        lambda path, total: send_length("/nowhere/1", total * LIMIT, 0, ID),
    ),
    (
        r"whole bodies of (\d+) MB, for a service",
        lambda path, total: send_length(_SERVICE, total * LIMIT, 0, ID),
    ),
    (r"(\d+) small requests in a row", lambda path, count: send_row(path, count, ID)),
    (
        r"a call at work, and (\d+) bytes behind it",
        lambda path, size: send_behind(_WAITING, size, ID),
    ),
    (
        r"calls for answers of 3 MB that are not read",
        lambda path: ask_unread("/kept/large", ID),
    ),
    (
        r"(\d+) MB of empty lists",
        lambda path, total: send_lists(path, total * LIMIT, ID),
    ),
    (
        r"calls at work whose prompts have (\d+) parts",
        lambda path, count: send_row(
            _WAITING, 1, ID, f"Prompt-Prefix: {','.join(['a:1'] * count)}"
        ),
    ),
    (r"nothing", lambda path: Sent(())),
)  # What clients send, and how it is written for a path.


def _write(what: str, interface: str) -> Sent:
    """Return what clients send."""
    for pattern, write in _WRITERS:
        found = re.fullmatch(pattern, what)
        if found:
            numbers = [int(text) for text in found.groups()]
            return write(_PLAIN_PATHS[interface], *numbers)
    raise AssertionError(f"no clients send {what!r}")


def _make_crowd(context, what: str, where: str) -> Crowd:
    address = context.machine.addresses[_NAMES[where]]
    sent = _write(what, context.interface)
    return Crowd(address, sent, context.machine.watch.count_queued)


def _close_loop(loop: asyncio.AbstractEventLoop) -> None:
    """Cancel what is left on a loop, and close it."""
    left = asyncio.all_tasks(loop)
    for task in left:
        task.cancel()
    if left:
        loop.run_until_complete(asyncio.gather(*left, return_exceptions=True))
    loop.close()


@given(
    "an instance of {interface} on a machine of {memory:d} MB and {count:d} descriptors"
)
def step_machine(context, interface, memory, count):
    """Start the processes, on an event loop of their own."""
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.interface = interface
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(_close_loop, context.loop)
    limits = Machine(memory * MEGABYTE, count)
    context.machine = MACHINES[interface](Path(folder.name), limits)
    context.add_cleanup(context.machine.close)
    context.loop.run_until_complete(context.machine.start())


@when("{count:d} clients send {what} to {where} and stay")
def step_crowd(context, count, what, where):
    """Let a crowd send until nothing moves any more."""
    context.crowd = _make_crowd(context, what, where)
    context.loop.run_until_complete(context.crowd.start(count))


@when("the crowd leaves")
def step_leave(context):
    """Close the connections of the crowd."""
    context.crowd.close()


@when("{waves:d} waves of {count:d} clients send {what}, one after the other")
def step_waves(context, waves, count, what):
    """Play the crowd some times over."""
    make_crowd = lambda: _make_crowd(context, what, "the front")
    context.loop.run_until_complete(play_waves(make_crowd, count, waves))


@then("an ordinary caller is served")
def step_ordinary(context):
    """Let an ordinary caller ask, and come back when it is refused."""
    is_served = context.loop.run_until_complete(context.machine.call())
    assert is_served, _describe(context)


@then("the readiness address answers")
def step_ready(context):
    """Ask whether the instance is ready, where it has such an address."""
    address = context.machine.addresses.get("ready")
    if address is None:
        return
    asked = Channel(address).call("GET", "/readyz", {})
    answer = context.loop.run_until_complete(asked)
    assert answer.status == 200, (answer, _describe(context))


@then("the process lives and has held less than {memory:d} MB")
def step_memory(context, memory):
    """Check the most that it has held, as seen from outside."""
    assert context.machine.watch.is_alive, _describe(context)
    highest = context.machine.watch.highest
    assert highest < memory * MEGABYTE, f"{highest / MEGABYTE:.0f} MB were held"


@then("the process lives and has had fewer than {count:d} descriptors")
def step_descriptors(context, count):
    """Check the most descriptors that it had open."""
    assert context.machine.watch.is_alive, _describe(context)
    opened = context.machine.watch.descriptors
    assert opened < count, f"{opened} descriptors were open"


@then("its log has less than 1 MB")
def step_log(context):
    """Check that a crowd does not fill the log."""
    size = context.machine.watch.count_log()
    assert size < MEGABYTE, f"{size} bytes were logged"


def _describe(context) -> str:
    """Return the state of the process, for a failure's text."""
    watch = context.machine.watch
    state = "lives" if watch.is_alive else "has ended"
    return (
        f"the process {state}; {watch.highest / MEGABYTE:.0f} MB, "
        f"{watch.descriptors} descriptors; {context.machine.read_log()}"
    )
