"""Detect failures by probing one random instance each period (as in SWIM).

Each period a process pings one other instance. If no ack arrives, it requests
a few more instances to ping it too; if none of them gets an ack, it suspects
the instance, and presumes it dead unless the suspicion is refuted in time.
Membership updates are piggybacked on pings and acks. The cost per process
does not grow with the number of instances, as that of a full mesh of
heartbeats does. The detector sends nothing itself: it returns messages.
"""

import math
import random
import zlib
from collections.abc import Iterable
from typing import NamedTuple

from roadlift.core.clock import Clock
from roadlift.membership.members import Member, State
from roadlift.membership.messages import Ack, Join, Ping, Probe, Roster

MAX_UPDATES_PER_MESSAGE = 6  # Updates of members sent with one ping or ack.
MAX_MISMATCHES = 6  # Differing fingerprints in a row until a join is sent.


class Timing(NamedTuple):
    """Intervals and time-outs of the detector, in seconds.

    ``indirect_probes`` is the number of instances that are requested to ping
    one that does not answer.
    """

    probe_interval: float = 1.0
    ack_timeout: float = 0.4
    suspicion_timeout: float = 3.0
    indirect_probes: int = 3
    rejoin_interval: float = 10.0


DEFAULT_TIMING = Timing()


class OutgoingMessage(NamedTuple):
    """A message to the peer address ``to``."""

    to: str
    message: object


class _PendingProbe(NamedTuple):
    target: str
    sent_at: float
    is_escalated: bool
    requested_by: tuple[str, int] | None


class Detector:
    """The membership state of all instances as one process knows it."""

    def __init__(
        self,
        local_member: Member,
        clock: Clock,
        rng: random.Random,
        timing: Timing = DEFAULT_TIMING,
    ) -> None:
        self.local_member = local_member
        self.head = 0
        self.has_joined = False
        self.heads: dict[str, int] = {}
        self._clock = clock
        self._rng = rng
        self._timing = timing
        self._members: dict[str, Member] = {local_member.name: local_member}
        self._gone: set[str] = set()
        self._updates: dict[str, int] = {}
        self._suspected_at: dict[str, float] = {}
        self._pending_probes: dict[int, _PendingProbe] = {}
        self._probe_order: list[str] = []
        self._serial = 0
        self._next_probe_at = 0.0
        self._next_rejoin_at = 0.0
        self._changed = True
        self._mismatches = 0
        self._fingerprint: int | None = None
        self._agreed_since: float | None = None
        self._started_at = clock.now()
        self._queue_update(local_member)

    # Queries.

    def list_members(self, *states: State) -> list[Member]:
        """Return the members in any of ``states``, or all, sorted by name."""
        return [
            member
            for _, member in sorted(self._members.items())
            if not states or member.state in states
        ]

    def get_member(self, name: str) -> Member | None:
        """Return the member of an instance's name, or None."""
        return self._members.get(name)

    def find_process(self, process: str) -> Member | None:
        """Return the member with this process, or None."""
        member = self._members.get(process.rpartition("#")[0])
        return member if member and member.process == process else None

    def list_unproven(self) -> list[str]:
        """Return all other processes that are not proven dead."""
        return [
            member.process
            for member in self.list_members()
            if member.state != State.GONE and member.name != self.local_member.name
        ]

    def has_agreed(self, seconds: float) -> bool:
        """Return whether fingerprints have matched for ``seconds``.

        Then the other instances know the same processes as this one. A
        process that knows no other counts as agreed after twice that time.
        """
        now = self._clock.now()
        if not self.list_unproven():
            return now - self._started_at >= 2 * seconds
        return self._agreed_since is not None and now - self._agreed_since >= seconds

    def has_settled(self, seconds: float) -> bool:
        """Return whether a roster arrived, or none did for ``seconds``."""
        return self.has_joined or self._clock.now() - self._started_at >= seconds

    def is_gone(self, process: str) -> bool:
        """Return whether a process is proven dead."""
        return process in self._gone

    def pop_changed(self) -> bool:
        """Return whether any member changed since the last call."""
        changed, self._changed = self._changed, False
        return changed

    # Changes by this process.

    def announce_leaving(self) -> list[OutgoingMessage]:
        """Announce to some peers that this process takes no new work."""
        self._set_local_state(State.LEAVING)
        return self._ping_some()

    def announce_gone(self) -> list[OutgoingMessage]:
        """Announce to all peers, as a last message, that this process ends."""
        self._set_local_state(State.GONE)
        return self._ping_some(everyone=True)

    def confirm_gone(self, process: str) -> None:
        """Record the proof of a death, such as a refused connection."""
        member = self.find_process(process)
        if member is not None:
            self._apply_update(member._replace(state=State.GONE))
        self._gone.add(process)

    def join(self, addresses: Iterable[str]) -> list[OutgoingMessage]:
        """Request all members from the instances at ``addresses``."""
        return [
            OutgoingMessage(address, Join(list(self.local_member)))
            for address in addresses
            if address != self.local_member.peer
        ]

    # Time and messages.

    def tick(self) -> list[OutgoingMessage]:
        """Run the checks that are due; to be called a few times a period."""
        now = self._clock.now()
        out = self._check_pending_probes(now)
        self._expire_suspects(now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + self._timing.probe_interval
            out += self._probe_next(now)
        if now >= self._next_rejoin_at:
            self._next_rejoin_at = now + self._timing.rejoin_interval
            out += self._rejoin_dead()
        return out

    def receive(self, sender: str, message: object) -> list[OutgoingMessage]:
        """Handle a message from the process ``sender``; return the replies."""
        match message:
            case Ping(serial, members, head, fingerprint):
                self._apply_updates(members)
                out = self._compare(sender, head, fingerprint)
                return out + self._answer(sender, serial)
            case Ack(serial, members, head, fingerprint):
                self._apply_updates(members)
                out = self._compare(sender, head, fingerprint)
                return out + self._finish_probe(serial)
            case Probe(serial, target):
                return self._ping_on_behalf(sender, serial, target)
            case Join(member):
                return self._answer_join(Member(*member))
            case Roster(members):
                self._apply_roster(members)
        return []

    # Helpers.

    def _compare(
        self, sender: str, head: int, fingerprint: int
    ) -> list[OutgoingMessage]:
        """Request all members if updates seem to have been missed.

        Updates in transit make fingerprints differ for some messages. If they
        still differ after that, the peers know of changes unknown here.
        """
        self.heads[sender.rpartition("#")[0]] = head
        if fingerprint == self._compute_fingerprint():
            self._mismatches = 0
            if self._agreed_since is None:
                self._agreed_since = self._clock.now()
            return []
        self._agreed_since = None
        self._mismatches += 1
        member = self.find_process(sender) or self._pick_alive()
        if self._mismatches < MAX_MISMATCHES or member is None:
            return []
        self._mismatches = 0
        return self.join([member.peer])

    def _pick_alive(self) -> Member | None:
        """Return a random other member, in place of an unknown sender."""
        others = [
            m
            for m in self.list_members(State.ALIVE)
            if m.name != self.local_member.name
        ]
        return self._rng.choice(others) if others else None

    def _compute_fingerprint(self) -> int:
        """Return the fingerprint of all processes that are not gone."""
        if self._fingerprint is None:
            self._fingerprint = 0
            for member in self._members.values():
                if member.state != State.GONE:
                    self._fingerprint ^= zlib.crc32(member.process.encode())
        return self._fingerprint

    def _answer(self, sender: str, serial: int) -> list[OutgoingMessage]:
        member = self.find_process(sender)
        if member is None:
            return []
        ack = Ack(
            serial, self._pick_updates(member), self.head, self._compute_fingerprint()
        )
        return [OutgoingMessage(member.peer, ack)]

    def _finish_probe(self, serial: int) -> list[OutgoingMessage]:
        probe = self._pending_probes.pop(serial, None)
        if probe is None or probe.requested_by is None:
            return []
        process, requester_serial = probe.requested_by
        return self._answer(process, requester_serial)

    def _ping_on_behalf(
        self, sender: str, serial: int, target: str
    ) -> list[OutgoingMessage]:
        member = self._members.get(target)
        if member is None:
            return []
        return [self._ping(member, self._clock.now(), (sender, serial))]

    def _answer_join(self, member: Member) -> list[OutgoingMessage]:
        self._apply_update(member)
        members = [list(known) for known in self.list_members()]
        return [OutgoingMessage(member.peer, Roster(members))]

    def _ping(
        self, member: Member, now: float, requested_by: tuple[str, int] | None = None
    ) -> OutgoingMessage:
        self._serial += 1
        is_escalated = requested_by is not None
        self._pending_probes[self._serial] = _PendingProbe(
            member.name, now, is_escalated, requested_by
        )
        updates = self._pick_updates(member)
        ping = Ping(self._serial, updates, self.head, self._compute_fingerprint())
        return OutgoingMessage(member.peer, ping)

    def _probe_next(self, now: float) -> list[OutgoingMessage]:
        while self._probe_order:
            member = self._members.get(self._probe_order.pop())
            if member is not None and member.state < State.DEAD:
                return [self._ping(member, now)]
        self._probe_order = [
            member.name
            for member in self.list_members()
            if member.state < State.DEAD and member.name != self.local_member.name
        ]
        self._rng.shuffle(self._probe_order)
        if not self._probe_order:
            return []
        return [self._ping(self._members[self._probe_order.pop()], now)]

    def _check_pending_probes(self, now: float) -> list[OutgoingMessage]:
        out: list[OutgoingMessage] = []
        for serial, probe in list(self._pending_probes.items()):
            age = now - probe.sent_at
            if not probe.is_escalated and age >= self._timing.ack_timeout:
                self._pending_probes[serial] = probe._replace(is_escalated=True)
                out += self._send_indirect_probes(serial, probe.target)
            elif age >= self._timing.probe_interval:
                del self._pending_probes[serial]
                if probe.requested_by is None:
                    self._mark_suspect(probe.target, now)
        return out

    def _send_indirect_probes(self, serial: int, target: str) -> list[OutgoingMessage]:
        others = [
            member
            for member in self.list_members(State.ALIVE, State.LEAVING)
            if member.name not in (target, self.local_member.name)
        ]
        count = min(self._timing.indirect_probes, len(others))
        helpers = self._rng.sample(others, count)
        return [
            OutgoingMessage(member.peer, Probe(serial, target)) for member in helpers
        ]

    def _mark_suspect(self, name: str, now: float) -> None:
        member = self._members.get(name)
        if member is None or member.state >= State.SUSPECT:
            return
        self._apply_update(member._replace(state=State.SUSPECT))

    def _expire_suspects(self, now: float) -> None:
        for name, since in list(self._suspected_at.items()):
            member = self._members[name]
            if member.state != State.SUSPECT:
                del self._suspected_at[name]
            elif now - since >= self._timing.suspicion_timeout:
                del self._suspected_at[name]
                self._apply_update(member._replace(state=State.DEAD))

    def _rejoin_dead(self) -> list[OutgoingMessage]:
        """Send a join to a dead member, to detect a healed partition."""
        dead = self.list_members(State.DEAD)
        if not dead:
            return []
        return self.join([self._rng.choice(dead).peer])

    def _apply_updates(self, members: Iterable[list]) -> None:
        for member in members:
            self._apply_update(Member(*member))

    def _apply_roster(self, members: Iterable[list]) -> None:
        """Apply a roster; do not propagate members that were unknown here."""
        self.has_joined = True
        for member in members:
            is_known = member[0] in self._members
            self._apply_update(Member(*member))
            if not is_known:
                self._updates.pop(member[0], None)

    def _apply_update(self, member: Member) -> None:
        if member.name == self.local_member.name:
            self._refute(member)
            return
        known = self._members.get(member.name)
        if known is not None and not member.supersedes(known):
            return
        if known is not None and known.start < member.start:
            # A newer process has the name and address; the old one is dead.
            self._gone.add(known.process)
        if member.state == State.GONE:
            self._gone.add(member.process)
        self._members[member.name] = member
        self._fingerprint = None
        self._queue_update(member)
        self._changed = True
        if member.state == State.SUSPECT:
            self._suspected_at[member.name] = self._clock.now()

    def _refute(self, claimed: Member) -> None:
        """Refute a false state by raising the local incarnation number."""
        local_member = self.local_member
        if claimed.start != local_member.start or claimed.state <= local_member.state:
            return
        self.local_member = local_member._replace(
            number=max(claimed.number, local_member.number) + 1
        )
        self._members[local_member.name] = self.local_member
        self._queue_update(self.local_member)

    def _set_local_state(self, state: State) -> None:
        self.local_member = self.local_member._replace(
            state=state, number=self.local_member.number + 1
        )
        self._members[self.local_member.name] = self.local_member
        self._fingerprint = None
        self._queue_update(self.local_member)
        self._changed = True

    def _ping_some(self, everyone: bool = False) -> list[OutgoingMessage]:
        others = [
            member
            for member in self.list_members(State.ALIVE, State.LEAVING, State.SUSPECT)
            if member.name != self.local_member.name
        ]
        if not everyone:
            count = min(len(others), 2 * self._timing.indirect_probes)
            others = self._rng.sample(others, count)
        now = self._clock.now()
        return [self._ping(member, now) for member in others]

    def _queue_update(self, member: Member) -> None:
        count = max(2, len(self._members))
        self._updates[member.name] = 3 * math.ceil(math.log2(count))

    def _pick_updates(self, to: Member) -> list[list]:
        """Return the least sent updates for a message to ``to``.

        A suspected or dead receiver always gets its own state, so that it can
        refute it.
        """
        names = sorted(self._updates, key=self._updates.__getitem__, reverse=True)
        names = names[:MAX_UPDATES_PER_MESSAGE]
        for name in names:
            self._updates[name] -= 1
            if self._updates[name] <= 0:
                del self._updates[name]
        if to.state >= State.SUSPECT and to.name not in names:
            names.append(to.name)
        return [list(self._members[name]) for name in names]
