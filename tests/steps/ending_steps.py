"""Steps on engines that end, or break answers off, under known calls."""

from behave import given, then, when

from roadlift.crashes.ledger import CrashLedger
from roadlift.decisions.crashrecord import WEAK, CrashEvidence
from roadlift.serving.identity import compute_identity
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


def _send(context, number, path="/long/1", name="a"):
    headers = {
        "deadline-ms": "6000",
        "model": f"{BASE}/x0",
        "token-count": "10,20",
        "prompt-prefix": f"ab:10,c{number}:3,{number:x}:3",
    }
    return context.entries.call(name, path, headers)


@given("an engine that broke off an answer, and has answered since")
def step_broke_off(context):
    """Let the only engine break off a stream, and serve another."""
    installation = context.entries.installation
    (context.engine,) = (
        one for one in installation.runners.values() if one.service == "llm"
    )
    context.engine.faults.append("cut")
    broken = _send(context, 1)
    context.entries.advance(1.0)
    assert broken.is_cut or broken.error
    served = _send(context, 2)
    context.entries.advance(2.0)
    assert served.is_whole and served.status == 200, served.error


@when("it ends under a call {seconds:g} seconds later")
def step_ends(context, seconds):
    """Let it end with one call that has just begun."""
    context.entries.advance(seconds)
    context.last = _send(context, 3)
    while not context.last.body:
        context.entries.advance(0.01)
    context.engine.crash()
    context.entries.advance(0.3)


@then("its instance has evidence against that call alone")
def step_evidence(context):
    """Look for the parts of that call, and of no other."""
    ledger = context.entries.entries["a"].kernel.get(CrashLedger)
    evidence = ledger.crashes.list_evidence(context.entries.installation.clock.now())
    found = {item.identity for item in evidence if item.weight}
    wanted = {compute_identity(("part", name)) for name in ("ab", "c3")}
    others = {compute_identity(("part", name)) for name in ("c1", "c2")}
    assert wanted <= found and not others & found, evidence
    assert all(item.age < 1.0 for item in evidence if item.weight), evidence
