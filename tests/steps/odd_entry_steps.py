"""Steps on rows of the platform's tables that another writer has left."""

import json

from behave import given, then, when

from roadlift.instance.follower import Follower
from tests.support.configuration import BASE, ROUTES, SERVICES
from tests.support.entries import Entries

_ZONES = {"a": "z1", "b": "z1", "c": "z2", "d": "z2"}
_SURROGATE = "\ud800"
_DEPTH = 60_000
_ENTRY = {
    "backend": "plain",
    "addr": "10.0.0.9:8000",
    "zone": "z1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "models": [],
    "seq": 0,
}
_BYTES = b"\xc1\x00other"
_DEEP_LIST = b"[" * _DEPTH + b"]" * _DEPTH
_DEEP_MAP = b'{"a":' * _DEPTH + b"1" + b"}" * _DEPTH


def _entry(**fields: object) -> tuple[str, str, bytes]:
    return "servers", "odd", json.dumps({**_ENTRY, **fields}).encode()


def _deep(part: bytes) -> bytes:
    return b'{"backend": "plain", "more": ' + part + b"}"


def _port(text: str) -> tuple[str, str, bytes]:
    return _entry(addr=f"10.0.0.9:{text}")


_VERSION = {"model": BASE, "adapter": "x1", "version": 2}
_ROWS = {
    "entry nested 60000 deep": ("servers", "odd", _deep(_DEEP_LIST)),
    "entry with a map nested so": ("servers", "odd", _deep(_DEEP_MAP)),
    "entry with 6000 digits": (
        "servers",
        "odd",
        json.dumps(_ENTRY).replace("8,", "9" * 6000 + ",").encode(),
    ),
    "entry with 1e999 slots": (
        "servers",
        "odd",
        json.dumps(_ENTRY).replace("8,", "1e999,").encode(),
    ),
    "entry with port 99999": _port("99999"),
    "entry with port 65536": _port("65536"),
    "entry with port 0": _port("0"),
    "entry with port -1": _port("-1"),
    "entry with port 8_0": _port("8_0"),
    "entry with port +80": _port("+80"),
    "entry with a host and more": _entry(addr="10.0.0.9 x:8000"),
    "entry with an octal host": _entry(addr="010.0.0.9:8000"),
    "entry with a surrogate as zone": _entry(zone=_SURROGATE),
    "entry with a surrogate as service": _entry(backend=_SURROGATE),
    "entry with a surrogate as version": _entry(version=_SURROGATE),
    "entry under a surrogate": ("servers", _SURROGATE, json.dumps(_ENTRY).encode()),
    "entry that is a list": ("servers", "odd", b"[1, 2]"),
    "entry of no document": ("servers", "odd", _BYTES),
    "version nested 60000 deep": ("op", f"version/{BASE}.x1", _deep(_DEEP_LIST)),
    "version of a surrogate": (
        "op",
        f"version/{BASE}.x1",
        json.dumps({**_VERSION, "adapter": _SURROGATE}).encode(),
    ),
    "version with 6000 digits": (
        "op",
        f"version/{BASE}.x1",
        json.dumps(_VERSION).replace("2}", "9" * 6000 + "}").encode(),
    ),
    "evacuation under a surrogate": ("op", f"evacuate/{_SURROGATE}", b"{}"),
    "row of the operator under a surrogate": ("op", _SURROGATE, b"{}"),
    "lease of other bytes": ("roadlift_leases", "z9", _BYTES),
    "lease under a surrogate": ("roadlift_leases", _SURROGATE, _BYTES),
    "row of work of other bytes": ("roadlift_crashes", "ab" * 12, _BYTES),
    "row of work under a surrogate": ("roadlift_crashes", _SURROGATE, _BYTES),
    "row of services of other bytes": ("roadlift_software", "llm", _BYTES),
    "row of services under a surrogate": ("roadlift_software", _SURROGATE, _BYTES),
    "row of streams of other bytes": ("roadlift_streams", "z1.0", _BYTES),
}


def _start(context) -> None:
    for name, zone in _ZONES.items():
        context.entries.start(name, zone)


@given("an odd {what} written {when} of 4 instances in 2 zones")
def step_odd(context, what, when):
    """Write the row, and start instances before or after that."""
    context.entries = entries = Entries()
    context.add_cleanup(entries.close)
    entries.configure(ROUTES, SERVICES, 9)
    entries.installation.add_runner("plain", "p0", "z1", "")
    table, key, value = _ROWS[what]
    if when == "before the start":
        entries.installation.store.put_bytes(table, key, value)
        _start(context)
        entries.advance(4.0)
        return
    _start(context)
    entries.advance(4.0)
    entries.installation.store.put_bytes(table, key, value)
    entries.advance(2.0)


@when("another runner is added")
def step_added(context):
    """Add a plain one, and then an engine."""
    installation = context.entries.installation
    installation.add_runner("plain", "p1", "z2", "")
    installation.add_runner("llm", "e0", "z2", BASE)


@then("all instances know that runner and the engine within {seconds:g} seconds")
def step_known(context, seconds):
    """Look at the list of each instance."""
    context.entries.advance(seconds)
    lists = {
        name: {one.name for one in entry.kernel.get(Follower).directory.list_all()}
        for name, entry in context.entries.entries.items()
    }
    assert all({"p0", "p1", "e0"} <= names for names in lists.values()), lists


@then("each of them serves a call")
def step_served(context):
    """Send a call to each."""
    calls = {
        name: context.entries.call(name, "/idem/1", {"deadline-ms": "2000"})
        for name in _ZONES
    }
    context.entries.advance(2.0)
    found = {name: (call.status, str(call.error)) for name, call in calls.items()}
    assert all(call.is_whole and call.status == 200 for call in calls.values()), found
