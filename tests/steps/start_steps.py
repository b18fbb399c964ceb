"""Steps for the start of a process: imports and addresses in use."""

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


@when("the components of the interface routes are imported in a new process")
def step_import(context):
    """Import them, and record the loaded modules and the import path."""
    command = [sys.executable, "-c", _PROGRAM]
    done = subprocess.run(command, capture_output=True, text=True, cwd=ROOT, check=True)
    context.modules, context.is_same_path = json.loads(done.stdout)


@then("{module} was not imported, and the import path is unchanged")
def step_not_imported(context, module):
    """Check the loaded modules and the import path."""
    assert module not in context.modules
    assert context.is_same_path


@given("another program that listens at the {address} address")
def step_in_use(context, address):
    """Listen on one of the daemon's ports."""
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
    """Start a daemon whose store does not answer."""
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


@then("it exits with status {code:d} within {seconds:d} seconds")
def step_exits(context, code, seconds):
    """Check the exit status, and that the output gives the reason."""
    output, _ = context.process.communicate(timeout=seconds)
    assert context.process.returncode == code, (context.process.returncode, output)
    assert b"can't start" in output, output
