"""Decide which adapter gets a further copy, and at which engine.

Load pattern: few of thousands of adapters get most of the calls, and which
ones they are changes within seconds. An engine that holds one of them gets
several times the prompts of others, and stalls all streams that run there,
while a call that weighs its own wait alone never finds a load elsewhere worth
it. Therefore the owner of an engine that is much fuller than others has the
adapter that causes most of it loaded at one that is not, before calls need it.
Owners see the calls of all instances, and one of them decides for each engine,
so that not every instance requests a copy.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from roadlift.serving.calls import Model

# Fill from which an engine's streams begin to pause: the prompts of a burst,
# some times as many as usual, still fit between two events.
MIN_FILL = 0.25
# An engine is too full at this many times the mean fill of all engines: what
# remains of the difference is chance.
FULL_FACTOR = 1.3
# Smallest fill that an adapter causes at an engine for which a copy is worth
# a load and a slot.
MIN_ADAPTER_FILL = 0.07
# Seconds until the same adapter may get a further copy: the time of a load,
# and until the calls have moved and the fills of both engines show it.
COPY_INTERVAL = 1.5


class EngineFill(NamedTuple):
    """The fill of an engine, and whether it can take a copy.

    ``free_slots`` is the number of adapters that could be loaded there now.
    """

    endpoint: str
    zone: str
    fill: float
    free_slots: int
    can_load: bool


class CopyRequest(NamedTuple):
    """A further copy of an adapter, to be loaded at an engine."""

    model: Model
    endpoint: str
    zone: str


def choose_copy(
    full: EngineFill,
    rates: Mapping[Model, float],
    engines: Collection[EngineFill],
    list_holders: Callable[[Model], Collection[str]],
    recently_copied: Collection[Model],
) -> CopyRequest | None:
    """Return the copy that relieves an engine most, or None.

    ``rates`` are the calls a second of the engine's adapters. The engines are
    all that may run the same calls, including the full one.
    """
    mean = sum(engine.fill for engine in engines) / max(1, len(engines))
    total = sum(rates.values())
    if full.fill < max(MIN_FILL, FULL_FACTOR * mean) or not total:
        return None
    for model in sorted(rates, key=rates.get, reverse=True):
        caused = full.fill * rates[model] / total
        if caused < MIN_ADAPTER_FILL:
            return None
        if model in recently_copied:
            continue
        holders = [one for one in engines if one.endpoint in list_holders(model)]
        if any(one.fill < mean for one in holders):
            # Calls can already go to an engine that is less full.
            continue
        target = _choose_target(engines, holders, full.fill - caused / 2)
        if target is not None:
            return CopyRequest(model, target.endpoint, target.zone)
    return None


def _choose_target(
    engines: Iterable[EngineFill], holders: Collection[EngineFill], limit: float
) -> EngineFill | None:
    """Return the engine for a copy: the emptiest one, or None.

    Zones without a copy come first, as their calls then stay there.
    """
    zones = {holder.zone for holder in holders}
    names = {holder.endpoint for holder in holders}
    possible = [
        one
        for one in engines
        if one.endpoint not in names
        and one.can_load
        and one.free_slots > 0
        and one.fill < limit
    ]
    key = lambda one: (one.zone in zones, one.fill, one.endpoint)
    return min(possible, key=key, default=None)
