"""Steps on the allowances of organisations."""

from behave import given, then, when

from benchmarks.allowances import TROUBLES, play
from roadlift.instance.allowances import Allowances
from roadlift.organisations.fleet import FleetUse, Use
from roadlift.organisations.shares import AllowanceTolerance, Meter
from roadlift.organisations.sharing import DemandSharing
from roadlift.serving.routes import Allowance
from standins.replies import Reply
from tests.support.configuration import SERVICES, describe_configuration, make_tenant
from tests.support.entries import Entries

_RED = {"authorization": "Token red-key"}
_BLUE = {"authorization": "Token blue-key"}
SEEDS = (1, 2)


@given("{count:d} instances in 3 zones that share an allowance {how}")
def step_fleet(context, count, how):
    """Record the number of instances and how they share."""
    context.count = count
    context.is_even = how == "evenly"


@when("one organisation calls them: {trouble}")
def step_play(context, trouble):
    """Simulate the load with each seed."""
    (found,) = [one for one in TROUBLES if one.name == trouble]
    context.outcomes = [
        play(context.count, found, context.is_even, seed) for seed in SEEDS
    ]


@then("no window of 8 seconds has more than the bound")
def step_bound(context):
    """Check the window with the highest use."""
    worst = [one.worst for one in context.outcomes]
    assert max(worst) <= 1.0, worst


@then("at least {fraction:g} is admitted for each amount that one bucket would admit")
def step_served(context, fraction):
    """Check the mean of all seeds."""
    served = [one.served for one in context.outcomes]
    assert sum(served) / len(served) >= fraction, served


@then("less than half is admitted for each amount that one bucket would admit")
def step_less_than_half(context):
    """Check the mean of all seeds."""
    served = [one.served for one in context.outcomes]
    assert sum(served) / len(served) < 0.5, served


@given("an instance with {updates} on an allowance of {rate:g} a second")
def step_meter(context, updates, rate):
    """Create its meter, and record which updates it receives."""
    limits = AllowanceTolerance(0.1, 1280.0, 8.0)
    allowance = Allowance(rate, rate)
    context.meter = Meter(allowance, limits, 0.0)
    context.sharing = DemandSharing()
    context.fleet = FleetUse(limits)
    context.fleet.set_allowances({"red": allowance})
    context.has_updates = updates == "its own updates only"


@when("it receives calls of {amount:g}, {rate:d} a second for {seconds:d} seconds")
def step_receive(context, amount, rate, seconds):
    """Consume the amount for each call, and report four times a second."""
    context.admitted = 0
    for number in range(rate * seconds):
        now = 1.0 + number / rate
        if context.has_updates and number % (rate // 4) == 0:
            _report_use(context, now)
        context.sharing.update("red", context.meter, now)
        context.admitted += not context.meter.take(amount, now)


def _report_use(context, now):
    use = Use("red", context.meter.spent, context.meter.demand.measure(now))
    context.fleet.record_member("own", 1, [use], now)
    context.fleet.update_others([], now)
    context.sharing.record_update(context.fleet.describe("own", now), now)


@then("{minimum:d} to {maximum:d} are admitted")
def step_admitted(context, minimum, maximum):
    """Compare the number of admitted calls."""
    assert minimum <= context.admitted <= maximum, context.admitted


@given("an installation whose callers have allowances of calls")
def step_installation(context):
    """Allow red 2 calls a second and a burst of 10, and blue enough."""
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


@when("calls of red are rejected by all endpoints again and again")
def step_refused(context):
    """Send more calls than the allowance has room for."""
    _set_faults(context, 503, {"not-run": "1"}, 500)
    context.callers = []
    for _ in range(30):
        context.callers.append(context.entries.call("a", "/once/1", _RED))
        context.entries.advance(0.2)


@then("nothing is used of its allowance")
def step_nothing(context):
    """Check the meter, and that no call was refused for the allowance."""
    codes = {caller.error.code for caller in context.callers}
    assert "over_allowance" not in codes, codes
    assert _measure_used(context) == 0.0, _measure_used(context)


@when("{count:d} calls of red arrive at once")
def step_at_once(context, count):
    """Send the calls in two bursts."""
    for _ in range(5):
        context.entries.call("a", "/once/1", _RED)
        context.entries.advance(0.3)
    context.callers = [context.entries.call("a", "/once/1", _RED) for _ in range(count)]
    context.entries.advance(0.5)
    context.callers += [
        context.entries.call("a", "/once/1", _RED) for _ in range(count)
    ]


@then("some are answered 429 with the time until a retry")
def step_over(context):
    """Check the refusals."""
    refused = [one for one in context.callers if one.error is not None]
    assert refused
    for one in refused:
        assert one.error.status == 429, one.error
        assert 0.05 <= float(one.error_headers["Retry-After"]) <= 8.0


@then("a call of blue is served")
def step_blue(context):
    """Send a call of the other organisation."""
    caller = context.entries.call("a", "/once/1", _BLUE)
    context.entries.advance(0.5)
    assert caller.status == 200, caller.error


@when("a call of red fails at an endpoint and is retried")
def step_retried(context):
    """Let the first run fail, at whichever endpoint it is."""
    fault = [Reply(500, {"server-stamp": "s", "request-id": ""})]
    for name in ("p1", "p2"):
        context.entries.installation.runners[name].faults = fault
    context.caller = context.entries.call("a", "/idem/1", _RED)
    context.entries.advance(0.5)
    assert context.caller.status == 200, context.caller.error


@then("{count:d} are used of its allowance")
def step_used(context, count):
    """Check the meter."""
    assert _measure_used(context) == count, _measure_used(context)


@given("{count:d} more instances")
def step_more_instances(context, count):
    """Start them, and wait until they share the allowance."""
    for number in range(count):
        context.entries.start(f"d{number}", "z1")
    context.entries.advance(3.0)


@when("each instance gets {rate:g} calls of red a second for {seconds:g} seconds")
def step_few(context, rate, seconds):
    """Call the instances in turn.

    The allowance of red is 2 calls a second and a burst of 10.
    """
    context.callers = []
    names = list(context.entries.entries)
    for number in range(int(rate * seconds * len(names))):
        name = names[number % len(names)]
        context.callers.append(context.entries.call(name, "/once/1", _RED))
        context.entries.advance(1.0 / rate / len(names))
    context.entries.advance(1.0)


@then("between {minimum:d} and {maximum:d} calls of red are served")
def step_few_served(context, minimum, maximum):
    """Compare the number of served calls."""
    served = sum(caller.status == 200 for caller in context.callers)
    assert minimum <= served <= maximum, (served, len(context.callers))
