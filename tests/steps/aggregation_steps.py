"""Steps on what an aggregator adds up and forwards."""

import zlib

from behave import given, then, when

from roadlift.core.errors import MalformedMessage
from roadlift.serving.calls import Model
from roadlift.serving.interfaces import StoredRow
from roadlift.serving.members import MemberCalls
from roadlift.serving.operatorrows import (
    MAX_UNPACKED_SIZE,
    OperatorRows,
    pack_row,
    unpack_row,
)
from roadlift.serving.position import FIRST_ERA, StorePosition
from roadlift.serving.usagereports import UsageReports

_MODEL = Model("base", "x")


@when('subscribers report "{reports}"')
def step_report(context, reports):
    """Apply the reports in order, and add up the changes."""
    context.calls, context.running = MemberCalls(), 0
    for words in reports.split(", "):
        member, verb, *rest = words.split()
        changes = []
        if verb == "runs":
            uses = [["e", *_MODEL, 0, int(rest[0])]]
            changes = context.calls.apply_uses(member, "z", uses)
        elif verb == "reads":
            context.calls.note_reading(member, "z", "e", int(rest[0]))
        else:
            changes = context.calls.forget(member)
        context.running += sum(change.change for change in changes)


@then("{running:d} calls run and {tokens:d} tokens are unread in all")
def step_sums(context, running, tokens):
    """Check the sums."""
    found = context.running, context.calls.count_reading("e")
    assert found == (running, tokens), found


@when('calls begin and end as "{calls}"')
def step_calls(context, calls):
    """Count calls at an engine of each zone."""
    context.reports = reports = UsageReports()
    for words in calls.split(", "):
        if words.endswith("begins"):
            reports.note_use(words[:2], "e", _MODEL, 1, 1)
        elif words.endswith("ends"):
            reports.note_use(words[:2], "e", _MODEL, 0, -1)
        elif words == "is reported":
            reports.collect_all(lambda endpoint: 0)
        elif words == "is reported by zone":
            reports.collect("z2", lambda endpoint: 0)
        elif words == "is requested in full":
            reports.request_full_aggregator_report()


@then("the next report to the aggregator is {report}")
def step_next_report(context, report):
    """Check the next report."""
    collected = context.reports.collect_all(lambda endpoint: 0)
    found = [
        f"{zone} begun {begun} running {running}"
        for zone, uses, _ in collected.zones
        for _, _, _, begun, running in uses
    ]
    assert (", ".join(found) or "nothing") == report, found


def _position(version):
    return StorePosition(FIRST_ERA, int(version))


def _make_row(name):
    packed = list(pack_row(StoredRow("k", b"value" * 50, _position(7))))
    if name == "deleted":
        return ["k", 7, None]
    if name == "not packed":
        return ["k", 7, b"value"]
    if name == "truncated":
        return [*packed[:2], packed[2][:-6]]
    if name == "too large":
        return ["k", 7, zlib.compress(bytes(MAX_UNPACKED_SIZE + 1), 1)]
    if name == "a field too few":
        return packed[:2]
    return ["k", 7, 7] if name == "of another type" else packed


@then('the row "{name}" is {verdict}')
def step_row(context, name, verdict):
    """Unpack a row."""
    try:
        row = unpack_row(_make_row(name))
    except MalformedMessage:
        assert verdict == "refused"
        return
    assert verdict == "read" and (row.key, row.position) == ("k", _position(7)), row


@given('the operator\'s rows "{rows}"')
def step_rows(context, rows):
    """Keep rows of keys and versions."""
    context.rows = OperatorRows()
    for words in rows.split(", "):
        key, version = words.split()
        context.rows.put(StoredRow(key, b"v", _position(version)))


@then("those since {version:d} are {newer}")
def step_newer(context, version, newer):
    """Check the keys of the newer rows."""
    found = " ".join(row.key for row in context.rows.list_since(_position(version)))
    assert (found or "nothing") == newer, found
