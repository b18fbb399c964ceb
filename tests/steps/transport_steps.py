"""Steps on the sockets between instances."""

import socket
import time
from types import SimpleNamespace

from behave import given, then, when

from roadlift.core.loop import Loop
from roadlift.daemon.transport import Transport
from roadlift.serving.messages import Denial
from standins.proxies import Proxy


def _find_port():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()[1]


def _start_transport(context, port):
    clock = SimpleNamespace(now=time.monotonic)
    settings = SimpleNamespace(peer=f"127.0.0.1:{port}")
    transport = Transport(SimpleNamespace(loop=Loop(clock), settings=settings))
    transport.start()
    context.add_cleanup(transport.close)
    return transport


@given("an instance that sends to another one through a proxy")
def step_pair(context):
    """Start two transports and a proxy."""
    port = _find_port()
    context.receiver = _start_transport(context, port)
    context.sender = _start_transport(context, _find_port())
    context.proxy = Proxy(("127.0.0.1", port))
    context.proxy.start()
    context.add_cleanup(context.proxy.close)
    context.received = []
    take = lambda sender, message: context.received.append(message)
    context.receiver.subscribe((Denial,), take)


def _send_until_received(context, message, seconds):
    """Send a message again and again, as owners and instances do."""
    until = time.monotonic() + seconds
    while time.monotonic() < until and message not in context.received:
        context.sender.send(context.proxy.address, message)
        context.receiver._drain()
        time.sleep(0.02)
    assert message in context.received, context.received[-3:]


@then("a message comes through")
def step_comes(context):
    """Send a first message."""
    _send_until_received(context, Denial("z", "e", "m", "first"), 5.0)


@when("the proxy holds all that its open connections carry, without a reset")
def step_silence(context):
    """Let the path go silent for good."""
    context.proxy.silence()


@then("a message sent later comes through within {seconds:g} seconds")
def step_later(context, seconds):
    """Send another message."""
    _send_until_received(context, Denial("z", "e", "m", "later"), seconds)
