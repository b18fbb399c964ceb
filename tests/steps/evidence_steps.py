"""Steps on what many instances conclude from few calls each."""

import random
from collections.abc import Iterator
from typing import NamedTuple

from behave import given, then, when

from roadlift.serving.health import Health

_SEED = 1


class _Engine(NamedTuple):
    id: str


def _list_times(rng: random.Random, rate: float, seconds: float) -> Iterator[float]:
    """Return random times at a mean rate."""
    now = rng.expovariate(rate)
    while now < seconds:
        yield now
        now += rng.expovariate(rate)


@given(
    "{instances:d} instances and {engines:d} engines, of which one fails all its calls"
)
def step_failing(context, instances, engines):
    """Make the records of each instance."""
    context.healths = [Health() for _ in range(instances)]
    context.engines = [_Engine(f"e{number}") for number in range(engines)]


@when("they send {rate:d} calls a second in all for {seconds:g} seconds")
def step_send(context, rate, seconds):
    """Send each call from some instance to some usable engine."""
    rng = random.Random(_SEED)
    context.failed_calls = 0
    for now in _list_times(rng, rate, seconds):
        health = rng.choice(context.healths)
        engine = rng.choice(health.list_usable(context.engines, now))
        if engine is context.engines[0]:
            context.failed_calls += 1
            health.record_failure(engine.id, now)
        else:
            health.record_success(engine.id, now)


@then("at most {most:d} calls fail")
def step_failed(context, most):
    """Check how many calls the failing engine got."""
    assert context.failed_calls <= most, f"{context.failed_calls} calls failed"
