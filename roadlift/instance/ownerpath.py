"""Send requests on an endpoint to the owner of its zone, and the replies.

An instance that owns no zone sends its requests through its aggregator, so
that they open no new connections between instances.
"""

from collections.abc import Callable
from typing import Protocol

from roadlift.core.kernel import Kernel
from roadlift.daemon.transport import Transport
from roadlift.instance.leases import Leases
from roadlift.instance.subscription import Subscription


class OwnerRequest(Protocol):
    """A message on an endpoint of a zone, from the process at an address."""

    address: str
    via: str
    zone: str


class OwnerReply(Protocol):
    """A message to the process at an address."""

    address: str


class OwnerPath:
    """The way of one kind of request to owners, and of their replies.

    ``answer`` handles a request for a zone that is owned here, and
    ``receive`` a reply to this process.
    """

    def __init__(
        self,
        kernel: Kernel,
        answer: Callable[[OwnerRequest], None],
        receive: Callable[[OwnerReply], None],
    ) -> None:
        self._peer = kernel.settings.peer
        self._transport = kernel.get(Transport)
        self._leases = kernel.get(Leases)
        self._subscription = kernel.get(Subscription)
        self._answer = answer
        self._receive = receive

    def request(self, message: OwnerRequest) -> None:
        """Send a request of this process towards the owner."""
        if self._leases.list_held():
            self.handle_request(self._peer, message)
        elif self._subscription.source:
            self._transport.send(self._subscription.source, message)

    def handle_request(self, sender: str, message: OwnerRequest) -> None:
        """Answer a request for a zone owned here, or forward it."""
        if message.zone in self._leases.list_held():
            self._answer(message)
            return
        owner = self._leases.find_owner(message.zone)
        cannot_forward = bool(message.via) or not self._leases.list_held()
        if owner is not None and owner != self._peer and not cannot_forward:
            self._transport.send(owner, message._replace(via=self._peer))

    def reply(self, address: str, message: OwnerReply) -> None:
        """Send a reply to a process, or to the aggregator that forwards it."""
        if address == self._peer:
            self.handle_reply(self._peer, message)
        else:
            self._transport.send(address, message)

    def handle_reply(self, sender: str, message: OwnerReply) -> None:
        """Handle a reply to this process, or forward it."""
        if message.address == self._peer:
            self._receive(message)
        else:
            self._transport.send(message.address, message)
