"""Ask the owner of an endpoint's zone for sends, and give them out as one.

An instance that owns no zone asks through its aggregator, so that a limit
opens no connection between instances that have none.
"""

import itertools
from collections.abc import Callable
from typing import NamedTuple

from roadlift.core.kernel import Kernel, parts
from roadlift.core.logs import PartLog
from roadlift.daemon.transport import Transport
from roadlift.decisions.limits import (
    GRANT_TTL,
    LEASED_FRACTION,
    UNLEASED_FRACTION,
    Basis,
    Claim,
    SendLedger,
)
from roadlift.instance.follower import Follower
from roadlift.instance.knowledge import Knowledge
from roadlift.instance.leases import Leases
from roadlift.instance.limits import LOCAL, EndpointLimits, Naming, ToldLimit
from roadlift.instance.measures import Measures
from roadlift.instance.subscription import Subscription
from roadlift.serving.directory import Endpoint
from roadlift.serving.messages import SendAsk, SendGrant

ASK_TIMEOUT = 0.08  # Seconds until an ask without an answer is sent again.
MOST_ASKS = 3  # How often an ask is sent.
# Seconds for which an owner that gave no answer is not asked.
UNHEARD_PAUSE = 0.6
# Seconds at least between two asks at an endpoint that has none free.
LEAST_PAUSE = 0.05
TELL_GAP = 0.2  # Seconds between tellings that a limit still stands.
NO_SEND = -1.0  # In place of a patience: tells, and asks for no send.

log = PartLog("limits")


class Outcome(NamedTuple):
    """Whom an ask tells what came of it.

    ``on_granted`` is called with the basis of the send, ``on_denied`` with the
    seconds until one may be free.
    """

    on_granted: Callable[[Basis], None]
    on_denied: Callable[[float], None]


class SendWait:
    """A call that waits for a send at an endpoint; ``close`` takes it back."""

    def __init__(self, endpoint: Endpoint, patience: float, now: float) -> None:
        self.endpoint = endpoint
        self.patience = patience
        self.asked_at = now
        self.asks = 0
        self.outcome: Outcome | None = None
        self.timer = None

    @property
    def is_open(self) -> bool:
        """Tell whether the call still waits."""
        return self.outcome is not None

    def close(self) -> None:
        """Wait no more; what is granted is another call's."""
        self.outcome = None


class _Granted(NamedTuple):
    """A send that may begin between two times."""

    begins_at: float
    expires_at: float
    basis: Basis


@parts.register("permits")
class Permits:
    """The sends at endpoints that name limits: asked for, and given out."""

    name = "permits"
    needs = (
        "follower",
        "knowledge",
        "leases",
        EndpointLimits.name,
        "measures",
        "subscription",
        "transport",
    )

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._peer = kernel.settings.peer
        self._process = f"{self._peer} {kernel.stamp}"
        self._transport = kernel.get(Transport)
        self._follower = kernel.get(Follower)
        self._knowledge = kernel.get(Knowledge)
        self._leases = kernel.get(Leases)
        self._limits = kernel.get(EndpointLimits)
        self._measures = kernel.get(Measures)
        self._subscription = kernel.get(Subscription)
        self._numbers = itertools.count(1)
        self._waits: dict[int, SendWait] = {}
        self._spare: dict[str, list[_Granted]] = {}
        self._ledgers: dict[str, SendLedger] = {}
        self._follower.on_directory.append(self._forget_gone)
        self._leases.on_change.append(self._check_zone)
        self._transport.subscribe((SendAsk,), self._take_ask)
        self._transport.subscribe((SendGrant,), self._take_grant)

    def start(self) -> None:
        """Do nothing; calls come later."""

    def close(self) -> None:
        """Ask no more."""
        for wait in self._waits.values():
            wait.timer.close()
        self._waits.clear()

    # As an instance that sends.

    def ask(
        self, endpoint: Endpoint, patience: float, outcome: Outcome
    ) -> SendWait | None:
        """Ask for a send within ``patience`` seconds.

        None means that the outcome is told already.
        """
        known = self._limits.find(endpoint.id)
        granted = self._take_spare(endpoint.id)
        now = self._kernel.clock.now()
        if known is None or granted is not None:
            basis = granted.basis if granted else Basis(LOCAL, 0)
            self._count(endpoint, "granted")
            outcome.on_granted(basis)
            return None
        if now < known.ask_at:
            outcome.on_denied(self._limits.measure_wait(endpoint.id))
            return None
        wait = SendWait(endpoint, patience, now)
        wait.outcome = outcome
        self._send_ask(next(self._numbers), wait)
        return wait

    def tell(self, endpoint: Endpoint, naming: Naming) -> None:
        """Tell the owner what an endpoint named in an answer."""
        known = self._limits.find(endpoint.id)
        now = self._kernel.clock.now()
        if known is None or naming.limit is not None:
            if known is None or now - known.told_at < TELL_GAP:
                return
            known.told_at = now
            known.told_number = number = next(self._numbers)
        else:
            if naming.basis != known.basis:
                return
            number = next(self._numbers)
        message = self._make_ask(number, endpoint, NO_SEND)
        message = message._replace(
            limit=naming.limit, is_named=True, basis=list(naming.basis)
        )
        self._pass_on(message)

    def _take_spare(self, endpoint: str) -> _Granted | None:
        """Return a send that was granted and not used, if one is in time."""
        now = self._kernel.clock.now()
        spare = [one for one in self._spare.pop(endpoint, ()) if now < one.expires_at]
        found = next((one for one in spare if one.begins_at <= now), None)
        if found is not None:
            spare.remove(found)
        if spare:
            self._spare[endpoint] = spare
        return found

    def _forget_gone(self) -> None:
        """Drop the sends at endpoints that are gone."""
        for endpoint in list(self._spare):
            if self._follower.directory.get(endpoint) is None:
                del self._spare[endpoint]

    def _send_ask(self, number: int, wait: SendWait) -> None:
        self._waits[number] = wait
        wait.asks += 1
        wait.timer = self._kernel.loop.call_later(
            ASK_TIMEOUT, lambda: self._on_silent(number)
        )
        self._pass_on(self._make_ask(number, wait.endpoint, wait.patience))

    def _make_ask(self, number: int, endpoint: Endpoint, patience: float) -> SendAsk:
        known = self._limits.find(endpoint.id)
        return SendAsk(
            self._peer,
            "",
            self._process,
            endpoint.zone,
            endpoint.id,
            number,
            patience,
            known.limit if known else None,
            False,
            list(known.basis) if known else [0, 0],
            known.spent if known else 0,
        )

    def _pass_on(self, message: SendAsk) -> None:
        """Send an ask on its way to the owner of the endpoint's zone."""
        if self._leases.list_held():
            self._take_ask(self._peer, message)
        elif self._subscription.source:
            self._transport.send(self._subscription.source, message)

    def _on_silent(self, number: int) -> None:
        """Ask again, or go on without an owner."""
        wait = self._waits.pop(number, None)
        if wait is None or not wait.is_open:
            return
        if wait.asks < MOST_ASKS:
            self._send_ask(number, wait)
        else:
            self._go_alone(wait)

    def _go_alone(self, wait: SendWait) -> None:
        """Send by this process's part of what is left to those not heard."""
        endpoint, outcome = wait.endpoint, wait.outcome
        wait.close()
        known = self._limits.find(endpoint.id)
        if known is None:
            outcome.on_granted(Basis(LOCAL, 0))
            return
        now = self._kernel.clock.now()
        instances = self._knowledge.count_instances()
        if known.floor.take(known.limit, instances, now):
            self._count(endpoint, "floor")
            outcome.on_granted(Basis(LOCAL, known.namings))
            return
        known.ask_at = known.free_at = now + UNHEARD_PAUSE
        self._count(endpoint, "unheard")
        outcome.on_denied(UNHEARD_PAUSE)

    def _take_grant(self, sender: str, message: SendGrant) -> None:
        """Take an owner's answer, or pass it on to who asked."""
        if message.address != self._peer:
            self._transport.send(message.address, message)
            return
        self._limits.note_owner(_read_told(message), message.endpoint, message.number)
        wait = self._waits.pop(message.number, None)
        if wait is not None:
            wait.timer.close()
        if message.patience == NO_SEND:
            return
        if message.limit is None:
            self._free(wait)
        elif message.is_given:
            self._take_given(wait, message)
        else:
            self._deny(wait, message)

    def _free(self, wait: SendWait | None) -> None:
        """Let a call go that needs no grant, as the limit has ended."""
        if wait is not None and wait.is_open:
            outcome = wait.outcome
            wait.close()
            outcome.on_granted(Basis(LOCAL, 0))

    def _take_given(self, wait: SendWait | None, message: SendGrant) -> None:
        """Use a send when it begins, or keep it for another call.

        An ask that was sent twice is answered twice with the same send.
        """
        if wait is None:
            return
        now = self._kernel.clock.now()
        granted = _Granted(
            now + message.delay,
            wait.asked_at + message.delay + GRANT_TTL,
            Basis(*message.basis),
        )
        if not wait.is_open:
            self._spare.setdefault(message.endpoint, []).append(granted)
        elif message.delay <= 0.0:
            self._begin(wait, granted)
        else:
            self._kernel.loop.call_later(
                message.delay, lambda: self._begin(wait, granted)
            )

    def _begin(self, wait: SendWait, granted: _Granted) -> None:
        now = self._kernel.clock.now()
        if now >= granted.expires_at:
            # This process was held up: behind others' sends it would be one
            # too many.
            self._count(wait.endpoint, "expired")
            if wait.is_open:
                outcome = wait.outcome
                wait.close()
                outcome.on_denied(0.0)
            return
        if not wait.is_open:
            self._spare.setdefault(wait.endpoint.id, []).append(granted)
            return
        outcome = wait.outcome
        wait.close()
        self._count(wait.endpoint, "granted")
        outcome.on_granted(granted.basis)

    def _deny(self, wait: SendWait | None, message: SendGrant) -> None:
        known = self._limits.find(message.endpoint)
        now = self._kernel.clock.now()
        if known is not None:
            known.free_at = now + message.delay
            pause = max(LEAST_PAUSE, message.delay - message.patience)
            known.ask_at = max(known.ask_at, now + pause)
        if wait is not None and wait.is_open:
            outcome = wait.outcome
            wait.close()
            self._count(wait.endpoint, "denied")
            outcome.on_denied(message.delay)

    def _count(self, endpoint: Endpoint, outcome: str) -> None:
        self._measures.count("roadlift_limited_sends", endpoint.service, outcome)

    # As an aggregator or an owner.

    def _take_ask(self, sender: str, message: SendAsk) -> None:
        """Answer an ask for an own zone's endpoint, or pass it on."""
        if message.zone in self._leases.list_held():
            grant = self._answer(message)
            self._reply(message.via or message.address, grant)
            return
        owner = self._leases.find_owner(message.zone)
        is_on_way = bool(message.via) or not self._leases.list_held()
        if owner is not None and owner != self._peer and not is_on_way:
            self._transport.send(owner, message._replace(via=self._peer))

    def _reply(self, address: str, grant: SendGrant) -> None:
        if address == self._peer:
            self._take_grant(self._peer, grant)
        else:
            self._transport.send(address, grant)

    def _answer(self, message: SendAsk) -> SendGrant:
        now = self._kernel.clock.now()
        ledger = self._find_ledger(message, now)
        if ledger is None:
            return _make_grant(message, None, Basis(0, 0), 0.0)
        claim = Claim(
            message.process,
            message.limit,
            message.is_named,
            Basis(*message.basis),
            message.spent,
        )
        before = ledger.limit
        if ledger.apply_claim(claim, now):
            log.event(
                "limit_given_out",
                endpoint=message.endpoint,
                limit=ledger.limit,
                before=before,
                asker=message.address,
            )
        grant = _make_grant(
            message, ledger.limit, ledger.basis, now - ledger.announced_at
        )
        if ledger.limit is None or message.patience == NO_SEND:
            return grant
        lease = self._leases.get(message.zone)
        part = LEASED_FRACTION if lease.may_order(now) else UNLEASED_FRACTION
        given = ledger.grant(
            message.process, message.number, message.patience, part, now
        )
        return grant._replace(is_given=given.is_given, delay=round(given.delay, 4))

    def _find_ledger(self, message: SendAsk, now: float) -> SendLedger | None:
        """Return an endpoint's ledger; a limit that is told opens one."""
        ledger = self._ledgers.get(message.endpoint)
        if ledger is None and message.limit is not None:
            fence = self._leases.get(message.zone).fence
            ledger = self._ledgers[message.endpoint] = SendLedger(fence, now)
        return ledger

    def _check_zone(self, zone: str) -> None:
        """Begin anew with each term, from what this process knows itself."""
        for endpoint in list(self._ledgers):
            found = self._follower.directory.get(endpoint)
            if found is None or found.zone == zone:
                del self._ledgers[endpoint]
        if zone not in self._leases.list_held():
            return
        now = self._kernel.clock.now()
        for endpoint, known in self._limits.list_known().items():
            found = self._follower.directory.get(endpoint)
            if found is not None and found.zone == zone:
                ledger = SendLedger(self._leases.get(zone).fence, now)
                ledger.apply_claim(Claim("", known.limit, False, known.basis, 0), now)
                self._ledgers[endpoint] = ledger

    def list_limits(self) -> list[ToldLimit]:
        """Return the limits of the endpoints of zones that are owned here.

        Those that ended a while ago are among them.
        """
        now = self._kernel.clock.now()
        for endpoint, ledger in list(self._ledgers.items()):
            is_gone = self._follower.directory.get(endpoint) is None
            if is_gone or ledger.is_expired(now):
                del self._ledgers[endpoint]
        return [
            ToldLimit(
                endpoint,
                ledger.limit,
                *ledger.basis,
                round(now - ledger.announced_at, 3),
            )
            for endpoint, ledger in self._ledgers.items()
        ]


def _make_grant(
    message: SendAsk, limit: float | None, basis: Basis, age: float
) -> SendGrant:
    return SendGrant(
        message.address,
        message.endpoint,
        message.number,
        message.patience,
        limit,
        list(basis),
        round(age, 3),
        False,
        0.0,
    )


def _read_told(message: SendGrant) -> ToldLimit | None:
    if message.limit is None:
        return None
    return ToldLimit(message.endpoint, message.limit, *message.basis, message.age)
