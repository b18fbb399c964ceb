"""Track the state of an adapter's copy at an engine."""

import enum

FIRST_POLL_INTERVAL = 0.01  # Seconds between the first and the second poll.


class CopyState(enum.Enum):
    """The state of an adapter's copy.

    UNLOADING and REPLACING wait for the calls that run on the copy to end.
    Until then the engine accepts no order but a repetition of this one.
    """

    LOADING = "loading"
    HELD = "held"
    UNLOADING = "unloading"
    REPLACING = "replacing"


class Copy:
    """A copy of an adapter at the engine.

    ``version`` is the version held, ``target`` the version ordered;
    ``is_reload`` is set if the engine held the adapter before.
    """

    __slots__ = (
        "failed_polls",
        "is_outdated",
        "is_reload",
        "poll_at",
        "poll_interval",
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
        self.is_reload = False
        self.poll_at = now
        self.poll_interval = FIRST_POLL_INTERVAL
        self.polls = 0
        self.failed_polls = 0
