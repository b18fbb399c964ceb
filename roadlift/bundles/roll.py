"""Propose, sign and roll bundles against the platform's stores.

The head is one row whose number only grows, moved by compare-and-set. A
bundle follows the head for which it was proposed: of two operators that roll
at once one succeeds and the other gets BundleConflict. Undo is a proposal
whose content is an earlier bundle's.
"""

import json
from collections.abc import Callable
from typing import NamedTuple

import msgpack

from roadlift.bundles.chain import (
    NO_PARENT,
    Chain,
    Head,
    Link,
    Snapshot,
    compute_digest,
)
from roadlift.bundles.content import Bundle, check_document
from roadlift.core.errors import (
    BundleConflict,
    BundleNotSigned,
    InvalidBundle,
    PlatformUnavailable,
    VersionConflict,
)
from roadlift.store.client import ABSENT, BlockingStore, Row

HEAD_KEY = "bundle/head"
SNAPSHOT_EVERY = 64  # Bundles between two whole ones in the object store.
MOST_LINKS = 2 * SNAPSHOT_EVERY  # Changes walked back before giving up.


class HeadRow(NamedTuple):
    """The head row: the newest bundle and the newest whole one."""

    number: int = 0
    digest: str = NO_PARENT
    snapshot_number: int = 0
    snapshot_digest: str = NO_PARENT
    snapshot_object: str = ""

    def encode(self) -> bytes:
        """Return the row's value."""
        return json.dumps(self._asdict()).encode()

    @classmethod
    def decode(cls, row: Row) -> "HeadRow":
        """Read the row; an absent one is the head before all bundles."""
        return cls(**json.loads(row.value)) if row.version != ABSENT else cls()


class Proposal(NamedTuple):
    """A bundle that waits for its sign-off."""

    digest: str
    number: int
    changed: int


def propose(store: BlockingStore, document: dict, operator: str) -> Proposal:
    """Store a bundle's change against the head and return its digest."""
    check_document(document, "bundle")
    chain, head = load_chain(store)
    change = chain.bundle.compare(Bundle.from_document(document), head.digest)
    if change.is_empty():
        raise InvalidBundle("the bundle is the same as the one in force")
    data = change.encode()
    digest = compute_digest(data)
    store.write_object(digest, data)
    row = {"operator": operator, "signed_by": None, "parent": head.digest}
    try:
        store.write_row(_proposal_key(digest), json.dumps(row).encode(), ABSENT)
    except VersionConflict:
        # The same change was proposed before, or a reply was lost.
        pass
    changed = sum(len(change.put[name]) + len(change.drop[name]) for name in change.put)
    return Proposal(digest, head.number + 1, changed)


def sign(store: BlockingStore, digest: str, operator: str) -> None:
    """Sign a proposed bundle off, as another operator than its proposer."""
    row = _read_proposal(store, digest)
    content = json.loads(row.value)
    if content["operator"] == operator:
        raise BundleNotSigned(f"{operator} proposed {digest[:12]} and can't sign it")
    content["signed_by"] = operator
    store.write_row(_proposal_key(digest), json.dumps(content).encode(), row.version)


def roll(store: BlockingStore, digest: str) -> Head:
    """Put a signed bundle in force by moving the head to it.

    A roll whose reply was lost may be repeated: a head that is already this
    bundle is a success.
    """
    proposal = json.loads(_read_proposal(store, digest).value)
    if not proposal["signed_by"]:
        raise BundleNotSigned(digest[:12])
    row = store.read_row(HEAD_KEY)
    head = HeadRow.decode(row)
    if head.digest == digest:
        return Head(head.number, head.digest)
    if head.digest != proposal["parent"]:
        raise BundleConflict(
            f"the head moved to {head.number} after {digest[:12]} was proposed"
        )
    after = _extend_head(store, head, digest)
    return _move_head(store, row, after)


def _extend_head(store: BlockingStore, head: HeadRow, digest: str) -> HeadRow:
    after = head._replace(number=head.number + 1, digest=digest)
    if head.number and after.number - head.snapshot_number < SNAPSHOT_EVERY:
        return after
    chain, _ = load_chain(store)
    chain.append(Link(after.number, store.read_object(digest).value))
    content = chain.take_snapshot().content
    name = compute_digest(content)
    store.write_object(name, content)
    return after._replace(
        snapshot_number=after.number, snapshot_digest=digest, snapshot_object=name
    )


def _move_head(store: BlockingStore, row: Row, after: HeadRow) -> Head:
    try:
        store.write_row(HEAD_KEY, after.encode(), row.version)
    except PlatformUnavailable:
        # The reply may be lost although the write took effect: read it back.
        found = HeadRow.decode(store.read_row(HEAD_KEY))
        if found.digest != after.digest:
            raise
    except VersionConflict:
        raise BundleConflict("another bundle was rolled at the same moment") from None
    return Head(after.number, after.digest)


def load_chain(store: BlockingStore) -> tuple[Chain, HeadRow]:
    """Load the bundle in force from the stores."""
    head = HeadRow.decode(store.read_row(HEAD_KEY))
    chain = Chain()
    if head.snapshot_object:
        content = store.read_object(head.snapshot_object).value
        chain.restore(Snapshot(head.snapshot_number, head.snapshot_digest, content))
    for link in walk_back(head, lambda digest: store.read_object(digest).value):
        chain.append(link)
    return chain, head


def walk_back(head: HeadRow, read: Callable[[str], bytes]) -> list[Link]:
    """Return the links after the whole bundle up to the head, in order."""
    links: list[Link] = []
    number, digest = head.number, head.digest
    while number > head.snapshot_number and len(links) < MOST_LINKS:
        data = read(digest)
        links.append(Link(number, data))
        digest = msgpack.unpackb(data)[0]
        number -= 1
    return links[::-1]


def _proposal_key(digest: str) -> str:
    return f"bundle/proposal/{digest}"


def _read_proposal(store: BlockingStore, digest: str) -> Row:
    row = store.read_row(_proposal_key(digest))
    if row.version == ABSENT:
        raise InvalidBundle(f"no bundle {digest[:12]} was proposed")
    return row
