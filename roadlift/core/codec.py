"""Encode typed messages between instances with msgpack.

A message is a NamedTuple registered under a short tag. On the wire stand the
tag and the fields in order. While a release is rolled out, peers of two
releases talk to each other for minutes: further fields come last and have
defaults, which stand for those that a message lacks, and fields that are not
known are passed over. A message of an unknown tag raises UnknownMessage, one
that lacks a field without a default MalformedMessage.
"""

from collections.abc import Sequence
from typing import Any, NamedTuple, TypeVar

import msgpack

from roadlift.core.errors import (
    ImproperlyConfigured,
    MalformedMessage,
    UnknownMessage,
)

Message = TypeVar("Message", bound=type)
Fields = TypeVar("Fields", bound=tuple)

_types: dict[str, type] = {}
_tags: dict[type, str] = {}


class Envelope(NamedTuple):
    """A message with its sender.

    ``sender`` names the process that sent it, not only its instance; a
    restarted process is another sender.
    """

    sender: str
    message: Any


def message(tag: str):
    """Return a decorator that registers a message type under ``tag``."""

    def add(kind: Message) -> Message:
        """Register the type."""
        if tag in _types:
            raise ImproperlyConfigured(f"message tag {tag!r} is registered twice")
        _types[tag] = kind
        _tags[kind] = tag
        return kind

    return add


def list_messages() -> dict[str, type]:
    """Return the registered message types by tag."""
    return dict(_types)


def encode(envelope: Envelope) -> bytes:
    """Return the bytes of a message and its sender."""
    body = envelope.message
    return msgpack.packb([envelope.sender, _tags[type(body)], *body])


def decode(data: bytes) -> Envelope:
    """Read the bytes of ``encode`` or raise MalformedMessage."""
    try:
        sender, tag, *fields = msgpack.unpackb(data, use_list=True)
        kind = _types.get(tag)
        found = None if kind is None else read_fields(kind, fields)
    except Exception as error:
        raise MalformedMessage(repr(error)) from error
    if found is None:
        raise UnknownMessage(str(tag))
    return Envelope(sender, found)


def read_fields(kind: type[Fields], fields: Sequence) -> Fields:
    """Return a named tuple of fields as a peer of any release sends them."""
    return kind(*fields[: len(kind._fields)])
