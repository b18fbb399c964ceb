"""Steps on a store that comes back from an older copy of itself."""

import json

from behave import given, then, when

from roadlift.crashes.ledger import CrashLedger
from roadlift.decisions.crashes import STRONG, CrashEvidence
from roadlift.instance.crashrows import TABLE
from roadlift.instance.follower import Follower
from roadlift.instance.leases import Leases
from roadlift.instance.owner import Owner
from tests.steps.limit_steps import find_endpoints, start_callers, step_instances
from tests.support.configuration import BASE, ROUTES, SERVICES, make_route

_AWAY = 1.0  # Seconds for which the store answers nothing.
_TURNED_AWAY = 9.0  # Seconds for which it turns all calls away behind that.
_AT_ONCE = 0.2  # The same where it comes back at once.
_AGAIN = 1.2  # Seconds behind its return until what it lost is written again.
_BEAT = 1.2  # Seconds between two writes of an entry.
_TURN = 3.0  # Seconds within which owners may not take turns.
_PASSED = 2000  # Versions that are given out at once.


def _store(context):
    return context.entries.installation.store


def _now(context):
    return context.entries.installation.clock.now()


@given(
    "{count:d} instances, {engines:d} engines and {plain:d} plain endpoints whose"
    " entries change all the time"
)
def step_start(context, count, engines, plain):
    """Start them, and let their entries change."""
    step_instances(context, count, engines, plain)
    context.states = {}
    context.silent = set()
    timeline = context.entries.installation.timeline

    def beat():
        """Write all entries, as their endpoints are now."""
        store = _store(context)
        if not store.is_down:
            for name, runner in list(context.entries.installation.runners.items()):
                if name in context.silent:
                    continue
                runner.sequence += 1
                state = context.states.get(name, "ready")
                store.put("servers", name, runner.describe(state))
        timeline.call_later(_BEAT, beat)

    beat()
    context.entries.advance(9.0)


@given("{count:d} further instances in z1")
def step_further(context, count):
    """Start them, and let them settle."""
    for number in range(count):
        context.entries.start(f"j{number}", "z1")
    context.entries.advance(3.0)


@given("{count:d} further engines")
def step_engines(context, count):
    """Start them, and let them be known."""
    for number in range(count):
        context.entries.installation.add_runner("llm", f"e9{number}", "z1", BASE)
    context.entries.advance(2.0)


def _go_back(context, seconds, how="and its versions are behind"):
    """Take the store away, and bring it back from a copy."""
    entries, store = context.entries, _store(context)
    store.is_down = True
    store.forget_polls()
    entries.advance(_AT_ONCE if "at once" in how else _AWAY)
    calls = entries.installation.store_calls
    context.calls_before = sum(calls.values())
    lost = store.go_back(seconds)
    store.is_down = False
    if "pass" in how:
        store.pass_versions(_PASSED)
    if "failed answer" in how:
        store.refuse_next = 4
    if "turns all away" in how:
        store.refuse_next = 10**6
        accept = lambda: setattr(store, "refuse_next", 0)
        entries.installation.timeline.call_later(_TURNED_AWAY, accept)
    entries.installation.timeline.call_later(_AGAIN, lambda: store.write_again(lost))
    context.returned_at = _now(context)


@when("the store comes back {seconds:g} seconds older, {how}")
def step_go_back(context, seconds, how):
    """Let it be away for a moment."""
    _go_back(context, seconds, how)


def _configure(context, *added):
    context.entries.configure([*ROUTES, *added], SERVICES, 6)


def _add_route(context):
    _configure(context, make_route("/added/", "idempotent", "plain"))


def _list_in_force(context):
    """Return the number of the configuration of each instance."""
    return {
        name: entry.kernel.get(Follower).configuration.version
        for name, entry in context.entries.entries.items()
    }


@when("{count:d} configurations follow, one each {gap:g} seconds")
def step_follow(context, count, gap):
    """Write them, and measure how late each instance has one."""
    context.late = []
    for _ in range(count):
        _add_route(context)
        version, written_at = context.entries.version, _now(context)
        waiting = set(context.entries.entries)
        while waiting and _now(context) < written_at + gap:
            context.entries.advance(0.02)
            in_force = _list_in_force(context)
            waiting = {name for name in waiting if in_force[name] < version}
        context.late.append(_now(context) - written_at if not waiting else 99.0)
        context.entries.advance(max(0.0, written_at + gap - _now(context)))


@then("each was in force at all instances within {most:g} second")
def step_in_force(context, most):
    """Compare what was measured."""
    assert max(context.late) <= most, context.late


@then("an added route is served by all instances")
def step_served(context):
    """Send a call of it to each."""
    entries = context.entries
    callers = [entries.call(name, "/added/1", {}) for name in entries.entries]
    entries.advance(0.5)
    assert [one.status for one in callers] == [200] * len(callers)


@when(
    "a route is added, {seconds:g} seconds pass, and the store comes back {lost:g}"
    " seconds older"
)
def step_add(context, seconds, lost):
    """Let all know the route, and the store lose it."""
    _add_route(context)
    context.entries.advance(seconds)
    context.knowing = set(context.entries.entries)
    _go_back(context, lost)


@when("nothing else happens")
def step_nothing(context):
    """Leave all as it is."""


@when("the store comes back older once more")
def step_once_more(context):
    """Let it go back behind the first return."""
    context.entries.advance(0.5)
    _go_back(context, 3.0)


@when("a further configuration is written")
def step_further_configuration(context):
    """Write one that has the route too, before the lost one is written."""
    _add_route(context)


@when("another configuration has the number it had")
def step_same_number(context):
    """Write one of the same number, with a further route."""
    context.entries.version -= 1
    added = make_route("/added/", "idempotent", "plain")
    _configure(context, added, make_route("/more/", "idempotent", "plain"))


@when("an instance is cut off from the store")
def step_cut(context):
    """Cut one that owns nothing."""
    entries = context.entries
    held = lambda entry: entry.kernel.get(Leases).list_held()
    plain = [one for one in entries.entries.values() if not held(one)]
    entries.installation.cut_from_store.add(plain[0].dialer)


@then(
    "for {seconds:g} seconds no call of the route is refused as unknown by those that"
    " knew it"
)
def step_not_refused(context, seconds):
    """Send calls to all, all the time."""
    entries = context.entries
    end = _now(context) + seconds
    callers = []
    while _now(context) < end:
        callers += [
            entries.call(name, "/added/1", {})
            for name in entries.entries
            if name in context.knowing
        ]
        entries.advance(0.1)
    entries.advance(0.5)
    refused = [one.error for one in callers if one.error is not None]
    assert not refused, (len(refused), len(callers), refused[0])


@when("an instance starts")
def step_instance(context):
    """Start one while the store lacks what is in force."""
    context.entries.start("new", "z1")


@then("it has what the others have in force within {seconds:g} seconds")
def step_told(context, seconds):
    """Compare the configurations, before the lost one is written again."""
    context.entries.advance(seconds - _AGAIN if seconds > _AGAIN + 1 else 1.0)
    in_force = _list_in_force(context)
    assert len(set(in_force.values())) == 1, in_force


# Endpoints that drain.


@when("{count:d} engines and plain endpoints drain, one each {gap:g} seconds")
def step_drain_some(context, count, gap):
    """Let them, and measure how late each instance knows it."""
    context.late = []
    plain = find_endpoints(context, "all plain endpoints")[1:]
    engines = find_endpoints(context, "all engines")[1:]
    began = {}
    for runner in [*engines, *plain][:count]:
        context.states[runner.id] = "draining"
        _store(context).put("servers", runner.id, runner.describe("draining"))
        began[runner.id] = _now(context)
        _watch_drains(context, began, gap)
    _watch_drains(context, began, 4.0)
    context.late += [4.0] * len(began)


def _watch_drains(context, began, seconds):
    """Note which of those that began to drain are known by all to do so."""
    end = _now(context) + seconds
    while _now(context) < end:
        context.entries.advance(0.05)
        for name in list(began):
            if all(_drains(one, name) for one in context.entries.entries.values()):
                context.late.append(_now(context) - began.pop(name))


def _drains(entry, name):
    found = entry.kernel.get(Follower).directory.get(name)
    return found is None or found.is_draining


@then("each was known to drain by all instances within {most:g} seconds")
def step_known(context, most):
    """Compare what was measured."""
    assert max(context.late) <= most, context.late


# Owners.


def _find_owner(context, zone):
    for name, entry in context.entries.entries.items():
        if zone in entry.kernel.get(Leases).list_held():
            return name
    raise AssertionError(f"{zone} has no owner")


def _trouble(context, trouble):
    entries = context.entries
    owner = _find_owner(context, "z1")
    if trouble == "the owner of z1 is killed":
        entries.end(owner)
    elif trouble == "all owners are killed":
        for name in {owner, _find_owner(context, "z2")}:
            entries.end(name)
    elif trouble == "the owner of z1 gives its lease back":
        entries.entries[owner].kernel.get(Leases).hand_back("z1")
    elif trouble == "the owner of z1 is cut off from the store":
        entries.installation.cut_from_store.add(entries.entries[owner].dialer)
    elif trouble == "the store comes back older twice":
        _go_back(context, 3.0)


@given("the owners renew their leases at different moments")
def step_phases(context):
    """Start the owner of z2 again, which takes its lease back at once."""
    name = _find_owner(context, "z2")
    context.entries.advance(0.4)
    context.entries.end(name)
    context.entries.start(name, "z2")
    context.entries.advance(1.0)


def _watch_owners(context):
    """Note, all the time, where two instances might give orders."""
    entries = context.entries
    for zone in ("z1", "z2"):
        found = [
            name
            for name, entry in entries.entries.items()
            if entry.kernel.get(Leases).get(zone).may_order(entry.clock.now())
        ]
        if len(found) > 1:
            context.overlaps.append((_now(context), zone, found))
    for name, entry in entries.entries.items():
        held = entry.kernel.get(Leases).list_held()
        if set(entry.kernel.get(Owner)._terms) != set(held):
            context.kept.append((_now(context), name, held))
    entries.installation.timeline.call_later(0.01, lambda: _watch_owners(context))


@then("two instances might never give orders in one zone")
def step_one_owner(context):
    """Look at what was noted."""
    overlaps = context.overlaps
    assert not overlaps, (len(overlaps), overlaps[0], overlaps[-1])


@when("{trouble} as the store is to come back {lost:g} seconds older, {how}")
def step_owners(context, trouble, lost, how):
    """Bring trouble as the seconds begin that will be lost."""
    context.entries.advance(5.0)
    context.began_at = _now(context)
    context.overlaps = []
    context.kept = []
    _watch_owners(context)
    _trouble(context, trouble)
    context.entries.advance(lost - _AWAY)
    _go_back(context, lost, how)


@then("no engine got orders of two owners by turns")
def step_no_turns(context):
    """Look for orders of one, of another, and of the first again."""
    for runner in context.entries.installation.runners.values():
        last: dict[str, float] = {}
        before = None
        for at, order in runner.orders:
            holder = order["holder"]
            is_turn = before not in (None, holder) and holder in last
            assert not is_turn or at - last[holder] > _TURN, (runner.id, at, order)
            last[holder] = at
            before = holder


@then("no instance keeps a term whose lease it lost")
def step_terms(context):
    """Look at what was noted."""
    assert not context.kept, (len(context.kept), context.kept[0])


@then("orders stopped for at most {most:g} seconds")
def step_orders_go_on(context, most):
    """Look at the orders to the engines of z1, until now."""
    runners = context.entries.installation.runners.values()
    times = [at for one in runners if one.zone == "z1" for at, _ in one.orders]
    times = [context.began_at, *sorted(at for at in times if at > context.began_at)]
    times.append(_now(context))
    longest = max(b - a for a, b in zip(times, times[1:], strict=False))
    assert longest <= most, longest


# Endpoints.


def _change(context, what):
    entries = context.entries
    if what.startswith("a plain endpoint starts"):
        context.meant = entries.installation.add_runner("plain", "p9", "z1", "")
        context.silent.add("p9")  # It writes its entry again with the others.
        return
    (context.meant,) = find_endpoints(context, "a plain endpoint")
    name = context.meant.id
    if "drains" in what:
        context.states[name] = "draining"
        _store(context).put("servers", name, context.meant.describe("draining"))
    else:
        del entries.installation.runners[name]
        _store(context).delete("servers", name)
        entries.installation.ending = context.meant


@when("{what} and the store comes back {lost:g} seconds older")
def step_endpoint(context, what, lost):
    """Let an endpoint change, and the store lose it."""
    if what.startswith("work is refused"):
        _refuse_work(context)
        context.entries.advance(2.0)
    else:
        _change(context, what)
        context.entries.advance(1.0)
    # Where it is away for long, entries are kept for that alone.
    _go_back(context, lost, "at once" if "starts" in what else "")


@then("no call comes to it for {seconds:g} seconds, but for the first {first:g}")
def step_no_call(context, seconds, first):
    """Call plain endpoints all the time."""
    runner = context.meant
    context.entries.installation.runners.setdefault(f"{runner.id} ", runner)
    start_callers(context, 6, 60)
    context.entries.advance(max(0.0, first - 1.0 - _AWAY))
    before = len(runner.ran)
    context.entries.advance(seconds)
    assert len(runner.ran) == before, len(runner.ran) - before


@then("calls come to it all the time")
def step_calls(context):
    """Call plain endpoints, and count in each half second."""
    start_callers(context, 6, 60)
    found = []
    for _ in range(8):
        before = len(context.meant.ran)
        context.entries.advance(0.5)
        found.append(len(context.meant.ran) - before)
    assert all(found), found


# Work that is refused.


def _refuse_work(context):
    context.identity = bytes(range(12))
    signs = [CrashEvidence(context.identity, f"x{n}", STRONG, 0.0) for n in range(2)]
    for entry in context.entries.entries.values():
        entry.kernel.get(CrashLedger).record_evidence(signs)


@then("{seconds:g} seconds later the store keeps what is refused")
def step_kept(context, seconds):
    """Look for the row."""
    key = context.identity.hex()
    context.entries.advance(seconds)
    value, _ = _store(context).get(TABLE, key)
    assert value is not None, json.dumps(sorted(_store(context)._tables))


@then("all were {most:d} calls to the store in the second behind it at most")
def step_calls_behind(context, most):
    """Count the calls of all instances."""
    context.entries.advance(1.0)
    found = sum(context.entries.installation.store_calls.values())
    assert found - context.calls_before <= most, found - context.calls_before
