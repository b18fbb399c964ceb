"""Remember which software version began a stream, and combine what is known.

Load pattern: several versions of a service's software run side by side.
Streams break off, hundreds at once, and their callers resume them at any
instance, by the id of the call that brought the first event. What two versions
write does not fit together, so that a version that is not known must not be
guessed.

A stream is remembered for as long as its caller may still resume it, so that
the memory is bounded by the rate of streams and by that time. It is known by a
digest of 8 bytes, as an owner of a zone keeps those of all its instances.
"""

import enum
import hashlib
from collections.abc import Iterable
from math import isfinite
from typing import NamedTuple

from roadlift.serving.calls import Kind
from roadlift.serving.routes import Route

DIGEST_BYTES = 8
# Streams in one table at most, of some 100 bytes each; the oldest go first.
MAX_STREAMS = 100_000
GENERATIONS = 4  # Parts of a table that are forgotten at once.
# A caller resumes a stream within the time of its first call. The stream lasts
# as long as its route's timeout, and so does a resumption that is broken off
# in its turn.
TTL_FACTOR = 2.0
MIN_TTL = 10.0  # Seconds.


class Origin(NamedTuple):
    """What began a stream: a service, and the version of its software."""

    service: str
    software: str


class Basis(enum.StrEnum):
    """Whence the version of a stream is known.

    LOCAL is a stream of this process, REMOTE one that another instance began;
    one that is STORED was read from the platform's store.
    With ONLY_VERSION no other version of the service was listed for as long as
    a stream may be resumed, with MIXED several were; UNKNOWN is neither.
    """

    LOCAL = "local"
    REMOTE = "remote"
    STORED = "stored"
    ONLY_VERSION = "only_version"
    MIXED = "mixed"
    UNKNOWN = "unknown"


class Finding(NamedTuple):
    """What is known of a stream; ``origin`` is None unless it is known.

    ``age`` is the seconds within which it was recorded, or None.
    """

    basis: Basis
    origin: Origin | None = None
    age: float | None = None

    @property
    def is_remembered(self) -> bool:
        """Return whether the stream itself is remembered."""
        return self.basis in (Basis.LOCAL, Basis.REMOTE, Basis.STORED)


UNKNOWN = Finding(Basis.UNKNOWN)


def compute_digest(call_id: str) -> bytes:
    """Return the digest by which a stream is remembered."""
    return hashlib.blake2b(call_id.encode(), digest_size=DIGEST_BYTES).digest()


def rank_zones(digest: bytes, zones: list[str]) -> list[str]:
    """Return the zones in the order in which they keep a stream.

    The owner of the first one has it, whichever instance began it: that owner
    is sent the stream, unless it is the aggregator of the stream's instance.
    """
    start = digest[0] % len(zones)
    return zones[start:] + zones[:start]


def compute_ttl(routes: Iterable[Route]) -> float:
    """Return for how many seconds the streams of routes are remembered."""
    timeouts = [
        route.timeout
        for route in routes
        if route.kind is Kind.STREAM and route.is_resumable
    ]
    return max(MIN_TTL, TTL_FACTOR * max(timeouts, default=0.0))


class _Generation(NamedTuple):
    """The origins of the streams that were recorded from a time on."""

    began_at: float
    origins: dict[bytes, Origin]


class OriginTable:
    """The origins of streams by digest, in generations that expire whole.

    A generation holds no time for each stream, which would double its size.
    """

    def __init__(self) -> None:
        self._generations = [_Generation(float("-inf"), {})]

    def __len__(self) -> int:
        return sum(len(one.origins) for one in self._generations)

    def put(self, digest: bytes, origin: Origin) -> None:
        """Record what began a stream."""
        self._generations[-1].origins[digest] = origin

    def find(self, digest: bytes, basis: Basis, now: float) -> Finding | None:
        """Return what began a stream, or None if it is not known here."""
        for generation in reversed(self._generations):
            origin = generation.origins.get(digest)
            if origin is not None:
                age = now - generation.began_at
                return Finding(basis, origin, age if isfinite(age) else None)
        return None

    def list_all(self) -> list[tuple[bytes, Origin]]:
        """Return the streams and their origins, the oldest first."""
        return [pair for one in self._generations for pair in one.origins.items()]

    def expire(self, now: float, ttl: float) -> None:
        """Forget streams that are too old, or too many to be kept."""
        span = ttl / GENERATIONS
        last = self._generations[-1]
        is_full = len(last.origins) >= MAX_STREAMS // GENERATIONS
        if is_full or now - last.began_at >= span:
            self._generations.append(_Generation(now, {}))
        expired = now - ttl - span
        self._generations = [
            one
            for one in self._generations[-GENERATIONS - 1 :]
            if one.began_at > expired
        ]


class ListedVersion(NamedTuple):
    """A version of a service's software, None if the list does not tell it."""

    service: str
    software: str | None


class SoftwareHistory:
    """The versions of each service that were listed of late.

    It covers the time in which the list was current: a version that came and
    went in a gap was not seen.
    """

    def __init__(self) -> None:
        self._listed: set[ListedVersion] = set()
        self._seen_at: dict[ListedVersion, float] = {}
        self._covered_since: float | None = None

    def record_list(self, listed: set[ListedVersion], now: float) -> None:
        """Record the versions that are listed from now on."""
        self._seen_at.update(dict.fromkeys(self._listed, now))
        self._listed = listed
        self.record_current(now)

    def record_first_start(self) -> None:
        """Record that no stream can have begun before this process."""
        self._covered_since = float("-inf")

    def record_gap(self) -> None:
        """Record that the list is not current now."""
        self._covered_since = None

    def record_current(self, now: float) -> None:
        """Record that the list is current now."""
        if self._covered_since is None:
            self._covered_since = now

    def judge(self, service: str, now: float, ttl: float) -> Finding:
        """Return the only version of a service, if there was only one."""
        recent = {one for one, at in self._seen_at.items() if now - at < ttl}
        versions = {
            one.software for one in recent | self._listed if one.service == service
        }
        if len(versions) > 1:
            return Finding(Basis.MIXED)
        since = self._covered_since
        if not versions or None in versions or since is None or now - since < ttl:
            return UNKNOWN
        return Finding(Basis.ONLY_VERSION, Origin(service, versions.pop()))


def combine(findings: Iterable[Finding]) -> Finding:
    """Return what several instances know together.

    A stream that one of them remembers is known. If none does, the only
    version of the service counts, unless they disagree on it.
    """
    found = list(findings)
    for basis in (Basis.LOCAL, Basis.REMOTE, Basis.STORED):
        known = [one for one in found if one.basis is basis]
        if known:
            return min(known, key=lambda one: one.age or 0.0)
    if any(one.basis is Basis.MIXED for one in found):
        return Finding(Basis.MIXED)
    origins = {one.origin for one in found if one.basis is Basis.ONLY_VERSION}
    if len(origins) > 1:
        return Finding(Basis.MIXED)
    return Finding(Basis.ONLY_VERSION, origins.pop()) if origins else UNKNOWN
