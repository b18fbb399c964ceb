"""Steps on evacuated zones, cold endpoints and homes."""

from behave import given, step, then, when

from roadlift.decisions.evacuation import compute_stop_time
from roadlift.decisions.homes import Regions
from roadlift.decisions.limits import NO_BASIS, Claim, SendLedger
from roadlift.decisions.warmup import ColdEndpoints
from roadlift.instance.follower import Follower
from roadlift.instance.metrics import InstanceMetrics
from standins.runners import REFUSAL
from tests.steps.limit_steps import cause_fault, find_endpoints, step_served
from tests.support.configuration import (
    BASE,
    ROUTES,
    SERVICES,
    make_route,
    make_tenant,
)
from tests.support.entries import Entries

_SLOTS = 6
_REGIONS = "z1=north,z2=south"
_KEY = "a-key"


@when("the zone {zone} is evacuated for {seconds:g} seconds")
def step_evacuate(context, zone, seconds):
    """Write the operator's row, and let time pass."""
    _forget_calls(context)
    context.zone = zone
    context.waits_before = _count_waits(context)
    context.entries.installation.evacuate(zone)
    context.entries.advance(seconds)


@when(
    "the zone {zone} is evacuated for {seconds:g} seconds, and 1 second later {fault}"
)
def step_evacuate_while(context, zone, seconds, fault):
    """Write the row, and cause a fault."""
    step_evacuate(context, zone, 1.0)
    cause_fault(context, fault)
    context.entries.advance(seconds - 1.0)


@step("the zone {zone} is taken back")
def step_take_back(context, zone):
    """Delete the operator's row."""
    _forget_calls(context)
    context.returned_at = context.entries.installation.clock.now()
    context.entries.installation.take_back(zone)


def _forget_calls(context):
    for kind in ("streams", "plain_calls"):
        if hasattr(context, kind):
            getattr(context, kind).clear()


@then("no call and no order reached the zone late")
def step_none_late(context):
    """Check the calls and orders at the endpoints of evacuated zones."""
    installation = context.entries.installation
    stray = installation.places.list_stray()
    worst = max(stray, key=lambda one: one.after, default=None)
    assert not stray, (len(stray), worst)
    late = installation.places.list_late(
        (at, runner.zone)
        for runner in installation.runners.values()
        for at, _ in runner.orders
    )
    assert not late, (len(late), max(late))


def _count_waits(context):
    """Return how many calls of all instances waited for an adapter."""
    texts = [
        entry.kernel.get(InstanceMetrics).render().decode()
        for entry in context.entries.entries.values()
    ]
    lines = [line for text in texts for line in text.splitlines()]
    return sum(
        float(line.split()[-1])
        for line in lines
        if line.startswith("roadlift_wait_seconds_count")
    )


@then("no more than {most:d} streams waited for an adapter")
def step_no_wait(context, most):
    """Count the waits since the evacuation began."""
    waits = _count_waits(context) - context.waits_before
    assert waits <= most, waits


@then("each of its plain endpoints gets calls within {seconds:g} seconds")
def step_plain_used_again(context, seconds):
    """Count the calls at the plain endpoints of the zone."""
    step_used_again(context, seconds, ("plain",))


@then("each of its endpoints gets calls within {seconds:g} seconds")
def step_used_again(context, seconds, services=("plain", "llm")):
    """Count the calls at the endpoints of the zone that was taken back."""
    context.entries.advance(seconds)
    installation = context.entries.installation
    for runner in installation.runners.values():
        if runner.zone == context.zone and runner.service in services:
            calls = installation.limits.count_calls(
                runner.id, context.returned_at, installation.clock.now()
            )
            assert calls > 0, runner.id


@then("calls of both kinds are refused within {most:g} seconds as {code}")
def step_refused(context, most, code):
    """Check the answers to calls that are sent now."""
    entries = context.entries
    headers = {"deadline-ms": "4000", "model": f"{BASE}/x1", "token-count": "10,20"}
    calls = [
        entries.call(name, target, headers if target == "/long/1" else {})
        for name in entries.entries
        for target in ("/long/1", "/idem/1")
    ]
    entries.advance(most)
    assert {call.error and call.error.code for call in calls} == {code}
    assert all(float(call.error_headers["Retry-After"]) >= 1.0 for call in calls)


@when("the operator writes the row {row}")
def step_write_row(context, row):
    """Write a row in the operator's table, and wait."""
    _forget_calls(context)
    context.entries.installation.store.put("op", row, {})
    context.entries.advance(3.0)


@then("all instances know {count:d} open zones")
def step_open_zones(context, count):
    """Check which zones have endpoints that accept calls."""
    for name, entry in context.entries.entries.items():
        directory = entry.kernel.get(Follower).directory
        ready = [*directory.list_ready("llm"), *directory.list_ready("plain")]
        zones = {endpoint.zone for endpoint in ready}
        assert len(zones) == count, (name, zones)


@when("the store {trouble}, and the row is {change} meanwhile")
def step_store_trouble(context, trouble, change):
    """Lose the store's history or newest writes around a change."""
    store = context.entries.installation.store
    if trouble == "loses its history":
        store.is_down = True
        context.entries.advance(1.0)
        if change == "deleted":
            context.entries.installation.take_back("z1")
        store.forget_polls()
        store.oldest = store.version + 1
        store.is_down = False
        return
    lost = store.go_back(5.0)
    context.entries.advance(0.5)
    kept = [one for one in lost if change == "written again" or one.table != "op"]
    store.write_again(kept)


@then("{seconds:g} seconds later all instances know {count:d} open zones")
def step_later_open(context, seconds, count):
    """Wait, and check which zones are open."""
    context.entries.advance(seconds)
    step_open_zones(context, count)


@when("all instances are killed and restart")
def step_restart_all(context):
    """Kill all instances and start them again."""
    cause_fault(context, "all instances are killed and restart")


@when("all engines of {zone} are {state} for {seconds:g} seconds")
def step_engines_away(context, zone, state, seconds):
    """End the processes of a zone's engines, or let them answer nothing."""
    installation = context.entries.installation
    engines = [
        runner
        for runner in installation.runners.values()
        if runner.service == "llm" and runner.zone == zone
    ]
    for runner in engines:
        runner.is_mute = True
        if state == "down":
            del installation.runners[runner.id]
    context.entries.advance(seconds)


@then("the lease of {zone} changed hands {most:d} times at most")
def step_lease_changes(context, zone, most):
    """Count the terms that began since the events are recorded."""
    gained = [
        event
        for event in context.recorder.events
        if event["event"] == "lease_gained" and event["zone"] == zone
    ]
    assert len(gained) <= most, gained


# Cold endpoints.


@given("cold endpoints take {rate:g} calls a second")
def step_cold_rate(context, rate):
    """Write a configuration that names the rate."""
    context.cold_rate = rate
    context.entries.configure(ROUTES, SERVICES, _SLOTS, rate)
    context.entries.advance(1.0)


def _replace_by_cold(context, endpoint, seconds):
    """Replace endpoints by others whose first entries say they are cold."""
    installation = context.entries.installation
    context.cold_since = installation.clock.now()
    _forget_calls(context)
    context.cold = []
    for runner in find_endpoints(context, endpoint):
        del installation.runners[runner.id]
        installation.store.delete("servers", runner.id)
        context.cold.append(installation.replace(runner))
        context.cold[-1].turn_cold(context.cold_rate, seconds)


@when("{endpoint} turns cold for {seconds:g} seconds while {fault}")
def step_turn_cold(context, endpoint, seconds, fault):
    """Replace endpoints by cold ones, and cause a fault after a third."""
    _replace_by_cold(context, endpoint, seconds)
    context.entries.advance(seconds / 3)
    cause_fault(context, fault)
    left = context.cold_since + seconds - context.entries.installation.clock.now()
    context.entries.advance(max(0.0, left))


@when("{endpoint} turns cold for {seconds:g} seconds, of which {passed:g} pass")
def step_turn_cold_partly(context, endpoint, seconds, passed):
    """Replace endpoints by cold ones, and let a part of the time pass."""
    _replace_by_cold(context, endpoint, seconds)
    context.entries.advance(passed)


@step(
    "its endpoints turn cold for {seconds:g} seconds, which their entries tell"
    " {later:g} seconds later"
)
def step_cold_unnoticed(context, seconds, later):
    """Let endpoints become cold between two heartbeats."""
    installation = context.entries.installation
    for runner in installation.runners.values():
        if runner.zone == context.zone:
            now = installation.clock.now()
            runner.cold_until = now + seconds
            installation.places.note_cold(
                runner.id, context.cold_rate, now, now + seconds
            )
            installation.timeline.call_later(later, runner._beat)


@then("no cold endpoint got more than it takes")
def step_not_crowded(context):
    """Check the calls in each second at the endpoints."""
    crowded = context.entries.installation.places.list_crowded()
    worst = max(crowded, key=lambda one: one.calls, default=None)
    assert not crowded, (len(crowded), worst)


@then("{least:d} in 100 of what cold endpoints take was run")
def step_cold_used(context, least):
    """Count the calls at the cold endpoints, from their second second on."""
    installation = context.entries.installation
    since, until = context.cold_since + 1.0, installation.clock.now()
    allowed = len(context.cold) * context.cold_rate * (until - since)
    calls = sum(
        installation.limits.count_calls(one.id, since, until) for one in context.cold
    )
    assert calls >= least / 100 * allowed, (calls, allowed)


@then("{seconds:g} seconds later {least:d} in 100 of the plain calls are served")
def step_served_later(context, seconds, least):
    """Wait, and compare the calls of the next seconds."""
    context.entries.advance(seconds)
    _forget_calls(context)
    context.entries.advance(2.0)
    step_served(context, least, "plain calls")


# Homes.


@given("2 instances in z1 of north and z2 of south, with endpoints in both")
def step_two_regions(context):
    """Start them, and wait until they are ready."""
    context.entries = entries = Entries()
    context.add_cleanup(entries.close)
    for zone in ("z1", "z2"):
        entries.start(f"i-{zone}", zone, {"regions": _REGIONS})
        engine = entries.installation.add_runner("llm", f"e-{zone}", zone, BASE)
        engine.slots = _SLOTS
        entries.installation.add_runner("plain", f"p-{zone}", zone, "")
    context.calls = []


def _read_homes(text):
    if text == "nothing":
        return {}
    regions = [] if text == "no region" else text.split(", ")
    return {"allowedRegions": regions}


@given("the route is at home in {route}, and the organisation in {organisation}")
def step_homes(context, route, organisation):
    """Write a configuration with homes."""
    homes = _read_homes(route)
    routes = [
        make_route("/idem/", "idempotent", "plain", **homes),
        make_route("/long/", "streaming", "llm", timeoutMs=20000, **homes),
    ]
    tenant = make_tenant("t", [_KEY], **_read_homes(organisation))
    context.entries.configure(routes, SERVICES, _SLOTS, 0.0, {"tenants": [tenant]})
    context.entries.advance(3.0)


@when("{count:d} calls of each kind arrive in {where}")
def step_calls(context, count, where):
    """Send calls in turn, and wait until they have ended."""
    entries = context.entries
    names = ["i-z1", "i-z2"] if where == "each zone" else [f"i-{where}"]
    for number in range(count):
        for name in names:
            key = {"authorization": f"Token {_KEY}", "deadline-ms": "4000"}
            model = {"model": f"{BASE}/x{number % 4}", "token-count": "10,20"}
            context.calls.append(entries.call(name, f"/idem/{number}", key))
            context.calls.append(
                entries.call(name, f"/long/{number}", {**key, **model})
            )
        entries.advance(0.05)
    entries.advance(2.0)


def _list_ran(context):
    """Return the zones of the endpoints that ran each call."""
    runners = context.entries.installation.runners.values()
    return [runner.zone for runner in runners for _ in runner.ran]


@then("they run in {zones}, or are {refused}")
def step_where(context, zones, refused):
    """Check where calls ran, and how the others ended."""
    ran = set(_list_ran(context))
    assert ran == (set() if zones == "-" else set(zones.split(", "))), ran
    codes = {call.error and call.error.code for call in context.calls}
    assert codes == {None if refused == "-" else refused}, codes


@when("the endpoints of {zone} are gone")
def step_gone(context, zone):
    """End the endpoints of a zone, and remove their entries."""
    installation = context.entries.installation
    for runner in list(installation.runners.values()):
        if runner.zone == zone:
            del installation.runners[runner.id]
            installation.store.delete("servers", runner.id)
    context.entries.advance(2.0)


@when("the endpoints of {zone} answer 503 to the next {count:d} calls")
def step_fail(context, zone, count):
    """Let the endpoints of a zone refuse calls."""
    for runner in context.entries.installation.runners.values():
        if runner.zone == zone:
            runner.faults = [REFUSAL] * count


@then("no call ran in {zone}")
def step_none_ran(context, zone):
    """Check the endpoints of a zone."""
    assert zone not in _list_ran(context)


@then("{least:d} in {count:d} plain calls run in {zone}")
def step_own_region(context, least, count, zone):
    """Count the plain calls that ran in a zone."""
    runners = context.entries.installation.runners.values()
    ran = [one.zone for one in runners if one.service == "plain" for _ in one.ran]
    assert ran.count(zone) / len(ran) >= least / count, ran.count(zone)


# Decisions.


@then(
    "a zone whose row came at {now:g}, unnoticed for {age:g} s of {limit:g}, gets"
    " nothing from {stop:g}"
)
def step_stop_time(context, now, age, limit, stop):
    """Check until when a zone is a last resort."""
    found = compute_stop_time(limit, age, now)
    assert abs(found - stop) < 1e-9, found


@then('an endpoint with the history "{history}" is cold until {end:g}')
def step_cold_until(context, history, end):
    """Replay what is known of an endpoint."""
    cold = ColdEndpoints()
    for event in [] if history == "nothing" else history.split(", "):
        at, kind, *more = event.split()
        if kind == "entry":
            cold.record_entry("e", float(more[0]), float(at))
        elif kind == "answer":
            cold.record_answer("e", float(more[0]), float(at))
        else:
            cold.record_return("e", float(at))
    assert cold.get_end("e") == end, cold.get_end("e")


@when('a ledger is told "{history}"')
def step_ledger(context, history):
    """Report announced and temporary limits to an owner's ledger."""
    context.ledger = SendLedger(1, 0.0)
    for event in history.split(", "):
        at, kind, limit, *more = event.split()
        lasts = float(more[1]) if kind == "cold" else None
        is_named = kind == "named"
        claim = Claim("p", float(limit), is_named, NO_BASIS, 0, lasts)
        context.ledger.apply_claim(claim, float(at))


@then("its limit at {at:g} is {limit}")
def step_ledger_limit(context, at, limit):
    """Check the limit at a time."""
    context.ledger.expire(at)
    found = context.ledger.limit
    assert found == (None if limit == "None" else float(limit)), found


@then('the regions "{text}" put z1 and z2 {how}, and {homes} in {zones}')
@then('the regions "" put z1 and z2 {how}, and {homes} in {zones}')
def step_regions(context, how, homes, zones, text=""):
    """Read regions, and check which zones are of which."""
    regions = Regions.parse(text)
    assert regions.are_apart("z1", "z2") == (how == "apart")
    found = regions.choose_zones(None, frozenset(homes.split(", ")))
    assert ", ".join(sorted(found)) == ("" if zones == "none" else zones), found
