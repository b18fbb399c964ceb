"""Order the states of a store that may be restored from an older copy.

A restored store has lost its newest writes and continues to count versions
from those of the copy, so versions alone don't show which of two states is the
later one. Each restore begins a new era, and positions are compared by era
first.
"""

from typing import NamedTuple

FIRST_ERA = 0  # The era of answers without one.
# Bits of the version in a packed position: enough for 1,200 writes a second
# for 29 years, and a position of era 8,191 fits the 53 bits of a JSON number.
VERSION_BITS = 40


class StorePosition(NamedTuple):
    """A version of the store in one of its eras."""

    era: int
    version: int

    def pack(self) -> int:
        """Return the position as one number, which preserves the order.

        For a store without eras it is the version, which is all that
        instances of the previous release know.
        """
        return (self.era << VERSION_BITS) + self.version

    @classmethod
    def unpack(cls, number: int) -> "StorePosition":
        """Return the position that ``pack`` packed."""
        version = number & ((1 << VERSION_BITS) - 1)
        return cls(number >> VERSION_BITS, version)


# The position before the first write; no row has it.
ZERO_POSITION = StorePosition(FIRST_ERA, 0)
