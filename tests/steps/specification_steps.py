"""Steps on the specifications and the replay."""

from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack
from unittest.mock import patch

from behave import given, then, when

from roadlift.ownership import record as book_module
from roadlift.ownership.copies import CopyState
from roadlift.ownership.record import EndpointRecord
from roadlift.pins.table import HeldPin, PinTable
from specification.explore import OWNERSHIP_LIMITS, WORKERS, explore, judge, list_jobs
from tests.support.replay import replay_walks

_real = {
    "accept": PinTable.accept,
    "open": EndpointRecord.open,
    "reconcile": EndpointRecord.reconcile,
}


def _accept_any(table, grant, now):
    pin = _real["accept"](table, grant, now)
    if pin is None:
        key = (grant.endpoint, grant.copy)
        pin = table._pins[key] = HeldPin(grant, "x@1", now)
    return pin


def _give_back_any(table, endpoint, copy):
    pin = table._pins.get((endpoint, copy))
    return table._release_pin(pin) if pin else None


def _adopt_listed(book, names, asked_at, now):
    _real["reconcile"](book, names, asked_at, now)
    for copy in book.copies.values():
        if copy.epoch < book.epoch and copy.state is CopyState.UNLOADING:
            copy.enter(CopyState.READY, now)


def _stay(book, names, asked_at, now):
    _real["reconcile"](book, names, asked_at, now)
    book.is_superseded = False


def _overwrite(pins, holder, said):
    pins[holder] = said


BREAKS = {
    "evict_unpinned": (
        EndpointRecord,
        "may_evict",
        lambda book, copy: copy.epoch == book.epoch or not book.unproven,
    ),
    "evict_proven": (EndpointRecord, "may_evict", lambda book, copy: not copy.pins),
    "adopt_fenced": (
        EndpointRecord,
        "may_serve",
        lambda book, copy: copy.state is CopyState.READY,
    ),
    "accept_asked": (PinTable, "accept", _accept_any),
    "return_idle": (PinTable, "recall", _give_back_any),
    "yield_certain": (EndpointRecord, "yield_epoch", lambda book: [book.epoch]),
    "adopt_once": (EndpointRecord, "reconcile", _adopt_listed),
    "step_down": (EndpointRecord, "reconcile", _stay),
    "newest_pin": (book_module, "note_pin", _overwrite),
}


@given('the code breaks the rule "{rule}"')
def step_break_rule(context, rule):
    """Break one rule of the code for this scenario."""
    context.broken = BREAKS[rule]


@when('{walks:d} walks of "{limits}" with {kind} endpoints are replayed')
def step_replay(context, walks, limits, kind):
    """Replay walks, with the broken rule where there is one."""
    broken = getattr(context, "broken", None)
    context.difference = None
    with ExitStack() as stack:
        if broken is not None:
            stack.enter_context(patch.object(*broken))
        try:
            context.counts = replay_walks(
                kind == "fencing", OWNERSHIP_LIMITS[limits], walks, seed=7
            )
        except (AssertionError, KeyError) as error:
            context.difference = error


@then("every step agreed and at least {steps:d} steps were compared")
def step_agreed(context, steps):
    """Check that nothing differed and that enough was compared."""
    assert context.difference is None, context.difference
    assert context.counts["steps"] >= steps, context.counts


@then("the replay noticed a difference")
def step_noticed(context):
    """Check that the broken rule showed."""
    assert context.difference is not None


@when("the specifications are explored")
def step_explore(context):
    """Explore everything that make model explores."""
    context.jobs = list_jobs()
    with ProcessPoolExecutor(WORKERS) as pool:
        context.results = list(pool.map(explore, context.jobs))


@then("each was explored to its end with no invariant broken")
def step_whole(context):
    """Check the explorations with all rules."""
    for job, result in zip(context.jobs, context.results, strict=True):
        assert job.without or not judge(job, result), (job, result)


@then("the loss of each rule broke an invariant")
def step_lost(context):
    """Check the explorations with a rule removed."""
    lost = [
        (job, result)
        for job, result in zip(context.jobs, context.results, strict=True)
        if job.without
    ]
    assert len(lost) >= 21
    for job, result in lost:
        assert result.broken, job
