"""Hold pins on copies, so that none is evicted under a request.

Public surface: ``PinTable``.
"""

from roadlift.pins.table import HeldPin, PinTable

__all__ = ["HeldPin", "PinTable"]
