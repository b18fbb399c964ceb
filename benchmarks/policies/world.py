"""Run the real decision code of several instances against the model."""

import random
from collections.abc import Callable
from typing import NamedTuple

from benchmarks.policies.engine import EngineModel, Events, WeightStore
from benchmarks.policies.scenarios import Arrival, Deployment, Scenario
from roadlift.core.errors import RoadliftError
from roadlift.ownership.messages import (
    Acquire,
    Level,
    RefusalReason,
    Refuse,
    Release,
    Report,
)
from roadlift.ownership.orders import LOAD, Order, OrderResult
from roadlift.ownership.record import (
    EndpointProperties,
    EndpointRecord,
    Outgoing,
    OwnershipPolicy,
)
from roadlift.pins.requester import PinRequester, Waiter
from roadlift.pins.table import HeldPin, PinTable
from roadlift.policy.admission import DEFAULT_LIMITS, EndpointLimits
from roadlift.policy.eviction import evictors
from roadlift.policy.loads import (
    COALESCING_DELAYS,
    PRIORITY_RANKS,
    LoadGate,
    QueuedRequest,
)
from roadlift.policy.routing import routers

NEAR_DELAY = 0.0001  # Seconds between instances of a zone.
UNLOAD_SECONDS = 0.005
OWNER_TICK = 0.05
SEEKER_TICK = 0.1
REPORT_PERIOD = 1.0
# Seconds that a request waits to be placed.
QUEUE_LIMITS = {"interactive": 30.0, "standard": 30.0, "batch": 300.0}
RESTART_SECONDS = 3.0
NO_LIMITS = EndpointLimits(
    dict.fromkeys(PRIORITY_RANKS, float("inf")),
    dict.fromkeys(PRIORITY_RANKS, float("inf")),
)
NO_HOLDS = dict.fromkeys(COALESCING_DELAYS, 0.0)


class Policy(NamedTuple):
    """The decision code to run, by the names of its plug-ins."""

    name: str
    router: str
    evictor: str
    gates_loads: bool
    max_orders: int
    holds_batch: bool
    refuses_early: bool


POLICIES = {
    policy.name: policy
    for policy in (
        Policy("roadlift", "ring", "aged_frequency", True, 2, True, True),
        Policy("least_loaded_lru", "least_loaded", "recency", False, 1, False, False),
        Policy("consistent_hash", "hash", "recency", False, 1, False, False),
    )
}


class Outcome(NamedTuple):
    """What became of one request; times are in seconds."""

    arrival: Arrival
    stall: float
    first_token: float
    refused: str


class World:
    """Instances, engines and the weight store of one run."""

    def __init__(
        self, deployment: Deployment, scenario: Scenario, policy: Policy, seed: int
    ) -> None:
        self.deployment = deployment
        self.scenario = scenario
        self.policy = policy
        self.events = Events()
        self.rng = random.Random(f"{policy.name}/{seed}")
        self.store = WeightStore(self.events, deployment)
        self.outcomes: list[Outcome] = []
        self.wasted = 0
        self.failed_loads = 0
        self.names = [f"engine-{index}" for index in range(deployment.runners)]
        self.engines = {name: EngineModel(self.events, deployment.width)
                        for name in self.names}  # fmt: skip
        self.instances = [
            Instance(self, index) for index in range(deployment.instances)
        ]
        self.owners = {
            name: self.instances[index % len(self.instances)]
            for index, name in enumerate(self.names)
        }
        for name, owner in self.owners.items():
            owner.open_book(name)

    def run(self, arrivals: list[Arrival], seconds: float) -> None:
        """Run the arrivals to their end."""
        for arrival in arrivals:
            instance = self.instances[arrival.instance]
            self.events.call_at(arrival.at, lambda a=arrival, i=instance: i.take(a))
        for instance in self.instances:
            instance.start(seconds + QUEUE_LIMITS["batch"])
        self._plan_faults(seconds)
        self.events.run(seconds + 2 * QUEUE_LIMITS["batch"])

    def measure_delay(self, one: "Instance", other: "Instance") -> float:
        """Return the delay of a message, in seconds."""
        zones = self.deployment.zones
        is_near = one.index % zones == other.index % zones
        return NEAR_DELAY if is_near else self.deployment.zone_delay

    def count_loads(self) -> int:
        """Return the loads that ended well."""
        return sum(i.loads for i in self.instances)

    def count_evictions(self) -> int:
        """Return the evictions."""
        return sum(i.evictions for i in self.instances)

    def _plan_faults(self, seconds: float) -> None:
        if self.scenario.slow_store != 1.0:
            slow = self.scenario.slow_store
            self.events.call_at(seconds / 3, lambda: self._slow(slow))
            self.events.call_at(2 * seconds / 3, lambda: self._slow(1.0))
        if self.scenario.restarts:
            for index, name in enumerate(self.names):
                at = seconds * (index + 1) / (len(self.names) + 1)
                owner = self.owners[name]
                self.events.call_at(at, lambda o=owner, n=name: o.restart(n))

    def _slow(self, slowdown: float) -> None:
        self.store._progress()
        self.store.slowdown = slowdown
        self.store._plan()


class Instance:
    """An instance: its seeker, and the books that it owns."""

    def __init__(self, world: World, index: int) -> None:
        self.index = index
        self.name = f"entry-{index}"
        self._world = world
        self._events = world.events
        self._table = PinTable()
        self._requester = PinRequester(self, self._table)
        widths = dict.fromkeys(world.names, world.deployment.width)
        self._requester.set_router(
            routers.get(world.policy.router)(world.names), widths
        )
        self._books: dict[str, EndpointRecord] = {}
        self._incarnations: dict[str, int] = {}
        self._used: set[str] = set()
        self._gate = LoadGate()
        policy = world.policy
        self._terms = OwnershipPolicy(
            evictors.get(policy.evictor)(),
            max_orders=policy.max_orders,
            coalescing_delays=COALESCING_DELAYS if policy.holds_batch else NO_HOLDS,
            limits=DEFAULT_LIMITS if policy.refuses_early else NO_LIMITS,
        )
        self.loads = 0
        self.evictions = 0

    def open_book(self, endpoint: str) -> None:
        """Own an endpoint, with nothing loaded."""
        epoch = self._incarnations.get(endpoint, 0) + 1
        self._incarnations[endpoint] = epoch
        deployment = self._world.deployment
        shape = EndpointProperties(True, deployment.slots, deployment.width)
        self._books[endpoint] = EndpointRecord(
            endpoint, self.name, epoch, shape, self._terms
        )

    def start(self, end: float) -> None:
        """Begin the periodic work, up to ``end``."""
        self._repeat(SEEKER_TICK, end, self._requester.tick)
        self._repeat(REPORT_PERIOD, end, self._requester.report)
        self._repeat(OWNER_TICK, end, self._tick)

    def take(self, arrival: Arrival) -> None:
        """Take a request."""
        now = self._events.now
        waiter = Waiter(
            arrival.priority,
            now + QUEUE_LIMITS[arrival.priority],
            lambda pin: self._begin(arrival, pin),
            lambda error: self._refuse(arrival, error),
        )
        self._requester.place(arrival.model, waiter)

    def restart(self, endpoint: str) -> None:
        """Restart an engine: its copies are gone, its runs are repeated."""
        book = self._books.pop(endpoint)
        for wait in book.waiting.pop_expired(float("inf")):
            self._answer_not_owner(wait, endpoint)
        for instance in self._world.instances:
            for pin in list(instance._table._pins.values()):
                if pin.endpoint == endpoint:
                    pin.recalled = True
        reopen = lambda: self.open_book(endpoint)
        self._events.call_later(RESTART_SECONDS, reopen)

    # The host of the seeker.

    def now(self) -> float:
        """Return the virtual seconds."""
        return self._events.now

    def call_later(self, seconds: float, call: Callable[[], None]) -> None:
        """Call something later."""
        self._events.call_later(seconds, call)

    def find_owner(self, endpoint: str) -> str | None:
        """Return the instance that owns an endpoint."""
        return self._world.owners[endpoint].name

    def is_backing_off(self, endpoint: str) -> bool:
        """Return False: no endpoint requests a rest."""
        return False

    def send(self, process: str, message: object) -> bool:
        """Send a message to an instance, after the delay."""
        other = self._world.instances[int(process.rpartition("-")[2])]
        delay = self._world.measure_delay(self, other)
        if isinstance(message, Level):
            delay += self._world.scenario.report_lag
        self._events.call_later(delay, lambda: other.receive(self.name, message))
        return True

    # Messages.

    def receive(self, sender: str, message: object) -> None:
        """Take a message, as owner or as holder."""
        if isinstance(message, Acquire):
            self._receive_acquire(sender, message)
        elif isinstance(message, Release):
            book = self._books.get(message.endpoint)
            if book is not None:
                book.release(sender, message)
                self._order_next(book)
        elif isinstance(message, Report):
            book = self._books.get(message.endpoint)
            if book is not None:
                book.receive_report(sender, message, self._events.now)
                level = Level(message.endpoint, book.count_running())
                self.send(sender, level)
        else:
            self._requester.receive(sender, message)

    def _receive_acquire(self, sender: str, ask: Acquire) -> None:
        book = self._books.get(ask.endpoint)
        if book is None:
            self._answer_not_owner(ask._replace(), ask.endpoint, sender)
            return
        self._send_all(book.acquire(sender, ask, self._events.now))
        self._order_next(book)

    def _answer_not_owner(self, ask, endpoint: str, holder: str = "") -> None:
        refusal = Refuse(endpoint, ask.nonce, RefusalReason.TAKING_OVER, 0.1)
        self.send(holder or ask.holder, refusal)

    def _send_all(self, outgoing: list[Outgoing]) -> None:
        for one in outgoing:
            self.send(one.to, one.message)

    # Requests.

    def _begin(self, arrival: Arrival, pin: HeldPin) -> None:
        self._table.begin(pin)
        self._world.instances[0]._used.add(pin.copy)
        now = self._events.now
        engine = self._world.engines[pin.endpoint]
        engine.run(
            arrival.priority,
            arrival.tokens,
            lambda: self._note(arrival, now - arrival.at),
            lambda: self._requester.end(pin),
        )

    def _note(self, arrival: Arrival, stall: float) -> None:
        first = self._events.now - arrival.at
        self._world.outcomes.append(Outcome(arrival, stall, first, ""))

    def _refuse(self, arrival: Arrival, error: RoadliftError) -> None:
        waited = self._events.now - arrival.at
        self._world.outcomes.append(Outcome(arrival, waited, waited, error.code))

    # Owning.

    def _repeat(self, period: float, end: float, call: Callable[[], None]) -> None:
        def run() -> None:
            """Call, and plan the next call."""
            call()
            if self._events.now + period < end:
                self._events.call_later(period, run)

        # Instances are not in step with each other.
        offset = period * (self.index + 1) / (len(self._world.names) + 1)
        self._events.call_later(offset, run)

    def _tick(self) -> None:
        for book in list(self._books.values()):
            self._send_all(book.expire(self._events.now))
            self._order_next(book)

    def _order_next(self, book: EndpointRecord) -> None:
        while True:
            order, recalls = book.choose_order(self._events.now, self._try_load)
            self._send_all(recalls)
            if order is None:
                return
            self._give_order(book, order)

    def _give_order(self, book: EndpointRecord, order: Order) -> None:
        began = self._events.now
        finish = lambda: self._finish(book, order, began)
        if order.verb == LOAD:
            self._world.store.load(finish)
            return
        if order.copy not in self._world.instances[0]._used:
            self._world.wasted += 1
        self.evictions += 1
        self._events.call_later(UNLOAD_SECONDS, finish)

    def _try_load(self, wait: QueuedRequest) -> bool:
        if not self._world.policy.gates_loads:
            return True
        return self._gate.try_start(wait, self._events.now)

    def _finish(self, book: EndpointRecord, order: Order, began: float) -> None:
        result = OrderResult.DONE
        if order.verb == LOAD:
            if self._world.policy.gates_loads:
                now = self._events.now
                self._gate.finish(order.priority, now - began, now)
            if self._world.rng.random() < self._world.scenario.failing_loads:
                result = OrderResult.REFUSED
                self._world.failed_loads += 1
            else:
                self.loads += 1
        if self._books.get(book.endpoint) is not book:
            return
        self._send_all(book.finish_order(order, result, self._events.now))
        self._order_next(book)
