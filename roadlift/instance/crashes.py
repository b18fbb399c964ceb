"""Detect calls that crash the endpoints which run them, and report them."""

from collections.abc import Callable

from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.core.loop import Timer
from roadlift.crashes.detection import CrashDetector, CutCall, EndpointCrash
from roadlift.crashes.ledger import CrashLedger, Work
from roadlift.crashes.trials import TrialSlots
from roadlift.decisions.crashes import SHARED, SURVIVAL_TIME, CrashEvidence
from roadlift.instance.aggregator import Aggregator
from roadlift.instance.brittleness import BrittleEndpoints
from roadlift.instance.crashnews import CrashSync
from roadlift.instance.crashrows import CrashRows
from roadlift.instance.follower import Follower
from roadlift.instance.isolation import Isolation
from roadlift.instance.metrics import InstanceMetrics
from roadlift.serving.directory import Endpoint

# Seconds between checks for parts of prompts whose evidence has stood.
PROMOTION_INTERVAL = 0.1
# Endpoints that cut calls off and are remembered, and seconds for which each
# is: longer than calls take.
MAX_CUT_ENDPOINTS = 256
CUT_RETENTION = 60.0

log = ComponentLog("crashes")


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
        self._crash_check = CrashDetector(kernel, self._confirm_crash)
        self._cut_at: dict[str, float] = {}
        self._timer: Timer | None = None
        self._ledger.on_change.append(self._update_metrics)

    def start(self) -> None:
        """Begin to exchange evidence and to read its rows."""
        self._timer = self._kernel.loop.call_every(
            PROMOTION_INTERVAL, self._ledger.promote_parts
        )
        self._sync.start()
        self._rows.start()

    def close(self) -> None:
        """Stop both."""
        self._timer.close()
        self._rows.close()
        self._sync.close()

    def await_trial_slot(self, work: Work, on_slot: Callable[[], None]) -> bool:
        """Return whether a call has to wait for a trial slot.

        If so, ``on_slot`` is called when the slot is free.
        """
        suspect = self._ledger.find_suspect(work)
        return suspect is not None and self._trial_slots.wait(suspect, on_slot)

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
        if len(self._cut_at) > MAX_CUT_ENDPOINTS:
            recent = now - CUT_RETENTION
            self._cut_at = {one: at for one, at in self._cut_at.items() if at > recent}
        self._cut_at[endpoint.id] = now
        self._crash_check.record_cut(endpoint.id, endpoint.address, cut)

    def record_run(self, endpoint: Endpoint, began_at: float, work: Work) -> None:
        """Clear the parts of a call's prompt once its endpoint survived it.

        The call's first event came at ``began_at``. Without any evidence
        nothing is done.
        """
        if self._ledger.crashes.is_empty:
            return
        parts = work.identify_parts()
        if not any(map(self._ledger.crashes.is_suspect, parts)):
            return
        now = self._kernel.clock.now()
        self._kernel.loop.call_later(
            max(0.0, began_at + SURVIVAL_TIME - now),
            lambda: self._clear_parts(endpoint.id, began_at, parts),
        )

    def _clear_parts(
        self, endpoint: str, began_at: float, parts: tuple[bytes, ...]
    ) -> None:
        was_cut = self._cut_at.get(endpoint, float("-inf")) >= began_at
        if not was_cut and not self._ledger.crashes.has_crashed(endpoint):
            self._ledger.clear_parts(parts)

    def _confirm_crash(self, end: EndpointCrash) -> None:
        """Record a crash, unless no other endpoint is reached either."""
        self._isolation.confirm_reach(
            end.endpoint, lambda is_reached: self._handle_reach(end, is_reached)
        )

    def _handle_reach(self, end: EndpointCrash, is_reached: bool) -> None:
        if is_reached:
            self._record_crash(end)
        else:
            log.event("endpoint_end_doubted", endpoint=end.endpoint, cut=end.cut)

    def _record_crash(self, end: EndpointCrash) -> None:
        known = self._follower.directory.get(end.endpoint)
        if known is None or known.is_draining:
            return
        suspects = [[work.hex(), weight] for work, weight in end.suspects.items()]
        log.event(
            "endpoint_ended",
            endpoint=end.endpoint,
            cut=end.cut,
            suspects=suspects,
            bears=self._brittle.find_limit(known),
            rejected=self._brittle.count_recent_rejections(end.endpoint),
            parts=[part.hex() for part in end.parts],
        )
        self._metrics.count("roadlift_endpoint_ends", known.service)
        self._ledger.record_evidence(
            [
                CrashEvidence(identity, end.endpoint, weight, 0.0)
                for identity, weight in end.suspects.items()
            ]
        )
        self._ledger.record_evidence(
            [CrashEvidence(part, end.endpoint, SHARED, 0.0) for part in end.parts]
        )

    def _update_metrics(self, identity: bytes) -> None:
        quarantined = self._ledger.crashes.count_refused()
        self._metrics.set("roadlift_barred_work", quarantined)
