"""Rank the endpoints at which a model is looked for and loaded.

Every instance ranks alike, from the bundle alone, so that no directory of
locations is kept or sent: the first of the ranking is where an adapter is
loaded, the next ones are where it spills over.
"""

import bisect
import hashlib
from collections.abc import Iterable, Sequence

POINTS = 64  # Points of an endpoint on the ring.


class RingPlacer:
    """A ring of hashed points; a look-up costs the log of their number."""

    def __init__(self, endpoints: Iterable[str]) -> None:
        points = [
            (_hash(f"{name}/{index}"), name)
            for name in endpoints
            for index in range(POINTS)
        ]
        points.sort()
        self._hashes = [point for point, _ in points]
        self._names = [name for _, name in points]
        self._count = len(points) // POINTS

    def rank(self, model: str, count: int) -> Sequence[str]:
        """Return the endpoints met first behind the model's point."""
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
