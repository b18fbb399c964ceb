"""Run a request that may not be repeated at most once.

Public surface: ``Claims``, ``Claim`` and ``StoredAnswer``.
"""

from roadlift.idempotency.claims import Claim, Claims, StoredAnswer

__all__ = ["Claim", "Claims", "StoredAnswer"]
