"""Read and write the rows that tell what began streams."""

from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

import msgpack

from roadlift.core.errors import MalformedMessage
from roadlift.decisions.declarations import Declaration
from roadlift.decisions.origins import DIGEST_BYTES, Origin

SOFTWARE_TABLE = "roadlift_software"  # A row a service: what is declared.
STREAM_TABLE = "roadlift_streams"  # Streams, in a ring of rows a zone.
_SEPARATOR = "/"  # Between a zone and a slot of its ring.
_UNREADABLE = (TypeError, ValueError, msgpack.exceptions.UnpackException)

Stream = tuple[bytes, Origin]


class Slot(NamedTuple):
    """A row of the ring that the owner of a zone writes."""

    zone: str
    number: int

    @property
    def key(self) -> str:
        """Return the key of the row."""
        return f"{self.zone}{_SEPARATOR}{self.number}"


def read_slot(key: str) -> Slot:
    """Return the slot of a row's key, or raise MalformedMessage."""
    zone, _, number = key.rpartition(_SEPARATOR)
    if not number.isdecimal():
        raise MalformedMessage(f"key {key!r}")
    return Slot(zone, int(number))


def encode_declaration(declaration: Declaration) -> bytes:
    """Return the value of a service's row."""
    versions, since, era = declaration
    return msgpack.packb([sorted(versions), since, era])


def read_declaration(value: bytes) -> Declaration:
    """Return the content of a service's row, or raise MalformedMessage."""
    try:
        versions, since, era = msgpack.unpackb(value)
        return Declaration(frozenset(map(str, versions)), float(since), int(era))
    except _UNREADABLE as error:
        raise MalformedMessage(repr(error)) from error


def encode_streams(streams: Iterable[Stream]) -> bytes:
    """Return the value of a row with streams."""
    return msgpack.packb(group_streams(streams))


def group_streams(streams: Iterable[Stream]) -> list[list]:
    """Return service, software and joined digests of each origin."""
    digests: dict[Origin, list[bytes]] = defaultdict(list)
    for digest, origin in streams:
        digests[origin].append(digest)
    return [[*origin, b"".join(found)] for origin, found in digests.items()]


def read_streams(value: bytes) -> list[Stream]:
    """Return the streams of a row, or raise MalformedMessage."""
    try:
        return split_streams(msgpack.unpackb(value))
    except _UNREADABLE as error:
        raise MalformedMessage(repr(error)) from error


def split_streams(groups: Iterable[list]) -> list[Stream]:
    """Return the streams that were grouped, or raise MalformedMessage."""
    found: list[Stream] = []
    try:
        for service, software, digests in groups:
            if not isinstance(digests, bytes):
                raise TypeError(f"digests: {type(digests).__name__}")
            origin = Origin(str(service), str(software))
            starts = range(0, len(digests), DIGEST_BYTES)
            found += [(digests[one : one + DIGEST_BYTES], origin) for one in starts]
    except (TypeError, ValueError) as error:
        raise MalformedMessage(repr(error)) from error
    return found
