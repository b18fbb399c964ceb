"""Run the failure detector, and find proofs that suspects are dead."""

import random
from collections.abc import Callable

from roadlift.core.errors import EndpointUnreachable, RoadliftError
from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.daemon.transport import Transport
from roadlift.membership.detector import Detector, OutgoingMessage, Timing
from roadlift.membership.members import Member, State
from roadlift.membership.messages import Ack, Join, Ping, Probe, Roster
from roadlift.relay.address import Address
from roadlift.relay.upstream import Answer, Request, fetch

TICK = 0.1  # Seconds.
PROOF_PERIOD = 1.0  # Seconds between tries to prove a suspect dead.
ALONE_SECONDS = 3.0  # Seconds without a roster after which one is alone.
JOIN_PERIOD = 1.0  # Seconds between tries to join.

log = ComponentLog("members")


@components.register("members")
class Members:
    """This process's view of all instances."""

    name = "members"
    needs = ("transport",)

    def __init__(self, kernel: Kernel) -> None:
        settings = kernel.settings
        self._kernel = kernel
        self._transport = kernel.get(Transport)
        own = Member(
            settings.instance,
            kernel.started_at_ms,
            settings.zone,
            settings.peer,
            settings.http,
        )
        period = settings.heartbeat_period
        timing = Timing(period, 0.4 * period, settings.suspicion)
        self.detector = Detector(
            own, kernel.clock, random.Random(kernel.started_at_ms), timing
        )
        self._transport.process = own.process
        self._timers = []
        self._listeners: list[Callable[[], None]] = []
        self._zones = frozenset({own.zone})

    @property
    def process(self) -> str:
        """Return the name of this process."""
        return self.detector.local_member.process

    @property
    def is_settled(self) -> bool:
        """Return whether this process knows the others, or that it is alone.

        Before that it owns nothing and requests no pin: its view of
        who owns what would be wrong.
        """
        return self.detector.has_settled(ALONE_SECONDS)

    def start(self) -> None:
        """Join the others and begin to probe."""
        kinds = (Ping, Ack, Probe, Join, Roster)
        self._transport.subscribe(kinds, self._receive)
        loop = self._kernel.loop
        self._timers = [
            loop.call_every(TICK, self._tick),
            loop.call_every(JOIN_PERIOD, self._join_until_welcome),
            loop.call_every(PROOF_PERIOD, self._prove_suspects),
        ]
        self._join_until_welcome()

    def close(self) -> None:
        """Stop probing."""
        for timer in self._timers:
            timer.close()

    def listen(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change of the members."""
        self._listeners.append(listener)

    def leave(self) -> None:
        """Tell the peers that this process takes no new work."""
        self._send(self.detector.announce_leaving())
        self._notify()

    def go(self) -> None:
        """Tell the peers that this process is gone."""
        self._send(self.detector.announce_gone())

    def list_zone(self, zone: str) -> list[str]:
        """Return the instances of a zone that may take work."""
        return [
            member.name
            for member in self.detector.list_members(State.ALIVE, State.SUSPECT)
            if member.zone == zone
        ]

    def list_zones(self) -> frozenset[str]:
        """Return the zones that have instances which may take work."""
        return self._zones

    def list_peers(self) -> list[str]:
        """Return the processes of the other instances that may answer."""
        states = (State.ALIVE, State.LEAVING, State.SUSPECT)
        return [
            member.process
            for member in self.detector.list_members(*states)
            if member.name != self.detector.local_member.name
        ]

    def find_process(self, instance: str) -> str | None:
        """Return the process of an instance."""
        member = self.detector.get_member(instance)
        return member.process if member else None

    def send(self, process: str, message: object) -> bool:
        """Send a message to a process; False means that it was dropped."""
        member = self.detector.find_process(process)
        if member is None:
            return False
        return self._transport.send(member.peer, message)

    def _receive(self, sender: str, message: object) -> None:
        self._send(self.detector.receive(sender, message))
        self._notify()

    def _tick(self) -> None:
        self._send(self.detector.tick())
        self._notify()

    def _notify(self) -> None:
        if not self.detector.pop_changed():
            return
        for member in self.detector.list_members():
            if member.state == State.GONE:
                self._transport.disconnect(member.peer)
            elif member.name != self.detector.local_member.name:
                self._transport.connect(member.peer)
        alive = self.detector.list_members(State.ALIVE, State.SUSPECT)
        self._zones = frozenset(member.zone for member in alive)
        for listener in self._listeners:
            listener()

    def _send(self, sendings: list[OutgoingMessage]) -> None:
        for sending in sendings:
            self._transport.send(sending.to, sending.message)

    def _join_until_welcome(self) -> None:
        """Query the seeds until one has named all members.

        Being heard of is not enough: the first messages to a peer that is
        not connected yet are dropped, the answer of a seed among them.
        """
        if not self.detector.has_joined or not self.list_peers():
            seeds = [seed for seed in self._kernel.settings.seeds.split(",") if seed]
            self._send(self.detector.join(seeds))

    def _prove_suspects(self) -> None:
        """Ask suspects at their HTTP port: a refused connection is a proof.

        The kernel of a paused process accepts, so that a pause is never
        taken for a death; a host that is cut off gives no answer at all.
        """
        for member in self.detector.list_members(State.SUSPECT, State.DEAD):
            self._prove(member)

    def _prove(self, member: Member) -> None:
        def fail(error: RoadliftError) -> None:
            """Take a refused connection for the proof."""
            refused = isinstance(error, EndpointUnreachable)
            if refused and error.detail == "ECONNREFUSED":
                log.warning("Process %s is gone: its port refuses.", member.process)
                self.detector.confirm_gone(member.process)
                self._notify()

        def answer(_: Answer) -> None:
            """Leave it to the heartbeats to find the process alive."""

        address = Address.parse(member.http)
        request = Request("GET", "/livez")
        fetch(self._kernel.dialer, address, request, answer, fail, PROOF_PERIOD)
