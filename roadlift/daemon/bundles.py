"""Keep the bundle in force: few read the store, all receive it from peers."""

import random
from typing import NamedTuple

from roadlift.bundles.chain import Chain, Link, Snapshot
from roadlift.bundles.content import AdapterEntry, Bundle, Change, Model
from roadlift.bundles.directory import Directory, DirectoryCache
from roadlift.bundles.messages import Announce, Ask, Links, Part
from roadlift.bundles.roll import HEAD_KEY, MOST_LINKS, HeadRow
from roadlift.bundles.spread import Sending, Spreader
from roadlift.core.errors import RoadliftError
from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.daemon.members import Members
from roadlift.daemon.transport import Transport
from roadlift.relay.address import Address
from roadlift.store.client import ABSENT, LoopStore, Row

HEAR_PERIOD = 0.5  # Seconds between looks at what the heartbeats told.

log = ComponentLog("bundles")


@components.register("store")
class StorePart:
    """The connection to the platform's stores."""

    name = "store"
    needs = ()

    def __init__(self, kernel: Kernel) -> None:
        address = Address.parse(kernel.settings.platform)
        self.store = LoopStore(kernel.dialer, address, kernel.settings.store_timeout)

    def start(self) -> None:
        """Do nothing; each call opens its own connection."""

    def close(self) -> None:
        """Do nothing; calls in flight end with the loop."""


class FoundModel(NamedTuple):
    """A model of the bundle in force and where its weights are."""

    model: Model
    path: str
    adapter: AdapterEntry


@components.register("bundles")
class Bundles:
    """The bundle in force at this process."""

    name = "bundles"
    needs = ("members", "store")

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._members = kernel.get(Members)
        self._store = kernel.get(StorePart).store
        self.chain = Chain()
        self.spreader = Spreader(
            self.chain, kernel.clock, random.Random(kernel.started_at_ms)
        )
        self._directories = DirectoryCache()
        self._timers = []
        self._is_reading = False

    @property
    def bundle(self) -> Bundle:
        """Return the bundle in force."""
        return self.chain.bundle

    @property
    def directory(self) -> Directory:
        """Return the endpoints of the bundle in force."""
        return self._directories.get(self.chain.bundle)

    def find_model(self, name: str) -> FoundModel | None:
        """Return what the bundle says of ``adapter@version``, or None."""
        try:
            model = Model.parse(name)
        except ValueError:
            return None
        path = self.bundle.find_path(model)
        if path is None:
            return None
        return FoundModel(model, path, self.bundle.get_adapter(model.adapter))

    def start(self) -> None:
        """Begin to read, and to receive updates."""
        kinds = (Announce, Ask, Links, Part)
        self._kernel.get(Transport).subscribe(kinds, self._receive)
        loop = self._kernel.loop
        self._timers = [
            loop.call_every(self._kernel.settings.head_period, self._read_if_reader),
            loop.call_every(HEAR_PERIOD, self._hear),
        ]

    def close(self) -> None:
        """Stop reading and hearing."""
        for timer in self._timers:
            timer.close()

    def _receive(self, sender: str, message: object) -> None:
        peers = self._members.list_peers()
        self._send(self.spreader.receive(sender, message, peers))

    def _send(self, sendings: list[Sending]) -> None:
        self._members.detector.head = self.chain.head.number
        for sending in sendings:
            self._members.send(sending.to, sending.message)

    def _hear(self) -> None:
        """Look whether any heartbeat told of a higher number."""
        heads = self._members.detector.heads
        name = max(heads, key=heads.__getitem__, default=None)
        process = self._members.find_process(name) if name else None
        if process is not None:
            self._send(self.spreader.hear_number(process, heads[name]))

    def _read_if_reader(self) -> None:
        own = self._members.detector.local_member
        zone = self._members.list_zone(own.zone)
        if self._is_reading or not self.spreader.is_reader(own.name, zone):
            return
        self._is_reading = True
        self._store.read_row(HEAD_KEY, self._take_row, self._fail)

    def _fail(self, error: RoadliftError) -> None:
        self._is_reading = False
        log.warning("The head can't be read: %s.", error)

    def _take_row(self, row: Row) -> None:
        if row.version == ABSENT:
            self._is_reading = False
            return
        head = HeadRow.decode(row)
        if head.number <= self.chain.head.number:
            self._is_reading = False
            return
        self._walk_back(head, head.number, head.digest, [])

    def _walk_back(
        self, head: HeadRow, number: int, digest: str, links: list[Link]
    ) -> None:
        """Read change after change until one follows what is in force."""
        is_known = number <= self.chain.head.number
        if is_known or len(links) > MOST_LINKS:
            self._finish_walk(links)
            return
        if number == head.snapshot_number:
            self._read_snapshot(head, links)
            return

        def take(row: Row) -> None:
            """Put this change before the later ones."""
            link = Link(number, row.value)
            self._walk_back(head, number - 1, _read_parent(row.value), [link, *links])

        self._store.read_object(digest, take, self._fail)

    def _read_snapshot(self, head: HeadRow, links: list[Link]) -> None:
        def take(row: Row) -> None:
            """Put the whole bundle in force, then the changes."""
            snapshot = Snapshot(head.snapshot_number, head.snapshot_digest, row.value)
            peers = self._members.list_peers()
            self._send(self.spreader.take_snapshot(snapshot, peers))
            self._finish_walk(links)

        self._store.read_object(head.snapshot_object, take, self._fail)

    def _finish_walk(self, links: list[Link]) -> None:
        self._is_reading = False
        peers = self._members.list_peers()
        self._send(self.spreader.take_links(links, peers))


def _read_parent(data: bytes) -> str:
    return Change.decode(data).parent
