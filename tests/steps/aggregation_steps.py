"""Steps on what an aggregator adds up and passes on."""

import zlib

from behave import given, then, when

from roadlift.core.errors import MalformedMessage
from roadlift.serving.calls import Model
from roadlift.serving.interfaces import StoredRow
from roadlift.serving.members import MemberCalls
from roadlift.serving.operatorrows import (
    MOST_UNPACKED,
    OperatorRows,
    pack_row,
    unpack_row,
)
from roadlift.serving.position import FIRST_ERA, StorePosition
from roadlift.serving.telling import Tellings

_MODEL = Model("base", "x")


@when('subscribers tell "{tellings}"')
def step_tell(context, tellings):
    """Take the tellings in order, and add up what changed."""
    context.calls, context.running = MemberCalls(), 0
    for words in tellings.split(", "):
        member, verb, *rest = words.split()
        changes = []
        if verb == "runs":
            uses = [["e", *_MODEL, 0, int(rest[0])]]
            changes = context.calls.note_uses(member, "z", uses)
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
    context.tellings = tellings = Tellings()
    for words in calls.split(", "):
        if words.endswith("begins"):
            tellings.note_use(words[:2], "e", _MODEL, 1, 1)
        elif words.endswith("ends"):
            tellings.note_use(words[:2], "e", _MODEL, 0, -1)
        elif words == "is told":
            tellings.collect_all(lambda endpoint: 0)
        elif words == "is told by zone":
            tellings.collect("z2", lambda endpoint: 0)
        elif words == "is doubted":
            tellings.doubt_aggregator()


@then("the aggregator is told {told}")
def step_told(context, told):
    """Check the next telling."""
    telling = context.tellings.collect_all(lambda endpoint: 0)
    found = [
        f"{zone} begun {begun} running {running}"
        for zone, uses, _ in telling.zones
        for _, _, _, begun, running in uses
    ]
    assert (", ".join(found) or "nothing") == told, found


def _place(version):
    return StorePosition(FIRST_ERA, int(version))


def _make_row(name):
    packed = list(pack_row(StoredRow("k", b"value" * 50, _place(7))))
    if name == "deleted":
        return ["k", 7, None]
    if name == "not packed":
        return ["k", 7, b"value"]
    if name == "cut":
        return [*packed[:2], packed[2][:-6]]
    if name == "too large":
        return ["k", 7, zlib.compress(bytes(MOST_UNPACKED + 1), 1)]
    if name == "a field too few":
        return packed[:2]
    return ["k", 7, 7] if name == "of another type" else packed


@then('the row "{name}" is {verdict}')
def step_row(context, name, verdict):
    """Read a row as it is passed on."""
    try:
        row = unpack_row(_make_row(name))
    except MalformedMessage:
        assert verdict == "refused"
        return
    assert verdict == "read" and (row.key, row.position) == ("k", _place(7)), row


@given('the operator\'s rows "{rows}"')
def step_rows(context, rows):
    """Keep rows of keys and versions."""
    context.rows = OperatorRows()
    for words in rows.split(", "):
        key, version = words.split()
        context.rows.put(StoredRow(key, b"v", _place(version)))


@then("those since {version:d} are {newer}")
def step_newer(context, version, newer):
    """Check the keys of the newer rows."""
    found = " ".join(row.key for row in context.rows.list_since(_place(version)))
    assert (found or "nothing") == newer, found
