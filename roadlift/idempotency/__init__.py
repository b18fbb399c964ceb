"""Run a request that must not be repeated at most once.

Public API: ``Claims``, ``Claim`` and ``StoredAnswer``.
"""

from roadlift.idempotency.claims import Claim, Claims, StoredAnswer

__all__ = ["Claim", "Claims", "StoredAnswer"]
