"""Decide which software versions may begin streams, and what is declared.

Load pattern: all instances end at once, while a release replaces engines. What
began the streams that are cut is known to no process any more, but callers
resume them within seconds, at processes that have just started.

A version is declared in a row of its service before streams begin on it, and
for as long as a stream of it may be resumed behind the last time that it was
listed. So the declared versions are all that may have begun a stream, however
late or short a list is. Where there is one of them, it began them all.
"""

from collections.abc import Iterable
from typing import NamedTuple

# Times the life of a stream for which a version that is not listed any more
# remains declared: the lists of instances are of different ages.
KEPT_FACTOR = 2.0


class Declaration(NamedTuple):
    """The versions that may have begun streams of a service.

    It holds for streams that began at ``since`` or later, in seconds of the
    store's clock, and in the ``era`` of the store in which it was written: a
    store that came back older may have lost a version.
    """

    versions: frozenset[str]
    since: float
    era: int

    def covers(self, moment: "StoreMoment", ttl: float) -> bool:
        """Return whether it holds for all streams of the last ``ttl`` s."""
        is_old = not self.since or moment.now - self.since >= ttl
        return is_old and self.era == moment.era


class StoreMoment(NamedTuple):
    """The store's time in seconds, and its era."""

    now: float
    era: int


def find_only_version(
    declaration: Declaration | None,
    listed: frozenset[str],
    moment: StoreMoment,
    ttl: float,
) -> str | None:
    """Return the version that began all streams of a service, or None.

    ``listed`` are the versions of its endpoints now.
    """
    if declaration is None or not declaration.covers(moment, ttl):
        return None
    versions = declaration.versions | listed
    return next(iter(versions)) if len(versions) == 1 else None


def list_admitted(
    declared: frozenset[str] | None, ready: frozenset[str | None]
) -> frozenset[str] | None:
    """Return the versions on which streams may begin, or None for all.

    ``declared`` is None as long as it is not known. Without an endpoint of a
    declared version, callers are served by the others.
    """
    if declared is None or None in ready or len(ready) < 2:
        return None
    admitted = declared & ready
    return admitted if admitted and admitted != ready else None


class Declarations:
    """What the owners of zones declare, by the versions that are listed."""

    def __init__(self) -> None:
        self._listed_at: dict[tuple[str, str], float] = {}

    def revise(
        self,
        service: str,
        declared: Declaration | None,
        listed: Iterable[str],
        now: float,
        ttl: float,
    ) -> frozenset[str]:
        """Return the versions that have to be declared of a service now."""
        known = declared.versions if declared else frozenset()
        for version in {*known, *listed}:
            self._listed_at.setdefault((service, version), now)
        for version in listed:
            self._listed_at[service, version] = now
        limit = now - KEPT_FACTOR * ttl
        kept = {one for one in known if self._listed_at[service, one] > limit}
        versions = kept.union(listed)
        self._listed_at = {
            (of, one): at
            for (of, one), at in self._listed_at.items()
            if of != service or one in versions
        }
        return frozenset(versions)
