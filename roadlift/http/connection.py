"""Serve one caller's connection: requests in, one answer at a time out."""

import json
import socket
import struct
from collections import deque
from collections.abc import Callable, Mapping
from typing import Protocol

from roadlift.core.errors import RequestIncomplete, RoadliftError
from roadlift.core.loop import Loop
from roadlift.http.messages import HttpLimits, Received, get_reason
from roadlift.http.parser import RequestParser

READ_SIZE = 65536  # Bytes read from a caller at once.
HIGH_WATER = 131072  # Bytes held for a slow caller before its stream pauses.
LOW_WATER = 32768  # Bytes held at which the stream goes on.
MOST_EARLY = 65536  # Bytes of pipelined requests held during an answer.
# Seconds that a closed connection's input is still read. A close with unread
# input is a reset, which can destroy the last answer on its way.
LINGER = 1.0
_BODILESS = (204, 304)


class Handler(Protocol):
    """What takes the requests of a connection."""

    def handle(self, received: Received, caller: "Connection") -> None:
        """Take a request; its answer goes to the caller, now or later."""


class Connection:
    """One caller's connection, to which answers are written.

    ``on_gone`` is called once if the caller goes away before its answer is
    whole; ``on_drained`` each time the held bytes fall below the low mark.
    """

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        handler: Handler,
        limits: HttpLimits,
        on_close: Callable[["Connection"], None],
    ) -> None:
        self._loop = loop
        self._socket: socket.socket | None = sock
        self._handler = handler
        self._limits = limits
        self._on_close = on_close
        self._parser = RequestParser(limits)
        self._held: deque[memoryview] = deque()
        self._held_bytes = 0
        self._early = b""
        self._deadline = loop.clock.now() + limits.idle_timeout
        self._is_answering = False
        self._is_ending = False
        self._is_lingering = False
        self._chunked = False
        self._bodiless = False
        self._keep = True
        self._method = ""
        self._version = "1.1"
        self.is_draining = False
        self.started = False
        self.on_gone: Callable[[], None] | None = None
        self.on_drained: Callable[[], None] | None = None
        loop.watch(sock.fileno(), self._on_readable, None)

    @property
    def is_full(self) -> bool:
        """Tell whether the sender should pause."""
        return self._held_bytes >= HIGH_WATER

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is being read or answered."""
        return not self._is_answering and self._parser.is_idle and not self._held

    # The answer.

    def write_interim(self, status: int) -> None:
        """Write an interim answer, such as 100."""
        self._send(f"HTTP/1.1 {status} {get_reason(status)}\r\n\r\n".encode())

    def write_head(
        self, status: int, headers: Mapping[str, str], length: int | None = None
    ) -> None:
        """Write the status line and headers; no length means chunked."""
        self.started = True
        self._bodiless = self._method == "HEAD" or status in _BODILESS
        self._chunked = length is None and self._version == "1.1"
        lines = [f"HTTP/1.1 {status} {get_reason(status)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if length is not None:
            if status not in _BODILESS:
                lines.append(f"Content-Length: {length}")
        elif self._chunked:
            lines.append("Transfer-Encoding: chunked")
        else:
            self._keep = False
        if self.is_draining:
            self._keep = False
        if not self._keep:
            lines.append("Connection: close")
        self._send("\r\n".join([*lines, "", ""]).encode("latin-1"))

    def write(self, data: bytes) -> None:
        """Write body bytes, as one chunk where the answer is chunked."""
        if not data or self._bodiless:
            return
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._send(data)

    def finish(self) -> None:
        """End the answer as whole, and go on with the next request."""
        if self._chunked and not self._bodiless:
            self._send(b"0\r\n\r\n")
        if self.is_draining:
            # The head may have been written before the draining began.
            self._keep = False
        self._is_ending = True
        self._settle()

    def answer(self, status: int, headers: Mapping[str, str], body: bytes) -> None:
        """Write a whole answer at once."""
        self.write_head(status, headers, len(body))
        if body and not self._bodiless:
            self._send(body)
        self.finish()

    def answer_error(self, error: RoadliftError, headers: Mapping[str, str]) -> None:
        """Write a typed error, as an answer or as a stream's last event.

        A stream that was begun gets an ``error`` event and no end mark, and
        its connection closes, so that it can't be taken for a whole one.
        """
        body = encode_error(error)
        if not self.started:
            head = {"Content-Type": "application/json", **headers}
            if error.retry_after is not None:
                head.setdefault("Retry-After", format_seconds(error.retry_after))
            self.answer(error.status, head, body)
            return
        if self._chunked:
            self.write(b"event: error\ndata: " + body + b"\n\n")
        self.truncate()

    def truncate(self) -> None:
        """Close behind what was written, without the end of a whole answer."""
        if self._version != "1.1":
            # The end of the connection is that mark to an HTTP/1.0 caller.
            self.reset()
            return
        self._keep = False
        self._is_ending = True
        self._settle()

    def reset(self) -> None:
        """Drop the connection by a reset, with what is still held."""
        if self._socket is not None:
            option = struct.pack("ii", 1, 0)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
        self.close()

    def close(self) -> None:
        """Drop the connection; the caller sees an answer cut short."""
        if self._socket is None:
            return
        self._loop.unwatch(self._socket.fileno())
        self._socket.close()
        self._socket = None
        self._held.clear()
        self._held_bytes = 0
        self._on_close(self)

    # The time limits.

    def expire(self, now: float) -> None:
        """Act on a limit that is over; called several times a second."""
        if self._socket is None or now < self._deadline:
            return
        if self._is_lingering or self._is_ending:
            self.close()
        elif self._is_answering:
            # How long an answer may take is for the handler to bound.
            self._deadline = now + self._limits.idle_timeout
        elif self._parser.is_idle:
            self._begin_linger()
        else:
            self._refuse(RequestIncomplete("the request came too slowly"))

    # Reading.

    def _on_readable(self) -> None:
        try:
            data = self._socket.recv(READ_SIZE)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._lose_caller()
        elif self._is_lingering:
            return
        elif not self._is_answering:
            self._feed(data)
        elif len(self._early) < MOST_EARLY:
            # A pipelined request waits until this answer is whole.
            self._early += data
        else:
            self._watch()

    def _feed(self, data: bytes) -> None:
        was_idle = self._parser.is_idle
        was_in_head = self._parser.in_head
        self._parser.feed(data)
        now = self._loop.clock.now()
        if self._parser.in_head and (was_idle or not was_in_head):
            self._deadline = now + self._limits.header_timeout
        elif self._parser.in_body:
            self._deadline = now + self._limits.idle_timeout
        if self._parser.wants_continue:
            self._parser.wants_continue = False
            self.write_interim(100)
        self._take_next()

    def _take_next(self) -> None:
        """Hand on the next whole request, or answer the fault behind it."""
        if self._parser.requests:
            self._begin(self._parser.requests.popleft())
        elif self._parser.error is not None:
            self._refuse(self._parser.error)

    def _begin(self, parsed) -> None:
        self._is_answering = True
        self.started = False
        self._keep = parsed.keep_alive
        self._version = parsed.version
        self._method = parsed.received.method
        self._handler.handle(parsed.received, self)

    def _refuse(self, error: RoadliftError) -> None:
        """Answer a request that can't be read, and close."""
        self._is_answering = True
        self.started = False
        self._keep = False
        self._method = ""
        self._version = "1.1"
        self.on_gone = self.on_drained = None
        self.answer_error(error, {})

    def _lose_caller(self) -> None:
        was_answering = self._is_answering and not self._is_ending
        self.close()
        if was_answering and self.on_gone is not None:
            self.on_gone()

    # Writing.

    def _send(self, data: bytes) -> None:
        if self._socket is None or self._is_lingering:
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
        self._watch()

    def _lose_caller_once(self) -> None:
        if self._socket is not None:
            self._lose_caller()

    def _watch(self) -> None:
        """Watch for what can be done now."""
        is_full = self._is_answering and len(self._early) >= MOST_EARLY
        on_read = None if is_full else self._on_readable
        on_write = self._on_writable if self._held else None
        self._loop.watch(self._socket.fileno(), on_read, on_write)

    def _on_writable(self) -> None:
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
            self._watch()
            self._settle()
        if was_full and self._held_bytes <= LOW_WATER and self.on_drained:
            self.on_drained()

    def _drop_sent(self, sent: int) -> None:
        self._held_bytes -= sent
        if sent == len(self._held[0]):
            self._held.popleft()
        else:
            self._held[0] = self._held[0][sent:]

    # The end of an answer.

    def _settle(self) -> None:
        if not self._is_ending or self._socket is None or self._is_lingering:
            return
        if self._held:
            self._deadline = self._loop.clock.now() + self._limits.idle_timeout
            return
        self.on_gone = self.on_drained = None
        if not self._keep:
            self._begin_linger()
            return
        self._is_answering = self._is_ending = False
        self._deadline = self._loop.clock.now() + self._limits.idle_timeout
        if self._early or self._parser.requests or self._parser.error:
            # Later, so that many pipelined requests don't nest their calls.
            self._loop.call_later(0, self._go_on)

    def _go_on(self) -> None:
        if self._socket is None or self._is_answering:
            return
        early, self._early = self._early, b""
        if early:
            self._feed(early)
        else:
            self._take_next()
        if self._socket is not None:
            self._watch()

    def _begin_linger(self) -> None:
        """Close the writing half, and read on until the caller closes."""
        self._is_lingering = True
        self._deadline = self._loop.clock.now() + LINGER
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError:
            # The caller has closed already.
            self.close()
            return
        self._loop.watch(self._socket.fileno(), self._on_readable, None)


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


def format_seconds(seconds: float) -> str:
    """Return seconds for a Retry-After field, which takes whole ones."""
    return str(max(1, round(seconds)))
