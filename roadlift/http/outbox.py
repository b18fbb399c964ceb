"""Hold the bytes of an answer that a slow caller has not taken yet."""

import socket
from collections import deque


class Outbox:
    """Bytes to write to a socket, in order; ``size`` is their number."""

    def __init__(self) -> None:
        self._pieces: deque[memoryview] = deque()
        self.size = 0

    @property
    def is_empty(self) -> bool:
        """Return whether all bytes were written."""
        return not self._pieces

    def add(self, data: bytes) -> None:
        """Add bytes behind the others."""
        self._pieces.append(memoryview(data))
        self.size += len(data)

    def flush(self, sock: socket.socket) -> None:
        """Write as much as the socket takes; raise OSError if it is broken."""
        while self._pieces:
            try:
                sent = sock.send(self._pieces[0])
            except BlockingIOError:
                return
            self._discard(sent)

    def clear(self) -> None:
        """Drop the bytes."""
        self._pieces.clear()
        self.size = 0

    def _discard(self, sent: int) -> None:
        self.size -= sent
        if sent == len(self._pieces[0]):
            self._pieces.popleft()
        else:
            self._pieces[0] = self._pieces[0][sent:]
