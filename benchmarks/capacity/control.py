"""Measure control traffic and store calls on virtual time, by counting.

The real parts of several instances run in one process on a paused clock;
what is counted is exact and the same on every machine.
"""

import math

from benchmarks.capacity.fit import Slope, fit
from roadlift.bundles.roll import propose, roll, sign
from roadlift.daemon.bundles import Bundles
from roadlift.daemon.gateway import Gateway
from roadlift.daemon.owners import Owners
from tests.support.deployment import MODELS, Deployment

REST = 60.0  # Virtual seconds of a measurement at rest.
CHANGES = 10  # Bundles that are rolled for a measurement.
QUIET = 150.0  # Virtual seconds until the news of the start are told.


def start(instances: int, zones: int = 3, engines: int = 1) -> Deployment:
    """Return a deployment at rest."""
    deployment = Deployment(seed=instances)
    deployment.start(zones, instances // zones, engines)
    deployment.hub.advance(QUIET)
    return deployment


def read_bytes(deployment: Deployment) -> int:
    """Return the bytes that all instances have sent to each other."""
    kernels = deployment.hub.kernels.values()
    return sum(kernel._components["transport"].bytes_out for kernel in kernels)


def read_messages(deployment: Deployment) -> int:
    """Return the messages that all instances have sent to each other."""
    kernels = deployment.hub.kernels.values()
    return sum(kernel._components["transport"].messages_out for kernel in kernels)


def read_store(deployment: Deployment) -> tuple[int, int]:
    """Return the reads and writes that all instances have made."""
    stores = [k._components["store"].store for k in deployment.hub.kernels.values()]
    return sum(s.reads for s in stores), sum(s.writes for s in stores)


def measure_rest() -> list[Slope]:
    """Measure what an instance sends, and all read, with nothing to do."""
    sent, messages, reads, writes = [], [], [], []
    for count in (6, 12, 24, 48):
        deployment = start(count)
        before = read_bytes(deployment), read_messages(deployment)
        store_before = read_store(deployment)
        deployment.hub.advance(REST)
        per = REST * count
        sent.append((count, (read_bytes(deployment) - before[0]) / per))
        messages.append((count, (read_messages(deployment) - before[1]) / per))
        store = read_store(deployment)
        reads.append((count, (store[0] - store_before[0]) / REST))
        writes.append((count, (store[1] - store_before[1]) / REST))
    return [
        fit("control.rest_bytes", "bytes/s an instance", "instance", sent),
        fit("control.rest_messages", "messages/s an instance", "instance", messages),
        fit("store.rest_reads", "reads/s of all, in 3 zones", "instance", reads),
        fit("store.rest_writes", "writes/s of all", "instance", writes),
    ]


def measure_requests() -> list[Slope]:
    """Measure the bytes between instances by the requests that they take."""
    sent, reads = [], []
    for requests in (60, 120, 240, 480):
        deployment = start(6, engines=2)
        before, store = read_bytes(deployment), read_store(deployment)
        names = sorted(deployment.hub.kernels)
        for index in range(requests):
            deployment.call(names[index % len(names)], f"m{index * 7 % MODELS}@1")
            deployment.hub.advance(0.25)
        deployment.hub.advance(20.0)
        seconds = 0.25 * requests + 20.0
        rest = 6 * seconds * _measure_rest_rate(deployment)
        used = read_bytes(deployment) - before - rest
        sent.append((requests, used))
        after = read_store(deployment)
        rest_reads = 6.0 * seconds
        reads.append((requests, max(0.0, after[0] - store[0] - rest_reads)))
    return [
        fit("control.request_bytes", "bytes of all", "request", sent),
        fit("store.request_reads", "reads of all", "request", reads),
    ]


def _measure_rest_rate(deployment: Deployment) -> float:
    before = read_bytes(deployment)
    deployment.hub.advance(20.0)
    return (read_bytes(deployment) - before) / 20.0 / len(deployment.hub.kernels)


def measure_bundles() -> list[Slope]:
    """Measure a change's bytes and the time until it is in force.

    Both grow with the rounds of the spreading, so with the logarithm of the
    instances, to which the lines are fitted.
    """
    sent, times = [], []
    for count in (6, 12, 24, 48):
        deployment = start(count)
        rate = _measure_rest_rate(deployment)
        before, began = read_bytes(deployment), deployment.hub.clock.now()
        taken = [_roll_once(deployment, index) for index in range(CHANGES)]
        seconds = deployment.hub.clock.now() - began
        used = read_bytes(deployment) - before - rate * seconds * count
        sent.append((math.log2(count), max(0.0, used) / CHANGES / count))
        times.append((math.log2(count), max(taken)))
    return [
        fit("control.change_bytes", "bytes a change and instance", "doubling", sent),
        fit("time.in_force", "s, the worst", "doubling", times),
    ]


def _roll_once(deployment: Deployment, index: int) -> float:
    """Roll a bundle; return the seconds until it is in force everywhere."""
    # The rolls fall at different moments of the readers' period.
    deployment.hub.advance(5.0 + index / CHANGES)
    deployment.extra[f"x{index}"] = {"versions": {"1": "x/1"}, "services": ["s"]}
    number = deployment.roll()
    return deployment.hub.advance_until(
        lambda: min(deployment.list_numbers().values()) >= number, 30.0
    )


def measure_takeovers() -> list[Slope]:
    """Measure the bytes and store calls of takeovers, by their number."""
    sent, reads, writes = [], [], []
    for engines in (1, 2, 3, 4):
        deployment = start(6, engines=engines)
        rate = _measure_rest_rate(deployment)
        victim = max(
            deployment.hub.kernels,
            key=lambda name: len(_list_owned(deployment, name)),
        )
        owned = len(_list_owned(deployment, victim))
        store = read_store(deployment)
        deployment.hub.kill(victim)
        before, began = read_bytes(deployment), deployment.hub.clock.now()
        deployment.hub.advance(60.0)
        seconds = deployment.hub.clock.now() - began
        used = read_bytes(deployment) - before - rate * seconds * 5
        sent.append((owned, max(0.0, used)))
        after = read_store(deployment)
        reads.append((owned, max(0.0, after[0] - store[0] - 6 * seconds)))
        writes.append((owned, float(after[1] - store[1])))
    return [
        fit("control.takeover_bytes", "bytes of all", "takeover", sent, held=False),
        fit("store.takeover_reads", "reads of all", "takeover", reads, held=False),
        fit("store.takeover_writes", "writes of all", "takeover", writes, held=False),
    ]


def _list_owned(deployment: Deployment, name: str) -> list:
    return deployment.get(name, Owners).list_owned()


def measure_start() -> list[Slope]:
    """Measure a fresh instance's bytes and time to the bundle, by its size."""
    sent, times = [], []
    for adapters in (500, 1000, 2000, 4000):
        deployment = start(3)
        for index in range(adapters):
            deployment.extra[f"adapter-{index:06d}"] = {
                "versions": {"1": f"weights/adapter-{index:06d}/1"},
                "services": ["s"],
            }
        document = deployment.make_document()
        digest = propose(deployment.store, document, "ann").digest
        sign(deployment.store, digest, "ben")
        roll(deployment.store, digest)
        deployment.hub.advance(20.0)
        before, began = read_bytes(deployment), deployment.hub.clock.now()
        kernel = deployment.hub.start("entry-new", "zone-a")
        deployment.hub.advance_until(
            lambda k=kernel: k.get(Bundles).chain.head.number >= 2, 30.0
        )
        times.append((adapters, deployment.hub.clock.now() - began))
        sent.append((adapters, read_bytes(deployment) - before))
        assert kernel.get(Gateway).running == 0
    return [
        fit("start.bytes", "bytes", "adapter", sent),
        fit("start.time", "s of the paused clock", "adapter", times),
    ]


def measure_control() -> list[Slope]:
    """Return the slopes of control traffic and store calls."""
    return [
        *measure_rest(),
        *measure_requests(),
        *measure_bundles(),
        *measure_takeovers(),
        *measure_start(),
    ]
