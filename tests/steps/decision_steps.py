"""Steps on the decisions of how calls are placed, wait and leave."""

import random

from behave import given, then, when

from roadlift.decisions.denials import Denials
from roadlift.decisions.loading import LoadWaits, Source
from roadlift.decisions.placement import Engine, Need, choose_engine, weigh
from roadlift.decisions.reading import ReadingTimes
from roadlift.decisions.silence import SilenceWatch
from roadlift.decisions.urgency import Urgency, merge_want
from roadlift.decisions.workload import EngineLoad, Workload
from roadlift.relay.upstream import Address
from roadlift.serving.calls import Model
from roadlift.serving.directory import Endpoint
from roadlift.serving.engine import EngineRecord
from roadlift.serving.loads import BaseLoadLimiter, LoadTimes
from roadlift.serving.orders import Action, EngineReport, OrderResult

_SOURCES = {source.value: source for source in Source}
_LOOK = 0.1


def _read_engine(rank, text):
    name, zone, ahead, places, source = text.split()
    endpoint = Endpoint(name, "s", Address("127.0.0.1", 1), zone, 64)
    can_load = source != "unowned"
    found = _SOURCES.get(source, Source.STORE)
    return Engine(endpoint, int(ahead), int(places), found, rank, can_load)


@given('the engines "{engines}"')
def step_engines(context, engines):
    """Say what is known of engines."""
    texts = engines.split(", ")
    context.engines = [_read_engine(rank, text) for rank, text in enumerate(texts)]
    context.reading = ReadingTimes()


def _place(context, tokens, zone):
    need = Need(tokens, zone)
    return choose_engine(need, context.engines, context.reading, LoadWaits(), 1.0)


@then("a call of {tokens:d} tokens from {zone} is placed at {name}")
def step_placed(context, tokens, zone, name):
    """Check the choice."""
    option = _place(context, tokens, zone)
    found = "none" if option is None else option.engine.endpoint.id
    assert found == name, (found, option)


@when("{count:d} calls of {tokens:d} tokens from {zone} are placed one after the other")
def step_place_many(context, count, tokens, zone):
    """Place calls; each counts as coming to its engine from then on."""
    context.placed = []
    for _ in range(count):
        chosen = _place(context, tokens, zone).engine
        context.placed.append(chosen.endpoint.id)
        index = context.engines.index(chosen)
        context.engines[index] = chosen._replace(
            ahead=chosen.ahead + tokens, places=chosen.places - 1
        )


@then("each of a and b gets {count:d} of them")
def step_each(context, count):
    """Check that the calls are spread."""
    found = [context.placed.count(name) for name in "ab"]
    assert found == [count, count], context.placed


def _change_load(workload, did):
    words = did.split()
    if words[0] == "sends":
        workload.change_reading("e", int(words[1]))
    elif words[0] == "reads":
        workload.change_reading("e", -int(words[1]))
    elif words[0] == "told":
        load = EngineLoad(0, int(words[1]), int(words[3]))
        workload.note_told("e", "z", load, 0)
    elif did == "asks":
        workload.take_place("e")
    elif did == "is denied":
        workload.deny_place("e")
    elif did == "e is gone":
        workload.forget(())
    elif did != "nothing":
        workload.pass_over({"z"} if did == "z is silent" else ())


@when('it happens to the load of e in z that "{history}"')
def step_load_history(context, history):
    """Let owners tell, and calls come and go."""
    context.workload = Workload()
    for did in history.split(", "):
        _change_load(context.workload, did)


@then("{ahead:d} tokens are ahead there, and {places:d} places are free")
def step_load(context, ahead, places):
    """Check what is known of the engine."""
    workload = context.workload
    found = workload.count_ahead("e"), workload.count_places("e")
    assert found == (ahead, places), found


@when(
    "{name} was seen to take {seconds:g} seconds for {tokens:d} tokens {times:d} times"
)
def step_seen(context, name, seconds, tokens, times):
    """Let calls tell how fast an engine reads."""
    if not hasattr(context, "reading"):
        context.reading = ReadingTimes()
    for _ in range(times):
        context.reading.note(name, tokens, seconds, 1.0)


@then("it is taken to read a million tokens in {low:g} to {high:g} seconds")
def step_pace(context, low, high):
    """Check the estimate."""
    found = context.reading.estimate("e", 1.0) * 1e6
    assert low - 1e-6 <= found <= high + 1e-6, found


@when('at 0 there are wanted "{wants}" by priority, slack and hold')
def step_wanted(context, wants):
    """Ask for adapters, one after the other."""
    context.wants = {}
    for index, text in enumerate(wants.split(", ")):
        name, priority, slack, hold = text.split()
        urgency = Urgency(int(priority), float(slack), float(hold))
        known = context.wants.get(name)
        context.wants[name] = merge_want(known, urgency, index * 1e-6, index * 1e-6)


@then("at {at:g} they are ordered as {order}")
def step_ordered(context, at, order):
    """Check which gets a place first."""
    rank = lambda name: context.wants[name].measure_rank(at)
    assert sorted(context.wants, key=rank) == order.split()


@when('it happens to calls at e that "{history}", with a look each 0.1 seconds')
def step_silence(context, history):
    """Keep a history for the looks."""
    context.history = [step.split(" ", 1) for step in history.split(", ")]


def _replay(history, until):
    watch, left, now = SilenceWatch(), [], 0.0
    steps = [(float(at), did.split()) for at, did in history]
    while now <= until + 1e-9:
        while steps and steps[0][0] <= now + 1e-9:
            at, words = steps.pop(0)
            if words[0] == "stands":
                now = float(words[-1])
            elif words[1] == "sent":
                name = words[0]
                watch.begin("e", name, lambda name=name: left.append(name), at)
            elif words[1] == "hears":
                watch.note_event("e", words[0], at)
            else:
                watch.end("e", words[0])
        for endpoint in watch.find_silent(now):
            watch.leave(endpoint)
            for name in left:
                watch.end(endpoint, name)
        now += _LOOK
    return left


@then("at {at:g} these have left it: {names}")
def step_left(context, at, names):
    """Check which calls left the engine."""
    expected = [] if names == "none" else names.split()
    assert _replay(context.history, at) == expected


def _draw_engine(draw, rank):
    endpoint = Endpoint(f"e{rank}", "s", Address("127.0.0.1", 1), f"z{rank % 3}", 64)
    return Engine(
        endpoint,
        draw.choice((0, draw.randrange(60000))),
        draw.randrange(-4, 10),
        draw.choice(list(Source)),
        rank,
        draw.random() < 0.7,
    )


@when("{count:d} draws of engines and calls are placed with seed {seed:d}")
def step_draws(context, count, seed):
    """Place calls at engines that are drawn."""
    draw = random.Random(seed)
    context.draws = []
    for _ in range(count):
        engines = [_draw_engine(draw, rank) for rank in range(draw.randrange(8))]
        need = Need(draw.randrange(40000), f"z{draw.randrange(3)}")
        option = choose_engine(need, engines, ReadingTimes(), LoadWaits(), 0.0)
        context.draws.append((need, engines, option))


def _is_possible(engine):
    return engine.source is Source.HELD or engine.can_load


@then("each goes to an engine that holds its adapter or may load it")
def step_possible(context):
    """Check that each choice can be carried out."""
    chosen = [option.engine for _, _, option in context.draws if option]
    assert chosen and all(_is_possible(engine) for engine in chosen)


@then("each is placed where any such engine is there")
def step_all_placed(context):
    """Check that none is refused that an engine could run."""
    for _, engines, option in context.draws:
        assert (option is not None) == any(map(_is_possible, engines)), engines


def _is_better(one, other):
    """Tell whether an engine is better in all respects, and in some."""
    order = (Source.STORE, Source.AT_HAND, Source.HELD)
    mine = (-one.ahead, one.places, order.index(one.source), -one.rank)
    its = (-other.ahead, other.places, order.index(other.source), -other.rank)
    pairs = list(zip(mine, its, strict=True))
    return all(a >= b for a, b in pairs) and pairs[0][0] > pairs[0][1]


@then("no engine is chosen that another of its zone is better than in all")
def step_best(context):
    """Check that what is better is not dearer."""
    for need, engines, option in context.draws:
        for other in engines:
            if option is None or not _is_possible(other):
                continue
            is_near = other.endpoint.zone == option.engine.endpoint.zone
            if is_near and _is_better(other, option.engine):
                found = weigh(need, other, ReadingTimes(), LoadWaits(), 0.0)
                assert found.cost >= option.cost, (other, option)


@when(
    "adapters are wanted at an engine of {slots:d} slots at random with seed {seed:d}"
)
def step_random_wants(context, slots, seed):
    """Drive the book of an engine that carries out each order in 10 ms."""
    draw = random.Random(seed)
    book = EngineRecord(slots, ("base",), LoadTimes(), BaseLoadLimiter(0.0))
    book.apply_report(EngineReport(0, ("base",), (), (), False, 0, 0), 0.0)
    context.slots, context.waits, context.most = slots, [], 0
    wanted, ends = {}, {}
    for step in range(3000):
        now = step * 0.01
        _end_calls(book, ends, now)
        if draw.random() < 0.15:
            model = Model("base", f"a{draw.randrange(40)}")
            urgency = Urgency(draw.randrange(2), draw.uniform(-0.2, 0.6), draw.random())
            if book.holds(model, 0):
                _begin_call(book, ends, model, now + draw.expovariate(1.0), now)
            elif book.request_load(model, 0, urgency, now):
                wanted.setdefault(model, now)
        for model in list(wanted):
            if book.is_load_requested(model):
                book.request_load(model, 0, Urgency(0), now)
        plan = book.plan(now)
        if plan is not None:
            book.record_result(plan, OrderResult.DONE, now)
            if plan.action is Action.LOAD and plan.model in wanted:
                context.waits.append(now - wanted.pop(plan.model))
                _begin_call(book, ends, plan.model, now + draw.expovariate(1.0), now)
        for model, _ in book.denied:
            if model in wanted:
                context.waits.append(now - wanted.pop(model))
        book.denied.clear()
        context.most = max(context.most, len(book.copies))
    context.open = [3000 * 0.01 - since for since in wanted.values()]


def _begin_call(book, ends, model, end, now):
    book.record_use(model, 1, now)
    ends.setdefault(model, []).append(end)
    book.usage.record_running("i", model, len(ends[model]))


def _end_calls(book, ends, now):
    for model, times in ends.items():
        left = [end for end in times if end > now]
        if len(left) != len(times):
            ends[model] = left
            book.usage.record_running("i", model, len(left))


@then("each was loaded or denied within a second")
def step_waits_end(context):
    """Check that no want waits for ever."""
    assert len(context.waits) > 50, len(context.waits)
    longest = max([*context.waits, *context.open])
    assert longest <= 1.0, longest


@then("no more adapters were at the engine than slots")
def step_in_slots(context):
    """Check that the engine was never ordered over its slots."""
    assert context.most <= context.slots, context.most


@given("an owner tells of e that {loads:d} loads of {seconds:g} seconds are ahead")
def step_loads_ahead(context, loads, seconds):
    """Tell a load."""
    context.workload = Workload()
    context.workload.note_told("e", "z", EngineLoad(0, 0, 9, loads, seconds), 0)


@then("a further load there begins in {seconds:g} seconds")
def step_queue(context, seconds):
    """Check the expected wait."""
    found = context.workload.measure_queue("e")
    assert abs(found - seconds) < 1e-9, found


@when('at an owner "{history}"')
def step_denials(context, history):
    """Let adapters be denied and loaded."""
    context.denials = Denials()
    for words in history.split(", "):
        at, _, rest = words.partition(" ")
        if rest.endswith("others are denied"):
            for number in range(int(rest.split()[0])):
                context.denials.note(Model("base", f"o{number}"), float(at))
        elif rest.endswith("is denied"):
            context.denials.note(Model("base", rest[0]), float(at))
        elif rest.endswith("is there"):
            context.denials.forget(Model("base", rest[0]))


@then("at {at:g} the adapter a waits since {since:g}")
def step_since(context, at, since):
    """Check since when it counts as waiting."""
    found = context.denials.find_since(Model("base", "a"), at)
    assert found == since, found
