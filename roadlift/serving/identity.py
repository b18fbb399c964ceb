"""Tell whether two calls, or two loads, are the same work.

A caller that comes again sends a new call with an id of its own. Its method,
host, target, model and body are what an endpoint works on, so calls that agree
in them are the same work, whichever caller, connection or instance they come
by. Ids, time limits and the other headers are no part of it. Loads of one
version of an adapter are the same work, whichever engine has them.
"""

import hashlib
from collections.abc import Iterable

from roadlift.serving.calls import Call, Model

# Bytes of an identity. At 2**96 values nobody finds another call with a given
# identity, and a day of 96,000 calls a second meets none twice by chance.
# A MiB of a body takes some 1 ms, 2.5 of it with blake2b (seen beside load).
IDENTITY_SIZE = 12


def identify(call: Call) -> bytes:
    """Return the identity of a call, IDENTITY_SIZE bytes."""
    model = str(call.model) if call.model is not None else ""
    texts = ("call", call.method, call.host.lower(), call.target, model)
    return compute_identity(texts, call.body)


def identify_load(model: Model, version: int) -> bytes:
    """Return the identity of the load of an adapter, IDENTITY_SIZE bytes."""
    return compute_identity(("load", *model, str(version)))


def compute_identity(texts: Iterable[str], body: bytes = b"") -> bytes:
    """Return a digest of parts, each with its length: no two lists agree.

    The first text names the kind of work.
    """
    digest = hashlib.sha256()
    for data in (*(text.encode("utf-8", "surrogateescape") for text in texts), body):
        digest.update(len(data).to_bytes(8))
        digest.update(data)
    return digest.digest()[:IDENTITY_SIZE]
