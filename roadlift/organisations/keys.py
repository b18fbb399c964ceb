"""Find the organisation of a caller's key without keeping the key.

A key is turned into a digest where it is read, from a caller or from the
configuration, so that no component of a process can log it or forward it. A
table looks up digests by a second digest that is keyed with a secret of the
process: the duration of a look-up reveals nothing about the existing keys, and
it does not grow with their number.
"""

import hashlib
import os
from collections.abc import Iterable

from roadlift.serving.routes import Organisation

DIGEST_SIZE = 20  # Bytes.
SECRET_SIZE = 32  # Bytes.


def digest_key(key: str) -> str:
    """Return the digest that replaces a key once it has been read."""
    return hashlib.blake2b(key.encode(), digest_size=DIGEST_SIZE).hexdigest()


class KeyTable:
    """The organisations of one configuration, by their keys' digests."""

    def __init__(self, organisations: Iterable[Organisation]) -> None:
        self._secret = os.urandom(SECRET_SIZE)
        self._owners = {
            self._compute_lookup_digest(key): organisation
            for organisation in organisations
            for key in organisation.keys
        }

    def __len__(self) -> int:
        return len(self._owners)

    def find(self, key: str) -> Organisation | None:
        """Return the organisation that holds a key, by the key's digest."""
        return self._owners.get(self._compute_lookup_digest(key)) if key else None

    def _compute_lookup_digest(self, key: str) -> bytes:
        data = key.encode()
        return hashlib.blake2b(data, digest_size=DIGEST_SIZE, key=self._secret).digest()
