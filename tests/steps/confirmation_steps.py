"""Steps on calls of which a send may have run, and on what is told of them."""

from collections import Counter

from behave import then, when

from roadlift.instance.answer import NOT_RUN_STATUSES
from standins.hub import HubCaller
from tests.support.configuration import BASE, ROUTES, SERVICES
from tests.support.entries import Entries

_MODEL = {"model": f"{BASE}/x", "token-count": "10,20", "prompt-prefix": "ab:10"}
_HEADERS = {"deadline-ms": "4000"}
_STANDING = 3.0  # Seconds for which what was sent stays unread.
_GENERATING = 0.5  # Seconds in which streams have begun.
_REJECTING = 1.5  # Seconds until an engine reads a call, and rejects it.
_KNOWN = 2.0  # Seconds until all know of all.
_REST = 6.0  # Seconds in which all has ended.
_CALLS = 8
_SLACK = 11.0  # Of which one retry for each of them is used.


def _start(context, instances: str, services: str, slack: float = 20.0) -> Entries:
    """Start instances, and two endpoints of each service."""
    entries = Entries()
    context.add_cleanup(entries.close)
    entries.configure(ROUTES, SERVICES)
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
