"""Measure what a caller's key costs: time a call, and memory of many keys.

The instance is the real one, on stand-ins in memory and without sockets, so
that the part of a key is larger here than where it serves.

Run it as ``python -m benchmarks.keys``.
"""

import gc
import time
import timeit
import tracemalloc

from roadlift.instance.access import Access
from roadlift.instance.follower import Follower
from roadlift.organisations.keys import KeyTable, digest_key
from roadlift.serving.calls import Call
from roadlift.serving.routes import Organisation
from tests.support.configuration import (
    SERVICES,
    describe_configuration,
    make_route,
    make_tenant,
)
from tests.support.entries import Entries

CALLS = 1500  # In each round.
AT_ONCE = 30
ROUNDS = 7
KEYS = 50_000
ORGANISATIONS = 500


def make_entries() -> Entries:
    """Return one instance with an open and a keyed route."""
    entries = Entries()
    entries.version += 1
    open_route = make_route("/open/", "idempotent", "plain", public=True)
    content = describe_configuration(entries.version, [open_route], SERVICES, 2)
    content["tenants"] = [
        make_tenant("red", ["red-key"], unit="call", ratePerS=1e9, burst=1e9)
    ]
    entries.installation.store.put("op", "config", content)
    entries.start("a", "z1", {"revoke_ms": 5000})
    entries.installation.add_runner("plain", "p1", "z1", "").run_time = 0.001
    entries.advance(10.0)
    return entries


def measure_call(entries: Entries) -> float:
    """Return the seconds of processor time of a whole call without a key.

    The collector of garbage rests: it would look through all that the
    stand-ins keep.
    """
    gc.collect()
    gc.disable()
    began = time.process_time()
    for _ in range(CALLS // AT_ONCE):
        callers = [entries.call("a", "/open/1", {}) for _ in range(AT_ONCE)]
        entries.advance(0.02)
        assert all(caller.status == 200 for caller in callers)
    seconds = time.process_time() - began
    gc.enable()
    return seconds / CALLS


def measure_access(entries: Entries, path: str, key: str) -> float:
    """Return the seconds that a call's access takes, head to end."""
    kernel = entries.entries["a"].kernel
    access = kernel.get(Access)
    route = kernel.get(Follower).routes.find("h.example", path)

    def run() -> None:
        """Do what a call does that is sent once and served."""
        digest = digest_key(key) if key else ""
        call = Call("r", "POST", path, "h.example", {}, b"", key=digest)
        granted = access.admit(call, route)
        granted.apply_priority(route)
        granted.check()
        granted.begin()
        assert granted.name is not None
        granted.end("served")

    return min(timeit.repeat(run, number=CALLS, repeat=ROUNDS)) / CALLS


def measure_memory() -> float:
    """Return the MB of a table of many keys."""
    each = KEYS // ORGANISATIONS
    tracemalloc.start()
    table = KeyTable(
        Organisation(f"o{n}", frozenset(digest_key(f"{n}-{m}") for m in range(each)))
        for n in range(ORGANISATIONS)
    )
    assert len(table) == KEYS
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / 1e6


def main() -> None:
    """Print both."""
    entries = make_entries()
    measure_call(entries)
    call = min(measure_call(entries) for _ in range(ROUNDS))
    opened = measure_access(entries, "/open/1", "")
    keyed = measure_access(entries, "/idem/1", "red-key")
    entries.close()
    more = keyed - opened
    print(f"a call without a key, without sockets: {call * 1e6:.0f} us")
    print(f"a key adds {more * 1e6:.1f} us, {100 * more / call:.1f} in 100 of that")
    print(f"{KEYS} keys of {ORGANISATIONS} organisations: {measure_memory():.1f} MB")


if __name__ == "__main__":
    main()
