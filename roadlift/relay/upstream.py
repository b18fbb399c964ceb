"""Send HTTP requests to endpoints and stores.

A call whose connection was refused wrote no byte and did not run; a call that
wrote one is in doubt until it is answered. A request says whether a kept
connection may carry it (see roadlift/relay/pool.py); by default each takes a
connection of its own.
"""

import errno
import socket
from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

import httptools

from roadlift.core.errors import (
    ConnectionLost,
    ConnectionRefused,
    EndpointUnreachable,
    RequestTimeout,
    RoadliftError,
    SendingRevoked,
)
from roadlift.core.loop import Loop
from roadlift.http.messages import add_header, has_token
from roadlift.relay.pool import Channel, Pool

READ_SIZE = 65536  # Bytes taken from a socket at once.
# Milliseconds that bytes may stay unacknowledged until their connection is
# lost: behind a cut nothing else tells. A link that loses 3 of 100 packets
# loses three sends in a row, at 0, 200 and 600 ms, once in 37,000 times.
UNACKNOWLEDGED_LIMIT = 700
KEEP_ALIVE = 1  # Seconds of silence until a connection is probed, each second.
KEEP_ALIVE_PROBES = 2  # Probes without an answer that a connection bears.
_IN_PROGRESS = (errno.EINPROGRESS, errno.EWOULDBLOCK)
_BODILESS_METHODS = ("GET", "HEAD", "DELETE", "OPTIONS")
_BODILESS_STATUSES = (204, 304)


class Address(NamedTuple):
    """An IP number and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Read ``host:port``; raise ValueError where it is not one."""
        host, _, port = text.rpartition(":")
        socket.inet_aton(host) if host.count(".") == 3 else _reject(text)
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def _reject(text: str) -> None:
    raise ValueError(f"{text!r} is not an IP number with a port")


class Request(NamedTuple):
    """An HTTP request towards an endpoint or store, and how it is sent.

    ``kept_for`` is how many seconds a connection may have been idle that
    carries the request; 0 takes a new one and closes it after the answer.
    ``echo`` is a header that the answer has to repeat, in lower case, with
    its value: an answer with another value belongs to another request and is
    skipped. ``may_send`` is asked right before the first byte is written.
    """

    method: str
    path: str
    headers: Mapping[str, str] = {}
    body: bytes = b""
    host: str = ""
    kept_for: float = 0.0
    echo: tuple[str, str] | None = None
    may_send: Callable[[], bool] | None = None
    connect_timeout: float | None = None

    def encode(self, address: str) -> bytes:
        """Return the bytes of the request for ``address``."""
        lines = [f"{self.method} {self.path} HTTP/1.1", f"Host: {self.host or address}"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        if self.body or self.method not in _BODILESS_METHODS:
            lines.append(f"Content-Length: {len(self.body)}")
        if not self.kept_for:
            lines.append("Connection: close")
        return "\r\n".join([*lines, "", ""]).encode("latin-1") + self.body


def _set_options(sock: socket.socket) -> None:
    """Send small pieces at once, and notice a path that is cut."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_NODELAY, 1),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT),
        (socket.TCP_KEEPIDLE, KEEP_ALIVE),
        (socket.TCP_KEEPINTVL, KEEP_ALIVE),
        (socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


class Receiver(Protocol):
    """What takes the answer of a call, as it arrives."""

    def receive_head(self, status: int, headers: dict[str, str]) -> None:
        """Take the status and the headers, their names in lower case."""

    def receive_body(self, data: bytes) -> None:
        """Take body bytes, once for each read from the socket."""

    def receive_end(self) -> None:
        """Learn that the answer is whole."""

    def receive_error(self, error: RoadliftError) -> None:
        """Learn that the call ended without a whole answer."""


class Call:
    """One request in flight; ``start`` opens it and ``close`` cancels it.

    ``timeout`` is in seconds; a call fails once nothing has come for between
    one and two of it.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        request: Request,
        receiver: Receiver,
        timeout: float,
        pool: Pool | None = None,
    ) -> None:
        self._loop = loop
        self._address = address
        self._request = request
        self._receiver = receiver
        self._timeout = timeout
        self._pool = pool or Pool(loop)
        self._channel: Channel | None = None
        self._socket: socket.socket | None = None
        self._timer = None
        self._out = memoryview(request.encode(str(address)))
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._status = 0
        self._chunks: list[bytes] = []
        self._whole = False
        self._is_skipping = False
        self._is_spoilt = False
        self._ends_with_close = False
        self._reading = True
        self._has_progress = False
        self.written = False

    def start(self) -> None:
        """Take or open a connection; failures reach the receiver later."""
        self._channel = self._pool.take(self._address, self._request.kept_for)
        if self._channel is None:
            self._connect()
            return
        self._socket = self._channel.socket
        self._timer = self._loop.call_later(self._timeout, self._on_timeout)
        self._loop.watch(self._socket.fileno(), self._on_readable, self._on_writable)

    def close(self) -> None:
        """Cancel the call; the far side sees the connection close."""
        if self._timer is not None:
            self._timer.close()
        if self._socket is not None:
            self._loop.unwatch(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def pause(self) -> None:
        """Stop reading, so that the far side feels back-pressure."""
        self._reading = False
        self._update_watch()

    def resume(self) -> None:
        """Read again after a pause."""
        self._reading = True
        self._update_watch()

    # The connection.

    def _connect(self) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        _set_options(self._socket)
        self._channel = Channel(self._address, self._socket)
        wait = self._request.connect_timeout or self._timeout
        self._timer = self._loop.call_later(wait, self._on_timeout)
        code = self._socket.connect_ex(self._address)
        if code and code not in _IN_PROGRESS:
            self._loop.call_later(0, lambda: self._fail(_judge_connect(code)))
            return
        self._loop.watch(self._socket.fileno(), None, self._on_writable)

    def _update_watch(self) -> None:
        if self._socket is None:
            return
        on_read = self._on_readable if self._reading else None
        on_write = self._on_writable if self._out else None
        self._loop.watch(self._socket.fileno(), on_read, on_write)

    def _on_writable(self) -> None:
        if self._socket is None or not self._out:
            return
        if not self.written and not self._begin_write():
            return
        try:
            sent = self._socket.send(self._out)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(self._judge_loss(error))
            return
        self.written = self.written or sent > 0
        self._out = self._out[sent:]
        self._update_watch()

    def _begin_write(self) -> bool:
        """Check the new connection, and that the request may still be sent."""
        if self._channel.is_new:
            code = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self._fail(_judge_connect(code))
                return False
            self._timer.close()
            self._timer = self._loop.call_later(self._timeout, self._on_timeout)
        if self._request.may_send is not None and not self._request.may_send():
            self._fail(SendingRevoked())
            return False
        return True

    def _judge_loss(self, error: OSError | None = None) -> RoadliftError:
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
            self._fail(self._judge_loss(error))
            return
        if not data:
            self._on_end_of_input()
            return
        self._has_progress = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            # What follows a whole answer belongs to no request.
            self._is_spoilt = True
            if not self._whole:
                self._pass_body()
                self._fail(ConnectionLost(f"answer is not HTTP: {error}"))
                return
        self._pass_body()

    def _on_end_of_input(self) -> None:
        if self._ends_with_close and not self._is_skipping:
            self._whole = self._is_spoilt = True
            self._pass_body()
            return
        self._fail(self._judge_loss())

    def _on_timeout(self) -> None:
        if self._has_progress or not self._reading:
            # Looking again once a timeout is cheaper than a timer a chunk.
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

    # The answer, from the parser.

    def on_message_begin(self) -> None:
        """Begin an answer; one behind the whole answer spoils the channel."""
        if self._whole:
            self._is_spoilt = True
            return
        self._headers = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        if not self._whole:
            lowered = name.decode("latin-1").lower()
            add_header(self._headers, lowered, value.decode("latin-1"))

    def on_headers_complete(self) -> None:
        """Pass the head on, if it answers this request."""
        status = self._parser.get_status_code()
        if self._whole or status < 200:
            return
        self._status = status
        headers = self._headers
        self._is_skipping = not self._is_ours(status, headers)
        has_length = "content-length" in headers or "transfer-encoding" in headers
        self._ends_with_close = not has_length and status not in _BODILESS_STATUSES
        if self._is_skipping:
            self._is_spoilt = True
            return
        self._receiver.receive_head(status, headers)
        if self._request.method == "HEAD":
            self._whole = self._is_spoilt = True

    def on_body(self, data: bytes) -> None:
        """Take the bytes of one chunk."""
        if not self._whole and not self._is_skipping:
            self._chunks.append(data)

    def on_message_complete(self) -> None:
        """Learn that an answer is whole."""
        is_interim = self._parser.get_status_code() < 200
        if not is_interim and not self._is_skipping:
            self._whole = True

    def _is_ours(self, status: int, headers: Mapping[str, str]) -> bool:
        """Tell whether an answer repeats what this request sent.

        A refusal without the header is taken, as an endpoint that refuses
        early may not have read so far.
        """
        if self._request.echo is None:
            return True
        name, expected = self._request.echo
        default = "" if status < 400 else expected
        return headers.get(name, default) == expected

    def _pass_body(self) -> None:
        if self._socket is None:
            return
        if self._chunks:
            data = self._chunks[0] if len(self._chunks) == 1 else b"".join(self._chunks)
            self._chunks.clear()
            self._receiver.receive_body(data)
        if self._whole and self._socket is not None:
            self._release()
            self._receiver.receive_end()

    def _release(self) -> None:
        """Keep the connection for another call, where it is clean."""
        is_closing = has_token(self._headers.get("connection", ""), "close")
        is_kept = self._request.kept_for and not is_closing
        if not is_kept or self._is_spoilt or self._out:
            self.close()
            return
        self._timer.close()
        self._loop.unwatch(self._socket.fileno())
        self._socket = None
        self._pool.give(self._channel, read_keep_alive(self._headers))


def _judge_connect(code: int) -> EndpointUnreachable:
    """Return the failure that an error of a new connection stands for."""
    kind = ConnectionRefused if code == errno.ECONNREFUSED else EndpointUnreachable
    return kind(errno.errorcode.get(code, ""))


def read_keep_alive(headers: Mapping[str, str]) -> float | None:
    """Return how many seconds the far side keeps an idle connection."""
    for part in headers.get("keep-alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return float(value)
    return None


class Answer(NamedTuple):
    """A whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes


class WholeAnswer:
    """A receiver that gathers a bounded answer and passes it on once."""

    def __init__(
        self,
        on_answer: Callable[[Answer], None],
        on_error: Callable[[RoadliftError], None],
        limit: int = 64 * 1024 * 1024,
    ) -> None:
        self._on_answer = on_answer
        self._on_error = on_error
        self._limit = limit
        self._status = 0
        self._headers: dict[str, str] = {}
        self._body = bytearray()

    def receive_head(self, status: int, headers: dict[str, str]) -> None:
        """Keep the head."""
        self._status = status
        self._headers = headers

    def receive_body(self, data: bytes) -> None:
        """Gather the body up to the limit."""
        self._body += data[: self._limit - len(self._body)]

    def receive_end(self) -> None:
        """Pass the whole answer on."""
        self._on_answer(Answer(self._status, self._headers, bytes(self._body)))

    def receive_error(self, error: RoadliftError) -> None:
        """Pass the failure on."""
        self._on_error(error)


class Line(Protocol):
    """A call in flight, as its receiver holds it.

    ``written`` tells whether a byte of the request was written.
    """

    written: bool

    def close(self) -> None:
        """Cancel the call."""

    def pause(self) -> None:
        """Stop reading the answer for a while."""

    def resume(self) -> None:
        """Read the answer again."""


class Dialer(Protocol):
    """What opens calls; tests put endpoints in memory behind it."""

    def open(
        self, address: Address, request: Request, receiver: Receiver, timeout: float
    ) -> Line:
        """Start a call whose answer the receiver gets, never at once."""


class SocketDialer:
    """Opens calls on sockets, kept ones where the request allows it."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self.pool = Pool(loop)

    def open(
        self, address: Address, request: Request, receiver: Receiver, timeout: float
    ) -> Call:
        """Start a call whose answer the receiver gets."""
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
) -> Line:
    """Start a call that gathers its whole answer, and return it."""
    return dialer.open(address, request, WholeAnswer(on_answer, on_error), timeout)
