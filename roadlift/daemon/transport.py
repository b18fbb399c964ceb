"""Carry messages between instances over ZeroMQ push and pull sockets.

Each process binds one pull socket and has one push socket a peer. Queues are
bounded, nothing lingers, and nothing is queued for a peer that is not
connected: a message that can't go now is dropped, and every protocol between
instances bears that, as it bears late and doubled ones.
"""

from collections.abc import Callable, Iterable

import zmq

from roadlift.core.codec import Envelope, decode, encode
from roadlift.core.errors import MalformedMessage, UnknownMessage
from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.core.traffic import RECEIVED, SENT, Traffic

QUEUE = 1000  # Messages held for a peer, or from all of them.
DRAIN_PERIOD = 0.05  # Seconds; ZeroMQ's descriptor is edge-triggered.
# Milliseconds between heartbeats on a connection, and of silence behind which
# it is reopened: a path can go silent for good without a reset.
HEARTBEAT_PERIOD = 400
HEARTBEAT_LIMIT = 1200
MOST_UNKNOWN = 64  # Kinds of messages that are told of as unknown.
MOST_DRAINED = 500  # Messages taken before other sockets get their turn.

log = ComponentLog("transport")


@components.register("transport")
class Transport:
    """The sockets between this process and its peers."""

    name = "transport"
    needs = ()

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._context = zmq.Context()
        self._pull: zmq.Socket | None = None
        self._pushes: dict[str, zmq.Socket] = {}
        self._handlers: dict[type, Callable[[str, object], None]] = {}
        self._timer = None
        self._unknown: set[str] = set()
        self.process = ""
        self.bytes_in = 0
        self.bytes_out = 0
        self.messages_out = 0
        self.drops = 0
        self.traffic = Traffic()

    def start(self) -> None:
        """Bind the pull socket."""
        self._pull = self._open(zmq.PULL)
        self._pull.bind(f"tcp://{self._kernel.settings.peer}")
        self._kernel.loop.watch(self._pull.getsockopt(zmq.FD), self._drain)
        self._timer = self._kernel.loop.call_every(DRAIN_PERIOD, self._drain)

    def close(self) -> None:
        """Close every socket."""
        self._timer.close()
        self._kernel.loop.unwatch(self._pull.getsockopt(zmq.FD))
        for push in self._pushes.values():
            push.close(0)
        self._pushes.clear()
        self._pull.close(0)
        self._context.destroy(0)

    def subscribe(
        self, kinds: tuple[type, ...], handler: Callable[[str, object], None]
    ) -> None:
        """Give messages of the types to ``handler(sender, message)``."""
        for kind in kinds:
            self._handlers[kind] = handler

    def connect(self, address: str) -> None:
        """Open the way to a peer, so that a first message can go."""
        if address in self._pushes:
            return
        push = self._open(zmq.PUSH)
        push.setsockopt(zmq.IMMEDIATE, 1)
        # The sending side alone looks for silent paths: with both, 10 small
        # packets a connection in 0.4 s, of which half told nothing new.
        push.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_PERIOD)
        push.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_LIMIT)
        push.connect(f"tcp://{address}")
        self._pushes[address] = push

    def disconnect(self, address: str) -> None:
        """Close the way to a peer that is gone."""
        push = self._pushes.pop(address, None)
        if push is not None:
            push.close(0)

    def send(self, address: str, message: object) -> bool:
        """Send a message; False means that it was dropped."""
        if address == self._kernel.settings.peer:
            envelope = Envelope(self.process, message)
            self._kernel.loop.call_later(0, lambda: self._dispatch(envelope))
            return True
        data = encode(Envelope(self.process, message))
        return self._send(address, message, data)

    def send_all(self, addresses: Iterable[str], message: object) -> None:
        """Send one message to several peers; it is encoded once."""
        data = encode(Envelope(self.process, message))
        for address in addresses:
            self._send(address, message, data)

    def _send(self, address: str, message: object, data: bytes) -> bool:
        self.connect(address)
        try:
            self._pushes[address].send(data, zmq.NOBLOCK)
        except zmq.Again:
            self.drops += 1
            return False
        self.bytes_out += len(data)
        self.messages_out += 1
        self.traffic.record(message, SENT, len(data))
        return True

    def _open(self, kind: int) -> zmq.Socket:
        opened = self._context.socket(kind)
        opened.setsockopt(zmq.LINGER, 0)
        opened.setsockopt(zmq.SNDHWM, QUEUE)
        opened.setsockopt(zmq.RCVHWM, QUEUE)
        opened.setsockopt(zmq.RECONNECT_IVL, 50)
        opened.setsockopt(zmq.RECONNECT_IVL_MAX, 1000)
        return opened

    def _drain(self) -> None:
        for _ in range(MOST_DRAINED):
            try:
                data = self._pull.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            self.bytes_in += len(data)
            try:
                envelope = decode(data)
            except UnknownMessage as error:
                self._note_unknown(error.detail)
                continue
            except MalformedMessage as error:
                log.warning("A message was dropped: %s.", error)
                continue
            self.traffic.record(envelope.message, RECEIVED, len(data))
            self._dispatch(envelope)
        self._kernel.loop.call_later(0, self._drain)

    def _note_unknown(self, tag: str) -> None:
        """Tell once for each kind that peers of another release send it."""
        if tag not in self._unknown and len(self._unknown) < MOST_UNKNOWN:
            self._unknown.add(tag)
            log.info("Messages of the unknown kind %r are passed over.", tag)

    def _dispatch(self, envelope: Envelope) -> None:
        handler = self._handlers.get(type(envelope.message))
        if handler is not None:
            handler(envelope.sender, envelope.message)
