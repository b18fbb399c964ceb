"""Steps for messages between instances of different releases."""

from pathlib import Path

import msgpack
from behave import then

import roadlift.daemon.front  # noqa: F401  Registers its messages.
import roadlift.instance.ingress  # noqa: F401
from roadlift.core.codec import decode, list_messages
from roadlift.core.errors import MalformedMessage

_FOLDER = Path(__file__).resolve().parent.parent / "core"


def _read_release(name):
    """Return the messages of a release as lists, by tag."""
    lines = (_FOLDER / name).read_text().splitlines()
    pairs = (line.split() for line in lines)
    return {tag: msgpack.unpackb(bytes.fromhex(data)) for tag, data in pairs}


def _find_error(data):
    try:
        decode(data)
    except MalformedMessage as error:
        return error.code
    return None


@then("each message in tests/core/{name} is decoded, with defaults for the rest")
def step_last_release(context, name):
    """Decode the messages of an earlier release."""
    release = _read_release(name)
    for tag, kind in list_messages().items():
        if tag not in release:
            continue
        fields = release[tag][2:]
        message = decode(msgpack.packb(release[tag])).message
        added = kind._fields[len(fields) :]
        assert list(message)[: len(fields)] == fields, tag
        assert all(
            getattr(message, name) == kind._field_defaults[name] for name in added
        ), tag


@then("messages have the fields of tests/core/{name}, and {added}")
def step_same_fields(context, name, added):
    """Check that no other field was added or removed since that release."""
    kinds = list_messages()
    later = [
        f"{tag}: {field}"
        for tag, content in _read_release(name).items()
        for field in kinds[tag]._fields[len(content) - 2 :]
    ]
    assert later == ([] if added == "no other" else added.split(", ")), later
    for tag, content in _read_release(name).items():
        assert len(kinds[tag]._fields) >= len(content) - 2, tag


@then("each message with two further fields is decoded as without them")
def step_later_release(context):
    """Decode what a later release might send."""
    for tag, fields in _read_release("messages-0.9.txt").items():
        kind = list_messages()[tag]
        missing = [
            kind._field_defaults[name] for name in kind._fields[len(fields) - 2 :]
        ]
        complete = [*fields, *missing]
        later = decode(msgpack.packb([*complete, "more", [7]]))
        assert later == decode(msgpack.packb(complete)), tag


@then('a message with the tag "{tag}" is {code}')
def step_unknown(context, tag, code):
    """Decode a message with an unknown tag."""
    assert _find_error(msgpack.packb(["p", tag, 1])) == code


@then("a message that lacks required fields is {code}")
def step_malformed(context, code):
    """Decode a message that lacks fields without defaults."""
    assert _find_error(msgpack.packb(["p", "sa"])) == code
