"""The ways in which an engine ends, as those that it serves see them."""

import enum
from typing import NamedTuple

LATE_CLOSE = 0.06  # Seconds for which a listener outlives its engine's connections.


class Listener(enum.StrEnum):
    """What becomes of the listening socket of an engine that ended.

    A port mapper accepts for an engine that is gone and resets, a proxy holds
    what it accepted.
    """

    GONE = "gone"
    LATE = "late"
    RESETS = "resets"
    HOLDS = "holds"


class Ending(NamedTuple):
    """How an engine ends, by itself or under a call.

    ``before_head`` means that it sends nothing to a call under which it ends;
    ``removes_entry`` that its entry in the list is deleted at once.
    """

    listener: Listener = Listener.GONE
    before_head: bool = False
    removes_entry: bool = False


ENDINGS = {
    "plain": Ending(),
    "late": Ending(Listener.LATE),
    "resets": Ending(Listener.RESETS),
    "holds": Ending(Listener.HOLDS),
    "before head": Ending(before_head=True),
    "before head, resets": Ending(Listener.RESETS, before_head=True),
    "no entry": Ending(removes_entry=True),
}
