"""Accept callers' connections on one address."""

import heapq
import socket
from collections import Counter
from collections.abc import Callable, Mapping

from roadlift.core.errors import RoadliftError
from roadlift.core.logs import ComponentLog
from roadlift.core.loop import Loop
from roadlift.decisions.yielding import RECEIVE_BUFFER, STALL_TIME
from roadlift.http.connection import (
    SEND_BUFFER,
    Connection,
    ConnectionState,
    Handler,
)
from roadlift.http.holdings import CONNECTIONS, Holdings, make_unbounded
from roadlift.http.messages import HttpLimits
from roadlift.relay.address import Address

BACKLOG = 1024  # Connections waiting to be accepted.
# Connections of an address that serves few callers, such as the platform.
FEW_CONNECTIONS = 64
# Of the connections, what is closed at once where there are too many.
YIELDING_PART = 1 / 32
ACCEPT_PAUSE = 0.25  # Seconds without accepting, where no descriptor is left.
WARNING_INTERVAL = 10.0  # Seconds between two log lines on that.
MAX_ACCEPTED_AT_ONCE = 64  # Connections accepted per event-loop iteration.
SWEEP_INTERVAL = 0.25  # Seconds between checks of the timeouts.

log = ComponentLog("http")


class Server:
    """The listening socket of an address, and its connections."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        handler: Handler,
        limits: HttpLimits,
        holdings: Holdings | None = None,
        max_connections: int | None = None,
    ) -> None:
        self._loop = loop
        self._address = address
        self._handler = handler
        self._holdings = holdings or make_unbounded(loop.clock)
        self._max_connections = max_connections or self._holdings.limits.connections
        self._socket: socket.socket | None = None
        self._timer = None
        self._warned_at = float("-inf")
        self.limits = limits
        self.is_draining = False
        self.connections: set[Connection] = set()

    @property
    def port(self) -> int:
        """Return the bound port."""
        return self._socket.getsockname()[1]

    def start(self) -> None:
        """Bind the address and start accepting."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted sockets inherit the sizes, of which the kernel takes twice.
        for option, size in (
            (socket.SO_RCVBUF, RECEIVE_BUFFER),
            (socket.SO_SNDBUF, SEND_BUFFER),
        ):
            self._socket.setsockopt(socket.SOL_SOCKET, option, size // 2)
        self._socket.setblocking(False)
        self._socket.bind(self._address)
        self._socket.listen(BACKLOG)
        self._loop.watch(self._socket.fileno(), self._accept)
        self._timer = self._loop.call_every(SWEEP_INTERVAL, self._sweep)
        log.info("Listening for callers on %s.", self._address)

    def add_socket(self, sock: socket.socket) -> None:
        """Serve a caller on a connected socket."""
        sock.setblocking(False)
        connection = Connection(
            self._loop,
            sock,
            self._handler,
            self.limits,
            self.connections.discard,
            self._holdings,
        )
        connection.is_draining = self.is_draining
        self.connections.add(connection)

    def close(self) -> None:
        """Close the listening socket and every connection."""
        if self._timer is not None:
            self._timer.close()
        self._stop_listening()
        for connection in list(self.connections):
            connection.close()

    def drain(self, stops_accepting: bool = True) -> None:
        """Close every connection after its next answer, and stop accepting.

        New callers are refused at once and can connect to another instance;
        if they were admitted late, the end of the process would cut them off.
        Further calls have no effect.
        """
        if self.is_draining:
            return
        if self._socket is not None:
            # Callers that are connected already may have sent a request.
            self._accept(BACKLOG)
        self.is_draining = True
        if stops_accepting:
            self._stop_listening()
        for connection in self.connections:
            connection.is_draining = True

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def refuse_uploads(
        self, seconds: float, error: RoadliftError, headers: Mapping[str, str]
    ) -> None:
        """Refuse the requests that are not read completely in ``seconds``."""
        for connection in list(self.connections):
            connection.refuse_upload(seconds, error, headers)

    def count_states(self) -> Counter[ConnectionState]:
        """Return how many connections are in each state."""
        return Counter(connection.state for connection in self.connections)

    def _stop_listening(self) -> None:
        if self._socket is not None:
            self._loop.unwatch(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def _accept(self, most: int = MAX_ACCEPTED_AT_ONCE) -> None:
        for _ in range(most):
            try:
                sock, _ = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self._pause_accepting(error)
                return
            if not self._has_place():
                sock.close()
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.add_socket(sock)

    def _pause_accepting(self, error: OSError) -> None:
        """Close connections that may be, and accept again a little later.

        Without a pause the loop would call again at once, and for ever.
        """
        now = self._loop.clock.now()
        if now - self._warned_at >= WARNING_INTERVAL:
            self._warned_at = now
            log.warning("Could not accept connections: %s.", error)
        self._close_unused()
        self._loop.unwatch(self._socket.fileno())
        self._loop.call_later(ACCEPT_PAUSE, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self._socket is not None:
            self._loop.watch(self._socket.fileno(), self._accept)

    def _has_place(self) -> bool:
        """Return whether a connection may be added, if others are closed."""
        if len(self.connections) >= self._max_connections:
            self._close_unused()
        if len(self.connections) < self._max_connections:
            return True
        self._holdings.record(CONNECTIONS)
        return False

    def _close_unused(self) -> None:
        """Close the connections that were unused the longest.

        Idle ones go first, unless a request has just come, then those whose
        request has stalled. A call that runs, and an answer that is read,
        keeps its connection.
        """
        idle = self._list_longest_unused(lambda one: one.is_idle)
        for connection in idle:
            self._holdings.record(CONNECTIONS)
            connection.close_if_idle()
        if idle:
            return
        stalled_before = self._loop.clock.now() - STALL_TIME
        for connection in self._list_longest_unused(
            lambda one: one.is_reading and one.used_at <= stalled_before
        ):
            self._holdings.record(CONNECTIONS)
            connection.close()

    def _list_longest_unused(
        self, may_close: Callable[[Connection], bool]
    ) -> list[Connection]:
        """Return some connections that may be closed, by their use."""
        count = max(1, int(len(self.connections) * YIELDING_PART))
        found = filter(may_close, self.connections)
        return heapq.nsmallest(count, found, key=lambda one: one.used_at)

    def _sweep(self) -> None:
        now = self._loop.clock.now()
        for connection in list(self.connections):
            connection.expire(now)
