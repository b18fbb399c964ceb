"""Steps on positions of a store, and on its eras."""

from behave import then, when

from roadlift.core.errors import VersionConflict
from roadlift.organisations.freshness import Freshness
from roadlift.serving.directory import RETURN_GRACE
from roadlift.serving.eras import StoreEras
from roadlift.serving.interfaces import RowWrite, StoredRow, adapters
from roadlift.serving.position import StorePosition
from tests.support.entries import Entries


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


@when("the store has come back, and a row of before is to be written")
def step_write(context):
    """Write under a condition of the era before."""
    context.entries = Entries()
    context.add_cleanup(context.entries.close)
    entry = context.entries.start("a", "z1")
    store = adapters.get("platform").open_store(entry.kernel)
    store.eras.note(1, "op")
    store.eras.note(2, "op")
    context.failures = []
    row = RowWrite("t", "k", b"v", StorePosition(1, 5))
    store.write(row, lambda position, time: None, context.failures.append)
    entry.kernel.loop.run_once()
    context.calls = store.calls


@then("it is a conflict, and no call was made")
def step_conflict(context):
    """Look at the failure, and at the calls."""
    (failure,) = context.failures
    assert isinstance(failure, VersionConflict) and not context.calls, context.calls


@when("the store came back older at {at:g}, and its rows are read at {read:g}")
def step_fresh(context, at, read):
    """Read them once before, and once at a time."""
    context.freshness = Freshness()
    context.freshness.record_read(10.0)
    context.freshness.record_store_return(at + RETURN_GRACE)
    context.freshness.record_read(read)


@then("all rows are known as of {known:g}")
def step_known(context, known):
    """Compare the time."""
    assert context.freshness.known_at == known, context.freshness.known_at


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
