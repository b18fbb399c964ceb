"""Steps on calls whose work is refused while they run."""

from behave import given, then, when

from roadlift.crashes.ledger import CrashLedger
from roadlift.decisions.crashrecord import WEAK, CrashEvidence
from tests.support.configuration import BASE

_QUEUE_TIME = 0.6  # Seconds for which a call waits at an engine.


@given("a stream whose engine broke it off, and that waits at another engine")
def step_waiting(context):
    """Break a stream off after its first event, and let it wait elsewhere."""
    entries = context.entries
    runners = entries.installation.runners.values()
    for runner in runners:
        runner.faults.append("cut")
    headers = {
        "deadline-ms": "4000",
        "model": f"{BASE}/x0",
        "token-count": "10,20",
        "prompt-prefix": "ab:10",
    }
    context.caller = entries.call("a", "/again/1", headers)
    while not context.caller.body:
        entries.advance(0.01)
    for runner in runners:
        runner.faults.clear()
        runner.queue_time = _QUEUE_TIME
    while sum(len(runner.ran) for runner in runners) < 2:
        entries.advance(0.01)
    entries.advance(0.1)
    context.begun = context.caller.body


@when("its work is refused for crashes of three engines")
def step_refused(context):
    """Add evidence of other instances at its instance."""
    entry = context.entries.entries["a"]
    (exchange,) = entry.ingress._exchanges
    identity = exchange.identify()
    evidence = [CrashEvidence(identity, f"x{n}", WEAK, 0.0) for n in range(3)]
    entry.kernel.get(CrashLedger).merge(evidence)


@then("the stream goes on to its end")
def step_whole(context):
    """Check that it was not cut."""
    assert context.caller.body == context.begun, context.caller.body
    context.entries.advance(3.0)
    found = context.caller.is_whole, context.caller.is_cut, context.caller.error
    assert found == (True, False, None), (found, context.caller.body)
    assert context.caller.body.count(b"data:") == 20, context.caller.body


@given("long streams at all engines")
def step_long(context):
    """Send streams with gaps of 0.2 seconds, until each engine has some."""
    entries = context.entries
    for number in range(18):
        headers = {
            "deadline-ms": "9000",
            "model": f"{BASE}/x{number % 3}",
            "token-count": "10,20",
            "prompt-prefix": f"ab:10,{number:x}:3",
        }
        name = sorted(entries.entries)[number % len(entries.entries)]
        entries.call(name, f"/long/{number}/slow", headers)
    entries.advance(1.0)


@when("each engine {leaves}, and ends {seconds:g} seconds later")
def step_engines_leave(context, leaves, seconds):
    """Let the engines leave the list, or say there that they drain."""
    installation = context.entries.installation
    engines = [one for one in installation.runners.values() if one.service == "llm"]
    for engine in engines:
        if leaves == "drains":
            installation.store.put("servers", engine.id, engine.describe("draining"))
        else:
            installation.store.delete("servers", engine.id)
    context.entries.advance(seconds)
    running = sum(len(engine._list_running()) for engine in engines)
    assert running, "no stream runs"
    for engine in engines[: len(engines) // 2]:
        engine.crash()
    context.entries.advance(6.0)


@then("no instance has evidence against any work")
def step_no_evidence(context):
    """Look at what each instance knows."""
    found = {
        name: entry.kernel.get(CrashLedger).crashes.list_evidence(0.0)
        for name, entry in context.entries.entries.items()
    }
    assert not any(found.values()), found
