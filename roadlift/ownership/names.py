"""Name the copies of adapters that are loaded at an endpoint.

``adapter@version~epoch.serial``: each load has a name of its own, so that a
late or stale order names a copy that nobody serves from any more, also at an
engine that ignores fencing numbers, and a late request to a copy that was
evicted is refused by name.
"""

from typing import NamedTuple


class CopyName(NamedTuple):
    """The parts of a copy's name."""

    model: str
    epoch: int
    serial: int

    def __str__(self) -> str:
        return f"{self.model}~{self.epoch:x}.{self.serial:x}"


def parse_copy_name(name: str) -> CopyName | None:
    """Return the parts of a name, or None where it is not one of ours."""
    model, mark, rest = name.rpartition("~")
    epoch, dot, serial = rest.partition(".")
    if not (mark and dot):
        return None
    try:
        return CopyName(model, int(epoch, 16), int(serial, 16))
    except ValueError:
        return None
