"""Measure what it costs to remember which versions began the streams.

Instances of five zones in one process, on a paused clock: each begins streams
at a rate, and some are resumed at other instances. Prints, as JSON, the bytes
and messages a second of an instance and of an owner, and the streams and bytes
that each remembers, and the store's calls for streams beside several versions.
Counts and bytes are exact.
"""

import argparse
import json
import random
from typing import NamedTuple

from roadlift.core.traffic import SENT
from roadlift.decisions.origins import Origin
from roadlift.instance.leases import Leases
from roadlift.instance.origins import OriginRegistry
from roadlift.instance.platform import Platform
from roadlift.serving.interfaces import StoreCall
from roadlift.serving.originrows import STREAM_TABLE
from tests.support.configuration import BASE, ROUTES, SERVICES
from tests.support.entries import Entries, Entry

ZONES = ("z1", "z2", "z3", "z4", "z5")
SETTLING = 4.0  # Seconds until all instances have an aggregator.
STEP = 0.1  # Seconds between streams that begin together.
STREAM_BYTES = 93  # Of memory, as tracemalloc counts a stream of a table.
KINDS = ("StreamOrigins", "FindOrigin", "OriginReply")


class Cost(NamedTuple):
    """The costs of some instances, as means; a second where it applies."""

    bytes_sent: float
    bytes_received: float
    messages_sent: float
    streams: float
    memory: float


def start(instances: int, versions: int) -> Entries:
    """Start instances, and wait until all have an aggregator."""
    entries = Entries()
    entries.configure(ROUTES, SERVICES)
    for zone in ZONES:
        for version in range(versions):
            name, software = f"e-{zone}-{version}", f"v{version + 1}"
            entries.installation.add_runner("llm", name, zone, BASE, software)
    for number in range(instances):
        zone = ZONES[number % len(ZONES)]
        entries.start(f"i{number}", zone, {"zones": ",".join(ZONES)})
    entries.advance(SETTLING)
    return entries


def play(entries: Entries, rate: float, resumed: float, seconds: float) -> None:
    """Begin streams at each instance, and look a part up at another one."""
    draw = random.Random(1)
    registries = [_get_registry(one) for one in entries.entries.values()]
    count, serial = rate * STEP, 0
    for _ in range(round(seconds / STEP)):
        for registry in registries:
            begun = int(count) + (draw.random() < count % 1)
            for _ in range(begun):
                serial += 1
                registry.record(f"{serial:016x}", Origin("llm", "v1"))
                if draw.random() < resumed and serial > 1000:
                    call_id = f"{serial - 1000:016x}"
                    draw.choice(registries).query(call_id, "llm", lambda answer: None)
        entries.advance(STEP)


def _get_registry(entry: Entry) -> OriginRegistry:
    return entry.kernel.get(OriginRegistry)


def measure(found: list[Entry], seconds: float) -> Cost:
    """Return the mean costs of some instances."""
    sent = received = messages = 0
    for entry in found:
        for (kind, direction), count in entry.transport.traffic.list_counts().items():
            if kind not in KINDS:
                continue
            is_sent = direction == SENT
            sent += count.size * is_sent
            received += count.size * (not is_sent)
            messages += count.messages * is_sent
    streams = sum(_get_registry(one).count() for one in found) / len(found)
    scale = len(found) * seconds
    return Cost(
        round(sent / scale, 1),
        round(received / scale, 1),
        round(messages / scale, 2),
        round(streams, 1),
        round(streams * STREAM_BYTES),
    )


def count_writes(found: list[Entry]) -> int:
    """Return how often some instances wrote streams to the store."""
    call = StoreCall("write", STREAM_TABLE)
    return sum(one.kernel.get(Platform).store.calls[call] for one in found)


def main() -> None:
    """Read the flags, measure and print."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--instances", type=int, default=195)
    parser.add_argument("--rate", type=float, default=8.0)
    parser.add_argument("--resumed", type=float, default=0.05)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--versions", type=int, default=1)
    args = parser.parse_args()
    entries = start(args.instances, args.versions)
    play(entries, args.rate, args.resumed, args.seconds)
    found = list(entries.entries.values())
    owners = [one for one in found if one.kernel.get(Leases).list_held()]
    others = [one for one in found if one not in owners]
    summary = {
        "instances": len(found),
        "streams_a_second": args.rate,
        "instance": measure(others, args.seconds)._asdict(),
        "owner": measure(owners, args.seconds)._asdict(),
        "owners": len(owners),
        "stream_writes": count_writes(found),
    }
    print(json.dumps(summary, indent=2))
    entries.close()


if __name__ == "__main__":
    main()
