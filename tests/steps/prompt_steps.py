"""Steps on prompts that stall the streams at engines."""

import random

from behave import given, then, when

from roadlift.decisions.loading import AdapterSource, LoadWaits
from roadlift.decisions.placement import Engine, Requirements, choose_engine
from roadlift.decisions.prefill import PrefillLoad
from roadlift.decisions.rates import Rate
from roadlift.decisions.reading import ReadingTimes
from roadlift.decisions.replication import EngineFill, choose_copy
from roadlift.relay.address import Address
from roadlift.serving.calls import Model
from roadlift.serving.directory import Endpoint

_ENGINES, _ZONES, _SLOTS = 30, 6, 18
_TOKEN_TIME = 34e-6
_PAUSE = 0.3  # Seconds between two events that callers bear.
_RUN = 1.5  # Seconds for which a stream generates.
_LOAD = 0.3  # Seconds that a load takes.
_VIEW_AGE = 0.1  # Seconds after which instances see the prompts at engines.
_CHECK = 0.25  # Seconds between two searches for copies.


class _Site:
    """Engines that read prompts in order, seen a little late by instances."""

    def __init__(self, has_copies):
        self.has_copies = has_copies
        self.now = self.checked_at = self.seen_at = 0.0
        self.endpoints = [
            Endpoint(f"e{n}", "s", Address("127.0.0.1", 1), f"z{n % _ZONES}", 32)
            for n in range(_ENGINES)
        ]
        self.free_at = [0.0] * _ENGINES  # When the prompts are read.
        self.ahead = [0.0] * _ENGINES  # Seconds of prompts, as instances see them.
        self.busy_since = [0.0] * _ENGINES
        # Of each stream its end, its longest stall and its begin.
        self.streams = [[] for _ in range(_ENGINES)]
        self.held = [{} for _ in range(_ENGINES)]  # Adapter: when it was used.
        self.ready_at = {}
        self.sent = [0] * _ENGINES
        self.prefill = [PrefillLoad(0.0) for _ in range(_ENGINES)]
        self.rates = [{} for _ in range(_ENGINES)]
        self.pauses = []

    def _put(self, engine, model):
        held = self.held[engine]
        if model not in held and len(held) >= _SLOTS:
            del held[min(held, key=held.get)]
        if model not in held:
            self.ready_at[engine, model] = self.now + _LOAD
        held[model] = self.now

    def send(self, model, tokens, zone):
        """Place a call, and let it stall the streams of its engine."""
        if self.now - self.seen_at >= _VIEW_AGE:
            self.seen_at = self.now
            self.ahead = [max(0.0, at - self.now) for at in self.free_at]
        engines = [self._describe(n, model) for n in range(_ENGINES)]
        needs = Requirements(tokens, zone, _PAUSE)
        option = choose_engine(needs, engines, ReadingTimes(), LoadWaits(), self.now)
        chosen = self.endpoints.index(option.engine.endpoint)
        self._put(chosen, model)
        self.ahead[chosen] += tokens * _TOKEN_TIME
        if self.free_at[chosen] <= self.now:
            self.free_at[chosen] = self.busy_since[chosen] = self.now
        # A prompt whose adapter is being loaded lets others pass.
        self.free_at[chosen] += tokens * _TOKEN_TIME
        streams = self.streams[chosen] = self._end_streams(chosen)
        for stream in streams:
            # Events come at a crawl while prompts are read without a break.
            stall = self.free_at[chosen] - max(stream[2], self.busy_since[chosen])
            stream[1] = max(stream[1], stall)
        begins_at = max(self.free_at[chosen], self.ready_at[chosen, model])
        streams.append([begins_at + _RUN, 0.0, begins_at])
        self._count(chosen, model, tokens)

    def _end_streams(self, engine):
        ended = [one for one in self.streams[engine] if one[0] <= self.now]
        self.pauses += [one[1] for one in ended]
        return [one for one in self.streams[engine] if one[0] > self.now]

    def _describe(self, n, model):
        source = AdapterSource.HELD if model in self.held[n] else AdapterSource.STORE
        running = sum(one[0] > self.now for one in self.streams[n])
        return Engine(
            self.endpoints[n],
            self.ahead[n] / 30e-6,  # As tokens at the pace that is assumed.
            max(1, _SLOTS - running),
            source,
            (n - hash(model)) % _ENGINES,
            True,
            running=running,
            fill=self.prefill[n].measure_fill(self.now) if self.has_copies else 0.0,
        )

    def _count(self, engine, model, tokens):
        self.sent[engine] += 1
        self.prefill[engine].record_sent(tokens, self.now)
        self.prefill[engine].record_read(tokens, tokens * _TOKEN_TIME, self.now)
        rate = self.rates[engine].setdefault(model, Rate(1.5, self.now))
        rate.note(1, self.now)
        if self.has_copies and self.now - self.checked_at >= _CHECK:
            self.checked_at = self.now
            self._copy()

    def _copy(self):
        fills = [
            EngineFill(one.id, one.zone, load.measure_fill(self.now), 1, True)
            for one, load in zip(self.endpoints, self.prefill, strict=True)
        ]
        holders = lambda model: {
            one.id
            for one, held in zip(self.endpoints, self.held, strict=True)
            if model in held
        }
        for n, full in enumerate(fills):
            rates = {one: rate.measure(self.now) for one, rate in self.rates[n].items()}
            copy = choose_copy(full, rates, fills, holders, ())
            if copy is not None:
                names = [one.id for one in self.endpoints]
                self._put(names.index(copy.endpoint), copy.model)


@given("{rate:d} calls a second whose adapters are requested by a Zipf law of 1.2")
def step_zipf(context, rate):
    """Draw calls for 400 adapters, a sixth of them with long prompts."""
    rng = random.Random(3)
    models = [Model("base", f"x{n}") for n in range(400)]
    weights = [(n + 1) ** -1.2 for n in range(400)]
    context.calls, at = [], 0.0
    while at < 20.0:
        at += rng.expovariate(rate)
        model = rng.choices(models, weights)[0]
        tokens = 2368 if rng.random() < 0.17 else 826
        context.calls.append((at, model, tokens, f"z{rng.randrange(_ZONES)}"))


@when("they are placed with {way} copies")
def step_place(context, way):
    """Send all calls."""
    context.site = site = _Site(way == "further")
    for at, model, tokens, zone in context.calls:
        site.now = at
        site.send(model, tokens, zone)


@then("{most:d} in 100 streams pause for too long at most, is {result}")
def step_pauses(context, most, result):
    """Compare the stalls with the pause that callers bear."""
    pauses = context.site.pauses
    late = sum(stall > _PAUSE for stall in pauses)
    assert (late <= most / 100 * len(pauses)) == (result == "true"), (
        late,
        len(pauses),
    )


@then("the busiest engine gets {most:g} times the mean at most, is {result}")
def step_busiest(context, most, result):
    """Compare the calls of engines."""
    sent = context.site.sent
    found = max(sent) * len(sent) / sum(sent)
    assert (found <= most) == (result == "true"), found


def _read_fills(text):
    engines = []
    for one in text.split(", "):
        name, zone, fill, *more = one.split()
        slots = 0 if "full" in more else 3
        can_load = "unowned" not in more
        engines.append(EngineFill(name, zone, float(fill), slots, can_load))
    return engines


@then(
    'of engines "{engines}" with calls "{rates}" at the first, held by "{holders}", the'
    " copy is {copy}"
)
def step_copy(context, engines, rates, holders, copy):
    """Choose a copy for the first engine."""
    fills = _read_fills(engines)
    calls = {Model("base", k): float(v) for k, v in map(str.split, rates.split(", "))}
    held = {}
    for one in holders.split(", "):
        adapter, *names = one.split()
        held[Model("base", adapter)] = set(names)
    found = choose_copy(fills[0], calls, fills, lambda m: held.get(m, set()), ())
    text = f"{found.model.adapter} at {found.endpoint}" if found else "none"
    assert text == copy, text


@then("prompts of {tokens:d} tokens, {rate:g} a second at {micros:g} us, fill {fill:g}")
def step_fill(context, tokens, rate, micros, fill):
    """Count prompts for 10 seconds."""
    load = PrefillLoad(0.0)
    for n in range(int(10 * rate)):
        load.record_sent(tokens, n / rate)
        load.record_read(2 * tokens, 2e-6 * micros * tokens, n / rate)
    assert abs(load.measure_fill(10.0) - fill) < 0.05 * fill + 0.001, load.measure_fill(
        10.0
    )
