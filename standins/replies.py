"""Hold an answer of a stand-in, and how long it is on its way."""

from typing import NamedTuple

DELAY = 0.002  # Seconds of a request's way and of its answer's way.


class Reply(NamedTuple):
    """An answer; status 0 is a connection that closes without one."""

    status: int
    headers: dict[str, str] = {}
    body: bytes = b""
