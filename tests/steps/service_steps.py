"""Steps on the calls of plain services."""

import random

from behave import given, then, when

from benchmarks.services import SERVICE, play
from roadlift.decisions.balancing import (
    LOCAL_FRACTION,
    ServiceBalancer,
    ServiceLoad,
    compute_admitted_fraction,
    compute_zone_fractions,
)
from roadlift.relay.address import Address
from roadlift.serving.directory import Endpoint

SEEDS = range(1, 3)
OBJECTIVE = 0.4  # Objective of the calls that may be refused, in seconds.
HELD = 0.85  # Fraction of the peak that must be held at three times the load.


@given("calls to a plain service that are placed by {way}")
def step_way(context, way):
    """Keep how calls are placed."""
    context.way = way


@when("{loads} times the capacity is requested")
def step_loads(context, loads):
    """Simulate each load."""
    texts = loads.replace(" and ", ", ").split(", ")
    context.outcomes = {
        float(text): play(context.way, float(text), SEEDS) for text in texts
    }


@then("the calls served in time a second are {held} within 15% of their peak")
def step_goodput(context, held):
    """Compare the goodput at each load with the peak."""
    goodput = {load: load * one.in_time for load, one in context.outcomes.items()}
    is_held = min(goodput[load] for load in goodput if load >= 1) >= HELD * max(
        goodput.values()
    )
    assert is_held == (held == "held"), goodput


@then("at least {fraction:g} of the calls are served in time")
def step_in_time(context, fraction):
    """Check the only load."""
    (found,) = context.outcomes.values()
    assert found.in_time >= fraction, found


@then("at most {fraction:g} of them go to another zone")
def step_remote(context, fraction):
    """Check the only load."""
    (found,) = context.outcomes.values()
    assert found.abroad <= fraction, found


def _parse(text):
    pairs = (one.split() for one in text.split(", "))
    return {zone: float(number) for zone, number in pairs}


@given("slots {slots} and calls in progress {busy} by zone")
def step_zones(context, slots, busy):
    """Keep the slots and the calls in progress."""
    context.slots, context.busy = _parse(slots), _parse(busy)


@then("the calls of z1 go to {fractions} where {far} are in other regions")
def step_region_fractions(context, fractions, far):
    """Compare the fractions with zones of several regions."""
    step_fractions(context, fractions, far.split(" and "))


@then("the calls of z1 go to {fractions}")
def step_fractions(context, fractions, far=()):
    """Compare the fractions."""
    found = compute_zone_fractions("z1", context.busy, context.slots, far)
    expected = _parse(fractions)
    assert set(found) == set(expected), found
    for zone, fraction in expected.items():
        assert abs(found[zone] - fraction) < 0.01, found


@then(
    "for {count:d} random loads of 1 to 5 zones the fractions sum to 1, and fill no "
    "zone beyond the mean"
)
def step_random_loads(context, count):
    """Generate slots and loads, and add up where all zones' calls go."""
    rng = random.Random(7)
    for _ in range(count):
        zones = [f"z{number}" for number in range(rng.randint(1, 5))]
        slots = {zone: float(rng.randint(1, 40)) for zone in zones}
        maximum = 2 * max(slots.values())
        busy = {zone: rng.random() * maximum for zone in zones}
        placed = dict.fromkeys(zones, 0.0)
        for zone in zones:
            fractions = compute_zone_fractions(zone, busy, slots)
            assert abs(sum(fractions.values()) - 1.0) < 1e-9, (
                zone,
                busy,
                slots,
                fractions,
            )
            assert min(fractions.values()) >= -1e-9, fractions
            for other, fraction in fractions.items():
                placed[other] += fraction * busy[zone]
        mean = sum(busy.values()) / sum(slots.values())
        level = max(mean, LOCAL_FRACTION)
        for zone in zones:
            assert placed[zone] <= level * slots[zone] + 1e-6, (busy, slots, placed)


@given(
    "{busy:g} calls in progress at {slots:d} slots, "
    "of which {served:g} a second are served"
)
def step_spread(context, busy, slots, served):
    """Keep the load that is reported."""
    context.spread = ServiceBalancer("z1", random.Random(3))
    context.load = ServiceLoad(busy, 0.0, served)
    context.endpoints = [Endpoint("e", SERVICE, Address("10.0.0.1", 80), "z1", slots)]


@when("{count:d} calls a second come")
def step_come(context, count):
    """Check each call for refusal."""
    load = context.load._replace(asked=float(count))
    context.spread.record_update({SERVICE: {"z1": load}}, 0.0)
    context.fraction = compute_admitted_fraction(
        load, context.endpoints[0].slots, OBJECTIVE
    )
    context.waits = [
        context.spread.refuse(SERVICE, context.endpoints, OBJECTIVE, 0.1)
        for _ in range(count)
    ]


@then(
    "{refused} of them are refused, to come back in {minimum:g} to {maximum:g} seconds"
)
def step_refused(context, refused, minimum, maximum):
    """Check the number of refusals and the delays."""
    waits = [wait for wait in context.waits if wait is not None]
    fraction = len(waits) / len(context.waits)
    bounds = {"none": (0, 0), "most": (0.6, 0.99), "all": (1, 1)}[refused]
    assert bounds[0] <= fraction <= bounds[1], fraction
    assert all(minimum <= wait <= maximum for wait in waits), (min(waits), max(waits))
