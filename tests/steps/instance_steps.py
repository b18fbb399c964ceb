"""Steps on instances that serve a platform's routes."""

import json

from behave import given, then, when

from roadlift.instance.leases import Leases
from roadlift.instance.platform import Platform
from roadlift.serving.calls import Model
from standins.replies import Reply
from tests.support.configuration import BASE, ROUTES, SERVICES, make_route
from tests.support.entries import Entries

_STREAM = {"model": BASE, "token-count": "10,20", "prompt-prefix": "ab:10"}
_ADAPTER = {**_STREAM, "model": f"{BASE}/x"}
_OWN = {
    "hold": "1",
    "pin-ms": "5",
    "kv-backup": "1.2.3.4:5",
    "kv-from": "1.2.3.4:5/x",
    "kv-fetch": "1.2.3.4:5",
    "expect-version": "7",
    "connection": "x-private",
    "x-private": "1",
}
_CALLS = {
    "an idempotent call": ("/idem/1?q=2", {}),
    "a call to run once": ("/once/1", {}),
    "a stream": ("/stream/1", _STREAM),
    "a stream of an adapter": ("/stream/1", _ADAPTER),
    "a resumable stream": ("/again/1", _STREAM),
    "a call without a route": ("/nowhere/1", {}),
    "a call of the added route": ("/added/1", {}),
    "a call without an id": ("/idem/1", {"request-id": ""}),
    "an idempotent call with 300 ms": ("/idem/1", {"deadline-ms": "300"}),
    "an idempotent call with the headers of the system": ("/idem/1", _OWN),
}
_REFUSAL = Reply(503, {"not-run": "1", "request-id": ""})
_FAULTS = {
    "refuse once": [_REFUSAL],
    "refuse thrice": [_REFUSAL],
    "fail once": [Reply(500, {"server-stamp": "s", "request-id": ""})],
    "lose an answer": ["lose"],
    "answer 503 without not-run": [Reply(503, {"request-id": ""})],
    "answer 200 without a stamp": [Reply(200, {"request-id": ""})],
    "never answer": ["mute"],
    "cut a stream": ["cut"],
    "stall a stream": ["stall"],
}


@given("an installation with instances a and b in zone z1 and c in zone z2")
def step_installation(context):
    """Create the store and start three instances."""
    context.entries = Entries()
    context.entries.counts_suspension = getattr(context, "counts_suspension", True)
    context.add_cleanup(context.entries.close)
    context.entries.configure(ROUTES, SERVICES)
    for name, zone in (("a", "z1"), ("b", "z1"), ("c", "z2")):
        context.entries.start(name, zone)


@given(
    "engines e1 and e2 in z1 and e3 in z2, and plain endpoints p1 in z1 and p2 in z2"
)
def step_runners(context):
    """Start the endpoints, and wait until all instances know them."""
    installation = context.entries.installation
    for name, zone in (("e1", "z1"), ("e2", "z1"), ("e3", "z2")):
        installation.add_runner("llm", name, zone, BASE)
    for name, zone in (("p1", "z1"), ("p2", "z2")):
        installation.add_runner("plain", name, zone, "")
    context.entries.advance(3.0)


def _runners(context, kind):
    letter = "e" if kind == "engines" else "p"
    runners = context.entries.installation.runners
    return [one for name, one in runners.items() if name.startswith(letter)]


@given("the endpoint selection of {name} raises an error")
def step_break_selection(context, name):
    """Raise an unexpected kind of error in the endpoint selection."""

    def choose_endpoint(service, excluded):
        """Raise a KeyError."""
        raise KeyError(service)

    context.entries.entries[name].ingress._placement.choose_endpoint = choose_endpoint


@then("{name} has no running call")
def step_no_call(context, name):
    """Check that the instance has no exchange left."""
    assert not context.entries.entries[name].ingress._exchanges


@given("plain endpoints {fault} next")
def step_plain_fault(context, fault):
    """Inject a fault into a call to a plain endpoint."""
    _set_fault(context, "plain endpoints", fault)


@given("engines {fault} next")
def step_engine_fault(context, fault):
    """Inject a fault into a call to an engine."""
    _set_fault(context, "engines", fault)


def _set_fault(context, kind, fault):
    """Set the faults of the first calls; each fault occurs once in all."""
    runners = _runners(context, kind)
    faults = list(_FAULTS[fault])
    if fault == "refuse thrice":
        runners[0].faults = list(faults)
        runners[1].faults = list(faults)
        return
    # The endpoint that is called first consumes the fault.
    for runner in runners:
        runner.faults = faults


@given("the next {count:d} orders to each engine get no answer")
def step_lose_orders(context, count):
    """Lose orders; every second one is carried out late."""
    for runner in _runners(context, "engines"):
        runner.lost_orders = count


@given("engines take {seconds:g} seconds to load an adapter")
@when("engines take {seconds:g} seconds to load an adapter again")
def step_slow_loads(context, seconds):
    """Set the load time of the engines."""
    for runner in _runners(context, "engines"):
        runner.load_time = seconds


@then("no engine was ordered over its slots")
def step_slots(context):
    """Check that no engine crashed for lack of slots."""
    assert not any(runner.crashed for runner in _runners(context, "engines"))


@given("nothing special")
def step_nothing(context):
    """Change nothing."""


@given("all plain endpoints are gone")
def step_all_gone(context):
    """Delete the entries of the plain endpoints."""
    for name in ("p1", "p2"):
        context.entries.installation.store.delete("servers", name)
    context.entries.advance(1.0)


@given("all endpoints reject many calls")
def step_refuse(context):
    """Let every plain endpoint reject many calls."""
    for runner in _runners(context, "plain endpoints"):
        runner.faults = [_REFUSAL] * 50


@given("an instance d that can't reach the store")
def step_cut_instance(context):
    """Start an instance that is cut off from the store."""
    installation = context.entries.installation
    entry = context.entries.start("d", "z1")
    installation.cut_from_store.add(entry.dialer)
    context.entries.advance(2.0)


@given(
    "an instance d in z1 with a link of {first:g} Mbit/s, and e with one of {second:g}"
)
def step_links(context, first, second):
    """Start two instances, of which the first would acquire a lease sooner."""
    for name, rate in (("d", first), ("e", second)):
        context.entries.start(name, "z1", {"link_mbps": rate})
    context.entries.advance(1.0)


@given("an instance {name:w} in z1 with a link of {rate:g} Mbit/s")
def step_link(context, name, rate):
    """Start an instance with a link of the given rate."""
    context.entries.start(name, "z1", {"link_mbps": rate})


@given("the store loses the next answer to a write")
def step_lose(context):
    """Lose the answer to the next renewal of a lease."""
    context.entries.installation.store.lose_answers = 1


@given("an engine e4 in z1 without its base model")
def step_empty(context):
    """Add an engine without a model."""
    context.entries.installation.add_runner("llm", "e4", "z1", "")


def _send(context, call, name):
    target, headers = _CALLS[call]
    context.runs_before = _count_runs(context)
    context.sent_at = context.entries.installation.clock.now()
    context.hub_caller = context.entries.call(name, target, headers)


@when("{call} is sent to the instance of z1 that owns nothing")
def step_send_other(context, call):
    """Send a call to the instance that does not read the store itself."""
    _send(context, call, context.other)


@when("{call} is sent to {name:w}")
def step_send(context, call, name):
    """Send a call."""
    _send(context, call, name)


def _record_requests(context):
    """Keep what all instances send."""
    context.requests = []
    for entry in context.entries.entries.values():
        entry.dialer.open = _record_opened(context, entry.dialer.open)


def _record_opened(context, open_line):
    def open_recorded(address, request, *values):
        """Record a request, and send it."""
        context.requests.append(request)
        return open_line(address, request, *values)

    return open_recorded


@given("each engine answers {count:d} orders as done without carrying them out")
def step_false_orders(context, count):
    """Let a repetition of an earlier answer stand for the order's own."""
    for runner in _runners(context, "engines"):
        carry_out = runner._carry_out
        left = iter(range(count))
        runner._carry_out = lambda order, left=left, carry_out=carry_out: (
            carry_out(order) if next(left, None) is None else 202
        )


@when("streams of {count:d} adapters are sent to a, {seconds:g} seconds apart")
def step_send_several(context, count, seconds):
    """Send streams, each of another adapter."""
    context.several = []
    for number in range(count):
        headers = {**_STREAM, "model": f"{BASE}/y{number}"}
        context.several.append(context.entries.call("a", "/stream/1", headers))
        context.entries.advance(seconds)


@then("{least:d} of them are served, and no engine holds more than it has places for")
def step_several(context, least):
    """Check the answers, and that no engine crashed of too many adapters."""
    statuses = [_get_status(caller) for caller in context.several]
    assert statuses.count(200) >= least, statuses
    assert not any(runner.crashed for runner in _runners(context, "engines"))


@when("{call} is sent to a and its sends are recorded")
def step_send_recorded(context, call):
    """Send a call and another one behind it, and keep the requests."""
    _record_requests(context)
    _send(context, call, "a")
    context.entries.call("a", *_CALLS["an idempotent call"])


@then("its sends exclude each other's connections, and no other call's")
def step_histories(context):
    """Check which sends share a history of connections."""
    histories = {}
    for request in context.requests:
        if request.echo is not None and request.echo[1]:
            assert request.history is not None
            histories.setdefault(request.echo[1], []).append(request.history)
    sent = [len(found) for found in histories.values()]
    assert len(sent) == 2 and max(sent) > 1, sent
    assert all(len(set(map(id, found))) == 1 for found in histories.values())
    assert len({id(found[0]) for found in histories.values()}) == len(sent)


@when("an idempotent call is sent to a 0.1 seconds later")
def step_send_later(context):
    """Wait until updates have arrived, then send a call."""
    context.entries.advance(0.1)
    _send(context, "an idempotent call", "a")


@when("20 idempotent calls are sent to a")
def step_send_many(context):
    """Send calls one after the other."""
    _send_many(context, "a")


@when("20 idempotent calls are sent to the instance of z1 that owns nothing")
def step_send_many_other(context):
    """Send calls to the instance that does not read the store itself."""
    _send_many(context, context.other)


def _send_many(context, name):
    context.first = len(context.entries.callers)
    for _ in range(20):
        _send(context, "an idempotent call", name)
        context.entries.advance(0.05)


@when("a call of the added route is sent to each instance")
def step_send_added_all(context):
    """Send a call of the added route to every instance."""
    context.first = len(context.entries.callers)
    for name in context.entries.entries:
        _send(context, "a call of the added route", name)


@when("a route is added and {seconds:g} seconds pass")
def step_add_route(context, seconds):
    """Write another configuration."""
    _add_route(context)
    context.entries.advance(seconds)


@when("nothing happens")
def step_nothing_happens(context):
    """Record which instance of z1 owns nothing, and the calls made so far."""
    _note_other(context)
    store = context.entries.entries[context.other].kernel.get(Platform).store
    context.operator_calls = sum(
        count for call, count in store.calls.items() if call.table == "op"
    )
    if "called" in context:
        context.called_before = len(context.called)


def _note_other(context):
    """Record the instance of z1 that has no lease."""
    owner = _find_owner(context, "z1")
    context.other = "b" if owner == "a" else "a"


@then("the instance of z1 that owns nothing has called the store once at most since")
def step_few_store_calls(context):
    """Count its calls to the store over 5 further seconds."""
    _note_other(context)
    entry = context.entries.entries[context.other]
    calls = context.entries.installation.store_calls
    before = calls[entry.dialer]
    context.entries.advance(5.0)
    assert calls[entry.dialer] - before <= 1, calls[entry.dialer] - before


@then("the instance of z1 that owns nothing does not request a lease for 20 seconds")
def step_no_lease_write(context):
    """Check that it writes no row for 20 seconds."""
    store = context.entries.entries[context.other].kernel.get(Platform).store
    before = dict(store.calls)
    context.entries.advance(20.0)
    gained = {
        call: count - before.get(call, 0)
        for call, count in store.calls.items()
        if call.action == "write"
    }
    assert not any(gained.values()), gained


@when("streams of {count:d} adapters are sent to {name}, one each {interval:g} seconds")
def step_send_adapters(context, count, name, interval):
    """Send streams of different adapters."""
    if name == "the other instance of z1":
        name = context.other
    context.first = len(context.entries.callers)
    for index in range(count):
        headers = {**_STREAM, "model": f"{BASE}/y{index}", "deadline-ms": "1900"}
        context.entries.call(name, "/stream/1", headers)
        context.entries.advance(interval)


@when("its caller disconnects")
def step_gone(context):
    """Signal to the exchange that its caller has disconnected."""
    context.entries.advance(0.02)
    context.hub_caller.on_gone()


@when("{seconds:g} second passes")
@when("{seconds:g} seconds pass")
def step_pass_entries(context, seconds):
    """Advance the clock."""
    if "entries" in context:
        context.entries.advance(seconds)
        return
    target = context.endpoint if "endpoint" in context else context.ingress
    target.driver.advance(seconds)


@when("version 2 of the adapter is declared")
def step_version(context):
    """Declare a new version, as the operator does."""
    installation = context.entries.installation
    installation.versions["x"] = 2
    content = {"model": BASE, "adapter": "x", "version": 2}
    installation.store.put("op", f"version/{BASE}.x", content)


@when("the route of idempotent calls is moved to the engines' zone")
def step_move(context):
    """Write a configuration without the route."""
    context.entries.configure(ROUTES[1:], SERVICES)


@when("the operator's row shows the old configuration again")
def step_older_configuration(context):
    """Write a configuration with a lower version."""
    context.entries.version -= 2
    context.entries.configure(ROUTES, SERVICES)


def _add_route(context):
    """Write a configuration with another route."""
    added = make_route("/added/", "idempotent", "plain")
    context.entries.configure([*ROUTES, added], SERVICES)


@when(
    "a route is added as the store goes down for {seconds:d} seconds, "
    "and {count:d} reads get no answer after it"
)
def step_add_route_before_outage(context, seconds, count):
    """Take the store down before any instance has read the configuration."""
    store = context.entries.installation.store
    store.is_down = True
    store.forget_polls()
    _add_route(context)
    context.entries.advance(seconds)
    store.is_down = False
    store.lose_polls = count


@when("waiting reads at the store are dropped, and a route is added")
def step_drop_reads(context):
    """Drop the reads that wait at the store without an answer."""
    context.entries.installation.store.forget_polls()
    _add_route(context)


@when("p1 drains and {seconds:g} seconds pass")
def step_drains(context, seconds):
    """Let an endpoint drain."""
    installation = context.entries.installation
    installation.store.put(
        "servers", "p1", installation.runners["p1"].describe("draining")
    )
    context.entries.advance(seconds)


@when("the entry of p1 is deleted and {seconds:g} seconds pass")
def step_delete_entry(context, seconds):
    """Delete the entry of an endpoint."""
    context.entries.installation.store.delete("servers", "p1")
    context.entries.advance(seconds)


@when("p1 renews its entry, the entry is deleted, and {seconds:g} seconds pass")
def step_renew_and_delete(context, seconds):
    """Write an entry and delete it between two reads."""
    installation = context.entries.installation
    installation.store.put("servers", "p1", installation.runners["p1"].describe())
    installation.store.delete("servers", "p1")
    context.entries.advance(seconds)


@when("the store is down for 3 seconds and the entries of p1 and p2 expire")
def step_outage(context):
    """Take the store down, and delete entries in the meantime."""
    store = context.entries.installation.store
    store.is_down = True
    context.entries.advance(3.0)
    for name in ("p1", "p2"):
        store.delete("servers", name)
    store.is_down = False
    context.entries.advance(1.5)


@when("the store drops its history while the entry of p1 is deleted")
def step_drop_history(context):
    """Drop the store's history of changes."""
    store = context.entries.installation.store
    store.delete("servers", "p1")
    store.oldest = store.version + 1
    store.version += 1


def _find_owner(context, zone):
    for name, entry in context.entries.entries.items():
        if zone in entry.kernel.get(Leases).list_held():
            return name
    raise AssertionError(f"{zone} has no owner")


@when("the owner of z1 dies")
def step_owner_dies(context):
    """Kill the owner."""
    _note_other(context)
    context.entries.end(_find_owner(context, "z1"))


@when("the owner of z1 is cut from the store")
def step_owner_cut(context):
    """Cut the owner off from the store only."""
    _note_other(context)
    entry = context.entries.entries[_find_owner(context, "z1")]
    context.entries.installation.cut_from_store.add(entry.dialer)


@when("the owner of z1 reaches the store again")
def step_owner_healed(context):
    """End the cut of the only instance that is cut off from the store."""
    context.entries.installation.cut_from_store.clear()


@when("the owner of z1 restarts")
def step_owner_restarts(context):
    """Kill the owner, and start the next process of its instance."""
    name = _find_owner(context, "z1")
    context.entries.end(name)
    context.entries.advance(0.5)
    context.entries.start(name, "z1")


@when("the instance of z1 that owns nothing restarts")
def step_other_restarts(context):
    """Kill the instance, and start its next process."""
    context.entries.end(context.other)
    context.entries.start(context.other, "z1")


@when("the owner of z1 leaves")
def step_owner_leaves(context):
    """Let the owner drain."""
    _note_other(context)
    context.entries.entries[_find_owner(context, "z1")].ingress.leave()


@when("both instances of z1 die")
def step_zone_dies(context):
    """Kill all instances of a zone."""
    for name in ("a", "b"):
        context.entries.end(name)


@when("an instance d is started in z1")
def step_start_instance(context):
    """Start another instance."""
    context.entries.start("d", "z1")


@then("{name} owns z1")
def step_owns(context, name):
    """Check which instance holds the lease."""
    assert _find_owner(context, "z1") == name, _find_owner(context, "z1")


@then("z1 has an owner that may give orders")
def step_owned(context):
    """Check that some instance may send orders."""
    now = context.entries.installation.clock.now()
    entries = context.entries.entries.values()
    leases = [one.kernel.get(Leases).get("z1") for one in entries]
    assert any(lease.may_order(now) for lease in leases)


@when("a starts to drain")
def step_drain(context):
    """Start the drain of an instance."""
    context.entries.entries["a"].ingress.leave()


def _count_runs(context):
    runners = context.entries.installation.runners.values()
    return sum(len(runner.ran) for runner in runners)


def _list_orders(context):
    """Return (time, order) of each order by engine."""
    runners = context.entries.installation.runners
    return {name: runner.orders for name, runner in runners.items()}


def _get_status(caller):
    if caller.error is not None and not caller.started:
        return caller.error.status
    return caller.status if caller.is_whole else 0


@then("it gets {status:d} within {seconds:g} seconds")
def step_gets(context, status, seconds):
    """Check the final answer, and when it was received."""
    waited = 0.0
    while not _get_status(context.hub_caller) and waited < seconds:
        context.entries.advance(0.01)
        waited += 0.01
    found = _get_status(context.hub_caller)
    assert found == status, (found, context.hub_caller.error)


@then("one endpoint has run it once, as it was sent")
def step_ran_once(context):
    """Check the request that the endpoint received."""
    assert _count_runs(context) == context.runs_before + 1
    number = f"r{len(context.entries.callers)}"
    runs = [
        run
        for runner in context.entries.installation.runners.values()
        for run in runner.ran
        if run["request-id"] == number
    ]
    assert len(runs) == 1 and runs[0][":body"] == "b'body'"
    assert runs[0][":path"].endswith(("/1", "/1?q=2"))


@then("its body is the events 0, 1 and 2")
def step_events(context):
    """Check that each event was received once and complete."""
    wanted = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(3))
    assert context.hub_caller.body == wanted, context.hub_caller.body


@then("its stamp is that of the endpoint")
def step_stamp(context):
    """Check the header that proves that the endpoint ran the call."""
    assert context.hub_caller.headers["server-stamp"].startswith("stamp-e")


@then("{count:d} load was ordered")
def step_loads(context, count):
    """Count the loads that were accepted as new."""
    found = sum(
        order["op"] == "load" and order["expected"] == 0
        for orders in _list_orders(context).values()
        for _, order in orders[:1]
    )
    assert found == count, found


@then("all get 200")
def step_all(context):
    """Check every answer since the last step that sent several calls."""
    context.entries.advance(2.0)
    found = [_get_status(one) for one in context.entries.callers[context.first :]]
    assert set(found) == {200}, found


@then("no engine has crashed")
def step_no_crash(context):
    """Check that no engine was ordered to hold too many adapters."""
    assert not any(one.crashed for one in _runners(context, "engines"))


@then("it has run {count:d} times")
def step_runs(context, count):
    """Count the runs of the last call."""
    found = _count_runs(context) - context.runs_before
    assert found == count, found


@then("its answer is cut short")
def step_cut(context):
    """Check that an answer was begun and cut off."""
    caller = context.hub_caller
    assert caller.started and not caller.is_whole and caller.is_cut


@then("it has a Retry-After header")
def step_retry_after(context):
    """Check the Retry-After header of a call that did not run."""
    assert float(context.hub_caller.error_headers["Retry-After"]) > 0


@then("it has no Retry-After header")
def step_no_retry_after(context):
    """Check that there is no Retry-After header."""
    assert "Retry-After" not in context.hub_caller.error_headers


@then("{name:w} is not ready")
def step_not_ready(context, name):
    """Check what the load balancer is told."""
    assert not context.entries.entries[name].ingress.is_ready


@then("the run is cancelled within 0.05 seconds")
def step_cancelled(context):
    """Check that the endpoint receives the cancellation."""
    context.entries.advance(0.05)
    runners = _runners(context, "plain endpoints")
    assert sum(runner.cancelled for runner in runners) == 1


def _find_last_run(context):
    number = f"r{len(context.entries.callers)}"
    runners = context.entries.installation.runners.values()
    return next(
        run for one in runners for run in one.ran if run["request-id"] == number
    )


@then("the endpoint was given at most 300 ms")
def step_given(context):
    """Check the remaining time that the endpoint was given."""
    assert 250 < int(_find_last_run(context)["deadline-ms"]) <= 300


@then("the endpoint has seen none of them")
def step_hidden(context):
    """Check that the headers reserved for the system were dropped."""
    run = _find_last_run(context)
    assert not set(run) & set(_OWN), sorted(run)


@then("it has run on version 2")
def step_on_version(context):
    """Check that the engine held the new version."""
    number = f"r{len(context.entries.callers)}"
    (runner,) = (
        one
        for one in _runners(context, "engines")
        if any(run["request-id"] == number for run in one.ran)
    )
    assert runner.held["x"] == 2
    assert _find_last_run(context)["expect-version"] == "2"


@then("p1 has run none of them")
def step_unused(context):
    """Check that no call was sent to an endpoint that drains or is gone."""
    numbers = {f"r{n + 1}" for n in range(context.first, len(context.entries.callers))}
    ran = context.entries.installation.runners["p1"].ran
    assert not [run for run in ran if run["request-id"] in numbers]


@then("no two instances alternate in sending orders to an engine")
def step_no_alternation(context):
    """Check each change of the holder, and that there was one.

    Orders of two holders are separated by the longest time that an order may
    be in transit, and a holder does not send orders again within 3 seconds
    after another one did.
    """
    changes = 0
    for orders in _list_orders(context).values():
        last_by = {}
        for (at, order), (later, other) in zip(orders, orders[1:], strict=False):
            last_by[order["holder"]] = at
            if order["holder"] != other["holder"]:
                changes += 1
                assert later - at >= 0.5, (at, later)
                since = later - last_by.get(other["holder"], -9.0)
                assert since >= 3.0, (since, other)
    assert changes > 0, "no engine was ordered by two instances"


@then("fencing numbers grow with each new owner")
def step_fences(context):
    """Check that fencing numbers never decrease and none is shared."""
    by_fence = {}
    for orders in _list_orders(context).values():
        fences = [order["fence"] for _, order in orders]
        assert fences == sorted(fences), fences
        for _, order in orders:
            by_fence.setdefault(order["fence"], set()).add(order["holder"])
    assert all(len(holders) == 1 for holders in by_fence.values()), by_fence


@then("a has drained")
def step_drained(context):
    """Check that the drain has ended."""
    assert context.entries.entries["a"].ingress.is_drained


@then("e4 was ordered to load its base model")
def step_base(context):
    """Check the order for the base model."""
    orders = context.entries.installation.runners["e4"].orders
    assert orders and "adapter" not in orders[0][1], json.dumps(orders)
    assert Model(BASE).adapter == ""
