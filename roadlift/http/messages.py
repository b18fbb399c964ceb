"""Requests received by an ingress, their limits and their headers."""

import http
from collections.abc import Mapping
from typing import NamedTuple

_SINGLE = frozenset({"host", "content-length", "transfer-encoding"})
# Headers that apply to a single connection (RFC 9110, section 7.6.1).
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
Headers = dict[str, str]  # Names in lower case; repeated fields are joined.


class HttpLimits(NamedTuple):
    """Size limits of requests in bytes, and timeouts in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 8388608
    header_timeout: float = 5.0
    idle_timeout: float = 60.0


# Those of an address whose requests have no body.
SMALL_LIMITS = HttpLimits(body_bytes=1024, idle_timeout=15.0)


class ReceivedRequest(NamedTuple):
    """A complete request of a caller.

    ``target`` is the path and query as sent; header names are in
    lower case.
    """

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """Return the query without its question mark."""
        return self.target.partition("?")[2]


def add_header(headers: Headers, name: str, value: str) -> bool:
    """Add a field, joining its value to an existing one of the same name.

    Return false if the field is present and must not be repeated.
    """
    if name not in headers:
        headers[name] = value
        return True
    if name in _SINGLE:
        return False
    separator = "; " if name == "cookie" else ", "
    headers[name] = f"{headers[name]}{separator}{value}"
    return True


def drop_hop_by_hop(headers: Mapping[str, str]) -> Headers:
    """Return the fields that an intermediary forwards."""
    named = {
        name.strip().lower()
        for name in headers.get("connection", "").split(",")
        if name
    }
    return {
        name: value
        for name, value in headers.items()
        if name not in _HOP_BY_HOP and name not in named
    }


def has_token(value: str, token: str) -> bool:
    """Return whether a comma-separated field contains a token."""
    return any(part.strip().lower() == token for part in value.split(","))


def get_reason_phrase(status: int) -> str:
    """Return the reason phrase of a status."""
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Status"


def parse_retry_after(headers: Mapping[str, str]) -> int:
    """Return the seconds of a Retry-After field; 0 if absent or a date."""
    text = headers.get("retry-after", "").strip()
    return int(text) if text.isdecimal() else 0
