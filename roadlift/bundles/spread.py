"""Spread bundles from the few that read the store to all instances.

A few readers in each availability zone, found by rendezvous hashing, read
the head row; everyone else hears of a new number from peers, at once from
some and with the heartbeats from all, and asks one that has it for what is
missing. An availability zone without the platform hears through its
neighbours. Rules, by the specification's names:

* ``head_grows``: the number in force never falls, whatever is heard.
"""

import random
from collections.abc import Iterable
from typing import NamedTuple

from roadlift.bundles.chain import Chain, Link, Snapshot
from roadlift.bundles.messages import Announce, Ask, Links, Part
from roadlift.core.clock import Clock
from roadlift.core.errors import InvalidBundle
from roadlift.core.logs import ComponentLog
from roadlift.ownership.election import rank_instances

READERS = 2  # Instances of an availability zone that read the head row.
EAGER = 3  # Peers told at once of a new number.
PART_BYTES = 262144
ASK_AGAIN = 2.0  # Seconds until another peer is asked.
MOST_LINKS = 64  # Changes given in one message.

log = ComponentLog("bundles")


class Sending(NamedTuple):
    """A message to the process ``to``."""

    to: str
    message: object


class Spreader:
    """The bundles of one process and what it says of them."""

    def __init__(self, chain: Chain, clock: Clock, rng: random.Random) -> None:
        self.chain = chain
        self._clock = clock
        self._rng = rng
        self._asked_at = -ASK_AGAIN
        self._parts: dict[tuple[int, str], dict[int, bytes]] = {}

    def is_reader(self, own: str, zone_instances: Iterable[str]) -> bool:
        """Return whether this instance reads the head row for its zone."""
        return own in rank_instances("bundle/head", zone_instances)[:READERS]

    def hear_number(self, sender: str, number: int) -> list[Sending]:
        """Ask a peer that has a higher number, unless one was just asked."""
        now = self._clock.now()
        if number <= self.chain.head.number or now - self._asked_at < ASK_AGAIN:
            return []
        self._asked_at = now
        return [Sending(sender, Ask(self.chain.head.number))]

    def receive(
        self, sender: str, message: object, peers: Iterable[str]
    ) -> list[Sending]:
        """Take a message; ``peers`` may be told of a new number."""
        match message:
            case Announce(number):
                return self.hear_number(sender, number)
            case Ask(after):
                return self._give(sender, after)
            case Links(links):
                return self._take_links(sender, links, peers)
            case Part():
                return self._take_part(message, peers)
        return []

    def take_links(self, links: Iterable[Link], peers: Iterable[str]) -> list[Sending]:
        """Put links in force, from a peer or the store, and tell peers."""
        before = self.chain.head.number
        for link in links:
            try:
                self.chain.append(link)
            except InvalidBundle as error:
                log.error("A bundle was refused: %s.", error)
                break
        return self._tell(before, peers)

    def take_snapshot(self, snapshot: Snapshot, peers: Iterable[str]) -> list[Sending]:
        """Put a whole bundle in force, and tell peers."""
        before = self.chain.head.number
        self.chain.restore(snapshot)
        return self._tell(before, peers)

    def _tell(self, before: int, peers: Iterable[str]) -> list[Sending]:
        number = self.chain.head.number
        if number == before:
            return []
        log.info("Bundle %d is in force.", number)
        self._asked_at = self._clock.now() - ASK_AGAIN
        others = list(peers)
        chosen = self._rng.sample(others, min(EAGER, len(others)))
        return [Sending(peer, Announce(number)) for peer in chosen]

    def _give(self, to: str, after: int) -> list[Sending]:
        links = self.chain.list_links(after)
        if links is not None:
            pairs = [[link.number, link.change] for link in links[:MOST_LINKS]]
            return [Sending(to, Links(pairs))]
        return [Sending(to, part) for part in split(self.chain.take_snapshot())]

    def _take_links(
        self, sender: str, pairs: list[list], peers: Iterable[str]
    ) -> list[Sending]:
        links = [Link(number, change) for number, change in pairs]
        out = self.take_links(links, peers)
        if len(links) == MOST_LINKS:
            out.append(Sending(sender, Ask(self.chain.head.number)))
        return out

    def _take_part(self, part: Part, peers: Iterable[str]) -> list[Sending]:
        if part.number <= self.chain.head.number:
            return []
        key = (part.number, part.digest)
        if key not in self._parts:
            self._parts.clear()
        parts = self._parts.setdefault(key, {})
        parts[part.index] = part.content
        if len(parts) < part.parts:
            return []
        del self._parts[key]
        content = b"".join(parts[index] for index in range(part.parts))
        return self.take_snapshot(Snapshot(part.number, part.digest, content), peers)


def split(snapshot: Snapshot) -> list[Part]:
    """Return the parts in which a whole bundle travels."""
    content = snapshot.content
    pieces = [
        content[start : start + PART_BYTES]
        for start in range(0, max(1, len(content)), PART_BYTES)
    ]
    return [
        Part(snapshot.number, snapshot.digest, index, len(pieces), piece)
        for index, piece in enumerate(pieces)
    ]
