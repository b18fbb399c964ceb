"""Steps on an owner's updates."""

from behave import given, then, when

from roadlift.serving.updatelog import (
    Change,
    UpdateLog,
    pack_changes,
    unpack_changes,
)


def _change(number):
    return Change("e", "base", f"x{number}", 1)


@given("an owner that has sent {count:d} updates")
def step_log(context, count):
    """Send updates of one change each."""
    context.log = UpdateLog()
    for number in range(1, count + 1):
        assert context.log.add([_change(number)]) == number - 1


@when("a subscriber that knows {known} and {lacks} reports so at {times} seconds")
def step_report(context, known, lacks, times):
    """Choose what to send it each time."""
    serial = None if known == "another owner" else int(known)
    is_lacking = lacks == "lacks some"
    context.sent = [
        context.log.choose("i", serial, is_lacking, float(at)).value
        for at in times.split()
    ]


@then("it is sent {sent}")
def step_sent(context, sent):
    """Check what it was sent."""
    assert context.sent == sent.split(), context.sent


@then(
    "after update {known:d} there are the changes of updates {first:d} and {second:d}"
)
def step_since(context, known, first, second):
    """Check the changes and their order."""
    found = context.log.list_since(known)
    assert found == [_change(first), _change(second)], found


def _read_change(text):
    name, _, version = text.partition("=")
    endpoint, _, adapter = name.partition("/")
    return Change(endpoint, "base" if adapter else "", adapter, int(version))


@when('the changes "{changes}" are packed')
def step_pack(context, changes):
    """Pack changes."""
    context.packed = pack_changes(map(_read_change, changes.split()))


@when('the changes "" are packed')
def step_pack_none(context):
    """Pack nothing."""
    context.packed = pack_changes([])


@then('{count:d} lists are sent, with the changes "{sent}"')
def step_packed(context, count, sent):
    """Check the size, and what a receiver unpacks."""
    assert len(context.packed) == count, context.packed
    found = list(unpack_changes(context.packed))
    assert found == [_read_change(change) for change in sent.split()], found


@then('{count:d} lists are sent, with the changes ""')
def step_packed_none(context, count):
    """Check that nothing is sent."""
    assert context.packed == []
