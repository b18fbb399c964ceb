"""Steps on a store that is restored from an older copy."""

import json

from behave import given, then, when

from roadlift.crashes.ledger import CrashLedger
from roadlift.decisions.crashrecord import STRONG, CrashEvidence
from roadlift.instance.crashrows import TABLE
from roadlift.instance.follower import Follower
from roadlift.instance.leases import Leases
from roadlift.instance.owner import Owner
from tests.steps.limit_steps import find_endpoints, start_callers, step_instances
from tests.support.configuration import BASE, ROUTES, SERVICES, make_route

_OUTAGE = 1.0  # Seconds for which the store answers nothing.
_REJECTION_TIME = 9.0  # Seconds for which it rejects all calls after that.
_SHORT_OUTAGE = 0.2  # Seconds for which it answers nothing if restored at once.
_REWRITE_DELAY = 1.2  # Seconds after the restore until lost rows are written again.
_WRITE_INTERVAL = 1.2  # Seconds between two writes of an entry.
_ALTERNATION_WINDOW = 3.0  # Seconds within which orders of owners may not alternate.
_SKIPPED_VERSIONS = 2000  # Versions that are skipped at once.


def _store(context):
    return context.entries.installation.store


def _now(context):
    return context.entries.installation.clock.now()


@given(
    "{count:d} instances, {engines:d} engines and {plain:d} plain endpoints whose"
    " entries change continually"
)
def step_start(context, count, engines, plain):
    """Start them, and rewrite the entries at intervals."""
    step_instances(context, count, engines, plain)
    context.states = {}
    context.unwritten = set()
    timeline = context.entries.installation.timeline

    def write_entries():
        """Write all entries with the current state of their endpoints."""
        store = _store(context)
        if not store.is_down:
            for name, runner in list(context.entries.installation.runners.items()):
                if name in context.unwritten:
                    continue
                runner.sequence += 1
                state = context.states.get(name, "ready")
                store.put("servers", name, runner.describe(state))
        timeline.call_later(_WRITE_INTERVAL, write_entries)

    write_entries()
    context.entries.advance(9.0)


@given("{count:d} further instances in z1")
def step_further(context, count):
    """Start them, and wait until they have settled."""
    for number in range(count):
        context.entries.start(f"j{number}", "z1")
    context.entries.advance(3.0)


@given("{count:d} further engines")
def step_engines(context, count):
    """Start them, and wait until they are known."""
    for number in range(count):
        context.entries.installation.add_runner("llm", f"e9{number}", "z1", BASE)
    context.entries.advance(2.0)


def _restore(context, seconds, how="and its versions are lower"):
    """Stop the store, and restore it from a copy."""
    entries, store = context.entries, _store(context)
    store.is_down = True
    store.forget_polls()
    entries.advance(_SHORT_OUTAGE if "at once" in how else _OUTAGE)
    calls = entries.installation.store_calls
    context.calls_before = sum(calls.values())
    lost = store.go_back(seconds)
    store.is_down = False
    if "exceed" in how:
        store.pass_versions(_SKIPPED_VERSIONS)
    if "failed answer" in how:
        store.refuse_next = 4
    if "rejects all calls" in how:
        store.refuse_next = 10**6
        accept = lambda: setattr(store, "refuse_next", 0)
        entries.installation.timeline.call_later(_REJECTION_TIME, accept)
    entries.installation.timeline.call_later(
        _REWRITE_DELAY, lambda: store.write_again(lost)
    )
    context.returned_at = _now(context)


@when("the store is restored from a copy {seconds:g} seconds old, {how}")
def step_restore(context, seconds, how):
    """Stop it for a moment, and restore it."""
    _restore(context, seconds, how)


def _configure(context, *added):
    context.entries.configure([*ROUTES, *added], SERVICES, 6)


def _add_route(context):
    _configure(context, make_route("/added/", "idempotent", "plain"))


def _list_in_force(context):
    """Return the version of each instance's configuration."""
    return {
        name: entry.kernel.get(Follower).configuration.version
        for name, entry in context.entries.entries.items()
    }


@when("{count:d} configurations are written, one every {interval:g} seconds")
def step_write_configurations(context, count, interval):
    """Write them, and measure the delay until all instances have each."""
    context.delays = []
    for _ in range(count):
        _add_route(context)
        version, written_at = context.entries.version, _now(context)
        waiting = set(context.entries.entries)
        while waiting and _now(context) < written_at + interval:
            context.entries.advance(0.02)
            in_force = _list_in_force(context)
            waiting = {name for name in waiting if in_force[name] < version}
        context.delays.append(_now(context) - written_at if not waiting else 99.0)
        context.entries.advance(max(0.0, written_at + interval - _now(context)))


@then("each was in force at all instances within {most:g} second")
def step_in_force(context, most):
    """Check the measured delays."""
    assert max(context.delays) <= most, context.delays


@then("an added route is served by all instances")
def step_served(context):
    """Send each instance a call of that route."""
    entries = context.entries
    callers = [entries.call(name, "/added/1", {}) for name in entries.entries]
    entries.advance(0.5)
    assert [caller.status for caller in callers] == [200] * len(callers)


@when(
    "a route is added, {seconds:g} seconds pass, and the store is restored from a"
    " copy {lost:g} seconds old"
)
def step_add(context, seconds, lost):
    """Let all instances learn the route, and the store lose it."""
    _add_route(context)
    context.entries.advance(seconds)
    context.informed = set(context.entries.entries)
    _restore(context, lost)


@when("nothing else happens")
def step_nothing(context):
    """Do nothing."""


@when("the store is restored from an older copy once more")
def step_once_more(context):
    """Restore it a second time, after the first."""
    context.entries.advance(0.5)
    _restore(context, 3.0)


@when("a further configuration is written")
def step_further_configuration(context):
    """Write one with the route too, before the lost one is written again."""
    _add_route(context)


@when("another configuration with the same version is written")
def step_same_number(context):
    """Write one with the same version and a further route."""
    context.entries.version -= 1
    added = make_route("/added/", "idempotent", "plain")
    _configure(context, added, make_route("/more/", "idempotent", "plain"))


@when("an instance is cut off from the store")
def step_cut(context):
    """Cut one that owns nothing."""
    entries = context.entries
    held = lambda entry: entry.kernel.get(Leases).list_held()
    plain = [entry for entry in entries.entries.values() if not held(entry)]
    entries.installation.cut_from_store.add(plain[0].dialer)


@then(
    "for {seconds:g} seconds no call of the route is refused as unknown by instances"
    " that knew it"
)
def step_not_refused(context, seconds):
    """Send calls to these instances continually."""
    entries = context.entries
    end = _now(context) + seconds
    callers = []
    while _now(context) < end:
        callers += [
            entries.call(name, "/added/1", {})
            for name in entries.entries
            if name in context.informed
        ]
        entries.advance(0.1)
    entries.advance(0.5)
    refused = [caller.error for caller in callers if caller.error is not None]
    assert not refused, (len(refused), len(callers), refused[0])


@when("an instance starts")
def step_instance(context):
    """Start one while the store lacks the configuration in force."""
    context.entries.start("new", "z1")


@then("it has the same configuration as the others within {seconds:g} seconds")
def step_same_configuration(context, seconds):
    """Compare the configurations, before the lost one is written again."""
    context.entries.advance(
        seconds - _REWRITE_DELAY if seconds > _REWRITE_DELAY + 1 else 1.0
    )
    in_force = _list_in_force(context)
    assert len(set(in_force.values())) == 1, in_force


# Endpoints that drain.


@when("{count:d} engines and plain endpoints drain, one every {interval:g} seconds")
def step_drain_some(context, count, interval):
    """Drain them, and measure the delay until all instances know it."""
    context.delays = []
    plain = find_endpoints(context, "all plain endpoints")[1:]
    engines = find_endpoints(context, "all engines")[1:]
    began = {}
    for runner in [*engines, *plain][:count]:
        context.states[runner.id] = "draining"
        _store(context).put("servers", runner.id, runner.describe("draining"))
        began[runner.id] = _now(context)
        _watch_drains(context, began, interval)
    _watch_drains(context, began, 4.0)
    context.delays += [4.0] * len(began)


def _watch_drains(context, began, seconds):
    """Record the delays until all instances know the draining endpoints."""
    end = _now(context) + seconds
    while _now(context) < end:
        context.entries.advance(0.05)
        for name in list(began):
            if all(
                _is_known_to_drain(entry, name)
                for entry in context.entries.entries.values()
            ):
                context.delays.append(_now(context) - began.pop(name))


def _is_known_to_drain(entry, name):
    found = entry.kernel.get(Follower).directory.get(name)
    return found is None or found.is_draining


@then("all instances knew within {most:g} seconds that each was draining")
def step_known(context, most):
    """Check the measured delays."""
    assert max(context.delays) <= most, context.delays


# Owners.


def _find_owner(context, zone):
    for name, entry in context.entries.entries.items():
        if zone in entry.kernel.get(Leases).list_held():
            return name
    raise AssertionError(f"{zone} has no owner")


def _cause_trouble(context, trouble):
    entries = context.entries
    owner = _find_owner(context, "z1")
    if trouble == "the owner of z1 is killed":
        entries.end(owner)
    elif trouble == "all owners are killed":
        for name in {owner, _find_owner(context, "z2")}:
            entries.end(name)
    elif trouble == "the owner of z1 releases its lease":
        entries.entries[owner].kernel.get(Leases).release_zone("z1")
    elif trouble == "the owner of z1 is cut off from the store":
        entries.installation.cut_from_store.add(entries.entries[owner].dialer)
    elif trouble == "the store is restored twice":
        _restore(context, 3.0)


@given("the owners renew their leases at different moments")
def step_phases(context):
    """Restart the owner of z2, which acquires its lease again at once."""
    name = _find_owner(context, "z2")
    context.entries.advance(0.4)
    context.entries.end(name)
    context.entries.start(name, "z2")
    context.entries.advance(1.0)


def _watch_owners(context):
    """Record, at short intervals, where two instances might give orders."""
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
            context.stale_terms.append((_now(context), name, held))
    entries.installation.timeline.call_later(0.01, lambda: _watch_owners(context))


@then("at no time could two instances give orders in one zone")
def step_one_owner(context):
    """Check the records."""
    overlaps = context.overlaps
    assert not overlaps, (len(overlaps), overlaps[0], overlaps[-1])


@when("{trouble} before the store is restored from a copy {lost:g} seconds old, {how}")
def step_owners(context, trouble, lost, how):
    """Cause the trouble at the start of the period that will be lost."""
    context.entries.advance(5.0)
    context.began_at = _now(context)
    context.overlaps = []
    context.stale_terms = []
    _watch_owners(context)
    _cause_trouble(context, trouble)
    context.entries.advance(lost - _OUTAGE)
    _restore(context, lost, how)


@then("no engine received alternating orders of two owners")
def step_no_alternation(context):
    """Look for orders of one owner, of another, and of the first again."""
    for runner in context.entries.installation.runners.values():
        last: dict[str, float] = {}
        before = None
        for at, order in runner.orders:
            holder = order["holder"]
            is_alternation = before not in (None, holder) and holder in last
            assert not is_alternation or at - last[holder] > _ALTERNATION_WINDOW, (
                runner.id,
                at,
                order,
            )
            last[holder] = at
            before = holder


@then("no instance keeps a term whose lease it lost")
def step_terms(context):
    """Check the records."""
    assert not context.stale_terms, (len(context.stale_terms), context.stale_terms[0])


@then("orders stopped for at most {most:g} seconds")
def step_orders_go_on(context, most):
    """Check the intervals between orders to the engines of z1 until now."""
    runners = context.entries.installation.runners.values()
    times = [at for runner in runners if runner.zone == "z1" for at, _ in runner.orders]
    times = [context.began_at, *sorted(at for at in times if at > context.began_at)]
    times.append(_now(context))
    longest = max(b - a for a, b in zip(times, times[1:], strict=False))
    assert longest <= most, longest


# Endpoints.


def _change_endpoint(context, what):
    entries = context.entries
    if what.startswith("a plain endpoint starts"):
        context.changed_endpoint = entries.installation.add_runner(
            "plain", "p9", "z1", ""
        )
        context.unwritten.add("p9")  # Its entry is written with the lost rows.
        return
    (context.changed_endpoint,) = find_endpoints(context, "a plain endpoint")
    name = context.changed_endpoint.id
    if "drains" in what:
        context.states[name] = "draining"
        _store(context).put(
            "servers", name, context.changed_endpoint.describe("draining")
        )
    else:
        del entries.installation.runners[name]
        _store(context).delete("servers", name)
        entries.installation.ending = context.changed_endpoint


@when("{what} and the store is restored from a copy {lost:g} seconds old")
def step_endpoint(context, what, lost):
    """Change an endpoint or refuse work, and let the store lose that."""
    if what.startswith("work is refused"):
        _refuse_work(context)
        context.entries.advance(2.0)
    else:
        _change_endpoint(context, what)
        context.entries.advance(1.0)
    # After a long outage, entries would be kept for that reason only.
    _restore(context, lost, "at once" if "starts" in what else "")


@then("no call reaches it for {seconds:g} seconds after the first {first:g}")
def step_no_call(context, seconds, first):
    """Call plain endpoints continually, and count the calls to it."""
    runner = context.changed_endpoint
    context.entries.installation.runners.setdefault(f"{runner.id} ", runner)
    start_callers(context, 6, 60)
    context.entries.advance(max(0.0, first - 1.0 - _OUTAGE))
    before = len(runner.ran)
    context.entries.advance(seconds)
    assert len(runner.ran) == before, len(runner.ran) - before


@then("it receives calls continually")
def step_calls(context):
    """Call plain endpoints, and count its calls in each half second."""
    start_callers(context, 6, 60)
    found = []
    for _ in range(8):
        before = len(context.changed_endpoint.ran)
        context.entries.advance(0.5)
        found.append(len(context.changed_endpoint.ran) - before)
    assert all(found), found


# Work that is refused.


def _refuse_work(context):
    context.identity = bytes(range(12))
    evidence = [CrashEvidence(context.identity, f"x{n}", STRONG, 0.0) for n in range(2)]
    for entry in context.entries.entries.values():
        entry.kernel.get(CrashLedger).record_evidence(evidence)


@then("{seconds:g} seconds later the store has the row of the refused work")
def step_kept(context, seconds):
    """Look for the row."""
    key = context.identity.hex()
    context.entries.advance(seconds)
    value, _ = _store(context).get(TABLE, key)
    assert value is not None, json.dumps(sorted(_store(context)._tables))


@then("all instances call the store at most {most:d} times in the next second")
def step_calls_after(context, most):
    """Count the calls of all instances."""
    context.entries.advance(1.0)
    found = sum(context.entries.installation.store_calls.values())
    assert found - context.calls_before <= most, found - context.calls_before
