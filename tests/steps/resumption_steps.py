"""Steps on streams of the hub's engines that are cut and resumed."""

import json
import re

from behave import step, then, when

from roadlift.daemon.calls import Calls
from roadlift.daemon.gateway import Gateway
from roadlift.daemon.leaving import Leaving
from roadlift.daemon.pins import Pins
from roadlift.http.messages import ReceivedRequest
from standins.hubcaller import HubCaller
from standins.hubengine import EVENT_GAP

MODEL = "m3@1"
KEY = "key-1"


def _get_engine(context):
    return context.deployment.hub.get_engine("engine-a0")


def _open_stream(context, events, key="", model=MODEL):
    """Send a call for a stream and wait for its first event."""
    caller = HubCaller()
    content = {"model": model, "prompt": "p", "max_tokens": events, "stream": True}
    headers = {"idempotency-key": key} if key else {}
    body = json.dumps(content).encode()
    request = ReceivedRequest("POST", "/v1/completions", headers, body)
    context.deployment.get("entry-a0", Gateway).handle(request, caller)
    context.callers = [*getattr(context, "callers", []), caller]
    context.events = events
    return caller


def _await_event(context, caller):
    context.deployment.hub.advance_until(lambda: bool(caller.body), 10.0)


@when(
    "a stream of {events:d} events is cut behind {count:d}, and its resumption meets"
    " {refusal} for {span:g} s"
)
def step_refuse(context, events, count, refusal, span):
    """Cut a stream, refuse its resumption, and end that after a while."""
    engine = _get_engine(context)
    engine.cuts = [count]
    engine.refusal = refusal
    _await_event(context, _open_stream(context, events))
    context.deployment.hub.advance(count * EVENT_GAP + span)
    engine.refusal = ""


@when(
    "a stream of {events:d} events is cut {times:d} times, each behind one more event"
)
def step_cut_often(context, events, times):
    """Cut a stream and its resumptions."""
    _get_engine(context).cuts = list(range(1, times + 1))
    _open_stream(context, events)


@when("a stream of {events:d} events is cut at an engine {state}")
def step_cut_for_good(context, events, state):
    """Cut a stream at an engine that will not continue it."""
    _cut_for_good(context, events, state)


@when("a stream of {events:d} events with a key is cut at an engine {state}")
def step_cut_key_for_good(context, events, state):
    """Do the same to a call with an idempotency key."""
    _cut_for_good(context, events, state, KEY)


@when("the stream with the key is asked for again")
def step_again(context):
    """Send the same call as a caller that comes back."""
    engine = _get_engine(context)
    engine.refusal, engine.cuts = "", []
    _open_stream(context, context.events, KEY)


def _cut_for_good(context, events, state, key=""):
    engine = _get_engine(context)
    if state == "without a way on":
        engine.can_resume = False
    if state.startswith("that answers "):
        engine.refusal = state.removeprefix("that answers ")
    engine.cuts = [1]
    _await_event(context, _open_stream(context, events, key))
    if state == "that ended":
        engine.crash()
    elif state == "that restarted":
        engine.restart()
    context.deployment.hub.advance(EVENT_GAP)


@when(
    "a stream of {events:d} events loses its connection behind its end mark at an"
    " engine that {can} resume"
)
def step_lose_end(context, events, can):
    """Cut a stream when all of it was sent but the end of its framing."""
    engine = _get_engine(context)
    engine.can_resume = can == "can"
    engine.cuts = [events + 1]
    _open_stream(context, events)


@when(
    "{count:d} streams of {events:d} events are cut, and the engine answers {status:d}"
    " and wants {rest:d} s of rest"
)
def step_want_rest(context, count, events, status, rest):
    """Cut streams at once, and refuse their resumptions for some seconds."""
    hub, engine = context.deployment.hub, _get_engine(context)
    engine.cuts = [2] * count
    engine.refusal = str(status)
    for number in range(count):
        _open_stream(context, events, model=f"m{number}@1")
    hub.advance_until(lambda: not engine.cuts, 10.0)
    engine.rest = rest
    hub.advance_until(lambda: bool(engine.resumptions), 1.0)
    context.rest_until = hub.clock.now() + rest
    hub.advance(rest - 0.1)
    engine.rest, engine.refusal = 0, ""


@then("the engine got at most {most:d} resumptions within the rest")
def step_in_rest(context, most):
    """Count the resumptions that came before its rest was over."""
    times = _get_engine(context).resumptions
    found = sum(time < context.rest_until for time in times)
    assert 0 < found <= most, found


@when("a stream of {events:d} events with a key has a caller that {how} and goes away")
def step_leave_key(context, events, how):
    """Take the caller away behind its first events."""
    caller = _open_stream(context, events, KEY)
    hub = context.deployment.hub
    _await_event(context, caller)
    caller.is_full = how == "has stopped to read"
    hub.advance(2 * EVENT_GAP)
    # A connection that is closed has nothing left to send.
    caller.is_full = False
    caller.on_gone()


@then("its caller has each event once")
def step_has_all(context):
    """Compare the numbers of the events."""
    caller = context.callers[-1]
    assert caller.is_whole, caller.error
    assert _list_numbers(caller) == list(range(context.events)), caller.body


def _list_numbers(caller):
    numbers = re.findall(rb"^id: (\d+)$", caller.body, re.MULTILINE)
    return [int(number) for number in numbers]


@when("two streams of {events:d} events run and one of them is refused with 404")
def step_two(context, events):
    """Cut the second of two streams of one adapter at an engine without it."""
    engine = _get_engine(context)
    _await_event(context, _open_stream(context, 100 * events))
    engine.cuts = [1]
    _await_event(context, _open_stream(context, events))
    engine.refusal = "404"
    context.deployment.hub.advance(3 * EVENT_GAP)


@then("the adapter's pin is used by further calls")
def step_pin_used(context):
    """Look into the instance's table of pins."""
    table = context.deployment.get("entry-a0", Pins).table
    assert len(table.find(MODEL)) == 1


@when("an instance leaves while a stream of {events:d} events {state}")
def step_leave(context, events, state):
    """Tell an instance to leave at a moment of a call."""
    hub = context.deployment.hub
    engines = list(hub.engines.values())
    caller = _open_stream(context, events)
    if state == "waits for its resumption":
        for engine in engines:
            engine.cuts, engine.refusal = [3], "503"
    if state == "is lost with its engine's first run":
        hub.advance_until(lambda: any(e.state.runs for e in engines), 10.0)
        next(engine for engine in engines if engine.state.runs).crash()
    elif state != "waits for its adapter":
        _await_event(context, caller)
        hub.advance(5 * EVENT_GAP)
    context.deployment.get("entry-a0", Leaving).leave()
    hub.advance(2.0)
    for engine in engines:
        engine.refusal = ""


@then("each stream is whole, with each event once")
def step_all_whole(context):
    """Compare the numbers of the events."""
    for caller in context.callers:
        assert caller.is_whole, (caller.error, caller.body)
        assert _list_numbers(caller) == list(range(context.events)), caller.body


@when(
    "{count:d} streams of {events:d} events meet a silence of {span:g} s {moment} their"
    " first event"
)
def step_silence(context, count, events, span, moment):
    """Let an engine bring nothing for a while."""
    engine = _get_engine(context)
    engine.is_silent = moment == "before"
    callers = [_open_stream(context, events) for _ in range(count)]
    if moment == "behind":
        _await_event(context, callers[-1])
        engine.is_silent = True
    context.deployment.hub.advance(span)
    engine.is_silent = False


@then("none was resumed")
def step_none_resumed(context):
    """Count the resumptions that reached the engine."""
    assert not _get_engine(context).resumptions


@when("no retry is left")
def step_no_retry(context):
    """Spend the retry budget."""
    budget = context.deployment.get("entry-a0", Calls).budget
    while budget.spend():
        pass


@step("its caller goes away meanwhile")
def step_go_away(context):
    """Take the caller away while its stream waits."""
    context.callers[-1].on_gone()
    context.resumed = len(_get_engine(context).resumptions)


@then("it is resumed no more")
def step_no_more(context):
    """Wait for a resumption that must not come."""
    context.deployment.hub.advance(5.0)
    assert len(_get_engine(context).resumptions) == context.resumed


@then("each stream is whole, with each event once, and ran once")
def step_whole(context):
    """Compare the numbers of the events and the engines' journals."""
    step_all_whole(context)
    for caller in context.callers:
        assert caller.body.count(b"[DONE]") == 1, caller.body
    engines = context.deployment.hub.engines.values()
    runs = sum(engine.state.count("run") for engine in engines)
    assert runs == len(context.callers), runs


@then("its engine ran it once")
def step_ran_once(context):
    """Look into the engine's journal."""
    assert _get_engine(context).state.count("run") == 1


@then("it was resumed at most {most:d} times")
def step_resumed(context, most):
    """Count the resumptions that reached the engine."""
    found = len(_get_engine(context).resumptions)
    assert 0 < found <= most, found


@then("its caller is told {code}")
def step_told(context, code):
    """Check that the answer ended with an error."""
    caller = context.callers[-1]
    assert not caller.is_whole
    assert caller.error is not None and caller.error.code == code, caller.error


@then("no call runs under a pin")
def step_no_pin(context):
    """Look into the instance's table of pins."""
    table = context.deployment.get("entry-a0", Pins).table
    names = context.deployment.hub.engine_names
    assert sum(table.count_running(name) for name in names) == 0
