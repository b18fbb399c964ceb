"""Send HTTP requests to endpoints and stores.

If the connection was refused, no byte was written and the call did not run.
Once a byte was written, whether the call ran is unknown until it is answered.
A request states whether it may reuse an idle connection (see
roadlift/relay/pool.py); by default each opens a new one.
"""

import errno
import socket
import struct
from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

import httptools

from roadlift.core.errors import (
    AnswerUnbounded,
    AnswerUnidentified,
    ConnectionLost,
    ConnectionRefused,
    EndpointUnreachable,
    RequestTimeout,
    RoadliftError,
    SendingRevoked,
)
from roadlift.core.loop import Loop
from roadlift.http.messages import add_header, has_token
from roadlift.relay.address import Address
from roadlift.relay.framing import Framing, find_framing
from roadlift.relay.history import ChannelHistory
from roadlift.relay.pool import Channel, ConnectionPool

READ_SIZE = 65536  # Bytes read from a socket at most at once.
LARGE_BODY = 16384  # Bytes of a body from which on it is sent by itself.
RECEIVE_BUFFER = 131072  # Bytes that the kernel keeps of an answer.
# Milliseconds that sent bytes may stay unacknowledged before the connection
# counts as lost; on a partitioned network nothing else reveals the loss. A
# link that loses 3 of 100 packets loses three transmissions in a row, at 0,
# 200 and 600 ms, once in 37,000 times.
UNACKNOWLEDGED_TIMEOUT_MS = 700
# Seconds of inactivity before the first TCP keep-alive probe, and between
# probes.
KEEP_ALIVE_INTERVAL = 1
KEEP_ALIVE_PROBES = 2  # Unanswered probes after which a connection is lost.
# Bytes that may come in a row without a part of a body: of heads, interim
# answers and the framing of chunks. Heads have some KB.
MAX_OVERHEAD = 131072
# Bytes of answers to other requests that are skipped at most.
MAX_SKIPPED = 1048576
_RESET = struct.pack("ii", 1, 0)  # The option that resets what is closed.
# Bytes of a collected answer at most, such as an endpoint's report, where the
# caller names no other limit.
MAX_COLLECTED = 1048576
_IN_PROGRESS = (errno.EINPROGRESS, errno.EWOULDBLOCK)
_BODILESS_METHODS = ("GET", "HEAD", "DELETE", "OPTIONS")
_BODILESS_STATUSES = (204, 304)


class Request(NamedTuple):
    """An HTTP request to an endpoint or store, and how it is sent.

    ``max_idle`` is the number of seconds for which a reused connection may
    have been idle; 0 opens a new one and closes it after the answer.
    ``echo`` is a header, its name in lower case, and the value that the
    answer must repeat, empty if it must lack the header: another answer
    belongs to another request and is skipped. ``history`` are the connections
    that carried earlier sends with the same echo, which may not carry this
    one. ``may_send`` is called right before the first byte is written; if it
    returns false, the request is not sent. An answer with more than
    ``max_body`` bytes in its body is a failure; 0 is no limit. Of one that
    ``is_probe``, nothing is sent: it fails with RequestTimeout if its
    connection stays open for the timeout, and with ConnectionLost otherwise.
    """

    method: str
    path: str
    headers: Mapping[str, str] = {}
    body: bytes = b""
    host: str = ""
    max_idle: float = 0.0
    echo: tuple[str, str] | None = None
    history: ChannelHistory | None = None
    may_send: Callable[[], bool] | None = None
    connect_timeout: float | None = None
    max_body: int = 0
    is_probe: bool = False

    def encode_head(self, address: str) -> bytes:
        """Return the head as bytes; ``address`` is the default host."""
        lines = [f"{self.method} {self.path} HTTP/1.1", f"Host: {self.host or address}"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        if self.body or self.method not in _BODILESS_METHODS:
            lines.append(f"Content-Length: {len(self.body)}")
        if not self.max_idle:
            lines.append("Connection: close")
        return "\r\n".join([*lines, "", ""]).encode("latin-1")

    def encode(self, address: str) -> list[memoryview]:
        """Return the request in pieces; a large body is not copied."""
        head = self.encode_head(address)
        if len(self.body) < LARGE_BODY:
            return [memoryview(head + self.body)]
        return [memoryview(head), memoryview(self.body)]


def _set_options(sock: socket.socket) -> None:
    """Disable send coalescing and detect partitioned connections."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    # What a paused call leaves unread stays there.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER // 2)
    for option, value in (
        (socket.TCP_NODELAY, 1),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
        (socket.TCP_KEEPIDLE, KEEP_ALIVE_INTERVAL),
        (socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL),
        (socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


class Receiver(Protocol):
    """Receives the answer of a call as it arrives."""

    def receive_head(self, status: int, headers: dict[str, str]) -> None:
        """Handle the status and the headers, with names in lower case."""

    def receive_body(self, data: bytes) -> None:
        """Handle body bytes; called once for each read from the socket."""

    def receive_end(self) -> None:
        """Handle the end of a complete answer."""

    def receive_error(self, error: RoadliftError) -> None:
        """Handle a call that ended without a complete answer."""


class Call:
    """One request in flight; ``start`` opens it and ``close`` cancels it.

    ``timeout`` is in seconds; a call fails after between one and two timeouts
    without input.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        request: Request,
        receiver: Receiver,
        timeout: float,
        pool: ConnectionPool | None = None,
    ) -> None:
        self._loop = loop
        self._address = address
        self._request = request
        self._receiver = receiver
        self._timeout = timeout
        self._pool = pool or ConnectionPool(loop)
        self._channel: Channel | None = None
        self._socket: socket.socket | None = None
        self._timer = None
        self._unsent = [] if request.is_probe else request.encode(str(address))
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._status = 0
        self._chunks: list[bytes] = []
        self._is_complete = False
        self._is_skipping = False
        self._is_unusable = False
        self._is_unidentified = False
        self._ends_with_close = False
        self._is_reading = True
        self._has_progress = False
        self._overhead = 0
        self._skipped = 0
        self._body_size = 0
        self.written = False

    def start(self) -> None:
        """Reuse or open a connection; failures reach the receiver later."""
        self._channel = self._acquire()
        if self._channel is None:
            self._connect()
            return
        self._record_channel()
        self._socket = self._channel.socket
        self._timer = self._loop.call_later(self._timeout, self._on_timeout)
        self._loop.watch(self._socket.fileno(), self._on_readable, self._on_writable)

    def close(self) -> None:
        """Cancel the call by closing its connection."""
        if self._timer is not None:
            self._timer.close()
        if self._socket is not None:
            self._loop.unwatch(self._socket.fileno())
            self._socket.close()
            self._socket = None
        self._drop_body()

    def pause(self) -> None:
        """Stop reading, which puts back-pressure on the server."""
        self._is_reading = False
        self._update_watch()

    def resume(self) -> None:
        """Resume reading after a pause, with a new timeout."""
        self._is_reading = True
        self._has_progress = True
        self._update_watch()

    # The connection.

    def _acquire(self) -> Channel | None:
        """Return an idle connection that the request may use, or None."""
        address, request = self._address, self._request
        if request.history is None:
            return self._pool.acquire(address, request.max_idle)
        is_allowed = request.history.is_unused
        return self._pool.acquire(address, request.max_idle, is_allowed)

    def _record_channel(self) -> None:
        if self._request.history is not None:
            self._request.history.add(self._channel)

    def _connect(self) -> None:
        try:
            self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            # No descriptor is left. The receiver hears of it later, as of
            # every failure.
            failure = EndpointUnreachable(errno.errorcode.get(error.errno, ""))
            self._timer = self._loop.call_later(
                0, lambda: self._receiver.receive_error(failure)
            )
            return
        self._socket.setblocking(False)
        _set_options(self._socket)
        self._channel = Channel(self._address, self._socket)
        self._record_channel()
        wait = self._request.connect_timeout or self._timeout
        self._timer = self._loop.call_later(wait, self._on_timeout)
        code = self._socket.connect_ex(self._address)
        if code and code not in _IN_PROGRESS:
            self._loop.call_later(0, lambda: self._fail(_classify_connect_error(code)))
            return
        self._loop.watch(self._socket.fileno(), None, self._on_writable)

    @property
    def _is_sent(self) -> bool:
        """Return whether nothing is left to be sent."""
        return not self._unsent and (self.written or not self._request.is_probe)

    def _update_watch(self) -> None:
        if self._socket is None:
            return
        on_read = self._on_readable if self._is_reading else None
        on_write = None if self._is_sent else self._on_writable
        self._loop.watch(self._socket.fileno(), on_read, on_write)

    def _on_writable(self) -> None:
        if self._socket is None or self._is_sent:
            return
        if not self.written and not self._prepare_send():
            return
        if self._request.is_probe:
            # Whatever happens from now on happens to an open connection.
            self.written = True
            self._update_watch()
            return
        try:
            sent = self._socket.send(self._unsent[0])
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(self._classify_loss(error))
            return
        self.written = self.written or sent > 0
        self._note_sent(sent)
        self._update_watch()

    def _note_sent(self, size: int) -> None:
        """Drop what was sent, and the body once all of it was."""
        if size < len(self._unsent[0]):
            self._unsent[0] = self._unsent[0][size:]
            return
        del self._unsent[0]
        if not self._unsent:
            self._drop_body()

    def _drop_body(self) -> None:
        """Drop what is not sent, or was sent whole, if it is large."""
        if len(self._request.body) >= LARGE_BODY:
            self._unsent = []
            self._request = self._request._replace(body=b"")

    def _prepare_send(self) -> bool:
        """Check a new connection, and that the request may still be sent."""
        if self._channel.is_new:
            code = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self._fail(_classify_connect_error(code))
                return False
            self._timer.close()
            self._timer = self._loop.call_later(self._timeout, self._on_timeout)
        if self._request.may_send is not None and not self._request.may_send():
            self._fail(SendingRevoked())
            return False
        return True

    def _classify_loss(self, error: OSError | None = None) -> RoadliftError:
        detail = error.strerror if error else "closed early"
        if self.written:
            return ConnectionLost(detail)
        return EndpointUnreachable(detail)

    def _on_readable(self) -> None:
        if self._socket is None:
            return
        try:
            data = self._socket.recv(READ_SIZE)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(self._classify_loss(error))
            return
        if not data:
            self._on_eof()
            return
        self._has_progress = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            # Bytes after a complete answer belong to no request.
            self._is_unusable = True
            if not self._is_complete:
                self._deliver_body()
                self._fail(ConnectionLost(f"malformed HTTP answer: {error}"))
                return
        if self._is_unidentified:
            self._fail(AnswerUnidentified(f"status {self._status}"))
            return
        if not self._is_complete:
            self._count_input(len(data))
        self._deliver_body()
        excess = self._find_excess()
        if excess is not None:
            self._reset(AnswerUnbounded(excess))

    def _count_input(self, size: int) -> None:
        """Count what was read by what it is, if the answer goes on."""
        if self._is_skipping:
            self._skipped += size
        elif self._chunks:
            self._overhead = 0
            self._body_size += sum(len(chunk) for chunk in self._chunks)
        else:
            self._overhead += size

    def _find_excess(self) -> str | None:
        """Return what has come without end, if anything has."""
        if self._skipped > MAX_SKIPPED:
            return f"{self._skipped} bytes of other answers"
        if self._overhead > MAX_OVERHEAD:
            return f"{self._overhead} bytes without a body"
        if 0 < self._request.max_body < self._body_size:
            return f"a body of {self._body_size} bytes"
        return None

    def _reset(self, error: RoadliftError) -> None:
        """Fail, and reset the connection: the endpoint shall stop sending."""
        if self._socket is not None:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            self._fail(error)

    def _on_eof(self) -> None:
        if self._ends_with_close and not self._is_skipping:
            self._is_complete = self._is_unusable = True
            self._deliver_body()
            return
        self._fail(self._classify_loss())

    def _on_timeout(self) -> None:
        if self._has_progress or not self._is_reading:
            # One check per timeout is cheaper than a new timer per chunk.
            self._has_progress = False
            self._timer = self._loop.call_later(self._timeout, self._on_timeout)
        elif self.written:
            self._fail(RequestTimeout())
        else:
            self._fail(EndpointUnreachable("connect timeout"))

    def _fail(self, error: RoadliftError) -> None:
        if self._socket is None:
            return
        self.close()
        self._receiver.receive_error(error)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin an answer; a second one makes the channel unusable."""
        if self._is_complete:
            self._is_unusable = True
            return
        self._headers = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        if not self._is_complete:
            lowered = name.decode("latin-1").lower()
            add_header(self._headers, lowered, value.decode("latin-1"))

    def on_headers_complete(self) -> None:
        """Deliver the head if it answers this request."""
        status = self._parser.get_status_code()
        if self._is_complete or status < 200:
            return
        self._status = status
        headers = self._headers
        self._is_skipping = not self._matches_request(status, headers)
        is_unframed = find_framing(headers) is Framing.CLOSE
        self._ends_with_close = is_unframed and status not in _BODILESS_STATUSES
        if self._is_skipping:
            self._is_unusable = True
            return
        self._receiver.receive_head(status, headers)
        if self._request.method == "HEAD":
            self._is_complete = self._is_unusable = True

    def on_body(self, data: bytes) -> None:
        """Buffer a piece of the body."""
        if not self._is_complete and not self._is_skipping:
            self._chunks.append(data)

    def on_message_complete(self) -> None:
        """Record the end of an answer that is neither interim nor skipped."""
        is_interim = self._parser.get_status_code() < 200
        if not is_interim and not self._is_skipping:
            self._is_complete = True

    def _matches_request(self, status: int, headers: Mapping[str, str]) -> bool:
        """Return whether an answer repeats the ``echo`` header of the request.

        An error status without the header is accepted on a new connection,
        since an endpoint that rejects early may not have read the header. On
        one that carried other requests it may be a late repetition of an
        answer to one of them.
        """
        if self._request.echo is None:
            return True
        name, expected = self._request.echo
        if name in headers or status < 400:
            return headers.get(name, "") == expected
        self._is_unidentified = bool(expected) and not self._channel.is_new
        return not self._is_unidentified

    def _deliver_body(self) -> None:
        if self._socket is None:
            return
        if self._chunks:
            data = self._chunks[0] if len(self._chunks) == 1 else b"".join(self._chunks)
            self._chunks.clear()
            self._receiver.receive_body(data)
        if self._is_complete and self._socket is not None:
            self._release()
            self._receiver.receive_end()

    def _release(self) -> None:
        """Return the connection to the pool if it can be reused."""
        is_closing = has_token(self._headers.get("connection", ""), "close")
        is_kept = self._request.max_idle and not is_closing
        if not is_kept or self._is_unusable or self._unsent:
            self.close()
            return
        self._timer.close()
        self._loop.unwatch(self._socket.fileno())
        self._socket = None
        self._pool.release(self._channel, parse_keep_alive(self._headers))


def _classify_connect_error(code: int) -> EndpointUnreachable:
    """Return the exception for a socket error of a new connection."""
    kind = ConnectionRefused if code == errno.ECONNREFUSED else EndpointUnreachable
    return kind(errno.errorcode.get(code, ""))


def parse_keep_alive(headers: Mapping[str, str]) -> float | None:
    """Return the seconds for which the server keeps idle connections."""
    for part in headers.get("keep-alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return float(value)
    return None


class Answer(NamedTuple):
    """A complete answer."""

    status: int
    headers: dict[str, str]
    body: bytes


class AnswerCollector:
    """A receiver that collects an answer and delivers it once complete.

    One with more than ``limit`` body bytes is a failure.
    """

    def __init__(
        self,
        on_answer: Callable[[Answer], None],
        on_error: Callable[[RoadliftError], None],
        limit: int = MAX_COLLECTED,
    ) -> None:
        self._on_answer = on_answer
        self._on_error = on_error
        self._limit = limit
        self._status = 0
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._size = 0

    def receive_head(self, status: int, headers: dict[str, str]) -> None:
        """Store the head."""
        self._status = status
        self._headers = headers

    def receive_body(self, data: bytes) -> None:
        """Append to the body, up to the limit."""
        self._size += len(data)
        self._body += data[: self._limit - len(self._body)]

    def receive_end(self) -> None:
        """Deliver the answer if it was kept complete."""
        if self._size > self._limit:
            self._on_error(ConnectionLost(f"answer of {self._size} bytes"))
            return
        self._on_answer(Answer(self._status, self._headers, bytes(self._body)))

    def receive_error(self, error: RoadliftError) -> None:
        """Deliver the failure."""
        self._on_error(error)


class CallHandle(Protocol):
    """A handle on a call in flight.

    ``written`` is true once a byte of the request was written.
    """

    written: bool

    def close(self) -> None:
        """Cancel the call."""

    def pause(self) -> None:
        """Stop reading the answer until ``resume``."""

    def resume(self) -> None:
        """Resume reading the answer."""


class Dialer(Protocol):
    """Opens calls; tests substitute endpoints in memory."""

    def open(
        self, address: Address, request: Request, receiver: Receiver, timeout: float
    ) -> CallHandle:
        """Start a call; the receiver is never called before this returns."""


class SocketDialer:
    """Opens calls on sockets; reuses idle ones if the request allows it."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self.pool = ConnectionPool(loop)

    def open(
        self, address: Address, request: Request, receiver: Receiver, timeout: float
    ) -> Call:
        """Start a call that delivers its answer to the receiver."""
        call = Call(self._loop, address, request, receiver, timeout, self.pool)
        call.start()
        return call


def fetch(
    dialer: Dialer,
    address: Address,
    request: Request,
    on_answer: Callable[[Answer], None],
    on_error: Callable[[RoadliftError], None],
    timeout: float,
    limit: int = MAX_COLLECTED,
) -> CallHandle:
    """Start a call that collects its complete answer; return its handle.

    An answer whose body has more than ``limit`` bytes is a failure.
    """
    receiver = AnswerCollector(on_answer, on_error, limit)
    request = request._replace(max_body=limit)
    return dialer.open(address, request, receiver, timeout)
