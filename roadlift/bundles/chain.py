"""Hold the chain of bundles that an instance has heard of.

A bundle is named by the digest of its change, which holds the digest of its
parent, so a digest stands for the whole content. Numbers only grow: the
chain takes number N + 1 after N, a whole bundle with a higher number, and
nothing else, from whatever source.
"""

import hashlib
from collections import deque
from typing import NamedTuple

import msgpack

from roadlift.bundles.content import Bundle, Change
from roadlift.core.errors import InvalidBundle

KEPT_CHANGES = 256  # Changes kept for peers that are behind.
NO_PARENT = ""


class Head(NamedTuple):
    """The newest bundle: its number and the digest of its change."""

    number: int
    digest: str


class Link(NamedTuple):
    """One bundle of the chain, as the bytes of its change."""

    number: int
    change: bytes


class Snapshot(NamedTuple):
    """A whole bundle, for an instance that starts or is far behind."""

    number: int
    digest: str
    content: bytes


def compute_digest(data: bytes) -> str:
    """Return the name of an immutable object."""
    return hashlib.sha256(data).hexdigest()


class Chain:
    """The bundle in force and the latest changes that led to it."""

    def __init__(self) -> None:
        self.head = Head(0, NO_PARENT)
        self.bundle = Bundle()
        self._links: deque[Link] = deque(maxlen=KEPT_CHANGES)

    def append(self, link: Link) -> bool:
        """Put the next bundle in force; tell whether it was the next.

        A number that is not the next does nothing. A next one whose parent
        is not the head raises InvalidBundle: the sender's chain is not ours.
        """
        if link.number != self.head.number + 1:
            return False
        change = Change.decode(link.change)
        if change.parent != self.head.digest:
            raise InvalidBundle(f"bundle {link.number} does not follow the head")
        self.bundle = self.bundle.apply(change)
        self.head = Head(link.number, compute_digest(link.change))
        self._links.append(link)
        return True

    def restore(self, snapshot: Snapshot) -> bool:
        """Put a whole bundle in force if its number is higher."""
        if snapshot.number <= self.head.number:
            return False
        document = msgpack.unpackb(snapshot.content)
        self.bundle = Bundle.from_document(document)
        self.head = Head(snapshot.number, snapshot.digest)
        self._links.clear()
        return True

    def list_links(self, after: int) -> list[Link] | None:
        """Return the links after number ``after``, or None if not kept."""
        if after >= self.head.number:
            return []
        if not self._links or self._links[0].number > after + 1:
            return None
        return [link for link in self._links if link.number > after]

    def take_snapshot(self) -> Snapshot:
        """Return the whole bundle in force."""
        content = msgpack.packb(self.bundle.to_document())
        return Snapshot(self.head.number, self.head.digest, content)
