"""Name the copies of adapters that are loaded at an endpoint.

Names have the form ``adapter@version~epoch.serial``, unique to each load. A
late or stale order thus refers to a copy that is no longer served from, even
at an engine that ignores fencing numbers, and a late request to an evicted
copy is rejected because its name is unknown.
"""

from typing import NamedTuple


class CopyName(NamedTuple):
    """The components of a copy's name."""

    model: str
    epoch: int
    serial: int

    def __str__(self) -> str:
        return f"{self.model}~{self.epoch:x}.{self.serial:x}"


def parse_copy_name(name: str) -> CopyName | None:
    """Parse the name of a copy; return None if it has another form."""
    model, tilde, numbers = name.rpartition("~")
    epoch, dot, serial = numbers.partition(".")
    if not (tilde and dot):
        return None
    try:
        return CopyName(model, int(epoch, 16), int(serial, 16))
    except ValueError:
        return None
