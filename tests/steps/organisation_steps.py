"""Steps on organisations, their keys, and the age of what is known of them."""

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


# The adapter.


@then("its key is that of {key}")
def step_key(context, key):
    """Compare the digest."""
    expected = {"nobody": "", "an empty text": digest_key("")}
    assert context.read.key == expected.get(key, digest_key(key))


@then("its organisations are {result}")
def step_organisations(context, result):
    """Describe what was read."""
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
    """Hide the keys of a configuration, as before it is passed on."""
    content = describe_configuration(3, [], SERVICES, 2) | make_tenants(change)
    context.plain = StoredRow("config", json.dumps(content).encode(), ZERO_POSITION)
    context.concealed = _ADAPTER.state.redact(context.plain)


@then("it holds no key, and is read as the same organisations")
def step_concealed(context):
    """Compare what is read of both."""
    assert b"first-key" not in context.concealed.value
    read = _ADAPTER.state.read_configuration
    assert read(context.concealed) == read(context.plain)
    assert _ADAPTER.state.redact(context.concealed) == context.concealed


class _PagedStore:
    """A store whose answers to reads of pages a test gives one by one."""

    def __init__(self):
        self.lines = []

    def open(self, address, request, receiver, timeout):
        """Keep a call."""
        _, _, query = request.path.partition("?")
        self.lines.append((dict(parse_qsl(query)), receiver))
        return self

    def close(self):
        """Do nothing."""


@given("a table of 3 rows that is read in pages of 2")
def step_pages(context):
    """Begin to read it."""
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
    """Look at what was passed on."""
    (rows,) = context.taken
    assert [row.key for row in rows.rows] == ["a", "b", "c"], rows
    assert (rows.position.version, rows.time.asked_at) == (10, context.began_at), rows


# Look-ups.


@given("a table of {count:d} keys of {organisations:d} organisations")
def step_table(context, count, organisations):
    """Make a table."""
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
    assert (found.name if found else "nobody") == name, found


# Instances.


@given("an installation whose callers have keys, with instances {names}")
def step_keyed(context, names):
    """Start instances in zones z1 and z2 by turns, and let them settle.

    The first two are in z1: one of them hears the other.
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


@when("{call} with {what} comes to {name:w}")
def step_call(context, call, what, name):
    """Send a call, and let it end."""
    context.hub_caller = context.entries.call(name, _TARGETS[call], _HEADERS[what])
    context.entries.advance(0.5)


@then("it is answered {status:d}")
def step_status(context, status):
    """Compare the status, of an answer or of our own error."""
    caller = context.hub_caller
    found = caller.error.status if caller.error else caller.status
    assert found == status, (found, caller.error)
    if status == 401:
        assert "Retry-After" not in caller.error_headers
    if status == 503:
        assert float(caller.error_headers["Retry-After"]) > 0


@then("the runner is told {told}")
def step_told(context, told):
    """Look at the headers of the only run, if there was one."""
    runs = _list_runs(context)
    if told == "nothing, as it runs nowhere":
        assert not runs, runs
        return
    (run,) = runs
    expected = None if told == "no organisation" else told
    assert run.get("tenant-name") == expected, run
    assert not any("key" in text for text in run.values()), run


def _list_runs(context):
    runners = context.entries.installation.runners.values()
    return [run for one in runners for run in one.ran]


@then("no message between instances holds a key")
def step_no_key(context):
    """Look for the keys in all that instances passed on of the rows."""
    for entry in context.entries.entries.values():
        rows = entry.kernel.get(Follower).operator_rows.list_since(ZERO_POSITION)
        assert rows
        for row in rows:
            value = _unpack(row)
            assert b"red-key" not in value and b"blue-key" not in value, value


def _unpack(row):
    from roadlift.serving.operatorrows import unpack_row

    return unpack_row(list(row)).value or b""


# Revocations.


class _Calls:
    """Calls with a key that come to every instance each tenth of a second."""

    PERIOD = 0.1

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
        self._entries.installation.timeline.call_later(self.PERIOD, self._send)

    def count(self, after, before=float("inf")):
        """Return how many of the calls sent in a span ended by status."""
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
    elif hazard == "all instances hear nothing from each other or the store":
        _cut_store(context, everyone)
        entries.is_cut = True
    elif hazard == "z1 hears nothing from z2 or the store":
        _cut_store(context, ["a", "b"])
        entries.is_zone_cut = True
    elif hazard == "all instances start again":
        _restart(context, everyone, False)
    elif hazard == "all instances start again behind a cut":
        _restart(context, everyone, True)
    elif hazard == "the store has come back older just before":
        _configure(context)
        entries.advance(1.0)
        _go_back(context, 0.2)
    elif hazard == "polls of the store get no answer":
        entries.installation.store.lose_polls = 4
    return {
        "the owner of z1 is suspended": owner,
        "one that owns nothing is suspended": other,
    }.get(hazard)


def _go_back(context, away=1.0):
    """Let the store come back older; who asked it gets no answer."""
    entries = context.entries
    store = entries.installation.store
    store.is_down = True
    entries.advance(away)
    lost = store.go_back(4.0)
    store.is_down = False
    entries.installation.timeline.call_later(1.2, lambda: store.write_again(lost))


@when("keys are revoked while {hazard}")
def step_revoke(context, hazard):
    """Take red's first key away as the hazard begins, and go on."""
    context.calls = _Calls(context.entries, "red-key")
    context.kept = _Calls(context.entries, "blue-key")
    context.entries.advance(1.0)
    suspended = _play(context, hazard)
    context.entries.advance(0.02)
    context.tenants = [make_tenant("red", ["red-other"]), *context.tenants[1:]]
    _configure(context)
    context.revoked_at = context.entries.installation.clock.now()
    if hazard == "the store comes back older and lacks it for a while":
        _go_back(context)
    elif hazard == "the store has come back older just before":
        # Its versions pass all that was read before.
        context.entries.installation.store.pass_versions(1000)
    if suspended:
        context.entries.suspend(suspended, 6.0)
        context.entries.advance(6.0)
    else:
        context.entries.advance(12.0)
    context.calls.is_open = context.kept.is_open = False
    context.entries.advance(1.0)


@then("no call with a revoked key runs that comes 5 seconds later or more")
def step_no_late_run(context):
    """Look at the runs."""
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
    """Look at the calls of blue: sent before, and from 6 s on."""
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
    """Send a call for an adapter that nobody holds, and revoke its key."""
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
