"""Own endpoints: load and evict adapters, and grant pins on their copies.

Public surface: ``Book`` decides for one endpoint, ``choose_owner`` tells who
should own it, and ``messages`` are what owners and holders say.
docs/internals/ownership.md has the reasons.
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
