"""Poll sockets and run timers on the single thread of a process.

``Loop`` extends the poller of circuits with direct callbacks for sockets
whose bytes are relayed: readiness calls a function instead of firing an
event, since an event for each chunk of a stream costs tens of microseconds.
Timers use the runtime's clock; those of circuits read the wall clock.
"""

import heapq
import itertools
import select
from collections.abc import Callable

from absl import logging
from circuits.core.handlers import handler
from circuits.core.pollers import EPoll

from roadlift.core.clock import Clock

_READ = select.EPOLLIN
_WRITE = select.EPOLLOUT
_HANGUP = select.EPOLLHUP | select.EPOLLERR
MAX_WAIT = 1.0  # Maximum seconds that one poll blocks.


def _do_nothing() -> None:
    """Stand in for the call of a timer that was cancelled."""


class Timer:
    """A scheduled call; ``close`` cancels it."""

    __slots__ = ("call", "closed")

    def __init__(self, call: Callable[[], None]) -> None:
        self.call = call
        self.closed = False

    def close(self) -> None:
        """Cancel the call and drop it; closing twice does nothing.

        The timer itself stays in the queue until it is due.
        """
        self.closed = True
        self.call = _do_nothing


class _Watch:
    __slots__ = ("on_hangup", "on_read", "on_write", "mask")

    def __init__(self) -> None:
        self.on_hangup: Callable[[], None] | None = None
        self.on_read: Callable[[], None] | None = None
        self.on_write: Callable[[], None] | None = None
        self.mask = 0


class Loop(EPoll):
    """The poller of circuits, with direct callbacks and runtime timers."""

    channel = "loop"

    def __init__(self, clock: Clock) -> None:
        super().__init__(channel=self.channel)
        self.clock = clock
        self._watches: dict[int, _Watch] = {}
        self._timers: list[tuple[float, int, Timer]] = []
        self._serial = itertools.count()

    def call_later(self, seconds: float, call: Callable[[], None]) -> Timer:
        """Call ``call`` once after ``seconds`` of the runtime's clock."""
        timer = Timer(call)
        due = self.clock.now() + seconds
        heapq.heappush(self._timers, (due, next(self._serial), timer))
        return timer

    def call_every(self, seconds: float, call: Callable[[], None]) -> Timer:
        """Call ``call`` every ``seconds`` until the timer is closed."""
        outer = Timer(call)

        def run() -> None:
            """Schedule the next call and make this one."""
            if outer.closed:
                return
            self.call_later(seconds, run)
            call()

        self.call_later(seconds, run)
        return outer

    def watch(
        self,
        fileno: int,
        on_read: Callable[[], None] | None = None,
        on_write: Callable[[], None] | None = None,
        on_hangup: Callable[[], None] | None = None,
    ) -> None:
        """Call the functions when ``fileno`` is ready; None disables one.

        ``on_hangup`` is for a socket on which neither is awaited: the poller
        reports its end all the same, again and again.
        """
        watch = self._watches.get(fileno)
        mask = (_READ if on_read else 0) | (_WRITE if on_write else 0)
        if watch is None:
            watch = self._watches[fileno] = _Watch()
            self._poller.register(fileno, mask)
        elif mask != watch.mask:
            self._poller.modify(fileno, mask)
        watch.mask = mask
        watch.on_read = on_read
        watch.on_write = on_write
        watch.on_hangup = on_hangup

    def unwatch(self, fileno: int) -> None:
        """Stop watching ``fileno``; does nothing if it is not watched."""
        if self._watches.pop(fileno, None) is None:
            return
        try:
            self._poller.unregister(fileno)
        except OSError:
            # The socket is already closed, which unregistered it.
            pass

    def run_once(self, wait: float = 0.0) -> bool:
        """Poll the watched sockets once and run the timers that are due.

        For tests and programs that drive the loop without circuits' manager.
        Returns whether a timer was due or a socket ready.
        """
        is_due = self._compute_wait() == 0.0
        ready = self._poller.poll(0.0 if is_due else wait)
        for fileno, mask in ready:
            self._process(fileno, mask)
        self._run_timers()
        return is_due or bool(ready)

    @handler("generate_events", priority=-9)
    def _on_generate_events(self, event) -> None:
        event.stop()
        self._poll(event)
        self._run_timers()

    def _poll(self, event) -> None:
        wait = self._compute_wait()
        if event.time_left >= 0:
            wait = min(wait, event.time_left)
        for fileno, mask in self._poller.poll(wait):
            self._process(fileno, mask)

    def _compute_wait(self) -> float:
        if not self._timers:
            return MAX_WAIT
        return min(MAX_WAIT, max(0.0, self._timers[0][0] - self.clock.now()))

    def _run_timers(self) -> None:
        now = self.clock.now()
        while self._timers and self._timers[0][0] <= now:
            timer = heapq.heappop(self._timers)[2]
            if not timer.closed:
                _call(timer.call)

    def _process(self, fileno: int, event: int) -> None:
        watch = self._watches.get(fileno)
        if watch is None:
            super()._process(fileno, event)
            return
        if event & _HANGUP and watch.on_hangup and not watch.mask:
            _call(watch.on_hangup)
            return
        if event & (_READ | _HANGUP) and watch.on_read:
            _call(watch.on_read)
        if event & (_WRITE | _HANGUP) and watch.on_write:
            _call(watch.on_write)


def _call(function: Callable[[], None]) -> None:
    """Call a function; its errors must not stop the remaining callbacks."""
    try:
        function()
    except Exception:
        logging.exception("[loop] Callback raised an exception.")
