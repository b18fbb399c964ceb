"""Steps on what is held for callers, and what yields."""

from behave import given, then, when

from roadlift.core.machine import MEGABYTE
from roadlift.decisions.yielding import (
    Holding,
    HoldingLimits,
    Stage,
    choose_yielding,
    compute_limits,
    judge_answer,
    judge_upload,
)

NOW = 100.0  # Seconds of the clock.
KILOBYTE = 1000
MANY = 1000  # Connections, which are not what the scenarios are about.


@then(
    "{total:d} KB are held for callers at most, {large:d} KB of large calls,"
    " and {connections:d} connections"
)
def step_limits(context, total, large, connections):
    """Check the limits that follow from the machine in the scenario's name."""
    memory = int(context.active_outline["memory"]) * MEGABYTE
    found = compute_limits(memory, int(context.active_outline["descriptors"]))
    assert found == (total * KILOBYTE, large * KILOBYTE, connections), found


def _judge(row) -> Holding[str]:
    """Return what a row of the table holds."""
    key, size = row["key"], int(row["size"])
    if row["kind"] == "upload":
        return judge_upload(key, size, NOW, float(row["began"]), float(row["last"]))
    if row["kind"] == "answer":
        return judge_answer(key, size, NOW, float(row["last"]))
    return Holding(key, Stage.INPUT_BEHIND, -size, size)


@given("connections that hold")
def step_hold(context):
    """Judge what each connection holds."""
    context.holdings = [_judge(row) for row in context.table]


@when("{held:d} bytes are held, of {total:d} in all and {large:d} of large calls")
def step_held(context, held, total, large):
    """Choose what yields."""
    limits = HoldingLimits(total, large, MANY)
    context.yielding = choose_yielding(context.holdings, held, limits)


@then("these yield in turn: {names}")
def step_yield(context, names):
    """Check what yields, in order."""
    found = [holding.key for holding in context.yielding]
    assert (", ".join(found) or "nothing") == names, found
