"""Steps on instances that are cut off from all runners."""

from collections import Counter, defaultdict
from typing import NamedTuple

from behave import then, when

from roadlift.core.errors import EndsEndpoints
from roadlift.crashes.ledger import CrashLedger
from standins.hub import HubCaller
from tests.support.configuration import BASE, ROUTES, SERVICES
from tests.support.entries import Entries

_ZONES = {"a": "z1", "b": "z1", "c": "z2", "d": "z2"}
_ADAPTERS = 8
_SLOTS = 9
_LIMIT = "2000"  # Milliseconds that callers wait.
_LEAD = 3.0  # Seconds of calls before a cut.
_TAIL = 4.0  # Seconds of calls behind it.
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
    for index in range(4):
        zone = "z1" if index % 2 else "z2"
        runner = entries.installation.add_runner("llm", f"e{index}", zone, BASE)
        runner.slots = _SLOTS
        entries.installation.add_runner("plain", f"p{index}", zone, "")
    entries.advance(3.0)
    return entries


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
        self.entries.advance(2.5)

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
