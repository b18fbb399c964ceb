"""Play callers that send and read slowly, on a paused clock."""

import re
import socket
from collections.abc import Callable
from typing import NamedTuple

from roadlift.http.server import Server
from standins.lines import Timeline

TICK = 0.01  # Seconds between two looks at a socket.
BUFFER = 4096  # Bytes that the socket to a slow reader buffers.
_LENGTH = re.compile(rb"\r\nContent-Length: (\d+)", re.IGNORECASE)

_LAST_CHUNK = b"0\r\n\r\n"


class RawAnswer(NamedTuple):
    """An answer as it was read; ``is_last`` tells that the connection ends."""

    status: int
    body: bytes
    is_last: bool
    at: float


class RawCaller:
    """A caller's connection, on which requests are written piece by piece.

    Its socket is one of a pair, on which what one side writes is there for the
    other at once. ``rate`` is how many bytes it reads a second, or None for
    all at once. It closes behind the last answer, unless it ``lingers``.
    """

    def __init__(
        self, timeline: Timeline, server: Server, rate: float | None = None
    ) -> None:
        self._timeline = timeline
        self._rate = rate
        self._unsent = b""
        self._seen = b""
        self._socket, far_side = socket.socketpair()
        self._socket.setblocking(False)
        if rate is not None:
            far_side.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER)
        server.add_socket(far_side)
        self.lingers = False
        self.answers: list[RawAnswer] = []
        self.ended_at: float | None = None
        self.on_answer: Callable[[RawAnswer], None] = lambda answer: None
        self._look()

    @property
    def partial(self) -> bytes:
        """Return what was read of an answer that is not complete."""
        return self._seen

    @property
    def is_open(self) -> bool:
        """Return whether neither side has closed the connection."""
        return self.ended_at is None

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()
        self._end()

    def send(self, data: bytes, pieces: int = 1, seconds: float = 0.0) -> None:
        """Send bytes in pieces, the last one after ``seconds``."""
        size = -(-len(data) // pieces)
        for number in range(pieces):
            piece = data[number * size : (number + 1) * size]
            delay = seconds * number / max(1, pieces - 1)
            self._timeline.call_later(delay, lambda piece=piece: self._write(piece))

    def _write(self, data: bytes) -> None:
        if not self.is_open:
            return
        self._unsent += data
        try:
            self._unsent = self._unsent[self._socket.send(self._unsent) :]
        except BlockingIOError:
            pass
        except OSError:
            self._end()

    def _look(self) -> None:
        if not self.is_open:
            return
        self._write(b"")
        self._read()
        self._timeline.call_later(TICK, self._look)

    def _read(self) -> None:
        most = 1 << 20 if self._rate is None else int(self._rate * TICK)
        try:
            data = self._socket.recv(most) if self.is_open else b""
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._end()
        self._seen += data
        while self._take_answer():
            pass

    def _take_answer(self) -> bool:
        """Take a complete answer off what was read; return whether one was."""
        head, end, rest = self._seen.partition(b"\r\n\r\n")
        size = _measure_body(head, rest)
        if not end or size is None or len(rest) < size:
            return False
        is_last = b"connection: close" in head.lower()
        status, now = int(head.split(b" ", 2)[1]), self._timeline.now()
        answer = RawAnswer(status, rest[:size], is_last, now)
        self._seen = rest[size:]
        self.answers.append(answer)
        self.on_answer(answer)
        if is_last and not self.lingers:
            self.close()
        return True

    def _end(self) -> None:
        if self.is_open:
            self.ended_at = self._timeline.now()


def _measure_body(head: bytes, rest: bytes) -> int | None:
    """Return the bytes of a body, or None where its end has not come."""
    if b"chunked" in head.lower():
        end = rest.find(_LAST_CHUNK)
        return None if end < 0 else end + len(_LAST_CHUNK)
    found = _LENGTH.search(head)
    return int(found[1]) if found else 0


def make_upload(call_id: str, size: int, path: str = "/once/1") -> bytes:
    """Return a request with a body of ``size`` bytes."""
    head = f"POST {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {call_id}\r\n"
    return f"{head}Content-Length: {size}\r\n\r\n".encode() + bytes(size)


def make_chunked_upload(call_id: str, size: int, path: str = "/once/1") -> bytes:
    """Return a request with a body of ``size`` bytes, in chunks."""
    head = f"POST {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {call_id}\r\n"
    chunk = b"64\r\n" + bytes(100) + b"\r\n"
    framing = b"Transfer-Encoding: chunked\r\n\r\n"
    return head.encode() + framing + chunk * (size // 100) + b"0\r\n\r\n"
