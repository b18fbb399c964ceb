"""Steps on the allowances of organisations."""

from behave import given, then, when

from benchmarks.allowances import TROUBLES, play
from roadlift.instance.allowances import Allowances
from roadlift.organisations.fleet import FleetUse, Use
from roadlift.organisations.shares import AllowanceTolerance, Meter
from roadlift.organisations.sharing import DemandSharing
from roadlift.serving.routes import Allowance
from standins.installation import Reply
from tests.support.configuration import SERVICES, describe_configuration, make_tenant
from tests.support.entries import Entries

_RED = {"authorization": "Token red-key"}
_BLUE = {"authorization": "Token blue-key"}
SEEDS = (1, 2)


@given("{count:d} instances in 3 zones that share an allowance {how}")
def step_fleet(context, count, how):
    """Keep how many, and the way."""
    context.count = count
    context.is_even = how == "evenly"


@when("one organisation calls them: {trouble}")
def step_play(context, trouble):
    """Play the trouble with each seed."""
    (found,) = [one for one in TROUBLES if one.name == trouble]
    context.outcomes = [
        play(context.count, found, context.is_even, seed) for seed in SEEDS
    ]


@then("no window of 8 seconds has more than the bound")
def step_bound(context):
    """Look at the worst window."""
    worst = [one.worst for one in context.outcomes]
    assert max(worst) <= 1.0, worst


@then("at least {part:g} is let in for each amount that one bucket would let in")
def step_served(context, part):
    """Look at the mean."""
    served = [one.served for one in context.outcomes]
    assert sum(served) / len(served) >= part, served


@then("less than half is let in for each amount that one bucket would let in")
def step_badly(context):
    """Look at the mean of the other way."""
    served = [one.served for one in context.outcomes]
    assert sum(served) / len(served) < 0.5, served


@given("an instance that hears {heard} of an allowance of {rate:g} a second")
def step_meter(context, heard, rate):
    """Make its meter, and what it hears."""
    limits = AllowanceTolerance(0.1, 1280.0, 8.0)
    allowance = Allowance(rate, rate)
    context.meter = Meter(allowance, limits, 0.0)
    context.sharing = DemandSharing()
    context.fleet = FleetUse(limits)
    context.fleet.set_allowances({"red": allowance})
    context.is_heard = heard == "itself alone"


@when("calls of {amount:g} come to it, {rate:d} a second for {seconds:d} seconds")
def step_take(context, amount, rate, seconds):
    """Take each, and tell four times a second."""
    context.taken = 0
    for number in range(rate * seconds):
        now = 1.0 + number / rate
        if context.is_heard and number % (rate // 4) == 0:
            _tell(context, now)
        context.sharing.update("red", context.meter, now)
        context.taken += not context.meter.take(amount, now)


def _tell(context, now):
    use = Use("red", context.meter.spent, context.meter.demand.measure(now))
    context.fleet.record_member("own", 1, [use], now)
    context.fleet.update_others([], now)
    context.sharing.record_update(context.fleet.describe("own", now), now)


@then("{least:d} to {most:d} are let in")
def step_taken(context, least, most):
    """Count them."""
    assert least <= context.taken <= most, context.taken


@given("an installation whose callers have allowances of calls")
def step_installation(context):
    """Let red have 2 calls a second and 10 beside, and blue enough."""
    context.entries = Entries()
    context.add_cleanup(context.entries.close)
    context.entries.version += 1
    content = describe_configuration(context.entries.version, [], SERVICES, 2)
    content["tenants"] = [
        make_tenant("red", ["red-key"], unit="call", ratePerS=2, burst=10),
        make_tenant("blue", ["blue-key"], unit="call", ratePerS=100, burst=100),
    ]
    context.entries.installation.store.put("op", "config", content)
    for name, zone in (("a", "z1"), ("b", "z1"), ("c", "z2")):
        context.entries.start(name, zone)
    for name, zone in (("p1", "z1"), ("p2", "z2")):
        context.entries.installation.add_runner("plain", name, zone, "")
    context.entries.advance(10.0)


def _set_faults(context, status, headers, count):
    fault = Reply(status, {"request-id": "", **headers})
    for name in ("p1", "p2"):
        context.entries.installation.runners[name].faults = [fault] * count


def _measure_used(context):
    allowances = context.entries.entries["a"].kernel.get(Allowances)
    meter = allowances._meters.get("red")
    return meter.spent if meter else 0.0


@when("calls of red are refused by all endpoints again and again")
def step_refused(context):
    """Send more calls than the allowance has room for."""
    _set_faults(context, 503, {"not-run": "1"}, 500)
    context.callers = []
    for _ in range(30):
        context.callers.append(context.entries.call("a", "/once/1", _RED))
        context.entries.advance(0.2)


@then("nothing is used of its allowance")
def step_nothing(context):
    """Look at the meter, and that no call was refused for the allowance."""
    codes = {caller.error.code for caller in context.callers}
    assert "over_allowance" not in codes, codes
    assert _measure_used(context) == 0.0, _measure_used(context)


@when("{count:d} calls of red come at once")
def step_at_once(context, count):
    """Send them."""
    for _ in range(5):
        context.entries.call("a", "/once/1", _RED)
        context.entries.advance(0.3)
    context.callers = [context.entries.call("a", "/once/1", _RED) for _ in range(count)]
    context.entries.advance(0.5)
    context.callers += [
        context.entries.call("a", "/once/1", _RED) for _ in range(count)
    ]


@then("some are answered 429 with the time at which there is room")
def step_over(context):
    """Look at the refusals."""
    refused = [one for one in context.callers if one.error is not None]
    assert refused
    for one in refused:
        assert one.error.status == 429, one.error
        assert 0.05 <= float(one.error_headers["Retry-After"]) <= 8.0


@then("a call of blue is served")
def step_blue(context):
    """Send one."""
    caller = context.entries.call("a", "/once/1", _BLUE)
    context.entries.advance(0.5)
    assert caller.status == 200, caller.error


@when("a call of red fails at an endpoint and is sent again")
def step_sent_again(context):
    """Let the first run fail, wherever it is."""
    fault = [Reply(500, {"server-stamp": "s", "request-id": ""})]
    for name in ("p1", "p2"):
        context.entries.installation.runners[name].faults = fault
    context.caller = context.entries.call("a", "/idem/1", _RED)
    context.entries.advance(0.5)
    assert context.caller.status == 200, context.caller.error


@then("{count:d} are used of its allowance")
def step_used(context, count):
    """Look at the meter."""
    assert _measure_used(context) == count, _measure_used(context)


@given("{count:d} further instances")
def step_further(context, count):
    """Start them, and let them settle."""
    for number in range(count):
        context.entries.start(f"d{number}", "z1")
    context.entries.advance(3.0)


@when("each instance gets {rate:g} calls of red a second for {seconds:g} seconds")
def step_few(context, rate, seconds):
    """Call them by turns: red may have 2 calls a second run, and 10 beside."""
    context.callers = []
    names = list(context.entries.entries)
    for number in range(int(rate * seconds * len(names))):
        name = names[number % len(names)]
        context.callers.append(context.entries.call(name, "/once/1", _RED))
        context.entries.advance(1.0 / rate / len(names))
    context.entries.advance(1.0)


@then("between {least:d} and {most:d} calls of red are served")
def step_few_served(context, least, most):
    """Count them."""
    served = sum(caller.status == 200 for caller in context.callers)
    assert least <= served <= most, (served, len(context.callers))
