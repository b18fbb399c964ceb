"""Compare what the soak's callers were told with what its runners noted."""

import time
from collections import Counter
from typing import NamedTuple

from benchmarks.organisations import KeyRing
from benchmarks.restarts import list_breaches
from benchmarks.roughcallers import RoughCallers
from benchmarks.silences import Silences
from benchmarks.slowcallers import SlowCallers
from benchmarks.streams import CALL_LIMIT, StreamWatch
from benchmarks.takeups import TakeUps
from demo.installation import HOME_ZONE, ZONES
from standins.arrivals import ArrivalWatch, SentCall
from standins.batches import Fall
from standins.statements import Sent, StatementWatch

CALM = 4.0  # Seconds behind a disturbance in which an instance is excused.
LEASE_TURN = 3.0  # Seconds within which holders may not take turns.
VERSION_LIMIT = 5.0  # Seconds from a version's naming to its use at most.
CONTACT = 3.5  # Seconds in which all know of a call that ended three engines.
MOST_DEADLY = 3  # Runs of it behind that at most, as of engines under it.
MOST_PART_CRASHES = 5  # Crashes under a part behind which runs of it count.
MOST_FALLS = 2  # Of them, in one such time.
VIOLATIONS = (
    "wrong_answer",
    "whole_but_cut",
    "cut_by_drain",
    "ran_twice",
    "false_not_run",
    "lost_answer",
    "old_version",
    "overfull_engine",
    "holders_take_turns",
    "fence_goes_back",
    "late_route",
    "route_reverted",
    "deadly_again",
    "deadly_part_again",
    "fell_over",
    "over_limit",
    "late_to_leaving",
    "broken_rest",
    "late_to_evacuated",
    "over_cold_rate",
    "away_from_home",
    "revoked_run",
    "wrong_organisation",
    "key_passed_on",
    "over_allowance",
    "cut_by_instance",
    "ran_at_two",
    "over_attempts",
    "over_retries",
    "over_time",
    "two_versions",
    "events_out_of_order",
    "own_end",
    "over_memory",
    "no_recovery",
)
_REPEATABLE = ("idem", "again", "home", "slow_again")


class Cut(NamedTuple):
    """A call that ended early at an instance that was leaving."""

    call_id: str
    instance: str
    after: float


class Notes:
    """What the soak notes of its calls, and what is found.

    ``noticed_after`` are the seconds until the first violation, or None.
    """

    def __init__(self) -> None:
        self.disturbed: dict[str, float] = {}
        self.store_disturbed = 0.0
        self.senders: dict[str, Sent] = {}
        self.said: dict[str, str] = {}
        self.kinds: dict[str, str] = {}
        self.sent_to: dict[str, tuple[str, float]] = {}
        self.excused: dict[str, bool] = {}
        # Deadly calls whose callers leave: they need not end an engine.
        self.left: set[str] = set()
        self.cuts: list[Cut] = []
        self.counts: Counter[str] = Counter()
        self.violations: Counter[str] = Counter(dict.fromkeys(VIOLATIONS, 0))
        self.details: list[str] = []
        self.noticed_after: float | None = None
        self.began_at = 0.0  # By the process's clock.

    def add(self, violation: str, detail: str, after: float | None = None) -> None:
        """Note a violation, seen so many seconds after the beginning."""
        if after is None:
            after = round(time.monotonic() - self.began_at, 1)
        if self.noticed_after is None:
            self.noticed_after = after
        self.violations[violation] += 1
        self.details.append(f"{violation}: {detail}")


class Watches(NamedTuple):
    """What else watched the soak."""

    keys: KeyRing
    streams: StreamWatch
    silences: Silences
    takeups: TakeUps
    slow_callers: SlowCallers
    rough_callers: RoughCallers


class RunChecks:
    """The checks of one soak, once it is over."""

    def __init__(self, notes: Notes, watches: Watches) -> None:
        self._notes = notes
        self._watches = watches

    def check(self, found: dict) -> None:
        """Compare the answers to callers with the notes of runners."""
        runs = Counter(run["id"] for run in found["runs"])
        for call_id, kind in self._notes.kinds.items():
            said = self._notes.said.get(call_id)
            if kind not in _REPEATABLE and runs[call_id] > 1:
                self._notes.add("ran_twice", f"{call_id} {kind} {runs[call_id]}")
            if said == "not_run" and runs[call_id]:
                self._notes.add("false_not_run", f"{call_id} {kind}")
            if said == "served" and not runs[call_id]:
                self._notes.add("lost_answer", f"{call_id} {kind}")
        spoiled = set(found["spoiled"]) | set(found["hung"])
        self._check_cuts(spoiled)
        for breach in self._watches.slow_callers.check(runs, spoiled):
            self._notes.add(breach.rule, breach.detail)
        self._notes.counts.update(self._watches.slow_callers.counts)
        for breach in self._watches.rough_callers.check(runs):
            self._notes.add(breach.rule, breach.detail)
        self._notes.counts.update(self._watches.rough_callers.counts)
        for breach, after in self._watches.streams.check(found):
            self._notes.add(breach.rule, breach.detail, after)
        self._notes.counts.update(self._watches.silences.counts)
        self._notes.counts.update(self._watches.takeups.counts)
        for breach in self._watches.takeups.breaches:
            self._notes.add(breach.rule, breach.detail)
        self._check_arrivals(ArrivalWatch.read(found["arrivals"]))
        self._notes.counts["hung_calls"] = len(found["hung"])
        for runs in found["deadly"]:
            self._check_deadly(runs, MOST_DEADLY, "deadly_again")
        for runs in found["deadly_parts"]:
            self._check_deadly(runs, MOST_PART_CRASHES, "deadly_part_again")
        self._check_falls([Fall(*fall) for fall in found["fallen"]])
        self._notes.counts["rejected"] = found["rejected"]
        for run in found["runs"]:
            self._check_version(run["id"], run["old_for"])
        self._check_limits(found["excess"])
        for breach in self._watches.keys.check(found["runs"]):
            self._notes.add(breach.rule, breach.detail)
        self._check_statements(StatementWatch.read(found["statements"]))
        self._check_places(found)
        for name in found["overfull"]:
            self._notes.add("overfull_engine", name)
        for name, orders in found["orders"].items():
            self._check_orders(name, orders)
        self._notes.counts["runs"] = len(found["runs"])
        self._notes.counts["store_calls"] = found["store_calls"]

    def _check_arrivals(self, watch: ArrivalWatch) -> None:
        """Note sends beyond the retry rule, or with too much time."""
        sent = [
            SentCall(sender.at, "", call_id, CALL_LIMIT)
            for call_id, sender in self._notes.senders.items()
            if call_id in self._notes.kinds
        ]
        for breach in list_breaches(watch, sent):
            self._notes.add(breach.rule, breach.detail)

    def _check_limits(self, found: list) -> None:
        """Note what came too much behind the first naming of a limit.

        What came before it, in the same window, nobody could keep back.
        """
        for at, runner, calls, allowed, since, late in found:
            if late <= allowed:
                self._notes.counts["over_limit_before"] += 1
                continue
            told = f"{runner} {calls} of {allowed:.0f} at {at:.1f}"
            self._notes.add("over_limit", f"{told}, {late} of them in {since:.1f} s")

    def _check_statements(self, watch: StatementWatch) -> None:
        """Note what was sent on against what runners said of themselves."""
        self._notes.counts["rests"] = watch.count_rests()
        for late in watch.list_late(self._notes.senders):
            told = f"{late.call_id} at {late.runner} from {late.process}"
            self._notes.add("late_to_leaving", f"{told}, {late.after:.2f} s")
        for rest in watch.list_broken(self._notes.senders):
            told = f"{rest.calls} at {rest.runner} from {rest.process}"
            self._notes.add(
                "broken_rest", f"{told} in {rest.seconds} s from {rest.at:.1f}"
            )

    def _check_places(self, found: dict) -> None:
        """Note calls in evacuated zones, at cold runners and away from home.

        A call in an evacuated zone is excused where its instance, or the
        store, was disturbed since the operator's row.
        """
        for call_id, runner, after in found["stray"]:
            name, began = self._notes.sent_to.get(call_id, ("", 0.0))
            held_up = max(
                self._notes.disturbed.get(name, 0.0), self._notes.store_disturbed
            )
            if name and held_up < began - after:
                self._notes.add(
                    "late_to_evacuated", f"{call_id} at {runner}, {after:.2f} s"
                )
            self._notes.counts["stray_excused"] += held_up >= began - after
        for runner, at, calls, allowed in found["crowded"]:
            self._notes.add(
                "over_cold_rate", f"{runner} {calls} of {allowed:.0f} at {at:.1f}"
            )
        home = ZONES.index(HOME_ZONE)
        for run in found["runs"]:
            is_away = int(run["runner"][1]) != home
            if self._notes.kinds.get(run["id"]) == "home" and is_away:
                self._notes.add("away_from_home", f"{run['id']} at {run['runner']}")

    def _check_cuts(self, spoiled: set[str]) -> None:
        """Note the calls that were cut at a drain, but not by a runner."""
        for cut in self._notes.cuts:
            if cut.call_id in spoiled:
                self._notes.counts["cut_by_runner"] += 1
                continue
            self._notes.add(
                "cut_by_drain", f"{cut.call_id} at {cut.instance}", cut.after
            )

    def _check_deadly(self, runs: list[str], most: int, rule: str) -> None:
        """Count the runs of deadly calls that all should have known of.

        All know of them behind as many runs as ``most`` whose callers stayed.
        """
        sent = [(self._notes.sent_to[call_id][1], call_id) for call_id in runs]
        self._notes.counts["deadly_runs"] += len(sent)
        stayed = [at for at, call_id in sent if call_id not in self._notes.left]
        if len(stayed) < most:
            return
        known_at = stayed[most - 1] + CONTACT
        late = [
            one for at, one in sent if at > known_at and not self._notes.excused[one]
        ]
        if len(late) > MOST_DEADLY:
            self._notes.add(rule, f"{len(sent)} runs, {late}")

    def _check_falls(self, falls: list[Fall]) -> None:
        """Count the runners that fell over in each time of brittleness.

        A fall counts if most of what was rejected came from instances that
        were not disturbed.
        """
        self._notes.counts["falls"] = len(falls)
        counted = Counter(fall.time for fall in falls if self._is_counted(fall))
        for number, count in counted.items():
            if count > MOST_FALLS:
                self._notes.add("fell_over", f"{count} in time {number}")

    def _is_counted(self, fall: Fall) -> bool:
        senders = [self._notes.sent_to.get(call_id) for call_id in fall.rejected]
        calm = [
            sender
            for sender in senders
            if sender and self._notes.disturbed.get(sender[0], 0.0) < sender[1] - CALM
        ]
        return 2 * len(calm) > len(senders)

    def _check_version(self, call_id: str, old_for: float) -> None:
        """A run on an old version is excused where its news were held up."""
        name, began = self._notes.sent_to.get(call_id, ("", 0.0))
        if old_for <= VERSION_LIMIT or not name:
            return
        named_at = began - old_for
        held_up = max(self._notes.disturbed.get(name, 0.0), self._notes.store_disturbed)
        if held_up < named_at:
            self._notes.add("old_version", f"{call_id} at {name}, {old_for:.1f} s")

    def _check_orders(self, engine: str, orders: list) -> None:
        """See that fences grow, and that holders take no turns."""
        last: dict[str, float] = {}
        fence, holder = 0, ""
        for at, name, number in orders:
            if number < fence:
                self._notes.add(
                    "fence_goes_back", f"{engine} {name} {number} < {fence}"
                )
            is_back = name != holder and name in last
            if is_back and at - last[name] < LEASE_TURN:
                self._notes.add(
                    "holders_take_turns", f"{engine} {holder} {name} at {at:.2f}"
                )
            fence, holder = max(fence, number), name
            last[name] = at
