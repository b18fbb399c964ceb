"""Steps on organisations, their keys and the age of the configuration."""

import json
from urllib.parse import parse_qsl

from behave import given, then, when

from roadlift.core.errors import RoadliftError
from roadlift.instance.follower import Follower
from roadlift.instance.leases import Leases
from roadlift.organisations.keys import KeyTable, digest_key
from roadlift.relay.upstream import Answer
from roadlift.serving.interfaces import StoredRow, adapters
from roadlift.serving.position import ZERO_POSITION
from tests.support.configuration import (
    SERVICES,
    describe_configuration,
    make_route,
    make_tenant,
    make_tenants,
)
from tests.support.entries import Entries

_ADAPTER = adapters.get("platform")
_OPEN = make_route("/open/", "idempotent", "plain", public=True)
REVOKE_LIMIT = 5.0  # Seconds for which a revoked key may be served.
_LIMITS = {"revoke_ms": int(REVOKE_LIMIT * 1000)}


# Platform adapter


@then("its key is that of {key}")
def step_key(context, key):
    """Compare the digest."""
    expected = {"nobody": "", "an empty text": digest_key("")}
    assert context.read.key == expected.get(key, digest_key(key))


@then("its organisations are {result}")
def step_organisations(context, result):
    """Compare a description of the organisations that were read."""
    if isinstance(context.read, RoadliftError):
        assert context.read.code == result, context.read
        assert "key" not in str(context.read) or "first-key" not in str(context.read)
        return
    found = context.read.organisations
    if found is None:
        assert result == "none in use", result
        return
    assert ", ".join(map(_describe, found)) == result.replace("nobody", ""), found


def _describe(one):
    text = f"{one.name} {len(one.keys)} keys priority {one.priority}"
    if one.allowance is None:
        return text
    rate, burst, is_tokens, plain = one.allowance
    unit = "tokens" if is_tokens else "calls"
    return f"{text} {unit} {rate} + {burst} plain {plain}"


@when("a configuration with {change} is concealed")
def step_conceal(context, change):
    """Conceal the keys of a configuration, as before it is forwarded."""
    content = describe_configuration(3, [], SERVICES, 2) | make_tenants(change)
    context.plain = StoredRow("config", json.dumps(content).encode(), ZERO_POSITION)
    context.concealed = _ADAPTER.state.redact(context.plain)


@then("it holds no key, and is read as the same organisations")
def step_concealed(context):
    """Compare what is read from both."""
    assert b"first-key" not in context.concealed.value
    read = _ADAPTER.state.read_configuration
    assert read(context.concealed) == read(context.plain)
    assert _ADAPTER.state.redact(context.concealed) == context.concealed


class _PagedStore:
    """A store whose answers to reads of pages are given by the test."""

    def __init__(self):
        self.lines = []

    def open(self, address, request, receiver, timeout):
        """Record a request."""
        _, _, query = request.path.partition("?")
        self.lines.append((dict(parse_qsl(query)), receiver))
        return self

    def close(self):
        """Nothing to close."""


@given("a table of 3 rows that is read in pages of 2")
def step_pages(context):
    """Start to read the table."""
    context.entries = Entries()
    context.add_cleanup(context.entries.close)
    entry = context.entries.start("a", "z1")
    context.dialer = entry.kernel.dialer = _PagedStore()
    context.clock = context.entries.installation.clock
    context.store = _ADAPTER.open_store(entry.kernel)
    context.taken = []
    context.store.read("t", context.taken.append, context.taken.append)


def _answer_page(context, keys, version, has_more):
    _, receiver = context.dialer.lines.pop()
    row = lambda key: {"key": key, "value": "", "ver": 1}
    content = {
        "rows": [row(key) for key in keys],
        "ver": version,
        "nowMs": 1000,
        "hasMore": has_more,
    }
    body = json.dumps(content).encode()
    answer = Answer(200, {}, body)
    receiver.receive_head(answer.status, {"content-length": str(len(body))})
    receiver.receive_body(body)
    receiver.receive_end()


@when("a row of the first page changes while the second is read")
def step_second_page(context):
    """Answer both, the second as of a later version."""
    context.began_at = context.clock.now()
    context.clock.advance(0.1)
    _answer_page(context, ["a", "b"], 10, True)
    context.clock.advance(0.1)
    _answer_page(context, ["b", "c"], 12, False)


@then("the table is as of the version and the time before the first page")
def step_first_page(context):
    """Check the rows, and the position and time that they are as of."""
    (rows,) = context.taken
    assert [row.key for row in rows.rows] == ["a", "b", "c"], rows
    assert (rows.position.version, rows.time.asked_at) == (10, context.began_at), rows


# Key look-ups


@given("a table of {count:d} keys of {organisations:d} organisations")
def step_table(context, count, organisations):
    """Create a table of keys."""
    names = [f"o{number}" for number in range(organisations)]
    found = [
        _ADAPTER.state.read_configuration(
            StoredRow(
                "config",
                json.dumps(_describe_keys(names, count)).encode(),
                ZERO_POSITION,
            )
        )
    ]
    context.key_table = KeyTable(found[0].organisations)


def _describe_keys(names, count):
    each = count // len(names)
    tenants = [
        make_tenant(name, [f"{name}-{n}" for n in range(each)]) for name in names
    ]
    return describe_configuration(1, [], SERVICES, 2) | {"tenants": tenants}


@then("the key {key} is that of {name}")
def step_look_up(context, key, name):
    """Look a key up by its digest."""
    found = context.key_table.find(digest_key(key))
    assert (found.name if found else "no organisation") == name, found


# Instances


@given("an installation whose callers have keys, with instances {names}")
def step_keyed(context, names):
    """Start the instances, and wait until they know the endpoints.

    The first two are in z1: one of them receives updates from the other.
    """
    context.entries = Entries()
    context.add_cleanup(context.entries.close)
    context.tenants = [
        make_tenant("red", ["red-key", "red-other"], priority=4),
        make_tenant("blue", ["blue-key"]),
    ]
    _configure(context)
    for number, name in enumerate(names.split(", ")):
        context.entries.start(name, "z2" if number == 2 else "z1", _LIMITS)
    for name, zone in (("p1", "z1"), ("p2", "z2")):
        context.entries.installation.add_runner("plain", name, zone, "")
    for name, zone in (("e1", "z1"), ("e2", "z2")):
        runner = context.entries.installation.add_runner("llm", name, zone, "base")
        runner.load_time = 0.6
    context.entries.advance(3.0)


def _configure(context):
    context.entries.version += 1
    content = describe_configuration(context.entries.version, [_OPEN], SERVICES, 2)
    content["tenants"] = context.tenants
    context.entries.installation.store.put("op", "config", content)


_HEADERS = {
    "the key of red": {"authorization": "Token red-key"},
    "the second key of red": {"authorization": "Token red-other"},
    "the key of blue": {"authorization": "Token blue-key"},
    "an unknown key": {"authorization": "Token grey-key"},
    "no key": {},
    "two keys": {"authorization": "Token red-key, Token blue-key"},
    "the key of red in another scheme": {"authorization": "Bearer red-key"},
    "the key of red and the name blue": {
        "authorization": "Token red-key",
        "tenant-name": "blue",
    },
    "the key of red and a connection that hides it": {
        "authorization": "Token red-key",
        "connection": "authorization, tenant-name",
    },
    "no key and the name blue": {"tenant-name": "blue"},
}
_TARGETS = {"a call": "/idem/1", "an open call": "/open/1", "a stream": "/stream/1"}


@when("{call} with {what} arrives at {name:w}")
def step_call(context, call, what, name):
    """Send a call, and wait until it has ended."""
    context.hub_caller = context.entries.call(name, _TARGETS[call], _HEADERS[what])
    context.entries.advance(0.5)


@then("it is answered {status:d}")
def step_status(context, status):
    """Compare the status of an answer or of the system's own error."""
    caller = context.hub_caller
    found = caller.error.status if caller.error else caller.status
    assert found == status, (found, caller.error)
    if status == 401:
        assert "Retry-After" not in caller.error_headers
    if status == 503:
        assert float(caller.error_headers["Retry-After"]) > 0


@then("the endpoint receives {received}")
def step_received(context, received):
    """Check the headers of the only run, if there was one."""
    runs = _list_runs(context)
    if received == "nothing, as it runs nowhere":
        assert not runs, runs
        return
    (run,) = runs
    expected = None if received == "no organisation" else received
    assert run.get("tenant-name") == expected, run
    assert not any("key" in text for text in run.values()), run


def _list_runs(context):
    runners = context.entries.installation.runners.values()
    return [run for one in runners for run in one.ran]


@then("no message between instances holds a key")
def step_no_key(context):
    """Check the rows of the operator that the instances forward."""
    for entry in context.entries.entries.values():
        rows = entry.kernel.get(Follower).operator_rows.list_since(ZERO_POSITION)
        assert rows
        for row in rows:
            value = _unpack(row)
            assert b"red-key" not in value and b"blue-key" not in value, value


def _unpack(row):
    from roadlift.serving.operatorrows import unpack_row

    return unpack_row(list(row)).value or b""


# Revocations


class _Calls:
    """Calls with a key, sent to every instance each tenth of a second."""

    INTERVAL = 0.1

    def __init__(self, entries, key):
        self._entries = entries
        self._key = key
        self.sent_at = {}
        self.is_open = True
        self._send()

    def _send(self):
        if not self.is_open:
            return
        headers = {"authorization": f"Token {self._key}"}
        for name in list(self._entries.entries):
            caller = self._entries.call(name, "/idem/1", headers)
            number = len(self._entries.callers)
            self.sent_at[f"r{number}"] = (
                self._entries.installation.clock.now(),
                caller,
            )
        self._entries.installation.timeline.call_later(self.INTERVAL, self._send)

    def count(self, after, before=float("inf")):
        """Return how many calls sent in a period ended with each status."""
        found = {}
        for at, caller in self.sent_at.values():
            if after <= at < before:
                status = caller.error.status if caller.error else caller.status
                found[status] = found.get(status, 0) + 1
        return found


def _find_owner(context, zone):
    for name, entry in context.entries.entries.items():
        if zone in entry.kernel.get(Leases).list_held():
            return name
    raise AssertionError(f"{zone} has no owner")


def _cut_store(context, names):
    cut = context.entries.installation.cut_from_store
    cut.update(context.entries.entries[name].dialer for name in names)


def _restart(context, names, is_cut):
    for name in names:
        zone = context.entries.entries[name].zone
        context.entries.end(name)
        context.entries.start(name, zone, _LIMITS)
    if is_cut:
        _cut_store(context, names)


def _play(context, hazard):
    entries = context.entries
    owner = _find_owner(context, "z1")
    other = "b" if owner == "a" else "a"
    everyone = list(entries.entries)
    if hazard == "the store is cut off from all":
        _cut_store(context, everyone)
    elif hazard == "the store is cut off from the owner of z1":
        _cut_store(context, [owner])
    elif hazard == "the store is cut off from one that owns nothing":
        _cut_store(context, [other])
    elif hazard == "all instances are cut off from each other and the store":
        _cut_store(context, everyone)
        entries.is_cut = True
    elif hazard == "z1 is cut off from z2 and the store":
        _cut_store(context, ["a", "b"])
        entries.is_zone_cut = True
    elif hazard == "all instances restart":
        _restart(context, everyone, False)
    elif hazard == "all instances restart, cut off from the store":
        _restart(context, everyone, True)
    elif hazard == "the store was restored to an older state just before":
        _configure(context)
        entries.advance(1.0)
        _restore_older_state(context, 0.2)
    elif hazard == "polls of the store get no answer":
        entries.installation.store.lose_polls = 4
    return {
        "the owner of z1 is suspended": owner,
        "one that owns nothing is suspended": other,
    }.get(hazard)


def _restore_older_state(context, away=1.0):
    """Restore the store to an older state; requests get no answer."""
    entries = context.entries
    store = entries.installation.store
    store.is_down = True
    entries.advance(away)
    lost = store.go_back(4.0)
    store.is_down = False
    entries.installation.timeline.call_later(1.2, lambda: store.write_again(lost))


@when("keys are revoked while {hazard}")
def step_revoke(context, hazard):
    """Revoke red's first key when the hazard begins, and continue."""
    context.calls = _Calls(context.entries, "red-key")
    context.kept = _Calls(context.entries, "blue-key")
    context.entries.advance(1.0)
    suspended = _play(context, hazard)
    context.entries.advance(0.02)
    context.tenants = [make_tenant("red", ["red-other"]), *context.tenants[1:]]
    _configure(context)
    context.revoked_at = context.entries.installation.clock.now()
    if hazard == "the store is restored from before, and lacks it a while":
        _restore_older_state(context)
    elif hazard == "the store was restored to an older state just before":
        # Its versions exceed all that were read before.
        context.entries.installation.store.pass_versions(1000)
    if suspended:
        context.entries.suspend(suspended, 6.0)
        context.entries.advance(6.0)
    else:
        context.entries.advance(12.0)
    context.calls.is_open = context.kept.is_open = False
    context.entries.advance(1.0)


@then("no call with a revoked key runs that arrives 5 seconds later or more")
def step_no_late_run(context):
    """Check the runs of calls sent after the limit."""
    late = []
    for run in _list_runs(context):
        call_id = run["request-id"]
        if call_id in context.calls.sent_at:
            at = context.calls.sent_at[call_id][0] - context.revoked_at
            if at > REVOKE_LIMIT:
                late.append((call_id, round(at, 2)))
    assert not late, late[:5]


@then("calls with other keys are served {how}")
def step_others(context, how):
    """Check the calls of blue that were sent before, and from 6 s on."""
    before = context.kept.count(0.0, context.revoked_at - 0.2)
    assert set(before) == {200}, before
    late = context.kept.count(context.revoked_at + 6.0)
    expected = {
        "all the time": {200},
        "or refused as not run": {200, 503},
        "no more, but refused as not run": {503},
    }[how]
    assert set(late) <= expected and late, late
    assert 401 not in context.kept.count(0.0)


@when("the key of red is revoked while its call waits for an adapter at {name:w}")
def step_revoke_waiting(context, name):
    """Send a call for an adapter that no engine holds; revoke its key."""
    headers = {
        **_HEADERS["the key of red"],
        "model": "base/x",
        "token-count": "10,20",
        "prompt-prefix": "ab:10",
    }
    context.hub_caller = context.entries.call(name, "/stream/1", headers)
    context.entries.advance(0.1)
    context.tenants = context.tenants[1:]
    _configure(context)
    context.entries.advance(2.0)
