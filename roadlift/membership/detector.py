"""Detect failures by probing one random instance each period.

Each period a process pings one other, asks a few more to ping it where no
answer comes, suspects it where none of them heard, and believes it dead
where it does not refute that in time. News travels on the pings. The cost of
a process does not grow with the number of instances, as that of a mesh of
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

NEWS_IN_MESSAGE = 6  # Members told with one ping or ack.
MOST_DIFFERENCES = 6  # Messages in a row that may differ in the members known.


class Timing(NamedTuple):
    """Periods of the detector, in seconds."""

    period: float = 1.0
    answer: float = 0.4
    suspicion: float = 3.0
    helpers: int = 3
    rejoin: float = 10.0


DEFAULT_TIMING = Timing()


class Sending(NamedTuple):
    """A message to the peer address ``to``."""

    to: str
    message: object


class _Probing(NamedTuple):
    target: str
    sent_at: float
    helped: bool
    on_behalf: tuple[str, int] | None


class Detector:
    """What one process knows of all instances."""

    def __init__(
        self,
        own: Member,
        clock: Clock,
        rng: random.Random,
        timing: Timing = DEFAULT_TIMING,
    ) -> None:
        self.own = own
        self.head = 0
        self.has_joined = False
        self.heads: dict[str, int] = {}
        self._clock = clock
        self._rng = rng
        self._timing = timing
        self._members: dict[str, Member] = {own.name: own}
        self._gone: set[str] = set()
        self._news: dict[str, int] = {}
        self._suspected_at: dict[str, float] = {}
        self._probing: dict[int, _Probing] = {}
        self._order: list[str] = []
        self._serial = 0
        self._next_period = 0.0
        self._next_rejoin = 0.0
        self._changed = True
        self._differences = 0
        self._print: int | None = None
        self._agreed_at: float | None = None
        self._started_at = clock.now()
        self._tell(own)

    # What is known.

    def list_members(self, *states: State) -> list[Member]:
        """Return the members in any of the states, or all, by name."""
        return [
            member
            for _, member in sorted(self._members.items())
            if not states or member.state in states
        ]

    def get_member(self, name: str) -> Member | None:
        """Return what is known of an instance."""
        return self._members.get(name)

    def find_process(self, process: str) -> Member | None:
        """Return the member whose process this is, or None."""
        member = self._members.get(process.rpartition("#")[0])
        return member if member and member.process == process else None

    def list_unproven(self) -> list[str]:
        """Return every process that is not proven dead, but this one."""
        return [
            member.process
            for member in self.list_members()
            if member.state != State.GONE and member.name != self.own.name
        ]

    def has_agreed(self, seconds: float) -> bool:
        """Tell whether all messages for some seconds came from like minds.

        Then the processes known here are those known to the others. One that
        knows nobody agrees with itself after twice as long.
        """
        now = self._clock.now()
        if not self.list_unproven():
            return now - self._started_at >= 2 * seconds
        return self._agreed_at is not None and now - self._agreed_at >= seconds

    def has_settled(self, seconds: float) -> bool:
        """Tell whether a roster came, or nobody gave one for some seconds."""
        return self.has_joined or self._clock.now() - self._started_at >= seconds

    def is_gone(self, process: str) -> bool:
        """Tell whether a process is proven dead."""
        return process in self._gone

    def pop_changed(self) -> bool:
        """Tell whether any member changed since the last call."""
        changed, self._changed = self._changed, False
        return changed

    # What this process says of itself and finds out.

    def leave(self) -> list[Sending]:
        """Say that this process takes no new work; tell some at once."""
        self._change_own(State.LEAVING)
        return self._tell_some()

    def go(self) -> list[Sending]:
        """Say as the last word that this process is gone."""
        self._change_own(State.GONE)
        return self._tell_some(everyone=True)

    def prove_gone(self, process: str) -> None:
        """Take a proof of a death, such as a refused connection."""
        member = self.find_process(process)
        if member is not None:
            self._learn(member._replace(state=State.GONE))
        self._gone.add(process)

    def join(self, addresses: Iterable[str]) -> list[Sending]:
        """Ask instances at known addresses for all members."""
        return [
            Sending(address, Join(list(self.own)))
            for address in addresses
            if address != self.own.peer
        ]

    # Time and messages.

    def tick(self) -> list[Sending]:
        """Do what is due now; call it a few times a period."""
        now = self._clock.now()
        out = self._follow_probes(now)
        self._bury_suspects(now)
        if now >= self._next_period:
            self._next_period = now + self._timing.period
            out += self._probe_next(now)
        if now >= self._next_rejoin:
            self._next_rejoin = now + self._timing.rejoin
            out += self._rejoin_dead()
        return out

    def receive(self, sender: str, message: object) -> list[Sending]:
        """Take a message of the process ``sender`` and return the answers."""
        match message:
            case Ping(serial, members, head, fingerprint):
                self._learn_all(members)
                out = self._compare(sender, head, fingerprint)
                return out + self._answer(sender, serial)
            case Ack(serial, members, head, fingerprint):
                self._learn_all(members)
                out = self._compare(sender, head, fingerprint)
                return out + self._finish_probe(serial)
            case Probe(serial, target):
                return self._help(sender, serial, target)
            case Join(member):
                return self._welcome(Member(*member))
            case Roster(members):
                self._learn_roster(members)
        return []

    # Helpers.

    def _compare(self, sender: str, head: int, fingerprint: int) -> list[Sending]:
        """Ask for all members where news seem to have been missed.

        News on their way make fingerprints differ for some messages; where
        they still do after that, something is known there and not here.
        """
        self.heads[sender.rpartition("#")[0]] = head
        if fingerprint == self._measure_print():
            self._differences = 0
            if self._agreed_at is None:
                self._agreed_at = self._clock.now()
            return []
        self._agreed_at = None
        self._differences += 1
        member = self.find_process(sender) or self._pick_alive()
        if self._differences < MOST_DIFFERENCES or member is None:
            return []
        self._differences = 0
        return self.join([member.peer])

    def _pick_alive(self) -> Member | None:
        """Return some other member, to ask in an unknown one's place."""
        others = [m for m in self.list_members(State.ALIVE) if m.name != self.own.name]
        return self._rng.choice(others) if others else None

    def _measure_print(self) -> int:
        """Return a fingerprint of the processes that are not gone."""
        if self._print is None:
            self._print = 0
            for member in self._members.values():
                if member.state != State.GONE:
                    self._print ^= zlib.crc32(member.process.encode())
        return self._print

    def _answer(self, sender: str, serial: int) -> list[Sending]:
        member = self.find_process(sender)
        if member is None:
            return []
        ack = Ack(serial, self._pick_news(member), self.head, self._measure_print())
        return [Sending(member.peer, ack)]

    def _finish_probe(self, serial: int) -> list[Sending]:
        probing = self._probing.pop(serial, None)
        if probing is None or probing.on_behalf is None:
            return []
        process, their_serial = probing.on_behalf
        return self._answer(process, their_serial)

    def _help(self, sender: str, serial: int, target: str) -> list[Sending]:
        member = self._members.get(target)
        if member is None:
            return []
        return [self._ping(member, self._clock.now(), (sender, serial))]

    def _welcome(self, member: Member) -> list[Sending]:
        self._learn(member)
        members = [list(known) for known in self.list_members()]
        return [Sending(member.peer, Roster(members))]

    def _ping(
        self, member: Member, now: float, on_behalf: tuple[str, int] | None = None
    ) -> Sending:
        self._serial += 1
        helped = on_behalf is not None
        self._probing[self._serial] = _Probing(member.name, now, helped, on_behalf)
        news = self._pick_news(member)
        ping = Ping(self._serial, news, self.head, self._measure_print())
        return Sending(member.peer, ping)

    def _probe_next(self, now: float) -> list[Sending]:
        while self._order:
            member = self._members.get(self._order.pop())
            if member is not None and member.state < State.DEAD:
                return [self._ping(member, now)]
        self._order = [
            member.name
            for member in self.list_members()
            if member.state < State.DEAD and member.name != self.own.name
        ]
        self._rng.shuffle(self._order)
        if not self._order:
            return []
        return [self._ping(self._members[self._order.pop()], now)]

    def _follow_probes(self, now: float) -> list[Sending]:
        out: list[Sending] = []
        for serial, probing in list(self._probing.items()):
            age = now - probing.sent_at
            if not probing.helped and age >= self._timing.answer:
                self._probing[serial] = probing._replace(helped=True)
                out += self._ask_helpers(serial, probing.target)
            elif age >= self._timing.period:
                del self._probing[serial]
                if probing.on_behalf is None:
                    self._suspect(probing.target, now)
        return out

    def _ask_helpers(self, serial: int, target: str) -> list[Sending]:
        others = [
            member
            for member in self.list_members(State.ALIVE, State.LEAVING)
            if member.name not in (target, self.own.name)
        ]
        count = min(self._timing.helpers, len(others))
        helpers = self._rng.sample(others, count)
        return [Sending(member.peer, Probe(serial, target)) for member in helpers]

    def _suspect(self, name: str, now: float) -> None:
        member = self._members.get(name)
        if member is None or member.state >= State.SUSPECT:
            return
        self._learn(member._replace(state=State.SUSPECT))

    def _bury_suspects(self, now: float) -> None:
        for name, since in list(self._suspected_at.items()):
            member = self._members[name]
            if member.state != State.SUSPECT:
                del self._suspected_at[name]
            elif now - since >= self._timing.suspicion:
                del self._suspected_at[name]
                self._learn(member._replace(state=State.DEAD))

    def _rejoin_dead(self) -> list[Sending]:
        """Ask one dead member, so that a healed partition is noticed."""
        dead = self.list_members(State.DEAD)
        if not dead:
            return []
        return self.join([self._rng.choice(dead).peer])

    def _learn_all(self, members: Iterable[list]) -> None:
        for member in members:
            self._learn(Member(*member))

    def _learn_roster(self, members: Iterable[list]) -> None:
        """Learn all members; who was unknown here is no news to the others."""
        self.has_joined = True
        for member in members:
            is_known = member[0] in self._members
            self._learn(Member(*member))
            if not is_known:
                self._news.pop(member[0], None)

    def _learn(self, member: Member) -> None:
        if member.name == self.own.name:
            self._refute(member)
            return
        known = self._members.get(member.name)
        if known is not None and not member.is_newer(known):
            return
        if known is not None and known.start < member.start:
            # Another process has the name and address: the old one is dead.
            self._gone.add(known.process)
        if member.state == State.GONE:
            self._gone.add(member.process)
        self._members[member.name] = member
        self._print = None
        self._tell(member)
        self._changed = True
        if member.state == State.SUSPECT:
            self._suspected_at[member.name] = self._clock.now()

    def _refute(self, said: Member) -> None:
        """Raise the own number above what is wrongly said of this process."""
        own = self.own
        if said.start != own.start or said.state <= own.state:
            return
        self.own = own._replace(number=max(said.number, own.number) + 1)
        self._members[own.name] = self.own
        self._tell(self.own)

    def _change_own(self, state: State) -> None:
        self.own = self.own._replace(state=state, number=self.own.number + 1)
        self._members[self.own.name] = self.own
        self._print = None
        self._tell(self.own)
        self._changed = True

    def _tell_some(self, everyone: bool = False) -> list[Sending]:
        others = [
            member
            for member in self.list_members(State.ALIVE, State.LEAVING, State.SUSPECT)
            if member.name != self.own.name
        ]
        if not everyone:
            count = min(len(others), 2 * self._timing.helpers)
            others = self._rng.sample(others, count)
        now = self._clock.now()
        return [self._ping(member, now) for member in others]

    def _tell(self, member: Member) -> None:
        count = max(2, len(self._members))
        self._news[member.name] = 3 * math.ceil(math.log2(count))

    def _pick_news(self, to: Member) -> list[list]:
        """Return the news least told; a suspect always hears of itself."""
        names = sorted(self._news, key=self._news.__getitem__, reverse=True)
        names = names[:NEWS_IN_MESSAGE]
        for name in names:
            self._news[name] -= 1
            if self._news[name] <= 0:
                del self._news[name]
        if to.state >= State.SUSPECT and to.name not in names:
            names.append(to.name)
        return [list(self._members[name]) for name in names]
