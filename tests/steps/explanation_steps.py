"""Steps on the explanation of requests from logs, and on the events."""

import ast
import json

from behave import given, then, when

from demo.fleet import ROOT
from roadlift.core.errors import RequestUnknown
from roadlift.core.events import EVENTS
from roadlift.explanation.adapters import find_unserved
from roadlift.explanation.lines import read_lines
from roadlift.explanation.story import tell_story

_STEP_SEPARATOR = " | "


def _read_value(text):
    try:
        return float(text)
    except ValueError:
        return text


def _read_fields(words):
    pairs = (word.split("=", 1) for word in words)
    return {name: _read_value(value) for name, value in pairs}


def _read_step(text):
    head, *words = text.split()
    name, at = head.split("@")
    return {"at": float(at), "step": name, **_read_fields(words)}


def _make_line(text):
    """Return a line of a log as JSON."""
    head, _, steps = text.partition(_STEP_SEPARATOR)
    at, instance, name, *words = head.split()
    content = {
        "time": float(at),
        "instance": instance,
        "event": name,
        **_read_fields(words),
    }
    if "models" in content:
        content["models"] = content["models"].replace(",", " ")
    if steps:
        content["steps"] = [_read_step(one) for one in steps.split(", ")]
    return json.dumps(content)


@given("the log lines")
def step_lines(context):
    """Make a log."""
    texts = context.text.replace(" ; ", "\n").split("\n")
    lines = [_make_line(text) for text in texts if text.strip()]
    context.log = read_lines([("f", lines)])
    assert not context.log.bad_count


@when("request {request} is explained")
def step_explain(context, request):
    """Tell its story."""
    try:
        context.story = tell_story(context.log, request)
    except RequestUnknown as error:
        context.story = error


@then("its outcome is {outcome}")
def step_outcome(context, outcome):
    """Check what became of it."""
    assert context.story.outcome == outcome, context.story


@then('a cause is "{cause}"')
def step_cause(context, cause):
    """Check why."""
    assert cause in context.story.causes, context.story.causes


@then('the story is "{names}"')
def step_story(context, names):
    """Check the events and their order."""
    found = [event.text.split()[0] for event in context.story.events]
    assert found == names.split(", "), found


@then("it is said to be unknown")
def step_unknown(context):
    """Check the typed error."""
    assert isinstance(context.story, RequestUnknown), context.story


@when("the unserved adapters are looked for with {calls:d} calls over {span:d} seconds")
def step_unserved(context, calls, span):
    """Look for adapters that were never served."""
    context.census = find_unserved(context.log, calls, span)


@then("{count:d} of {asked:d}: {names} are found")
def step_found(context, count, asked, names):
    """Check the adapters, and how many were asked for."""
    found = [one.model for one in context.census.unserved]
    assert found == ([] if names == "none" else names.split(", ")), found
    assert (len(found), context.census.asked) == (count, asked), context.census


def _list_counts(counts):
    return "; ".join(sorted(f"{count} {name}" for name, count in counts.items()))


@then('its calls ended by "{endings}"')
def step_endings(context, endings):
    """Check why its calls ended."""
    (one,) = context.census.unserved
    assert _list_counts(one.endings) == endings, one.endings


@then('its loads were denied by "{reasons}" at "{endpoints}"')
def step_denials(context, reasons, endpoints):
    """Check why its loads were denied, and where."""
    (one,) = context.census.unserved
    assert _list_counts(one.denials) == reasons, one.denials
    assert _list_counts(one.endpoints) == endpoints, one.endpoints


@when("the text {text} is read as a log")
def step_read(context, text):
    """Read one line."""
    context.log = read_lines([("f", [text])])


@then("it holds {good:d} events, and {bad:d} bad lines")
def step_held(context, good, bad):
    """Check the counts, and that bad lines are named."""
    assert len(context.log.lines) == good, context.log
    assert context.log.bad_count == bad, context.log
    assert context.log.bad == ["f:1"] * bad


def _list_names(node):
    """Return the names that the first argument of a call may have."""
    if isinstance(node, ast.IfExp):
        return _list_names(node.body) + _list_names(node.orelse)
    assert isinstance(node, ast.Constant), ast.unparse(node)
    return [node.value]


def _list_logged():
    """Return the fields by (part, event) as the code logs them."""
    found = {}
    folders = (ROOT / "roadlift", ROOT / "platform")
    for path in sorted(path for one in folders for path in one.rglob("*.py")):
        tree = ast.parse(path.read_text())
        part = _find_part(tree)
        for node in ast.walk(tree):
            if not isinstance(node, ast.Call):
                continue
            called = ast.unparse(node.func)
            keywords = {one.arg for one in node.keywords} - {None}
            if called == "log.event":
                for name in _list_names(node.args[0]):
                    found.setdefault((part, name), set()).update(keywords)
            elif called.endswith(".log_end"):
                call_ended = found.setdefault(("ingress", "call_ended"), set())
                call_ended.update(keywords | {"one_in"})
    return found


def _find_part(tree):
    for node in tree.body:
        if isinstance(node, ast.Assign) and ast.unparse(node.targets[0]) == "log":
            return node.value.args[0].value
    return None


@then("each event that the code logs stands in the catalogue with its fields")
def step_catalogue(context):
    """Compare both ways."""
    wanted = {(one.part, one.name): set(one.fields) for one in EVENTS}
    found = _list_logged()
    assert found == wanted, {
        key: (found.get(key), wanted.get(key))
        for key in found.keys() | wanted.keys()
        if found.get(key) != wanted.get(key)
    }
