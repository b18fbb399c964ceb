"""Define what owners of endpoints and holders of pins say to each other.

Field names are the same throughout: ``endpoint`` is an endpoint's name,
``copy`` the name under which an adapter is loaded there, ``epoch`` the
owner's fencing number, ``nonce`` the number of a holder's asking.
"""

from typing import NamedTuple

from roadlift.core.codec import message


@message("acq")
class Acquire(NamedTuple):
    """Ask the owner for a pin on a copy of ``model``.

    ``wait`` is how long, in seconds, the holder will take the answer;
    ``last`` tells that no other endpoint will be asked.
    """

    endpoint: str
    nonce: int
    model: str
    priority: str
    wait: float
    last: bool


@message("grant")
class Grant(NamedTuple):
    """Give a pin; it never lapses, and lasts until it is given back.

    ``running`` and ``width`` tell how full the endpoint's batch is.
    """

    endpoint: str
    nonce: int
    copy: str
    epoch: int
    running: int
    width: int


@message("refuse")
class Refuse(NamedTuple):
    """Give no pin; ``reason`` is one of the Reason values."""

    endpoint: str
    nonce: int
    reason: str
    retry_after: float


@message("release")
class Release(NamedTuple):
    """Give back the pin that was granted to ``nonce``."""

    endpoint: str
    copy: str
    nonce: int


@message("recall")
class Recall(NamedTuple):
    """Ask a holder to give a pin back when its requests are done."""

    endpoint: str
    copy: str


@message("inquire")
class Inquire(NamedTuple):
    """Ask a holder for a report, as none has come for long."""

    endpoint: str


@message("report")
class Report(NamedTuple):
    """Tell the owner which pins a holder has.

    Askings below ``floor`` are over: a grant to one that is not listed will
    never be used. ``pins`` lists copy, nonce, running requests, and the uses
    since the last report beyond the one that the grant was for.
    """

    endpoint: str
    serial: int
    floor: int
    pins: list[list]


@message("level")
class Level(NamedTuple):
    """Answer a report: how many requests run at the endpoint."""

    endpoint: str
    running: int


@message("census")
class Census(NamedTuple):
    """Ask, as a new owner, who has pins from earlier epochs."""

    endpoint: str
    epoch: int


@message("count")
class Count(NamedTuple):
    """Answer a census and promise to use no grant of an earlier epoch.

    ``yielded`` lists the epochs in which the sender owned the endpoint, and
    in which it will give no order and no grant any more.
    """

    endpoint: str
    epoch: int
    pins: list[list]
    yielded: list[int]


class Reason:
    """Why an owner gives no pin."""

    NOT_OWNER = "not_owner"
    BUSY = "busy"
    FULL = "full"
    TAKING_OVER = "taking_over"
    EXPIRED = "expired"
    LOAD_FAILED = "load_failed"
