"""Steps on the suspicion that no endpoint is reached."""

import random

from behave import then, when

from roadlift.decisions.isolation import ReachSigns, choose_checked
from roadlift.relay.address import Address
from roadlift.serving.directory import Endpoint

_SEEDS = 20


@when('calls show "{signs}"')
def step_signs(context, signs):
    """Replay them; "t" is the time of the question."""
    reach = ReachSigns()
    for sign in signs.split(", "):
        kind, _, text = sign.partition("@")
        at = float(text)
        if kind == "s":
            reach.record_sent(at)
        elif kind == "h":
            reach.record_heard(at)
        elif kind.startswith("f"):
            reach.record_failed(kind, at)
        else:
            context.is_suspicious = reach.is_suspicious(at)


@then("it is suspicious")
def step_suspicious(context):
    """Check the suspicion."""
    assert context.is_suspicious


@then("it is not suspicious")
def step_not_suspicious(context):
    """Check that there is none."""
    assert not context.is_suspicious


@when("{count:d} of {endpoints} are chosen to be checked, with 20 seeds")
def step_choose(context, count, endpoints):
    """Choose once with each seed."""
    known = []
    for group in endpoints.split(", "):
        place, _, number = group.partition(" ")
        zone, _, service = place.partition("/")
        for index in range(int(number)):
            name = f"{place}-{index}"
            known.append(Endpoint(name, service, Address("10.0.0.1", 1), zone, 1))
    context.choices = [
        choose_checked(known, count, random.Random(seed)) for seed in range(_SEEDS)
    ]


@then(
    "each choice has {chosen:d} of them, of {zones:d} zones and {services:d} services"
    " at least"
)
def step_choices(context, chosen, zones, services):
    """Check the spread of each choice."""
    for choice in context.choices:
        assert len({one.id for one in choice}) == len(choice) == chosen, choice
        assert len({one.zone for one in choice}) >= zones, choice
        assert len({one.service for one in choice}) >= services, choice
