"""Track the availability zones that the operator has taken out of service.

A zone is evacuated while the operator's table has a row for it. The table may
be read whole, as changes, or be relayed, and the store may be restored from an
older copy; a row that is older than the last known one changes nothing.
"""

from collections.abc import Collection
from typing import NamedTuple

from roadlift.serving.position import StorePosition


class Evacuation(NamedTuple):
    """The state of a zone's row; it ``is_active`` until it is deleted."""

    zone: str
    is_active: bool


class _ZoneRow(NamedTuple):
    """The newest known state of a zone's row."""

    key: str
    position: StorePosition
    is_active: bool


class Evacuations:
    """The rows of evacuated zones, each in its newest known state."""

    def __init__(self) -> None:
        self._rows: dict[str, _ZoneRow] = {}

    @property
    def zones(self) -> frozenset[str]:
        """Return the zones that are evacuated."""
        return frozenset(zone for zone, row in self._rows.items() if row.is_active)

    def apply(self, evacuation: Evacuation, key: str, position: StorePosition) -> bool:
        """Apply a row's state; return whether that of the zone changed."""
        known = self._rows.get(evacuation.zone)
        if known is not None and position < known.position:
            return False
        self._rows[evacuation.zone] = _ZoneRow(key, position, evacuation.is_active)
        was_active = known is not None and known.is_active
        return evacuation.is_active != was_active

    def list_vanished(self, keys: Collection[str]) -> list[str]:
        """Return the keys of active rows that a whole table does not have."""
        return [
            row.key
            for row in self._rows.values()
            if row.is_active and row.key not in keys
        ]

    def expire(self, era: int) -> list[str]:
        """End the evacuations whose rows an older copy of the store lacked.

        To be called once the operator has written its rows again, in ``era``.
        Returns the zones.
        """
        lost = [
            zone
            for zone, row in self._rows.items()
            if row.is_active and row.position.era < era
        ]
        for zone in lost:
            del self._rows[zone]
        return lost
