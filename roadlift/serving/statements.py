"""Define what the head of an answer says about its endpoint."""

from typing import NamedTuple

from roadlift.core.errors import RoadliftError


class Statement(NamedTuple):
    """What an endpoint says about itself in the head of an answer.

    ``limit`` is how many calls a second it accepts from all instances, or
    None; with ``is_leaving`` it announces that it is draining; ``rest`` is
    the back-off in seconds that it requests from the rejected instance, or 0.
    ``faults`` are the errors of values that can't be read; ``unknown`` are the
    names of headers that no table of the platform's adapter lists. With
    ``is_rejected`` the call was rejected for lack of capacity, with a back-off
    or without. ``cold_time`` is the seconds for which the endpoint stays cold,
    or None; ``rejection_limit`` is how many calls a second it may have to
    reject without a crash, or None if that is not limited.
    """

    limit: float | None = None
    is_leaving: bool = False
    rest: float = 0.0
    faults: tuple[RoadliftError, ...] = ()
    unknown: tuple[str, ...] = ()
    is_rejected: bool = False
    cold_time: float | None = None
    rejection_limit: float | None = None

    def has_fault(self, kind: type[RoadliftError]) -> bool:
        """Return whether a value failed to parse with a kind of error."""
        return any(isinstance(fault, kind) for fault in self.faults)
