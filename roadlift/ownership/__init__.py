"""Own endpoints: load and evict adapters, and grant pins on their copies.

Public API: ``EndpointRecord`` makes the decisions for one endpoint,
``choose_owner`` returns which instance should own it, and ``messages`` defines
the messages between owners and holders. docs/internals/ownership.md explains
the design.
"""

from roadlift.ownership.copies import Copy, CopyState
from roadlift.ownership.election import choose_owner, compute_epoch
from roadlift.ownership.record import (
    EndpointProperties,
    EndpointRecord,
    OwnershipPolicy,
)

__all__ = [
    "EndpointRecord",
    "Copy",
    "CopyState",
    "EndpointProperties",
    "OwnershipPolicy",
    "choose_owner",
    "compute_epoch",
]
