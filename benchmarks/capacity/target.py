"""Work out each role's rows at today's and at the target's size.

Every figure is a line of a measured slope, or an assumption that is named.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

from benchmarks.capacity.fit import Slope


class Size(NamedTuple):
    """A size of the whole: counts, and rates a second."""

    name: str
    nodes: int
    zones: int
    zone_nodes: int
    region_nodes: int
    endpoints: int
    region_endpoints: int
    owned: float
    adapters: int
    requests: float
    streams: float
    chunks: float
    changes: float
    takeovers: float
    pins: float


TODAY = Size(
    name="today",
    nodes=6,
    zones=3,
    zone_nodes=2,
    region_nodes=6,
    endpoints=9,
    region_endpoints=9,
    owned=1.5,
    adapters=3000,
    requests=2.0,
    streams=5,
    chunks=100,
    changes=20 / 86400,
    takeovers=12 * 1.5 / 86400,
    pins=5,
)
TARGET = Size(
    name="target",
    nodes=1800,
    zones=15,
    zone_nodes=120,
    region_nodes=360,
    endpoints=10000,
    region_endpoints=2000,
    owned=10000 / 1800,
    adapters=53000,
    requests=96000 / 1800,
    streams=1180,
    chunks=23900,
    changes=20000 / 86400,
    takeovers=2 * 1980 * (10000 / 1800) / 86400,
    pins=53 * 5,
)

MOST_PROCESSOR = 0.017  # Of a core, for control, a node.
MOST_MEMORY = 32e6  # Bytes, for control, a node.
MOST_BYTES = 5000  # Bytes a second, for control, a node.
MOST_READS = 1000  # A second: half of what the table service gives.
MOST_WRITES = 150  # A second: half of three hundred.
REPORT_PERIOD = 1.0  # Seconds between reports on pins, as set today.
REPORT_BYTES = 110  # Bytes of a report with one pin and its answer.
LABELS = 0.02  # Part of the requests that may not be repeated: an assumption.


class Row(NamedTuple):
    """One row: its value at a size, its slope and its mechanism."""

    name: str
    kind: str
    compute: Callable[[dict[str, Slope], Size], float]
    slope: str
    mechanism: str


def _at(slopes: dict[str, Slope], name: str, size: float) -> float:
    return max(0.0, slopes[name].compute(size))


ROWS = (
    Row(
        "bundle in memory",
        "memory",
        lambda s, z: _at(s, "memory.adapter", z.adapters),
        "memory.adapter",
        "entries packed, unpacked on each look-up",
    ),
    Row(
        "endpoints in memory",
        "memory",
        lambda s, z: _at(s, "memory.directory", z.endpoints),
        "memory.directory",
        "one directory, shared by bundles that leave the section as it is",
    ),
    Row(
        "ring of the region",
        "memory",
        lambda s, z: _at(s, "memory.ring", z.region_endpoints),
        "memory.ring",
        "64 hashed points an endpoint of the region, none elsewhere",
    ),
    Row(
        "members",
        "memory",
        lambda s, z: _at(s, "memory.peer", z.region_nodes),
        "memory.peer",
        "one group a region, no member of others",
    ),
    Row(
        "books of owned endpoints",
        "memory",
        lambda s, z: _at(s, "memory.book", z.owned),
        "memory.book",
        "a book only at the owner, of which each endpoint has one",
    ),
    Row(
        "pins held",
        "memory",
        lambda s, z: _at(s, "memory.pin", z.pins),
        "memory.pin",
        "a pin of one request is given back with it",
    ),
    Row(
        "kept changes",
        "memory",
        lambda s, z: _at(s, "memory.change", 256),
        "memory.change",
        "the last 256 changes, for peers that are behind",
    ),
    Row(
        "heartbeats",
        "processor",
        lambda s, z: 2e-6 * _at(s, "processor.heartbeat", z.region_nodes),
        "processor.heartbeat",
        "one random peer a period, news on its back",
    ),
    Row(
        "pins: ask, grant, give back",
        "processor",
        lambda s, z: 1e-6 * z.requests * _at(s, "processor.pin", 8),
        "processor.pin",
        "owners answer from memory, one asking for all that wait for a model",
    ),
    Row(
        "decisions",
        "processor",
        lambda s, z: (
            1e-6 * z.requests * _at(s, "processor.decision", _log2(z.region_endpoints))
        ),
        "processor.decision",
        "a look-up on a ring, the log of the endpoints",
    ),
    Row(
        "load reports of owned endpoints",
        "processor",
        lambda s, z: 1e-6 * z.owned * _at(s, "processor.load_report", 200),
        "processor.load_report",
        "read by the owner alone, once a second",
    ),
    Row(
        "changes of the configuration",
        "processor",
        lambda s, z: 1e-6 * z.changes * _at(s, "processor.change", z.adapters),
        "processor.change",
        "the change is applied, never the whole",
    ),
    Row(
        "elections",
        "processor",
        lambda s, z: (
            1e-6
            * (z.endpoints / z.zones)
            * _at(s, "processor.election", z.zone_nodes)
            * (4 * z.zone_nodes / 86400)
        ),
        "processor.election",
        "rendezvous hashing, anew only when the zone's instances change",
    ),
    Row(
        "heartbeats",
        "bytes",
        lambda s, z: _at(s, "control.rest_bytes", z.region_nodes),
        "control.rest_bytes",
        "one random peer a period, news on its back",
    ),
    Row(
        "pins: ask, grant, give back",
        "bytes",
        lambda s, z: z.requests * s["control.request_bytes"].slope,
        "control.request_bytes",
        "none while a pin is held; else three messages",
    ),
    Row(
        "reports on pins that are kept",
        "bytes",
        lambda s, z: z.pins * 0.2 * REPORT_BYTES / REPORT_PERIOD,
        "assumed: a fifth of the pins is kept",
        "one a second for each endpoint at which a pin is kept",
    ),
    Row(
        "changes of the configuration",
        "bytes",
        lambda s, z: z.changes * _at(s, "control.change_bytes", _log2(z.region_nodes)),
        "control.change_bytes",
        "changes between peers, told at once to three and with heartbeats",
    ),
    Row(
        "takeovers",
        "bytes",
        lambda s, z: (
            z.takeovers / z.nodes * _at(s, "control.takeover_bytes", 1) * _spread(z)
        ),
        "control.takeover_bytes",
        "a census of the region's instances, no store call",
    ),
    Row(
        "reads at rest",
        "reads",
        lambda s, z: 2.0 * z.zones,
        "store.rest_reads",
        "two readers of the head row a zone, whatever its size",
    ),
    Row(
        "reads by changes",
        "reads",
        lambda s, z: 2.0 * z.zones * z.changes,
        "assumed: each reader reads each change",
        "the others hear of it from peers",
    ),
    Row(
        "reads by requests",
        "reads",
        lambda s, z: 0.0,
        "store.request_reads",
        "none, but for an idempotency key that is used again",
    ),
    Row(
        "reads by takeovers",
        "reads",
        lambda s, z: z.takeovers * _at(s, "store.takeover_reads", 1),
        "store.takeover_reads",
        "none: the endpoint is asked",
    ),
    Row(
        "writes by changes",
        "writes",
        lambda s, z: 4.0 * z.changes,
        "assumed: object, proposal, signature, head",
        "one head row, moved by compare-and-set",
    ),
    Row(
        "writes by calls that may not be repeated",
        "writes",
        lambda s, z: 2.0 * LABELS * z.requests * z.nodes,
        f"assumed: {100 * LABELS:.0f}% of the requests",
        "a claim before the run, its answer after it",
    ),
)


def _log2(count: float) -> float:
    return math.log2(count)


def _spread(size: Size) -> float:
    """Return how many more instances a census asks than were measured."""
    return size.region_nodes / 6.0
