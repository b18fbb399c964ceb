"""Carry the calls of kernels through the hub."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from roadlift.relay.address import Address
from roadlift.relay.upstream import Receiver, Request

if TYPE_CHECKING:
    from standins.hub import Hub


class HubLine:
    """A call in flight through the hub."""

    def __init__(self, receiver: Receiver) -> None:
        self.receiver = receiver
        self.is_closed = False
        self.is_paused = False
        self.written = True
        self.on_close: Callable[[], None] = lambda: None

    def close(self) -> None:
        """Cancel the call."""
        if not self.is_closed:
            self.is_closed = True
            self.on_close()

    def pause(self) -> None:
        """Let the events of a stream wait; other answers are whole at once."""
        self.is_paused = True

    def resume(self) -> None:
        """Let them come."""
        self.is_paused = False


class HubDialer:
    """The dialer of one kernel, over the hub."""

    def __init__(self, hub: "Hub", name: str) -> None:
        self._hub = hub
        self._name = name

    def open(
        self, address: Address, request: Request, receiver: Receiver, timeout: float
    ) -> HubLine:
        """Start a call to a stand-in."""
        line = HubLine(receiver)
        self._hub.call(self._name, str(address), request, line, timeout)
        return line
