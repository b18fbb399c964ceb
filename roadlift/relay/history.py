"""Remember the connections on which an answer could be mistaken for another.

A server may repeat an answer late, where the next one on its connection is
expected. A request's id tells such an answer from that of another request, but
not from that of an earlier send of the same one.
"""

from weakref import WeakSet

from roadlift.relay.pool import Channel


class ChannelHistory:
    """The connections that carried earlier sends of one request, or its like.

    Those that are closed are forgotten.
    """

    def __init__(self) -> None:
        self._channels: WeakSet[Channel] = WeakSet()

    def add(self, channel: Channel) -> None:
        """Record that a connection carries a send."""
        self._channels.add(channel)

    def is_unused(self, channel: Channel) -> bool:
        """Return whether a connection has carried no send of these."""
        return channel not in self._channels
