"""Plan the orders of one engine: which adapters to load and which to evict.

This is the owner's record of an engine. One order is in flight at a time.
Each states how many orders the engine must have accepted before, so that an
order that arrives late finds a different count and has no effect. For the same
reason an order that got no answer is resent at once: whichever of the two
arrives first is accepted, and the other finds the work done or a different
count.

A poll repeats an order that is being carried out; the engine answers it
without counting it. An order may overtake a poll, which then finds a different
count and is sent again. No poll is sent while an order awaits its answer.
"""

import enum
from typing import NamedTuple

from roadlift.decisions.denials import Denials
from roadlift.decisions.urgency import LoadRequest, Urgency, merge_load_request
from roadlift.policy.eviction import AgedFrequencyEvictor, UseHistory
from roadlift.serving.calls import Model
from roadlift.serving.copies import FIRST_POLL_INTERVAL, Copy, CopyState
from roadlift.serving.loads import (
    MAX_CONCURRENT_LOADS,
    BaseLoadLimiter,
    LoadTimes,
    measure_queue,
)
from roadlift.serving.orders import Action, EngineReport, OrderResult
from roadlift.serving.usage import Usage

# Resends of an unanswered order before its outcome counts as unconfirmed. With
# 3 of 10 sends unanswered, the worst rate seen, 1 order of 100 gets there.
MAX_RESENDS = 3
# Consecutive polls of one copy without a useful answer before the engine's
# report is read.
MAX_FAILED_POLLS = 3
MAX_POLL_INTERVAL = 0.1  # Seconds between polls at most.
POLL_GROWTH = 1.5  # Factor by which the interval grows with each poll.
BASE_POLL_INTERVAL = 0.3  # Seconds between polls of a base model's load.
RETRY_BACKOFF = 0.05  # Seconds after an order that was refused or not sent.
# Seconds after an unconfirmed order until the engine's report shows it.
UNCONFIRMED_BACKOFF = 0.6
# Seconds after a copy's last use in which it may run calls that the instances
# have not reported yet: their report interval and a message's transit time.
RECENT_USE_WINDOW = 0.2
# Seconds that an adapter waits for a copy without running calls that can be
# evicted or replaced. Then it is denied, and requested at another engine: an
# order for a copy that runs calls would block all others until they end.
LOAD_MAX_WAIT = 0.5
NO_VICTIM_BACKOFF = 0.05  # Seconds until the next search for a victim.
# Seconds between reads of the report while an order blocks all others and
# adapters are loading. A report costs a hundredth of a load or less.
BLOCKED_REPORT_INTERVAL = 0.15
# Consecutive unreadable reports after which an engine is unreachable.
MAX_FAILED_REPORTS = 2
MAX_QUEUED_LOADS = 64  # Adapters queued for one engine.
# Seconds after the last request for an adapter at which no call waits for it
# any longer; instances repeat the request every 0.3 s while a call waits.
LOAD_REQUEST_TTL = 1.0


# Stands for all adapters of an engine in ``EngineRecord.changes``.
ALL_ADAPTERS = Model("")


class QueuedLoad(NamedTuple):
    """An adapter that is queued for loading.

    ``least`` is the oldest version that will do; ``request`` has what orders
    the queue; ``asked_at`` is the time of the last request, in seconds.
    """

    model: Model
    least: int
    request: LoadRequest
    asked_at: float


class DenialReason(enum.Enum):
    """Why an adapter will not be loaded at an engine soon.

    NO_VICTIM: calls run on all copies. OLD_VERSION: calls run on its older
    version, which the new one would replace. NOT_TAKEN: the engine did not
    accept the order. UNREACHABLE: the engine's report can't be read.
    TOO_LATE: its load would begin too late to serve any call. EVACUATED: the
    operator has taken the engine's zone out of service.
    """

    NO_VICTIM = "no_victim"
    OLD_VERSION = "old_version"
    NOT_TAKEN = "not_taken"
    UNREACHABLE = "unreachable"
    TOO_LATE = "too_late"
    EVACUATED = "evacuated"


class Denied(NamedTuple):
    """An adapter that will not be loaded soon, and why."""

    model: Model
    reason: DenialReason


class Plan(NamedTuple):
    """The next order to send.

    With ``is_poll`` it repeats an order to query its progress; the engine
    answers it without counting it as accepted. ``tries`` counts the earlier
    sends that got no answer.
    """

    action: Action
    model: Model
    version: int | None
    is_poll: bool = False
    tries: int = 0


class EngineRecord:
    """The owner's record of one engine.

    ``changes`` collects (model, version) for the subscribers. A version of -1
    means that the adapter is gone; with ``ALL_ADAPTERS`` it means that all
    updates of earlier owners about the engine are void. ``denied`` collects
    the adapters that will not be loaded. ``has_report`` is set once a report
    of the engine has been read.
    """

    def __init__(
        self,
        slots: int,
        bases: tuple[str, ...],
        times: LoadTimes,
        base_loads: BaseLoadLimiter,
        denials: Denials | None = None,
    ) -> None:
        self._slots = slots
        self._load_times = times
        self._base_loads = base_loads
        self._denials = denials or Denials()
        self._is_base_ordered = False
        self._held_before: set[Model] = set()
        self._configured_bases = bases
        self._base_poll_at = 0.0
        self._evictor = AgedFrequencyEvictor()
        self._uses = UseHistory()
        self._queue: dict[Model, QueuedLoad] = {}
        self._backoff_until = 0.0
        self._hold_until = 0.0
        self._in_flight: Plan | None = None
        self._resend: Plan | None = None
        self._poll: Plan | None = None
        self._next_report_at = 0.0
        self._failed_reports = 0
        self.usage = Usage()
        self.sequence: int | None = None
        self.copies: dict[Model, Copy] = {}
        self.bases: set[str] = set()
        self.needs_report = True
        self.has_report = False
        self.changes: list[tuple[Model, int]] = []
        self.denied: list[Denied] = []
        self.loads = 0
        self.evictions = 0

    @property
    def is_idle(self) -> bool:
        """Return whether no order or poll is in flight."""
        return self._in_flight is self._resend is self._poll is None

    def list_held(self) -> dict[Model, int]:
        """Return the adapters that may be used, with their versions."""
        return {
            model: copy.version
            for model, copy in self.copies.items()
            if copy.state is CopyState.HELD and not copy.is_outdated
        }

    def holds(self, model: Model, least: int) -> bool:
        """Return whether an adapter may be used at a version or newer."""
        copy = self.copies.get(model)
        return (
            copy is not None and copy.state is CopyState.HELD and copy.version >= least
        )

    # Reports and requests from the instances.

    def record_use(self, model: Model, count: int, now: float) -> None:
        """Count uses of an adapter."""
        self._uses.find(model, now).note(now, count)

    def count_free_slots(self, now: float) -> int:
        """Return how many further adapters could be loaded now.

        If more are queued than there are free slots, the number is negative.
        """
        occupied = sum(
            copy.state is not CopyState.HELD or not self._has_no_calls(model, now)
            for model, copy in self.copies.items()
        )
        waiting = sum(model not in self.copies for model in self._queue)
        if self._is_blocked():
            occupied = self._slots
        return self._slots - occupied - waiting

    def count_loads_ahead(self) -> int:
        """Return the number of loads in progress or queued."""
        waiting = sum(model not in self.copies for model in self._queue)
        return self.count_copies(CopyState.LOADING) + waiting

    def measure_load_time(self) -> float:
        """Return the seconds that a load takes at this owner's engines."""
        return round(self._load_times.duration, 2)

    def count_copies(self, state: CopyState) -> int:
        """Return how many copies are in a state."""
        return sum(copy.state is state for copy in self.copies.values())

    def list_loading(self) -> list[Model]:
        """Return the adapters that are being loaded."""
        return [
            model
            for model, copy in self.copies.items()
            if copy.state is CopyState.LOADING
        ]

    def request_load(
        self, model: Model, least: int, urgency: Urgency, now: float
    ) -> bool:
        """Queue an adapter for loading; False if it can't be loaded in time.

        A load that ends after its callers have disconnected is wasted.
        """
        known = self._queue.get(model)
        since = self._denials.find_since(model, now)
        if self.is_unreachable:
            return False
        if known is None and not self._can_begin_in_time(since, urgency):
            self._denials.note(model, now)
            return False
        if known is not None:
            least = max(least, known.least)
        request = merge_load_request(
            known.request if known else None, urgency, now, since
        )
        self._queue[model] = QueuedLoad(model, least, request, now)
        return True

    def _can_begin_in_time(self, since: float, urgency: Urgency) -> bool:
        """Return whether a load would begin in time, given the loads ahead."""
        earlier = sum(
            queued.request.since <= since and queued.model not in self.copies
            for queued in self._queue.values()
        )
        ahead = self.count_copies(CopyState.LOADING) + earlier
        queue = measure_queue(ahead, self._load_times.duration)
        return len(self._queue) < MAX_QUEUED_LOADS and queue <= urgency.limit

    def is_load_requested(self, model: Model) -> bool:
        """Return whether an adapter is requested and not loaded yet."""
        return model in self._queue

    def retire(self, model: Model, version: int) -> None:
        """Mark a copy as outdated if it is older than the declared version."""
        copy = self.copies.get(model)
        if copy is None or copy.is_outdated or copy.target >= version:
            return
        copy.is_outdated = True
        if copy.state is CopyState.HELD:
            self.changes.append((model, -1))

    def record_missing(self, model: Model) -> None:
        """Record that the engine refused a call for lack of an adapter."""
        copy = self.copies.get(model)
        if copy is not None and copy.state is CopyState.HELD:
            del self.copies[model]
            self.needs_report = True
            self.changes.append((model, -1))

    # Reports from the engine.

    def apply_report(self, report: EngineReport, now: float) -> None:
        """Apply the engine's report, read while no order was in flight."""
        self.needs_report = False
        self._failed_reports = 0
        if not self.has_report:
            self.has_report = True
            self.changes.append((ALL_ADAPTERS, -1))
        self.sequence = report.sequence
        self.bases = set(report.bases)
        held = {adapter.model: adapter.version for adapter in report.held}
        arriving = {adapter.model: adapter.version for adapter in report.arriving}
        for model in set(self.copies) - set(held) - set(arriving):
            self._remove(model)
        for model, version in held.items():
            self._put(model, CopyState.HELD, version, now)
        for model, version in arriving.items():
            if model not in held:
                self._put(model, CopyState.LOADING, version, now)

    def _put(self, model: Model, state: CopyState, version: int, now: float) -> None:
        copy = self.copies.get(model)
        is_same = copy is not None and (copy.state, copy.version) == (state, version)
        if is_same and state is CopyState.HELD and not copy.is_outdated:
            return
        if not is_same:
            copy = self.copies[model] = Copy(state, version, now)
            # A copy of unknown history counts as used when it was first seen.
            self._uses.find(model, now)
        if state is CopyState.HELD:
            self._record_held(model, copy, version, now)

    def _record_held(self, model: Model, copy: Copy, version: int, now: float) -> None:
        copy.state = CopyState.HELD
        copy.version = copy.target = version
        copy.is_outdated = False
        self._held_before.add(model)
        self._denials.forget(model)
        self.changes.append((model, version))
        queued = self._queue.get(model)
        if queued is not None and version >= queued.least:
            # The calls that waited for it begin now, before they are reported.
            self.record_use(model, 1, now)
            del self._queue[model]

    def _remove(self, model: Model) -> None:
        copy = self.copies.pop(model)
        if copy.state is CopyState.HELD:
            self.changes.append((model, -1))

    # The orders.

    def plan(self, now: float) -> Plan | None:
        """Return the next order or poll, or None.

        The caller passes the outcome of each to ``record_result``.
        """
        if self._in_flight is None and self._resend is not None:
            self._in_flight, self._resend = self._resend, None
            return self._in_flight
        if self.needs_report or now < self._backoff_until:
            return None
        if self._in_flight is None:
            self._in_flight = self._choose(now)
            if self._in_flight is not None:
                return self._in_flight
        if self._in_flight is None and self._poll is None:
            self._poll = self._choose_poll(now)
            return self._poll
        return None

    def measure_wait(self, now: float) -> float | None:
        """Return the seconds until a plan may be due, or None."""
        if self.needs_report or self._in_flight is not None:
            return None
        times = [] if self._poll is not None else self._list_poll_times()
        times += self._list_order_times(now)
        if self._is_blocked():
            poll_times = self._list_load_poll_times()
            times += [max(at, self._next_report_at) for at in poll_times]
        if not times:
            return None
        return max(0.0, min(times) - now, self._backoff_until - now)

    def _list_poll_times(self) -> list[float]:
        is_blocked = self._is_blocked()
        return [
            copy.poll_at
            for copy in self.copies.values()
            if copy.state is not CopyState.HELD
            and not (is_blocked and copy.state is CopyState.LOADING)
        ]

    def _list_order_times(self, now: float) -> list[float]:
        if not self.bases:
            return [self._base_poll_at] if self._configured_bases else []
        if self._queue and not self._is_blocked() and not self._has_max_loads():
            return [max(now, self._hold_until)]
        return []

    def _list_load_poll_times(self) -> list[float]:
        """Return when the adapters being loaded are due for a poll."""
        return [
            copy.poll_at
            for copy in self.copies.values()
            if copy.state is CopyState.LOADING
        ]

    def start_load_check(self, now: float) -> bool:
        """Return whether to read a report for the adapters being loaded.

        The engine answers no order while another waits for running calls to
        end. If a report is due, the time of the next one is set.
        """
        poll_times = self._list_load_poll_times()
        is_due = bool(poll_times) and now >= max(self._next_report_at, min(poll_times))
        if not is_due or not self._is_blocked():
            return False
        self._next_report_at = now + BLOCKED_REPORT_INTERVAL
        return True

    def record_loaded(self, report: EngineReport, now: float) -> None:
        """Record which of the adapters being loaded a report shows as held."""
        for held in report.held:
            copy = self.copies.get(held.model)
            if copy is not None and copy.state is CopyState.LOADING:
                self._record_held(held.model, copy, held.version, now)

    def _has_max_loads(self) -> bool:
        """Return whether the engine has the maximum of concurrent loads."""
        return self.count_copies(CopyState.LOADING) >= MAX_CONCURRENT_LOADS

    def measure_pause(self, now: float) -> float:
        """Return the seconds until the report may be read."""
        return max(0.0, self._backoff_until - now)

    def _choose(self, now: float) -> Plan | None:
        plan = self._choose_base(now)
        if plan is not None or now < self._hold_until or self._is_blocked():
            return plan
        self._expire_queued(now)
        ranked = sorted(
            self._queue.values(), key=lambda queued: queued.request.compute_rank(now)
        )
        for queued in ranked:
            copy = self.copies.get(queued.model)
            if copy is None:
                plan = self._choose_load(queued, now)
                if plan is not None:
                    return plan
            elif copy.state is CopyState.HELD and copy.version < queued.least:
                if self._has_no_calls(queued.model, now):
                    return self._order_load(queued, copy)
                self._delay_or_deny(queued, DenialReason.OLD_VERSION, now)
        return None

    def _expire_queued(self, now: float) -> None:
        """Drop queued adapters that are no longer requested, or too late."""
        for queued in list(self._queue.values()):
            if now - queued.asked_at > LOAD_REQUEST_TTL:
                del self._queue[queued.model]
            elif now > queued.request.until and queued.model not in self.copies:
                self._deny(queued.model, DenialReason.TOO_LATE, now)

    def deny_all(self, reason: DenialReason, now: float) -> None:
        """Deny all adapters that are queued for loading."""
        for model in list(self._queue):
            self._deny(model, reason, now)

    def _deny(self, model: Model, reason: DenialReason, now: float) -> None:
        """Remove an adapter from the queue and record its denial."""
        del self._queue[model]
        self._denials.note(model, now)
        self.denied.append(Denied(model, reason))

    def _delay_or_deny(
        self, queued: QueuedLoad, reason: DenialReason, now: float
    ) -> None:
        """Delay an adapter that waits for running calls to end, or deny it."""
        if now - queued.request.began_at >= LOAD_MAX_WAIT:
            self._deny(queued.model, reason, now)
        else:
            self._hold_until = now + NO_VICTIM_BACKOFF

    def _has_no_calls(self, model: Model, now: float) -> bool:
        """Return whether no call is known to run on a copy."""
        last = self._uses.find(model, now).last
        return not self.usage.is_running(model) and now - last >= RECENT_USE_WINDOW

    def _is_blocked(self) -> bool:
        """Return whether an order that waits for calls blocks all others."""
        return any(
            copy.state in (CopyState.UNLOADING, CopyState.REPLACING)
            for copy in self.copies.values()
        )

    def _choose_base(self, now: float) -> Plan | None:
        """Return an order for the base model if the engine has none."""
        if self.bases or not self._configured_bases or now < self._base_poll_at:
            return None
        if not self._is_base_ordered and not self._base_loads.acquire(now):
            self._base_poll_at = self._base_loads.next_at
            return None
        return Plan(Action.LOAD, Model(self._configured_bases[0]), None)

    def _choose_poll(self, now: float) -> Plan | None:
        """Return a poll of a copy that is due: its order, repeated."""
        is_blocked = self._is_blocked()
        for model, copy in self.copies.items():
            if copy.state is CopyState.HELD or now < copy.poll_at:
                continue
            if copy.state is CopyState.LOADING and is_blocked:
                continue
            if copy.state is CopyState.UNLOADING:
                return Plan(Action.UNLOAD, model, None, True)
            copy.polls += 1
            return Plan(Action.LOAD, model, copy.target or None, True)
        return None

    def _choose_load(self, queued: QueuedLoad, now: float) -> Plan | None:
        if queued.model.base not in self.bases or self._has_max_loads():
            return None
        if len(self.copies) < self._slots:
            return self._order_load(queued, None)
        victim = self._choose_victim(now)
        if victim is None:
            self._delay_or_deny(queued, DenialReason.NO_VICTIM, now)
            return None
        self.evictions += 1
        copy = self.copies[victim]
        copy.state = CopyState.UNLOADING
        copy.since = now
        copy.poll_interval = FIRST_POLL_INTERVAL
        self.changes.append((victim, -1))
        return Plan(Action.UNLOAD, victim, None)

    def _order_load(self, queued: QueuedLoad, copy: Copy | None) -> Plan:
        if copy is not None:
            # A replacement: running calls end before the new version loads.
            copy.state = CopyState.REPLACING
            copy.target = queued.least
            self.changes.append((queued.model, -1))
        self.loads += 1
        return Plan(Action.LOAD, queued.model, queued.least or None)

    def _choose_victim(self, now: float) -> Model | None:
        """Return the least valuable copy without running calls, or None."""
        worth = lambda model: self._evictor.compute_value(
            self._uses.find(model, now), now
        )
        idle = [
            model
            for model, copy in self.copies.items()
            if copy.state is CopyState.HELD
            and model not in self._queue
            and self._has_no_calls(model, now)
        ]
        outdated = [model for model in idle if self.copies[model].is_outdated]
        return min(outdated or idle, key=worth, default=None)

    def record_result(self, plan: Plan, result: OrderResult, now: float) -> None:
        """Record the outcome of the order or poll in flight."""
        if plan.is_poll:
            self._poll = None
            self._record_poll(plan, result, now)
            return
        self._in_flight = None
        if result is OrderResult.DONE:
            self._record_done(plan, now)
        elif result is OrderResult.ACCEPTED:
            is_repeated = not plan.model.adapter and self._is_base_ordered
            self.sequence += 0 if is_repeated else 1
            self._record_accepted(plan, now)
        elif result is OrderResult.UNKNOWN and plan.tries < MAX_RESENDS:
            self._resend = plan._replace(tries=plan.tries + 1)
        elif result in (OrderResult.CONFLICT, OrderResult.UNKNOWN):
            # The engine's count differs from the expected one, or it carries
            # out an order that is unknown here. Its report shows which, but
            # is some hundred milliseconds late for an order just accepted.
            self._record_unconfirmed(plan, now)
            self._request_report(now + UNCONFIRMED_BACKOFF)
        else:
            self._record_refused(plan)
            self._request_report(now + RETRY_BACKOFF)

    def record_failed_report(self, now: float) -> None:
        """Record that the engine's report could not be read.

        Denies the adapters that have waited too long; after a second
        consecutive failure all of them, as the engine is unreachable.
        """
        self._failed_reports += 1
        for model, queued in list(self._queue.items()):
            has_timed_out = now - queued.request.began_at >= LOAD_MAX_WAIT
            if has_timed_out or self.is_unreachable:
                self._deny(model, DenialReason.UNREACHABLE, now)

    @property
    def is_unreachable(self) -> bool:
        """Return whether too many consecutive reports could not be read."""
        return self._failed_reports >= MAX_FAILED_REPORTS

    def _request_report(self, backoff_until: float) -> None:
        self._backoff_until = backoff_until
        self.needs_report = True

    def _record_poll(self, plan: Plan, result: OrderResult, now: float) -> None:
        copy = self.copies.get(plan.model)
        if copy is None or copy.state is CopyState.HELD:
            # A report has settled it in the meantime.
            return
        if result is OrderResult.DONE and plan.action is Action.UNLOAD:
            del self.copies[plan.model]
        elif result is OrderResult.DONE:
            self._load_times.record(copy.is_reload, now - copy.since, copy.polls)
            self._record_held(plan.model, copy, plan.version or 0, now)
        elif result is OrderResult.ACCEPTED:
            copy.failed_polls = 0
            self._schedule_poll(copy, now)
        elif copy.failed_polls < MAX_FAILED_POLLS:
            # A poll has no effect, answered or not, so it can be repeated.
            copy.failed_polls += 1
            self._schedule_poll(copy, now)
        else:
            self._request_report(now + UNCONFIRMED_BACKOFF)

    def _schedule_poll(self, copy: Copy, now: float) -> None:
        copy.poll_at = now + copy.poll_interval
        copy.poll_interval = min(MAX_POLL_INTERVAL, copy.poll_interval * POLL_GROWTH)

    def _record_done(self, plan: Plan, now: float) -> None:
        """Record an order that was carried out at once.

        The engine does not count a load of an adapter that it already held.
        After a resend it counts one, as an earlier send caused the load.
        """
        if not plan.model.adapter:
            self.bases.add(plan.model.base)
            self._is_base_ordered = False
            return
        if plan.action is Action.UNLOAD:
            self.sequence += 1
            self.copies.pop(plan.model, None)
            return
        self.sequence += 1 if plan.tries else 0
        copy = self.copies.get(plan.model)
        if copy is None:
            copy = self.copies[plan.model] = Copy(CopyState.LOADING, 0, now)
        self._record_held(plan.model, copy, plan.version or 0, now)

    def _record_accepted(self, plan: Plan, now: float) -> None:
        if not plan.model.adapter:
            self._is_base_ordered = True
            self._base_poll_at = now + BASE_POLL_INTERVAL
            return
        copy = self.copies.get(plan.model)
        if copy is None:
            copy = self.copies[plan.model] = Copy(CopyState.LOADING, 0, now)
            copy.target = plan.version or 0
        if copy.state is not CopyState.LOADING:
            self._schedule_poll(copy, now)
            return
        copy.since = now
        copy.is_reload = plan.model in self._held_before
        copy.poll_at = now + self._load_times.estimate(copy.is_reload)

    def _record_unconfirmed(self, plan: Plan, now: float) -> None:
        """Count an unconfirmed load as occupying a slot until the report."""
        if not plan.model.adapter:
            self._base_poll_at = now + BASE_POLL_INTERVAL
        elif plan.action is Action.LOAD and plan.model not in self.copies:
            copy = self.copies[plan.model] = Copy(CopyState.LOADING, 0, now)
            copy.target = plan.version or 0

    def _record_refused(self, plan: Plan) -> None:
        if self._queue.pop(plan.model, None) is not None:
            self.denied.append(Denied(plan.model, DenialReason.NOT_TAKEN))
