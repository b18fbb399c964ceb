"""Steps on streams at endpoints of several software versions."""

import random

from behave import given, then, when

from roadlift.instance.leases import Leases
from standins.runners import Pause
from tests.support.configuration import BASE, SERVICES, make_route
from tests.support.entries import Entries
from tests.support.streams import Stream

_EVENTS = 8
_STREAM = {
    "timeoutMs": 10000,
    "goalMs": 1000,
    "resumable": True,
    "gapGoalMs": 500,
    "attempts": 4,
}
_ROUTES = [
    make_route("/again/", "streaming", "llm", **_STREAM),
    make_route("/plain/", "streaming", "plain", **_STREAM),
]
_PLAIN_HEADERS = {"token-count": "10,20", "deadline-ms": "10000"}
_HEADERS = {
    **_PLAIN_HEADERS,
    "model": f"{BASE}/x",
    "prompt-prefix": "ab:10",
}
_ZONES = {"a": "z1", "b": "z2", "c": "z1", "d": "z2"}
_ADAPTERS = 8  # Adapters whose preferred engines differ.
_HELD = {"x": 1, **{f"x{one}": 1 for one in range(_ADAPTERS)}}
_GROUP = 5  # Streams that begin at once.
_REPORTED = 0.5  # Seconds in which owners read what engines hold.
_LIMIT = 10.0  # Seconds until a call has ended.
_SEED = 1

_BREAKS = "engines break streams off"
_PAUSES = "engines pause within streams"
_ENDS = "engines end"
_LATER = "engines of v1.2 alone hold it at first"
_NO_MODELS = "the service runs no models"


@given("{count:d} instances, and engines of the versions {versions}")
def step_start(context, count, versions):
    """Start them, and wait until the instances know the adapters."""
    context.entries = entries = Entries()
    context.add_cleanup(entries.close)
    entries.installation.marks_events = True
    entries.configure(_ROUTES, SERVICES, 1 + _ADAPTERS)
    for name in list(_ZONES)[:count]:
        entries.start(name, _ZONES[name], {"retry_slack": 1000.0})
    for index, software in enumerate(versions.split(", ")):
        zone = "z1" if index % 2 else "z2"
        for service, base in (("llm", BASE), ("plain", "")):
            name = f"{service}-{index}"
            runner = entries.installation.add_runner(
                service, name, zone, base, software
            )
            runner.events = _EVENTS
            runner.slots = 8
            runner.held.update(_HELD)
    entries.advance(5.0)
    context.streams = []


def _begin(context, number: int, instance: str, headers: dict[str, str]) -> Stream:
    prefix = "/again" if "model" in headers else "/plain"
    stream = Stream(context.entries, f"s{number}", f"{prefix}/{number}", headers)
    stream.send(instance)
    context.streams.append(stream)
    return stream


def _begin_adapted(context, number: int) -> Stream:
    """Begin a stream for one of some adapters at the first instance."""
    headers = {**_HEADERS, "model": f"{BASE}/x{number % _ADAPTERS}"}
    return _begin(context, number, "a", headers)


# In one answer.


@when("{count:d} streams begin where {trouble}, and {ready}")
def step_send(context, count, trouble, ready):
    """Send them one after the other, and let half of them meet trouble."""
    entries, draw = context.entries, random.Random(_SEED)
    if ready == _LATER:
        for runner in entries.installation.runners.values():
            if runner.software == "v1":
                runner.held.pop("x", None)
        entries.advance(2.0)
    for number in range(count):
        _set_faults(entries, trouble, draw)
        instance = draw.choice(sorted(entries.entries))
        headers = _PLAIN_HEADERS if ready == _NO_MODELS else _HEADERS
        stream = _begin(context, number, instance, headers)
        if trouble == _ENDS and number % 10 == 0:
            _end_engine(entries, stream)
        entries.advance(draw.uniform(0.02, 0.2))
    for runner in entries.installation.runners.values():
        runner.faults = []
    entries.advance(_LIMIT)


def _set_faults(entries: Entries, trouble: str, draw: random.Random) -> None:
    """Let engines, and endpoints without models in the same order, fail."""
    for service in ("llm", "plain"):
        found = [
            one
            for one in entries.installation.runners.values()
            if one.service == service
        ]
        state = draw.getstate()
        for runner in found:
            runner.faults = _draw_faults(trouble, draw)
        if service == "llm":
            next_state = draw.getstate()
            draw.setstate(state)
    draw.setstate(next_state)


def _draw_faults(trouble: str, draw: random.Random) -> list:
    if trouble == _ENDS or draw.random() < 0.5:
        return []
    return ["cut"] if trouble == _BREAKS else [Pause(draw.uniform(0.8, 2.0))]


def _end_engine(entries: Entries, stream: Stream) -> None:
    """End the engine that made the stream's events, once there are two."""
    stream.advance_until(lambda: len(stream.events) >= 2, 2.0)
    call_id = stream.attempts[-1].id
    for runner in list(entries.installation.runners.values()):
        if any(one["request-id"] == call_id for one in runner.ran):
            runner.crash()


# Over a caller's tries.


@when("{count:d} streams are left by their callers and taken up at {instance}")
def step_take_up(context, count, instance):
    """Begin a few at once, leave each within its events, and take it up."""
    draw = random.Random(_SEED)
    for number in range(0, count, _GROUP):
        streams = [_begin_adapted(context, number + one) for one in range(_GROUP)]
        _await_events(streams, draw.randrange(2, _EVENTS - 4))
        for name in _TAKERS[instance](context.entries):
            for stream in streams:
                stream.leave()
            _unload(context.entries, streams[0])
            _take_up(streams, name)
        for stream in streams:
            stream.advance_until(lambda: stream.has_ended, _LIMIT)  # noqa: B023
        _restore(context.entries)


def _await_events(streams: list[Stream], events: int) -> None:
    """Wait until all streams have some events, or an end."""
    for stream in streams:
        stream.advance_until(
            lambda: len(stream.events) >= events or stream.has_ended,  # noqa: B023
            _LIMIT,
        )


def _unload(entries: Entries, stream: Stream) -> None:
    """Unload the adapters of engines like a stream's: others look better."""
    for runner in entries.installation.runners.values():
        if runner.software in stream.list_software():
            runner.held.clear()
    entries.advance(_REPORTED)


def _take_up(streams: list[Stream], instance: str) -> None:
    """Take streams up at an instance, and wait for two more events."""
    known = min(len(stream.events) for stream in streams)
    for stream in streams:
        stream.send(instance)
    _await_events(streams, known + 2)


def _restart(entries: Entries, name: str) -> None:
    """Kill an instance, and start it again."""
    entries.end(name)
    entries.start(name, _ZONES[name], {"retry_slack": 1000.0})


def _take_up_at_new(entries: Entries) -> list[str]:
    _restart(entries, "c")
    entries.advance(0.5)
    return ["c"]


def _take_up_without_first(entries: Entries) -> list[str]:
    entries.advance(0.1)
    entries.end("a")
    return ["c"]


def _take_up_without_owner(entries: Entries) -> list[str]:
    entries.advance(0.1)
    leases = entries.entries["a"].kernel.get(Leases)
    address = leases.find_owner("z1")
    for name in list(entries.entries):
        if entries.entries[name].address == address and name != "a":
            entries.end(name)
            return ["d"]
    entries.end("a")
    return ["c"]


def _take_up_alone(entries: Entries) -> list[str]:
    for name in ("a", "b", "c"):
        entries.end(name)
    entries.advance(0.2)
    return ["d"]


def _take_up_cut_off(entries: Entries) -> list[str]:
    entries.installation.cut_from_runners.add(entries.entries["c"].dialer)
    entries.advance(0.1)
    return ["c"]


_TAKERS = {
    "the same instance": lambda entries: ["a"],
    "another instance of the zone": lambda entries: ["c"],
    "an instance of another zone": lambda entries: ["b"],
    "an instance that has just started": _take_up_at_new,
    "another one, as the one that began has ended": _take_up_without_first,
    "another one, as the owner of its zone has ended": _take_up_without_owner,
    "another one, as all others have ended": _take_up_alone,
    "an instance that reaches no engine": _take_up_cut_off,
    "another one than the one that took it over": lambda entries: ["b", "c"],
}


def _restore(entries: Entries) -> None:
    """Start what was ended, and wait until it serves."""
    entries.installation.cut_from_runners.clear()
    for runner in entries.installation.runners.values():
        runner.held.update(_HELD)
    missing = [name for name in _ZONES if name not in entries.entries]
    for name in missing:
        entries.start(name, _ZONES[name], {"retry_slack": 1000.0})
    entries.advance(6.0 if missing else 0.1)


# What callers got.


@then("no stream holds events of two versions, none twice, and none is missing")
def step_versions(context):
    """Look at the events of each stream, over all attempts."""
    mixed = [
        one.attempts[0].id for one in context.streams if len(one.list_software()) > 1
    ]
    assert not mixed, (len(mixed), mixed[:5])
    for stream in context.streams:
        numbers = [event.number for event in stream.events]
        assert numbers == list(range(len(numbers))), numbers
        assert not stream.is_whole or len(numbers) == _EVENTS, numbers


@then("{least:d} in 100 of the streams went on to their end")
def step_whole(context, least):
    """Count the streams that went on to their end."""
    whole = sum(stream.is_whole for stream in context.streams)
    refused = [
        (one.attempts[0].id, str(one.last.error), one.last.is_cut)
        for one in context.streams
        if not one.is_whole
    ]
    assert whole >= least / 100 * len(context.streams), (whole, refused[:5])
