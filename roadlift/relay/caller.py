"""Write an answer to a caller's socket with bounded memory.

The web server of circuits parses requests. The socket of a call that is
relayed is then taken out of it, answered here by direct writes, and handed
back for the connection's next request.
"""

import json
import socket
from collections import deque
from collections.abc import Callable
from typing import Protocol

from circuits.web.servers import BaseServer

from roadlift.core.errors import RoadliftError
from roadlift.core.loop import Loop

HIGH_WATER = 131072  # Bytes held for a slow caller before its stream pauses.
LOW_WATER = 32768  # Bytes held at which the stream goes on.
_REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict"}


class Caller(Protocol):
    """What an answer is written to.

    ``on_gone`` is called once if the caller goes away before the answer is
    whole; ``on_drained`` each time the held bytes fall below the low mark.
    """

    started: bool
    on_gone: Callable[[], None] | None
    on_drained: Callable[[], None] | None

    @property
    def is_full(self) -> bool:
        """Tell whether the sender should pause."""

    def write_head(
        self, status: int, headers: dict[str, str], length: int | None = None
    ) -> None:
        """Write the status line and headers; no length means chunked."""

    def write(self, data: bytes) -> None:
        """Write body bytes."""

    def finish(self) -> None:
        """End the answer as whole."""

    def answer(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Write a whole answer at once."""

    def answer_error(self, error: RoadliftError, headers: dict[str, str]) -> None:
        """Write a typed error, as an answer or as a stream's last event."""

    def close(self) -> None:
        """Drop the connection."""


class CallerStream:
    """The answering half of one caller's connection."""

    def __init__(self, loop: Loop, server: BaseServer, request, response) -> None:
        self._loop = loop
        self._server = server
        self._socket: socket.socket | None = request.sock
        self._keep = not response.close
        self._held: deque[memoryview] = deque()
        self._held_bytes = 0
        self._chunked = False
        self._ending = False
        self._early = b""
        self.started = False
        self.on_gone: Callable[[], None] | None = None
        self.on_drained: Callable[[], None] | None = None
        self._take_socket()

    @property
    def is_full(self) -> bool:
        """Tell whether the sender should pause."""
        return self._held_bytes >= HIGH_WATER

    def write_head(
        self, status: int, headers: dict[str, str], length: int | None = None
    ) -> None:
        """Write the status line and headers; no length means chunked."""
        self.started = True
        self._chunked = length is None
        lines = [f"HTTP/1.1 {status} {_REASONS.get(status, 'Status')}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if self._chunked:
            lines.append("Transfer-Encoding: chunked")
        else:
            lines.append(f"Content-Length: {length}")
        if not self._keep:
            lines.append("Connection: close")
        self._send("\r\n".join([*lines, "", ""]).encode("latin-1"))

    def write(self, data: bytes) -> None:
        """Write body bytes, as one chunk where the answer is chunked."""
        if not data:
            return
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._send(data)

    def finish(self) -> None:
        """End the answer as whole and hand the connection back."""
        if self._chunked:
            self._send(b"0\r\n\r\n")
        self._ending = True
        self._settle()

    def answer(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Write a whole answer at once."""
        self.write_head(status, headers, len(body))
        self._send(body)
        self.finish()

    def answer_error(self, error: RoadliftError, headers: dict[str, str]) -> None:
        """Write a typed error, as an answer or as a stream's last event.

        A stream that was begun gets an ``error`` event and no end mark, and
        its connection closes, so that it can't be taken for a whole one.
        """
        body = encode_error(error)
        if not self.started:
            head = {"Content-Type": "application/json", **headers}
            if error.retry_after is not None:
                head["Retry-After"] = str(max(1, round(error.retry_after)))
            self.answer(error.status, head, body)
            return
        if self._chunked:
            self.write(b"event: error\ndata: " + body + b"\n\n")
        self._keep = False
        self._ending = True
        self._settle()

    def close(self) -> None:
        """Drop the connection; the caller sees an answer cut short."""
        if self._socket is None:
            return
        self._loop.unwatch(self._socket.fileno())
        self._socket.close()
        self._socket = None
        self._held.clear()
        self._held_bytes = 0

    def _take_socket(self) -> None:
        server = self._server.server
        if self._socket not in server._clients:
            # The caller went away before its request was handled.
            self._socket = None
            return
        server._poller.discard(self._socket)
        server._clients.remove(self._socket)
        server._buffers.pop(self._socket, None)
        self._server.http._clients.pop(self._socket, None)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._loop.watch(self._socket.fileno(), self._on_readable, None)

    def _return_socket(self) -> None:
        sock, self._socket = self._socket, None
        self._loop.unwatch(sock.fileno())
        server = self._server.server
        server._clients.append(sock)
        server._poller.addReader(server, sock)
        if self._early:
            self._server.http._on_read(sock, self._early)

    def _on_readable(self) -> None:
        try:
            data = self._socket.recv(4096)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data and len(self._early) < 65536:
            # A pipelined request waits until this answer is whole.
            self._early += data
            return
        self._lose_caller()

    def _lose_caller(self) -> None:
        self.close()
        if self.on_gone is not None:
            self.on_gone()

    def _send(self, data: bytes) -> None:
        if self._socket is None:
            return
        sent = 0
        if not self._held:
            try:
                sent = self._socket.send(data)
            except BlockingIOError:
                pass
            except OSError:
                self._loop.call_later(0, self._lose_caller_once)
                return
            if sent == len(data):
                return
        view = memoryview(data)[sent:]
        self._held.append(view)
        self._held_bytes += len(view)
        self._loop.watch(self._socket.fileno(), self._on_readable, self._on_writable)

    def _lose_caller_once(self) -> None:
        if self._socket is not None:
            self._lose_caller()

    def _on_writable(self) -> None:
        if self._socket is None:
            return
        was_full = self._held_bytes > LOW_WATER
        while self._held:
            try:
                sent = self._socket.send(self._held[0])
            except BlockingIOError:
                break
            except OSError:
                self._lose_caller()
                return
            self._drop_sent(sent)
        if not self._held:
            self._loop.watch(self._socket.fileno(), self._on_readable, None)
            self._settle()
        if was_full and self._held_bytes <= LOW_WATER and self.on_drained:
            self.on_drained()

    def _drop_sent(self, sent: int) -> None:
        self._held_bytes -= sent
        if sent == len(self._held[0]):
            self._held.popleft()
        else:
            self._held[0] = self._held[0][sent:]

    def _settle(self) -> None:
        if not self._ending or self._held or self._socket is None:
            return
        if self._keep:
            self._return_socket()
        else:
            self.close()


def encode_error(error: RoadliftError) -> bytes:
    """Return the JSON body of an error, in the shape of OpenAI's API."""
    content = {
        "message": str(error),
        "type": f"roadlift_{error.outcome}",
        "code": error.code,
        "outcome": str(error.outcome),
        "param": None,
    }
    return json.dumps({"error": content}).encode()
