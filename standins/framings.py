"""Answers of runners that have neither a length nor chunks."""

from typing import NamedTuple

CHUNKED = {"transfer-encoding": "chunked"}


class Unframed(NamedTuple):
    """A fault: an answer ends with its connection, maybe before its end.

    ``size`` is the number of body bytes behind which it ends, or None if it
    is whole. The connection is closed in order, or reset.
    """

    size: int | None = None
    is_reset: bool = False

    def find_rest(self, sent: int, data: bytes) -> bytes | None:
        """Return what is made of the next bytes, or None if all of them.

        ``sent`` is the number of body bytes before them.
        """
        if self.size is None or sent + len(data) <= self.size:
            return None
        return data[: self.size - sent]
