"""Steps on instances that are cut off from all runners."""

from collections import Counter, defaultdict
from typing import NamedTuple

from behave import given, then, when

from roadlift.core.errors import EndsEndpoints
from roadlift.crashes.ledger import CrashLedger
from roadlift.instance.leases import Leases
from roadlift.instance.metrics import InstanceMetrics
from roadlift.instance.retrybudgets import ServiceBudgets
from standins.hubcaller import HubCaller
from tests.support.configuration import BASE, ROUTES, SERVICES
from tests.support.entries import Entries

_ZONES = {"a": "z1", "b": "z1", "c": "z2", "d": "z2"}
_ADAPTERS = 8
_SLOTS = 9
_LIMIT = "2000"  # Milliseconds that callers wait.
_LEAD = 3.0  # Seconds of calls before a cut.
_TAIL = 4.0  # Seconds of calls behind it.
_REST = 2.5  # Seconds in which the last calls end.
_MUTE_TIME = 0.3  # Seconds before a cut in which endpoints stop to answer.
_PLAIN = ("/idem/", "/once/")
_TARGETS = ("/idem/", "/once/", "/stream/", "/stream/", "/again/")


class Sent(NamedTuple):
    """A call of a case, with the time since the cut began."""

    instance: str
    at: float
    target: str
    caller: HubCaller


def _start():
    """Start four instances and runners, and wait until they are known."""
    entries = Entries()
    entries.configure(ROUTES, SERVICES, _SLOTS)
    for name, zone in _ZONES.items():
        entries.start(name, zone)
    _add_runners(entries)
    entries.advance(3.0)
    return entries


def _add_runners(entries):
    """Start runners of both services in both zones."""
    for index in range(4):
        zone = "z1" if index % 2 else "z2"
        runner = entries.installation.add_runner("llm", f"e{index}", zone, BASE)
        runner.slots = _SLOTS
        entries.installation.add_runner("plain", f"p{index}", zone, "")


def _send(entries, number):
    """Send a call to the instances in turn."""
    names = sorted(entries.entries)
    name, target = names[number % len(names)], _TARGETS[number % len(_TARGETS)]
    headers = {"deadline-ms": _LIMIT}
    if target not in ("/idem/", "/once/"):
        headers["model"] = f"{BASE}/x{number * 7 % _ADAPTERS}"
        headers["token-count"] = "10,20"
        headers["prompt-prefix"] = "ab:10"
    return name, target, entries.call(name, f"{target}{number}", headers)


class Case:
    """One cut, and the calls before, during and behind it."""

    def __init__(self, cut, connections, seconds, rate) -> None:
        self.entries = _start()
        self._cut = cut
        self._rate = rate
        self._number = 0
        self.sent: list[Sent] = []
        installation = self.entries.installation
        self._run(_LEAD, -_LEAD)
        chosen = {
            "hang": installation.cut_from_runners,
            "are refused": installation.refused_by_runners,
            "are reset and refused": installation.refused_by_runners,
            "live on, new ones are refused": installation.half_refused,
        }[connections]
        dialers = {self.entries.entries[name].dialer for name in cut}
        chosen.update(dialers)
        if connections == "are reset and refused":
            for dialer in dialers:
                installation.reset_lines(dialer)
        self._run(seconds, 0.0)
        chosen.clear()
        self._run(_TAIL, seconds)
        self.entries.advance(_REST)

    def _run(self, seconds, began):
        for step in range(round(seconds * self._rate)):
            at = began + step / self._rate
            self.sent.append(Sent(*self._call(at)))
            self.entries.advance(1.0 / self._rate)

    def _call(self, at):
        self._number += 1
        name, target, caller = _send(self.entries, self._number)
        return name, at, target, caller


@when(
    "instances are cut off from all runners for {seconds:g} seconds, with {rate:d}"
    " calls a second"
)
def step_cut(context, seconds, rate):
    """Play each case of the table on a deployment of its own."""
    context.cases = {}
    context.seconds = seconds
    for row in context.table:
        cut = row["instances"].split(", ")
        case = Case(cut, row["connections"], seconds, rate)
        context.add_cleanup(case.entries.close)
        context.cases[f"{row['instances']}, {row['connections']}"] = case


@when(
    "all connections of instance a to runners are reset and refused for {seconds:g}"
    " seconds, with {rate:d} calls a second"
)
def step_reset(context, seconds, rate):
    """Cut it off while its calls run."""
    context.case = Case(["a"], "are reset and refused", seconds, rate)
    context.add_cleanup(context.case.entries.close)


class MuteCase(Case):
    """A cut that holds back the answers of calls that were sent before it."""

    def _run(self, seconds, began):
        if began >= 0.0:
            super()._run(seconds, began)
            return
        super()._run(seconds - _MUTE_TIME, began)
        self._set_faults(["mute"] * 100)
        super()._run(_MUTE_TIME, -_MUTE_TIME)
        self._set_faults([])

    def _set_faults(self, faults) -> None:
        for runner in self.entries.installation.runners.values():
            runner.faults = list(faults)


@when(
    "instance a is cut off from all runners for {seconds:g} seconds with calls that"
    " were sent, with {rate:d} calls a second"
)
def step_cut_sent(context, seconds, rate):
    """Cut it off once endpoints have stopped to answer."""
    context.case = MuteCase(["a"], "hang", seconds, rate)
    context.add_cleanup(context.case.entries.close)


def _is_refused_at_once(sent):
    error = sent.caller.error
    return error is not None and error.detail == "no endpoint is reached"


@then("each call counts as one request, and each send behind its first as a retry")
def step_counted(context):
    """Compare what budgets count with what endpoints received."""
    entries = context.case.entries
    watch = entries.installation.arrivals
    # Their end is waited for, while nothing is sent.
    now = entries.installation.clock.now() - _REST
    handed_over = 0
    for service in ("llm", "plain"):
        used = [
            one.kernel.get(ServiceBudgets).measure(service, now)
            for one in entries.entries.values()
        ]
        is_plain = service == "plain"
        sent = [
            one
            for one in context.case.sent
            if (one.target in _PLAIN) == is_plain and not _is_refused_at_once(one)
        ]
        assert sum(one.requests for one in used) == len(sent), (len(sent), used)
        repeated = len(watch.list_retries().get(service, ()))
        assert sum(one.retries for one in used) >= repeated, (service, used, repeated)
        handed_over += repeated
    assert handed_over


@then("no end of an endpoint was counted, and no call was refused for one")
def step_no_crash(context):
    """Look at the ledgers of all instances, and at the callers' errors."""
    for entry in context.case.entries.entries.values():
        ledger = entry.kernel.get(CrashLedger)
        assert ledger.crashes.is_empty, entry.name
    codes = [one.caller.error.code for one in context.case.sent if one.caller.error]
    assert EndsEndpoints.code not in codes


def _is_served(caller):
    return caller.is_whole and caller.status == 200


@then(
    "{least:d} in 100 of the calls at each instance are served, {delay:g} seconds"
    " behind the cut, until it ends"
)
def step_served(context, least, delay):
    """Count what was served of the calls at each instance of each case."""
    found = {}
    for name, case in context.cases.items():
        served = defaultdict(list)
        for one in case.sent:
            if delay <= one.at < context.seconds:
                served[one.instance].append(_is_served(one.caller))
        for instance, results in served.items():
            if sum(results) < least / 100 * len(results):
                found[f"{name}, at {instance}"] = f"{sum(results)} of {len(results)}"
    assert not found, found


@then("{least:d} in 100 of the calls are served {delay:g} seconds behind its end")
def step_served_again(context, least, delay):
    """Count what was served of the calls of each case when all is well."""
    found = {}
    for name, case in context.cases.items():
        since = context.seconds + delay
        results = [_is_served(one.caller) for one in case.sent if one.at >= since]
        if sum(results) < least / 100 * len(results):
            found[name] = f"{sum(results)} of {len(results)}"
    assert not found, found


@then("no call that may run once ran twice")
def step_once(context):
    """Count the runs of each call at all runners."""
    for case in context.cases.values():
        runners = case.entries.installation.runners.values()
        runs = Counter(
            run["request-id"]
            for runner in runners
            for run in runner.ran
            if not run[":path"].startswith(("/idem/", "/again/"))
        )
        found = {call: count for call, count in runs.items() if count > 1}
        assert not found, found


_TROUBLE = "trouble"


def _end_runners(entries, is_ended):
    for runner in list(entries.installation.runners.values()):
        if is_ended(runner):
            del entries.installation.runners[runner.id]


def _hang_zone(entries, seconds):
    for runner in entries.installation.runners.values():
        if runner.zone == "z1":
            runner.faults = ["mute"] * 1000


def _pause_engines(entries, seconds):
    engines = [one for one in entries.installation.runners.values() if one.bases]
    for start in range(0, int(seconds), 2):
        for engine in engines:
            pause = lambda one=engine: one.pause(1.0)
            entries.installation.timeline.call_later(start, pause)


def _stop_store(entries, seconds):
    entries.installation.store.is_down = True


def _hang_one(entries, seconds):
    for runner in entries.installation.runners.values():
        runner.faults = ["mute"]
    entries.call("a", "/idem/1", {"deadline-ms": _LIMIT})


_TROUBLES = {
    "the runners of a service have ended": lambda entries, seconds: _end_runners(
        entries, lambda one: one.service == "plain"
    ),
    "the runners of a zone have ended": lambda entries, seconds: _end_runners(
        entries, lambda one: one.zone == "z1"
    ),
    "all runners of a zone hang": _hang_zone,
    "the store does not answer": _stop_store,
    "all engines pause for a second, again and again": _pause_engines,
    "an instance is suspended for a second": lambda entries, seconds: entries.suspend(
        "a", 1.0
    ),
    "nobody calls, but for one call that hangs": _hang_one,
}


@when("there is trouble for {seconds:g} seconds, with {rate:d} calls a second")
def step_trouble(context, seconds, rate):
    """Play each trouble on a deployment of its own."""
    context.isolated = {}
    for row in context.table:
        entries = _start()
        context.add_cleanup(entries.close)
        logs = _record_isolation(entries)
        trouble = row[_TROUBLE]
        _run_calls(entries, 2.0, rate)
        _TROUBLES[trouble](entries, seconds)
        if not trouble.startswith("nobody calls"):
            _run_calls(entries, seconds, rate)
        entries.advance(3.0)
        context.isolated[trouble] = logs


def _record_isolation(entries):
    """Return a list that gets the name of each instance that is isolated."""
    found = []
    for name, entry in entries.entries.items():
        metrics = entry.kernel.get(InstanceMetrics)
        set_metric = metrics.set

        def note(metric, value, name=name, set_metric=set_metric):
            """Note the instance, and set the metric."""
            if metric == "roadlift_isolated" and value:
                found.append(name)
            set_metric(metric, value)

        metrics.set = note
    return found


def _run_calls(entries, seconds, rate):
    for number in range(round(seconds * rate)):
        _send(entries, number)
        entries.advance(1.0 / rate)


@then("no instance is isolated")
def step_not_isolated(context):
    """Check that no metric said so."""
    found = {trouble: names for trouble, names in context.isolated.items() if names}
    assert not found, found


def _find_owners(entries, zone):
    return [
        name
        for name, entry in entries.entries.items()
        if zone in entry.kernel.get(Leases).list_held()
    ]


@when("instance a, which owns z1, is cut off from all runners for {seconds:g} seconds")
def step_cut_owner(context, seconds):
    """Let calls find out, and note who owns z1."""
    context.entries = entries = Entries()
    context.add_cleanup(entries.close)
    entries.configure(ROUTES, SERVICES, _SLOTS)
    entries.start("a", "z1")
    _add_runners(entries)
    entries.advance(3.0)
    assert _find_owners(entries, "z1") == ["a"]
    for name in ("b", "c", "d"):
        entries.start(name, _ZONES[name])
    entries.advance(3.0)
    dialer = entries.entries["a"].dialer
    entries.installation.cut_from_runners.add(dialer)
    context.owners = []
    for number in range(round(seconds * 20)):
        _send(entries, number)
        entries.advance(0.05)
        context.owners.append((number / 20, _find_owners(entries, "z1")))
    entries.installation.cut_from_runners.discard(dialer)
    entries.advance(6.0)


@then(
    "another instance owns z1 within {seconds:g} seconds, and a owns nothing until the"
    " cut ends"
)
def step_other_owner(context, seconds):
    """Check who owned the zone since."""
    late = [owners for at, owners in context.owners if at >= seconds]
    assert all(owners and "a" not in owners for owners in late), context.owners


@then("some instance owns each zone at the end")
def step_all_owned(context):
    """Check the leases."""
    owned = {zone: _find_owners(context.entries, zone) for zone in ("z1", "z2")}
    assert all(len(owners) == 1 for owners in owned.values()), owned


@given("an instance whose calls are forwarded to another one")
def step_forwarding(context):
    """Cut instance a off, beside instance b, and wait until it knows."""
    context.entries = entries = Entries()
    context.add_cleanup(entries.close)
    entries.configure(ROUTES, SERVICES, _SLOTS)
    entries.start("a", "z1")
    entries.start("b", "z1")
    _add_runners(entries)
    entries.advance(3.0)
    _run_calls(entries, 1.0, 20)
    entries.installation.cut_from_runners.add(entries.entries["a"].dialer)
    _run_calls(entries, 2.0, 20)
    entries.advance(2.0)
    context.ran_before = _count_runs(entries)


def _count_runs(entries):
    return sum(len(one.ran) for one in entries.installation.runners.values())


def _send_long(entries, name):
    headers = {
        "deadline-ms": "10000",
        "model": f"{BASE}/x0",
        "token-count": "10,20",
        "prompt-prefix": "ab:10",
    }
    for runner in entries.installation.runners.values():
        runner.events = 100
    caller = entries.call(name, "/long/1", headers)
    for _ in range(200):
        if caller.body:
            return caller
        entries.advance(0.01)
    raise AssertionError(caller.error)


@when("a caller sends a long stream and leaves after its first event")
def step_leave(context):
    """Leave once the stream has begun."""
    caller = _send_long(context.entries, "a")
    runners = context.entries.installation.runners.values()
    context.cancelled = sum(one.cancelled for one in runners)
    caller.on_gone()


@then("the run of its call is cancelled within {seconds:g} seconds")
def step_cancelled(context, seconds):
    """Count the runs that their senders ended."""
    context.entries.advance(seconds)
    runners = context.entries.installation.runners.values()
    assert sum(one.cancelled for one in runners) == context.cancelled + 1


@when("a caller sends a long stream, and the other instance ends after its first event")
def step_other_ends(context):
    """Kill the other instance."""
    context.caller = _send_long(context.entries, "a")
    context.entries.end("b")
    context.entries.advance(0.5)


@then("its caller's answer is cut")
def step_is_cut(context):
    """Check that it is not complete."""
    assert context.caller.is_cut and not context.caller.is_whole


@when("the other instance is cut off as well")
def step_both(context):
    """Cut it off, and let calls find out."""
    entries = context.entries
    entries.installation.cut_from_runners.add(entries.entries["b"].dialer)
    _run_calls(entries, 3.0, 20)
    entries.advance(2.5)


@then(
    "each call at either is refused within {seconds:g} seconds, with a time to come"
    " back"
)
def step_refused(context, seconds):
    """Send a call to each."""
    for name in ("a", "b"):
        caller = context.entries.call(name, "/idem/1", {"deadline-ms": _LIMIT})
        context.entries.advance(seconds)
        assert caller.error is not None, (name, caller.status)
        assert caller.error.status == 503, (name, caller.error)
        assert "Retry-After" in caller.error_headers, caller.error_headers


@then("no call was forwarded twice")
def step_once_forwarded(context):
    """Check the counts of the instance that got calls from the other."""
    metrics = context.entries.entries["b"].kernel.get(InstanceMetrics)
    text = metrics.render().decode()
    assert "roadlift_forwarded_calls_total{" not in text, text
