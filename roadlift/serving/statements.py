"""Define what the head of an answer says of the endpoint that gave it."""

from typing import NamedTuple

from roadlift.core.errors import RoadliftError


class Statement(NamedTuple):
    """What an endpoint says of itself in the head of an answer.

    ``limit`` is how many calls a second it takes from all instances, or None;
    one that ``is_leaving`` ends soon; ``rest`` is for how many seconds it
    wants nothing from the instance that was turned away, or 0. ``faults`` are
    of what it says and can't be read; ``unknown`` are the names of headers
    that no table of the platform's adapter lists. A call that
    ``is_turned_away`` was refused for want of room, with a rest or without.
    """

    limit: float | None = None
    is_leaving: bool = False
    rest: float = 0.0
    faults: tuple[RoadliftError, ...] = ()
    unknown: tuple[str, ...] = ()
    is_turned_away: bool = False

    def has_fault(self, kind: type[RoadliftError]) -> bool:
        """Tell whether something of one kind could not be read."""
        return any(isinstance(fault, kind) for fault in self.faults)
