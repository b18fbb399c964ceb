"""Steps on endpoints that announce rate limits."""

from behave import given, then, when

from roadlift.instance.leases import Leases
from standins.limits import CONTACT
from tests.support.configuration import BASE, ROUTES, SERVICES
from tests.support.entries import Entries

_ZONES = ("z1", "z2")
_SLOTS = 6  # Adapter slots, so that each engine can hold all adapters.
_EVENTS = 6


@given(
    "{count:d} instances, {engines:d} engines and {plain:d} plain endpoints that may"
    " announce limits"
)
def step_instances(context, count, engines, plain):
    """Start them, and wait until they are ready."""
    context.entries = entries = Entries()
    context.add_cleanup(entries.close)
    entries.configure(ROUTES, SERVICES, _SLOTS)
    for index in range(count):
        entries.start(f"i{index}", _ZONES[index % 2])
    for index in range(engines):
        zone = _ZONES[index % 2]
        runner = entries.installation.add_runner("llm", f"e{index}", zone, BASE)
        runner.slots = _SLOTS
        runner.events = _EVENTS
    for index in range(plain):
        zone = _ZONES[index % 2]
        entries.installation.add_runner("plain", f"p{index}", zone, "")
    entries.advance(3.0)


def _send(context, number, count):
    """Send a stream and a plain call, to the instances in turn."""
    entries = context.entries
    names = sorted(entries.entries)
    if not names:
        return
    headers = {
        "deadline-ms": "4000",
        "model": f"{BASE}/x{number * 7 % count}",
        "token-count": "10,20",
        "prompt-prefix": "ab:10",
    }
    name = names[number * 5 % len(names)]
    context.streams.append(entries.call(name, f"/long/{number}", headers))
    name = names[number * 7 % len(names)]
    headers = {"deadline-ms": "1000"}
    context.plain_calls.append(entries.call(name, f"/idem/{number}", headers))


@given("callers of {count:d} adapters, {rate:g} calls a second, and as many plain ones")
def step_callers(context, count, rate):
    """Send calls for the rest of the test, and wait until they are served."""
    start_callers(context, count, rate)
    context.entries.advance(4.0)


def start_callers(context, count, rate):
    """Send calls from now on, for the rest of the test."""
    context.streams = []
    context.plain_calls = []
    timeline = context.entries.installation.timeline

    def run(number):
        """Send calls, and schedule the next."""
        _send(context, number, count)
        timeline.call_later(1.0 / rate, lambda: run(number + 1))

    run(0)


def find_endpoints(context, endpoint):
    """Return the runners that a description refers to."""
    runners = context.entries.installation.runners
    letter = "p" if "plain" in endpoint else "e"
    names = sorted(name for name in runners if name.startswith(letter))
    return [runners[name] for name in (names if "all" in endpoint else names[:1])]


@when("a limit of {limit} is announced by {endpoint} for {seconds:g} seconds")
def step_announce(context, endpoint, limit, seconds):
    """Let an endpoint, or all of a service, announce a limit."""
    context.limited = find_endpoints(context, endpoint)
    context.named_at = context.entries.installation.clock.now()
    context.streams.clear()
    context.plain_calls.clear()
    for runner in context.limited:
        runner.name_limit(limit)
    context.entries.advance(seconds)


@when(
    "a limit of {limit} is announced by {endpoint} for {seconds:g} seconds while"
    " {trouble}"
)
def step_announce_while(context, limit, endpoint, seconds, trouble):
    """Let endpoints announce a limit, and cause a fault after a third."""
    step_announce(context, endpoint, limit, seconds / 3)
    cause_fault(context, trouble, float(limit))
    left = context.named_at + seconds - context.entries.installation.clock.now()
    context.entries.advance(max(0.0, left))


def cause_fault(context, trouble, limit=0.0):
    """Cause a fault; ``limit`` is what the endpoints announce."""
    _FAULTS[trouble](context, limit)


def _partition_zones(context, limit):
    context.entries.is_zone_cut = True


def _drop_messages(context, limit):
    """Drop all messages between instances."""
    context.entries.is_cut = True


def _stop_store(context, limit):
    context.entries.installation.store.is_down = True


def _find_owner(context, zone):
    entries = context.entries.entries
    list_held = lambda entry: entry.kernel.get(Leases).list_held()
    return next(name for name, entry in entries.items() if zone in list_held(entry))


def _restart(context, names):
    zones = {name: context.entries.entries[name].zone for name in names}
    for name in names:
        context.entries.end(name)
    context.entries.advance(0.5)
    for name in names:
        context.entries.start(name, zones[name])


def _kill_owner(context, limit):
    _restart(context, [_find_owner(context, "z1")])


def _restart_all(context, limit):
    _restart(context, list(context.entries.entries))


def _suspend_owner(context, limit):
    """Suspend the owner for longer than its lease, so that there are two."""
    context.entries.suspend(_find_owner(context, "z1"), 9.0)


def _suspend_others(context, limit):
    """Suspend the instances that request permits, repeatedly."""
    owner = _find_owner(context, "z1")
    names = [name for name in context.entries.entries if name != owner]
    for _ in range(4):
        for name in names:
            context.entries.suspend(name, 0.3)


def _lower_limit(context, limit):
    _announce_all(context, limit / 4)


def _raise_limit(context, limit):
    _announce_all(context, limit * 2)


def _toggle_limit(context, limit):
    for _ in range(3):
        _announce_all(context, None)
        context.entries.advance(1.3)
        _announce_all(context, limit)
        context.entries.advance(1.3)


def _restart_endpoints(context, limit):
    """Restart the endpoints under their names, without a limit."""
    for runner in context.limited:
        runner.name_limit(None)
        runner.restart()
        store = context.entries.installation.store
        store.put("servers", runner.id, runner.describe())


def _announce_all(context, limit):
    for runner in context.limited:
        runner.name_limit(None if limit is None else str(limit))


_FAULTS = {
    "nothing happens": lambda context, limit: None,
    "zones can't reach each other": _partition_zones,
    "no instance can reach another": _drop_messages,
    "the store does not answer": _stop_store,
    "the owner of z1 is killed": _kill_owner,
    "all instances are killed and restart": _restart_all,
    "the owner of z1 is suspended for 9 seconds": _suspend_owner,
    "others are suspended in turn": _suspend_others,
    "it falls to a quarter": _lower_limit,
    "it rises to twice as much": _raise_limit,
    "it comes and goes": _toggle_limit,
    "it restarts": _restart_endpoints,
}


@then("{least:d} in 100 of what its limit allows is run")
def step_used(context, least):
    """Count the calls at the endpoints while the limit was in force."""
    counter = context.entries.installation.limits
    since = context.named_at + CONTACT
    until = context.entries.installation.clock.now()
    limited = context.limited
    allowed = sum(float(runner.named) for runner in limited) * (until - since)
    calls = sum(counter.count_calls(runner.id, since, until) for runner in limited)
    assert calls >= least / 100 * allowed, (calls, allowed)


@then("{least:d} in 100 of the {kind} are served")
def step_served(context, least, kind):
    """Compare the served calls with all that were answered."""
    sent = context.streams if kind == "streams" else context.plain_calls
    done = [call for call in sent if call.is_whole or call.error or call.is_cut]
    served = [call for call in done if call.is_whole and call.status == 200]
    assert done and len(served) >= least / 100 * len(done), (len(served), len(done))


@then("plain calls are refused within {most:g} seconds, with a time to retry")
def step_refused(context, most):
    """Check the answers to calls that are sent now, five to each instance."""
    entries = context.entries
    entries.advance(1.0)
    calls = [
        entries.call(name, f"/idem/{number}/{name}", {"deadline-ms": "1000"})
        for name in entries.entries
        for number in range(5)
    ]
    entries.advance(most)
    refused = [call for call in calls if call.error is not None]
    assert len(refused) >= len(calls) / 2, len(refused)
    assert {call.error.code for call in refused} == {"limit_reached"}
    delays = {call.error_headers["Retry-After"] for call in refused}
    assert len(delays) >= len(refused) / 2, delays


@when("the limit ends")
def step_end(context):
    """Announce no limit from now on."""
    _announce_all(context, None)
    context.ended_at = context.entries.installation.clock.now()


@then("{seconds:g} second later they get {least:g} calls a second again")
def step_again(context, seconds, least):
    """Count the calls at all these endpoints in two seconds."""
    context.entries.advance(seconds + 2.0)
    until = context.entries.installation.clock.now()
    counter = context.entries.installation.limits
    limited = context.limited
    calls = sum(counter.count_calls(one.id, until - 2.0, until) for one in limited)
    assert calls >= 2.0 * least, calls


@then("no endpoint gets more than its limit allows")
def step_kept(context):
    """Count the calls at each endpoint, from all instances."""
    excess = context.entries.installation.limits.list_excess()
    worst = max(excess, key=lambda one: one.calls / one.allowed, default=None)
    assert not excess, (len(excess), worst)
