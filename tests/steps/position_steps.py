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
    """Compare two positions, and their packed numbers in messages."""
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


@when("answers have the eras {eras}")
def step_answers(context, eras):
    """Record them in order."""
    context.restores = []
    known = StoreEras()
    known.on_restore.append(context.restores.append)
    context.verdicts = [known.record_era(int(era), "op") for era in eras.split(", ")]


@then("they are {verdicts}")
def step_verdicts(context, verdicts):
    """Compare the verdicts."""
    found = ["valid" if verdict else "ignored" for verdict in context.verdicts]
    assert ", ".join(found) == verdicts, found


@then("the restores are {restores}")
def step_restores(context, restores):
    """Compare the restores."""
    found = [f"{restore.before} to {restore.era}" for restore in context.restores]
    assert (", ".join(found) or "none") == restores, found


@when("the store is restored, and a row of the earlier era is to be written")
def step_write(context):
    """Write with a condition of the earlier era."""
    context.entries = Entries()
    context.add_cleanup(context.entries.close)
    entry = context.entries.start("a", "z1")
    store = adapters.get("platform").open_store(entry.kernel)
    store.eras.record_era(1, "op")
    store.eras.record_era(2, "op")
    context.failures = []
    row = RowWrite("t", "k", b"v", StorePosition(1, 5))
    store.write(row, lambda position, time: None, context.failures.append)
    entry.kernel.loop.run_once()
    context.calls = store.calls


@then("it is a conflict, and no call was made")
def step_conflict(context):
    """Check the failure and the calls."""
    (failure,) = context.failures
    assert isinstance(failure, VersionConflict) and not context.calls, context.calls


@when("the store is restored at {at:g}, and its rows are read at {read:g}")
def step_fresh(context, at, read):
    """Read them once before the restore, and once at a time."""
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
    found = context.rows.list_lost_by_store()
    assert " ".join(row.key for row in found) == keys, found
    assert all(row.value != b"old" for row in found)
