"""Define the heartbeat messages between instances.

``members`` are Member tuples as lists; ``head`` is the number of the bundle
in force at the sender; ``print`` is a fingerprint of the processes that the
sender knows and that are not gone.
"""

from typing import NamedTuple

from roadlift.core.codec import message


@message("ping")
class Ping(NamedTuple):
    """Request an ack from an instance, as evidence that it is alive."""

    serial: int
    members: list[list]
    head: int
    print: int


@message("ack")
class Ack(NamedTuple):
    """Answer a ping."""

    serial: int
    members: list[list]
    head: int
    print: int


@message("probe")
class Probe(NamedTuple):
    """Request that a third instance ping ``target`` for the sender."""

    serial: int
    target: str


@message("join")
class Join(NamedTuple):
    """Request all members, at the start, after a partition or a mismatch."""

    member: list


@message("all")
class Roster(NamedTuple):
    """Answer a join with every member."""

    members: list[list]
