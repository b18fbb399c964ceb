"""Plan the orders of one engine: what it loads, and what makes way for it.

The owner's record of an engine. One order is under way at a time, and each
names how many the engine must have accepted before, so that one which is
carried out late meets another count and does nothing. For the same reason an
order without an answer is sent again at once: whichever of the two arrives
first is accepted, and the other finds it done or meets another count.

A poll is an order that repeats one on its way, which the engine answers
without counting it. An order may overtake a poll, which then meets another
count and is sent again; no poll is sent before an order's answer is known.
"""

import enum
from typing import NamedTuple

from roadlift.decisions.denials import Denials
from roadlift.decisions.urgency import LoadRequest, Urgency, merge_load_request
from roadlift.policy.eviction import AgedFrequencyEvictor, UseHistory
from roadlift.serving.calls import Model
from roadlift.serving.copies import NEXT_POLL, Copy, CopyState
from roadlift.serving.loads import (
    MOST_ARRIVING,
    BaseLoads,
    LoadTimes,
    measure_queue,
)
from roadlift.serving.orders import Action, EngineReport, OrderResult
from roadlift.serving.usage import Usage

# Sends of an order that may go unanswered before its outcome is in doubt. At
# 3 unanswered of 10, the worst seen, 1 order of 100 comes to that.
MOST_RESENDS = 3
# Polls of one copy in a row without a useful answer, until the report is read.
MOST_FAILED_POLLS = 3
MOST_POLL = 0.1  # Seconds between later askings at most.
POLL_GROWTH = 1.5
BASE_POLL = 0.3  # Seconds between askings after a base model's load.
RETRY_PAUSE = 0.05  # Seconds behind an order that was refused or not sent.
DOUBT_PAUSE = 0.6  # Seconds behind an order in doubt until the report has it.
# Seconds behind a copy's last use in which it may run calls that the
# instances have not told of yet: their period, and a message's way.
FRESH_USE = 0.2
# Seconds that an adapter waits for a copy that runs nothing to make way, or to
# be replaced. Then it is denied, and asked for at another engine: an order for
# a copy that runs calls would hold up all others until they end.
PATIENCE = 0.5
NO_VICTIM_PAUSE = 0.05  # Seconds until a victim is looked for again.
# Seconds between reports that are read while an order holds up all others and
# adapters arrive meanwhile. A report costs a hundredth of a load and less.
PEEK_PERIOD = 0.15
# Reports in a row that can't be read behind which an engine is unreachable.
MOST_FAILED_REPORTS = 2
MOST_WANTED = 64  # Adapters that wait for one engine.
# Seconds behind the last asking for an adapter at which nobody waits for it
# any more; instances ask again each 0.3 s while a call waits.
WANT_LIFE = 1.0


# Stands for all adapters of an engine in what changed there.
EVERYTHING = Model("")


class Wanted(NamedTuple):
    """An adapter that is asked for, last at ``asked_at`` (in seconds)."""

    model: Model
    least: int
    want: LoadRequest
    asked_at: float


class DenialReason(enum.Enum):
    """Why an adapter will not be loaded at an engine soon.

    NO_VICTIM: calls run on all copies; OLD_VERSION: calls run on its older
    version, which the new one would replace; NOT_TAKEN: the engine did not
    take the order; UNREACHABLE: the engine's report can't be read; TOO_LATE:
    its load would begin when it serves no call any more.
    """

    NO_VICTIM = "no_victim"
    OLD_VERSION = "old_version"
    NOT_TAKEN = "not_taken"
    UNREACHABLE = "unreachable"
    TOO_LATE = "too_late"


class Denied(NamedTuple):
    """An adapter that will not be loaded soon, and why."""

    model: Model
    reason: DenialReason


class Plan(NamedTuple):
    """The next order to send.

    ``is_poll`` tells that it repeats one under way to learn how it stands:
    the engine answers it without counting it as accepted. ``tries`` counts
    the sends before this one that got no answer.
    """

    action: Action
    model: Model
    version: int | None
    is_poll: bool = False
    tries: int = 0


class EngineBook:
    """The owner's record of one engine.

    ``changes`` gathers (model, version) for the subscribers; a version of -1
    tells that the adapter is gone, of EVERYTHING that the engine holds none of
    what another owner told. ``denied`` gathers what will not be loaded.
    """

    def __init__(
        self,
        slots: int,
        bases: tuple[str, ...],
        times: LoadTimes,
        base_loads: BaseLoads,
        denials: Denials | None = None,
    ) -> None:
        self._slots = slots
        self._times = times
        self._base_loads = base_loads
        self._denials = denials or Denials()
        self._is_base_ordered = False
        self._seen: set[Model] = set()
        self._wanted_bases = bases
        self._base_poll_at = 0.0
        self._evictor = AgedFrequencyEvictor()
        self._uses = UseHistory()
        self._wanted: dict[Model, Wanted] = {}
        self._pause_until = 0.0
        self._hold_until = 0.0
        self._in_flight: Plan | None = None
        self._again: Plan | None = None
        self._poll: Plan | None = None
        self._peek_at = 0.0
        self._failed_reports = 0
        self.usage = Usage()
        self.sequence: int | None = None
        self.copies: dict[Model, Copy] = {}
        self.bases: set[str] = set()
        self.needs_report = True
        self.is_read = False
        self.changes: list[tuple[Model, int]] = []
        self.denied: list[Denied] = []
        self.loads = 0
        self.evictions = 0

    @property
    def is_idle(self) -> bool:
        """Tell whether no order or poll is under way."""
        return self._in_flight is self._again is self._poll is None

    def list_held(self) -> dict[Model, int]:
        """Return the adapters that may be used, with their versions."""
        return {
            model: copy.version
            for model, copy in self.copies.items()
            if copy.state is CopyState.HELD and not copy.is_outdated
        }

    def holds(self, model: Model, least: int) -> bool:
        """Tell whether an adapter may be used at a version or newer."""
        copy = self.copies.get(model)
        return (
            copy is not None and copy.state is CopyState.HELD and copy.version >= least
        )

    # What the instances tell.

    def note_use(self, model: Model, count: int, now: float) -> None:
        """Count uses of an adapter."""
        self._uses.find(model, now).note(now, count)

    def count_places(self, now: float) -> int:
        """Return how many further adapters could be loaded now.

        A negative number tells how many wait beyond that.
        """
        taken = sum(
            copy.state is not CopyState.HELD or not self._is_quiet(model, now)
            for model, copy in self.copies.items()
        )
        waiting = sum(model not in self.copies for model in self._wanted)
        if self._is_blocked():
            taken = self._slots
        return self._slots - taken - waiting

    def count_loads_ahead(self) -> int:
        """Return the loads on their way or waiting for their turn."""
        waiting = sum(model not in self.copies for model in self._wanted)
        return self.count_copies(CopyState.ARRIVING) + waiting

    def measure_load_time(self) -> float:
        """Return the seconds that a load of this owner's engines takes."""
        return round(self._times.duration, 2)

    def count_copies(self, state: CopyState) -> int:
        """Return how many copies are in a state."""
        return sum(copy.state is state for copy in self.copies.values())

    def list_arriving(self) -> list[Model]:
        """Return the adapters whose loads are on their way."""
        return [
            model
            for model, copy in self.copies.items()
            if copy.state is CopyState.ARRIVING
        ]

    def want(self, model: Model, least: int, urgency: Urgency, now: float) -> bool:
        """Ask for an adapter; False means that it won't be loaded in time.

        An engine that loads for callers who have left serves nobody.
        """
        known = self._wanted.get(model)
        since = self._denials.find_since(model, now)
        if self.is_unreachable:
            return False
        if known is None and not self._may_wait(since, urgency):
            self._denials.note(model, now)
            return False
        if known is not None:
            least = max(least, known.least)
        want = merge_load_request(known.want if known else None, urgency, now, since)
        self._wanted[model] = Wanted(model, least, want, now)
        return True

    def _may_wait(self, since: float, urgency: Urgency) -> bool:
        """Tell whether a load would begin in time behind those before it."""
        earlier = sum(
            wanted.want.since <= since and wanted.model not in self.copies
            for wanted in self._wanted.values()
        )
        ahead = self.count_copies(CopyState.ARRIVING) + earlier
        queue = measure_queue(ahead, self._times.duration)
        return len(self._wanted) < MOST_WANTED and queue <= urgency.limit

    def is_wanted(self, model: Model) -> bool:
        """Tell whether an adapter is asked for and not there yet."""
        return model in self._wanted

    def retire(self, model: Model, version: int) -> None:
        """Use a copy no more that is older than the declared version."""
        copy = self.copies.get(model)
        if copy is None or copy.is_outdated or copy.target >= version:
            return
        copy.is_outdated = True
        if copy.state is CopyState.HELD:
            self.changes.append((model, -1))

    def note_missing(self, model: Model) -> None:
        """Learn that the engine refused a call for want of an adapter."""
        copy = self.copies.get(model)
        if copy is not None and copy.state is CopyState.HELD:
            del self.copies[model]
            self.needs_report = True
            self.changes.append((model, -1))

    # What the engine tells.

    def take_report(self, report: EngineReport, now: float) -> None:
        """Take what the engine says, read while no order was under way."""
        self.needs_report = False
        self._failed_reports = 0
        if not self.is_read:
            self.is_read = True
            self.changes.append((EVERYTHING, -1))
        self.sequence = report.sequence
        self.bases = set(report.bases)
        held = {one.model: one.version for one in report.held}
        arriving = {one.model: one.version for one in report.arriving}
        for model in set(self.copies) - set(held) - set(arriving):
            self._remove(model)
        for model, version in held.items():
            self._put(model, CopyState.HELD, version, now)
        for model, version in arriving.items():
            if model not in held:
                self._put(model, CopyState.ARRIVING, version, now)

    def _put(self, model: Model, state: CopyState, version: int, now: float) -> None:
        copy = self.copies.get(model)
        is_same = copy is not None and (copy.state, copy.version) == (state, version)
        if is_same and state is CopyState.HELD and not copy.is_outdated:
            return
        if not is_same:
            copy = self.copies[model] = Copy(state, version, now)
            # A copy of which nothing is known counts as used when it was seen.
            self._uses.find(model, now)
        if state is CopyState.HELD:
            self._note_held(model, copy, version, now)

    def _note_held(self, model: Model, copy: Copy, version: int, now: float) -> None:
        copy.state = CopyState.HELD
        copy.version = copy.target = version
        copy.is_outdated = False
        self._seen.add(model)
        self._denials.forget(model)
        self.changes.append((model, version))
        wanted = self._wanted.get(model)
        if wanted is not None and version >= wanted.least:
            # The calls that waited for it begin now, before they are told of.
            self.note_use(model, 1, now)
            del self._wanted[model]

    def _remove(self, model: Model) -> None:
        copy = self.copies.pop(model)
        if copy.state is CopyState.HELD:
            self.changes.append((model, -1))

    # The orders.

    def plan(self, now: float) -> Plan | None:
        """Return the next order or poll, or None.

        note_result tells how each ended.
        """
        if self._in_flight is None and self._again is not None:
            self._in_flight, self._again = self._again, None
            return self._in_flight
        if self.needs_report or now < self._pause_until:
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
            arrivals = self._list_arrivals()
            times += [max(at, self._peek_at) for at in arrivals]
        if not times:
            return None
        return max(0.0, min(times) - now, self._pause_until - now)

    def _list_poll_times(self) -> list[float]:
        is_blocked = self._is_blocked()
        return [
            copy.poll_at
            for copy in self.copies.values()
            if copy.state is not CopyState.HELD
            and not (is_blocked and copy.state is CopyState.ARRIVING)
        ]

    def _list_order_times(self, now: float) -> list[float]:
        if not self.bases:
            return [self._base_poll_at] if self._wanted_bases else []
        if self._wanted and not self._is_blocked() and not self._is_full():
            return [max(now, self._hold_until)]
        return []

    def _list_arrivals(self) -> list[float]:
        """Return when adapters on their way are due to be asked after."""
        return [
            copy.poll_at
            for copy in self.copies.values()
            if copy.state is CopyState.ARRIVING
        ]

    def take_peek(self, now: float) -> bool:
        """Tell whether to read a report for the adapters that arrive.

        The engine answers no order while another waits for runs to end.
        """
        arrivals = self._list_arrivals()
        is_due = bool(arrivals) and now >= max(self._peek_at, min(arrivals))
        if not is_due or not self._is_blocked():
            return False
        self._peek_at = now + PEEK_PERIOD
        return True

    def note_arrivals(self, report: EngineReport, now: float) -> None:
        """Learn from a report which of the arriving adapters are there."""
        for held in report.held:
            copy = self.copies.get(held.model)
            if copy is not None and copy.state is CopyState.ARRIVING:
                self._note_held(held.model, copy, held.version, now)

    def _is_full(self) -> bool:
        """Tell whether as many adapters are on their way as may be."""
        return self.count_copies(CopyState.ARRIVING) >= MOST_ARRIVING

    def measure_pause(self, now: float) -> float:
        """Return the seconds until the report may be read."""
        return max(0.0, self._pause_until - now)

    def _choose(self, now: float) -> Plan | None:
        plan = self._choose_base(now)
        if plan is not None or now < self._hold_until or self._is_blocked():
            return plan
        self._drop_stale(now)
        ranked = sorted(
            self._wanted.values(), key=lambda one: one.want.compute_rank(now)
        )
        for wanted in ranked:
            copy = self.copies.get(wanted.model)
            if copy is None:
                plan = self._choose_load(wanted, now)
                if plan is not None:
                    return plan
            elif copy.state is CopyState.HELD and copy.version < wanted.least:
                if self._is_quiet(wanted.model, now):
                    return self._order_load(wanted, copy)
                self._hold_off(wanted, DenialReason.OLD_VERSION, now)
        return None

    def _drop_stale(self, now: float) -> None:
        """Forget the adapters that are asked for no more, or too late."""
        for wanted in list(self._wanted.values()):
            if now - wanted.asked_at > WANT_LIFE:
                del self._wanted[wanted.model]
            elif now > wanted.want.until and wanted.model not in self.copies:
                self._deny(wanted.model, DenialReason.TOO_LATE, now)

    def _deny(self, model: Model, reason: DenialReason, now: float) -> None:
        """Give an adapter up that is wanted here."""
        del self._wanted[model]
        self._denials.note(model, now)
        self.denied.append(Denied(model, reason))

    def _hold_off(self, wanted: Wanted, reason: DenialReason, now: float) -> None:
        """Let an adapter wait a little for running calls, or deny it."""
        if now - wanted.want.began_at >= PATIENCE:
            self._deny(wanted.model, reason, now)
        else:
            self._hold_until = now + NO_VICTIM_PAUSE

    def _is_quiet(self, model: Model, now: float) -> bool:
        """Tell whether no call runs on a copy, as far as is known."""
        last = self._uses.find(model, now).last
        return not self.usage.is_running(model) and now - last >= FRESH_USE

    def _is_blocked(self) -> bool:
        """Tell whether an order waits for runs, and holds up all others."""
        return any(
            copy.state in (CopyState.LEAVING, CopyState.REPLACING)
            for copy in self.copies.values()
        )

    def _choose_base(self, now: float) -> Plan | None:
        """Load the base model of an engine that holds none."""
        if self.bases or not self._wanted_bases or now < self._base_poll_at:
            return None
        if not self._is_base_ordered and not self._base_loads.take(now):
            self._base_poll_at = self._base_loads.next_at
            return None
        return Plan(Action.LOAD, Model(self._wanted_bases[0]), None)

    def _choose_poll(self, now: float) -> Plan | None:
        """Ask after a copy on its way by giving its order again."""
        is_blocked = self._is_blocked()
        for model, copy in self.copies.items():
            if copy.state is CopyState.HELD or now < copy.poll_at:
                continue
            if copy.state is CopyState.ARRIVING and is_blocked:
                continue
            if copy.state is CopyState.LEAVING:
                return Plan(Action.UNLOAD, model, None, True)
            copy.polls += 1
            return Plan(Action.LOAD, model, copy.target or None, True)
        return None

    def _choose_load(self, wanted: Wanted, now: float) -> Plan | None:
        if wanted.model.base not in self.bases or self._is_full():
            return None
        if len(self.copies) < self._slots:
            return self._order_load(wanted, None)
        victim = self._choose_victim(now)
        if victim is None:
            self._hold_off(wanted, DenialReason.NO_VICTIM, now)
            return None
        self.evictions += 1
        copy = self.copies[victim]
        copy.state = CopyState.LEAVING
        copy.since = now
        copy.poll_pause = NEXT_POLL
        self.changes.append((victim, -1))
        return Plan(Action.UNLOAD, victim, None)

    def _order_load(self, wanted: Wanted, copy: Copy | None) -> Plan:
        if copy is not None:
            # A replacement: its runs end before the new version is there.
            copy.state = CopyState.REPLACING
            copy.target = wanted.least
            self.changes.append((wanted.model, -1))
        self.loads += 1
        return Plan(Action.LOAD, wanted.model, wanted.least or None)

    def _choose_victim(self, now: float) -> Model | None:
        """Return the copy worth least of those that run nothing, or None."""
        worth = lambda model: self._evictor.compute_value(
            self._uses.find(model, now), now
        )
        idle = [
            model
            for model, copy in self.copies.items()
            if copy.state is CopyState.HELD
            and model not in self._wanted
            and self._is_quiet(model, now)
        ]
        outdated = [model for model in idle if self.copies[model].is_outdated]
        return min(outdated or idle, key=worth, default=None)

    def note_result(self, plan: Plan, result: OrderResult, now: float) -> None:
        """Learn how an order or a poll under way ended."""
        if plan.is_poll:
            self._poll = None
            self._note_poll(plan, result, now)
            return
        self._in_flight = None
        if result is OrderResult.DONE:
            self._finish(plan, now)
        elif result is OrderResult.ACCEPTED:
            is_repeated = not plan.model.adapter and self._is_base_ordered
            self.sequence += 0 if is_repeated else 1
            self._await(plan, now)
        elif result is OrderResult.UNKNOWN and plan.tries < MOST_RESENDS:
            self._again = plan._replace(tries=plan.tries + 1)
        elif result in (OrderResult.CONFLICT, OrderResult.UNKNOWN):
            # The count is another than was thought, or an order is under way
            # that is not known here: the report tells. It lags behind an
            # order that may just have been taken.
            self._doubt(plan, now)
            self._ask_report(now + DOUBT_PAUSE)
        else:
            self._give_up(plan)
            self._ask_report(now + RETRY_PAUSE)

    def note_failed_report(self, now: float) -> None:
        """Learn that the engine's report could not be read.

        What has waited for long is given up, behind a second failure in a row
        all of it, as the engine can't be reached.
        """
        self._failed_reports += 1
        for model, wanted in list(self._wanted.items()):
            is_old = now - wanted.want.began_at >= PATIENCE
            if is_old or self.is_unreachable:
                self._deny(model, DenialReason.UNREACHABLE, now)

    @property
    def is_unreachable(self) -> bool:
        """Tell whether no report could be read twice in a row."""
        return self._failed_reports >= MOST_FAILED_REPORTS

    def _ask_report(self, pause_until: float) -> None:
        self._pause_until = pause_until
        self.needs_report = True

    def _note_poll(self, plan: Plan, result: OrderResult, now: float) -> None:
        copy = self.copies.get(plan.model)
        if copy is None or copy.state is CopyState.HELD:
            # The report has told meanwhile.
            return
        if result is OrderResult.DONE and plan.action is Action.UNLOAD:
            del self.copies[plan.model]
        elif result is OrderResult.DONE:
            self._times.note(copy.is_return, now - copy.since, copy.polls)
            self._note_held(plan.model, copy, plan.version or 0, now)
        elif result is OrderResult.ACCEPTED:
            copy.failed_polls = 0
            self._plan_poll(copy, now)
        elif copy.failed_polls < MOST_FAILED_POLLS:
            # It changes nothing, answered or not, so it may be repeated.
            copy.failed_polls += 1
            self._plan_poll(copy, now)
        else:
            self._ask_report(now + DOUBT_PAUSE)

    def _plan_poll(self, copy: Copy, now: float) -> None:
        copy.poll_at = now + copy.poll_pause
        copy.poll_pause = min(MOST_POLL, copy.poll_pause * POLL_GROWTH)

    def _finish(self, plan: Plan, now: float) -> None:
        """Take an order as carried out at once.

        A load that was there already is not counted by the engine, but where
        an earlier send of it may have been what brought it.
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
            copy = self.copies[plan.model] = Copy(CopyState.ARRIVING, 0, now)
        self._note_held(plan.model, copy, plan.version or 0, now)

    def _await(self, plan: Plan, now: float) -> None:
        if not plan.model.adapter:
            self._is_base_ordered = True
            self._base_poll_at = now + BASE_POLL
            return
        copy = self.copies.get(plan.model)
        if copy is None:
            copy = self.copies[plan.model] = Copy(CopyState.ARRIVING, 0, now)
            copy.target = plan.version or 0
        if copy.state is not CopyState.ARRIVING:
            self._plan_poll(copy, now)
            return
        copy.since = now
        copy.is_return = plan.model in self._seen
        copy.poll_at = now + self._times.estimate(copy.is_return)

    def _doubt(self, plan: Plan, now: float) -> None:
        """Count a load in doubt as taking up a slot until the report."""
        if not plan.model.adapter:
            self._base_poll_at = now + BASE_POLL
        elif plan.action is Action.LOAD and plan.model not in self.copies:
            copy = self.copies[plan.model] = Copy(CopyState.ARRIVING, 0, now)
            copy.target = plan.version or 0

    def _give_up(self, plan: Plan) -> None:
        if self._wanted.pop(plan.model, None) is not None:
            self.denied.append(Denied(plan.model, DenialReason.NOT_TAKEN))
