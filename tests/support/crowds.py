"""Write what clients that don't behave send, and play many of them at once.

Most stop just short of the end of what they send and stay open. A crowd has
settled once each of its clients has sent all it has or was closed, and the
instance has read it, or no byte was taken for a while.
"""

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterator
from typing import NamedTuple

from roadlift.relay.address import Address

SILENCE = 3.0  # Seconds without a byte taken after which a crowd has settled.
QUIET = 1.0  # The same, where nothing is left in a queue either.
LOOK_PERIOD = 0.1  # Seconds between looks whether it has.
READ_SIZE = 65536
PIECE = 65536  # Bytes that a client hands to its socket at once.
SMALL_BUFFER = 4096  # Bytes that the socket of one that reads nothing keeps.
TEXT = b"y"
LIST = b",[]"
CLIENT = b"crowd%05d"  # In what a client sends, its own name.


class Sent(NamedTuple):
    """What a client sends: pieces, each some times over.

    One that ``reads`` takes what it is answered; the others leave it in their
    sockets.
    """

    pieces: tuple[tuple[bytes, int], ...]
    reads: bool = True

    def iterate(self, number: int) -> Iterator[bytes]:
        """Yield the bytes of a client in pieces of a bounded size."""
        name = CLIENT % number
        for numbered, times in self.pieces:
            piece = numbered.replace(CLIENT, name)
            each = max(1, PIECE // len(piece))
            block = piece * min(each, times)
            for _ in range(times // each):
                yield block
            if times % each:
                yield piece * (times % each)


def write_head(path: str, *fields: str, method: str = "POST") -> bytes:
    """Write the head of a request."""
    lines = [f"{method} {path} HTTP/1.1", "Host: h.example", *fields, "", ""]
    return "\r\n".join(lines).encode()


def send_chunks(path: str, size: int, total: int, *fields: str) -> Sent:
    """Send a body in chunks of a size, without the last one."""
    head = write_head(path, "Transfer-Encoding: chunked", *fields)
    chunk = b"%x\r\n%b\r\n" % (size, TEXT * size)
    return Sent(((head, 1), (chunk, total // size)))


def send_trailer(path: str, begin: bytes, total: int, *fields: str) -> Sent:
    """Send a whole body in chunks, and a trailer that does not end."""
    head = write_head(path, "Transfer-Encoding: chunked", *fields)
    return Sent(((head + b"1\r\ny\r\n0\r\n" + begin, 1), (TEXT, total)))


def send_length(path: str, total: int, missing: int, *fields: str) -> Sent:
    """Send a body with a length, of which some bytes are missing."""
    head = write_head(path, f"Content-Length: {total}", *fields)
    return Sent(((head, 1), (TEXT, total - missing)))


def send_lists(path: str, total: int, *fields: str) -> Sent:
    """Send a whole body in JSON that is made of empty lists."""
    begin, end = b'{"model": "ad-00000@1", "prompt": [[]', b"]}"
    times = (total - len(begin) - len(end)) // len(LIST)
    length = len(begin) + times * len(LIST) + len(end)
    head = write_head(path, f"Content-Length: {length}", *fields)
    return Sent(((head + begin, 1), (LIST, times), (end, 1)))


def send_short_fields(path: str, total: int) -> Sent:
    """Send a head of very short fields that does not end."""
    field = b"%c%c:\r\n"
    letters = b"abcdefghijklmnopqrstuvwxyz0123456789"
    fields = [field % (a, b) for a in letters for b in letters]
    many = b"".join(fields * (total // (len(fields) * len(fields[0])) + 1))
    return Sent(((write_head(path)[:-2] + many[:total], 1),))


def send_row(path: str, count: int, *fields: str) -> Sent:
    """Send small requests, one behind the other."""
    head = write_head(path, *fields, method="GET")
    return Sent(((head, count),))


def send_behind(path: str, size: int, *fields: str) -> Sent:
    """Send one request, and bytes of an upload behind it."""
    first = write_head(path, *fields, method="GET")
    second = write_head(path, f"Content-Length: {2 * size}", *fields)
    return Sent(((first + second, 1), (TEXT, size)))


def ask_unread(path: str, *fields: str) -> Sent:
    """Ask for an answer that is never read."""
    return Sent(((write_head(path, *fields, method="GET"), 1),), reads=False)


class Crowd:
    """Clients that all send the same, on a connection each.

    ``count_queued`` returns the bytes that the kernel holds for the instance.
    """

    def __init__(
        self, address: Address, sent: Sent, count_queued: Callable[[], int]
    ) -> None:
        self._address = address
        self._sent = sent
        self._count_queued = count_queued
        self._sockets: list[socket.socket] = []
        self._tasks: list[asyncio.Task] = []
        self._moved = 0
        self._statuses: dict[int, int] = {}
        self.closed = 0

    async def start(self, count: int) -> None:
        """Begin to send, and return once the crowd has settled."""
        for number in range(count):
            task = asyncio.create_task(self._run_client(number))
            self._tasks.append(task)
        loop = asyncio.get_running_loop()
        before, since, patience = (-1, -1), loop.time(), SILENCE
        while loop.time() - since < patience:
            _, pending = await asyncio.wait(self._tasks, timeout=LOOK_PERIOD)
            queued = self._count_queued()
            patience = SILENCE if pending or queued else QUIET
            if (self._moved, queued) != before:
                before, since = (self._moved, queued), loop.time()
            await asyncio.sleep(LOOK_PERIOD)

    def close(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        for sock in self._sockets:
            sock.close()
        self._sockets.clear()

    async def _run_client(self, number: int) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sockets.append(sock)
        sock.setblocking(False)
        if not self._sent.reads:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            await loop.sock_connect(sock, self._address)
            self._moved += 1
            for piece in self._sent.iterate(number):
                await loop.sock_sendall(sock, piece)
                self._moved += len(piece)
                if self._sent.reads and self._is_closed(number, sock):
                    break

    def _is_closed(self, number: int, sock: socket.socket) -> bool:
        """Read what there is; return whether the far side has closed."""
        try:
            while data := sock.recv(READ_SIZE):
                self._moved += len(data)
                if number not in self._statuses and data.startswith(b"HTTP/1.1 "):
                    self._statuses[number] = int(data.split(b" ", 2)[1])
        except OSError as error:
            return not isinstance(error, BlockingIOError)
        self.closed += 1
        return True

    def list_statuses(self) -> list[tuple[str, int]]:
        """Return the clients that were answered, and their statuses."""
        for number, sock in enumerate(self._sockets):
            self._is_closed(number, sock)
        return [
            ((CLIENT % number).decode(), status)
            for number, status in self._statuses.items()
        ]


async def play_waves(make_crowd: Callable[[], Crowd], count: int, waves: int) -> None:
    """Play a crowd some times over, each closed before the next one."""
    for _ in range(waves):
        crowd = make_crowd()
        await crowd.start(count)
        crowd.close()
