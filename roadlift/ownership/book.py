"""Decide, as the owner of one endpoint, on its loads, evictions and pins.

The book sends and receives nothing itself: it takes messages, answers of
the endpoint and the time, and returns what is to be sent. Its rules, by the
names that the specification in roadlift/ownership/specification.py uses:

* ``evict_unpinned``: a copy is unloaded only while nobody holds a pin on it.
* ``evict_proven``: a copy of an earlier epoch is unloaded only when every
  instance that may hold a pin on it has answered the census or is proven
  dead, and the owner has agreed with the others for a while on which
  instances there are. No pin lapses by time, since a paused holder can't be
  stopped.
* ``adopt_fenced``: a copy of an earlier epoch is served from only where the
  endpoint refuses the earlier owner's orders, or that owner has yielded.
* ``adopt_once``: a copy of an earlier epoch that was not listed when the
  book was opened is never served from, as an endpoint that has restarted
  since no longer refuses the earlier owner's orders.
* ``step_down``: a copy of a later epoch shows that another process has taken
  over; the book then gives no order.
* ``yield_certain``: an epoch is handed over for serving only if no answer to
  an order was ever lost in it.
* ``newest_pin``: of two pins of one holder on one copy the newer is kept.
* ``name_once``: each load has a name of its own.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from roadlift.ownership.copies import Copy, CopyState, Pin, note_pin
from roadlift.ownership.messages import (
    Acquire,
    Count,
    Grant,
    Inquire,
    Reason,
    Recall,
    Refuse,
    Release,
    Report,
)
from roadlift.ownership.names import CopyName, parse_copy_name
from roadlift.ownership.orders import LOAD, UNLOAD, Order, OrderResult
from roadlift.policy.admission import DEFAULT_LIMITS, EndpointLimits
from roadlift.policy.eviction import AgedFrequencyEvictor, Evictor, UseHistory
from roadlift.policy.loads import HOLDS, QUIET, RANKS, LoadQueue, Waiting


class Outgoing(NamedTuple):
    """A message to the process ``to``."""

    to: str
    message: object


UNKNOWN = "?"  # Stands for processes that the owner may not have heard of.
RECALL_LIMIT = 0.5  # Seconds until a recall counts as unanswered.
LOAD_SMOOTHING = 0.2  # Weight of the latest load in the expected time.


TryLoad = Callable[[Waiting], bool]


class Shape(NamedTuple):
    """What an endpoint is: whether it fences, its slots and its batch."""

    fences: bool
    slots: int
    width: int


class Terms(NamedTuple):
    """How a book decides.

    ``silence`` is how long, in seconds, a holder may go without a report
    until it is asked for one; ``most_orders`` how many orders the endpoint
    is given at once; ``holds`` how long each class is held back for company.
    """

    evictor: Evictor = AgedFrequencyEvictor()
    silence: float = 3.0
    most_orders: int = 2
    holds: Mapping[str, float] = HOLDS
    limits: EndpointLimits = DEFAULT_LIMITS


DEFAULT_TERMS = Terms()


class Book:
    """The owner's record of one endpoint in one epoch.

    ``holder`` is the owning process.
    """

    def __init__(
        self,
        endpoint: str,
        holder: str,
        epoch: int,
        shape: Shape,
        terms: Terms = DEFAULT_TERMS,
    ) -> None:
        self.endpoint = endpoint
        self.holder = holder
        self.epoch = epoch
        self.shape = shape
        self.copies: dict[str, Copy] = {}
        self.unproven: set[str] = set()
        self.yielded: set[int] = set()
        self.waiting = LoadQueue(terms.holds)
        self.orders: dict[str, Order] = {}
        self.is_superseded = False
        self.evictions = 0
        self.loads = 0
        self._terms = terms
        self._history = UseHistory()
        self.opened_at = 0.0
        self._asked: set[str] = set()
        self._is_in_doubt = False
        self._loaded_at = -math.inf
        self._load_seconds = 0.5
        self._serial = 0
        self._heard_at: dict[str, float] = {}
        self._report_serials: dict[str, int] = {}
        self._early_pins: dict[str, dict[str, Pin]] = {}
        self._ready: dict[str, list[Copy]] = {}

    # Taking over.

    def settle(self) -> None:
        """Learn that no process is unknown that may hold an older pin."""
        self.unproven.discard(UNKNOWN)

    def expect_answers(self, members: Iterable[str]) -> None:
        """Add processes that may hold older pins, each once."""
        new = [name for name in members if name not in self._asked]
        self._asked.update(new)
        self.unproven.update(name for name in new if name != self.holder)

    def open(self, names: Iterable[str], now: float) -> None:
        """Take over the copies listed after the fence was raised."""
        self.opened_at = now
        self.unproven.add(UNKNOWN)
        for name in map(parse_copy_name, names):
            if name is not None:
                self._add_copy(name, CopyState.READY, now)
        self._index_ready()

    def reconcile(self, names: Iterable[str], asked_at: float, now: float) -> None:
        """Compare with what the endpoint lists as loaded.

        ``asked_at`` is when the list was asked for. A copy that was ready
        before and is not listed is gone. A copy that is listed and unknown
        stems from an order whose answer was lost, or of an earlier owner: it
        is unloaded, never served from.
        """
        listed = {name: parse_copy_name(name) for name in names}
        found = [parsed for parsed in listed.values() if parsed is not None]
        if any(parsed.epoch > self.epoch for parsed in found):
            self.is_superseded = True
            return
        for parsed in found:
            if str(parsed) not in self.copies:
                self._add_copy(parsed, CopyState.UNLOADING, now)
        for copy in list(self.copies.values()):
            is_settled = copy.name not in self.orders and copy.since < asked_at
            if copy.name not in listed and is_settled:
                self._drop(copy)
        self._index_ready()

    def receive_count(self, sender: str, count: Count) -> None:
        """Take a census answer: the sender's older pins are now known."""
        if count.epoch != self.epoch:
            return
        for name, nonce, running, _ in count.pins:
            note_pin(self._find_pins(name), sender, Pin(nonce, running))
        self.yielded.update(count.yielded)
        self._asked.add(sender)
        self.unproven.discard(sender)
        self._index_ready()

    def yield_epoch(self) -> list[int]:
        """End the ownership; return the epochs that end without a doubt.

        With an order whose effect is unknown the next owner must not serve
        from this epoch's copies where the endpoint does not fence.
        """
        unsettled = bool(self.orders) or any(
            copy.state is not CopyState.READY for copy in self.copies.values()
        )
        return (
            []
            if unsettled or self._is_in_doubt
            else [self.epoch, *sorted(self.yielded)]
        )

    def remove_dead(self, holder: str) -> None:
        """Drop the pins of a process that is proven dead."""
        self._asked.add(holder)
        self.unproven.discard(holder)
        for pins in self._list_pin_tables():
            pins.pop(holder, None)
        self.waiting.remove_holder(holder)

    # Pins.

    def acquire(self, sender: str, ask: Acquire, now: float) -> list[Outgoing]:
        """Answer an asking now, or keep it until a copy is loaded.

        An asking that waits already is one that was sent again: it keeps its
        place, and its class may have become more urgent.
        """
        wait = Waiting(sender, ask.nonce, ask.model, ask.priority, now + ask.wait, now)
        if self.waiting.update(wait):
            return []
        if self.is_full(ask.priority):
            return [self._refuse(sender, ask, Reason.FULL, 1.0)]
        copy = self.find_ready(ask.model)
        if copy is None:
            return self._keep_waiting(sender, ask, wait)
        if self._is_spilling(ask):
            return [self._refuse(sender, ask, Reason.BUSY)]
        return [self._grant(copy, sender, ask.nonce, now)]

    def _keep_waiting(self, sender: str, ask: Acquire, wait: Waiting) -> list[Outgoing]:
        """Queue an asking for a load, unless that would take too long."""
        expected = self._expect_wait(wait)
        is_late = expected > self._terms.limits.most_load_wait[ask.priority]
        if is_late or not self.waiting.add(wait):
            return [self._refuse(sender, ask, Reason.FULL, max(1.0, expected))]
        return []

    def is_full(self, priority: str) -> bool:
        """Tell whether the endpoint's queue is too long for a class."""
        return (
            self.count_running()
            >= self.shape.width * self._terms.limits.full_at[priority]
        )

    def release(self, sender: str, message: Release) -> None:
        """Take a pin back, unless it was granted anew since."""
        copy = self.copies.get(message.copy)
        if copy is None or sender not in copy.pins:
            return
        if copy.pins[sender].nonce <= message.nonce:
            del copy.pins[sender]
            copy.recalled_at = None

    def receive_report(self, sender: str, report: Report, now: float) -> None:
        """Correct the pins of a holder, whatever messages were lost."""
        self._heard_at[sender] = now
        if report.serial <= self._report_serials.get(sender, -1):
            return
        self._report_serials[sender] = report.serial
        for pins in self._list_pin_tables():
            pin = pins.get(sender)
            if pin is not None and pin.nonce < report.floor:
                del pins[sender]
        for name, nonce, running, uses in report.pins:
            note_pin(self._find_pins(name), sender, Pin(nonce, running))
            if uses and name in self.copies:
                self.copies[name].use.note(now, uses)

    def inquire(self, now: float) -> list[Outgoing]:
        """Ask holders that have not reported their pins for long.

        A lost grant, release or last report would else hold a copy for ever.
        """
        holders = self.list_holders()
        out = []
        for holder in sorted(holders):
            heard = self._heard_at.setdefault(holder, now)
            if now - heard >= self._terms.silence:
                self._heard_at[holder] = now
                out.append(Outgoing(holder, Inquire(self.endpoint)))
        for gone in set(self._heard_at) - holders:
            del self._heard_at[gone]
        return out

    def list_holders(self) -> set[str]:
        """Return the processes that hold any pin."""
        return {name for pins in self._list_pin_tables() for name in pins}

    def count_running(self) -> int:
        """Return the requests that run at the endpoint, as last reported."""
        return sum(copy.count_running() for copy in self.copies.values())

    def find_ready(self, model: str) -> Copy | None:
        """Return a copy from which ``model`` may be served, or None."""
        copies = self._ready.get(model)
        return copies[0] if copies else None

    # Loads and evictions.

    def expire(self, now: float) -> list[Outgoing]:
        """Refuse the askings whose time is over."""
        return [
            self._refuse_waiting(wait, Reason.EXPIRED)
            for wait in self.waiting.pop_expired(now)
        ]

    def choose_order(
        self, now: float, try_load: TryLoad = lambda wait: True
    ) -> tuple[Order | None, list[Outgoing]]:
        """Return the next order to give, and pins to ask back for it.

        ``try_load`` lets a load start or holds it back. Orders may pass each
        other on their way: each names a copy of its own, and all of an epoch
        have one fencing number.
        """
        if self.is_superseded or len(self.orders) >= self._terms.most_orders:
            return None, []
        stray = self._find_stray()
        if stray is not None:
            return self._begin_unload(stray, now), []
        wait = self._find_next_wait(now)
        if wait is None:
            return None, []
        if len(self.copies) < self.shape.slots:
            may_load = try_load(wait)
            return (self._begin_load(wait, now) if may_load else None), []
        if self._count_unloads():
            # A slot will be free soon, for the first who waits.
            return None, []
        victim = self._choose_victim(now)
        if victim is None:
            return None, []
        if not self.may_evict(victim):
            return None, self._recall(victim, now)
        return self._begin_unload(victim, now), []

    def finish_order(
        self, order: Order, result: OrderResult, now: float
    ) -> list[Outgoing]:
        """Take the endpoint's answer to an order."""
        if self.orders.get(order.copy) != order:
            return []
        del self.orders[order.copy]
        self.is_superseded = self.is_superseded or result is OrderResult.FENCED
        self._is_in_doubt = self._is_in_doubt or result is OrderResult.UNKNOWN
        copy = self.copies.get(order.copy)
        if copy is None:
            return []
        if order.verb == UNLOAD:
            self._finish_unload(copy, result, now)
            return []
        return self._finish_load(copy, result, now)

    def may_evict(self, copy: Copy) -> bool:
        """Tell whether the rules allow to unload ``copy`` now."""
        if copy.pins or copy.state is CopyState.LOADING:
            return False
        inherited = copy.epoch != self.epoch
        return not (inherited and self.unproven)

    def may_serve(self, copy: Copy) -> bool:
        """Tell whether the rules allow to grant pins on ``copy``."""
        if copy.state is not CopyState.READY:
            return False
        return (
            copy.epoch == self.epoch or self.shape.fences or copy.epoch in self.yielded
        )

    # Helpers.

    def _add_copy(self, name: CopyName, state: CopyState, now: float) -> None:
        use = self._history.find(name.model, now)
        copy = self.copies[str(name)] = Copy(name, state, now, use)
        copy.pins = self._early_pins.pop(copy.name, {})

    def _find_pins(self, name: str) -> dict[str, Pin]:
        """Return the pins of a copy, also of one not listed yet."""
        copy = self.copies.get(name)
        if copy is not None:
            return copy.pins
        return self._early_pins.setdefault(name, {})

    def _list_pin_tables(self) -> list[dict[str, Pin]]:
        tables = [copy.pins for copy in self.copies.values()]
        return tables + list(self._early_pins.values())

    def _finish_unload(self, copy: Copy, result: OrderResult, now: float) -> None:
        if result in (OrderResult.DONE, OrderResult.REFUSED):
            self._drop(copy)
            self.evictions += 1
        else:
            # It may be gone or not: it is unloaded again, never served.
            copy.enter(CopyState.UNLOADING, now)

    def _finish_load(
        self, copy: Copy, result: OrderResult, now: float
    ) -> list[Outgoing]:
        if result is OrderResult.DONE:
            self._load_seconds += LOAD_SMOOTHING * (
                now - copy.since - self._load_seconds
            )
            copy.enter(CopyState.READY, now)
            self._index_ready()
            self.loads += 1
            return self._grant_waiting(copy, now)
        if result is OrderResult.UNKNOWN:
            copy.enter(CopyState.UNLOADING, now)
        else:
            self._drop(copy)
        return [
            self._refuse_waiting(wait, Reason.LOAD_FAILED)
            for wait in self.waiting.pop_model(copy.model)
        ]

    def _is_spilling(self, ask: Acquire) -> bool:
        return not ask.last and self.count_running() >= self.shape.width

    def _grant(self, copy: Copy, to: str, nonce: int, now: float) -> Outgoing:
        pin = copy.pins.get(to, Pin(0, 0))
        copy.recalled_at = None
        if pin.nonce < nonce:
            copy.pins[to] = Pin(nonce, pin.running + 1)
            copy.use.note(now)
        running = self.count_running()
        return Outgoing(
            to,
            Grant(
                self.endpoint, nonce, copy.name, self.epoch, running, self.shape.width
            ),
        )

    def _grant_waiting(self, copy: Copy, now: float) -> list[Outgoing]:
        return [
            self._grant(copy, wait.holder, wait.nonce, now)
            for wait in self.waiting.pop_model(copy.model)
        ]

    def _refuse(
        self, to: str, ask: Acquire, reason: str, retry_after: float = 0.0
    ) -> Outgoing:
        return Outgoing(to, Refuse(self.endpoint, ask.nonce, reason, retry_after))

    def _refuse_waiting(self, wait: Waiting, reason: str) -> Outgoing:
        return Outgoing(wait.holder, Refuse(self.endpoint, wait.nonce, reason, 1.0))

    def _begin_load(self, wait: Waiting, now: float) -> Order:
        self._serial += 1
        self._loaded_at = now
        name = CopyName(wait.model, self.epoch, self._serial)
        use = self._history.find(wait.model, now)
        copy = Copy(name, CopyState.LOADING, now, use)
        self.copies[copy.name] = copy
        order = Order(LOAD, copy.name, wait.model, self.epoch, wait.priority)
        return self._keep_order(order)

    def _begin_unload(self, copy: Copy, now: float) -> Order:
        copy.enter(CopyState.UNLOADING, now)
        self._index_ready()
        return self._keep_order(Order(UNLOAD, copy.name, copy.model, self.epoch))

    def _keep_order(self, order: Order) -> Order:
        self.orders[order.copy] = order
        return order

    def _expect_wait(self, wait: Waiting) -> float:
        """Return how long a load is expected to take, in seconds."""
        ahead = self.waiting.count_ahead(wait)
        if ahead is None:
            # Its model is waited for already, and costs no load of its own.
            return 0.0
        rounds = (ahead + len(self.orders)) / self._terms.most_orders
        return (1.0 + rounds) * self._load_seconds

    def _find_next_wait(self, now: float) -> Waiting | None:
        """Return who waits first for a model that is not being loaded.

        No load is made for a class whose requests the endpoint is too full
        to run.
        """
        loading = {order.model for order in self.orders.values() if order.verb == LOAD}
        if not len(self.waiting):
            return None
        full = {name for name in RANKS if self.is_full(name)}
        is_quiet = now - self._loaded_at >= QUIET
        return self.waiting.peek(now, loading, full, is_quiet)

    def _count_unloads(self) -> int:
        return sum(order.verb == UNLOAD for order in self.orders.values())

    def _find_stray(self) -> Copy | None:
        """Return a copy that can't be served from and may be unloaded."""
        for copy in self.copies.values():
            is_ordered = copy.name in self.orders
            if not is_ordered and not self.may_serve(copy) and self.may_evict(copy):
                return copy
        return None

    def _choose_victim(self, now: float) -> Copy | None:
        """Return the idle copy worth least, whose pins may have to come back.

        A copy that is worth less but pinned goes before one that is worth
        more and happens to be unpinned.
        """
        idle = [
            copy
            for copy in self.copies.values()
            if copy.state is CopyState.READY
            and copy.name not in self.orders
            and not copy.count_running()
            and (self.may_evict(copy) or self._may_recall(copy, now))
        ]
        return self._pick(idle, now)

    def _may_recall(self, copy: Copy, now: float) -> bool:
        """Tell whether a pinned copy's holders may still give it back.

        A holder that has not answered for a while is passed over, or a
        paused one would keep every other copy from being evicted.
        """
        if not copy.pins:
            return False
        return copy.recalled_at is None or now - copy.recalled_at < RECALL_LIMIT

    def _recall(self, copy: Copy, now: float) -> list[Outgoing]:
        if copy.recalled_at is None:
            copy.recalled_at = now
        recall = Recall(self.endpoint, copy.name)
        return [Outgoing(holder, recall) for holder in copy.pins]

    def _pick(self, copies: list[Copy], now: float) -> Copy | None:
        wanted = self.waiting.list_models()
        spare = [copy for copy in copies if copy.model not in wanted] or copies
        if not spare:
            return None
        return min(
            spare, key=lambda copy: self._terms.evictor.measure_worth(copy.use, now)
        )

    def _drop(self, copy: Copy) -> None:
        del self.copies[copy.name]
        self._index_ready()

    def _index_ready(self) -> None:
        self._ready.clear()
        for copy in self.copies.values():
            if self.may_serve(copy):
                self._ready.setdefault(copy.model, []).append(copy)
