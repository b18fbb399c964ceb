"""Steps on the ledger of an endpoint's slots."""

import re

from behave import given, then, when

from roadlift.decisions.slots import (
    SETTLING_TIME,
    SlotClaim,
    SlotLedger,
    compute_unowned_share,
)

_CLAIM = re.compile(r"([\d.]+) (\w) (!?)(\d+)\+(\d+)(#*)")


@given("an endpoint of {slots:d} slots that bears {bears:d} rejections a second")
def step_ledger(context, slots, bears):
    """Begin a term at 0."""
    context.ledger = SlotLedger(slots, bears, SETTLING_TIME, 0.0)


@when("instances claim: {claims}")
def step_claim(context, claims):
    """Apply claims; one with a mark was made before the last grant."""
    context.held = {}
    serials = {}
    for text in claims.split(", "):
        at, name, mark, granted, wanted, rejected = _CLAIM.fullmatch(text).groups()
        now = float(at)
        serial = 0 if mark else serials.get(name, 0)
        claim = SlotClaim(name, serial, int(granted), int(wanted), len(rejected), 0.4)
        context.ledger.claim(claim, now)
        for other in {name, *context.ledger.allocate(1.0, now)}:
            lease = context.ledger.describe(other, 1.0, now)
            context.held[other] = lease.granted
            serials[other] = lease.serial


@then("they hold {held}")
def step_held(context, held):
    """Compare what each was granted last, of those that still count."""
    expected = dict((text[0], int(text[1:])) for text in held.split())
    found = {name: context.held[name] for name in expected}
    assert found == expected, context.held


@then(
    "their shares of {slots:d} slots for {instances:d} instances are {least:d} to"
    " {most:d} together"
)
def step_shares(context, slots, instances, least, most):
    """Add the shares up, of instances whose ranks are spread evenly."""
    ranks = [(number + 0.5) / instances for number in range(instances)]
    total = sum(compute_unowned_share(slots, instances, rank) for rank in ranks)
    assert least <= total <= most, total
