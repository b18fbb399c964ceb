"""Steps on the retries that endpoints receive as instances end and start."""

import itertools

from behave import given, then, when

from roadlift.instance.leases import Leases
from roadlift.retries.window import RetryRule
from standins.arrivals import SentCall
from tests.support.configuration import ROUTES, SERVICES, make_route
from tests.support.entries import Entries

_RULE = RetryRule(0.2, 20.0, 10.0)
_ROUTE = make_route("/often/", "idempotent", "plain", attempts=3)
_ZONES = ("z1", "z2")
_STEP = 0.05  # Seconds between two calls, or changes, at least.
_DURATION = 25.0  # Seconds for which calls are sent.
_STANDING = 3.0  # Seconds for which endpoints stand still.
_MAX_GAP = 5.0  # Seconds between two retries at most.


def _start_deployment(context, count, endpoints=3):
    context.entries = entries = Entries()
    entries.age = 0.0
    context.add_cleanup(entries.close)
    entries.configure([*ROUTES, _ROUTE], SERVICES)
    for number in range(count):
        entries.start(f"i{number}", _ZONES[number % 2])
    for number in range(endpoints):
        name = f"p{number}"
        runner = entries.installation.add_runner("plain", name, _ZONES[number % 2], "")
        runner.failed_part = 1.0
    context.sent = []
    context.zones = {name: one.zone for name, one in entries.entries.items()}


@given(
    "{count:d} instances over 2 zones that have run for {seconds:d} s, and 3 failing"
    " plain endpoints"
)
def step_running(context, count, seconds):
    """Start them, and let them get no call for a while."""
    _start_deployment(context, count)
    context.entries.advance(seconds)


@given("an instance {kind} and 3 failing plain endpoints")
def step_lone(context, kind):
    """Start it alone, or one of two that hear nothing of each other."""
    _start_deployment(context, 1 if kind == "that is the only one" else 2)
    context.entries.is_cut = kind != "that is the only one"
    context.entries.advance(3.0)


@given(
    "{count:d} instances over 2 zones that have run for {seconds:d} s, and"
    " {endpoints:d} plain endpoints that stand still"
)
def step_standing(context, count, seconds, endpoints):
    """Start them, and let what endpoints are sent stay unread for a while."""
    _start_deployment(context, count, endpoints)
    context.entries.advance(seconds)
    for runner in context.entries.installation.runners.values():
        runner.failed_part = 0.0
        runner.stop(_STANDING)


@when(
    "{calls:d} calls wait at each of {count:d} instances, which are cut off from"
    " endpoints"
)
def step_cut(context, calls, count):
    """Cut them off once all of their calls were written."""
    entries = context.entries
    names = sorted(entries.entries)[:count]
    for _ in range(calls):
        for name in names:
            _send_call(context, name)
    entries.advance(_STEP)
    dialers = {entries.entries[name].dialer for name in names}
    entries.installation.cut_from_runners.update(dialers)
    entries.advance(_STANDING + 1.0)


def _send_call(context, name=None):
    entries = context.entries
    names = sorted(entries.entries)
    if not names:
        return
    call_id = f"r{len(context.sent)}"
    now = entries.installation.clock.now()
    context.sent.append(SentCall(now, "plain", call_id, None))
    name = name or names[len(context.sent) % len(names)]
    entries.call(name, "/often/1", {"request-id": call_id})


def _play(context, rate, seconds, change):
    """Send calls at a rate, and call ``change`` before each step."""
    clock = context.entries.installation.clock
    began = clock.now()
    context.began = began
    due = began
    while clock.now() - began < seconds:
        change(clock.now() - began)
        while due <= clock.now():
            _send_call(context)
            due += 1.0 / rate
        context.entries.advance(_STEP)
    context.entries.advance(1.0)


def _restart(context, names):
    """Kill instances, and start them again at once."""
    for name in names:
        context.entries.end(name)
    for name in names:
        context.entries.start(name, context.zones[name])


@when(
    "they {happen} each {gap:g} s for {seconds:d} s, and get {rate:d} calls a second"
    " in all"
)
def step_series(context, happen, gap, seconds, rate):
    """Restart instances in series; the first time comes behind a gap."""
    names = sorted(context.zones)
    turns = itertools.cycle(names)
    choices = {
        "are killed in turn": lambda: [next(turns)],
        "are killed at once": lambda: names,
        "are killed but one": lambda: names[1:],
    }
    context.due = gap

    def change(now):
        """Restart those whose turn it is."""
        if now >= context.due:
            context.due += gap
            _restart(context, choices[happen]())

    _play(context, rate, seconds, change)


@when(
    "all that own a zone are killed at once, and {lost:d} more, and they get {rate:d}"
    " calls a second"
)
def step_lost(context, lost, rate):
    """Kill them once all have used what they may; they don't come back."""
    entries = context.entries

    def change(now):
        """End them after some seconds."""
        if context.ended or now < 4.0:
            return
        context.ended = True
        owners = [
            name
            for name, one in sorted(entries.entries.items())
            if one.kernel.get(Leases).list_held()
        ]
        others = [name for name in sorted(entries.entries) if name not in owners]
        for name in [*owners, *others[:lost]]:
            entries.end(name)

    context.ended = False
    _play(context, rate, _DURATION, change)


@when("it gets {rate:d} calls a second for {seconds:d} s")
def step_calls(context, rate, seconds):
    """Send calls, and change nothing."""
    _play(context, rate, seconds, lambda now: None)


def _find_use(context):
    watch = context.entries.installation.arrivals
    (use,) = watch.measure_use(context.sent, _RULE)
    return use


@then("endpoints receive at most the retries that the rule allows in each 10 s")
def step_in_rule(context):
    """Look at the worst window."""
    use = _find_use(context)
    assert use.fraction <= 1.0, use


@then("calls are sent again all the while")
def step_not_starved(context):
    """Check that the rule is not kept by sending nothing again."""
    retries = context.entries.installation.arrivals.list_retries()["plain"]
    last = context.sent[-1].at
    times = [context.began, *retries, last]
    gap = max(later - earlier for earlier, later in itertools.pairwise(times))
    assert gap <= _MAX_GAP, gap


@then("at least {least:d} retries are received, and no more than the rule allows")
def step_some(context, least):
    """Count them."""
    use = _find_use(context)
    assert use.fraction <= 1.0, use
    retries = context.entries.installation.arrivals.list_retries()["plain"]
    assert len(retries) >= least, len(retries)


@then("calls are passed on")
def step_passed_on(context):
    """Count the calls that arrived more than once."""
    retries = context.entries.installation.arrivals.list_retries()["plain"]
    assert retries, "none arrived twice"
