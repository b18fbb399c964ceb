"""Keep what a caller has sent, and parse one request of it at a time.

Bytes behind a complete request stay unparsed until it is answered: a parsed
request takes many times the memory of its text.
"""

from collections import deque

from roadlift.core.errors import RoadliftError
from roadlift.http.messages import HttpLimits
from roadlift.http.parser import ParsedRequest, RequestParser

# Bytes that are parsed at once where the end of the request is not known.
SLICE_SIZE = 1024


class Intake:
    """The received bytes of one connection, and the requests in them."""

    def __init__(self, limits: HttpLimits) -> None:
        self._parser = RequestParser(limits)
        self._unparsed = bytearray()

    @property
    def requests(self) -> deque[ParsedRequest]:
        """Return the complete requests that are not handled yet."""
        return self._parser.requests

    @property
    def error(self) -> RoadliftError | None:
        """Return the error that ends the requests, if any."""
        return self._parser.error

    @property
    def is_idle(self) -> bool:
        """Return whether no request has been started or waits."""
        return not (self.has_input or self.error) and self._parser.is_idle

    @property
    def is_between(self) -> bool:
        """Return whether no request is being parsed."""
        return self._parser.is_idle

    @property
    def has_input(self) -> bool:
        """Return whether there are requests or bytes to go on with."""
        return bool(self._unparsed or self._parser.requests)

    @property
    def in_head(self) -> bool:
        """Return whether a head is being parsed."""
        return self._parser.in_head

    @property
    def in_body(self) -> bool:
        """Return whether a body is being parsed."""
        return self._parser.in_body

    @property
    def missing_bytes(self) -> int | None:
        """Return the bytes that the request lacks, or None if unknown."""
        return self._parser.missing_bytes

    @property
    def unparsed(self) -> int:
        """Return the number of bytes that were not parsed yet."""
        return len(self._unparsed)

    @property
    def held(self) -> int:
        """Return the bytes of memory that are held."""
        return len(self._unparsed) + self._parser.held

    def add(self, data: bytes) -> None:
        """Keep received bytes, to be parsed later."""
        self._unparsed += data

    def take_continue(self) -> bool:
        """Return, once, whether the caller waits for an interim answer."""
        is_wanted = self._parser.wants_continue
        self._parser.wants_continue = False
        return is_wanted

    def advance(self) -> None:
        """Parse until a request is complete, or nothing is left."""
        while self._unparsed and not self.requests and self.error is None:
            size = max(SLICE_SIZE, self.missing_bytes or 0)
            data = self._unparsed[:size]
            del self._unparsed[:size]
            self._parser.feed(data)

    def close(self) -> None:
        """Drop everything; nothing is parsed any more."""
        self._unparsed = bytearray()
        self._parser.close()
