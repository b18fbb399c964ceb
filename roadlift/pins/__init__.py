"""Hold pins on copies, so that none is evicted under a request.

Public surface: ``PinTable`` keeps them, ``Seeker`` finds them for requests.
"""

from roadlift.pins.seeker import Host, Seeker, Waiter
from roadlift.pins.table import HeldPin, PinTable

__all__ = ["HeldPin", "Host", "PinTable", "Seeker", "Waiter"]
