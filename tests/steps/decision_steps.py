"""Steps on the decisions of how calls are placed, wait and are abandoned."""

import random

from behave import given, then, when

from roadlift.decisions.denials import Denials
from roadlift.decisions.inactivity import InactivityMonitor
from roadlift.decisions.loading import AdapterSource, LoadWaits
from roadlift.decisions.placement import Engine, Requirements, choose_engine, evaluate
from roadlift.decisions.reading import ReadingTimes
from roadlift.decisions.urgency import Urgency, merge_load_request
from roadlift.decisions.workload import EngineLoad, Workload
from roadlift.relay.address import Address
from roadlift.serving.calls import Model
from roadlift.serving.directory import Endpoint
from roadlift.serving.engine import EngineRecord
from roadlift.serving.loads import BaseLoadLimiter, LoadTimes
from roadlift.serving.orders import Action, EngineReport, OrderResult

_SOURCES = {source.value: source for source in AdapterSource}
_CHECK_INTERVAL = 0.1


def _read_engine(rank, text):
    name, zone, ahead, places, source = text.split()
    endpoint = Endpoint(name, "s", Address("127.0.0.1", 1), zone, 64)
    can_load = source != "unowned"
    found = _SOURCES.get(source, AdapterSource.STORE)
    return Engine(endpoint, int(ahead), int(places), found, rank, can_load)


@given('the engines "{engines}"')
def step_engines(context, engines):
    """Define what is known of engines."""
    texts = engines.split(", ")
    context.engines = [_read_engine(rank, text) for rank, text in enumerate(texts)]
    context.reading = ReadingTimes()


@given("streams run at all of them, whose callers bear a pause of {pause:g} seconds")
def step_streams(context, pause):
    """Let streams run at the engines."""
    context.pause = pause
    context.engines = [one._replace(running=6) for one in context.engines]


def _place(context, tokens, zone):
    requirements = Requirements(tokens, zone, getattr(context, "pause", None))
    return choose_engine(
        requirements, context.engines, context.reading, LoadWaits(), 1.0
    )


@then("a call of {tokens:d} tokens from {zone} is placed at {name}")
def step_placed(context, tokens, zone, name):
    """Check the choice."""
    option = _place(context, tokens, zone)
    found = "none" if option is None else option.engine.endpoint.id
    assert found == name, (found, option)


@when("{count:d} calls of {tokens:d} tokens from {zone} are placed one after the other")
def step_place_many(context, count, tokens, zone):
    """Place calls; each adds its prompt tokens to its engine."""
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
    elif words[0] == "report":
        load = EngineLoad(0, int(words[1]), int(words[3]))
        workload.record_report("e", "z", load, 0)
    elif did == "requests":
        workload.reserve_slot("e")
    elif did == "is denied":
        workload.mark_full("e")
    elif did == "e is gone":
        workload.forget(())
    elif did != "nothing":
        workload.ignore_zones({"z"} if did == "z is unresponsive" else ())


@when('the load of e in z has the history "{history}"')
def step_load_history(context, history):
    """Apply owners' reports and local sends."""
    context.workload = Workload()
    for did in history.split(", "):
        _change_load(context.workload, did)


@then("{ahead:d} tokens are ahead there, and {slots:d} adapter slots are free")
def step_load(context, ahead, slots):
    """Check what is known of the engine."""
    workload = context.workload
    found = workload.count_ahead("e"), workload.count_free_slots("e")
    assert found == (ahead, slots), found


@when(
    "{name} was seen to take {seconds:g} seconds for {tokens:d} tokens {times:d} times"
)
def step_seen(context, name, seconds, tokens, times):
    """Record samples of an engine's reading speed."""
    if not hasattr(context, "reading"):
        context.reading = ReadingTimes()
    for _ in range(times):
        context.reading.note(name, tokens, seconds, 1.0)


@then("it is estimated to read a million tokens in {low:g} to {high:g} seconds")
def step_reading_speed(context, low, high):
    """Check the estimate."""
    found = context.reading.estimate("e", 1.0) * 1e6
    assert low - 1e-6 <= found <= high + 1e-6, found


@when('at 0 the loads "{requests}" are requested by priority, slack and hold')
def step_requested(context, requests):
    """Request adapters, one after the other."""
    context.requests = {}
    for index, text in enumerate(requests.split(", ")):
        name, priority, slack, hold = text.split()
        urgency = Urgency(int(priority), float(slack), float(hold))
        known = context.requests.get(name)
        context.requests[name] = merge_load_request(
            known, urgency, index * 1e-6, index * 1e-6
        )


@then("at {at:g} they are ordered as {order}")
def step_ordered(context, at, order):
    """Check which gets a slot first."""
    rank = lambda name: context.requests[name].compute_rank(at)
    assert sorted(context.requests, key=rank) == order.split()


@when('calls at e have the history "{history}", checked each 0.1 seconds')
def step_silence(context, history):
    """Keep the history of the calls."""
    context.history = [step.split(" ", 1) for step in history.split(", ")]


def _replay(history, until):
    watch, left, now = InactivityMonitor(), [], 0.0
    steps = [(float(at), did.split()) for at, did in history]
    while now <= until + 1e-9:
        while steps and steps[0][0] <= now + 1e-9:
            at, words = steps.pop(0)
            if words[0] == "suspended":
                now = float(words[-1])
            elif words[1] == "sent":
                name = words[0]
                watch.begin("e", name, lambda name=name: left.append(name), at)
            elif words[1] == "receives":
                watch.record_event("e", words[0], at)
            else:
                watch.end("e", words[0])
        for endpoint in watch.list_unresponsive(now):
            watch.abandon(endpoint)
            for name in left:
                watch.end(endpoint, name)
        now += _CHECK_INTERVAL
    return left


@then("at {at:g} these have left it: {names}")
def step_left(context, at, names):
    """Check which calls left the engine."""
    expected = [] if names == "none" else names.split()
    assert _replay(context.history, at) == expected


def _make_random_engine(rng, rank):
    endpoint = Endpoint(f"e{rank}", "s", Address("127.0.0.1", 1), f"z{rank % 3}", 64)
    return Engine(
        endpoint,
        rng.choice((0, rng.randrange(60000))),
        rng.randrange(-4, 10),
        rng.choice(list(AdapterSource)),
        rank,
        rng.random() < 0.7,
    )


@when("{count:d} random engines and calls are placed with seed {seed:d}")
def step_random_calls(context, count, seed):
    """Place calls at random engines."""
    rng = random.Random(seed)
    context.cases = []
    for _ in range(count):
        engines = [_make_random_engine(rng, rank) for rank in range(rng.randrange(8))]
        requirements = Requirements(rng.randrange(40000), f"z{rng.randrange(3)}")
        option = choose_engine(requirements, engines, ReadingTimes(), LoadWaits(), 0.0)
        context.cases.append((requirements, engines, option))


def _is_possible(engine):
    return engine.source is AdapterSource.HELD or engine.can_load


@then("each goes to an engine that holds its adapter or may load it")
def step_possible(context):
    """Check that each choice can be carried out."""
    chosen = [option.engine for _, _, option in context.cases if option]
    assert chosen and all(_is_possible(engine) for engine in chosen)


@then("each is placed if there is any such engine")
def step_all_placed(context):
    """Check that no call is refused that an engine could run."""
    for _, engines, option in context.cases:
        assert (option is not None) == any(map(_is_possible, engines)), engines


def _is_better(one, other):
    """Return whether an engine is no worse in all, and has less ahead."""
    order = (AdapterSource.STORE, AdapterSource.AT_HAND, AdapterSource.HELD)
    mine = (-one.ahead, one.places, order.index(one.source), -one.rank)
    its = (-other.ahead, other.places, order.index(other.source), -other.rank)
    pairs = list(zip(mine, its, strict=True))
    return all(a >= b for a, b in pairs) and pairs[0][0] > pairs[0][1]


@then("no engine is chosen if another of its zone is better in every respect")
def step_best(context):
    """Check that a better engine does not cost more."""
    for requirements, engines, option in context.cases:
        for other in engines:
            if option is None or not _is_possible(other):
                continue
            is_near = other.endpoint.zone == option.engine.endpoint.zone
            if is_near and _is_better(other, option.engine):
                found = evaluate(requirements, other, ReadingTimes(), LoadWaits(), 0.0)
                assert found.cost >= option.cost, (other, option)


@when(
    "adapters are requested at random at an engine of {slots:d} slots"
    " with seed {seed:d}"
)
def step_random_requests(context, slots, seed):
    """Drive the record of an engine that carries out each order in 10 ms."""
    rng = random.Random(seed)
    book = EngineRecord(slots, ("base",), LoadTimes(), BaseLoadLimiter(0.0))
    book.apply_report(EngineReport(0, ("base",), (), (), False, 0, 0), 0.0)
    context.slots, context.waits, context.max_copies = slots, [], 0
    wanted, ends = {}, {}
    for step in range(3000):
        now = step * 0.01
        _end_calls(book, ends, now)
        if rng.random() < 0.15:
            model = Model("base", f"a{rng.randrange(40)}")
            urgency = Urgency(rng.randrange(2), rng.uniform(-0.2, 0.6), rng.random())
            if book.holds(model, 0):
                _begin_call(book, ends, model, now + rng.expovariate(1.0), now)
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
                _begin_call(book, ends, plan.model, now + rng.expovariate(1.0), now)
        for model, _ in book.denied:
            if model in wanted:
                context.waits.append(now - wanted.pop(model))
        book.denied.clear()
        context.max_copies = max(context.max_copies, len(book.copies))
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
    """Check that no load request waits forever."""
    assert len(context.waits) > 50, len(context.waits)
    longest = max([*context.waits, *context.open])
    assert longest <= 1.0, longest


@then("no more adapters were at the engine than slots")
def step_in_slots(context):
    """Check that no order exceeded the engine's slots."""
    assert context.max_copies <= context.slots, context.max_copies


@given("an owner reports that {loads:d} loads of {seconds:g} seconds are ahead at e")
def step_loads_ahead(context, loads, seconds):
    """Record a report."""
    context.workload = Workload()
    context.workload.record_report("e", "z", EngineLoad(0, 0, 9, loads, seconds), 0)


@then("a further load there begins in {seconds:g} seconds")
def step_queue(context, seconds):
    """Check the expected wait."""
    found = context.workload.measure_queue("e")
    assert abs(found - seconds) < 1e-9, found


@when('at an owner "{history}"')
def step_denials(context, history):
    """Deny and load adapters."""
    context.denials = Denials()
    for words in history.split(", "):
        at, _, rest = words.partition(" ")
        if rest.endswith("others are denied"):
            for number in range(int(rest.split()[0])):
                context.denials.note(Model("base", f"o{number}"), float(at))
        elif rest.endswith("is denied"):
            context.denials.note(Model("base", rest[0]), float(at))
        elif rest.endswith("is loaded"):
            context.denials.forget(Model("base", rest[0]))


@then("at {at:g} the adapter a waits since {since:g}")
def step_since(context, at, since):
    """Check the time from which it counts as waiting."""
    found = context.denials.find_since(Model("base", "a"), at)
    assert found == since, found
