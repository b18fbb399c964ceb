"""Steps on leases, as histories of two instances."""

import re

import msgpack
from behave import given, then, when

from roadlift.core.errors import MalformedMessage
from roadlift.serving.interfaces import StoreTime
from roadlift.serving.lease import NO_ERA, Lease, LeaseRecord
from roadlift.serving.position import FIRST_ERA, StorePosition

# A capital letter stands for an earlier process of the instance.
_READ = re.compile(
    r"reads ([abAB])(\d+)( released)?(?: written at (-?[\d.]+))?"
    r"(?: with orders from (-?[\d.]+))?(?: after ([abc]) until (-?[\d.]+))?"
    r"(?: of era (\d+))?"
)
_LEASE_TIME = 2.0  # Seconds.


@given("instances a and b with a quiet time of {quiet:d} seconds")
def step_instances(context, quiet):
    """Make two instances' views of one lease."""
    context.leases = {
        name: Lease(name, f"{name}:1", _LEASE_TIME, quiet) for name in "ab"
    }
    context.versions = dict.fromkeys("ab", 0)
    context.eras = dict.fromkeys("ab", FIRST_ERA)


def _make_record(read):
    written_at = None if read[4] is None else float(read[4])
    orders_from = None if read[5] is None else float(read[5])
    former = [(f"{read[6]}:1", float(read[7]))] if read[6] else []
    address = f"{read[1].lower()}:1"
    is_released = bool(read[3])
    era = NO_ERA if read[8] is None else int(read[8])
    first = NO_ERA if read[8] is None else FIRST_ERA
    return LeaseRecord(
        read[1], address, written_at, is_released, orders_from, former, era, first
    )


def _position(context, name, version):
    return StorePosition(context.eras[name], int(version))


def _apply(context, at, name, did):
    lease = context.leases[name]
    record = LeaseRecord(name, f"{name}:1", era=lease.era)
    read = _READ.fullmatch(did)
    if did == "knows nothing":
        return
    if did == "reads nothing":
        lease.record_read(_position(context, name, 0), None, at)
    elif read:
        found = _make_record(read)
        # The store's clock equals the test's clock. It was read half a second
        # before the answer: the transit time of the answer.
        lease.record_time(StoreTime(at - 0.5, at - 0.6, at))
        context.versions[name] = int(read[2])
        lease.record_read(_position(context, name, read[2]), found, at)
    elif did.startswith("sees era "):
        context.eras[name] = int(did.rpartition(" ")[2])
        lease.record_era(context.eras[name], at)
    elif did == "sends":
        context.sent = lease.send(at)
    elif did.startswith("is written as "):
        context.versions[name] = int(did.rpartition(" ")[2])
        lease.record_written(
            _position(context, name, context.versions[name]), record, at
        )
    elif did == "is written":
        context.versions[name] += 1
        lease.record_written(
            _position(context, name, context.versions[name]), record, at
        )
    elif did == "is unconfirmed":
        lease.record_unconfirmed()
    elif did == "conflicts":
        lease.record_conflict()
    elif did == "releases":
        assert lease.release(at).is_released
    else:
        raise AssertionError(did)


@when('it happens that "{history}"')
def step_history(context, history):
    """Apply the steps of a history."""
    for step in history.split(", "):
        at, name, did = step.split(" ", 2)
        _apply(context, float(at), name, did)


@then("at {at:g} orders may be given by {who}")
def step_orders(context, at, who):
    """Check which instances may give orders."""
    found = [name for name, lease in context.leases.items() if lease.may_order(at)]
    assert found == ([] if who == "nobody" else [who]), found


@then("at {at:g} the next step of {who} is {step}")
def step_next(context, at, who, step):
    """Check what an instance does next."""
    found = context.leases[who].choose_step(at)
    assert found.value == step, found


@then("the fencing number of a is {fence:d}")
def step_fence(context, fence):
    """Check the number of the term."""
    assert context.leases["a"].fence == fence


@when("a lease's row holds {what}")
def step_row(context, what):
    """Decode a row."""
    rows = {
        "a record": LeaseRecord("a#1", "127.0.0.1:1").encode(),
        "no bytes": b"",
        "text": b"hello",
        "two fields": msgpack.packb(["a", "b"]),
        "a list without times": msgpack.packb(["a", "b", 1.0, False, 1.0, ["c"]]),
        "a text as its list": msgpack.packb(["a", "b", 1.0, False, 1.0, "cd"]),
    }
    try:
        context.result = LeaseRecord.decode(rows[what])
    except MalformedMessage as error:
        context.result = error


@then("the row is {result}")
def step_result(context, result):
    """Check whether the row was read."""
    is_read = isinstance(context.result, LeaseRecord)
    assert is_read == (result == "read"), context.result


@then('the row that is sent lists "{former}" as previous holders')
def step_former(context, former):
    """Check the previous holders in the row of a new holder."""
    found = " ".join(f"{address[0]}@{at:g}" for address, at in context.sent.former)
    assert found == former.replace("nobody", ""), found


@then("the fencing number of {name} is {version:d} of era {era:d}")
def step_fence_of_era(context, name, version, era):
    """Check the number of the term."""
    fence = StorePosition.unpack(context.leases[name].fence)
    assert fence == StorePosition(era, version), fence


@then("{name} considers {holder} the holder")
def step_holder(context, name, holder):
    """Check which instance is considered the holder."""
    found = context.leases[name].holder
    assert (found.process if found else "nobody") == holder, found


@when("a record of era {era:d} is written and read")
def step_mark(context, era):
    """Encode a record, and read it as this and the previous release do."""
    record = LeaseRecord("a#1", "127.0.0.1:1", era=era, first_era=3)
    context.record = LeaseRecord.decode(record.encode())
    context.fields = msgpack.unpackb(record.encode())


@then("it is of era {era:d}, and has the {count:d} fields of the previous release")
def step_marked(context, era, count):
    """Check what was read."""
    found = context.record
    assert (found.first_era, found.era, found.process) == (3, era, "a#1"), found
    assert len(context.fields) == count, context.fields
