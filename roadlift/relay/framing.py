"""Tell how the end of an answer's body is found (RFC 9112, section 6.3)."""

import enum
from collections.abc import Mapping


class Framing(enum.StrEnum):
    """What ends the body of an answer.

    One that ends with its connection is complete as far as HTTP can tell;
    only its content can show that it was broken off.
    """

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


def find_framing(headers: Mapping[str, str]) -> Framing:
    """Return the framing that headers tell, with names in lower case."""
    if "transfer-encoding" in headers:
        return Framing.CHUNKS
    return Framing.LENGTH if "content-length" in headers else Framing.CLOSE
