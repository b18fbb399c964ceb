"""Track the era of the store.

The store loses no acknowledged write, except when it is restored from an older
copy of itself. Then its era rises, and what was derived from versions of the
earlier era is no longer valid. Answers may arrive out of order: one of an
earlier era is ignored, whatever its content.
"""

from collections.abc import Callable
from typing import NamedTuple

from roadlift.serving.position import FIRST_ERA, StorePosition


class StoreRestore(NamedTuple):
    """A restore of the store from an older copy.

    ``before`` and ``era`` are its eras, ``source`` the call that showed it.
    """

    before: int
    era: int
    source: str


class StoreEras:
    """The newest era seen in an answer of the store.

    The listeners in ``on_restore`` are called once for each restore that is
    detected, before the answer that showed it is delivered.
    """

    def __init__(self) -> None:
        self._is_known = False
        self.newest = FIRST_ERA
        self.on_restore: list[Callable[[StoreRestore], None]] = []

    def record_era(self, era: int, source: str) -> bool:
        """Record the era of an answer; return whether it is the newest."""
        if not self._is_known:
            self._is_known = True
            self.newest = era
        if era > self.newest:
            found = StoreRestore(self.newest, era, source)
            self.newest = era
            for listener in list(self.on_restore):
                listener(found)
        return era == self.newest

    def is_current(self, position: StorePosition) -> bool:
        """Return whether a position is of the newest era."""
        return position.era == self.newest
