"""Stand in for the users' platform: its table service and its runners.

In memory and on the paused clock: a dialer hands each request to the store or
a runner, whose answers come after a delay. It follows the users' published
protocol as far as the tests need it.
"""

import itertools
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from roadlift.core.clock import Clock, ManualClock
from roadlift.core.errors import (
    ConnectionLost,
    ConnectionRefused,
    EndpointUnreachable,
    RequestTimeout,
    SendingRevoked,
)
from roadlift.relay.address import Address
from roadlift.relay.upstream import Request
from standins.arrivals import ArrivalWatch
from standins.batches import Fall
from standins.endings import LATE_CLOSE, Ending, Listener
from standins.limits import LimitWatch
from standins.lines import MemoryDialer, MemoryLine, Timeline
from standins.overlaps import EndWatch, OverlapWatch
from standins.places import PlaceWatch
from standins.replies import DELAY
from standins.runners import SHORTEST_WAIT, Runner
from standins.statements import StatementWatch
from standins.store import Store


class DeadlyRun(NamedTuple):
    """A run under which a runner ends."""

    at: float
    runner: str
    call_id: str


class DeadlyLoad(NamedTuple):
    """A load under which a runner ends."""

    at: float
    runner: str
    adapter: str


class Installation:
    """The store and the runners, on one clock."""

    store_address = Address("10.0.0.254", 1)

    def __init__(self, clock: Clock | None = None, timeline=None) -> None:
        self.clock = clock or ManualClock(100.0)
        self.timeline = timeline or Timeline(self.clock)
        self.store = Store(self.timeline)
        self.runners: dict[str, Runner] = {}
        # Whether each event names the version of the software that made it.
        self.marks_events = False
        self.ports = itertools.count(1000)
        self.versions: dict[str, int] = {}
        self.cut_from_store: set[MemoryDialer] = set()
        self.cut_from_runners: set[MemoryDialer] = set()
        # Instances whose connections to runners are refused.
        self.refused_by_runners: set[MemoryDialer] = set()
        # Instances whose new connections alone are refused; of the calls that
        # may use an idle connection, each second finds one.
        self.half_refused: set[MemoryDialer] = set()
        self._has_idle = False
        # What takes a request at the address of an instance.
        self.instances: dict[Address, Callable[[Request, MemoryLine], None]] = {}
        self.store_calls: Counter[MemoryDialer] = Counter()
        # Bodies of calls under which a runner ends, and the runs of each.
        self.deadly: set[bytes] = set()
        # Parts of prompts under which a runner ends, other than the last.
        self.deadly_parts: set[str] = set()
        self.deadly_part_runs: dict[str, list[DeadlyRun]] = {}
        self.ended: list[str] = []  # Runners that ended, in order, and when.
        self.crash_times: list[float] = []
        # How runners end, and what still listens at the addresses of those
        # that did.
        self.ending = Ending()
        self.draw_ending: Callable[[], Ending] | None = None
        self.listeners: dict[Address, Listener] = {}
        # Brittle runners that fell over, and the calls that were rejected for
        # want of room.
        self.fallen: list[Fall] = []
        self.brittle_times = 0
        self.rejected: list[str] = []
        self.deadly_runs: dict[bytes, list[DeadlyRun]] = {}
        # Adapters whose weights end a runner that loads them, and the loads
        # that began.
        self.deadly_adapters: set[str] = set()
        self.deadly_loads: list[DeadlyLoad] = []
        self.arrivals = ArrivalWatch()
        self.limits = LimitWatch()
        self.overlaps = OverlapWatch(self.timeline)
        self.places = PlaceWatch()
        self.statements = StatementWatch()
        # Ids of calls whose answers runners broke off by themselves.
        self.spoiled: set[str] = set()
        self.ends = EndWatch()
        # Ids of calls that were at an engine that hung.
        self.hung: set[str] = set()
        # Of each call, its runs whose runner ended or was replaced meanwhile.
        self.interrupted: Counter[str] = Counter()

    def choose_ending(self) -> Ending:
        """Return how a runner ends now; the next one may end otherwise."""
        chosen = self.ending
        if self.draw_ending is not None:
            self.ending = self.draw_ending()
        return chosen

    def leave_listener(self, address: Address, listener: Listener) -> None:
        """Keep a listener at the address of a runner that ended."""
        if listener is Listener.GONE:
            return
        self.listeners[address] = listener
        if listener is Listener.LATE:
            close = lambda: self.listeners.pop(address, None)
            self.timeline.call_later(LATE_CLOSE, close)

    def _meet_listener(
        self, listener: Listener, request: Request, line: MemoryLine
    ) -> None:
        """Connect to the address of a runner that ended."""
        if request.may_send is not None and not request.may_send():
            line.fail(SendingRevoked())
            return
        line.written = True
        if listener is Listener.RESETS:
            self.timeline.call_later(DELAY, lambda: line.fail(ConnectionLost("reset")))
        elif listener is Listener.LATE:
            lose = lambda: line.fail(ConnectionLost("reset"))
            self.timeline.call_later(LATE_CLOSE, lose)

    def reset_lines(self, dialer: MemoryDialer) -> None:
        """Reset the connections of an instance to all runners."""
        for runner in self.runners.values():
            runner.reset_lines(dialer)

    def evacuate(self, zone: str) -> None:
        """Write the operator's row that takes a zone out of service."""
        self.store.put("op", f"evacuate/{zone}", {})
        self.places.note_evacuation(zone, self.clock.now())

    def take_back(self, zone: str) -> None:
        """Delete the operator's row."""
        self.store.delete("op", f"evacuate/{zone}")
        self.places.note_return(zone, self.clock.now())

    def note_spoiled(self, call_id: str) -> None:
        """Note that a runner breaks a call off."""
        self.spoiled.add(call_id)
        self.ends.note_unsound(call_id)

    def find_deadly_part(self, prompt: str) -> str:
        """Return a deadly part of a prompt, not its last, or empty."""
        if not self.deadly_parts:
            return ""
        parts = prompt.split(",")
        ids = {part.partition(":")[0] for part in parts[:-1]}
        return min(ids & self.deadly_parts, default="")

    def note_deadly_part(self, runner: str, part: str, call_id: str) -> None:
        """Count a run of a call with a deadly part."""
        runs = self.deadly_part_runs.setdefault(part, [])
        runs.append(DeadlyRun(self.clock.now(), runner, call_id))

    def note_deadly_load(self, runner: str, adapter: str) -> None:
        """Note that a runner begins to load an adapter that ends it."""
        self.deadly_loads.append(DeadlyLoad(self.clock.now(), runner, adapter))

    def note_deadly(self, runner: str, body: bytes, call_id: str) -> None:
        """Count a run of a deadly call."""
        runs = self.deadly_runs.setdefault(body, [])
        runs.append(DeadlyRun(self.clock.now(), runner, call_id))

    def replace(self, ended: Runner) -> Runner:
        """Start another runner at the address of one that ended."""
        runner = Runner(self, ended.service, f"{ended.id}'", ended.zone)
        runner.address = ended.address
        runner.bases = ended.bases
        runner.slots = ended.slots
        runner.events = ended.events
        runner.queue_time = ended.queue_time
        runner.run_time = ended.run_time
        runner.software = ended.software
        runner.batch = ended.batch.renew() if ended.batch else None
        self.runners[runner.id] = runner
        self.store.put("servers", runner.id, runner.describe())
        return runner

    def add_runner(
        self, service: str, name: str, zone: str, base: str, software: str = "v1"
    ) -> Runner:
        """Start a runner that registers itself."""
        runner = Runner(self, service, name, zone)
        runner.software = software
        runner.bases = [base] if base else []
        self.runners[name] = runner
        self.store.put("servers", name, runner.describe())
        return runner

    def carry(
        self,
        dialer: MemoryDialer,
        address: Address,
        request: Request,
        line: MemoryLine,
        timeout: float,
    ) -> None:
        """Carry a request to whatever listens at an address."""
        self.timeline.call_later(
            DELAY, lambda: self._deliver(dialer, address, request, line)
        )
        self.timeline.call_later(timeout, lambda: line.fail(RequestTimeout()))

    def _needs_refused(self, dialer: MemoryDialer, request: Request) -> bool:
        """Return whether a call needs a new connection, which is refused."""
        if dialer not in self.half_refused:
            return False
        return not self._uses_idle(request)

    def _give_up(self, line: MemoryLine) -> None:
        """End a call whose connection was not made in time."""
        if not line.written:
            line.fail(EndpointUnreachable("connect timeout"))

    def _uses_idle(self, request: Request) -> bool:
        """Tell whether a call finds an idle connection, as each second may."""
        self._has_idle = bool(request.max_idle) and not self._has_idle
        return self._has_idle

    def _deliver(self, dialer, address, request: Request, line: MemoryLine) -> None:
        if line.is_closed:
            return
        if address == self.store_address:
            line.written = True
            self.store_calls[dialer] += 1
            if not self.store.is_down and dialer not in self.cut_from_store:
                self.store.handle(request, line)
            return
        if address in self.instances:
            line.written = True
            self.instances[address](request, line)
            return
        if dialer in self.cut_from_runners:
            return
        if dialer in self.refused_by_runners or self._needs_refused(dialer, request):
            line.fail(ConnectionRefused("refused"))
            return
        found = [one for one in self.runners.values() if one.address == address]
        shut = found[-1].measure_shut_time() if found else 0.0
        if shut > SHORTEST_WAIT and not self._uses_idle(request):
            again = lambda: self._deliver(dialer, address, request, line)
            self.timeline.call_later(shut, again)
            wait = request.connect_timeout or shut
            self.timeline.call_later(wait, lambda: self._give_up(line))
            return
        listener = self.listeners.get(address)
        if not found and listener is not None:
            self._meet_listener(listener, request, line)
        elif not found:
            line.fail(ConnectionRefused("refused"))
        elif request.may_send is not None and not request.may_send():
            line.fail(SendingRevoked())
        elif request.is_probe:
            line.written = True
        else:
            line.written = True
            found[-1].handle(request, line)
