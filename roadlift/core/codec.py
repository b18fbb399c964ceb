"""Encode typed messages between instances with msgpack.

A message is a NamedTuple registered under a short tag. On the wire stand the
tag and the fields in order; a peer of another version that sends a field too
many or too few is refused as MalformedMessage.
"""

from typing import Any, NamedTuple, TypeVar

import msgpack

from roadlift.core.errors import ImproperlyConfigured, MalformedMessage

Message = TypeVar("Message", bound=type)

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
        return Envelope(sender, _types[tag](*fields))
    except Exception as error:
        raise MalformedMessage(repr(error)) from error
