"""Steps on machines that are suspended."""

import time
from unittest import mock

from behave import given, then, when

from roadlift.core.clock import BootClock
from roadlift.instance.leases import Leases
from tests.support.configuration import BASE


@given("instances whose clock {counts} suspended time")
def step_clock(context, counts):
    """Choose the clock of the instances that are started from now on."""
    context.counts_suspension = counts == "counts"


@when("the owner of z1 is suspended for {seconds:d} seconds while calls need loads")
def step_suspend(context, seconds):
    """Call unloaded adapters before, during and after the suspension."""
    entries = context.entries
    owner = next(
        name
        for name, entry in entries.entries.items()
        if "z1" in entry.kernel.get(Leases).list_held()
    )
    names = sorted(entries.entries)

    def call(number):
        """Call one, and schedule the next."""
        headers = {
            "model": f"{BASE}/x{number}",
            "token-count": "10,20",
            "prompt-prefix": "ab:10",
        }
        name = names[number % len(names)]
        if name in entries.entries:
            entries.call(name, "/stream/1", headers)
        entries.installation.timeline.call_later(0.2, lambda: call(number + 1))

    call(0)
    entries.advance(2.0)
    entries.suspend(owner, seconds)
    entries.advance(5.0)


@then("{orders} orders reach an engine under a lower fence than one before")
def step_fences(context, orders):
    """Compare the fences of the orders to each engine, in order."""
    found = []
    for runner in context.entries.installation.runners.values():
        highest = 0
        for at, order in runner.orders:
            if order["fence"] < highest:
                found.append((runner.id, at, order["fence"], highest))
            highest = max(highest, order["fence"])
    assert bool(found) == (orders == "some"), found


@given("an operating system whose machine was suspended for {seconds:d} seconds")
def step_system(context, seconds):
    """Advance only the clock that counts suspended time."""
    context.clock = BootClock()
    context.before = context.clock.now()
    context.seconds = seconds
    boot = time.clock_gettime(time.CLOCK_BOOTTIME)
    patch = mock.patch(
        "time.clock_gettime",
        lambda which: boot + seconds * (which == time.CLOCK_BOOTTIME),
    )
    patch.start()
    context.add_cleanup(patch.stop)


@then("the clock of the running system has advanced by them")
def step_advanced(context):
    """Read the clock again."""
    assert context.clock.now() - context.before >= context.seconds
