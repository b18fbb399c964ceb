"""Detect calls that crash the endpoints which run them, and report them."""

from collections.abc import Callable, Hashable
from typing import NamedTuple

from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.core.loop import Timer
from roadlift.crashes.detection import CrashDetector, CutCall, EndpointCrash
from roadlift.crashes.ledger import CrashLedger, Work
from roadlift.crashes.opencalls import OpenCalls
from roadlift.crashes.recentruns import RecentRun, RecentRuns
from roadlift.crashes.trials import TrialSlots
from roadlift.decisions.crashrecord import SHARED, CrashEvidence
from roadlift.instance.aggregator import Aggregator
from roadlift.instance.brittleness import BrittleEndpoints
from roadlift.instance.crashnews import CrashSync
from roadlift.instance.crashrows import CrashRows
from roadlift.instance.follower import Follower
from roadlift.instance.isolation import Isolation
from roadlift.instance.knowledge import Knowledge
from roadlift.instance.metrics import InstanceMetrics
from roadlift.serving.directory import Endpoint

# Seconds between checks for parts of prompts whose evidence has stood.
PROMOTION_INTERVAL = 0.1
MAX_PARTS = 64  # Parts of prompts that one instance reports for one crash.
# Endpoints that cut calls off and are remembered, and seconds for which each
# is: longer than calls take.
MAX_CUT_ENDPOINTS = 256
CUT_RETENTION = 60.0

log = ComponentLog("crashes")


class _Cutter(NamedTuple):
    """An endpoint that cut a call off, and when it last did."""

    endpoint: Endpoint
    at: float


@components.register("crashes")
class CrashMonitor:
    """Crashes of endpoints that this process detects by its local calls."""

    name = "crashes"
    needs = (
        Aggregator.name,
        BrittleEndpoints.name,
        CrashLedger.name,
        "follower",
        Isolation.name,
        Knowledge.name,
        "leases",
        "measures",
        "subscription",
    )

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._follower = kernel.get(Follower)
        self._metrics = kernel.get(InstanceMetrics)
        self._isolation = kernel.get(Isolation)
        self._ledger = kernel.get(CrashLedger)
        self._brittle = kernel.get(BrittleEndpoints)
        self._sync = CrashSync(kernel)
        self._rows = CrashRows(kernel)
        self._trial_slots = TrialSlots(kernel.loop)
        self._detector = CrashDetector(kernel, self, self._record_crash)
        self._open_calls = OpenCalls()
        self._recent_runs = RecentRuns()
        self._health = kernel.get(Knowledge).health
        self._cutters: dict[str, _Cutter] = {}
        self._timer: Timer | None = None
        self._ledger.on_change.append(self._update_metrics)

    def start(self) -> None:
        """Begin to exchange evidence and to read its rows."""
        self._timer = self._kernel.loop.call_every(PROMOTION_INTERVAL, self._tick)
        self._sync.start()
        self._rows.start()

    def close(self) -> None:
        """Stop both."""
        self._timer.close()
        self._detector.close()
        self._rows.close()
        self._sync.close()

    def await_trial_slot(self, work: Work, on_slot: Callable[[], None]) -> bool:
        """Return whether a call has to wait for a trial slot.

        If so, ``on_slot`` is called when the slot is free.
        """
        suspect = self._ledger.find_suspect(work)
        return suspect is not None and self._trial_slots.wait(suspect, on_slot)

    def record_sent(self, endpoint: Endpoint, call: Hashable, at: float) -> None:
        """Record a call that was sent at a time, and whose answer is read."""
        self._open_calls.begin(endpoint.id, call, at)

    def record_over(self, endpoint: Endpoint, call: Hashable) -> None:
        """Record that a call is over, or that its answer is not read now."""
        self._open_calls.end(endpoint.id, call)

    def begin(self, work: Work) -> bytes | None:
        """Give a call that is sent the trial slot, if it is suspect.

        Return what it is tried for, or None.
        """
        suspect = self._ledger.find_suspect(work)
        if suspect is not None:
            self._trial_slots.begin(suspect)
        return suspect

    def end(self, suspect: bytes) -> None:
        """Release the slot of a call that was tried."""
        self._trial_slots.end(suspect)

    def record_cut(self, endpoint: Endpoint, cut: CutCall) -> None:
        """Record that an endpoint closed the connection of a running call."""
        now = self._kernel.clock.now()
        parts = self._recent_runs.list_parts(endpoint.id)
        self._record_cutter(endpoint, now)
        self._detector.record_cut(endpoint.id, endpoint.address, cut, parts)

    def _record_cutter(self, endpoint: Endpoint, now: float) -> None:
        """Remember an endpoint as it was listed when it began to cut calls."""
        cutter = self._cutters.get(endpoint.id)
        if cutter is not None and self._detector.is_watched(endpoint.id):
            self._cutters[endpoint.id] = cutter._replace(at=now)
            return
        if len(self._cutters) > MAX_CUT_ENDPOINTS:
            recent = now - CUT_RETENTION
            self._cutters = {
                one: cutter
                for one, cutter in self._cutters.items()
                if cutter.at > recent
            }
        known = self._follower.directory.get(endpoint.id)
        # One that has left the list serves its calls to their end, and leaves.
        endpoint = known or endpoint._replace(is_draining=True)
        self._cutters[endpoint.id] = _Cutter(endpoint, now)

    def record_answer(self, endpoint: Endpoint, sent_at: float) -> None:
        """Record bytes of an answer to a call that was sent at a time."""
        if self._detector.is_watching:
            self._detector.record_answer(endpoint.id, sent_at)

    # Surroundings of the detector

    def is_listed(self, endpoint: str) -> bool:
        """Return whether an endpoint's entry is there, of the same run.

        Another one at its address has taken its place.
        """
        directory = self._follower.directory
        known = directory.get(endpoint)
        if known is None:
            return False
        others = directory.list_service(known.service)
        return not any(
            one.address == known.address and one.id != endpoint for one in others
        )

    def count_open(self, endpoint: str, before: float) -> int:
        """Return how many open calls were sent there before a time."""
        return self._open_calls.count(endpoint, before)

    def confirm_reach(self, endpoint: str, on_result: Callable[[bool], None]) -> None:
        """Check whether other endpoints than this one are reached."""
        self._isolation.confirm_reach(endpoint, on_result)

    def record_suspicion(self, endpoint: str) -> None:
        """Send one call at a time to an endpoint that cut all calls off."""
        self._health.record_connect_failure(endpoint, self._kernel.clock.now())

    def record_survival(self, endpoint: Endpoint, began_at: float, work: Work) -> None:
        """Record that a run goes on long after its first event."""
        self._acquit(RecentRun(endpoint.id, began_at, work, True))

    def record_completed(self, endpoint: Endpoint, began_at: float, work: Work) -> None:
        """Record a run that ended whole; its endpoint may yet crash."""
        self._recent_runs.add(RecentRun(endpoint.id, began_at, work, True))

    def record_given_up(self, endpoint: Endpoint, began_at: float, work: Work) -> None:
        """Record a run that was cancelled; its endpoint may yet crash."""
        self._recent_runs.add(RecentRun(endpoint.id, began_at, work, False))

    def _acquit(self, run: RecentRun) -> None:
        """Clear the parts of a call's prompt, as its endpoint survived it."""
        cutter = self._cutters.get(run.endpoint)
        was_cut = cutter is not None and cutter.at >= run.began_at
        if not was_cut and not self._ledger.crashes.has_crashed(run.endpoint):
            self._ledger.record_survival(run.work.identify_parts())

    def _tick(self) -> None:
        """Acquit what endpoints have survived, then refuse what has stood."""
        for run in self._recent_runs.take_settled(self._kernel.clock.now()):
            if run.is_complete:
                self._acquit(run)
        self._ledger.promote_parts()

    def _record_crash(self, end: EndpointCrash) -> None:
        known = self._cutters[end.endpoint].endpoint
        self._health.record_end(end.endpoint, self._kernel.clock.now())
        if known.is_draining:
            # Its end may be planned: only what had just begun is a suspect.
            end = end._replace(suspects={})
        parts = self._ledger.choose_parts(end.parts, MAX_PARTS)
        suspects = [[work.hex(), weight] for work, weight in end.suspects.items()]
        log.event(
            "endpoint_ended",
            endpoint=end.endpoint,
            cut=end.cut,
            suspects=suspects,
            bears=self._brittle.find_limit(known),
            rejected=self._brittle.count_recent_rejections(end.endpoint),
            parts=[part.hex() for part in parts],
        )
        self._metrics.count("roadlift_endpoint_ends", known.service)
        self._ledger.record_evidence(
            [
                CrashEvidence(identity, end.endpoint, weight, end.age)
                for identity, weight in end.suspects.items()
            ]
        )
        self._ledger.record_evidence(
            [CrashEvidence(part, end.endpoint, SHARED, end.age) for part in parts]
        )

    def _update_metrics(self, identity: bytes) -> None:
        quarantined = self._ledger.crashes.count_refused()
        self._metrics.set("roadlift_barred_work", quarantined)
