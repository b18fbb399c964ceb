"""Read and write rows and objects over HTTP.

Rows are accessed with the conditional requests of RFC 9110: a row's ETag is
its version, ``If-None-Match: *`` inserts if absent, ``If-Match`` compares and
sets. The daemon uses ``LoopStore`` on its event loop, the command-line tool
``DirectStore``. Both fail with PlatformUnavailable, after which it is unknown
whether a write took effect, or VersionConflict, after which it did not.
"""

import http.client
from collections.abc import Callable
from typing import NamedTuple, Protocol
from urllib.parse import quote

from roadlift.core.errors import PlatformUnavailable, RoadliftError, VersionConflict
from roadlift.relay.address import Address
from roadlift.relay.upstream import Answer, Dialer, Request, fetch

# Bytes of an object at most: a bundle of many thousand adapters.
MAX_OBJECT = 67108864
ABSENT = ""  # The version of a row that does not exist.


class Row(NamedTuple):
    """A row's value and version; an absent row has version ABSENT."""

    value: bytes
    version: str


OnRow = Callable[[Row], None]
OnError = Callable[[RoadliftError], None]


class Store(Protocol):
    """The non-blocking interface of the table service and object store."""

    def read_row(self, key: str, on_row: OnRow, on_error: OnError) -> None:
        """Read a row; an absent one has version ABSENT."""

    def write_row(
        self, key: str, value: bytes, expected: str, on_row: OnRow, on_error: OnError
    ) -> None:
        """Write a row if its version is still ``expected``."""

    def read_object(self, digest: str, on_row: OnRow, on_error: OnError) -> None:
        """Read an immutable object."""

    def write_object(
        self, digest: str, value: bytes, on_row: OnRow, on_error: OnError
    ) -> None:
        """Write an immutable object; writing it again changes nothing."""


def build_read(key: str) -> Request:
    """Return the request that reads a row."""
    return Request("GET", f"/table/{quote(key)}")


def build_write(key: str, value: bytes, expected: str) -> Request:
    """Return the request that writes a row at an expected version."""
    header = {"If-Match": expected} if expected else {"If-None-Match": "*"}
    return Request("PUT", f"/table/{quote(key)}", header, value)


def build_object_read(digest: str) -> Request:
    """Return the request that reads an object."""
    return Request("GET", f"/objects/{digest}")


def build_object_write(digest: str, value: bytes) -> Request:
    """Return the request that writes an object."""
    return Request("PUT", f"/objects/{digest}", {}, value)


def parse_answer(answer: Answer) -> Row:
    """Parse an answer of the platform into a row, or raise its error."""
    if answer.status == 404:
        return Row(b"", ABSENT)
    if answer.status == 412:
        raise VersionConflict()
    if answer.status not in (200, 201, 204):
        raise PlatformUnavailable(f"status {answer.status}")
    return Row(answer.body, answer.headers.get("etag", ABSENT))


class LoopStore:
    """Non-blocking client for the daemon; counts its reads and writes."""

    def __init__(self, dialer: Dialer, address: Address, timeout: float) -> None:
        self._dialer = dialer
        self._address = address
        self._timeout = timeout
        self.reads = 0
        self.writes = 0

    def read_row(self, key: str, on_row: OnRow, on_error: OnError) -> None:
        """Read a row; an absent one has version ABSENT."""
        self.reads += 1
        self._call(build_read(key), on_row, on_error)

    def write_row(
        self, key: str, value: bytes, expected: str, on_row: OnRow, on_error: OnError
    ) -> None:
        """Write a row if its version is still ``expected``."""
        self.writes += 1
        self._call(build_write(key, value, expected), on_row, on_error)

    def read_object(self, digest: str, on_row: OnRow, on_error: OnError) -> None:
        """Read an immutable object."""
        self.reads += 1
        self._call(build_object_read(digest), on_row, on_error)

    def write_object(
        self, digest: str, value: bytes, on_row: OnRow, on_error: OnError
    ) -> None:
        """Write an immutable object; writing it again changes nothing."""
        self.writes += 1
        self._call(build_object_write(digest, value), on_row, on_error)

    def _call(self, request: Request, on_row: OnRow, on_error: OnError) -> None:
        def receive(answer: Answer) -> None:
            """Pass the row or the error of the answer to the caller."""
            try:
                row = parse_answer(answer)
            except RoadliftError as error:
                on_error(error)
                return
            on_row(row)

        def fail(error: RoadliftError) -> None:
            """Report that the result of the call is unknown."""
            on_error(PlatformUnavailable(str(error)))

        timeout = self._timeout
        fetch(self._dialer, self._address, request, receive, fail, timeout, MAX_OBJECT)


class BlockingStore:
    """The blocking interface of the platform's stores.

    A subclass defines ``_call``, which sends a request and returns its row.
    """

    def read_row(self, key: str) -> Row:
        """Read a row; an absent one has version ABSENT."""
        return self._call(build_read(key))

    def write_row(self, key: str, value: bytes, expected: str) -> Row:
        """Write a row if its version is still ``expected``."""
        return self._call(build_write(key, value, expected))

    def read_object(self, digest: str) -> Row:
        """Read an immutable object."""
        return self._call(build_object_read(digest))

    def write_object(self, digest: str, value: bytes) -> Row:
        """Write an immutable object."""
        return self._call(build_object_write(digest, value))

    def _call(self, request: Request) -> Row:
        raise NotImplementedError


class DirectStore(BlockingStore):
    """Blocking HTTP client for the command-line tool."""

    def __init__(self, address: Address, timeout: float = 5.0) -> None:
        self._address = address
        self._timeout = timeout

    def _call(self, request: Request) -> Row:
        return parse_answer(call_directly(self._address, request, self._timeout))


def call_directly(address: Address, request: Request, timeout: float) -> Answer:
    """Send a request and block; raise PlatformUnavailable on failure."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        connection.request(request.method, request.path, request.body, request.headers)
        response = connection.getresponse()
        headers = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, headers, response.read())
    except (OSError, http.client.HTTPException) as error:
        raise PlatformUnavailable(f"{address}: {error}") from error
    finally:
        connection.close()
