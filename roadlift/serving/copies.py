"""Track the state of an adapter's copy at an engine."""

import enum

NEXT_POLL = 0.01  # Seconds between the first and the second poll.


class CopyState(enum.Enum):
    """The state of an adapter's copy.

    LEAVING and REPLACING wait for the calls that run on the copy to end.
    Until then the engine accepts no order but a repetition of this one.
    """

    ARRIVING = "arriving"
    HELD = "held"
    LEAVING = "leaving"
    REPLACING = "replacing"


class Copy:
    """A copy of an adapter at the engine.

    ``version`` is the version held, ``target`` the version ordered;
    ``is_return`` is set if the engine held the adapter before.
    """

    __slots__ = (
        "failed_polls",
        "is_outdated",
        "is_return",
        "poll_at",
        "poll_pause",
        "polls",
        "since",
        "state",
        "target",
        "version",
    )

    def __init__(self, state: CopyState, version: int, now: float) -> None:
        self.state = state
        self.version = version
        self.target = version
        self.since = now
        self.is_outdated = False
        self.is_return = False
        self.poll_at = now
        self.poll_pause = NEXT_POLL
        self.polls = 0
        self.failed_polls = 0
