"""Steps on the policy and its bench."""

import json
from unittest.mock import patch

from behave import given, then, when

from benchmarks.policies.run import BOUND, list_jobs, run_all
from benchmarks.policies.world import POLICIES
from roadlift.ownership.book import Book, Shape, Terms
from roadlift.ownership.messages import Acquire, Grant, Reason, Refuse, Report
from roadlift.ownership.orders import LOAD, UNLOAD, OrderResult
from roadlift.pins.table import PinTable
from roadlift.policy import placement
from roadlift.policy.loads import LoadGate, Waiting
from roadlift.policy.placement import RingPlacer
from roadlift.policy.routing import RingRouter

EVERY = [*POLICIES, BOUND]


def _run(scenario, deployment, seconds, policies):
    jobs = list_jobs([scenario], policies, seconds, 1, [deployment])
    return {result["policy"]: result for result in run_all(jobs)}


@when("{scenario} runs for {seconds:d} s at {deployment} with every policy")
def step_run(context, scenario, seconds, deployment):
    """Run a scenario with the policies and the bound."""
    context.results = _run(scenario, deployment, seconds, EVERY)


def _get_stall(context, policy="roadlift"):
    return context.results[policy]["classes"]["interactive"]["stall"]


@then("the default's interactive p99 stall is at most {most:g} s")
def step_p99(context, most):
    """Check the bound on the tail."""
    assert 0 < _get_stall(context)["p99"] <= most, _get_stall(context)


@then("its total interactive stall is at most {ratio:g} times the bound's")
def step_ratio(context, ratio):
    """Check the ratio to the clairvoyant planner."""
    found = _get_stall(context)["total"] / _get_stall(context, BOUND)["total"]
    assert found <= ratio, found


@then("it is ahead of both baselines in interactive p99 stall")
def step_ahead(context):
    """Compare the tails."""
    own = _get_stall(context)["p99"]
    for name in ("least_loaded_lru", "consistent_hash"):
        assert own < _get_stall(context, name)["p99"], (name, own)


@then("its batch efficiency is at most 2 points behind either baseline")
def step_efficiency(context):
    """Compare how full the batches ran."""
    own = context.results["roadlift"]["batch_efficiency"]
    for name in ("least_loaded_lru", "consistent_hash"):
        other = context.results[name]["batch_efficiency"]
        assert own >= other - 0.02, (name, own, other)


@when("steady runs for {seconds:d} s at association with the {worse} policy")
def step_worse(context, seconds, worse):
    """Run a worse policy."""
    context.results = _run("steady", "association", seconds, [worse])
    context.worse = worse


@then("its interactive p99 stall is above {least:g} s")
def step_above(context, least):
    """Check that the bound would fail."""
    assert _get_stall(context, context.worse)["p99"] > least


@when("steady runs for {seconds:d} s at rullivaht with every policy, twice")
def step_twice(context, seconds):
    """Run everything twice."""
    context.runs = [
        json.dumps(_run("steady", "rullivaht", seconds, EVERY), sort_keys=True)
        for _ in range(2)
    ]


@then("both runs gave the same bytes")
def step_same(context):
    """Compare the runs."""
    assert context.runs[0] == context.runs[1]


# Books.


def _make_book(slots, width, **more):
    return Book("e", "owner", 1 << 20, Shape(True, slots, width), Terms(**more))


def _ask(book, nonce, model, priority, now, holder="h", last=True):
    ask = Acquire("e", nonce, model, priority, 300.0, last)
    return book.acquire(holder, ask, now)


def _load(book, model, now, holder="h", nonce=1):
    _ask(book, nonce, model, "interactive", now, holder)
    order, _ = book.choose_order(now)
    assert order.verb == LOAD
    return book.finish_order(order, OrderResult.DONE, now)


@given("a book with 1 slot, a batch of 4 and loads of 1 s")
def step_small_book(context):
    """Make a book that has learnt that loads take a second."""
    context.book = _make_book(1, 4, most_orders=1)
    context.book._load_seconds = 1.0
    context.now = 10.0


@when("{count:d} {priority} askings for different models come")
def step_askings(context, count, priority):
    """Ask for many models at the same moment."""
    context.answers = [
        _ask(context.book, n, f"m{n}@1", priority, context.now) for n in range(count)
    ]


@then("the first {taken:d} wait and the others are refused as full at once")
def step_taken(context, taken):
    """Check who waits."""
    for index, answer in enumerate(context.answers):
        if index < taken:
            assert answer == [], (index, answer)
        else:
            assert answer[0].message.reason == Reason.FULL, (index, answer)


@then("each refusal says when to come back")
def step_retry_after(context):
    """Check the times to come back."""
    refusals = [answer[0].message for answer in context.answers if answer]
    assert refusals and all(one.retry_after >= 1.0 for one in refusals)


@given("a book with {running:d} requests running in a batch of {width:d}")
def step_busy_book(context, running, width):
    """Make a book whose holder reports running requests."""
    context.book = _make_book(2, width)
    (granted,) = _load(context.book, "m@1", 1.0)
    pin = [granted.message.copy, 1, running, 0]
    context.book.receive_report("h", Report("e", 1, 2, [pin]), 1.0)


@when("a {priority} asking for the loaded model comes")
def step_ask_loaded(context, priority):
    """Ask for the loaded model, with other endpoints left to ask."""
    answer = _ask(context.book, 9, "m@1", priority, 2.0, "other", last=False)
    context.answer = answer[0].message


@then("it is granted")
def step_granted(context):
    """Check that a pin was given."""
    assert isinstance(context.answer, Grant), context.answer


@then("it is {reason:w}")
def step_reason(context, reason):
    """Check the refusal's reason."""
    assert isinstance(context.answer, Refuse), context.answer
    assert context.answer.reason == reason, context.answer


# Routing.


@given("a ring of {count:d} endpoints")
def step_ring(context, count):
    """Make a router."""
    context.router = RingRouter([f"e{index}" for index in range(count)])


@when("a model is pinned at its first {pinned:d} places with fills of {fills}")
def step_pinned(context, pinned, fills):
    """Plan with some pins."""
    context.places = RingPlacer([f"e{i}" for i in range(9)]).rank("m@1", 3)
    pins = context.places[:pinned]
    values = [float(text) for text in fills.split()] if pinned else []
    by_name = dict(zip(pins, values, strict=True))
    context.plan = context.router.plan("m@1", pins, by_name.__getitem__)


@then("the plan is to ask 3 places")
def step_plan_ask(context):
    """Check that owners are asked in the ring's order."""
    assert context.plan.use is None
    assert list(context.plan.ask) == list(context.places)


@then("the plan is to use the {place}")
def step_plan_use(context, place):
    """Check that the emptiest pin is used."""
    index = {"1st": 0, "2nd": 1}[place]
    assert context.plan.use == context.places[index], context.plan


@when("one of {count:d} endpoints leaves the ring")
def step_leave_ring(context, count):
    """Rank models before and after an endpoint goes."""
    names = [f"e{index}" for index in range(count)]
    before, after = RingPlacer(names), RingPlacer(names[1:])
    context.firsts = [
        (before.rank(f"m{i}@1", 1)[0], after.rank(f"m{i}@1", 1)[0]) for i in range(2000)
    ]
    context.count = count


@then("at most {most:d}% of 2000 models have another first place")
def step_moved(context, most):
    """Check how many moved."""
    moved = sum(a != b for a, b in context.firsts)
    assert 0 < moved <= 20 * most, moved


@then("no endpoint is the first place of more than twice its part")
def step_spread(context):
    """Check that the ring is even enough."""
    firsts = [before for before, _ in context.firsts]
    most = max(firsts.count(name) for name in set(firsts))
    assert most <= 2 * len(firsts) / context.count, most


# Eviction.


@given("a full book whose copies were used {uses} times, of which {pinned} run")
def step_full_book(context, uses, pinned):
    """Load models, use them, and leave some running."""
    counts = [int(text) for text in uses.split()]
    book = context.book = _make_book(len(counts), 8)
    context.copies = []
    for index, count in enumerate(counts):
        (granted,) = _load(book, f"m{index}@1", 1.0, nonce=index + 1)
        copy = book.copies[granted.message.copy]
        copy.use.note(2.0, count)
        context.copies.append(copy.name)
        if pinned != str(index):
            copy.pins.clear()


@when("another model is asked for")
def step_another(context):
    """Ask for a model that needs a slot."""
    _ask(context.book, 99, "other@1", "interactive", 3.0)
    context.order, _ = context.book.choose_order(3.0)


@then("copy {index:d} is evicted")
def step_evicted(context, index):
    """Check the victim."""
    assert context.order.verb == UNLOAD
    assert context.order.copy == context.copies[index], context.order


# Loads.


@given("loads that took {seconds:g} s each after one of 1 s")
def step_loads(context, seconds):
    """Let a gate see some loads, with one of each class running."""
    gate = context.gate = LoadGate()
    for index, took in enumerate([1.0] + [seconds] * 6):
        wait = Waiting("h", index, "m@1", "interactive", 999.0, 0.0)
        assert gate.try_start(wait, 100.0)
        gate.finish("interactive", took, 100.0)


@when("a {priority} load is due that has waited {waited:g} s")
def step_due(context, priority, waited):
    """Ask the gate."""
    wait = Waiting("h", 9, "m@1", priority, 999.0, 100.0 - waited)
    context.may = context.gate.try_start(wait, 100.0)


@then("it {may} start")
def step_may_start(context, may):
    """Check the gate."""
    assert context.may == (may == "may"), context.gate.measure_slowness(100.0)


@given("a {kind} book with 4 slots and one batch asking")
def step_batch_book(context, kind):
    """Ask for one batch request, where others are loaded or none are."""
    context.book = _make_book(4, 8)
    context.is_busy = kind == "busy"
    context.now = 100.0
    assert _ask(context.book, 1, "m@1", "batch", context.now) == []


@then("no load is ordered for {seconds:d} s")
def step_no_load(context, seconds):
    """Check each second of the hold; a busy endpoint loads other models."""
    for second in range(seconds + 1):
        context.now = 100.0 + second
        if context.is_busy:
            context.book._loaded_at = context.now
        assert context.book.choose_order(context.now) == (None, [])


@when("another batch asking for the model comes and {seconds:d} s pass")
def step_company(context, seconds):
    """Ask again from another holder."""
    _ask(context.book, 7, "m@1", "batch", context.now, "other")
    context.now += seconds


@then("one load is ordered, and both are granted when it is done")
def step_one_load(context):
    """Check that one load serves both."""
    order, _ = context.book.choose_order(context.now)
    assert order.verb == LOAD
    assert context.book.choose_order(context.now) == (None, [])
    granted = context.book.finish_order(order, OrderResult.DONE, context.now + 1)
    assert {(out.to, out.message.nonce) for out in granted} == {("h", 1), ("other", 7)}


# Cost.


@when("a decision is made {times:d} times at {endpoints:d} endpoints")
def step_decide(context, times, endpoints):
    """Count the steps of a plan: hashes taken and places looked at."""
    router = RingRouter([f"e{index}" for index in range(endpoints)])
    calls = {"hash": 0}
    real = placement._hash

    def count_hash(text):
        calls["hash"] += 1
        return real(text)

    placer = router._placer
    looked = _CountingList(placer._names)
    placer._names = looked
    with patch.object(placement, "_hash", count_hash):
        for index in range(times):
            router.plan(f"ad-{index}@1", (), lambda name: 0.0)
    context.steps = (calls["hash"] + looked.reads) / times


class _CountingList(list):
    """A list that counts its reads."""

    reads = 0

    def __getitem__(self, index):
        self.reads += 1
        return super().__getitem__(index)


@then("it took at most {steps:d} comparisons of names")
def step_steps(context, steps):
    """Check the mean count."""
    assert 1 < context.steps <= steps, context.steps


@when("{requests:d} requests run under a pin, one after the other")
def step_run_under(context, requests):
    """Begin each request before the one before it ends."""
    table = PinTable()
    nonce = table.open_request("e", "m@1", 99.0)
    pin = table.accept(Grant("e", nonce, "m@1~1.1", 1, 1, 8), 1.0)
    table.begin(pin)
    for _ in range(requests - 1):
        table.begin(pin)
        assert table.end(pin, 2.0) is None
    context.release = table.end(pin, 3.0)
    context.pins = table


@then("the pin is {kept} when the last one ends")
def step_pin_kept(context, kept):
    """Check what became of the pin, and that a kept one goes later."""
    if kept == "given back":
        assert context.release is not None and context.pins.count_pins() == 0
        return
    assert context.release is None
    assert context.pins.return_idle(7.9) == []
    assert len(context.pins.return_idle(8.0)) == 1
