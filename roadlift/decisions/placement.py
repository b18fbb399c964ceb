"""Choose the engine of a call by when its first event is expected.

Load pattern: prompts of very different lengths, more adapters in use than one
engine has slots for, and loads that cost time and money. Everything that a
call would wait for at an engine is converted to seconds and compared: the
prompts ahead of it, reading (prefill) of its own prompt at the engine's speed,
the load of its adapter, and a free adapter slot.
"""

from collections.abc import Iterable
from typing import NamedTuple

from roadlift.decisions.loading import AdapterSource, LoadWaits
from roadlift.decisions.reading import ReadingTimes
from roadlift.serving.directory import Endpoint

# Cost of a load from the weight store in seconds, in addition to the time that
# it takes: the transfer is paid for.
STORE_COST = 0.35
# Cost of transferring a call and its answer between zones, in seconds.
ZONE_COST = 0.04
# The same between regions: a round trip of some tens of milliseconds comes on
# top, and the bytes cost more.
REGION_COST = 0.12
# Cost in seconds for each rank among the preferred endpoints of an adapter
# that no engine has, so that instances that request it at the same moment
# choose the same engine.
RANK_COST = 0.02


# Additional cost in seconds of a call, and of a load, at a rate-limited
# engine: others with free capacity are preferred, and get copies of what it
# holds.
RESERVED_COST = 0.1
RESERVED_LOAD_COST = 1.0
# Cost of an engine's last free slot in seconds; if several are free, it is
# divided by their number. A copy occupies its slot for as long as calls run on
# it.
LAST_SLOT_COST = 0.25
# Additional cost in seconds of a load from the weight store if another engine
# holds the adapter: each of many instances would load a copy for a burst that
# is over when it arrives. Owners request copies of what stays hot.
FURTHER_COPY_COST = 0.5
# Fraction of the longest pause that callers bear for which prompts may stall
# the streams at an engine: of what is left, further prompts take a part before
# the next event.
FREE_STALL = 0.25
# Cost in seconds of a prompt that stalls all streams at an engine for longer
# than their callers bear: each of them is late then.
STALL_COST = 1.0
# Fraction of its time in which an engine may read prompts before its streams
# begin to pause, and the cost in seconds of reading all the time.
FREE_FILL = 0.25
FILL_COST = 0.5


class Engine(NamedTuple):
    """What an instance knows of an engine, for one call.

    ``ahead`` is the number of prompt tokens to be read there before the
    call's; ``places`` the number of free adapter slots, which is negative if
    adapters wait for one; ``source`` where the call's adapter is; ``rank`` the
    engine's rank among the adapter's preferred endpoints; ``queue`` the
    seconds until a further load begins; ``wait`` the seconds until a send is
    available if the engine is rate-limited; one that ``is_in_reserve`` is
    rate-limited and kept in reserve; one that ``is_far`` is in another region.
    ``running`` calls of all instances run there, of ``slots`` that it runs at
    once, or 0 if that is not known; ``fill`` is the fraction of the time in
    which it reads prompts.
    """

    endpoint: Endpoint
    ahead: float
    places: int
    source: AdapterSource
    rank: int
    can_load: bool
    queue: float = 0.0
    wait: float = 0.0
    is_in_reserve: bool = False
    is_far: bool = False
    running: int = 0
    slots: int = 0
    fill: float = 0.0


class Requirements(NamedTuple):
    """What a call requires: prompt tokens to be read, near a zone.

    Its callers bear ``pause`` seconds between two events, or None if that is
    not limited; it occupies a slot for ``hold`` seconds.
    """

    tokens: int
    zone: str
    pause: float | None = None
    hold: float = 0.0


class Option(NamedTuple):
    """An engine for a call, and the seconds until the first event there.

    ``cost`` is that time plus the other costs of the choice.
    """

    engine: Engine
    expected: float
    cost: float


def evaluate(
    requirements: Requirements,
    engine: Engine,
    reading: ReadingTimes,
    waits: LoadWaits,
    now: float,
) -> Option:
    """Return an engine with the expected wait and cost of a call."""
    token_time = reading.estimate(engine.endpoint.id, now)
    delay = waits.estimate(engine.source, now)
    extra_cost = STORE_COST if engine.source is AdapterSource.STORE else 0.0
    if engine.source is not AdapterSource.HELD:
        delay += engine.queue
    if engine.source is not AdapterSource.HELD and engine.places <= 0:
        delay += waits.estimate_slot_wait(now) * (1 - engine.places)
    # The prompts ahead are read while the adapter is loaded.
    waited = max(delay, engine.wait, token_time * engine.ahead)
    expected = max(waited, _estimate_slot_wait(requirements, engine))
    expected += token_time * requirements.tokens
    extra_cost += _estimate_stall_cost(requirements, engine, token_time)
    if engine.is_in_reserve:
        is_held = engine.source is AdapterSource.HELD
        extra_cost += RESERVED_COST if is_held else RESERVED_LOAD_COST
    if engine.source is not AdapterSource.HELD:
        extra_cost += LAST_SLOT_COST / max(1, engine.places)
    if engine.source is AdapterSource.STORE:
        extra_cost += RANK_COST * engine.rank
    if engine.endpoint.zone != requirements.zone:
        extra_cost += REGION_COST if engine.is_far else ZONE_COST
    return Option(engine, expected, expected + extra_cost)


def _estimate_slot_wait(requirements: Requirements, engine: Engine) -> float:
    """Return the seconds until an engine with all slots in use has one."""
    if not engine.slots:
        return 0.0
    excess = max(0, engine.running + 1 - engine.slots)
    return excess * requirements.hold / engine.slots


def _estimate_stall_cost(
    requirements: Requirements, engine: Engine, token_time: float
) -> float:
    """Return the cost in seconds of pauses of streams at an engine.

    The streams that run there pause while the call's prompt and those ahead of
    it are read. The call's own stream pauses for the prompts that come later,
    by how full the engine is.
    """
    if requirements.pause is None:
        return 0.0
    own = FILL_COST * max(0.0, engine.fill - FREE_FILL)
    if not engine.running:
        return own
    stall = token_time * (engine.ahead + requirements.tokens) / requirements.pause
    risk = (stall - FREE_STALL) / (1.0 - FREE_STALL)
    return own + STALL_COST * min(1.0, max(0.0, risk))


def _add_copy_cost(option: Option) -> Option:
    """Add what a further copy costs if it comes from the weight store."""
    is_fetched = option.engine.source is AdapterSource.STORE
    return option._replace(cost=option.cost + FURTHER_COPY_COST * is_fetched)


def choose_engine(
    requirements: Requirements,
    engines: Iterable[Engine],
    reading: ReadingTimes,
    waits: LoadWaits,
    now: float,
) -> Option | None:
    """Return the best engine of those that can run the call, or None."""
    options = [
        evaluate(requirements, engine, reading, waits, now)
        for engine in engines
        if engine.source is AdapterSource.HELD or engine.can_load
    ]
    if any(option.engine.source is AdapterSource.HELD for option in options):
        options = [_add_copy_cost(option) for option in options]
    return min(
        options,
        key=lambda option: (option.cost, option.engine.endpoint.id),
        default=None,
    )
