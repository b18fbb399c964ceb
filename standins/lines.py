"""Carry calls in memory to stand-ins, on a clock that the test advances."""

import heapq
import itertools
from collections.abc import Callable
from typing import TYPE_CHECKING

from roadlift.core.clock import ManualClock
from roadlift.core.errors import ConnectionLost, RoadliftError
from roadlift.relay.address import Address
from roadlift.relay.upstream import Receiver, Request
from standins.framings import Unframed
from standins.hublines import HubLine
from standins.replies import Reply

if TYPE_CHECKING:
    from standins.installation import Installation

_numbers = itertools.count()  # Of calls, in the order they begin.


class Timeline:
    """Calls in the future, on a clock that the test advances."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self._calls: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = itertools.count()

    def now(self) -> float:
        """Return the time of the test's clock."""
        return self._clock.now()

    def call_later(self, seconds: float, call: Callable[[], None]) -> None:
        """Call once the clock has moved on."""
        due = self._clock.now() + seconds
        heapq.heappush(self._calls, (due, next(self._serial), call))

    def run_due(self) -> bool:
        """Run what is due; return whether there was anything."""
        ran = False
        while self._calls and self._calls[0][0] <= self._clock.now() + 1e-9:
            heapq.heappop(self._calls)[2]()
            ran = True
        return ran

    def find_next(self) -> float | None:
        """Return when the next call is due."""
        return self._calls[0][0] if self._calls else None


class MemoryLine(HubLine):
    """A call in flight to a stand-in, which answers it here."""

    def __init__(self, receiver: "HeldReceiver") -> None:
        super().__init__(receiver)
        self.number = next(_numbers)
        self.written = False
        self.call_id = ""
        self.progress_at = 0.0  # When it began, or made its last event.
        self.sent = 0  # Body bytes of its stream.
        self.framing: Unframed | None = None  # None where the answer is framed.
        # Whether its engine makes no more events, or was replaced meanwhile.
        self.is_hung = False
        self.is_interrupted = False

    def pause(self) -> None:
        """Stop reading the answer."""
        self.receiver.pause()

    def resume(self) -> None:
        """Go on reading the answer."""
        self.receiver.resume()

    def break_off(self) -> None:
        """End the call as its connection does, in order or by a reset."""
        if self.framing is None or self.framing.is_reset:
            self.fail(ConnectionLost("reset"))
        elif not self.is_closed:
            self.is_closed = True
            self.receiver.receive_end()

    def fail(self, error: RoadliftError) -> None:
        """End the call without a whole answer."""
        if not self.is_closed:
            self.is_closed = True
            self.receiver.receive_error(error)

    def send(self, reply: Reply) -> None:
        """Give a whole answer."""
        if self.is_closed:
            return
        if reply.status == 0:
            self.fail(ConnectionLost("closed early"))
            return
        self.receiver.receive_head(reply.status, reply.headers)
        if reply.body and not self.is_closed:
            self.receiver.receive_body(reply.body)
        if not self.is_closed:
            self.is_closed = True
            self.receiver.receive_end()


class HeldReceiver:
    """A receiver that hears nothing while its instance is suspended."""

    def __init__(self, receiver: Receiver, dialer: "MemoryDialer") -> None:
        self._receiver = receiver
        self._dialer = dialer
        self._is_paused = False
        self._unread: list[Callable[[], None]] = []

    def __getattr__(self, name: str) -> Callable:
        method = getattr(self._receiver, name)
        return lambda *values: self._pass_on(lambda: method(*values))

    def is_of(self, dialer: "MemoryDialer") -> bool:
        """Return whether the call is one of an instance."""
        return self._dialer is dialer

    def _pass_on(self, call: Callable[[], None]) -> None:
        if self._is_paused:
            self._unread.append(call)
        else:
            self._dialer.pass_on(call)

    def pause(self) -> None:
        """Keep what comes until it is read."""
        self._is_paused = True

    def resume(self) -> None:
        """Pass on what came meanwhile."""
        self._is_paused = False
        unread, self._unread = self._unread, []
        for call in unread:
            self._dialer.pass_on(call)


class MemoryDialer:
    """The dialer of one instance; while ``is_held`` it hears no answers."""

    def __init__(self, installation: "Installation") -> None:
        self._installation = installation
        self.is_held = False
        self._held: list[Callable[[], None]] = []

    def pass_on(self, call: Callable[[], None]) -> None:
        """Pass a part of an answer on, now or when the instance goes on."""
        if self.is_held:
            self._held.append(call)
        else:
            call()

    def release(self) -> None:
        """Let the instance hear what came while it was suspended."""
        self.is_held = False
        held, self._held = self._held, []
        for call in held:
            call()

    def open(
        self, address: Address, request: Request, receiver: Receiver, timeout: float
    ) -> MemoryLine:
        """Start a call to a stand-in."""
        line = MemoryLine(HeldReceiver(receiver, self))
        self._installation.carry(self, address, request, line, timeout)
        return line
