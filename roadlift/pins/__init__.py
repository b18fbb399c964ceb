"""Hold pins on copies, so that no copy is evicted while a request uses it.

Public API: ``PinTable`` stores the pins that this process holds,
``PinRequester`` obtains pins for requests.
"""

from roadlift.pins.requester import Host, PinRequester, Waiter
from roadlift.pins.table import HeldPin, PinTable

__all__ = ["HeldPin", "Host", "PinRequester", "PinTable", "Waiter"]
