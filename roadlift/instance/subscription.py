"""Tell the owners of this process's calls, and hear of their engines.

An instance that owns a zone hears the owners themselves and speaks for its
subscribers as well; any other hears an aggregator.
"""

from roadlift.core.kernel import Kernel, components
from roadlift.daemon.transport import Transport
from roadlift.instance.knowledge import Knowledge
from roadlift.instance.leases import Leases
from roadlift.instance.ownerstreams import OwnerStreams
from roadlift.instance.sourcestream import SourceStream
from roadlift.serving.calls import Model
from roadlift.serving.directory import Endpoint
from roadlift.serving.members import MemberCalls, UseChange
from roadlift.serving.messages import Ask, Denial, Heartbeat
from roadlift.serving.telling import Tellings

TICK = 0.1  # Seconds between looks at what is to be told.


@components.register("subscription")
class Subscription:
    """The way between this process and the owners."""

    name = "subscription"
    needs = ("follower", "knowledge", "leases", "transport")

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._transport = kernel.get(Transport)
        self._knowledge = kernel.get(Knowledge)
        self._leases = kernel.get(Leases)
        self._tellings = Tellings()
        self._members = MemberCalls()
        self._owners = OwnerStreams(
            kernel,
            lambda zone: self._tellings.collect(zone, self._count_reading),
            self._tellings.doubt,
            lambda: 1 + self.count_members(),
        )
        self._source = SourceStream(
            kernel,
            lambda: self._tellings.collect_all(self._count_reading),
            self._tellings.doubt_aggregator,
        )
        self._is_direct = False
        self._timer = None
        self.count_members = lambda: 0
        self._leases.on_change.append(lambda zone: self._tick())

    def start(self) -> None:
        """Begin to tell and to hear."""
        self._source.open()
        self._timer = self._kernel.loop.call_every(TICK, self._tick)

    def close(self) -> None:
        """Tell no more."""
        self._timer.close()
        self._owners.close()
        self._source.close()

    @property
    def source(self) -> str:
        """Return the address of the aggregator that is heard, or empty."""
        return "" if self._is_direct else self._source.address

    def _tick(self) -> None:
        is_direct = bool(self._leases.list_held())
        if is_direct != self._is_direct:
            self._is_direct = is_direct
            self._switch()
        if is_direct:
            self._owners.tick()
        else:
            self._source.tick()

    def _switch(self) -> None:
        """Hear the owners in place of an aggregator, or the reverse."""
        self._tellings.doubt_all()
        if self._is_direct:
            self._source.close()
            self._owners.open()
        else:
            self._owners.close()
            self._source.open()

    # Own calls.

    def note_use(self, endpoint: Endpoint, model: Model, change: int) -> None:
        """Count a call of this process that begins (1) or ends (-1)."""
        begun = max(0, change)
        self._tellings.note_use(endpoint.zone, endpoint.id, model, begun, change)
        self._plan(endpoint.zone)

    def note_reading(self, endpoint: Endpoint) -> None:
        """Learn that the unread prompts of this process's calls changed."""
        self._tellings.note_reading(endpoint.zone, endpoint.id)
        self._plan(endpoint.zone)

    def _plan(self, zone: str) -> None:
        if self._is_direct:
            self._owners.plan(zone)
        else:
            self._source.plan()

    def _count_reading(self, endpoint: str) -> int:
        own = self._knowledge.workload.count_local_reading(endpoint)
        return own + self._members.count_reading(endpoint)

    def send_ask(self, ask: Ask) -> None:
        """Ask for an adapter, on the way that tellings go.

        Where there is none, it is denied at once.
        """
        owner = self._leases.find_owner(ask.zone)
        address = owner if self._is_direct else self._source.address
        if address:
            self._transport.send(address, ask)
            return
        denial = Denial(ask.zone, ask.endpoint, ask.base, ask.adapter)
        self._transport.send(ask.address, denial)

    # The calls of subscribers, where this process is an aggregator.

    def record_member(self, heartbeat: Heartbeat) -> None:
        """Take what a subscriber tells of its calls."""
        member = heartbeat.address
        if heartbeat.is_whole:
            self.forget_member(member)
        for zone, uses, reading in heartbeat.zones:
            self._take_changes(self._members.note_uses(member, zone, uses))
            for endpoint, tokens in reading:
                self._members.note_reading(member, zone, endpoint, tokens)
                self._tellings.note_reading(zone, endpoint)
            self._owners.plan(zone)

    def forget_member(self, member: str) -> None:
        """Drop what a subscriber told of its calls."""
        for zone, endpoint in self._members.list_readers(member):
            self._tellings.note_reading(zone, endpoint)
        self._take_changes(self._members.forget(member))

    def _take_changes(self, changes: list[UseChange]) -> None:
        for place, begun, change in changes:
            self._tellings.note_use(*place, begun, change)
            self._owners.plan(place.zone)
