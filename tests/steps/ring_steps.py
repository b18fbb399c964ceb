"""Steps on the rings by which engines are ranked."""

from unittest import mock

from behave import then, when

from roadlift.policy.placement import RingPlacer
from roadlift.relay.address import Address
from roadlift.serving import selection
from roadlift.serving.calls import Model
from roadlift.serving.directory import Endpoint

_MODEL = Model("base", "x")
_ENGINES = [
    Endpoint(f"e{number}", "llm", Address("10.0.0.1", 80), "z1", 8)
    for number in range(6)
]


@when("{calls:d} calls rank {sets:d} sets of engines in turn")
def step_rank(context, calls, sets):
    """Rank them, and count the rings."""
    preferred = selection.PreferredEndpoints()
    context.ranks = []
    with mock.patch.object(selection, "RingPlacer", wraps=RingPlacer) as built:
        for number in range(calls):
            engines = _ENGINES[number % sets :]
            ranked = preferred.rank("llm", engines, _MODEL, 3)
            context.ranks.append((engines, [one.id for one in ranked]))
    context.built = built.call_count


@then("{rings:d} rings were built, and each rank is that of a new one")
def step_rings(context, rings):
    """Compare."""
    assert context.built == rings, context.built
    for engines, ranked in context.ranks:
        names = tuple(sorted(one.id for one in engines))
        assert ranked == list(RingPlacer(names).rank(str(_MODEL), 3)), names
