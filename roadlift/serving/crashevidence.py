"""Read and write crash evidence, in messages and in rows of the store."""

from collections.abc import Iterable, Mapping

import msgpack

from roadlift.core.errors import MalformedMessage
from roadlift.decisions.crashes import STRONG, WEAK, CrashEvidence
from roadlift.serving.identity import IDENTITY_SIZE

MAX_NAME_LENGTH = 512  # Characters of an endpoint's id.
# Seconds after which evidence has no weight; an upper bound for input.
MAX_AGE = 100_000.0
_WEIGHTS = (0, WEAK, STRONG)
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


def encode_row(ended_at: float, weights: Mapping[str, int]) -> bytes:
    """Return the value of a row; its key is the identity in hex digits.

    ``ended_at`` is the store's time of the last crash, in seconds;
    ``weights`` are those of the evidence, by endpoint.
    """
    return msgpack.packb([ended_at, dict(weights)])


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
            CrashEvidence(identity, name, weight, age)
            for name, weight in weights.items()
        ]
        return [_check(entry) for entry in evidence]
    except _UNREADABLE as error:
        raise MalformedMessage(repr(error)) from error


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
