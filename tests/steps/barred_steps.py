"""Steps on the commands for refused work."""

import json
import os
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

from demo.fleet import ROOT, Process
from roadlift.decisions.crashrecord import STRONG, CrashEvidence
from roadlift.explanation.barred import find_barred
from roadlift.explanation.lines import read_lines
from roadlift.instance.crashrows import TABLE
from roadlift.management.rows import BlockingRows
from roadlift.serving.crashevidence import encode_row
from roadlift.serving.interfaces import RowWrite
from roadlift.serving.position import ZERO_POSITION

_IDENTITY = "0123456789abcdef01234567"
_ENVIRONMENT = {
    "ROADLIFT_ADAPTER": "platform",
    "ROADLIFT_PLUGINS": str(ROOT / "platform" / "adapter"),
}


def _make_line(text):
    """Return a line of a log as JSON."""
    at, kind, *words = text.split()
    content = {"time": float(at), "instance": "i1"}
    if kind == "ended":
        suspects = [[words[1], 3]]
        content |= {
            "event": "endpoint_ended",
            "endpoint": words[0],
            "suspects": suspects,
        }
    elif kind == "cut":
        content |= {"event": "send_failed", "request": words[0], "identity": words[1]}
    elif kind == "barred":
        ends = int(words[1])
        content |= {"event": "work_barred", "identity": words[0], "ends": ends}
    else:
        content |= {"event": "work_cleared", "identity": words[0]}
    return json.dumps(content)


@given('logs in which "{lines}"')
def step_logs(context, lines):
    """Write the lines."""
    texts = [] if lines == "nothing happens" else lines.split(", ")
    context.log = read_lines([("a.log", map(_make_line, texts))])


@when("the refused work is looked for")
def step_find(context):
    """Find it."""
    context.found = find_barred(context.log)


@then('what is found is "{found}"')
def step_found(context, found):
    """Compare it, in words."""
    texts = [
        f"{one.identity} {one.ends} from {one.first:g} at "
        f"{' '.join(one.endpoints) or 'no endpoint'} by "
        f"{' '.join(one.requests) or 'no call'}, "
        f"{'let in' if one.is_cleared else 'not let in'}"
        for one in context.found
    ]
    assert (texts or ["nothing"]) == [found], texts


@given("a platform of the interface routes with a row of refused work")
def step_platform(context):
    """Start a stand-in, and write a row as an instance does."""
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    command = [sys.executable, "-m", "standins.loopback", "--port", str(port)]
    site = Process("site", command, port, Path(folder.name) / "site.log")
    context.add_cleanup(site.kill)
    site.start()
    site.wait_until("/control")
    context.site = site
    rows = BlockingRows(str(site.address))
    identity = bytes.fromhex(_IDENTITY)
    evidence = [CrashEvidence(identity, name, STRONG, 0.0) for name in ("e1", "e2")]
    value = encode_row(1.0, evidence)
    rows.write(RowWrite(TABLE, _IDENTITY, value, ZERO_POSITION))
    rows.close()


def _unbar(context, identity):
    _run(context, "unbar", identity)


def _run(context, *arguments):
    command = [sys.executable, "-m", "roadlift.management.main", *arguments]
    command += ["--platform", str(context.site.address)]
    context.done = subprocess.run(
        command,
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={**os.environ, **_ENVIRONMENT},
    )


@when("the tool lets it in again")
def step_unbar(context):
    """Run the command."""
    _unbar(context, _IDENTITY)


@when('the tool lets "{identity}" in again')
def step_unbar_other(context, identity):
    """Run the command with something else."""
    _unbar(context, identity)


@then('it exits with 1 and says "{text}"')
def step_says(context, text):
    """Look at the failure."""
    assert context.done.returncode == 1, context.done
    assert text in context.done.stderr, context.done.stderr


@when("the zone {zone} is evacuated there")
def step_evacuate(context, zone):
    """Write the operator's row."""
    context.site.ask("POST", "/control", {"evacuate": zone})


@when("the zone {zone} is taken back there")
def step_take_back(context, zone):
    """Delete the operator's row."""
    context.site.ask("POST", "/control", {"take_back": zone})


@then('the tool shows "{zone}" as "{state}"')
def step_zone(context, zone, state):
    """Run the command, and look for the zone."""
    _run(context, "zones", "--json")
    assert context.done.returncode == 0, context.done
    zones = json.loads(context.done.stdout)["zones"]
    found = {one["zone"] for one in zones if one["is_evacuated"]}
    assert state == "evacuated" and found == {zone}, zones


@then('the tool shows nothing as "{state}"')
def step_no_zone(context, state):
    """Run the command; its table has no such state."""
    _run(context, "zones")
    assert context.done.returncode == 0, context.done
    assert state not in context.done.stdout, context.done.stdout
