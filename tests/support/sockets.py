"""Drive servers and calls over loopback sockets on a paused clock."""

import socket
import struct

from roadlift.core.clock import ManualClock
from roadlift.core.loop import Loop
from roadlift.http.connection import Connection
from roadlift.http.holdings import Holdings, make_unbounded
from roadlift.http.messages import HttpLimits, ReceivedRequest
from roadlift.http.server import Server
from roadlift.relay.address import Address
from roadlift.relay.upstream import Call, Request, SocketDialer

LIMITS = HttpLimits(
    header_bytes=4096, body_bytes=1000, header_timeout=3.0, idle_timeout=15.0
)
QUIET_ROUNDS = 2  # Polls without anything to do after which all is settled.
CALL_TIMEOUT = 5.0  # Seconds of silence after which a call fails.
POLL = 0.02  # Seconds of one poll; loopback delivers much sooner.


class Driver:
    """A loop on a paused clock, run until nothing more happens."""

    def __init__(self) -> None:
        self.clock = ManualClock(100.0)
        self.loop = Loop(self.clock)

    def settle(self) -> None:
        """Run until the sockets are quiet."""
        quiet = 0
        while quiet < QUIET_ROUNDS:
            quiet = 0 if self.loop.run_once(POLL) else quiet + 1

    def advance(self, seconds: float) -> None:
        """Move the clock in steps, and run what falls due."""
        steps = max(1, round(seconds / 0.25))
        for _ in range(steps):
            self.clock.advance(seconds / steps)
            self.settle()


class EchoHandler:
    """Answers each request with its method, target and body."""

    def __init__(self) -> None:
        self.received: list[ReceivedRequest] = []
        self.callers: list[Connection] = []
        self.gone = 0
        self.is_holding = False

    def handle(self, received: ReceivedRequest, caller: Connection) -> None:
        """Answer at once, or hold the caller."""
        self.received.append(received)
        self.callers.append(caller)
        caller.on_gone = self._count_gone
        if not self.is_holding:
            self.answer(received, caller)

    def answer(self, received: ReceivedRequest, caller: Connection) -> None:
        """Write the echo."""
        text = f"{received.method} {received.target} {received.body.decode()}"
        caller.answer(200, {"Content-Type": "text/plain"}, text.encode())

    def _count_gone(self) -> None:
        self.gone += 1


class Ingress:
    """A server with the echo handler, and raw callers."""

    def __init__(
        self,
        limits: HttpLimits = LIMITS,
        driver: Driver | None = None,
        holdings: Holdings | None = None,
    ) -> None:
        self.driver = driver or Driver()
        self.holdings = holdings or make_unbounded(self.driver.clock)
        self.handler = EchoHandler()
        address = Address("127.0.0.1", 0)
        self.server = Server(
            self.driver.loop, address, self.handler, limits, self.holdings
        )
        self.server.start()

    def close(self) -> None:
        """Close the server."""
        self.server.close()

    def connect(self) -> socket.socket:
        """Open a raw connection."""
        sock = socket.create_connection(("127.0.0.1", self.server.port))
        sock.setblocking(False)
        self.driver.settle()
        return sock

    def send(self, sock: socket.socket, data: bytes, is_split: bool) -> None:
        """Send bytes at once, or one by one."""
        pieces = [data[i : i + 1] for i in range(len(data))] if is_split else [data]
        for piece in pieces:
            try:
                sock.send(piece)
            except (BrokenPipeError, ConnectionResetError):
                return
            self.driver.loop.run_once(POLL)
        self.driver.settle()

    def read(self, sock: socket.socket) -> tuple[bytes, bool]:
        """Return what arrived, and whether the far side has closed."""
        return read_all(sock)


def read_all(sock: socket.socket) -> tuple[bytes, bool]:
    """Return what arrived on a socket, and whether the far side has closed."""
    data = b""
    while True:
        try:
            piece = sock.recv(65536)
        except BlockingIOError:
            return data, False
        except ConnectionResetError:
            return data, True
        if not piece:
            return data, True
        data += piece


class Recorder:
    """Keeps what a call receives."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_whole = False
        self.error: Exception | None = None

    def receive_head(self, status: int, headers: dict[str, str]) -> None:
        """Keep the head."""
        self.status, self.headers = status, dict(headers)

    def receive_body(self, data: bytes) -> None:
        """Keep body bytes."""
        self.body += data

    def receive_end(self) -> None:
        """Note that the answer is whole."""
        assert not self.is_whole and self.error is None
        self.is_whole = True

    def receive_error(self, error: Exception) -> None:
        """Keep the error."""
        assert not self.is_whole and self.error is None
        self.error = error


class Endpoint:
    """A raw far side, whose bytes the test writes."""

    def __init__(self) -> None:
        self.driver = Driver()
        self.dialer = SocketDialer(self.driver.loop)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.accepted: list[socket.socket] = []

    @property
    def address(self) -> Address:
        """Return where calls go."""
        return Address(*self.listener.getsockname()[:2])

    def close(self) -> None:
        """Close every socket."""
        self.dialer.pool.close()
        for sock in [*self.accepted, self.listener]:
            sock.close()

    def open(
        self, request: Request, address: Address | None = None
    ) -> tuple[Call, Recorder]:
        """Start a call and let its request arrive."""
        recorder = Recorder()
        call = self.dialer.open(
            address or self.address, request, recorder, CALL_TIMEOUT
        )
        self.settle()
        return call, recorder

    def settle(self) -> None:
        """Run the loop, and accept what connects."""
        self.driver.settle()
        while True:
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                break
            sock.setblocking(False)
            self.accepted.append(sock)
        self.driver.settle()

    def reply(self, data: bytes, is_split: bool) -> None:
        """Write bytes on the newest connection, at once or one by one."""
        sock = self.accepted[-1]
        pieces = [data[i : i + 1] for i in range(len(data))] if is_split else [data]
        for piece in pieces:
            sock.send(piece)
            self.driver.loop.run_once(POLL)
        self.driver.settle()

    def end(self, how: str) -> None:
        """Close the newest connection, by a FIN or a reset."""
        sock = self.accepted[-1]
        # A close with unread input would be a reset.
        read_all(sock)
        if how == "reset":
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        sock.close()
        self.driver.settle()
