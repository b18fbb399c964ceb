"""Run the daemon's real parts together in one process, on a paused clock.

The hub stands in for the network alone: it carries the messages between
kernels and their calls to an engine's or the platform's stand-in, late, twice
or not at all as a test says. Time moves only by ``advance``. It places no
load and models no fleet; tests use it to bring about one failure at a time.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

import roadlift.daemon.leaving  # noqa: F401  The parts register themselves.
from roadlift.conf.settings import Settings
from roadlift.core.clock import ManualClock
from roadlift.core.codec import Envelope, decode, encode
from roadlift.core.errors import (
    ConnectionLost,
    ConnectionRefused,
    EndpointUnreachable,
    RequestTimeout,
    SendingRevoked,
)
from roadlift.core.kernel import Kernel
from roadlift.core.traffic import RECEIVED, SENT, Traffic
from standins.http import Received
from standins.hubengine import HubEngine
from standins.hublines import HubDialer, HubLine
from standins.platform import Platform

STEP = 0.01  # Seconds that the clock moves at once.
PARTS = ("leaving",)
PLATFORM = "127.0.0.1:1"


class Delivery(NamedTuple):
    """How messages between instances travel."""

    delay: float = 0.002
    jitter: float = 0.0
    lost: float = 0.0
    doubled: float = 0.0


class HubTransport:
    """The transport part of one kernel, over the hub."""

    name = "transport"
    needs = ()

    def __init__(self, hub: "Hub", name: str, address: str) -> None:
        self._hub = hub
        self._name = name
        self._address = address
        self._handlers: dict[type, Callable[[str, object], None]] = {}
        self.process = ""
        # Whether a first message to an address is dropped; it opens the way.
        self.opens_ways = False
        self._opened: set[str] = set()
        self.bytes_in = 0
        self.bytes_out = 0
        self.messages_out = 0
        self.traffic = Traffic()

    def start(self) -> None:
        """Do nothing; the hub carries."""

    def close(self) -> None:
        """Do nothing; the hub forgets the kernel."""

    def subscribe(self, kinds, handler) -> None:
        """Give messages of the types to ``handler(sender, message)``."""
        for kind in kinds:
            self._handlers[kind] = handler

    def connect(self, address: str) -> None:
        """Do nothing; every address is connected."""

    def disconnect(self, address: str) -> None:
        """Do nothing; see connect."""

    def send(self, address: str, message: object) -> bool:
        """Send a message through the hub."""
        data = encode(Envelope(self.process, message))
        if self.opens_ways and address not in self._opened:
            self._opened.add(address)
            return False
        if address != self._address:
            self.bytes_out += len(data)
            self.messages_out += 1
            self.traffic.record(message, SENT, len(data))
        self._hub.carry(self._name, address, data)
        return True

    def send_all(self, addresses, message: object) -> None:
        """Send one message to several peers."""
        for address in addresses:
            self.send(address, message)

    def receive(self, data: bytes) -> None:
        """Take a message from the hub."""
        self.bytes_in += len(data)
        envelope = decode(data)
        self.traffic.record(envelope.message, RECEIVED, len(data))
        handler = self._handlers.get(type(envelope.message))
        if handler is not None:
            handler(envelope.sender, envelope.message)


class Hub:
    """Kernels, engines and a platform on one clock."""

    def __init__(self, seed: int = 1, delivery: Delivery = Delivery()) -> None:  # noqa: B008
        self.clock = ManualClock(100.0)
        self.rng = random.Random(seed)
        self.delivery = delivery
        self.platform = Platform(9.0, 4)
        self.engines: dict[str, HubEngine] = {}
        self.engine_names: dict[str, str] = {}
        self.kernels: dict[str, Kernel] = {}
        self.zones: dict[str, str] = {}
        self.paused: set[str] = set()
        self.cut_zones: set[str] = set()
        self.is_platform_cut: set[str] = set()
        self._held: dict[str, list[Callable[[], None]]] = {}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = itertools.count()
        self._starts = itertools.count(1)
        self._ports: dict[str, int] = {}
        self._by_address: dict[str, str] = {}

    # Setting up.

    def add_engine(self, name: str, zone: str, slots=4, fences=True) -> HubEngine:
        """Add an engine."""
        address = self.find_address(name)
        engine = self.engines[address] = HubEngine(self, zone, slots, fences)
        self.engine_names[name] = address
        return engine

    def get_engine(self, name: str) -> HubEngine:
        """Return an engine by name."""
        return self.engines[self.engine_names[name]]

    def start(self, name: str, zone: str, **settings) -> Kernel:
        """Start an instance, anew where one of the name has ended."""
        peer = self.find_address(f"{name}/peer")
        http = self.find_address(f"{name}/http")
        seeds = ",".join(self.find_address(f"{other}/peer") for other in self.kernels)
        values = {
            "instance": name,
            "zone": zone,
            "peer": peer,
            "http": http,
            "platform": PLATFORM,
            "seeds": seeds,
            **settings,
        }
        transport = HubTransport(self, name, peer)
        dialer = HubDialer(self, name)
        given = {"transport": transport}
        stamp = 1_700_000_000_000 + next(self._starts)
        kernel = Kernel(Settings(values), self.clock, dialer, given, stamp)
        self._by_address[peer] = self._by_address[http] = name
        self.zones[name] = zone
        self.kernels[name] = kernel
        kernel.open(PARTS)
        return kernel

    def find_address(self, name: str) -> str:
        """Return the address of a name, the same each time."""
        port = self._ports.setdefault(name, 10000 + len(self._ports))
        return f"127.0.0.1:{port}"

    # Faults.

    def kill(self, name: str) -> None:
        """End an instance without a word."""
        self.kernels.pop(name)
        self._held.pop(name, None)
        self.paused.discard(name)

    def pause(self, name: str) -> None:
        """Stop an instance's time; what reaches it waits."""
        self.paused.add(name)

    def resume(self, name: str) -> None:
        """Let a paused instance go on, with what has waited for it."""
        self.paused.discard(name)
        for run in self._held.pop(name, []):
            run()

    def is_cut(self, zone: str, other: str) -> bool:
        """Tell whether two zones are cut off from each other."""
        return zone != other and bool({zone, other} & self.cut_zones)

    # Time.

    def call_later(self, seconds: float, run: Callable[[], None]) -> None:
        """Run something after some seconds of the clock."""
        due = self.clock.now() + seconds
        heapq.heappush(self._queue, (due, next(self._serial), run))

    def advance(self, seconds: float) -> None:
        """Move the clock, and do on the way what is due."""
        end = self.clock.now() + seconds
        while self.clock.now() < end - STEP / 2:
            self.clock.advance(STEP)
            for name, kernel in list(self.kernels.items()):
                if name not in self.paused:
                    kernel.loop._run_timers()
            while self._queue and self._queue[0][0] <= self.clock.now():
                heapq.heappop(self._queue)[2]()

    def advance_until(self, holds: Callable[[], bool], limit: float) -> float:
        """Move the clock until something holds; return the seconds."""
        began = self.clock.now()
        while not holds():
            assert self.clock.now() - began < limit, f"not within {limit} s"
            self.advance(STEP)
        return self.clock.now() - began

    # Carrying.

    def carry(self, sender: str, address: str, data: bytes) -> None:
        """Carry a message between instances."""
        name = self._by_address.get(address)
        delivery = self.delivery
        if name is None or self.is_cut(self.zones[sender], self.zones[name]):
            return
        if name != sender and self.rng.random() < delivery.lost:
            return
        copies = 2 if self.rng.random() < delivery.doubled else 1
        for _ in range(copies):
            delay = delivery.delay + self.rng.random() * delivery.jitter
            self.call_later(delay, lambda: self._deliver(name, data))

    def _deliver(self, name: str, data: bytes) -> None:
        kernel = self.kernels.get(name)
        if kernel is None:
            return
        run = lambda: kernel._components["transport"].receive(data)
        self._run_in(name, run)

    def _run_in(self, name: str, run: Callable[[], None]) -> None:
        if name in self.paused:
            self._held.setdefault(name, []).append(run)
        else:
            run()

    def call(self, sender, address, request, line, timeout) -> None:
        """Carry a call to a stand-in, and its answer back."""
        process = self.kernels.get(sender)
        if not self._is_reachable(sender, address):
            error = EndpointUnreachable("connect timeout")
            self.call_later(timeout, lambda: self._fail(process, sender, line, error))
            return
        if address in self._by_address and self._by_address[address] not in (
            self.kernels
        ):
            error = EndpointUnreachable("ECONNREFUSED")
            self.call_later(0.001, lambda: self._fail(process, sender, line, error))
            return
        guarded = _Guarded(self, sender, process, line)
        self.call_later(0.001, lambda: self._answer(address, request, guarded))
        late = RequestTimeout()
        self.call_later(timeout, lambda: self._fail(process, sender, line, late))

    def _is_reachable(self, sender: str, address: str) -> bool:
        own = self.zones[sender]
        if address == PLATFORM:
            return own not in self.is_platform_cut
        if address in self.engines:
            return not self.is_cut(own, self.engines[address].zone)
        name = self._by_address.get(address)
        return name is not None and not self.is_cut(own, self.zones[name])

    def _fail(self, process, sender, line, error) -> None:
        if line.is_closed or self.kernels.get(sender) is not process:
            return
        line.is_closed = True
        self._run_in(sender, lambda: line.receiver.receive_error(error))

    def _answer(self, address, request, line) -> None:
        if address in self.engines and self.engines[address].is_down:
            line.receive_error(ConnectionRefused("ECONNREFUSED"))
        elif request.may_send is not None and not request.may_send():
            line.receive_error(SendingRevoked())
        elif request.is_probe:
            # It stays open until it times out.
            return
        elif address in self.engines:
            self.engines[address].handle(request, line)
        elif address == PLATFORM:
            self._answer_platform(request, line)
        # An instance that is paused answers nothing; one that runs is known
        # by its heartbeats, and its health page is not modelled.

    def _answer_platform(self, request, line) -> None:
        headers = {name.lower(): value for name, value in request.headers.items()}
        received = Received(request.method, request.path, headers, request.body)
        reply = self.platform.handle_store(received)
        if reply.status == 0:
            line.receiver.receive_error(ConnectionLost("outage"))
            return
        found = {name.lower(): value for name, value in reply.headers.items()}
        line.receiver.receive_head(reply.status, found)
        line.receiver.receive_body(reply.body)
        line.receiver.receive_end()


class _Guarded:
    """A line whose answer waits for a paused caller, or goes nowhere."""

    def __init__(self, hub: Hub, sender: str, process: Kernel, line: HubLine) -> None:
        self._hub = hub
        self._sender = sender
        self._process = process
        self._line = line
        self.receiver = self

    @property
    def is_closed(self) -> bool:
        """Tell whether nobody waits for the answer."""
        alive = self._hub.kernels.get(self._sender) is self._process
        return self._line.is_closed or not alive

    @property
    def is_paused(self) -> bool:
        """Tell whether the caller reads no events now."""
        return self._line.is_paused

    @property
    def on_close(self) -> Callable[[], None]:
        """Return what the endpoint does when the caller closes."""
        return self._line.on_close

    @on_close.setter
    def on_close(self, run: Callable[[], None]) -> None:
        self._line.on_close = run

    def _pass(self, run: Callable[[], None]) -> None:
        if not self.is_closed:
            self._hub._run_in(self._sender, run)

    def receive_head(self, status, headers) -> None:
        """Pass the head on."""
        self._pass(lambda: self._line.receiver.receive_head(status, headers))

    def receive_body(self, data) -> None:
        """Pass body bytes on."""
        self._pass(lambda: self._line.receiver.receive_body(data))

    def receive_end(self) -> None:
        """Pass the end on."""
        self._pass(self._end)

    def _end(self) -> None:
        self._line.is_closed = True
        self._line.receiver.receive_end()

    def receive_error(self, error) -> None:
        """Pass a failure on."""
        self._pass(lambda: self._fail(error))

    def _fail(self, error) -> None:
        self._line.is_closed = True
        self._line.receiver.receive_error(error)
