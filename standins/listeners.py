"""Listen at the address of an engine that has ended, as port mappers do."""

import socket
import struct

from roadlift.core.loop import Loop
from roadlift.relay.address import Address

BACKLOG = 256  # Connections waiting to be accepted.
_RESET = struct.pack("ii", 1, 0)


class OrphanListener:
    """Accepts connections that nobody answers; resets them or holds them."""

    def __init__(self, loop: Loop, address: Address, resets: bool) -> None:
        self._loop = loop
        self._address = address
        self._resets = resets
        self._socket: socket.socket | None = None
        self._held: list[socket.socket] = []

    def start(self) -> None:
        """Begin to accept connections."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setblocking(False)
        self._socket.bind(self._address)
        self._socket.listen(BACKLOG)
        self._loop.watch(self._socket.fileno(), self._accept)

    def close(self) -> None:
        """Stop, and reset what is held."""
        self._loop.unwatch(self._socket.fileno())
        self._socket.close()
        for sock in self._held:
            _reset(sock)
        self._held.clear()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._socket.accept()
            except BlockingIOError:
                return
            if self._resets:
                _reset(sock)
            else:
                self._held.append(sock)


def _reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    sock.close()
