"""Forward TCP connections on loopback, hold them, reset or silence them."""

import enum
import select
import socket
import struct
import threading

CHUNK = 65536
TICK = 0.05  # Seconds between looks whether the proxy is to end.


class Way(enum.Enum):
    """A direction in which bytes go."""

    REQUESTS = "requests"
    ANSWERS = "answers"


class Proxy:
    """Forwards each connection to an address; ``close`` ends it.

    What goes in the directions of ``held`` waits, also on new connections.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._pairs: dict[socket.socket, socket.socket] = {}
        self._silent: set[socket.socket] = set()
        self._near: set[socket.socket] = set()
        self.held: frozenset[Way] = frozenset()
        self._is_reset_due = False
        self._is_over = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"

    def start(self) -> None:
        """Begin to accept."""
        self._thread.start()

    def close(self) -> None:
        """Close all connections."""
        self._is_over = True
        if self._thread.ident is not None:
            self._thread.join()
        for one in [self._listener, *self._pairs]:
            one.close()

    def silence(self) -> None:
        """Forward nothing more on the connections that are open."""
        self._silent.update(self._pairs)

    def reset(self) -> None:
        """Reset the connections that are open, within TICK."""
        self._is_reset_due = True

    def _reset(self) -> None:
        self._is_reset_due = False
        for one in [*self._pairs]:
            # Without lingering a close is a reset.
            linger = struct.pack("ii", 1, 0)
            one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            one.close()
        self._pairs.clear()
        self._near.clear()

    def _is_held(self, one: socket.socket) -> bool:
        way = Way.REQUESTS if one in self._near else Way.ANSWERS
        return one in self._silent or way in self.held

    def _run(self) -> None:
        while not self._is_over:
            if self._is_reset_due:
                self._reset()
            heard = [one for one in self._pairs if not self._is_held(one)]
            ready, _, _ = select.select([self._listener, *heard], [], [], TICK)
            for one in ready:
                if one is self._listener:
                    self._accept()
                elif one in self._pairs and not self._is_held(one):
                    self._forward(one)

    def _accept(self) -> None:
        near, _ = self._listener.accept()
        try:
            far = socket.create_connection(self._target)
        except OSError:
            # Nothing listens there, and so nothing does here.
            near.close()
            return
        self._near.add(near)
        self._pairs[near], self._pairs[far] = far, near

    def _forward(self, one: socket.socket) -> None:
        other = self._pairs[one]
        try:
            data = one.recv(CHUNK)
            if data:
                other.sendall(data)
                return
        except OSError:
            # Either side is gone, so both are closed below.
            data = b""
        for end in (one, other):
            self._pairs.pop(end, None)
            self._near.discard(end)
            end.close()
