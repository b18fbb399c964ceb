"""Find other instances that reach endpoints, while this one does not.

An instance that is isolated asks the owners of zones, its aggregator and its
own subscribers; each answers with the address at which it takes calls, if it
reaches endpoints itself, and with some of its subscribers, who are asked next.
Nothing is sent while no instance is isolated.
"""

from collections.abc import Callable, Collection
from random import Random
from typing import NamedTuple

from roadlift.core.kernel import Kernel
from roadlift.core.logs import ComponentLog
from roadlift.daemon.transport import Transport
from roadlift.instance.aggregator import Aggregator
from roadlift.instance.leases import Leases
from roadlift.instance.subscription import Subscription
from roadlift.relay.address import Address
from roadlift.serving.messages import FindGateways, GatewayReply

SEARCH_INTERVAL = 0.2  # Seconds between two rounds of questions.
REPLY_TTL = 1.0  # Seconds for which a reply counts.
# Instances that are asked in a round, and subscribers that a reply names: the
# calls of an isolated instance are spread over that many others at most.
MAX_ASKED = 12
MAX_NAMED = 8

log = ComponentLog("isolation")


class Gateway(NamedTuple):
    """An instance that reaches endpoints; ``expires_at`` in seconds."""

    address: Address
    zone: str
    expires_at: float


class Gateways:
    """The instances to which this one can forward calls."""

    def __init__(
        self, kernel: Kernel, rng: Random, can_reach: Callable[[], bool]
    ) -> None:
        settings = kernel.settings
        self._clock = kernel.clock
        self._loop = kernel.loop
        self._address = settings.peer
        self._front = settings.http
        self._zone = settings.zone
        self._rng = rng
        self._can_reach = can_reach
        self._leases = kernel.get(Leases)
        self._aggregator = kernel.get(Aggregator)
        self._subscription = kernel.get(Subscription)
        self._transport = kernel.get(Transport)
        self._transport.subscribe((FindGateways,), self._handle_question)
        self._transport.subscribe((GatewayReply,), self._handle_reply)
        self._known: dict[str, Gateway] = {}
        self._named: set[str] = set()
        self._timer = None
        self.on_found: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Begin to search."""
        if self._timer is None:
            self._timer = self._loop.call_every(SEARCH_INTERVAL, self._ask)
            self._ask()

    def close(self) -> None:
        """Stop searching, and forget what was found."""
        if self._timer is not None:
            self._timer.close()
            self._timer = None
        self._known.clear()
        self._named.clear()

    def choose(self, excluded: Collection[Address] = ()) -> Address | None:
        """Return an instance that takes calls, of this zone if possible."""
        now = self._clock.now()
        usable = [
            one
            for one in self._known.values()
            if one.expires_at > now and one.address not in excluded
        ]
        local = [one for one in usable if one.zone == self._zone]
        chosen = local or usable
        return self._rng.choice(chosen).address if chosen else None

    def drop(self, address: Address) -> None:
        """Forget an instance that did not take a call."""
        self._known = {
            peer: one for peer, one in self._known.items() if one.address != address
        }

    def _ask(self) -> None:
        owners = {self._leases.find_owner(zone) for zone in self._leases.list_zones()}
        asked = owners | {self._subscription.source} | set(self._known)
        others = self._named | set(self._aggregator.list_subscribers())
        asked -= {None, "", self._address}
        others -= {*asked, self._address}
        count = max(0, min(len(others), MAX_ASKED - len(asked)))
        asked |= set(self._rng.sample(sorted(others), count))
        self._transport.send_all(asked, FindGateways(self._address))

    def _handle_question(self, sender: str, message: FindGateways) -> None:
        """Tell where this instance takes calls, if it reaches endpoints."""
        subscribers = [
            one for one in self._aggregator.list_subscribers() if one != message.address
        ]
        count = min(len(subscribers), MAX_NAMED)
        named = self._rng.sample(subscribers, count)
        front = self._front if self._can_reach() else ""
        reply = GatewayReply(self._address, self._zone, front, named)
        self._transport.send(message.address, reply)

    def _handle_reply(self, sender: str, message: GatewayReply) -> None:
        if self._timer is None:
            return
        self._named |= set(message.subscribers)
        if not message.front:
            self._known.pop(message.address, None)
            return
        try:
            address = Address.parse(message.front)
        except (OSError, ValueError) as error:
            log.warning("%s at %s was ignored: %s.", message.front, sender, error)
            return
        expires_at = self._clock.now() + REPLY_TTL
        self._known[message.address] = Gateway(address, message.zone, expires_at)
        self.on_found()
