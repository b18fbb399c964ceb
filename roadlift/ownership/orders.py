"""Define the orders that an owner gives to its endpoint."""

import enum
from typing import NamedTuple

LOAD = "load"
UNLOAD = "unload"


class Order(NamedTuple):
    """An order to the endpoint: load or unload ``copy``.

    ``priority`` is the class for which a load is made.
    """

    verb: str
    copy: str
    model: str
    fence: int
    priority: str = ""


class OrderResult(enum.Enum):
    """How an order ended.

    REFUSED did not take effect; FENCED neither, as another owner has a
    higher number; of UNKNOWN nobody knows, and it may take effect later.
    """

    DONE = "done"
    REFUSED = "refused"
    FENCED = "fenced"
    UNKNOWN = "unknown"
