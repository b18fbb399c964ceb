"""Serve a caller's connection, answering one request at a time."""

import enum
import socket
import struct
from collections.abc import Callable, Mapping
from typing import Protocol

from roadlift.core.errors import MemoryFull, RequestIncomplete, RoadliftError
from roadlift.core.loop import Loop
from roadlift.decisions.yielding import Holding, Stage, judge_answer, judge_upload
from roadlift.http.errors import encode_error, format_seconds
from roadlift.http.framing import AnswerFraming
from roadlift.http.holdings import REFUSED, Holdings
from roadlift.http.intake import Intake
from roadlift.http.messages import HttpLimits, ReceivedRequest, get_reason_phrase
from roadlift.http.outbox import Outbox
from roadlift.http.parser import ParsedRequest
from roadlift.http.uploads import Upload, can_complete

READ_SIZE = 65536  # Bytes read from a caller at once.
HIGH_WATER = 131072  # Bytes buffered for a slow caller before its stream pauses.
LOW_WATER = 32768  # Buffered bytes at which the stream resumes.
MAX_PIPELINED_BYTES = 65536  # Pipelined bytes after which reading pauses.
SEND_BUFFER = 65536  # Bytes that the kernel keeps of an answer.
CONNECTION_COST = 4096  # Bytes of memory that a connection takes by itself.
# Bytes of memory that a call takes beside its request, and copies of that.
CALL_COST = 16384
CALL_COPIES = 2
RETRY_DELAY = 1.0  # Seconds after which a call may come back that yielded.
# Seconds for which input is still read after the writing side was shut down.
# Closing a socket with unread input sends a reset, which can destroy the last
# answer before the caller has read it.
LINGER_TIMEOUT = 1.0


class ConnectionState(enum.Enum):
    """What a connection is doing.

    WRITING is one whose answer is complete and waits for a slow caller;
    LINGERING one that was closed by this side and not yet by the caller.
    """

    IDLE = "idle"
    READING = "reading"
    ANSWERING = "answering"
    WRITING = "writing"
    LINGERING = "lingering"


class Handler(Protocol):
    """Handles the requests of a connection."""

    def handle(self, received: ReceivedRequest, caller: "Connection") -> None:
        """Handle a request; write its answer to the caller, now or later."""


class Connection:
    """The connection of a caller, to which answers are written.

    ``on_gone`` is called once if the caller disconnects before its answer is
    complete; ``on_drained`` each time the buffered bytes fall to the
    low-water mark.
    """

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        handler: Handler,
        limits: HttpLimits,
        on_close: Callable[["Connection"], None],
        holdings: Holdings,
    ) -> None:
        self._loop = loop
        self._socket: socket.socket | None = sock
        self._handler = handler
        self._limits = limits
        self._on_close = on_close
        self._holdings = holdings
        self._intake = Intake(limits)
        self._outbox = Outbox()
        self._running_size = 0
        self._drops_input = False
        self._used_at = loop.clock.now()
        self._upload: Upload | None = None
        self._deadline = loop.clock.now() + limits.idle_timeout
        self._is_answering = False
        self._is_finishing = False
        self._is_lingering = False
        self._framing = AnswerFraming()
        self._keep_alive = True
        self.is_draining = False
        self.started = False
        self.on_gone: Callable[[], None] | None = None
        self.on_drained: Callable[[], None] | None = None
        loop.watch(sock.fileno(), self._on_readable, None)
        self._measure()

    @property
    def is_full(self) -> bool:
        """Return whether the sender should pause."""
        most = LOW_WATER if self._holdings.is_pressed else HIGH_WATER
        return self._outbox.size >= most

    @property
    def is_reading(self) -> bool:
        """Return whether a request has begun to arrive."""
        return self.state is ConnectionState.READING

    @property
    def used_at(self) -> float:
        """Return when bytes were last received or written."""
        return self._used_at

    @property
    def state(self) -> ConnectionState:
        """Return what the connection is doing."""
        if self._is_lingering:
            return ConnectionState.LINGERING
        if self._is_finishing:
            return ConnectionState.WRITING
        if self._is_answering:
            return ConnectionState.ANSWERING
        if not self._intake.is_idle:
            return ConnectionState.READING
        return ConnectionState.IDLE

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read or answered."""
        return self.state is ConnectionState.IDLE and self._outbox.is_empty

    # Writing an answer.

    def write_interim(self, status: int) -> None:
        """Write an interim answer, such as 100."""
        self._send(f"HTTP/1.1 {status} {get_reason_phrase(status)}\r\n\r\n".encode())

    def write_head(
        self, status: int, headers: Mapping[str, str], length: int | None = None
    ) -> None:
        """Write the status line and headers; without a length, use chunks."""
        self.started = True
        self._framing.choose(status, length)
        self._keep_alive = self._keep_alive and not self._framing.ends_with_close
        self._keep_alive = self._keep_alive and not self._is_last_answer()
        head = self._framing.encode_head(status, headers, length, self._keep_alive)
        self._send(head)

    def write(self, data: bytes) -> None:
        """Write body bytes, as one chunk if the answer is chunked."""
        self._send(self._framing.encode_body(data))

    def finish(self) -> None:
        """Complete the answer, and continue with the next request."""
        self._send(self._framing.encode_end())
        # The head may have been written before draining began.
        self._keep_alive = self._keep_alive and not self._is_last_answer()
        self._is_finishing = True
        self._complete_answer()

    def _is_last_answer(self) -> bool:
        """Return whether a draining connection ends with the current answer.

        Requests that were already received behind it are still answered.
        """
        if not self.is_draining:
            return False
        self._intake.advance()
        return not self._intake.requests and self._intake.error is None

    def answer(self, status: int, headers: Mapping[str, str], body: bytes) -> None:
        """Write a complete answer at once."""
        self.write_head(status, headers, len(body))
        self.write(body)
        self.finish()

    def answer_error(self, error: RoadliftError, headers: Mapping[str, str]) -> None:
        """Write a typed error, as an answer or as a stream's last event.

        A stream that has started gets an ``error`` event without the final
        chunk, and its connection is closed, so that the caller cannot mistake
        it for a complete answer.
        """
        body = encode_error(error)
        if not self.started:
            head = {"Content-Type": "application/json", **headers}
            if error.retry_after is not None:
                head.setdefault("Retry-After", format_seconds(error.retry_after))
            self.answer(error.status, head, body)
            return
        if self._framing.is_chunked:
            self.write(b"event: error\ndata: " + body + b"\n\n")
        self.truncate()

    def truncate(self) -> None:
        """Close after the written bytes, leaving the answer truncated."""
        if self._framing.version != "1.1":
            # An HTTP/1.0 caller takes an orderly close for a complete answer.
            self.reset()
            return
        self._keep_alive = False
        self._is_finishing = True
        self._complete_answer()

    def reset(self) -> None:
        """Reset the connection and discard the buffered bytes."""
        if self._socket is not None:
            option = struct.pack("ii", 1, 0)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
        self.close()

    def close(self) -> None:
        """Close the connection at once; an unfinished answer is truncated."""
        if self._socket is None:
            return
        self._loop.unwatch(self._socket.fileno())
        self._socket.close()
        self._socket = None
        self._outbox.clear()
        self._intake.close()
        self._holdings.remove(self)
        self._on_close(self)

    # Memory.

    def _measure(self) -> None:
        """Account for the bytes of memory that this connection takes."""
        if self._socket is None:
            return
        size = CONNECTION_COST + self._intake.held + self._running_size
        if not self._outbox.is_empty:
            size += self._outbox.size + SEND_BUFFER
        self._holdings.change(self, size, self._running_size)

    @property
    def _is_input_full(self) -> bool:
        """Return whether reading has paused for what waits to be parsed."""
        if not self._is_answering or self._drops_input:
            return False
        return self._intake.unparsed >= MAX_PIPELINED_BYTES

    def find_holding(self, now: float) -> Holding["Connection"] | None:
        """Return what may be given up of this connection, if anything."""
        if self._is_lingering or self._socket is None:
            return None
        if not self._outbox.is_empty:
            size = self._outbox.size + SEND_BUFFER
            return judge_answer(self, size, now, self._used_at)
        held = self._intake.held
        if not held:
            return None
        if self._is_answering:
            return Holding(self, Stage.INPUT_BEHIND, -held, held)
        began_at = self._upload.began_at if self._upload else now
        return judge_upload(self, held, now, began_at, self._used_at)

    def yield_holding(self, holding: Holding["Connection"]) -> None:
        """Refuse an upload, drop input behind a call, or cut an answer."""
        if holding.stage >= Stage.STALLED_ANSWER:
            self._cut()
        elif self._is_answering:
            self._drop_input()
        else:
            self._refuse(MemoryFull("the request yields", RETRY_DELAY))

    def _drop_input(self) -> None:
        """Drop what was received behind the call, which is the last one.

        Nothing of it was handled, so that the close promises nothing untrue.
        """
        self._drops_input = True
        self._keep_alive = False
        self._intake.close()
        self._watch()
        self._measure()

    def _cut(self) -> None:
        """Reset a connection whose answer is not read.

        Its call hears of that later: it may just be writing the answer.
        """
        on_gone = None if self._is_finishing else self.on_gone
        self.on_gone = self.on_drained = None
        self.reset()
        if on_gone is not None:
            self._loop.call_later(0, on_gone)

    # Draining.

    def close_if_idle(self) -> None:
        """Close the connection unless a request was begun or is arriving."""
        if self.is_idle and not self._has_input():
            self.close()

    def _has_input(self) -> bool:
        """Return whether the socket holds bytes that were not read yet."""
        try:
            return bool(self._socket.recv(1, socket.MSG_PEEK))
        except OSError:
            # Nothing has arrived, or the connection was reset.
            return False

    def refuse_upload(
        self, seconds: float, error: RoadliftError, headers: Mapping[str, str]
    ) -> None:
        """Refuse a request unless it should be complete in ``seconds``."""
        if self._is_answering or self._upload is None:
            return
        if not can_complete(self._upload, self._loop.clock.now(), seconds):
            self._refuse(error, headers)

    # Timeouts.

    def expire(self, now: float) -> None:
        """Handle an expired deadline; called several times a second."""
        if self._socket is None or now < self._deadline:
            return
        if self._is_lingering or self._is_finishing:
            self.close()
        elif self._is_answering:
            # The handler limits the duration of an answer.
            self._deadline = now + self._limits.idle_timeout
        elif self._intake.is_between:
            self._begin_linger()
        else:
            self._refuse(RequestIncomplete("timed out reading the request"))

    # Reading.

    def _on_readable(self) -> None:
        try:
            data = self._socket.recv(READ_SIZE)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._handle_disconnect()
        elif self._is_lingering or self._drops_input:
            return
        elif not self._is_answering:
            self._used_at = self._loop.clock.now()
            self._feed(data)
        else:
            # A pipelined request waits until this answer is complete.
            self._intake.add(data)
            if self._is_input_full:
                self._watch()
            self._measure()

    def _feed(self, data: bytes) -> None:
        self._intake.add(data)
        self._advance()

    def _advance(self) -> None:
        """Parse what was received, up to the end of a request."""
        was_idle = self._intake.is_between
        was_in_head = self._intake.in_head
        size = self._intake.unparsed
        self._intake.advance()
        now = self._loop.clock.now()
        if self._intake.in_head and (was_idle or not was_in_head):
            self._deadline = now + self._limits.header_timeout
        elif self._intake.in_body:
            self._deadline = now + self._limits.idle_timeout
        self._record_upload(now, size)
        if self._intake.take_continue():
            self.write_interim(100)
        self._measure()
        if self._socket is not None and not self._is_answering:
            self._handle_next()

    def _record_upload(self, now: float, size: int) -> None:
        """Record how much of an incomplete request was received."""
        if self._intake.is_between:
            self._upload = None
            return
        if self._upload is None or self._intake.requests:
            self._upload = Upload(now, now, 0, None)
        self._upload = self._upload.add(now, size, self._intake.missing_bytes)

    def _handle_next(self) -> None:
        """Handle the next complete request, or answer the parse error."""
        if self._intake.requests:
            self._begin(self._intake.requests.popleft())
        elif self._intake.error is not None:
            self._refuse(self._intake.error)
        elif not self._has_room():
            self._holdings.record(REFUSED)
            self._refuse(MemoryFull("no room for the body", RETRY_DELAY))

    def _has_room(self) -> bool:
        """Return whether the rest of a body of known length may be held."""
        missing = self._intake.missing_bytes
        if not missing:
            return True
        size = CALL_COPIES * (self._intake.held + missing)
        return self._holdings.can_ever_begin(size)

    def _begin(self, parsed: ParsedRequest) -> None:
        self._is_answering = True
        self.started = False
        self._keep_alive = parsed.keep_alive
        self._framing = AnswerFraming(parsed.received.method, parsed.version)
        self._running_size = CALL_COST + CALL_COPIES * parsed.size
        self._measure()
        if self._holdings.can_begin(self._running_size):
            self._handler.handle(parsed.received, self)
            return
        self._holdings.record(REFUSED)
        self._refuse(MemoryFull("no room for the call", RETRY_DELAY))

    def _refuse(
        self, error: RoadliftError, headers: Mapping[str, str] | None = None
    ) -> None:
        """Answer an incomplete request with an error, and close."""
        self._is_answering = True
        self.started = False
        self._keep_alive = False
        self._framing = AnswerFraming()
        self.on_gone = self.on_drained = None
        self._running_size = 0
        self._drops_input = True
        self._intake.close()
        self._measure()
        self.answer_error(error, headers or {})

    def _handle_disconnect(self) -> None:
        was_answering = self._is_answering and not self._is_finishing
        on_gone, self.on_gone = self.on_gone, None
        self.on_drained = None
        self.close()
        if was_answering and on_gone is not None:
            on_gone()

    # Writing.

    def _send(self, data: bytes) -> None:
        if self._socket is None or self._is_lingering or not data:
            return
        was_empty = self._outbox.is_empty
        self._outbox.add(data)
        if was_empty:
            self._used_at = self._loop.clock.now()
            try:
                self._outbox.flush(self._socket)
            except OSError:
                self._loop.call_later(0, self._handle_send_failure)
                return
        if not self._outbox.is_empty:
            self._watch()
            self._measure()

    def _handle_send_failure(self) -> None:
        if self._socket is not None:
            self._handle_disconnect()

    def _watch(self) -> None:
        """Update which socket events are watched."""
        on_read = None if self._is_input_full else self._on_readable
        on_write = None if self._outbox.is_empty else self._on_writable
        fileno = self._socket.fileno()
        self._loop.watch(fileno, on_read, on_write, self._handle_disconnect)

    def _on_writable(self) -> None:
        if self._socket is None:
            # Reading has closed the connection in the same round of the loop.
            return
        was_full = self._outbox.size > LOW_WATER
        try:
            self._outbox.flush(self._socket)
        except OSError:
            self._handle_disconnect()
            return
        self._used_at = self._loop.clock.now()
        if self._outbox.is_empty:
            self._watch()
        self._measure()
        # A caller that reads on gets more time to read the rest.
        self._complete_answer()
        if was_full and self._outbox.size <= LOW_WATER and self.on_drained:
            self.on_drained()

    # Completing an answer.

    def _complete_answer(self) -> None:
        if not self._is_finishing or self._socket is None or self._is_lingering:
            return
        # The call is over, also while its answer is being read.
        self._running_size = 0
        if not self._outbox.is_empty:
            self._deadline = self._loop.clock.now() + self._limits.idle_timeout
            self._measure()
            return
        self.on_gone = self.on_drained = None
        if not self._keep_alive:
            self._begin_linger()
            return
        self._is_answering = self._is_finishing = False
        self._deadline = self._loop.clock.now() + self._limits.idle_timeout
        self._measure()
        if self._intake.has_input or self._intake.error:
            # Deferred, so that many pipelined requests do not recurse.
            self._loop.call_later(0, self._resume_reading)

    def _resume_reading(self) -> None:
        if self._socket is None or self._is_answering:
            return
        self._advance()
        if self._socket is not None:
            self._watch()

    def _begin_linger(self) -> None:
        """Shut down the writing side, and read until the caller closes."""
        self._is_lingering = True
        self._deadline = self._loop.clock.now() + LINGER_TIMEOUT
        self._intake.close()
        self._measure()
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError:
            # The caller has closed already.
            self.close()
            return
        self._loop.watch(self._socket.fileno(), self._on_readable, None)
