"""Choose the engine of a call by when its first event is expected.

Load pattern: prompts of very different lengths, more adapters in use than one
engine has slots for, and loads that cost time and money. Everything that a
call would wait for at an engine is converted to seconds and compared: the
prompts ahead of it, reading (prefill) of its own prompt at the engine's speed,
the load of its adapter, and a free adapter slot.
"""

from collections.abc import Iterable
from typing import NamedTuple

from roadlift.decisions.loading import LoadWaits, Source
from roadlift.decisions.reading import ReadingTimes
from roadlift.serving.directory import Endpoint

# Cost of a load from the weight store in seconds, in addition to the time that
# it takes: the transfer is paid for.
STORE_PRICE = 0.35
# Cost of transferring a call and its answer between zones, in seconds.
ZONE_PRICE = 0.04
# Cost in seconds for each rank among the preferred endpoints of an adapter
# that no engine has, so that instances that request it at the same moment
# choose the same engine.
RANK_PRICE = 0.02


# Additional cost in seconds of a call, and of a load, at a rate-limited
# engine: others with free capacity are preferred, and get copies of what it
# holds.
SPARED_PRICE = 0.1
SPARED_LOAD_PRICE = 1.0
# Cost of an engine's last free slot in seconds; if several are free, it is
# divided by their number. A copy occupies its slot for as long as calls run on
# it.
PLACE_PRICE = 0.25


class Engine(NamedTuple):
    """What an instance knows of an engine, for one call.

    ``ahead`` is the number of prompt tokens to be read there before the
    call's; ``free_slots`` how many further adapters can be loaded now,
    negative if others wait; ``source`` where the call's adapter is; ``rank``
    the engine's rank among the adapter's preferred endpoints; ``queue`` the
    seconds until a further load begins; ``wait`` the seconds until a send is
    available if the engine is rate-limited; one that ``is_reserved`` is
    rate-limited and kept in reserve.
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
    """What a call requires: prompt tokens to be read, near a zone."""

    tokens: int
    zone: str


class Option(NamedTuple):
    """An engine for a call, and the seconds until the first event there.

    ``cost`` is that time plus the other costs of the choice.
    """

    engine: Engine
    expected: float
    cost: float


def weigh(
    need: Need, engine: Engine, reading: ReadingTimes, waits: LoadWaits, now: float
) -> Option:
    """Return an engine with the expected wait and cost of a call."""
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
