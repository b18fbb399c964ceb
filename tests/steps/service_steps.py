"""Steps on the calls of plain services."""

import random

from behave import given, then, when

from benchmarks.services import SERVICE, play
from roadlift.decisions.spread import (
    KEPT_PART,
    ServiceLoad,
    ServiceSpread,
    measure_part,
    share_out,
)
from roadlift.relay.upstream import Address
from roadlift.serving.directory import Endpoint

SEEDS = range(1, 3)
OBJECTIVE = 0.4  # Seconds, of the calls that are refused or not.
HELD = 0.85  # Part of the peak that is to be held at three times the load.


@given("calls to a plain service that are placed by {way}")
def step_way(context, way):
    """Keep the way."""
    context.way = way


@when("{loads} times what can run is asked for")
def step_loads(context, loads):
    """Play each load."""
    texts = loads.replace(" and ", ", ").split(", ")
    context.outcomes = {
        float(text): play(context.way, float(text), SEEDS) for text in texts
    }


@then("the calls served in time a second are {held} within 15 in 100 of their peak")
def step_goodput(context, held):
    """Compare what is served in time at each load with the best."""
    goodput = {load: load * one.in_time for load, one in context.outcomes.items()}
    is_held = min(goodput[load] for load in goodput if load >= 1) >= HELD * max(
        goodput.values()
    )
    assert is_held == (held == "held"), goodput


@then("at least {part:g} of the calls are served in time")
def step_in_time(context, part):
    """Look at the only load."""
    (found,) = context.outcomes.values()
    assert found.in_time >= part, found


@then("at most {part:g} of them go to another zone")
def step_abroad(context, part):
    """Look at the only load."""
    (found,) = context.outcomes.values()
    assert found.abroad <= part, found


def _parse(text):
    pairs = (one.split() for one in text.split(", "))
    return {zone: float(number) for zone, number in pairs}


@given("slots {slots} and calls under way {busy} by zone")
def step_zones(context, slots, busy):
    """Keep both."""
    context.slots, context.busy = _parse(slots), _parse(busy)


@then("the calls of z1 go to {parts}")
def step_parts(context, parts):
    """Compare the parts."""
    found = share_out("z1", context.busy, context.slots)
    expected = _parse(parts)
    assert set(found) == set(expected), found
    for zone, part in expected.items():
        assert abs(found[zone] - part) < 0.01, found


@then(
    "for {count:d} drawn loads of 1 to 5 zones the parts make 1, and fill no zone "
    "beyond the mean"
)
def step_drawn(context, count):
    """Draw slots and loads, and add up where all zones' calls go."""
    rng = random.Random(7)
    for _ in range(count):
        zones = [f"z{number}" for number in range(rng.randint(1, 5))]
        slots = {zone: float(rng.randint(1, 40)) for zone in zones}
        most = 2 * max(slots.values())
        busy = {zone: rng.random() * most for zone in zones}
        placed = dict.fromkeys(zones, 0.0)
        for zone in zones:
            parts = share_out(zone, busy, slots)
            assert abs(sum(parts.values()) - 1.0) < 1e-9, (zone, busy, slots, parts)
            assert min(parts.values()) >= -1e-9, parts
            for other, part in parts.items():
                placed[other] += part * busy[zone]
        mean = sum(busy.values()) / sum(slots.values())
        level = max(mean, KEPT_PART)
        for zone in zones:
            assert placed[zone] <= level * slots[zone] + 1e-6, (busy, slots, placed)


@given(
    "{busy:g} calls under way at {slots:d} slots, "
    "of which {served:g} a second are served"
)
def step_spread(context, busy, slots, served):
    """Keep what is told."""
    context.spread = ServiceSpread("z1", random.Random(3))
    context.load = ServiceLoad(busy, 0.0, served)
    context.endpoints = [Endpoint("e", SERVICE, Address("10.0.0.1", 80), "z1", slots)]


@when("{count:d} calls a second come")
def step_come(context, count):
    """Ask for each."""
    load = context.load._replace(asked=float(count))
    context.spread.note_news({SERVICE: {"z1": load}}, 0.0)
    context.part = measure_part(load, context.endpoints[0].slots, OBJECTIVE)
    context.waits = [
        context.spread.refuse(SERVICE, context.endpoints, OBJECTIVE, 0.1)
        for _ in range(count)
    ]


@then("{refused} of them are refused, to come back in {least:g} to {most:g} seconds")
def step_refused(context, refused, least, most):
    """Count the refusals, and look at the times."""
    waits = [wait for wait in context.waits if wait is not None]
    part = len(waits) / len(context.waits)
    bounds = {"none": (0, 0), "most": (0.6, 0.99), "all": (1, 1)}[refused]
    assert bounds[0] <= part <= bounds[1], part
    assert all(least <= wait <= most for wait in waits), (min(waits), max(waits))
