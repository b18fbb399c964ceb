"""Define the heartbeats between instances.

``members`` are Member tuples as lists; ``head`` is the number of the bundle
in force at the sender; ``print`` a fingerprint of the processes it knows.
"""

from typing import NamedTuple

from roadlift.core.codec import message


@message("ping")
class Ping(NamedTuple):
    """Ask an instance to show that it is alive."""

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
    """Ask a third instance to ping ``target`` in the sender's place."""

    serial: int
    target: str


@message("join")
class Join(NamedTuple):
    """Ask for all members, as an instance that starts or was cut off."""

    member: list


@message("all")
class Roster(NamedTuple):
    """Answer a join with every member."""

    members: list[list]
