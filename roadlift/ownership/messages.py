"""Define the messages between owners of endpoints and holders of pins.

Fields with the same name have the same meaning in all messages: ``endpoint``
is an endpoint's name, ``copy`` the name under which an adapter is loaded
there, ``epoch`` the owner's fencing number, and ``nonce`` the number of a
holder's pin request.
"""

from typing import NamedTuple

from roadlift.core.codec import message


@message("acq")
class Acquire(NamedTuple):
    """Request a pin on a copy of ``model`` from the owner.

    ``wait`` is the time in seconds for which the holder accepts an answer;
    ``last`` says that the holder will not try another endpoint.
    """

    endpoint: str
    nonce: int
    model: str
    priority: str
    wait: float
    last: bool


@message("grant")
class Grant(NamedTuple):
    """Grant a pin, which does not expire and lasts until it is released.

    ``running`` is the number of running requests at the endpoint and
    ``width`` its batch size.
    """

    endpoint: str
    nonce: int
    copy: str
    epoch: int
    running: int
    width: int


@message("refuse")
class Refuse(NamedTuple):
    """Refuse a pin; ``reason`` is one of the `RefusalReason` values."""

    endpoint: str
    nonce: int
    reason: str
    retry_after: float


@message("release")
class Release(NamedTuple):
    """Release the pin that was granted to request ``nonce``."""

    endpoint: str
    copy: str
    nonce: int


@message("recall")
class Recall(NamedTuple):
    """Ask a holder to release a pin when its requests are done."""

    endpoint: str
    copy: str


@message("inquire")
class Inquire(NamedTuple):
    """Request a report from a holder whose last report is too old."""

    endpoint: str


@message("report")
class Report(NamedTuple):
    """Report to the owner which pins a holder has.

    Requests with a nonce below ``floor`` have ended: a grant to one of them
    that is not listed will never be used. Each entry of ``pins`` holds the
    copy, the nonce, the number of running requests, and the number of uses
    since the last report, without the use that the grant was requested for.
    """

    endpoint: str
    serial: int
    floor: int
    pins: list[list]


@message("level")
class Level(NamedTuple):
    """Answer a report with the number of running requests."""

    endpoint: str
    running: int


@message("census")
class Census(NamedTuple):
    """Ask, as the new owner, for the pins granted in earlier epochs."""

    endpoint: str
    epoch: int


@message("count")
class Count(NamedTuple):
    """Answer a census, and promise to accept no grant of an earlier epoch.

    ``yielded`` lists the epochs in which the sender owned the endpoint, and
    in which it will issue no further order or grant.
    """

    endpoint: str
    epoch: int
    pins: list[list]
    yielded: list[int]


class RefusalReason:
    """The reasons for which an owner refuses a pin."""

    NOT_OWNER = "not_owner"
    BUSY = "busy"
    FULL = "full"
    TAKING_OVER = "taking_over"
    EXPIRED = "expired"
    LOAD_FAILED = "load_failed"
