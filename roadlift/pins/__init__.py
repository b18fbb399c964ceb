"""Hold pins on copies, so that no copy is evicted while a request uses it.

Public API: ``PinTable`` stores the pins that this process holds, ``Seeker``
obtains pins for requests.
"""

from roadlift.pins.seeker import Host, Seeker, Waiter
from roadlift.pins.table import HeldPin, PinTable

__all__ = ["HeldPin", "Host", "PinTable", "Seeker", "Waiter"]
