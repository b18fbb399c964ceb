"""Read and write signs of crashes, in messages and in rows of the store."""

from collections.abc import Iterable, Mapping

import msgpack

from roadlift.core.errors import MalformedMessage
from roadlift.decisions.crashes import STRONG, WEAK, CrashEvidence
from roadlift.serving.identity import IDENTITY_SIZE

MOST_NAME = 512  # Characters of an endpoint's id.
# Seconds of age beyond which a sign tells nothing; a bound for what is read.
MOST_AGE = 100_000.0
_WEIGHTS = (0, WEAK, STRONG)
_UNREADABLE = (
    AttributeError,
    TypeError,
    ValueError,
    msgpack.exceptions.UnpackException,
)


def read_signs(fields: Iterable[list]) -> list[CrashEvidence]:
    """Return the signs that a message has, or raise MalformedMessage."""
    try:
        return [_check(CrashEvidence(*one)) for one in fields]
    except (TypeError, ValueError) as error:
        raise MalformedMessage(repr(error)) from error


def encode_row(ended_at: float, weights: Mapping[str, int]) -> bytes:
    """Return the value of a row; its key is the identity in hex digits.

    ``ended_at`` is the store's time of the last end, in seconds; ``weights``
    are those of the signs, by endpoint.
    """
    return msgpack.packb([ended_at, dict(weights)])


def read_key(key: str) -> bytes:
    """Return the identity that a row's key stands for, or raise."""
    try:
        return bytes.fromhex(key)
    except ValueError as error:
        raise MalformedMessage(repr(error)) from error


def read_row(identity: bytes, value: bytes, store_now: float) -> list[CrashEvidence]:
    """Return the signs that a row has, or raise MalformedMessage."""
    try:
        ended_at, weights = msgpack.unpackb(value)
        age = max(0.0, store_now - ended_at)
        signs = [
            CrashEvidence(identity, name, weight, age)
            for name, weight in weights.items()
        ]
        return [_check(sign) for sign in signs]
    except _UNREADABLE as error:
        raise MalformedMessage(repr(error)) from error


def _check(sign: CrashEvidence) -> CrashEvidence:
    if not isinstance(sign.identity, bytes) or len(sign.identity) != IDENTITY_SIZE:
        raise ValueError("identity")
    if not isinstance(sign.endpoint, str) or len(sign.endpoint) > MOST_NAME:
        raise ValueError("endpoint")
    if sign.weight not in _WEIGHTS or isinstance(sign.weight, bool):
        raise ValueError("weight")
    if not 0.0 <= sign.age <= MOST_AGE:
        raise ValueError("age")
    return sign
