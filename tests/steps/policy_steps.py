"""Steps on the placement policy and its benchmark."""

import json
from unittest.mock import patch

from behave import given, then, when

from benchmarks.policies.run import BOUND, list_jobs, run_all
from benchmarks.policies.world import POLICIES
from roadlift.ownership.messages import Acquire, Grant, RefusalReason, Refuse, Report
from roadlift.ownership.orders import LOAD, UNLOAD, OrderResult
from roadlift.ownership.record import (
    EndpointProperties,
    EndpointRecord,
    OwnershipPolicy,
)
from roadlift.pins.table import PinTable
from roadlift.policy import placement
from roadlift.policy.loads import LoadGate, QueuedRequest
from roadlift.policy.placement import RingPlacer
from roadlift.policy.routing import RingRouter

ALL_POLICIES = [*POLICIES, BOUND]


def _run(scenario, deployment, seconds, policies):
    jobs = list_jobs([scenario], policies, seconds, 1, [deployment])
    return {result["policy"]: result for result in run_all(jobs)}


@when("{scenario} runs for {seconds:d} s at {deployment} with every policy")
def step_run(context, scenario, seconds, deployment):
    """Run a scenario with all policies and the clairvoyant planner."""
    context.results = _run(scenario, deployment, seconds, ALL_POLICIES)


def _get_stall(context, policy="roadlift"):
    return context.results[policy]["classes"]["interactive"]["stall"]


@then("the default's interactive p99 stall is at most {limit:g} s")
def step_p99(context, limit):
    """Check the bound on the tail latency."""
    assert 0 < _get_stall(context)["p99"] <= limit, _get_stall(context)


@then("its total interactive stall is at most {ratio:g} times the lower bound")
def step_ratio(context, ratio):
    """Check the ratio to the clairvoyant planner."""
    found = _get_stall(context)["total"] / _get_stall(context, BOUND)["total"]
    assert found <= ratio, found


@then("its interactive p99 stall is shorter than with both baselines")
def step_ahead(context):
    """Compare the tail latencies."""
    own = _get_stall(context)["p99"]
    for name in ("least_loaded_lru", "consistent_hash"):
        assert own < _get_stall(context, name)["p99"], (name, own)


@then("its batch efficiency is at most 2 points below either baseline")
def step_efficiency(context):
    """Compare the mean fill of the batches."""
    own = context.results["roadlift"]["batch_efficiency"]
    for name in ("least_loaded_lru", "consistent_hash"):
        other = context.results[name]["batch_efficiency"]
        assert own >= other - 0.02, (name, own, other)


@when("steady runs for {seconds:d} s at association with the {worse} policy")
def step_worse(context, seconds, worse):
    """Run a policy that performs worse."""
    context.results = _run("steady", "association", seconds, [worse])
    context.worse = worse


@then("its interactive p99 stall is above {limit:g} s")
def step_above(context, limit):
    """Check that the policy exceeds the bound."""
    assert _get_stall(context, context.worse)["p99"] > limit


@when("steady runs for {seconds:d} s at rullivaht with every policy, twice")
def step_twice(context, seconds):
    """Run all policies twice."""
    context.runs = [
        json.dumps(_run("steady", "rullivaht", seconds, ALL_POLICIES), sort_keys=True)
        for _ in range(2)
    ]


@then("the results of both runs are byte-identical")
def step_same(context):
    """Compare the results of the runs."""
    assert context.runs[0] == context.runs[1]


# Endpoint records.


def _make_record(slots, width, **more):
    return EndpointRecord(
        "e",
        "owner",
        1 << 20,
        EndpointProperties(True, slots, width),
        OwnershipPolicy(**more),
    )


def _request(record, nonce, model, priority, now, holder="h", last=True):
    request = Acquire("e", nonce, model, priority, 300.0, last)
    return record.acquire(holder, request, now)


def _load(record, model, now, holder="h", nonce=1):
    _request(record, nonce, model, "interactive", now, holder)
    order, _ = record.choose_order(now)
    assert order.verb == LOAD
    return record.finish_order(order, OrderResult.DONE, now)


@given("an endpoint record with 1 slot, a batch of 4 and loads of 1 s")
def step_small_record(context):
    """Create a record that expects loads to take 1 s."""
    context.record = _make_record(1, 4, max_orders=1)
    context.record._mean_load_seconds = 1.0
    context.now = 10.0


@when("{count:d} {priority} requests for different models arrive")
def step_requests(context, count, priority):
    """Request many models at the same time."""
    context.answers = [
        _request(context.record, n, f"m{n}@1", priority, context.now)
        for n in range(count)
    ]


@then("the first {taken:d} are queued and the others refused as full at once")
def step_taken(context, taken):
    """Check which requests are queued."""
    for index, answer in enumerate(context.answers):
        if index < taken:
            assert answer == [], (index, answer)
        else:
            assert answer[0].message.reason == RefusalReason.FULL, (index, answer)


@then("each refusal has a time to retry after")
def step_retry_after(context):
    """Check the times to retry after."""
    refusals = [answer[0].message for answer in context.answers if answer]
    assert refusals and all(refusal.retry_after >= 1.0 for refusal in refusals)


@given("an endpoint record with {running:d} running requests in a batch of {width:d}")
def step_busy_record(context, running, width):
    """Create a record to which a holder reports running requests."""
    context.record = _make_record(2, width)
    (granted,) = _load(context.record, "m@1", 1.0)
    pin = [granted.message.copy, 1, running, 0]
    context.record.receive_report("h", Report("e", 1, 2, [pin]), 1.0)


@when("a {priority} request for the loaded model arrives")
def step_ask_loaded(context, priority):
    """Request the loaded model, with other endpoints left to try."""
    answer = _request(context.record, 9, "m@1", priority, 2.0, "other", last=False)
    context.answer = answer[0].message


@then("it is granted")
def step_granted(context):
    """Check that a pin was granted."""
    assert isinstance(context.answer, Grant), context.answer


@then("it is {reason:w}")
def step_reason(context, reason):
    """Check the refusal's reason."""
    assert isinstance(context.answer, Refuse), context.answer
    assert context.answer.reason == reason, context.answer


# Routing.


@given("a ring of {count:d} endpoints")
def step_ring(context, count):
    """Create a router."""
    context.router = RingRouter([f"e{index}" for index in range(count)])


@when("a model is pinned at its first {pinned:d} endpoints with fills of {fills}")
def step_pinned(context, pinned, fills):
    """Plan a request with some pins."""
    context.ranked = RingPlacer([f"e{i}" for i in range(9)]).rank("m@1", 3)
    pins = context.ranked[:pinned]
    values = [float(text) for text in fills.split()] if pinned else []
    by_name = dict(zip(pins, values, strict=True))
    context.plan = context.router.plan("m@1", pins, by_name.__getitem__)


@then("the plan is to request at 3 endpoints")
def step_plan_ask(context):
    """Check that pins are requested in the order of the ring."""
    assert context.plan.use is None
    assert list(context.plan.ask) == list(context.ranked)


@then("the plan is to use the {position}")
def step_plan_use(context, position):
    """Check that the pin at the least loaded endpoint is used."""
    index = {"1st": 0, "2nd": 1}[position]
    assert context.plan.use == context.ranked[index], context.plan


@when("one of {count:d} endpoints is removed from the ring")
def step_leave_ring(context, count):
    """Rank models before and after the removal of an endpoint."""
    names = [f"e{index}" for index in range(count)]
    before, after = RingPlacer(names), RingPlacer(names[1:])
    context.firsts = [
        (before.rank(f"m{i}@1", 1)[0], after.rank(f"m{i}@1", 1)[0]) for i in range(2000)
    ]
    context.count = count


@then("at most {limit:d}% of 2000 models have another first endpoint")
def step_moved(context, limit):
    """Check how many models moved."""
    moved = sum(a != b for a, b in context.firsts)
    assert 0 < moved <= 20 * limit, moved


@then("no endpoint is the first of more than twice its share of models")
def step_spread(context):
    """Check that models are balanced over the ring."""
    firsts = [before for before, _ in context.firsts]
    highest = max(firsts.count(name) for name in set(firsts))
    assert highest <= 2 * len(firsts) / context.count, highest


# Eviction.


@given("a full record with copies used {uses} times, of which {pinned} run")
def step_full_record(context, uses, pinned):
    """Load models, use them, and leave some running."""
    counts = [int(text) for text in uses.split()]
    record = context.record = _make_record(len(counts), 8)
    context.copies = []
    for index, count in enumerate(counts):
        (granted,) = _load(record, f"m{index}@1", 1.0, nonce=index + 1)
        copy = record.copies[granted.message.copy]
        copy.use.note(2.0, count)
        context.copies.append(copy.name)
        if pinned != str(index):
            copy.pins.clear()


@when("another model is requested")
def step_another(context):
    """Request a model that needs a slot."""
    _request(context.record, 99, "other@1", "interactive", 3.0)
    context.order, _ = context.record.choose_order(3.0)


@then("copy {index:d} is evicted")
def step_evicted(context, index):
    """Check which copy is evicted."""
    assert context.order.verb == UNLOAD
    assert context.order.copy == context.copies[index], context.order


# Loads.


@given("loads that took {seconds:g} s each after one of 1 s")
def step_loads(context, seconds):
    """Record loads at a gate, the first one as the fastest."""
    gate = context.gate = LoadGate()
    for index, took in enumerate([1.0] + [seconds] * 6):
        wait = QueuedRequest("h", index, "m@1", "interactive", 999.0, 0.0)
        assert gate.try_start(wait, 100.0)
        gate.finish("interactive", took, 100.0)


@when("a {priority} load is due that has waited {waited:g} s")
def step_due(context, priority, waited):
    """Ask the gate whether the load may start."""
    wait = QueuedRequest("h", 9, "m@1", priority, 999.0, 100.0 - waited)
    context.may = context.gate.try_start(wait, 100.0)


@then("it {may} start")
def step_may_start(context, may):
    """Check the gate's answer."""
    assert context.may == (may == "may"), context.gate.compute_slowness(100.0)


@given("a record of a {kind} endpoint with 4 slots and one batch request")
def step_batch_record(context, kind):
    """Queue a batch request; a busy endpoint loads other models as well."""
    context.record = _make_record(4, 8)
    context.is_busy = kind == "busy"
    context.now = 100.0
    assert _request(context.record, 1, "m@1", "batch", context.now) == []


@then("no load is ordered for {seconds:d} s")
def step_no_load(context, seconds):
    """Check each second of the delay; a busy endpoint loads other models."""
    for second in range(seconds + 1):
        context.now = 100.0 + second
        if context.is_busy:
            context.record._load_started_at = context.now
        assert context.record.choose_order(context.now) == (None, [])


@when("another batch request for the model arrives and {seconds:d} s pass")
def step_company(context, seconds):
    """Request the model from another holder."""
    _request(context.record, 7, "m@1", "batch", context.now, "other")
    context.now += seconds


@then("one load is ordered, and both are granted when it is done")
def step_one_load(context):
    """Check that one load serves both requests."""
    order, _ = context.record.choose_order(context.now)
    assert order.verb == LOAD
    assert context.record.choose_order(context.now) == (None, [])
    granted = context.record.finish_order(order, OrderResult.DONE, context.now + 1)
    assert {(out.to, out.message.nonce) for out in granted} == {("h", 1), ("other", 7)}


# Cost.


@when("a decision is made {times:d} times at {endpoints:d} endpoints")
def step_decide(context, times, endpoints):
    """Count the operations of a plan: hashes and reads of the ring."""
    router = RingRouter([f"e{index}" for index in range(endpoints)])
    calls = {"hash": 0}
    real = placement._hash

    def count_hash(text):
        calls["hash"] += 1
        return real(text)

    placer = router._placer
    counted = _CountingList(placer._names)
    placer._names = counted
    with patch.object(placement, "_hash", count_hash):
        for index in range(times):
            router.plan(f"ad-{index}@1", (), lambda name: 0.0)
    context.steps = (calls["hash"] + counted.reads) / times


class _CountingList(list):
    """A list that counts its reads."""

    reads = 0

    def __getitem__(self, index):
        self.reads += 1
        return super().__getitem__(index)


@then("it took at most {steps:d} hashes and reads of the ring")
def step_steps(context, steps):
    """Check the mean number of operations."""
    assert 1 < context.steps <= steps, context.steps


@when("{requests:d} requests run under a pin, one after the other")
def step_run_under(context, requests):
    """Begin each request before the previous one ends."""
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
    """Check the pin, and that a kept one is released later."""
    if kept == "released":
        assert context.release is not None and context.pins.count_pins() == 0
        return
    assert context.release is None
    assert context.pins.return_idle(7.9) == []
    assert len(context.pins.return_idle(8.0)) == 1
