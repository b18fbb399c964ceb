"""Steps on what a starting process imports."""

import json
import socket
import subprocess
import sys

from behave import given, then, when

from demo.fleet import ROOT

_ADDRESSES = ("http", "peer", "ready")
_PROGRAM = """
import json, sys
before = list(sys.path)
import roadlift.daemon.main, roadlift.instance.ingress
print(json.dumps([sorted(sys.modules), before == sys.path]))
"""


@when("the parts of the interface routes are imported in a new process")
def step_import(context):
    """Import them, and keep what is there behind that."""
    command = [sys.executable, "-c", _PROGRAM]
    done = subprocess.run(command, capture_output=True, text=True, cwd=ROOT, check=True)
    context.modules, context.is_same_path = json.loads(done.stdout)


@then("{module} was not imported, and the path is as it was")
def step_not_imported(context, module):
    """Look for the module."""
    assert module not in context.modules
    assert context.is_same_path


@given("a program that listens where the {address} address is to be")
def step_taken(context, address):
    """Take one of the daemon's ports."""
    listeners = {name: socket.create_server(("127.0.0.1", 0)) for name in _ADDRESSES}
    context.ports = {
        name: listener.getsockname()[1] for name, listener in listeners.items()
    }
    for name, listener in listeners.items():
        if name == address:
            context.add_cleanup(listener.close)
        else:
            listener.close()


@when("a daemon of the interface routes is started")
def step_start(context):
    """Start it, with a store that does not answer."""
    command = [sys.executable, "-m", "roadlift.daemon.main", "--instance", "a"]
    command += ["--zone", "z1", "--zones", "z1", "--interface", "routes"]
    command += ["--adapter", "platform", "--plugins", "platform/adapter"]
    command += ["--platform", "127.0.0.1:1", "--log-format", "json"]
    for name, port in context.ports.items():
        command += [f"--{name}", f"127.0.0.1:{port}"]
    context.process = subprocess.Popen(
        command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT
    )
    context.add_cleanup(context.process.kill)


@then("it ends with {code:d} within {seconds:d} seconds")
def step_ends(context, code, seconds):
    """Wait for the end, and look for the reason in what it said."""
    said, _ = context.process.communicate(timeout=seconds)
    assert context.process.returncode == code, (context.process.returncode, said)
    assert b"can't start" in said, said
