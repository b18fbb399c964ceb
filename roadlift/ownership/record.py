"""Decide, as the owner of one endpoint, on its loads, evictions and pins.

``EndpointRecord`` does no I/O: it is passed messages, the endpoint's answers
and the current time, and returns the messages and orders to send. It follows
these rules, by their names in the specification in specification/ownership.py:

* ``evict_unpinned``: a copy is unloaded only while no process holds a pin on
  it.
* ``evict_proven``: a copy of an earlier epoch is unloaded only when every
  instance that may hold a pin on it has answered the census or is proven
  dead, and the owner has agreed with the other instances on the membership
  for some time. Pins do not expire, because a paused holder cannot be
  stopped from using its pin when it resumes.
* ``adopt_fenced``: a copy of an earlier epoch is served from only where the
  endpoint rejects the earlier owner's orders, or that owner has yielded.
* ``adopt_once``: a copy of an earlier epoch that was not listed when the
  record was opened is never served from, because an endpoint that has
  restarted since no longer rejects the earlier owner's orders.
* ``step_down``: a copy of a later epoch shows that another process has taken
  over; no order is issued from then on.
* ``yield_certain``: an epoch's copies are handed over for serving only if the
  answer to every order of that epoch was received.
* ``newest_pin``: of two pins of one holder on one copy the newer is kept.
* ``name_once``: each load creates a copy with a unique name.
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
    Recall,
    RefusalReason,
    Refuse,
    Release,
    Report,
)
from roadlift.ownership.names import CopyName, parse_copy_name
from roadlift.ownership.orders import LOAD, UNLOAD, Order, OrderResult
from roadlift.policy.admission import DEFAULT_LIMITS, EndpointLimits
from roadlift.policy.eviction import AgedFrequencyEvictor, Evictor, UseHistory
from roadlift.policy.loads import (
    COALESCING_DELAYS,
    IDLE_TIME,
    PRIORITY_RANKS,
    LoadQueue,
    QueuedRequest,
)


class Outgoing(NamedTuple):
    """A message, and the process that it is sent to."""

    to: str
    message: object


# Placeholder in ``unproven`` for processes that the owner may not know yet.
UNKNOWN_PROCESS = "?"
RECALL_TIMEOUT = 0.5  # Seconds after which a recall counts as unanswered.
# Weight of the latest load in the moving average of load times.
LOAD_SMOOTHING = 0.2


TryLoad = Callable[[QueuedRequest], bool]


class EndpointProperties(NamedTuple):
    """The fixed properties of an endpoint.

    ``fences`` says whether it rejects orders with an outdated fencing number,
    ``slots`` is the number of adapter slots, ``width`` the batch size.
    """

    fences: bool
    slots: int
    width: int


class OwnershipPolicy(NamedTuple):
    """The settings by which an owner decides.

    ``report_timeout`` is the time in seconds without a report from a holder
    after which one is requested, ``max_orders`` the maximum number of
    concurrent orders at the endpoint, and ``coalescing_delays`` the time, by
    priority class, that a load is delayed so that further requests for the
    model can share it.
    """

    evictor: Evictor = AgedFrequencyEvictor()
    report_timeout: float = 3.0
    max_orders: int = 2
    coalescing_delays: Mapping[str, float] = COALESCING_DELAYS
    limits: EndpointLimits = DEFAULT_LIMITS


DEFAULT_POLICY = OwnershipPolicy()


class EndpointRecord:
    """The owner's record of one endpoint in one epoch.

    ``owner`` is the owning process. ``unproven`` holds the processes that
    may have pins from earlier epochs: those that have neither answered the
    census nor been proven dead.
    """

    def __init__(
        self,
        endpoint: str,
        owner: str,
        epoch: int,
        properties: EndpointProperties,
        policy: OwnershipPolicy = DEFAULT_POLICY,
    ) -> None:
        self.endpoint = endpoint
        self.owner = owner
        self.epoch = epoch
        self.properties = properties
        self.copies: dict[str, Copy] = {}
        self.unproven: set[str] = set()
        self.yielded: set[int] = set()
        self.waiting = LoadQueue(policy.coalescing_delays)
        self.orders: dict[str, Order] = {}
        self.is_superseded = False
        self.evictions = 0
        self.loads = 0
        self._policy = policy
        self._history = UseHistory()
        self.opened_at = 0.0
        self._queried: set[str] = set()
        self._has_unknown_result = False
        self._load_started_at = -math.inf
        self._mean_load_seconds = 0.5
        self._serial = 0
        self._last_report_at: dict[str, float] = {}
        self._report_serials: dict[str, int] = {}
        self._early_pins: dict[str, dict[str, Pin]] = {}
        self._ready: dict[str, list[Copy]] = {}

    # Takeover.

    def confirm_membership(self) -> None:
        """Record that all processes that may hold older pins are known."""
        self.unproven.discard(UNKNOWN_PROCESS)

    def expect_answers(self, members: Iterable[str]) -> None:
        """Add processes that may hold older pins; known ones are skipped."""
        new = [name for name in members if name not in self._queried]
        self._queried.update(new)
        self.unproven.update(name for name in new if name != self.owner)

    def open(self, names: Iterable[str], now: float) -> None:
        """Take over the copies that were listed after raising the fence."""
        self.opened_at = now
        self.unproven.add(UNKNOWN_PROCESS)
        for name in map(parse_copy_name, names):
            if name is not None:
                self._add_copy(name, CopyState.READY, now)
        self._index_ready()

    def reconcile(self, names: Iterable[str], asked_at: float, now: float) -> None:
        """Compare the record with what the endpoint lists as loaded.

        ``asked_at`` is when the list was requested. A copy that was ready
        before that time and is not listed is gone. A copy that is listed but
        not in the record comes from an order whose answer was lost, or from
        an earlier owner: it is unloaded and never served from.
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
        """Apply a census answer: the sender's older pins are now known."""
        if count.epoch != self.epoch:
            return
        for name, nonce, running, _ in count.pins:
            note_pin(self._find_pins(name), sender, Pin(nonce, running))
        self.yielded.update(count.yielded)
        self._queried.add(sender)
        self.unproven.discard(sender)
        self._index_ready()

    def yield_epoch(self) -> list[int]:
        """Give up ownership; return the epochs whose copies are certain.

        If the effect of any order is unknown, the list is empty: the next
        owner must not serve from this epoch's copies at an endpoint that does
        not fence.
        """
        unsettled = bool(self.orders) or any(
            copy.state is not CopyState.READY for copy in self.copies.values()
        )
        return (
            []
            if unsettled or self._has_unknown_result
            else [self.epoch, *sorted(self.yielded)]
        )

    def remove_dead(self, holder: str) -> None:
        """Remove the pins and requests of a process that is proven dead."""
        self._queried.add(holder)
        self.unproven.discard(holder)
        for pins in self._list_pin_tables():
            pins.pop(holder, None)
        self.waiting.remove_holder(holder)

    # Pins.

    def acquire(self, sender: str, request: Acquire, now: float) -> list[Outgoing]:
        """Answer a pin request now, or queue it until a copy is loaded.

        A request that is queued already was sent again: it keeps its position
        in the queue, and its priority class may have become more urgent.
        """
        wait = QueuedRequest(
            sender,
            request.nonce,
            request.model,
            request.priority,
            now + request.wait,
            now,
        )
        if self.waiting.update(wait):
            return []
        if self.is_full(request.priority):
            return [self._refuse(sender, request, RefusalReason.FULL, 1.0)]
        copy = self.find_ready(request.model)
        if copy is None:
            return self._enqueue(sender, request, wait)
        if self._should_spill(request):
            return [self._refuse(sender, request, RefusalReason.BUSY)]
        return [self._grant(copy, sender, request.nonce, now)]

    def _enqueue(
        self, sender: str, request: Acquire, wait: QueuedRequest
    ) -> list[Outgoing]:
        """Queue a request for a load, unless that would take too long."""
        expected = self._estimate_wait(wait)
        is_late = expected > self._policy.limits.max_load_wait[request.priority]
        if is_late or not self.waiting.add(wait):
            return [
                self._refuse(sender, request, RefusalReason.FULL, max(1.0, expected))
            ]
        return []

    def is_full(self, priority: str) -> bool:
        """Return whether the endpoint is too full for a priority class."""
        return (
            self.count_running()
            >= self.properties.width * self._policy.limits.max_fill[priority]
        )

    def release(self, sender: str, message: Release) -> None:
        """Remove a released pin, unless it was granted again since."""
        copy = self.copies.get(message.copy)
        if copy is None or sender not in copy.pins:
            return
        if copy.pins[sender].nonce <= message.nonce:
            del copy.pins[sender]
            copy.recalled_at = None

    def receive_report(self, sender: str, report: Report, now: float) -> None:
        """Correct the pins of a holder after messages were lost."""
        self._last_report_at[sender] = now
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

    def request_reports(self, now: float) -> list[Outgoing]:
        """Request reports from holders whose last report is too old.

        Otherwise a lost grant, release or final report would keep a copy
        pinned forever.
        """
        holders = self.list_holders()
        out = []
        for holder in sorted(holders):
            reported_at = self._last_report_at.setdefault(holder, now)
            if now - reported_at >= self._policy.report_timeout:
                self._last_report_at[holder] = now
                out.append(Outgoing(holder, Inquire(self.endpoint)))
        for gone in set(self._last_report_at) - holders:
            del self._last_report_at[gone]
        return out

    def list_holders(self) -> set[str]:
        """Return the processes that hold any pin."""
        return {name for pins in self._list_pin_tables() for name in pins}

    def count_running(self) -> int:
        """Return the number of running requests, as last reported."""
        return sum(copy.count_running() for copy in self.copies.values())

    def find_ready(self, model: str) -> Copy | None:
        """Return a copy from which ``model`` may be served, or None."""
        copies = self._ready.get(model)
        return copies[0] if copies else None

    # Loads and evictions.

    def expire(self, now: float) -> list[Outgoing]:
        """Refuse the queued requests whose deadline has passed."""
        return [
            self._refuse_waiting(wait, RefusalReason.EXPIRED)
            for wait in self.waiting.pop_expired(now)
        ]

    def choose_order(
        self, now: float, try_load: TryLoad = lambda wait: True
    ) -> tuple[Order | None, list[Outgoing]]:
        """Return the next order to issue, and the recalls that it needs.

        ``try_load`` returns whether a load may start now. Orders may arrive
        out of order: each refers to a different copy, and all orders of an
        epoch have the same fencing number.
        """
        if self.is_superseded or len(self.orders) >= self._policy.max_orders:
            return None, []
        stray = self._find_stray()
        if stray is not None:
            return self._begin_unload(stray, now), []
        wait = self._find_next_request(now)
        if wait is None:
            return None, []
        if len(self.copies) < self.properties.slots:
            may_load = try_load(wait)
            return (self._begin_load(wait, now) if may_load else None), []
        if self._count_unloads():
            # A slot will be free soon for the first queued request.
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
        """Apply the endpoint's answer to an order."""
        if self.orders.get(order.copy) != order:
            return []
        del self.orders[order.copy]
        self.is_superseded = self.is_superseded or result is OrderResult.FENCED
        self._has_unknown_result = (
            self._has_unknown_result or result is OrderResult.UNKNOWN
        )
        copy = self.copies.get(order.copy)
        if copy is None:
            return []
        if order.verb == UNLOAD:
            self._finish_unload(copy, result, now)
            return []
        return self._finish_load(copy, result, now)

    def may_evict(self, copy: Copy) -> bool:
        """Return whether the rules allow ``copy`` to be unloaded now."""
        if copy.pins or copy.state is CopyState.LOADING:
            return False
        inherited = copy.epoch != self.epoch
        return not (inherited and self.unproven)

    def may_serve(self, copy: Copy) -> bool:
        """Return whether the rules allow pins to be granted on ``copy``."""
        if copy.state is not CopyState.READY:
            return False
        return (
            copy.epoch == self.epoch
            or self.properties.fences
            or copy.epoch in self.yielded
        )

    # Helpers.

    def _add_copy(self, name: CopyName, state: CopyState, now: float) -> None:
        use = self._history.find(name.model, now)
        copy = self.copies[str(name)] = Copy(name, state, now, use)
        copy.pins = self._early_pins.pop(copy.name, {})

    def _find_pins(self, name: str) -> dict[str, Pin]:
        """Return the pins of a copy, which may not be listed yet."""
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
            # The copy may still be loaded: unload it again, never serve it.
            copy.enter(CopyState.UNLOADING, now)

    def _finish_load(
        self, copy: Copy, result: OrderResult, now: float
    ) -> list[Outgoing]:
        if result is OrderResult.DONE:
            self._mean_load_seconds += LOAD_SMOOTHING * (
                now - copy.since - self._mean_load_seconds
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
            self._refuse_waiting(wait, RefusalReason.LOAD_FAILED)
            for wait in self.waiting.pop_model(copy.model)
        ]

    def _should_spill(self, request: Acquire) -> bool:
        return not request.last and self.count_running() >= self.properties.width

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
                self.endpoint,
                nonce,
                copy.name,
                self.epoch,
                running,
                self.properties.width,
            ),
        )

    def _grant_waiting(self, copy: Copy, now: float) -> list[Outgoing]:
        return [
            self._grant(copy, wait.holder, wait.nonce, now)
            for wait in self.waiting.pop_model(copy.model)
        ]

    def _refuse(
        self, to: str, request: Acquire, reason: str, retry_after: float = 0.0
    ) -> Outgoing:
        return Outgoing(to, Refuse(self.endpoint, request.nonce, reason, retry_after))

    def _refuse_waiting(self, wait: QueuedRequest, reason: str) -> Outgoing:
        return Outgoing(wait.holder, Refuse(self.endpoint, wait.nonce, reason, 1.0))

    def _begin_load(self, wait: QueuedRequest, now: float) -> Order:
        self._serial += 1
        self._load_started_at = now
        name = CopyName(wait.model, self.epoch, self._serial)
        use = self._history.find(wait.model, now)
        copy = Copy(name, CopyState.LOADING, now, use)
        self.copies[copy.name] = copy
        order = Order(LOAD, copy.name, wait.model, self.epoch, wait.priority)
        return self._record_order(order)

    def _begin_unload(self, copy: Copy, now: float) -> Order:
        copy.enter(CopyState.UNLOADING, now)
        self._index_ready()
        return self._record_order(Order(UNLOAD, copy.name, copy.model, self.epoch))

    def _record_order(self, order: Order) -> Order:
        self.orders[order.copy] = order
        return order

    def _estimate_wait(self, wait: QueuedRequest) -> float:
        """Return the expected time until a request's load ends, in s."""
        ahead = self.waiting.count_ahead(wait)
        if ahead is None:
            # An equally urgent request already needs the same load.
            return 0.0
        rounds = (ahead + len(self.orders)) / self._policy.max_orders
        return (1.0 + rounds) * self._mean_load_seconds

    def _find_next_request(self, now: float) -> QueuedRequest | None:
        """Return the first queued request that needs a new load.

        No load should be made for a priority class for which the endpoint is
        too full to run requests, but `LoadQueue.peek` does not evaluate this.
        """
        loading = {order.model for order in self.orders.values() if order.verb == LOAD}
        if not len(self.waiting):
            return None
        full = {name for name in PRIORITY_RANKS if self.is_full(name)}
        is_idle = now - self._load_started_at >= IDLE_TIME
        return self.waiting.peek(now, loading, full, is_idle)

    def _count_unloads(self) -> int:
        return sum(order.verb == UNLOAD for order in self.orders.values())

    def _find_stray(self) -> Copy | None:
        """Return a copy that cannot be served from and may be unloaded."""
        for copy in self.copies.values():
            is_ordered = copy.name in self.orders
            if not is_ordered and not self.may_serve(copy) and self.may_evict(copy):
                return copy
        return None

    def _choose_victim(self, now: float) -> Copy | None:
        """Return the least valuable idle copy; its pins may need a recall.

        A pinned copy of less value is chosen before an unpinned copy of more
        value.
        """
        idle = [
            copy
            for copy in self.copies.values()
            if copy.state is CopyState.READY
            and copy.name not in self.orders
            and not copy.count_running()
            and (self.may_evict(copy) or self._may_recall(copy, now))
        ]
        return self._choose_least_valuable(idle, now)

    def _may_recall(self, copy: Copy, now: float) -> bool:
        """Return whether the holders of a pinned copy may still release it.

        After the time-out of a recall the copy is skipped, since a paused
        holder would otherwise block the eviction of all other copies.
        """
        if not copy.pins:
            return False
        return copy.recalled_at is None or now - copy.recalled_at < RECALL_TIMEOUT

    def _recall(self, copy: Copy, now: float) -> list[Outgoing]:
        if copy.recalled_at is None:
            copy.recalled_at = now
        recall = Recall(self.endpoint, copy.name)
        return [Outgoing(holder, recall) for holder in copy.pins]

    def _choose_least_valuable(self, copies: list[Copy], now: float) -> Copy | None:
        queued_models = self.waiting.list_models()
        candidates = [
            copy for copy in copies if copy.model not in queued_models
        ] or copies
        if not candidates:
            return None
        return min(
            candidates,
            key=lambda copy: self._policy.evictor.compute_value(copy.use, now),
        )

    def _drop(self, copy: Copy) -> None:
        del self.copies[copy.name]
        self._index_ready()

    def _index_ready(self) -> None:
        self._ready.clear()
        for copy in self.copies.values():
            if self.may_serve(copy):
                self._ready.setdefault(copy.model, []).append(copy)
