"""Read and write crash evidence, in messages and in rows of the store."""

from collections.abc import Iterable

import msgpack

from roadlift.core.errors import MalformedMessage
from roadlift.decisions.crashrecord import SHARED, STRONG, WEAK, CrashEvidence
from roadlift.serving.identity import IDENTITY_SIZE

MAX_NAME_LENGTH = 512  # Characters of an endpoint's id.
# Seconds after which evidence has no weight; an upper bound for input.
MAX_AGE = 100_000.0
_WEIGHTS = (0, SHARED, WEAK, STRONG)
_UNREADABLE = (
    AttributeError,
    TypeError,
    ValueError,
    msgpack.exceptions.UnpackException,
)


def read_evidence(fields: Iterable[list]) -> list[CrashEvidence]:
    """Return the evidence in a message, or raise MalformedMessage."""
    try:
        return [_check(CrashEvidence(*entry)) for entry in fields]
    except (TypeError, ValueError) as error:
        raise MalformedMessage(repr(error)) from error


def encode_row(store_now: float, evidence: Iterable[CrashEvidence]) -> bytes:
    """Return the value of a row; its key is the identity in hex digits.

    It holds the store's time of the last crash, in seconds, and by endpoint
    the weights. Where a part of prompts is the cause, each weight comes with
    the seconds from its crash to the last one: crashes at the same moment
    count as one.
    """
    pieces = list(evidence)
    last = min(item.age for item in pieces)
    is_part = any(item.weight == SHARED for item in pieces)
    weights = {
        item.endpoint: [item.weight, round(item.age - last, 3)]
        if is_part
        else item.weight
        for item in pieces
    }
    return msgpack.packb([store_now - last, weights])


def read_key(key: str) -> bytes:
    """Return the identity that a row's key encodes.

    Raises MalformedMessage if the key is not in hex digits.
    """
    try:
        return bytes.fromhex(key)
    except ValueError as error:
        raise MalformedMessage(repr(error)) from error


def read_row(identity: bytes, value: bytes, store_now: float) -> list[CrashEvidence]:
    """Return the evidence in a row, or raise MalformedMessage."""
    try:
        ended_at, weights = msgpack.unpackb(value)
        age = max(0.0, store_now - ended_at)
        evidence = [
            CrashEvidence(identity, name, *_read_weight(value, age))
            for name, value in weights.items()
        ]
        return [_check(entry) for entry in evidence]
    except _UNREADABLE as error:
        raise MalformedMessage(repr(error)) from error


def _read_weight(value: int | list, age: float) -> tuple[int, float]:
    """Return the weight and the age of one piece of a row's evidence."""
    if not isinstance(value, list):
        return value, age
    weight, earlier = value
    return weight, age + earlier


def _check(evidence: CrashEvidence) -> CrashEvidence:
    if (
        not isinstance(evidence.identity, bytes)
        or len(evidence.identity) != IDENTITY_SIZE
    ):
        raise ValueError("invalid identity")
    if (
        not isinstance(evidence.endpoint, str)
        or len(evidence.endpoint) > MAX_NAME_LENGTH
    ):
        raise ValueError("invalid endpoint id")
    if evidence.weight not in _WEIGHTS or isinstance(evidence.weight, bool):
        raise ValueError("invalid weight")
    if not 0.0 <= evidence.age <= MAX_AGE:
        raise ValueError("age out of range")
    return evidence
