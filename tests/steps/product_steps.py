"""Steps on settings, reference pages and the command-line tool."""

import asyncio
import json
import os
import re
import shlex
import socket
import subprocess
import sys
from pathlib import Path

from behave import given, step, then, when

import roadlift.conf.checks  # noqa: F401  The checks register themselves.
import roadlift.daemon.front  # noqa: F401  The parts register themselves.
from demo.client import complete
from demo.fleet import ROOT, EngineSpec
from roadlift.conf.reference import PAGES
from roadlift.conf.settings import SETTINGS, Settings
from roadlift.core.checks import run_checks
from roadlift.core.errors import ImproperlyConfigured, Outcome, list_errors
from roadlift.core.kernel import Kernel, components
from roadlift.daemon.metrics import METRICS, Metrics
from roadlift.policy.eviction import evictors
from roadlift.policy.routing import routers

_KINDS = {setting.name: setting.kind for setting in SETTINGS}
_PROGRAMS = {
    "roadliftd": [sys.executable, "-m", "roadlift.daemon.main"],
    "roadlift": [sys.executable, "-m", "roadlift.management.main"],
}


@when('the settings are checked with {name} as "{value}"')
def step_check_one(context, name, value):
    """Check the defaults with one setting changed."""
    context.findings = run_checks(Settings({name: _KINDS[name](value)}))


@then('the findings are {ids} and name "{name}"')
def step_findings(context, ids, name):
    """Check the ids and that hints are given."""
    assert [finding.id for finding in context.findings] == [ids], context.findings
    for finding in context.findings:
        assert finding.message.startswith(f"{name}: ") and finding.hint


@when("the default settings are checked")
def step_check_defaults(context):
    """Check the defaults."""
    context.findings = run_checks(Settings({}))


@then("there are no findings")
def step_no_findings(context):
    """Check that nothing was found."""
    assert context.findings == []


def _run(context, program, arguments, environment=None):
    command = _PROGRAMS[program] + arguments
    context.done = subprocess.run(
        command,
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={**os.environ, **(environment or {})},
        timeout=60,
    )


@when('{program} runs with {variable} as "{value}"')
def step_run_program(context, program, variable, value):
    """Run a program with one environment variable."""
    name, *arguments = program.split()
    _run(context, name, arguments, {variable: value})


@then('it exits with {code:d} and prints "{printed}"')
def step_exits(context, code, printed):
    """Check the exit code and a part of what was printed."""
    done = context.done
    output = re.sub(r"\s+", " ", done.stdout + done.stderr)
    assert done.returncode == code, (done.returncode, output)
    assert printed in output, output


@then("the page {page} is what the code renders")
def step_page(context, page):
    """Compare a committed page with the code."""
    committed = (ROOT / "docs" / "ref" / page).read_text()
    assert committed == PAGES[page](), f"run make docs: {page} is behind the code"


@then("each error's code is unique and each has an outcome and a status")
def step_errors(context):
    """Check all errors."""
    kinds = list_errors()
    codes = [kind.code for kind in kinds]
    assert len(set(codes)) == len(codes) > 20
    for kind in kinds:
        assert kind.outcome in Outcome and 400 <= kind.status < 600, kind


@when("roadliftd is asked for help")
def step_help(context):
    """Ask the daemon for help."""
    _run(context, "roadliftd", ["--help"])


@then("the help names each setting's flag and variable")
def step_help_names(context):
    """Check each setting."""
    for setting in SETTINGS:
        assert setting.flag in context.done.stdout, setting.flag
        assert setting.variable in context.done.stdout, setting.variable


@when("a daemon's metrics are sent to a listening socket")
def step_metrics(context):
    """Send every metric to a socket."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as listener:
        listener.bind(("127.0.0.1", 0))
        listener.settimeout(5.0)
        host, port = listener.getsockname()
        kernel = Kernel(Settings({"statsd": f"{host}:{port}"}))
        kernel.open(["metrics"])
        metrics = kernel.get(Metrics)
        senders = {"counter": metrics.count, "gauge": metrics.set}
        for one in METRICS:
            send = senders.get(one.kind, metrics.time)
            send(one.name, 1)
        metrics.flush()
        context.datagrams = [listener.recv(65536)]
        listener.settimeout(0.2)
        while len(b"\n".join(context.datagrams).split(b"\n")) < len(METRICS):
            context.datagrams.append(listener.recv(65536))


@then("each datagram's names are documented")
def step_metric_names(context):
    """Check the names that arrived."""
    lines = b"\n".join(context.datagrams).decode().split("\n")
    names = {line.split(":")[0].rpartition(".")[2] for line in lines}
    assert names == {metric.name for metric in METRICS}, names
    try:
        Kernel(Settings({})).get(Metrics)
    except ImproperlyConfigured:
        return
    raise AssertionError("a part that was not started was found")


@when('the {kind} "{name}" is asked for')
def step_plugin(context, kind, name):
    """Ask a registry."""
    registry = {"router": routers, "evictor": evictors, "part": components}[kind]
    try:
        registry.get(name)
        context.found = "found"
    except ImproperlyConfigured as error:
        context.found = "unknown"
        assert registry.names()[0] in error.detail


@then("the plug-in is {found}")
def step_plugin_found(context, found):
    """Check the answer of the registry."""
    assert context.found == found


# The command-line tool.


@given("a platform, an engine and 2 instances in 2 zones")
def step_small_fleet(context):
    """Start a small fleet once for the feature."""
    fleet = context.fleet
    if fleet.instances:
        return
    fleet.start_platform(rate=50.0)
    fleet.start_engine(EngineSpec("engine-1", "a"))
    fleet.start_instance("entry-0", "a")
    fleet.start_instance("entry-1", "b")
    fleet.wait_for_members()


@given("a bundle file")
def step_bundle_file(context):
    """Write a bundle file."""
    document = {
        "adapters": {"m": {"versions": {"1": "m/1"}, "services": ["captions"]}},
        "services": {"captions": {"organisation": "t", "priority": "interactive"}},
        "endpoints": context.fleet.describe_endpoints(),
    }
    context.file = Path(context.folder.name) / "given.json"
    context.file.write_text(json.dumps(document))


@step('the tool runs "{command}"')
def step_tool(context, command):
    """Run the tool with the names of the scenario filled in."""
    names = {}
    if context.fleet.instances:
        names = {
            "PLATFORM": str(context.fleet.platform.address),
            "ENTRY": str(context.fleet.instances["entry-0"].address),
            "FILE": str(getattr(context, "file", "")),
            "PAGE": str(Path(context.folder.name) / "burn.html"),
        }
    arguments = [names.get(word, word) for word in shlex.split(command)]
    _run(context, "roadlift", arguments)


@when("the tool signs and rolls what was proposed and waits")
def step_sign_roll(context):
    """Sign and roll the digest that was printed."""
    digest = context.done.stdout.split()[-1]
    platform = ["--platform", str(context.fleet.platform.address)]
    entry = ["--entry", str(context.fleet.instances["entry-0"].address)]
    sign = ["bundle", "sign", digest, "--operator", "ben", *platform]
    _run(context, "roadlift", sign)
    assert context.done.returncode == 0, context.done.stderr
    roll = ["bundle", "roll", digest, "--wait", *entry, *platform]
    _run(context, "roadlift", roll)


@then('it exits with 0 and prints JSON with "{key}"')
def step_json(context, key):
    """Check that JSON was printed."""
    assert context.done.returncode == 0, context.done.stderr
    assert key in json.loads(context.done.stdout)


@when("a few calls are sent")
def step_few_calls(context):
    """Send calls, so that there is something to report."""
    address = context.fleet.instances["entry-0"].address
    for index in range(3):
        reply = asyncio.run(complete(address, "m@1", f"p{index}", 2, False))
        assert reply.status == 200, reply


@then("the page stands alone and has a plot for each service")
def step_burn_page(context):
    """Check the page of the burn report."""
    page = (Path(context.folder.name) / "burn.html").read_text()
    assert page.count("<svg") == 3 and "t / captions, 5 min" in page
    assert "http://" not in page and "https://" not in page and "src=" not in page
