"""Rank the endpoints at which a model is searched for and loaded.

Every instance computes the same ranking from the bundle alone, so that no
directory of locations is kept or sent. An adapter is loaded at the first
endpoint of its ranking, and spills over to the next ones.
"""

import bisect
import hashlib
from collections.abc import Iterable, Sequence

POINTS_PER_ENDPOINT = 64  # Points of each endpoint on the hash ring.


class RingPlacer:
    """A consistent-hash ring; a look-up takes O(log n) for n points."""

    def __init__(self, endpoints: Iterable[str]) -> None:
        points = [
            (_hash(f"{name}/{index}"), name)
            for name in endpoints
            for index in range(POINTS_PER_ENDPOINT)
        ]
        points.sort()
        self._hashes = [point for point, _ in points]
        self._names = [name for _, name in points]
        self._count = len(points) // POINTS_PER_ENDPOINT

    def rank(self, model: str, count: int) -> Sequence[str]:
        """Return the first ``count`` endpoints after the model's point."""
        count = min(count, self._count)
        found: list[str] = []
        index = bisect.bisect(self._hashes, _hash(model))
        while len(found) < count:
            name = self._names[index % len(self._names)]
            if name not in found:
                found.append(name)
            index += 1
        return found


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
