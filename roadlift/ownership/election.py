"""Choose the owner of an endpoint, and its fencing number.

Every instance computes the same owner from the same membership by rendezvous
hashing, without messages or store calls. While memberships differ, two
instances may both consider themselves the owner. Fencing numbers and the
unique names of copies keep this safe, so that it costs only efficiency.
"""

import hashlib
from collections.abc import Iterable

_PROCESS_BITS = 20


def choose_owner(endpoint: str, instances: Iterable[str]) -> str | None:
    """Return the instance that should own ``endpoint``, or None."""
    ranked = rank_instances(endpoint, instances)
    return ranked[0] if ranked else None


def rank_instances(task: str, instances: Iterable[str]) -> list[str]:
    """Return the instances ordered by their preference for ``task``."""
    return sorted(instances, key=lambda name: _hash(f"{name}/{task}"), reverse=True)


def compute_epoch(highest: int, process: str) -> int:
    """Return an epoch above ``highest`` that only ``process`` uses.

    The low 20 bits are a hash of the process, so that two processes that
    take over from the same epoch choose different next epochs, except for
    about one such pair in a million. The epoch is the fencing number of all
    orders of the owner. A late order of the same owner needs no fence, since
    it refers to a copy that is no longer served from.
    """
    process_bits = _hash(process) & ((1 << _PROCESS_BITS) - 1)
    return ((highest >> _PROCESS_BITS) + 1) << _PROCESS_BITS | process_bits


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
