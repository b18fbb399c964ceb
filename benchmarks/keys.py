"""Measure what a caller's key costs: time a call, and memory of many keys.

The instance is the real one, on stand-ins in memory and without sockets, so
that the part of a key is larger here than where it serves.

Run it as ``python -m benchmarks.keys``.
"""

import statistics
import time
import tracemalloc

from roadlift.organisations.keys import KeyTable, digest_key
from roadlift.serving.routes import Organisation
from tests.support.configuration import (
    SERVICES,
    describe_configuration,
    make_route,
    make_tenant,
)
from tests.support.entries import Entries

CALLS = 1500  # In each round.
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


def measure_calls(entries: Entries, target: str, headers: dict[str, str]) -> float:
    """Return the seconds of processor time that a call takes."""
    began = time.process_time()
    for _ in range(CALLS // 30):
        callers = [entries.call("a", target, headers) for _ in range(30)]
        entries.advance(0.02)
        assert all(caller.status == 200 for caller in callers)
    return (time.process_time() - began) / CALLS


def measure_pair(entries: Entries) -> tuple[float, float]:
    """Return the seconds of an open call and of one with a key.

    Each is measured first and last once, as what comes later is slower.
    """
    keyed = {"authorization": "Token red-key"}
    opened = measure_calls(entries, "/open/1", {})
    with_key = measure_calls(entries, "/idem/1", keyed)
    with_key += measure_calls(entries, "/idem/1", keyed)
    opened += measure_calls(entries, "/open/1", {})
    return opened / 2, with_key / 2


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
    measure_pair(entries)
    pairs = [measure_pair(entries) for _ in range(ROUNDS)]
    entries.close()
    opened, with_key = (
        statistics.median(column) for column in zip(*pairs, strict=True)
    )
    more = statistics.median(second / first - 1 for first, second in pairs)
    print(
        f"an open call: {opened * 1e6:.0f} us, one with a key: {with_key * 1e6:.0f} us"
    )
    print(f"a key adds {100 * more:.1f} in 100 (median of {ROUNDS} pairs)")
    print(f"{KEYS} keys of {ORGANISATIONS} organisations: {measure_memory():.1f} MB")


if __name__ == "__main__":
    main()
