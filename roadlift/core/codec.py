"""Encode typed messages between instances with msgpack.

A message is a NamedTuple registered under a short tag. It is encoded as its
sender, its tag and its fields in order. While a release is rolled out, peers
of two releases exchange messages for minutes. Therefore new fields are added
last and have defaults, which are used where a message lacks them, and unknown
trailing fields are ignored. A message with an unknown tag raises
UnknownMessage, one that lacks a field without a default MalformedMessage.
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

    ``sender`` identifies the sending process, not only its instance; a
    restarted process is a different sender.
    """

    sender: str
    message: Any


def message(tag: str):
    """Return a decorator that registers a message type under ``tag``."""

    def add(kind: Message) -> Message:
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
    """Encode a message and its sender."""
    body = envelope.message
    return msgpack.packb([envelope.sender, _tags[type(body)], *body])


def decode(data: bytes) -> Envelope:
    """Decode the output of ``encode`` or raise MalformedMessage."""
    try:
        sender, tag, *fields = msgpack.unpackb(data, use_list=True)
        kind = _types.get(tag)
        body = None if kind is None else read_fields(kind, fields)
    except Exception as error:
        raise MalformedMessage(repr(error)) from error
    if body is None:
        raise UnknownMessage(str(tag))
    return Envelope(sender, body)


def read_fields(kind: type[Fields], fields: Sequence) -> Fields:
    """Build a named tuple, ignoring trailing fields of later releases."""
    return kind(*fields[: len(kind._fields)])
