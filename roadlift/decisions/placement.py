"""Choose the engine of a call by when its first event is expected.

Load pattern: prompts of very different length, more adapters in use than one
engine has places for, and loads that cost time and money. Everything that a
call would wait for at an engine is put into seconds and compared: the prompts
ahead, its own prompt at the engine's speed, the load of its adapter, and a
place for it.
"""

from collections.abc import Iterable
from typing import NamedTuple

from roadlift.decisions.loading import LoadWaits, Source
from roadlift.decisions.reading import ReadingTimes
from roadlift.serving.directory import Endpoint

# Seconds of waiting that a load from the weight store is as dear as, beside
# the time that it takes: it is paid for.
STORE_PRICE = 0.35
# Seconds that a call's and its answer's bytes between zones are as dear as.
ZONE_PRICE = 0.04
# Seconds for each rank of an engine among the homes of an adapter that no
# engine has: instances that ask at the same moment choose the same one.
RANK_PRICE = 0.02


# Seconds that a call, and a load, is dearer at an engine that names a limit:
# others that have room go first, and get copies of what it holds.
SPARED_PRICE = 0.1
SPARED_LOAD_PRICE = 1.0
# Seconds that an engine's last place is as dear as; of several that are free,
# each is as much cheaper. A copy takes it for as long as calls run on it.
PLACE_PRICE = 0.25


class Engine(NamedTuple):
    """What an instance knows of an engine, for one call.

    ``ahead`` are the prompt tokens to be read there before the call's;
    ``places`` how many further adapters can be loaded now, negative where
    others wait; ``source`` where the call's adapter is; ``rank`` the engine's
    among the adapter's homes; ``queue`` seconds until a further load begins;
    ``wait`` until a send is free where it names a limit; one that
    ``is_spared`` is in need.
    """

    endpoint: Endpoint
    ahead: float
    places: int
    source: Source
    rank: int
    can_load: bool
    queue: float = 0.0
    wait: float = 0.0
    is_spared: bool = False


class Need(NamedTuple):
    """What a call needs: prompt tokens to be read, in a zone."""

    tokens: int
    zone: str


class Option(NamedTuple):
    """An engine for a call, and the seconds until the first event there.

    ``cost`` adds what the choice costs beside the time.
    """

    engine: Engine
    expected: float
    cost: float


def weigh(
    need: Need, engine: Engine, reading: ReadingTimes, waits: LoadWaits, now: float
) -> Option:
    """Return when a call's first event is expected at an engine."""
    pace = reading.estimate(engine.endpoint.id, now)
    delay = waits.estimate(engine.source, now)
    price = STORE_PRICE if engine.source is Source.STORE else 0.0
    if engine.source is not Source.HELD:
        delay += engine.queue
    if engine.source is not Source.HELD and engine.places <= 0:
        delay += waits.estimate_place(now) * (1 - engine.places)
    # The prompts ahead are read while the adapter is loaded.
    expected = max(delay, engine.wait, pace * engine.ahead) + pace * need.tokens
    if engine.is_spared:
        is_held = engine.source is Source.HELD
        price += SPARED_PRICE if is_held else SPARED_LOAD_PRICE
    if engine.source is not Source.HELD:
        price += PLACE_PRICE / max(1, engine.places)
    if engine.source is Source.STORE:
        price += RANK_PRICE * engine.rank
    if engine.endpoint.zone != need.zone:
        price += ZONE_PRICE
    return Option(engine, expected, expected + price)


def choose_engine(
    need: Need,
    engines: Iterable[Engine],
    reading: ReadingTimes,
    waits: LoadWaits,
    now: float,
) -> Option | None:
    """Return the best engine of those that can run the call, or None."""
    options = [
        weigh(need, engine, reading, waits, now)
        for engine in engines
        if engine.source is Source.HELD or engine.can_load
    ]
    return min(
        options, key=lambda one: (one.cost, one.engine.endpoint.id), default=None
    )
