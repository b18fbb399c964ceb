"""Define what instances say to each other about bundles.

A whole bundle travels in parts, so that no message holds up the heartbeats.
"""

from typing import NamedTuple

from roadlift.core.codec import message


@message("b-head")
class Announce(NamedTuple):
    """Tell the number of the bundle in force at the sender."""

    number: int


@message("b-ask")
class Ask(NamedTuple):
    """Ask for what follows the number ``after``."""

    after: int


@message("b-links")
class Links(NamedTuple):
    """Give the changes that follow, as pairs of number and bytes."""

    links: list[list]


@message("b-whole")
class Part(NamedTuple):
    """Give one part of a whole bundle; ``index`` counts from 0."""

    number: int
    digest: str
    index: int
    parts: int
    content: bytes
