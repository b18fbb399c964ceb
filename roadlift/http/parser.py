"""Parse the requests of one connection with llhttp, strictly.

The parser of circuits.web accepts repeated lengths, bare line feeds and
headers of unlimited size, and loses pipelined requests; llhttp is strict. See
docs/topics/house-style.md.
"""

from collections import deque

import httptools

from roadlift.core.errors import (
    HeaderTooLarge,
    InvalidRequest,
    RequestTooLarge,
    RoadliftError,
)
from roadlift.http.messages import (
    Headers,
    HttpLimits,
    ReceivedRequest,
    add_header,
    has_token,
)

_FIELD_OVERHEAD = 4  # Bytes for a colon, a space and CRLF.
# Bytes of memory that a request takes beside its text, and that each of its
# fields takes: the mapping, and two strings.
REQUEST_COST = 1024
FIELD_COST = 160
ITEM_COST = 160  # Bytes of an item in a field that lists some, once it is read.
GROWTH = 1.125  # Memory of a body that grows, as a part of its bytes.


class ParsedRequest:
    """A complete request, and whether its connection may stay open.

    ``size`` are the bytes of memory that it takes.
    """

    __slots__ = ("keep_alive", "received", "size", "version")

    def __init__(
        self, received: ReceivedRequest, version: str, keep_alive: bool, size: int
    ) -> None:
        self.received = received
        self.version = version
        self.keep_alive = keep_alive
        self.size = size


class RequestParser:
    """Parses bytes into complete requests; an error ends the connection.

    ``requests`` holds the parsed requests that are not handled yet; ``error``
    is the parse error after them, if any. ``wants_continue`` is set while a
    caller waits for an interim answer before it sends its body.
    """

    def __init__(self, limits: HttpLimits) -> None:
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self._method = ""
        self._url = b""
        self._headers: Headers = {}
        self._body: bytes | bytearray = b""
        self._body_bytes = 0
        self._head_bytes = 0
        self._unfinished = 0
        self.requests: deque[ParsedRequest] = deque()
        self.error: RoadliftError | None = None
        self.in_head = False
        self.in_body = False
        self.wants_continue = False

    @property
    def is_idle(self) -> bool:
        """Return whether no request has been started."""
        return not self.in_head and not self.in_body

    @property
    def missing_bytes(self) -> int | None:
        """Return the bytes that the request lacks, or None if unknown."""
        length = self._headers.get("content-length", "")
        if not self.in_body or not length.isdigit():
            return None
        return int(length) - self._body_bytes

    @property
    def held(self) -> int:
        """Return the bytes of memory that are held for requests."""
        waiting = sum(request.size for request in self.requests)
        if self.is_idle:
            return waiting
        return waiting + self._unfinished + self._measure_request()

    def _measure_request(self) -> int:
        """Return the bytes of memory that the current request takes."""
        head = 2 * self._head_bytes + FIELD_COST * len(self._headers)
        return REQUEST_COST + head + int(GROWTH * self._body_bytes)

    def _count_items(self) -> int:
        """Return the number of items that fields list, with commas."""
        return sum(value.count(",") for value in self._headers.values())

    def close(self) -> None:
        """Drop everything; nothing is parsed any more.

        The parser refers to its callbacks, so that nothing else would return
        what is held before the collector of cycles does.
        """
        self._parser = None
        self._body = b""
        self._body_bytes = self._head_bytes = self._unfinished = 0
        self._headers = {}
        self.requests.clear()
        self.in_head = self.in_body = False

    def feed(self, data: bytes) -> None:
        """Parse bytes; results are in ``requests`` and ``error``."""
        if self.error is not None or self._parser is None:
            return
        before = len(self.requests)
        body_before = self._body_bytes
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse_upgrade()
        except httptools.HttpParserError as error:
            if self.error is None:
                self.error = InvalidRequest(f"malformed HTTP/1.1 request: {error}")
        is_behind_others = len(self.requests) > before
        if self.is_idle or self.error is not None or is_behind_others:
            return
        if self._body_bytes > body_before:
            self._unfinished = 0
            return
        # The library itself keeps an unfinished field, of a trailer as well.
        self._unfinished += len(data)
        if self._unfinished > self._limits.header_bytes:
            self.error = self._make_large_head_error()

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._url = b""
        self._headers = {}
        self._body = b""
        self._body_bytes = 0
        self._head_bytes = 0
        self._unfinished = 0
        self.in_head = True

    def on_url(self, url: bytes) -> None:
        """Append to the target."""
        self._url += url
        self._head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a field of the head; only check the size of a trailer field."""
        self._head_bytes += len(name) + len(value) + _FIELD_OVERHEAD
        self._check_head(self._head_bytes)
        if not self.in_head:
            # A trailer field is not merged into the head (RFC 9110, 6.5.1).
            return
        decoded = name.decode("latin-1").lower()
        if not add_header(self._headers, decoded, value.decode("latin-1")):
            self._raise(InvalidRequest(f"{decoded} must not be repeated"))

    def on_headers_complete(self) -> None:
        """Check the head before the body is read."""
        self.in_head = False
        self.in_body = True
        self._unfinished = 0
        self._method = self._parser.get_method().decode("latin-1")
        if "host" not in self._headers and self._parser.get_http_version() == "1.1":
            self._raise(InvalidRequest("the Host field is missing"))
        length = self._headers.get("content-length", "0")
        if length.isdigit() and int(length) > self._limits.body_bytes:
            self._raise(RequestTooLarge(f"{length} bytes"))
        expected = self._headers.pop("expect", "")
        self.wants_continue = has_token(expected, "100-continue")

    def on_body(self, data: bytes) -> None:
        """Append body bytes, up to the limit."""
        self.wants_continue = False
        self._body_bytes += len(data)
        if self._body_bytes > self._limits.body_bytes:
            self._raise(RequestTooLarge(f"over {self._limits.body_bytes} bytes"))
        if not self._body:
            self._body = data
            return
        if isinstance(self._body, bytes):
            self._body = bytearray(self._body)
        self._body += data

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        self.in_body = False
        self.wants_continue = False
        target = self._read_target()
        connection = self._headers.get("connection", "")
        version = self._parser.get_http_version()
        keep_alive = version == "1.1" and not has_token(connection, "close")
        size = self._measure_request() + ITEM_COST * self._count_items()
        body, self._body = bytes(self._body), b""
        received = ReceivedRequest(self._method, target, self._headers, body)
        self.requests.append(ParsedRequest(received, version, keep_alive, size))

    def _read_target(self) -> str:
        """Return the path and query of an origin or absolute form."""
        target = self._url.decode("latin-1")
        if target.startswith("/"):
            return target
        try:
            parsed = httptools.parse_url(self._url)
        except httptools.HttpParserInvalidURLError:
            parsed = None
        if parsed is None or not parsed.schema:
            self._raise(InvalidRequest(f"the target {target!r} is not a path"))
        path = (parsed.path or b"/").decode("latin-1")
        query = parsed.query
        return f"{path}?{query.decode('latin-1')}" if query is not None else path

    def _refuse_upgrade(self) -> None:
        """Serve an upgrade request without upgrading, and close after it."""
        if self._method == "CONNECT":
            self.requests.pop()
            self.error = InvalidRequest("CONNECT is not supported")
            return
        self.requests[-1].keep_alive = False

    def _check_head(self, size: int) -> None:
        if size > self._limits.header_bytes:
            self._raise(self._make_large_head_error())

    def _make_large_head_error(self) -> HeaderTooLarge:
        return HeaderTooLarge(f"over {self._limits.header_bytes} bytes")

    def _raise(self, error: RoadliftError) -> None:
        """Record the first error; raising it stops the parser."""
        if self.error is None:
            self.error = error
        raise error
