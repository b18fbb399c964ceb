"""Measure the processor time of each kind of work, in one run.

Times are in microseconds and noisy; each is also given as a multiple of a
fixed loop that is timed beside it, which is what may be compared.
"""

import math
import random
import time
from collections.abc import Callable

import msgpack

from benchmarks.capacity.fit import Slope, fit
from benchmarks.capacity.memory import make_bundle, make_detector
from roadlift.bundles.chain import Chain, Link, Snapshot
from roadlift.bundles.content import Bundle
from roadlift.core.codec import Envelope, decode, encode
from roadlift.endpoints.events import EventFrames
from roadlift.endpoints.openai import OpenAiEngine
from roadlift.membership.messages import Ping
from roadlift.ownership.election import choose_owner
from roadlift.ownership.messages import Acquire, Release
from roadlift.ownership.orders import OrderResult
from roadlift.ownership.record import EndpointProperties, EndpointRecord
from roadlift.pins.table import PinTable
from roadlift.policy.routing import RingRouter
from roadlift.relay.upstream import Answer

BUDGET = 0.15  # Seconds that each measurement takes at least.


def time_call(call: Callable[[], object]) -> float:
    """Return the processor seconds of one call, the best of three runs."""
    call()
    count = 1
    while True:
        began = time.process_time()
        for _ in range(count):
            call()
        spent = time.process_time() - began
        if spent > BUDGET / 3:
            break
        count *= 4
    best = spent / count
    for _ in range(2):
        began = time.process_time()
        for _ in range(count):
            call()
        best = min(best, (time.process_time() - began) / count)
    return best


def run_reference() -> int:
    """Run the fixed loop to which other times are compared."""
    total = 0
    for index in range(1000):
        total += index * index % 7
    return total


def _fit_times(name: str, per: str, points: list[tuple[float, float]]) -> Slope:
    scaled = [(size, seconds * 1e6) for size, seconds in points]
    return fit(name, "us", per, scaled)


def measure_heartbeat() -> Slope:
    """Time a ping and its answer at both ends, by the number of peers."""
    points = []
    for peers in (30, 90, 180, 360):
        detector = make_detector(peers)
        detector._updates.clear()
        sender = detector.list_members()[0].process
        ping = Ping(1, [], 5, 0)

        def beat(detector=detector, sender=sender, ping=ping) -> None:
            """Take a ping at one end and tick at the other."""
            data = encode(Envelope(sender, ping))
            envelope = decode(data)
            detector.receive(envelope.sender, envelope.message)
            detector._clock.advance(1.0)
            detector.tick()

        points.append((peers, time_call(beat)))
    return _fit_times("processor.heartbeat", "peer", points)


def measure_decision() -> Slope:
    """Time the plan for one request, by the endpoints' logarithm."""
    points = []
    for endpoints in (9, 100, 300, 667):
        router = RingRouter([f"runner-{i:05d}" for i in range(endpoints)])
        rng = random.Random(1)

        def plan(router=router, rng=rng) -> None:
            """Plan a request for a random model."""
            model = f"adapter-{rng.randrange(53000):06d}@1"
            router.plan(model, (), lambda name: 0.0)

        points.append((math.log2(endpoints), time_call(plan)))
    return _fit_times("processor.decision", "doubling of endpoints", points)


def measure_ring() -> Slope:
    """Time the building of the ring, by the number of endpoints."""
    points = []
    for endpoints in (100, 200, 400, 667):
        names = [f"runner-{i:05d}" for i in range(endpoints)]
        points.append((endpoints, time_call(lambda n=names: RingRouter(n))))
    return _fit_times("processor.ring", "endpoint", points)


def measure_election() -> Slope:
    """Time the election of all of a zone's endpoints, by its instances."""
    points = []
    for instances in (6, 30, 60, 120):
        names = [f"entry-{i:04d}" for i in range(instances)]

        def elect(names=names) -> None:
            """Elect the owners of ten endpoints."""
            for index in range(10):
                choose_owner(f"runner-{index:05d}", names)

        points.append((instances, time_call(elect) / 10))
    return _fit_times("processor.election", "instance", points)


def measure_pin() -> Slope:
    """Time a pin's whole life at both ends, by the copies at the endpoint."""
    points = []
    for copies in (2, 4, 8, 16):
        book = EndpointRecord(
            "e", "own#1", 1 << 20, EndpointProperties(True, copies, 64)
        )
        models = [f"adapter-{index:06d}@1" for index in range(copies)]
        for model in models:
            ask = Acquire("e", 0, model, "interactive", 9.0, True)
            book.acquire("other#1", ask, 0.0)
            order, _ = book.choose_order(0.0)
            book.finish_order(order, OrderResult.DONE, 0.0)
        for copy in book.copies.values():
            copy.pins.clear()
        table = PinTable()

        def live(book=book, table=table, models=models) -> None:
            """Ask for a pin, use it and give it back."""
            model = models[0]
            nonce = table.open_request("e", model, 99.0)
            ask = _send(Acquire("e", nonce, model, "interactive", 9.0, True))
            (out,) = book.acquire("entry-1#1", ask, 1.0)
            pin = table.accept(_send(out.message), 1.0)
            table.begin(pin)
            release: Release | None = table.end(pin, 2.0)
            book.release("entry-1#1", _send(release))

        points.append((copies, time_call(live)))
    return _fit_times("processor.pin", "copy", points)


def _send(message):
    return decode(encode(Envelope("entry-0001#1796220000000", message))).message


def measure_report() -> Slope:
    """Time the reading of a load report, by its lines."""
    points = []
    api = OpenAiEngine()
    for lines in (10, 50, 100, 200):
        other = "\n".join(f"engine_metric_{index} {index}.0" for index in range(lines))
        text = f"process_start_time_seconds 1.5\n{other}\nvllm:num_requests_running 3"
        answer = Answer(200, {}, text.encode())
        points.append((lines, time_call(lambda a=answer: api.read_load_report(a))))
    return _fit_times("processor.load_report", "line", points)


def measure_change() -> Slope:
    """Time the applying of a change of one adapter, by the adapters."""
    points = []
    for adapters in (5000, 12000, 25000, 53000):
        bundle = make_bundle(adapters)
        chain = Chain()
        content = bundle.to_document()
        chain.restore(Snapshot(1, "d", msgpack.packb(content)))
        after = add_version(bundle)
        change = bundle.compare(after, "d").encode()
        state = (chain.head, chain.bundle)

        def apply(chain=chain, change=change, state=state) -> None:
            """Apply the change to the same chain again."""
            chain.head, chain.bundle = state
            chain.append(Link(2, change))

        points.append((adapters, time_call(apply)))
    return _fit_times("processor.change", "adapter", points)


def add_version(bundle: Bundle) -> Bundle:
    """Return the bundle with one more version of one adapter."""
    document = bundle.to_document()
    document["adapters"]["adapter-000001"]["versions"]["2"] = "weights/x/2"
    return Bundle.from_document(document)


def measure_frames() -> Slope:
    """Time the framing of a chunk, by its events."""
    points = []
    for events in (1, 2, 4, 8):
        frames = EventFrames()
        data = (b"id: 1\ndata: " + b"x" * 60 + b"\n\n") * events
        points.append(
            (events, time_call(lambda f=frames, d=data: f.extract_complete(d)))
        )
    return _fit_times("processor.frames", "event", points)


def measure_processor() -> list[Slope]:
    """Return the slopes of processor time, with the fixed loop first."""
    reference = time_call(run_reference) * 1e6
    loop = fit("processor.reference", "us", "loop", [(1, reference)], held=False)
    return [
        loop,
        measure_heartbeat(),
        measure_decision(),
        measure_ring(),
        measure_election(),
        measure_pin(),
        measure_report(),
        measure_change(),
        measure_frames(),
    ]
