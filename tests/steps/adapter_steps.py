"""Steps on the adapter of the users' platform."""

import json
import random
import re
import subprocess
import sys
import tomllib
from pathlib import Path

from behave import then, when

from roadlift.conf.settings import SETTINGS, Settings
from roadlift.core.checks import run_checks
from roadlift.core.errors import RoadliftError
from roadlift.http.messages import ReceivedRequest
from roadlift.relay.address import Address
from roadlift.relay.upstream import Answer
from roadlift.serving.calls import Model
from roadlift.serving.directory import Endpoint
from roadlift.serving.interfaces import StoredRow, adapters
from roadlift.serving.lease import LeaseRecord
from roadlift.serving.orders import Action, Order
from roadlift.serving.position import FIRST_ERA, StorePosition
from tests.support.configuration import make_route, make_tenants
from tests.support.entries import ROOT

_ADAPTER = adapters.get("platform")
_PLACE = StorePosition(FIRST_ERA, 3)
# Names that only the platform's protocol has.
_WIRE_NAMES = (
    r"server-stamp|server-limit|expect-instance|expect-version|not-run\b|prompt-prefix"
    r"|token-count|deadline-ms|request-priority|length-hint|kv-from|kv-backup"
    r"|kv-fetch|kv-move|rows-tx|rows-get|rows-feed|blob-put|pathPrefix|timeoutMs"
    r"|goalMs|gapGoalMs|maxConns|kvCapTokens|adapterSlots|weightsMb|waitMs"
    r"|tombstone|store-era|remainingMs|non_idempotent|readyForLoad|portRange|bounds\."
)


def _parse_headers(text):
    if text == "nothing":
        return {}
    name, _, value = text.partition(": ")
    return {name.lower(): value or "1"}


def _run(read):
    try:
        return read()
    except RoadliftError as error:
        return error


@when("a request with {headers} is read")
def step_read(context, headers):
    """Read a request with one header of interest."""
    found = _parse_headers(headers)
    if headers != "nothing":
        found.setdefault("request-id", "r1")
        if "connection" in found:
            found["x-mine"] = "1"
    received = ReceivedRequest("POST", "/a/b?c", {"host": "h", **found}, b"")
    context.read = _run(lambda: _ADAPTER.calls.read_call(received))


@then("the field {field} is {value}")
def step_field(context, field, value):
    """Check one field of what was read."""
    if field == "error":
        found = context.read.code
    elif field == "headers":
        found = ", ".join(sorted(context.read.headers))
    elif field == "prompt":
        found = ", ".join(f"{part.id} {part.tokens}" for part in context.read.prompt)
    else:
        found = str(getattr(context.read, field))
    assert found == value, found


@when("a runner answers {status:d} with {headers}")
def step_answers(context, status, headers):
    """Judge a head."""
    context.verdict = _ADAPTER.calls.judge(status, _parse_headers(headers))


@then("the verdict is {verdict}")
def step_verdict(context, verdict):
    """Check the judgement."""
    assert context.verdict.value == verdict, context.verdict


@when("the limit is read of an answer with {headers}")
def step_read_limit(context, headers):
    """Read what a runner names."""
    step_statement(context, 200, headers)


@when("it is read what an answer {status:d} with {headers} says of its runner")
def step_statement(context, status, headers):
    """Read a head."""
    context.statement = _ADAPTER.calls.read_statement(status, _parse_headers(headers))


def _describe(statement, field):
    """Return a field of a statement, or the code of what can't be read."""
    codes = [fault.code for fault in statement.faults]
    found = getattr(statement, field)
    return " ".join([*codes, *([] if codes and not found else [str(found)])])


@then("the limit is {limit}")
def step_limit(context, limit):
    """Check the limit, or the error."""
    text = _describe(context.statement, "limit")
    assert text == limit, text


@then("it says for {field}: {value}")
def step_said(context, field, value):
    """Check one field of what a runner says of itself."""
    text = _describe(context.statement, field)
    assert text == value, text


@then("the headers unknown are {names}")
def step_unknown(context, names):
    """Check the headers that no table lists."""
    text = ", ".join(context.statement.unknown) or "none"
    assert text == names, text


def _row(key, content):
    return StoredRow(key, json.dumps(content).encode(), _PLACE)


def _make_configuration():
    route = make_route("/p/", "idempotent", "b", timeoutMs=5000)
    limits = {
        "maxHeaderBytes": 1,
        "maxBodyBytes": 1,
        "headerTimeoutMs": 1,
        "idleTimeoutMs": 1,
    }
    service = {"name": "b", "healthPath": "/healthz", "maxConns": 100}
    return {"version": 7, "routes": [route], "backends": [service], "limits": limits}


_HOMES = {"a text": "north", "a list of numbers": [1, 2], "an empty name": ["", "a"]}


@when("a configuration with {change} is read")
def step_configuration(context, change):
    """Read a configuration."""
    content = _make_configuration()
    route = content["routes"][0]
    if change == "two targets":
        del route["backend"]
        route["split"] = [
            {"backend": "b", "weight": 90},
            {"backend": "c", "weight": 10},
        ]
    elif change == "a kind that is unknown":
        route["kind"] = "sometimes"
    elif change == "no routes":
        del content["routes"]
    elif change.startswith("homes that are "):
        route["allowedRegions"] = _HOMES[change.removeprefix("homes that are ")]
    elif change.endswith(" as its cold rate"):
        text = change.removesuffix(" as its cold rate")
        rate = text if text == "a text" else float(text)
        content["backends"][0]["coldPerS"] = rate
    content.update(make_tenants(change))
    row = _row("config", content)
    if change == "text in place of JSON":
        row = StoredRow("config", b"hello", _PLACE)
    context.read = _run(lambda: _ADAPTER.state.read_configuration(row))


@then("the cold rate is {rate}")
def step_cold_rate(context, rate):
    """Check the rate of the only service, or the error."""
    if isinstance(context.read, RoadliftError):
        assert context.read.code == rate, context.read
        return
    assert str(context.read.services["b"].cold_rate) == rate, context.read.services


@then("it is cold for {seconds:g} seconds")
def step_cold_time(context, seconds):
    """Check the cold time of an entry."""
    assert context.read.cold_time == seconds, context.read


@then("its software is {version}")
def step_software(context, version):
    """Check the version of a runner's software."""
    software = context.read.software
    found = "unknown" if software is None else software or "none"
    assert found == version, context.read


@when("the operator's row {key} with {value} is read")
def step_evacuation_row(context, key, value):
    """Read a row of the operator's table as an evacuation."""
    data = None if value == "nothing" else value.encode()
    row = StoredRow(key, data, _PLACE)
    context.read = _run(lambda: _ADAPTER.state.read_evacuation(row))


@then("the evacuation is {result}")
def step_evacuation(context, result):
    """Check what the row requests, or the error."""
    found = context.read
    if isinstance(found, RoadliftError):
        assert found.code == result, found
        return
    state = found and f"{found.zone} {'begins' if found.is_active else 'ends'}"
    assert (state or "none") == result, found


@then("the route has {result}")
def step_route(context, result):
    """Check the route."""
    if isinstance(context.read, RoadliftError):
        assert context.read.code == result, context.read
        return
    (route,) = context.read.routes
    services = ", ".join(f"{one.service} {one.weight}" for one in route.targets)
    found = f"timeout {route.timeout} and services {services}"
    assert found == result, found


@when("an entry with {change} is read")
def step_entry(context, change):
    """Read an entry of the directory."""
    content = {
        "backend": "b",
        "addr": "10.0.0.1:80",
        "zone": "z",
        "slots": 4,
        "state": "ready",
        "models": [{"name": "m", "version": 1, "adapters": []}],
    }
    if change == "the state draining":
        content["state"] = "draining"
    elif change == "1500 ms remaining":
        content["remainingMs"] = 1500
    elif change == "no models":
        del content["models"]
    elif change == "a name as its address":
        content["addr"] = "runner:80"
    elif change == "no address":
        del content["addr"]
    elif change != "nothing special":
        context.read = _run(lambda: _read_faulty(content, change))
        return
    context.read = _run(lambda: _ADAPTER.state.read_endpoint(_row("i-1", content)))


_NO_DOCUMENTS = {
    "bytes that are no text": b"\xff\xfe{}",
    "bytes that are no document": b"servers",
    "a document that is a list": b"[]",
    "a document that is null": b"null",
    "nothing in it": b"",
    "1 MiB of spaces": b" " * 2**20,
    "lists nested 20000 deep": b'{"a": ' + b"[" * 20000 + b"]" * 20000 + b"}",
}
_VALUES = {
    "null": None,
    "a number": 7,
    "a list": [],
    "an object": {},
    "text": "x",
    "a fraction": 1.5,
    "true": True,
    "numbers": [1, 2],
    "empty text": "",
    "a long text": "z" * 2**20,
    "half of a pair": "\ud800",
    "1e999": float("inf"),
}


def _read_value(text):
    """Return a whole number, or the text itself."""
    return int(text) if text.removeprefix("-").isdigit() else text


def _read_faulty(content, fault):
    """Read an entry with a fault in words."""
    value, _, field = fault.partition(" as its ")
    if fault.startswith("no "):
        del content[fault[3:]]
    elif field:
        content[field] = _VALUES[value] if value in _VALUES else _read_value(value)
    elif fault.startswith("address "):
        content["addr"] = fault.removeprefix("address ")
    elif fault == "an unnamed state":
        content["state"] = "warming"
    elif fault == "a port too large":
        content["addr"] = "10.0.0.1:70000"
    data = json.dumps(content).encode()
    if fault == "a document that is cut":
        data = data[: len(data) // 2]
    data = _NO_DOCUMENTS.get(fault, data)
    return _ADAPTER.state.read_endpoint(StoredRow("i-1", data, _PLACE))


@then("its id is {id_}, and the runner is asked for as {name}")
def step_run_id(context, id_, name):
    """Check the id of a run, and what requests expect."""
    endpoint = context.read
    found = endpoint.id, _ADAPTER.orders.build_report(endpoint).headers
    assert found[0] == id_ and name in found[1].values(), found


def _list_documents():
    report = {
        "models": [{"name": "m", "adapters": ["a3@2"]}],
        "coming": ["m/a5@1"],
        "seq": 4,
        "busy": False,
        "running": 1,
        "queued": 0,
    }
    entry = {
        "backend": "b",
        "addr": "10.0.0.1:80",
        "zone": "z",
        "slots": 4,
        "state": "ready",
        "born": 1700,
        "models": [{"name": "m", "version": 1, "adapters": []}],
    }
    version = {"model": "m", "adapter": "a1", "version": 2}
    state, orders = _ADAPTER.state, _ADAPTER.orders
    answer = lambda data: Answer(200, {}, data)
    read_row = lambda read, key: lambda data: read(StoredRow(key, data, _PLACE))
    lease = LeaseRecord("p#1", "10.0.0.1:9", 3.5, False, 4.5, [["x", 1.0]])
    return {
        "an entry": (json.dumps(entry), read_row(state.read_endpoint, "i-1")),
        "a configuration": (
            json.dumps(_make_configuration()),
            read_row(state.read_configuration, "config"),
        ),
        "a version": (
            json.dumps(version),
            read_row(state.read_version, "version/m.a1"),
        ),
        "a report": (
            json.dumps(report),
            lambda data: orders.read_report(answer(data)),
        ),
        "a lease": (lease.encode(), LeaseRecord.decode),
    }


def _change(draw, data):
    """Return bytes with some replaced, dropped, doubled or put in."""
    changed = bytearray(data)
    for _ in range(draw.randrange(1, 6)):
        place = draw.randrange(len(changed) + 1)
        piece = draw.choice([b"null", b"-1", b'"x"', b"{}", b"[", b"1e999", b"\xff"])
        end = place + draw.randrange(0, 6)
        changed[place:end] = draw.choice([b"", piece, bytes(changed[place:end]) * 2])
    return bytes(changed)


@then("{count:d} random changes of {name} with seed {seed:d} are read or refused")
def step_fuzz(context, count, name, seed):
    """Read changed documents; only the project's own errors may come."""
    text, read = _list_documents()[name]
    data = text if isinstance(text, bytes) else text.encode()
    draw = random.Random(seed)
    for _ in range(count):
        changed = _change(draw, data)
        try:
            read(changed)
        except RoadliftError:
            continue
        except Exception as error:
            raise AssertionError((seed, changed, error)) from error


@then("the entry is {result}")
def step_endpoint(context, result):
    """Check the endpoint."""
    if isinstance(context.read, RoadliftError):
        assert context.read.code == result, context.read
        return
    one = context.read
    state = "draining" if one.is_draining else "ready"
    held = ", ".join(model.name for model in one.models) or "nothing"
    left = f", {one.remaining} s left" if one.remaining is not None else ""
    assert f"{state} with {held}{left}" == result, one


@when("a report with {change} is read")
def step_report(context, change):
    """Read a report."""
    content = {
        "models": [{"name": "m", "version": 1, "adapters": ["a3@2", "a4"]}],
        "coming": ["m/a5@1"],
        "busy": False,
        "seq": 4,
        "queued": 1,
        "running": 2,
    }
    if change == "no sequence":
        del content["seq"]
    value, _, field = change.partition(" as its ")
    if field == "sequence":
        content["seq"] = _VALUES[value]
    elif field == "model":
        content["models"][0]["name"] = _VALUES[value]
    elif field == "adapter":
        content["models"][0]["adapters"] = [_VALUES[value]]
    status = 503 if change == "status 503" else 200
    answer = Answer(status, {}, json.dumps(content).encode())
    context.read = _run(lambda: _ADAPTER.orders.read_report(answer))


@then("the report says {result}")
def step_says(context, result):
    """Check the report."""
    if isinstance(context.read, RoadliftError):
        assert context.read.code == result, context.read
        return
    report = context.read
    held = ", ".join(f"{one.model}@{one.version}" for one in report.held)
    arriving = ", ".join(f"{one.model}@{one.version}" for one in report.arriving)
    found = f"{report.sequence} accepted, holds {held}, arriving {arriving}"
    assert found == result, found


@then("an order that is answered {status:d} is {result}")
def step_order_judged(context, status, result):
    """Check the judgement of an order."""
    found = _ADAPTER.orders.classify_order(Answer(status, {}, b""))
    assert found.value == result, found


@then("an order to load carries what the protocol asks for")
def step_order(context):
    """Check the body and the guard of an order."""
    endpoint = Endpoint("i-7", "s", Address("10.0.0.1", 80), "z", 4)
    order = Order(Action.LOAD, Model("m", "a3"), 2, 5, "entry-1", 41)
    request = _ADAPTER.orders.build_order(order, endpoint)
    assert json.loads(request.body) == {
        "op": "load",
        "model": "m",
        "adapter": "a3",
        "version": 2,
        "expected": 5,
        "holder": "entry-1",
        "fence": 41,
    }
    assert request.headers["expect-instance"] == "i-7"


@then("no name of the platform's wire stands outside its folder and the tests")
def step_names(context):
    """Search the sources that git tracks."""
    tracked = subprocess.run(
        ["git", "ls-files", "--cached", "--others", "--exclude-standard", "*.py"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    ).stdout.split()
    allowed = ("platform/", "tests/", "standins/runners.py", "standins/store.py")
    pattern = re.compile(_WIRE_NAMES, re.IGNORECASE)
    found = [
        f"{name}: {match.group()}"
        for name in tracked
        if not name.startswith(allowed) and (ROOT / name).exists()
        for match in pattern.finditer((ROOT / name).read_text())
    ]
    assert found == [], found
    # The search finds the names where they may stand.
    assert pattern.search((ROOT / "platform/adapter/calls.py").read_text())


@then("deploy/requirements.txt lists what pyproject.toml does")
def step_requirements(context):
    """Compare the two lists."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    listed = (ROOT / "deploy/requirements.txt").read_text().split()
    assert listed == project["dependencies"], listed


_EXAMPLE = {
    "node": "entry-a-1",
    "zone": "z1",
    "listen.front": "10.1.0.1:8149",
    "listen.ready": "10.1.0.1:8141",
    "ip": "10.1.0.1",
    "portRange.0": 7380,
    "provider.addr": "10.2.0.1:8142",
    "bounds.leaseMs": 3000,
    "bounds.retryRatio": 0.2,
    "bounds.retrySlack": 52,
    "limits.linkMbps": 1000.0,
    "bounds.retryWindowS": 10,
    "bounds.graceS": 8,
}


_WITH_ORGANISATIONS = {
    **_EXAMPLE,
    "bounds.strictRevoke": True,
    "bounds.revokeMs": 5000,
    "bounds.quotaWindowS": 8,
    "bounds.quotaBurst": 0.1,
    "bounds.quotaSlack": 110000,
}


@when("the template is filled with the values of an example")
def step_fill_example(context):
    """Fill the placeholders as the platform does."""
    _fill_template(context, _EXAMPLE)


@when("the template is filled with the values of an example with organisations")
def step_fill_organisations(context):
    """Fill the placeholders where callers have keys."""
    _fill_template(context, _WITH_ORGANISATIONS)


@then("the setting {name:w} is {value:g}")
def step_setting(context, name, value):
    """Check one setting of the template."""
    assert context.filled[name] == value, context.filled[name]


def _fill_template(context, example):
    text = (ROOT / "deploy/node.json").read_text()
    zones = lambda match: "z1=south,z2=south" if "=" in match[1] else "z1,z2"
    text = re.sub(r"\{\{#zones\}\}(.*)\{\{/zones\}\}", zones, text)
    text = re.sub(
        r"\{\{#([^}]+)\}\}(.*)\{\{/\1\}\}",
        lambda match: match[2] if example.get(match[1]) else "",
        text,
    )

    def fill(match):
        name, _, how = match[1].partition("|")
        value = example[name]
        return json.dumps(value) if how == "json" else str(value)

    context.filled = json.loads(re.sub(r"\{\{([^}]+)\}\}", fill, text))


@then("its settings have no findings")
def step_filled(context):
    """Check the names, and run the checks."""
    known = {setting.name for setting in SETTINGS}
    assert set(context.filled) <= known, set(context.filled) - known
    assert run_checks(Settings(context.filled)) == []
    assert Path(ROOT / context.filled["plugins"]).is_dir()
    # The folder does not hide the standard library's module of its name.
    assert not (ROOT / "platform" / "__init__.py").exists()
    assert "platform" in sys.stdlib_module_names
