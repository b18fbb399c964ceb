"""Steps on new calls for an engine whose streams made no event for a while."""

from typing import NamedTuple

from behave import then, when

from standins.hubcaller import HubCaller
from standins.runners import Pause, Runner
from tests.support.configuration import BASE, SERVICES, make_route
from tests.support.entries import Entries

_STREAM = {"timeoutMs": 10000, "goalMs": 1000, "gapGoalMs": 500}
_ROUTES = [
    make_route("/again/", "streaming", "llm", resumable=True, **_STREAM),
    make_route("/once/", "streaming", "llm", **_STREAM),
]
_LIMITS = {"token-count": "10,20", "deadline-ms": "10000"}
_ADAPTED = {**_LIMITS, "model": f"{BASE}/x"}
_PLAIN = {**_LIMITS, "model": BASE}
_EVENTS = 6
_SLOW_LOAD = 1.6  # Seconds, several times what a load usually takes here.
_STEP = 0.01  # Seconds.
_SILENT_AFTER = 0.8  # Seconds in which a silent engine is found for certain.
_NO_RETRIES = {"retry_share": 0.0, "retry_slack": 0.0}
_FINDS_NO_BUDGET = "finds no retry budget"
_FINDS_NO_LOAD = "finds no engine that loads its adapter soon"
_IS_SENT_ONCE = "may not be sent again"
_CONTINUES = "continues elsewhere"


class _Outcome(NamedTuple):
    """What became of a new call; times are in seconds."""

    engine: str
    first_event: float


def _start(context, stream: str) -> tuple[Entries, Runner]:
    """Start an instance and engines; return the one that holds the adapter."""
    entries = Entries()
    context.add_cleanup(entries.close)
    entries.configure(_ROUTES, SERVICES)
    entries.start("a", "z1", _NO_RETRIES if stream == _FINDS_NO_BUDGET else {})
    for name in ("e1", "e2", "e3"):
        runner = entries.installation.add_runner("llm", name, "z1", BASE)
        runner.events = _EVENTS
    entries.advance(3.0)
    entries.call("a", "/again/0", _ADAPTED)
    entries.advance(1.0)
    if stream == _FINDS_NO_LOAD:
        for runner in _list_runners(entries):
            runner.load_time = _SLOW_LOAD
    (holder,) = [one for one in _list_runners(entries) if "x" in one.held]
    return entries, holder


def _list_runners(entries: Entries) -> list[Runner]:
    return list(entries.installation.runners.values())


def _begin_stream(entries: Entries, stream: str) -> None:
    target = "/once/1" if stream == _IS_SENT_ONCE else "/again/1"
    caller = entries.call("a", target, _ADAPTED)
    _await_size(entries, caller, 1)


def _await_size(entries: Entries, caller: HubCaller, size: int) -> float:
    """Return the seconds until a caller has got some bytes."""
    clock = entries.installation.clock
    began_at = clock.now()
    while len(caller.body) < size and clock.now() < began_at + 5.0:
        entries.advance(_STEP)
    return clock.now() - began_at


def _play_pause(context, stream: str, pause: float, delay: float) -> _Outcome:
    """Return what becomes of a call that is sent soon after a pause."""
    entries, holder = _start(context, stream)
    holder.faults = [Pause(pause)]
    _begin_stream(entries, stream)
    (paused,) = entries.callers[1:]
    _await_size(entries, paused, len(paused.body) + 1)
    entries.advance(delay)
    seconds = _await_size(entries, entries.call("a", "/again/2", _ADAPTED), 1)
    return _Outcome(_find_runner(entries, "/again/2"), seconds)


def _find_runner(entries: Entries, path: str) -> str:
    """Return the engines that ran the call of a path."""
    ran = [
        one.id
        for one in _list_runners(entries)
        if path in [call[":path"] for call in one.ran]
    ]
    return ", ".join(ran)


@when("a new call is sent {delay:g} seconds after the only stream there went on")
def step_after_pause(context, delay):
    """Play each case on a deployment of its own."""
    context.outcomes = {
        (row["stream"], row["pause"]): _play_pause(
            context, row["stream"], float(row["pause"]), delay
        )
        for row in context.table
    }


@then(
    "the holder runs each new call, and its first event takes {most:g} seconds at most"
)
def step_first_event(context, most):
    """Check where the calls ran, and how long their callers waited."""
    found = {
        case: one
        for case, one in context.outcomes.items()
        if one.first_event > most or one.engine != "e1"
    }
    assert not found, found


@when(
    "{rate:d} calls a second are sent for {seconds:g} seconds after an engine went"
    " silent for good, whose only stream {stream}"
)
def step_gone(context, rate, seconds, stream):
    """Let the engine that holds an adapter answer nothing more."""
    entries, holder = _start(context, stream)
    if stream == _CONTINUES:
        for runner in _list_runners(entries):
            runner.held["x"] = 1
        entries.advance(3.0)
    holder.faults = [Pause(60.0), *["mute"] * round(rate * seconds)]
    _begin_stream(entries, stream)
    entries.advance(_SILENT_AFTER)
    context.rate = rate
    context.sent = []
    for number in range(round(rate * seconds)):
        before = len(holder.ran)
        entries.call("a", f"/again/new-{number}", _PLAIN)
        entries.advance(1.0 / rate)
        context.sent += [number] * (len(holder.ran) - before)


@then("none of them is sent there in the first {seconds:g} seconds")
def step_avoided(context, seconds):
    """Check the numbers of the new calls that the engine got."""
    early = [number for number in context.sent if number < seconds * context.rate]
    assert not early, early


@then("{most:d} at most is sent there in all")
def step_few_sent(context, most):
    """Check how many new calls the engine got."""
    assert len(context.sent) <= most, context.sent
