"""Own endpoints: load and evict adapters, and grant pins on their copies.

Public API: ``Book`` makes the decisions for one endpoint, ``choose_owner``
returns which instance should own it, and ``messages`` defines the messages
between owners and holders. docs/internals/ownership.md explains the design.
"""

from roadlift.ownership.book import Book, Shape, Terms
from roadlift.ownership.copies import Copy, CopyState
from roadlift.ownership.election import choose_owner, compute_epoch

__all__ = [
    "Book",
    "Copy",
    "CopyState",
    "Shape",
    "Terms",
    "choose_owner",
    "compute_epoch",
]
