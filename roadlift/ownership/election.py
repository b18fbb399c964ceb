"""Decide who should own an endpoint, and with which fencing number.

Every instance computes the same owner from the same membership, by
rendezvous hashing, with no message and no store call. In doubt two instances
may both believe that they own one; the fencing numbers and the names of the
copies keep the promises then, so that doubt costs efficiency alone.
"""

import hashlib
from collections.abc import Iterable

_TIE_BITS = 20


def choose_owner(endpoint: str, instances: Iterable[str]) -> str | None:
    """Return the instance that should own ``endpoint``, or None."""
    ranked = rank_instances(endpoint, instances)
    return ranked[0] if ranked else None


def rank_instances(task: str, instances: Iterable[str]) -> list[str]:
    """Return the instances in the order in which they should do ``task``."""
    return sorted(instances, key=lambda name: _hash(f"{name}/{task}"), reverse=True)


def compute_epoch(highest: int, process: str) -> int:
    """Return an epoch above ``highest`` that is ``process``'s alone.

    The low 20 bits are a hash of the process, so that two processes that
    take over from the same epoch don't share the next one, but for one such
    pair in a million. The epoch is the fencing number of all its orders: a
    late order of the same owner names a copy that is no longer served from,
    and needs no fence.
    """
    tie = _hash(process) & ((1 << _TIE_BITS) - 1)
    return ((highest >> _TIE_BITS) + 1) << _TIE_BITS | tie


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
