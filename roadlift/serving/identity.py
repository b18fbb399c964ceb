"""Tell whether two calls ask for the same work.

A caller that comes again sends a new call with an id of its own. Its method,
host, target, model and body are what an endpoint works on, so calls that agree
in them are the same work, whichever caller, connection or instance they come
by. Ids, time limits and the other headers are no part of it.
"""

import hashlib

from roadlift.serving.calls import Call

# Bytes of an identity. At 2**96 values nobody finds another call with a given
# identity, and a day of 96,000 calls a second meets none twice by chance.
IDENTITY_SIZE = 12


def identify(call: Call) -> bytes:
    """Return the identity of a call, IDENTITY_SIZE bytes."""
    digest = hashlib.blake2b(digest_size=IDENTITY_SIZE)
    model = str(call.model) if call.model is not None else ""
    for text in (call.method, call.host.lower(), call.target, model):
        _add(digest, text.encode("utf-8", "surrogateescape"))
    _add(digest, call.body)
    return digest.digest()


def _add(digest, data: bytes) -> None:
    """Add data with its length, so that no two lists of parts agree."""
    digest.update(len(data).to_bytes(8))
    digest.update(data)
