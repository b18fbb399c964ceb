"""Steps on positions of a store, and on its eras."""

from behave import then, when

from roadlift.serving.eras import StoreEras
from roadlift.serving.interfaces import StoredRow
from roadlift.serving.position import StorePosition


def _read(text):
    return StorePosition(*map(int, text.split()))


@then("the position {first} is before {second}, also as numbers")
def step_before(context, first, second):
    """Compare two positions, and what instances tell each other of them."""
    first, second = _read(first), _read(second)
    assert first < second and first.pack() < second.pack()
    assert StorePosition.unpack(first.pack()) == first
    assert StorePosition.unpack(second.pack()) == second


@then("the position {text} can't be compared with {number:d}")
def step_number(context, text, number):
    """Compare a position with a version alone."""
    try:
        assert _read(text) < number
    except TypeError:
        return
    raise AssertionError("they were compared")


@when("answers tell the eras {eras}")
def step_answers(context, eras):
    """Learn of them in order."""
    context.returns = []
    known = StoreEras()
    known.on_return.append(context.returns.append)
    context.verdicts = [known.note(int(era), "op") for era in eras.split(", ")]


@then("they are {verdicts}")
def step_verdicts(context, verdicts):
    """Compare the verdicts."""
    found = ["sound" if verdict else "void" for verdict in context.verdicts]
    assert ", ".join(found) == verdicts, found


@then("{returns} are told")
def step_returns(context, returns):
    """Compare the returns."""
    found = [f"{one.before} to {one.era}" for one in context.returns]
    assert (", ".join(found) or "no returns") == returns, found


@when(
    'the store\'s row "{key}" is older than what is in force, at {version:d} of era'
    " {era:d}"
)
def step_older(context, key, version, era):
    """Read an older state of a row at a newer position."""
    context.rows.keep(StoredRow(key, b"old", StorePosition(era, version)))


@then("the rows that the store lacks are {keys}")
def step_ahead(context, keys):
    """Compare the keys."""
    found = context.rows.list_ahead()
    assert " ".join(row.key for row in found) == keys, found
    assert all(row.value != b"old" for row in found)
