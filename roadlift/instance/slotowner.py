"""Lease the slots of brittle endpoints, as the owner of their zones."""

from collections.abc import Callable
from typing import NamedTuple

from roadlift.core.codec import read_fields
from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.decisions.slots import (
    SETTLING_TIME,
    UNLEASED_FRACTION,
    SlotClaim,
    SlotLedger,
)
from roadlift.instance.brittleness import BrittleEndpoints
from roadlift.instance.follower import Follower
from roadlift.instance.leases import Leases
from roadlift.serving.directory import Endpoint
from roadlift.serving.messages import SlotReply, SlotRequest

log = ComponentLog("slots")


class _Route(NamedTuple):
    """Where a process listens, and the aggregator on the way to it."""

    address: str
    via: str


class _Owned:
    """The ledger of an endpoint, and how its holders are reached."""

    def __init__(self, ledger: SlotLedger) -> None:
        self.ledger = ledger
        self.routes: dict[str, _Route] = {}


@components.register("slotowner")
class SlotOwner:
    """The slots that this process leases to others, and to itself.

    ``on_reply`` sends a reply to an address.
    """

    name = "slotowner"
    needs = (BrittleEndpoints.name, "follower", "leases")

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._brittle = kernel.get(BrittleEndpoints)
        self._follower = kernel.get(Follower)
        self._leases = kernel.get(Leases)
        self._owned: dict[str, _Owned] = {}
        self._began_at: dict[str, float] = {}
        self.on_reply: Callable[[str, SlotReply], None] = lambda address, reply: None
        self._leases.on_change.append(self._reset)
        self._follower.on_directory.append(self._remove_gone)

    def start(self) -> None:
        """Do nothing: slots are leased as claims arrive."""

    def close(self) -> None:
        """Do nothing: there is nothing to close."""

    def handle_request(self, message: SlotRequest) -> None:
        """Answer a claim, and lease the slots that it frees to others."""
        endpoint = self._follower.directory.get(message.endpoint)
        route = _Route(message.address, message.via)
        if endpoint is not None:
            limit = message.rejection_limit
            self._brittle.record_announcement(endpoint, limit, message.age)
        limit = None if endpoint is None else self._brittle.find_limit(endpoint)
        if limit is None:
            self._owned.pop(message.endpoint, None)
            age = message.age if endpoint is None else self._measure_age(endpoint)
            self._send(route, SlotReply(route.address, message.endpoint, None, age, []))
            return
        self._apply(endpoint, limit, read_fields(SlotClaim, message.claim), route)

    def _apply(
        self, endpoint: Endpoint, limit: float, claim: SlotClaim, route: _Route
    ) -> None:
        now = self._clock.now()
        owned = self._owned.get(endpoint.id)
        if owned is None:
            settles_at = self._began_at.get(endpoint.zone, now) + SETTLING_TIME
            ledger = SlotLedger(endpoint.slots, limit, settles_at, now)
            owned = self._owned[endpoint.id] = _Owned(ledger)
        before = owned.ledger.usable
        owned.routes[claim.process] = route
        owned.ledger.claim(claim, now)
        fraction = self._find_fraction(endpoint)
        changed = owned.ledger.allocate(fraction, now)
        if owned.ledger.usable < before:
            log.event(
                "slots_reduced",
                endpoint=endpoint.id,
                usable=owned.ledger.usable,
                slots=endpoint.slots,
                granted=owned.ledger.count_granted(),
                rejecting=claim.process,
            )
        for process in {claim.process, *changed}:
            lease = owned.ledger.describe(process, fraction, now)
            to = owned.routes[process]
            age = self._measure_age(endpoint)
            self._send(to, SlotReply(to.address, endpoint.id, limit, age, list(lease)))

    def _measure_age(self, endpoint: Endpoint) -> float:
        return round(self._brittle.measure_age(endpoint), 3)

    def _find_fraction(self, endpoint: Endpoint) -> float:
        lease = self._leases.get(endpoint.zone)
        return 1.0 if lease.may_order(self._clock.now()) else UNLEASED_FRACTION

    def _send(self, route: _Route, reply: SlotReply) -> None:
        self.on_reply(route.via or route.address, reply)

    def _reset(self, zone: str) -> None:
        """Begin anew at a new term: holders claim what they hold."""
        self._began_at[zone] = self._clock.now()
        for name in list(self._owned):
            endpoint = self._follower.directory.get(name)
            if endpoint is None or endpoint.zone == zone:
                del self._owned[name]

    def _remove_gone(self) -> None:
        for name in list(self._owned):
            if self._follower.directory.get(name) is None:
                del self._owned[name]
