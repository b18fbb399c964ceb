"""Decide who should own an endpoint, and with which fencing number.

Every instance computes the same owner from the same membership, by
rendezvous hashing, with no message and no store call. In doubt two instances
may both believe that they own one; the fencing numbers and the names of the
copies keep the promises then, so that doubt costs efficiency alone.
"""

import hashlib
from collections.abc import Iterable

_TIE_BITS = 32


def choose_owner(endpoint: str, instances: Iterable[str]) -> str | None:
    """Return the instance that should own ``endpoint``, or None."""
    ranked = rank_instances(endpoint, instances)
    return ranked[0] if ranked else None


def rank_instances(task: str, instances: Iterable[str]) -> list[str]:
    """Return the instances in the order in which they should do ``task``."""
    return sorted(instances, key=lambda name: _hash(f"{name}/{task}"), reverse=True)


def compute_epoch(highest: int, holder: str) -> int:
    """Return a fencing number above ``highest`` that is ``holder``'s alone.

    The low 32 bits are a hash of the process, so that two processes that
    take over from the same number never share the next one.
    """
    tie = _hash(holder) & ((1 << _TIE_BITS) - 1)
    return ((highest >> _TIE_BITS) + 1) << _TIE_BITS | tie


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
