"""Decide in which availability zones, and on what software, a call may run.

Load pattern: customers whose data must stay in some regions, on instances and
endpoints that many customers share. A route and an organisation may each name
home regions, and both bind. The prompt and the answer of such a call are
neither sent to an endpoint of another region nor loaded or resumed there,
whatever capacity is free.

Several versions of an endpoint's software may serve side by side. What two of
them write does not fit together, so that a stream that has begun continues at
its own version only.
"""

from collections.abc import Mapping
from typing import NamedTuple

from roadlift.core.errors import ImproperlyConfigured


class Scope(NamedTuple):
    """The endpoints that a call may use.

    ``service`` is the one that it is sent to; ``zones`` are those where it may
    run, and ``software`` the versions of endpoints' software that may run it,
    each None for all.
    """

    service: str
    zones: frozenset[str] | None = None
    software: frozenset[str] | None = None

    def includes(self, zone: str, software: str | None) -> bool:
        """Return whether an endpoint of a zone and a version may run it."""
        is_zone_allowed = self.zones is None or zone in self.zones
        return is_zone_allowed and (self.software is None or software in self.software)

    def widen(self) -> "Scope":
        """Return the scope with all versions.

        The load of a service is known for all of them together, and says
        nothing of the slots of one.
        """
        return self._replace(software=None)


class Regions:
    """The region of each availability zone."""

    def __init__(self, by_zone: Mapping[str, str]) -> None:
        self._by_zone = dict(by_zone)

    @classmethod
    def parse(cls, text: str) -> "Regions":
        """Read a list of ZONE=REGION, separated by commas.

        Raises ImproperlyConfigured for anything else.
        """
        pairs = [pair.partition("=") for pair in text.split(",") if pair]
        if not all(zone and region for zone, _, region in pairs):
            raise ImproperlyConfigured(f"regions: {text!r} is no list of ZONE=REGION")
        return cls({zone: region for zone, _, region in pairs})

    def has_zone(self, zone: str) -> bool:
        """Return whether the region of a zone is known."""
        return zone in self._by_zone

    def are_apart(self, zone: str, other: str) -> bool:
        """Return whether two zones are known to be in different regions."""
        regions = (self._by_zone.get(zone), self._by_zone.get(other))
        return None not in regions and regions[0] != regions[1]

    def list_zones(self, homes: frozenset[str]) -> frozenset[str]:
        """Return the zones of some regions; one of no region is left out."""
        return frozenset(
            zone for zone, region in self._by_zone.items() if region in homes
        )

    def choose_zones(self, *homes: frozenset[str] | None) -> frozenset[str] | None:
        """Return the zones where all restrictions let a call run.

        Each restriction is a set of regions, or None for none. Returns None if
        there is no restriction at all.
        """
        binding = [regions for regions in homes if regions is not None]
        if not binding:
            return None
        return self.list_zones(frozenset.intersection(*binding))


# Where the settings name no regions, all zones count as of one.
NO_REGIONS = Regions({})
