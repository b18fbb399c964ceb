"""Pool idle connections to endpoints and stores for reuse.

If the server closes an idle connection while a request is written to it, the
client cannot know whether the request ran. So a connection is kept for less
time than the server announces, it is closed as soon as anything arrives on
it, and it is checked again before it is reused. A request that must not run
twice accepts only a recently used connection, or a new one.
"""

import socket
from collections import deque
from collections.abc import Callable

from roadlift.core.loop import Loop
from roadlift.relay.address import Address

# Seconds that an idle connection is kept at most, also where the server
# announces no limit or a longer one.
MAX_IDLE_SECONDS = 4.0
# Seconds before the server's limit at which a connection is closed.
KEEP_ALIVE_MARGIN = 1.0
MAX_IDLE_PER_ADDRESS = 64  # Idle connections per address.
SWEEP_INTERVAL = 0.5  # Seconds between checks for expired connections.


class Channel:
    """A connected socket that carries one call at a time."""

    __slots__ = (
        "__weakref__",
        "address",
        "idle_since",
        "is_new",
        "reusable_until",
        "socket",
    )

    def __init__(self, address: Address, sock: socket.socket) -> None:
        self.address = address
        self.socket = sock
        self.is_new = True
        self.idle_since = 0.0
        self.reusable_until = 0.0

    def has_no_input(self) -> bool:
        """Return whether no input is pending, neither data nor a close."""
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


class ConnectionPool:
    """The idle connections of a process; the last used is reused first."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._idle: dict[Address, deque[Channel]] = {}
        self._is_sweep_scheduled = False

    def acquire(
        self,
        address: Address,
        max_idle: float,
        is_allowed: Callable[[Channel], bool] = lambda channel: True,
    ) -> Channel | None:
        """Return a connection idle for at most ``max_idle`` seconds, if any.

        A newer connection is tried first; those that expired or received input
        are closed, and those that are not allowed are left to other calls.
        """
        now = self._loop.clock.now()
        for channel in reversed(tuple(self._idle.get(address, ()))):
            if now - channel.idle_since > max_idle:
                return None
            if not is_allowed(channel):
                continue
            self._idle[address].remove(channel)
            self._loop.unwatch(channel.socket.fileno())
            if now < channel.reusable_until and channel.has_no_input():
                return channel
            channel.socket.close()
        return None

    def release(self, channel: Channel, keep: float | None) -> None:
        """Return a connection to the pool, or close it if it cannot be kept.

        ``keep`` is the server's idle limit in seconds, if it announced one.
        """
        now = self._loop.clock.now()
        seconds = (
            MAX_IDLE_SECONDS
            if keep is None
            else min(MAX_IDLE_SECONDS, keep - KEEP_ALIVE_MARGIN)
        )
        idle = self._idle.setdefault(channel.address, deque())
        if seconds <= 0 or len(idle) >= MAX_IDLE_PER_ADDRESS:
            channel.socket.close()
            return
        channel.is_new = False
        channel.idle_since = now
        channel.reusable_until = now + seconds
        idle.append(channel)
        self._loop.watch(channel.socket.fileno(), lambda: self._drop(channel))
        if not self._is_sweep_scheduled:
            self._is_sweep_scheduled = True
            self._loop.call_later(SWEEP_INTERVAL, self._sweep)

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to an address."""
        for channel in self._idle.pop(address, ()):
            self._close(channel)

    def close(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle):
            self.close_idle(address)

    def _drop(self, channel: Channel) -> None:
        """Close a connection that received data or a close while idle."""
        idle = self._idle.get(channel.address, ())
        if channel in idle:
            idle.remove(channel)
        self._close(channel)

    def _close(self, channel: Channel) -> None:
        self._loop.unwatch(channel.socket.fileno())
        channel.socket.close()

    def _sweep(self) -> None:
        now = self._loop.clock.now()
        for address, idle in list(self._idle.items()):
            while idle and idle[0].reusable_until <= now:
                self._close(idle.popleft())
            if not idle:
                del self._idle[address]
        self._is_sweep_scheduled = bool(self._idle)
        if self._is_sweep_scheduled:
            self._loop.call_later(SWEEP_INTERVAL, self._sweep)
