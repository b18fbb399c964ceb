"""Know in which era of the store this process is.

The store loses nothing that it has acknowledged, but where it comes back from
an older copy of itself; then its era rises, and what was derived from versions
of the era before says nothing any more. Answers overtake each other: one of an
era that is over is void, whatever it says.
"""

from collections.abc import Callable
from typing import NamedTuple

from roadlift.serving.position import FIRST_ERA, StorePosition


class StoreReturn(NamedTuple):
    """That the store came back older: its eras, and what told of it."""

    before: int
    era: int
    source: str


class StoreEras:
    """The newest era that an answer of the store told.

    ``on_return`` is called once for each return that is learned of, before
    the answer that told it is passed on.
    """

    def __init__(self) -> None:
        self._is_known = False
        self.newest = FIRST_ERA
        self.on_return: list[Callable[[StoreReturn], None]] = []

    def note(self, era: int, source: str) -> bool:
        """Learn the era of an answer; False means that it is over."""
        if not self._is_known:
            self._is_known = True
            self.newest = era
        if era > self.newest:
            told = StoreReturn(self.newest, era, source)
            self.newest = era
            for listener in list(self.on_return):
                listener(told)
        return era == self.newest

    def is_current(self, position: StorePosition) -> bool:
        """Tell whether a position is of the era that the store is in."""
        return position.era == self.newest
