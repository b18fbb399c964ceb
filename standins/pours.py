"""Pour bytes without end on a connection, in place of an answer."""

import enum
from collections.abc import Mapping
from typing import NamedTuple

from roadlift.http.connection import Connection

PIECE = 65536  # Bytes that are written at once.
_LINES = (b"X-Fill: " + b"x" * 1000 + b"\r\n") * 60
_FILL = b"x" * PIECE
_OK = b"HTTP/1.1 200 OK\r\n"


class Pour(enum.StrEnum):
    """What does not end."""

    LINES = "lines"
    LINE = "line"
    INTERIM = "interim"
    OTHER = "other"
    FAILURE = "failure"
    REFUSAL = "refusal"
    BODY = "body"


class Heads(NamedTuple):
    """The headers that tell a refusal, and a success, from other answers."""

    refusal: Mapping[str, str]
    success: Mapping[str, str]


def _make_start(kind: Pour, call_id: str, heads: Heads) -> bytes:
    """Return what an answer begins with."""
    own = {"Request-Id": call_id}
    starts = {
        Pour.LINES: _OK,
        Pour.LINE: _OK + b"X-Fill: ",
        Pour.INTERIM: b"",
        Pour.OTHER: _OK + _encode({"Request-Id": "other"}),
        Pour.FAILURE: b"HTTP/1.1 500 Failed\r\n" + _encode(own),
        Pour.REFUSAL: b"HTTP/1.1 503 Busy\r\n" + _encode({**own, **heads.refusal}),
        Pour.BODY: _OK + _encode({**own, **heads.success}),
    }
    return starts[kind]


def _encode(headers: Mapping[str, str]) -> bytes:
    lines = [f"{name}: {value}\r\n" for name, value in headers.items()]
    return "".join([*lines, "\r\n"]).encode()


_NEXT = {
    Pour.LINES: _LINES,
    Pour.INTERIM: b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2000,
}


class Pourer:
    """Writes to a connection for as long as it is open."""

    def __init__(
        self, kind: Pour, call_id: str, heads: Heads, caller: Connection
    ) -> None:
        self._start = _make_start(kind, call_id, heads)
        self._next = _NEXT.get(kind, _FILL)
        self._caller = caller
        self._is_open = True

    def start(self) -> None:
        """Write as much as the connection takes, now and whenever it does."""
        self._caller.on_gone = self.close
        self._caller.on_drained = self._write
        self._caller._send(self._start)
        self._write()

    def close(self) -> None:
        """Stop."""
        self._is_open = False

    def _write(self) -> None:
        while self._is_open and not self._caller.is_full:
            self._caller._send(self._next)
