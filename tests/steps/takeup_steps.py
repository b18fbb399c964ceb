"""Steps on one stream that is taken up while its deployment changes."""

from collections.abc import Callable

from behave import given, then, when

from roadlift.instance.leases import Leases
from roadlift.instance.originarchive import OriginArchive
from roadlift.instance.origins import OriginRegistry
from roadlift.serving.messages import FindOrigin, OriginReply, StreamOrigins
from roadlift.serving.originrows import SOFTWARE_TABLE
from standins.runners import Runner
from tests.support.configuration import BASE, SERVICES, make_route
from tests.support.entries import Entries
from tests.support.streams import Stream

_EVENTS = 8
_LONG = 30  # Events of a stream of six seconds.
_STREAM = {
    "timeoutMs": 10000,
    "goalMs": 1000,
    "resumable": True,
    "gapGoalMs": 500,
    "attempts": 3,
}
_SPLIT = [{"backend": "plain", "weight": 50}, {"backend": "other", "weight": 50}]
_ROUTES = [
    make_route("/again/", "streaming", "llm", **_STREAM),
    make_route("/plain/", "streaming", "plain", **_STREAM),
    make_route("/split/", "streaming", "plain", split=_SPLIT, **_STREAM),
]
_MOVED = [make_route("/plain/", "streaming", "other", **_STREAM)]
_SERVICES = {**SERVICES, "other": False}
_ZONES = {"a": "z1", "b": "z2", "c": "z1"}
_PLAIN = {"token-count": "10,20", "deadline-ms": "10000"}
_HEADERS = {**_PLAIN, "model": f"{BASE}/x", "prompt-prefix": "ab:10"}
_MOST_STREAMS = 600  # Streams until a lease has changed its owner.
_LIMIT = 10.0  # Seconds until a call has ended.
_AT_ONCE = 0.5  # Seconds.
_LISTED = 1.5  # Seconds in which all know of a change of the list.
_STORE_AWAY = 12.0  # Seconds without the store, more than a lease lasts.
_STARTED = 1.5  # Seconds in which processes that have started serve.
_LOST = 6.0  # Seconds of writes that the store loses.
_OUTDATED = 6.0  # Seconds in which the list is outdated.


@given("endpoints of the versions {versions}, known for {seconds:g} seconds")
def step_start(context, versions, seconds):
    """Start instances, and endpoints of three services."""
    context.entries = entries = Entries()
    context.add_cleanup(entries.close)
    entries.installation.marks_events = True
    entries.configure(_ROUTES, _SERVICES)
    for index, version in enumerate(versions.split(", ")):
        for service in _SERVICES:
            _add_runner(entries, service, index, version.replace("none", ""))
    for name, zone in _ZONES.items():
        entries.start(name, zone)
    entries.advance(seconds)


def _add_runner(entries: Entries, service: str, index: int, software: str) -> None:
    """Start an endpoint whose version tells its service as well."""
    base = BASE if service == "llm" else ""
    zone = "z1" if index % 2 else "z2"
    software = f"{software}-{service}" if software else ""
    runner = entries.installation.add_runner(
        service, f"{service}-{index}", zone, base, software
    )
    runner.events = _EVENTS
    runner.held["x"] = 1


def _begin(
    context, prefix: str = "/again", name: str = "s", instance: str = "a"
) -> Stream:
    """Begin a stream at an instance, and wait for three events."""
    headers = _HEADERS if prefix == "/again" else _PLAIN
    stream = Stream(context.entries, name, f"{prefix}/slow", headers)
    stream.send(instance)
    stream.advance_until(lambda: len(stream.events) >= 3, 5.0)
    return stream


def _list_alike(entries: Entries, stream: Stream) -> list[Runner]:
    """Return the endpoints of a stream's version, its own first."""
    call_id = stream.attempts[-1].id
    has_run = lambda one: any(call_id == ran["request-id"] for ran in one.ran)
    found = [
        one
        for one in entries.installation.runners.values()
        if one.software in stream.list_software()
    ]
    return sorted(found, key=has_run, reverse=True)


def _remove(entries: Entries, runners: list[Runner]) -> None:
    """Let endpoints leave the list, and end when all know of it."""
    for runner in runners:
        entries.installation.store.delete("servers", runner.id)
    entries.advance(_LISTED)
    for runner in runners:
        entries.installation.runners.pop(runner.id, None)
        for line in runner._list_running():
            line.break_off()


def _take_up(stream: Stream, instance: str = "c") -> None:
    stream.leave()
    stream.send(instance)


# What happens between the two calls.


def _play_calm(context) -> Stream:
    stream = _begin(context)
    _take_up(stream)
    return stream


def _play_engine_left(context) -> Stream:
    stream = _begin(context)
    stream.leave()
    _remove(context.entries, _list_alike(context.entries, stream)[:1])
    _take_up(stream)
    return stream


def _play_all_left(context) -> Stream:
    stream = _begin(context)
    stream.leave()
    _remove(context.entries, _list_alike(context.entries, stream))
    _take_up(stream)
    return stream


def _play_left_within(context) -> Stream:
    stream = _begin(context)
    for runner in context.entries.installation.runners.values():
        runner.events = 100
    _remove(context.entries, _list_alike(context.entries, stream))
    return stream


def _play_split(context) -> Stream:
    for number in range(6):
        stream = _begin(context, "/split", f"s{number}")
        _take_up(stream)
        stream.advance_until(lambda: stream.has_ended, _LIMIT)  # noqa: B023
        if not stream.is_whole or len(stream.list_software()) > 1:
            break
    return stream


def _play_moved(context) -> Stream:
    stream = _begin(context, "/plain")
    context.entries.configure(_MOVED, _SERVICES)
    context.entries.advance(_LISTED)
    _take_up(stream)
    return stream


def _play_store_away(context) -> Stream:
    """Take up at the other zone, of an instance that owns none."""
    entries = context.entries
    entries.installation.store.is_down = True
    entries.advance(_STORE_AWAY)
    held = {
        name: entry.kernel.get(Leases).find_owner("z1") == entry.address
        for name, entry in entries.entries.items()
    }
    stream = _begin(context, instance="c" if held["a"] else "a")
    _take_up(stream, "b")
    return stream


def _forget(stream: Stream) -> None:
    """Let the caller name a call that nobody knows."""
    stream.find_origin = lambda: "unknown"


def _play_forgotten(context) -> Stream:
    stream = _begin(context)
    _forget(stream)
    _take_up(stream)
    return stream


def _play_forgotten_old(context) -> Stream:
    stream = _begin(context)
    _forget(stream)
    stream.leave()
    context.entries.installation.store.is_down = True
    context.entries.advance(_OUTDATED)
    _take_up(stream)
    return stream


def _play_forgotten_new(context) -> Stream:
    stream = _begin(context)
    _forget(stream)
    stream.leave()
    context.entries.end("c")
    context.entries.start("c", _ZONES["c"])
    context.entries.advance(1.0)
    _take_up(stream)
    return stream


def _restart_all(
    context, seconds: float, change: Callable[..., None] = lambda context, stream: None
) -> Stream:
    """End all instances, so that no process remembers the stream."""
    stream = _begin(context)
    _end_all(context, stream, change)
    context.entries.advance(seconds)
    _take_up(stream)
    return stream


def _end_all(context, stream: Stream, change: Callable[..., None]) -> None:
    """Kill all instances, change something, and start them."""
    stream.leave()
    for name in _ZONES:
        context.entries.end(name)
    change(context, stream)
    for name, zone in _ZONES.items():
        context.entries.start(name, zone)


def _play_new_version(context) -> Stream:
    """Begin streams as soon as another version is listed, and kill all."""
    for index in (7, 8):
        _add_runner(context.entries, "llm", index, "v1.2")
    streams = []
    while not any("v1.2-llm" in one.list_software() for one in streams):
        streams.append(_begin(context, name=f"n{len(streams)}"))
        assert len(streams) < _MOST_STREAMS
    stream = streams[-1]
    _end_all(context, stream, lambda context, stream: None)
    context.entries.advance(_STARTED)
    _take_up(stream)
    return stream


def _play_later_version(context) -> Stream:
    """Declare another version behind a stream that has begun, and kill all."""
    stream = _begin(context)
    stream.leave()
    _add_runner(context.entries, "llm", 7, "v1.2")
    context.entries.advance(_LISTED)
    _end_all(context, stream, lambda context, stream: None)
    context.entries.advance(_STARTED)
    _take_up(stream)
    return stream


def _remove_own(context, stream: Stream) -> None:
    """Let the endpoints of a stream's version leave."""
    _remove(context.entries, _list_alike(context.entries, stream))


def _remove_others(context, stream: Stream) -> None:
    """Let the endpoints of all other versions leave."""
    alike = _list_alike(context.entries, stream)
    runners = context.entries.installation.runners.values()
    _remove(context.entries, [one for one in runners if one not in alike])


def _lose_writes(context, stream: Stream) -> None:
    """Let the store come back older; the runners write their rows again."""
    store = context.entries.installation.store
    store.write_again(store.go_back(_LOST))


def _lose_row(context, stream: Stream) -> None:
    for service in _SERVICES:
        context.entries.installation.store.delete(SOFTWARE_TABLE, service)


def _play_row_anew(context) -> Stream:
    """Lose a row while instances live, whose owners write it again."""
    stream = _begin(context)
    _lose_row(context, stream)
    owner = next(
        one for one in context.entries.entries.values() if _holds_leases(one.kernel)
    )
    owner.kernel.get(OriginArchive).read(lambda is_read: None)
    context.entries.advance(_STARTED)
    _end_all(context, stream, lambda context, stream: None)
    context.entries.advance(_STARTED)
    _take_up(stream)
    return stream


def _holds_leases(kernel) -> bool:
    return bool(kernel.get(Leases).list_held())


def _play_started_without(context) -> Stream:
    """Take up a stream that no instance ever began."""
    return _restart_all(context, _STARTED, lambda context, stream: _forget(stream))


def _play_version_left(context) -> Stream:
    stream = _begin(context)
    _forget(stream)
    stream.leave()
    runners = context.entries.installation.runners.values()
    others = [one for one in runners if one.software not in stream.list_software()]
    _remove(context.entries, others)
    _take_up(stream)
    return stream


def _play_unnamed(context) -> Stream:
    stream = _begin(context)
    stream.find_origin = lambda: ""
    _take_up(stream)
    return stream


_CASES: dict[str, Callable[..., Stream]] = {
    "nothing else happens": _play_calm,
    "its engine has left": _play_engine_left,
    "all engines of its version have left": _play_all_left,
    "all of them leave within one answer": _play_left_within,
    "its route is split over two services": _play_split,
    "its route has moved to another service": _play_moved,
    "the store has been away for long": _play_store_away,
    "nobody remembers it": _play_forgotten,
    "nobody remembers it and the list is old": _play_forgotten_old,
    "nobody remembers it at an instance just started": _play_forgotten_new,
    "all instances have just started again": lambda context: _restart_all(
        context, _STARTED
    ),
    "all instances have started again, and own zones": lambda context: _restart_all(
        context, 5.0
    ),
    "all instances started again long ago": lambda context: _restart_all(context, 30.0),
    "all instances start again behind its version's first streams": _play_new_version,
    "all instances start again behind a version that came after it": (
        _play_later_version
    ),
    "all instances have just started again without the other version": (
        lambda context: _restart_all(context, _STARTED, _remove_others)
    ),
    "all instances have just started again without its version": (
        lambda context: _restart_all(context, _STARTED, _remove_own)
    ),
    "all instances have started again without its version, 15 s ago": (
        lambda context: _restart_all(context, 15.0, _remove_own)
    ),
    "all instances have just started again, and the store is older": (
        lambda context: _restart_all(context, _STARTED, _lose_writes)
    ),
    "all instances have just started again, and the store lost its row": (
        lambda context: _restart_all(context, _STARTED, _lose_row)
    ),
    "all instances have just started again, as the row was written anew": (
        _play_row_anew
    ),
    "all instances have just started again, and nobody began it": _play_started_without,
    "a version has left, and nobody remembers it": _play_version_left,
    "its caller does not name it": _play_unnamed,
}


@when("a stream is taken up where {what}")
def step_take_up(context, what):
    """Play the case."""
    context.stream = _CASES[what](context)


@then("it goes on")
def step_goes_on(context):
    """Wait for its end, and look at all of its events."""
    stream = context.stream
    stream.advance_until(lambda: stream.has_ended, _LIMIT)
    assert stream.is_whole, (stream.last.error, stream.last.is_cut)
    assert [one.number for one in stream.events] == list(range(_EVENTS))
    assert len(stream.list_software()) == 1, stream.list_software()


@then("it is refused for good")
def step_refused(context):
    """See that the caller is told at once, and not told to come back."""
    stream = context.stream
    stream.advance_until(lambda: stream.has_ended, _AT_ONCE)
    assert stream.last.error is not None, stream.last.body
    assert stream.last.error.status == 503, stream.last.error
    assert "Retry-After" not in stream.last.error_headers, stream.last.error_headers


@then("it is cut at once")
def step_cut(context):
    """See that the answer ends soon behind its engine."""
    stream = context.stream
    stream.advance_until(lambda: stream.has_ended, _AT_ONCE)
    assert stream.last.is_cut, (stream.last.body, stream.last.error)
    assert len(stream.list_software()) == 1, stream.list_software()


@when("the only other owner ends, and streams begin at the last instance all the while")
def step_own_all(context):
    """End all but one instance, and begin a stream each 0.05 seconds."""
    entries = context.entries
    entries.end("b")
    entries.end("c")
    context.streams = []
    while len(entries.entries["a"].kernel.get(Leases).list_held()) < 2:
        entries.advance(0.05)
        assert len(context.streams) < _MOST_STREAMS
        name = f"s{len(context.streams)}"
        stream = Stream(entries, name, "/plain/1", _PLAIN)
        stream.send("a")
        context.streams.append(stream)
    entries.advance(2.0)


@when(
    "{taken:d} of its 48 slots are taken by streams, and those of v1 are taken up"
    " elsewhere"
)
def step_busy(context, taken):
    """Take up the streams of one version."""
    context.streams = _begin_long(context.entries, taken)
    for stream in context.streams:
        _take_up(stream)
        context.entries.advance(0.05)
    context.entries.advance(_LIMIT)


@when("{taken:d} of its 48 slots are taken by streams, and an endpoint of v1 ends")
def step_busy_end(context, taken):
    """End one of the two endpoints of a version."""
    context.streams = _begin_long(context.entries, taken)
    context.entries.installation.runners["plain-0"].crash()
    context.entries.advance(_LIMIT)


def _begin_long(entries: Entries, taken: int) -> list[Stream]:
    """Begin long streams at all endpoints; return those of one version."""
    for runner in entries.installation.runners.values():
        runner.events = _LONG
    streams = [
        Stream(entries, f"s{number}", "/plain/slow", _PLAIN) for number in range(taken)
    ]
    for stream in streams:
        stream.send("a")
        entries.advance(0.05)
    entries.advance(1.5)
    found = [one for one in streams if one.list_software() == {"v1-plain"}]
    assert len(found) >= 4, len(found)
    return found


@then("all of them are whole")
def step_all_whole(context):
    """Look at each stream's end."""
    found = [str(one.last.error) for one in context.streams if not one.is_whole]
    assert not found, (len(found), found[:3])


@when("malformed messages on streams arrive")
def step_malformed(context):
    """Send what another writer might send."""
    entries = context.entries
    transport = entries.entries["b"].transport
    for message in _MALFORMED:
        transport.send(entries.entries["a"].address, message)
    entries.advance(0.2)


_MALFORMED = (
    StreamOrigins("x", [["llm", "v1"]], False),
    StreamOrigins("x", [7], False),
    StreamOrigins("x", [["llm", "v1", "text"]], True),
    StreamOrigins("x", [["llm", [], b"12345678"]], False),
    StreamOrigins("x", 7, False),
    FindOrigin("127.0.0.1:9001", "text", "llm", False),
    OriginReply("127.0.0.1:9001", b"12345678", "llm", "rumour", "", "", 0.0, True),
)


@when("instance {name} is suspended for {seconds:g} seconds")
def step_suspend(context, name, seconds):
    """Suspend it, and let the others go on."""
    context.entries.suspend(name, seconds)


@then("{name} does not know the only version of a service")
def step_no_inference(context, name):
    """Look up a stream that nobody has begun."""
    registry = context.entries.entries[name].kernel.get(OriginRegistry)
    finding = registry.find(b"12345678", "llm")
    assert finding.origin is None, finding
