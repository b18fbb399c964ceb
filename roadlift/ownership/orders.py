"""Define the orders that an owner sends to its endpoint."""

import enum
from typing import NamedTuple

LOAD = "load"
UNLOAD = "unload"


class Order(NamedTuple):
    """An order to load or unload ``copy`` at the endpoint.

    ``fence`` is the owner's fencing number; ``priority`` is the priority
    class of the request for which a load is made.
    """

    verb: str
    copy: str
    model: str
    fence: int
    priority: str = ""


class OrderResult(enum.Enum):
    """The result of an order.

    A REFUSED order did not take effect. Neither did a FENCED one, because
    another owner has a higher fencing number. An UNKNOWN order may have taken
    effect, or may still do so later.
    """

    DONE = "done"
    REFUSED = "refused"
    FENCED = "fenced"
    UNKNOWN = "unknown"
