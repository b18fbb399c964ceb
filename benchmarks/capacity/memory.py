"""Measure the bytes that each kind of state takes, by counting allocations."""

import gc
import random
import tracemalloc
from collections.abc import Callable

from benchmarks.capacity.fit import Slope, fit
from roadlift.bundles.chain import Link
from roadlift.bundles.content import Bundle, Change
from roadlift.bundles.directory import Directory
from roadlift.core.clock import ManualClock
from roadlift.idempotency.claims import _Record
from roadlift.membership.detector import Detector
from roadlift.membership.members import Member
from roadlift.ownership.messages import Acquire, Grant
from roadlift.ownership.orders import OrderResult
from roadlift.ownership.record import EndpointProperties, EndpointRecord
from roadlift.pins.table import PinTable
from roadlift.policy.routing import RingRouter

COPIES = 8  # Copies that each endpoint holds.


def count_bytes(build: Callable[[], object]) -> int:
    """Return the bytes that stay allocated after building something."""
    build()
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert kept is not None
    return after - before


def make_bundle(adapters: int, endpoints: int = 0) -> Bundle:
    """Return a bundle of some size."""
    entries = {
        f"adapter-{index:06d}": {
            "versions": {"1": f"weights/adapter-{index:06d}/1"},
            "services": ["captions"],
            "base": "base-1",
        }
        for index in range(adapters)
    }
    engines = {
        f"runner-{index:05d}": {
            "address": f"127.{index // 65536}.{index // 256 % 256}.{index % 256}:8000",
            "zone": f"zone-{index % 15}",
            "kind": "engine",
            "service": "",
            "base": "base-1",
            "fences": True,
            "slots": COPIES,
            "width": 8,
        }
        for index in range(endpoints)
    }
    document = {"adapters": entries, "services": {}, "endpoints": engines}
    return Bundle.from_document(document)


def make_detector(peers: int) -> Detector:
    """Return a detector that knows some peers."""
    clock = ManualClock()
    own = Member("own", 1, "zone-0", "127.0.0.1:1", "127.0.0.1:2")
    detector = Detector(own, clock, random.Random(1))
    for index in range(peers):
        member = Member(
            f"entry-{index:04d}",
            1796220000000 + index,
            f"zone-{index % 3}",
            f"127.0.{index // 250}.{index % 250}:8081",
            f"127.0.{index // 250}.{index % 250}:8080",
        )
        detector._apply_update(member)
        detector.heads[member.name] = 1
    return detector


def make_book(name: str = "runner-00001") -> EndpointRecord:
    """Return a book of an endpoint with all its copies loaded."""
    book = EndpointRecord(name, "own#1", 1 << 20, EndpointProperties(True, COPIES, 8))
    for index in range(COPIES):
        model = f"adapter-{index:06d}@1"
        ask = Acquire(name, index + 1, model, "interactive", 9.0, True)
        book.acquire("entry-1#1", ask, 0.0)
        order, _ = book.choose_order(0.0)
        book.finish_order(order, OrderResult.DONE, 0.0)
    return book


def make_pins(count: int) -> PinTable:
    """Return a table with some pins."""
    table = PinTable()
    for index in range(count):
        model = f"adapter-{index:06d}@1"
        nonce = table.open_request(f"runner-{index:05d}", model, 99.0)
        copy = f"{model}~1a2b3c.{index:x}"
        grant = Grant(f"runner-{index:05d}", nonce, copy, 5, 1, 8)
        table.accept(grant, 0.0)
    return table


def make_links(versions: int) -> list[Link]:
    """Return the kept changes of as many bundles, of one adapter each."""
    links = []
    for number in range(versions):
        entry = {"versions": {"1": f"weights/{number}/1"}, "services": ["captions"]}
        put = {"adapters": {f"adapter-{number:06d}": entry}}
        put.update(services={}, endpoints={})
        drop = {name: [] for name in put}
        links.append(Link(number, Change(f"{number:064d}", put, drop).encode()))
    return links


def _measure(name: str, per: str, sizes: list[int], build) -> Slope:
    points = [(size, count_bytes(lambda s=size: build(s))) for size in sizes]
    return fit(name, "bytes", per, points)


def measure_memory() -> list[Slope]:
    """Return the slopes of memory; the last size of each is held out."""
    rows = [
        _measure("memory.adapter", "adapter", [2000, 6000, 12000, 24000], make_bundle),
        _measure(
            "memory.directory",
            "endpoint",
            [300, 600, 1200, 2000],
            lambda size: (bundle := make_bundle(0, size), Directory(bundle)),
        ),
        _measure(
            "memory.ring",
            "endpoint",
            [100, 200, 400, 667],
            lambda size: RingRouter([f"runner-{i:05d}" for i in range(size)]),
        ),
        _measure("memory.peer", "peer", [30, 90, 180, 360], make_detector),
        _measure(
            "memory.book",
            "owned endpoint",
            [2, 4, 8, 16],
            lambda size: [make_book() for _ in range(size)],
        ),
        _measure("memory.pin", "pin", [50, 100, 200, 400], make_pins),
        _measure("memory.change", "kept change", [32, 64, 128, 256], make_links),
    ]
    return [*rows, measure_record()]


def measure_record() -> Slope:
    """Return the bytes of an idempotency row by the answer's size."""
    points = []
    for size in (0, 1000, 4000, 8000):
        record = _Record("done", "entry-0001#1796220000000/12", "f" * 64, 200)
        headers = {"Content-Type": "application/json", "X-Roadlift-Endpoint": "l-1"}
        body = "x" * (size * 4 // 3)
        row = record._replace(headers=headers, body=body).encode()
        points.append((size, len(row)))
    return fit("bytes.idempotency_row", "bytes", "byte of answer", points)
