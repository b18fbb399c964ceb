"""Steps on the record of one engine."""

from behave import given, then, when

from roadlift.decisions.urgency import Urgency
from roadlift.serving.calls import Model
from roadlift.serving.engine import (
    ALL_ADAPTERS,
    MAX_FAILED_POLLS,
    MAX_POLL_INTERVAL,
    MAX_QUEUED_LOADS,
    MAX_RESENDS,
    EngineRecord,
)
from roadlift.serving.loads import BaseLoadLimiter, LoadTimes
from roadlift.serving.orders import EngineReport, HeldAdapter, OrderResult

_BASE = "base"


def _model(name):
    return Model(_BASE, name)


def _report(bases=(_BASE,), held=(), arriving=()):
    return EngineReport(
        sequence=0,
        bases=bases,
        held=tuple(HeldAdapter(_model(name), 1) for name in held),
        arriving=tuple(HeldAdapter(_model(name), 0) for name in arriving),
        is_busy=False,
        running=0,
        waiting=0,
    )


@given("the record of an engine with 2 slots that has its base model loaded")
def step_record(context):
    """Make a record that has read its engine's report."""
    context.times = LoadTimes()
    context.base_loads = BaseLoadLimiter(1.0)
    context.record = EngineRecord(2, (_BASE,), context.times, context.base_loads)
    context.record.apply_report(_report(), 0.0)
    context.first_changes = list(context.record.changes)
    # The owner has sent that the updates of earlier owners are void.
    context.record.changes.clear()


def _apply(context, at, did):
    record = context.record
    words = did.split()
    results = {result.value: result for result in OrderResult}
    if did in results:
        record.record_result(context.plan, results[did], at)
    elif did == "orders":
        context.plan = record.plan(at)
        assert context.plan is not None
    elif did == "resends fail up to the limit":
        for _ in range(MAX_RESENDS + 1):
            context.plan = record.plan(at)
            record.record_result(context.plan, OrderResult.UNKNOWN, at)
    elif did == "polls fail up to the limit":
        for number in range(MAX_FAILED_POLLS + 1):
            context.plan = record.plan(at + number * MAX_POLL_INTERVAL)
            assert context.plan.is_poll
            result = (OrderResult.UNKNOWN, OrderResult.CONFLICT)[number % 2]
            record.record_result(context.plan, result, at + number * MAX_POLL_INTERVAL)
    elif words[0] == "requests":
        least = int(words[3]) if "at" in words else 0
        priority = 0 if "urgently" in words else 1
        slack = -1.0 if "late" in words else 0.0
        record.request_load(_model(words[1]), least, Urgency(priority, slack), at)
    elif did == "fails":
        record.record_failed_report(at)
    elif did.startswith("is refused"):
        assert not record.request_load(_model(words[-1]), 0, Urgency(1), at)
    elif words[0] == "used":
        record.record_use(_model(words[1]), 1, at)
    elif words[0] == "runs":
        record.usage.record_running("i", _model(words[1]), 1)
    elif words[0] == "retires":
        record.retire(_model(words[1]), int(words[3]))
    elif words[0] == "misses":
        record.record_missing(_model(words[1]))
    elif did == "holds a and b":
        record.apply_report(_report(held=("a", "b")), at)
    elif did == "holds b with a arriving":
        record.apply_report(_report(held=("b",), arriving=("a",)), at)
    elif did == "reports nothing":
        record.apply_report(_report(), at)
    elif did == "reports a arriving":
        record.apply_report(_report(arriving=("a",)), at)
    elif did == "a report is due":
        assert record.start_load_check(at)
    elif did == "shows a and b":
        record.record_loaded(_report(held=("a", "b")), at)
    elif did == "another engine loads its base":
        assert context.base_loads.acquire(at)
    elif did == "reports no base":
        record.apply_report(_report(bases=()), at)
    else:
        assert did == "nothing", did


@when('the history of the engine is "{history}"')
def step_history(context, history):
    """Apply the steps of a history."""
    for step in history.split(", "):
        at, _, did = step.partition(" ")
        _apply(context, float(at), did)


@when("the next order at {at:g} is planned")
def step_plan(context, at):
    """Plan the next order."""
    context.plan = context.record.plan(at)


@then("the next order at {at:g} is {order}")
def step_next(context, at, order):
    """Check the next order."""
    plan = context.record.plan(at)
    if plan is None:
        found = "none"
    else:
        name = plan.model.adapter or "the base"
        version = f" at {plan.version}" if (plan.version or 0) > 1 else ""
        again = " again" if plan.is_poll else ""
        found = f"{plan.action} {name}{version}{again}"
    assert found == order, found


@then("these are denied: {names}")
def step_these_denied(context, names):
    """Check the adapters that were denied so far."""
    found = " ".join(denied.model.adapter for denied in context.record.denied)
    assert (found or "nothing") == names, found


@then("the sequence is {sequence:d}")
def step_sequence(context, sequence):
    """Check the count of accepted orders."""
    assert context.record.sequence == sequence, context.record.sequence


@then('the changes are "{changes}"')
def step_changes(context, changes):
    """Check the changes for the subscribers."""
    found = [
        ("-" if version < 0 else "+") + model.adapter
        for model, version in context.record.changes
    ]
    expected = changes.split()
    assert sorted(found) == sorted(expected), found


@then('the changes are ""')
def step_no_changes(context):
    """Check that there are no changes."""
    assert context.record.changes == []


@then("the first report voids all earlier updates, once")
def step_voided(context):
    """Check the change by the first report, and that a second has none."""
    assert context.first_changes == [(ALL_ADAPTERS, -1)], context.first_changes
    context.record.apply_report(_report(), 1.0)
    assert context.record.changes == [], context.record.changes


@then("nothing is denied")
def step_none_denied(context):
    """Check that no adapter was denied."""
    assert not context.record.denied, context.record.denied


@then("{name} is denied")
def step_denied(context, name):
    """Check which adapter was denied."""
    denied = [denial.model for denial in context.record.denied]
    assert denied == [_model(name)], denied


@when("{count:d} adapters are requested")
def step_many(context, count):
    """Request as many as the queue may have."""
    assert count == MAX_QUEUED_LOADS
    for index in range(count):
        assert context.record.request_load(_model(f"x{index}"), 0, Urgency(1), 0.0)


@then("another one is refused")
def step_refused(context):
    """Check the limit of the queue."""
    assert not context.record.request_load(_model("y"), 0, Urgency(0), 0.0)


@then("a more urgent request for a queued adapter is accepted")
def step_urgent(context):
    """Check that the request of a queued adapter is renewed."""
    assert context.record.request_load(_model("x5"), 0, Urgency(0), 0.0)
    assert context.record.plan(0.0).model == _model("x5")


@when('loads are found done after "{found}"')
def step_loads(context, found):
    """Record load times."""
    for load in found.split(", "):
        seconds, _, how = load.partition(" ")
        polls = 1 if how == "at once" else int(how.split()[1])
        context.times.record(False, float(seconds), polls)


@when('loads are found done after ""')
def step_no_loads(context):
    """Record no load times."""


@then("the first poll of the next load is after {first:g} seconds")
def step_first(context, first):
    """Check when the next load is first polled."""
    found = context.times.estimate(False)
    assert abs(found - first) < 1e-9, found


@then("nothing is ordered")
def step_nothing(context):
    """Check that no order was due."""
    assert context.plan is None, context.plan


@then('at {at:g} a report {is_read}, and the changes are "{changes}"')
def step_peek(context, at, is_read, changes):
    """Check whether a report is due, and the changes for subscribers."""
    assert context.record.start_load_check(at) == (is_read == "is read"), is_read
    step_changes(context, changes)


@then('at {at:g} a report {is_read}, and the changes are ""')
def step_peek_no_changes(context, at, is_read):
    """Check whether a report is due, and that there are no changes."""
    assert context.record.start_load_check(at) == (is_read == "is read"), is_read
    assert context.record.changes == [], context.record.changes
