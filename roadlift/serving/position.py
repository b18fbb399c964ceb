"""Order the states of a store that may come back from an older copy.

A store that lost its newest writes counts its versions on from those of the
copy, so a version alone tells nothing of which of two states is the later one.
Each such return begins an era, and positions are compared by era first.
"""

from typing import NamedTuple

FIRST_ERA = 0  # That of answers which tell none.
# Bits of a version in the one number of a position: enough for 1,200 writes a
# second in 29 years, and a position of era 8,191 fits the 53 bits of JSON.
VERSION_BITS = 40


class StorePosition(NamedTuple):
    """A version of the store in one of its eras."""

    era: int
    version: int

    def pack(self) -> int:
        """Return the position as one number, which keeps the order.

        Where a store tells no era it is the version, which is all that
        instances of the release before know.
        """
        return (self.era << VERSION_BITS) + self.version

    @classmethod
    def unpack(cls, number: int) -> "StorePosition":
        """Return the position of which ``pack`` made a number."""
        version = number & ((1 << VERSION_BITS) - 1)
        return cls(number >> VERSION_BITS, version)


NOWHERE = StorePosition(FIRST_ERA, 0)  # Before the first write; of no row.
