"""Steps on calls of which a send may have run, and on what is told of them."""

from collections import Counter
from collections.abc import Callable

from behave import then, when

from roadlift.instance.answer import NOT_RUN_STATUSES
from roadlift.instance.placement import Placement
from standins.hubcaller import HubCaller
from tests.support.configuration import BASE, ROUTES, SERVICES, make_route
from tests.support.entries import Entries

_ROUTES = [*ROUTES, make_route("/twice/", "idempotent", "plain", timeoutMs=6000)]
_MODEL = {"model": f"{BASE}/x", "token-count": "10,20", "prompt-prefix": "ab:10"}
_HEADERS = {"deadline-ms": "4000"}
_STANDING = 3.0  # Seconds for which what was sent stays unread.
_GENERATING = 0.5  # Seconds in which streams have begun.
_REJECTING = 1.5  # Seconds until an engine reads a call, and rejects it.
_KNOWN = 2.0  # Seconds until all know of all.
_CUT = 1.5  # Seconds in which an instance finds that it is cut off.
_DRAINING = 6.2  # Seconds behind which a draining instance takes no more calls.
_REST = 6.0  # Seconds in which all has ended.
_ATTEMPTS = 2  # Of the routes, as many runs of a call.
_CALLS = 8
_SLACK = 11.0  # Of which one retry for each of them is used.


def _start(context, instances: str, services: str, slack: float = 20.0) -> Entries:
    """Start instances, and two endpoints of each service."""
    entries = Entries()
    context.add_cleanup(entries.close)
    entries.configure(_ROUTES, SERVICES)
    for name in instances:
        entries.start(name, "z1", {"retry_slack": slack})
    for service in services.split():
        for number in range(3 if service == "plain" else 2):
            base = BASE if service == "llm" else ""
            name = f"{service}-{number}"
            runner = entries.installation.add_runner(service, name, "z1", base)
            runner.held["x"] = 1
    entries.advance(_KNOWN)
    return entries


def _count_runs(entries: Entries) -> Counter[str]:
    """Return how often each call ran, by its id."""
    runners = entries.installation.runners.values()
    return Counter(ran["request-id"] for one in runners for ran in one.ran)


def _find_status(caller: HubCaller) -> int:
    return caller.status if caller.error is None else caller.error.status


@when("calls wait at an engine that stands still, and then at one that rejects them")
def step_replaced(context):
    """Let two engines stand still within streams, and one reject calls."""
    entries = _start(context, "a", "llm", _SLACK)
    for runner in entries.installation.runners.values():
        runner.events = 60
    for number in range(_CALLS):
        entries.call("a", f"/long/{number}/slow", {**_MODEL, "deadline-ms": "20000"})
    entries.advance(_GENERATING)
    first, second = entries.installation.runners.values()
    first.stop(_STANDING)
    second.stop(_REJECTING)
    second.want_rest("5")
    second.refusal_time = 0.3
    callers = [
        entries.call("a", f"/again/{number}", {**_HEADERS, **_MODEL})
        for number in range(_CALLS)
    ]
    entries.advance(_REST)
    runs = _count_runs(entries)
    found = [f"r{_CALLS + 1 + number}" for number in range(_CALLS)]
    context.answers = [(c, runs[name]) for c, name in zip(callers, found, strict=True)]


def _stand_still(entries: Entries) -> None:
    for runner in entries.installation.runners.values():
        runner.stop(_STANDING)


def _drain_other(entries: Entries) -> None:
    entries.entries["b"].ingress.leave()


def _end_other(entries: Entries) -> None:
    """Let the other instance end once it was found."""
    entries.installation.instances.clear()


def _reject_all(entries: Entries) -> None:
    """Let all endpoints reject the call; the one that has it is delisted."""
    placement = entries.entries["a"].kernel.get(Placement)
    for runner in entries.installation.runners.values():
        if placement.count_running(runner.id):
            entries.installation.store.delete("servers", runner.id)
        else:
            runner.want_rest("5")


def _end_this(entries: Entries) -> None:
    """End the instance, whose calls nobody takes, as its drain would."""
    for other in list(entries.entries["a"].ingress._exchanges):
        other.close()


_CASES: dict[str, Callable[[Entries], None]] = {
    "the other instance drains": _drain_other,
    "the other instance has ended": _end_other,
    "all endpoints reject it there": _reject_all,
    "this instance ends before another took it": _end_other,
}


@when("a call is passed on behind a send that runs later, and {what}")
def step_passed_on(context, what):
    """Cut the call's instance from endpoints that stand still."""
    entries = _start(context, "ab", "plain")
    if what == "the other instance drains":
        _drain_other(entries)
        entries.advance(_DRAINING)
    _stand_still(entries)
    caller = entries.call("a", "/twice/1", _HEADERS)
    entries.advance(0.05)
    if what != "the other instance drains":
        _CASES[what](entries)
    dialer = entries.entries["a"].dialer
    entries.installation.cut_from_runners.add(dialer)
    entries.advance(_CUT)
    if what == "this instance ends before another took it":
        _end_this(entries)
    entries.advance(_REST)
    context.answers = [(caller, _count_runs(entries)["r1"])]


@then("it fails without the promise that it has not run")
def step_no_promise(context):
    """Look at what callers got whose calls ran and were not served."""
    failed = [(c, runs) for c, runs in context.answers if _find_status(c) != 200]
    assert any(runs for _, runs in failed), [
        (_find_status(caller), runs) for caller, runs in context.answers
    ]
    for caller, runs in failed:
        is_refused = _find_status(caller) in NOT_RUN_STATUSES
        assert not (runs and is_refused), (_find_status(caller), caller.error, runs)


@when("calls are {sent}, at endpoints that stand still and then fail")
def step_attempts(context, sent):
    """Play several calls at once, of one instance."""
    service = "llm" if sent == "replaced at a silent engine" else "plain"
    context.entries = entries = _start(context, "ab", service)
    for number, runner in enumerate(list(entries.installation.runners.values())):
        runner.stop(0.8 + 0.3 * number)
        runner.failed_part = 1.0
    target = "/again/" if service == "llm" else "/twice/"
    more = _MODEL if service == "llm" else {}
    for number in range(_CALLS):
        entries.call("a", f"{target}{number}", {**_HEADERS, **more})
    entries.advance(0.05)
    if service == "plain":
        entries.installation.cut_from_runners.add(entries.entries["a"].dialer)
    entries.advance(_REST)


@then("each call runs at no more endpoints than its route allows")
def step_in_attempts(context):
    """Count the runs of each."""
    runs = _count_runs(context.entries)
    assert runs, "nothing ran"
    assert max(runs.values()) <= _ATTEMPTS, runs
