"""Keep track of the work that crashes the endpoints that run it.

Work is a call that an endpoint runs, or an adapter that an engine loads.
instance/crashes.py reports the evidence that is found here to other instances;
with the interface ``openai`` each instance keeps its own.
"""

import zlib
from collections.abc import Callable

from roadlift.core.errors import EndsEndpoints
from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.decisions.crashes import Crashes, CrashEvidence

log = ComponentLog("crashes")


@components.register("crashledger")
class CrashLedger:
    """The crash evidence that this process has.

    ``on_evidence`` is called with evidence that was found or cleared here, and
    ``on_change`` with the identity of work whose evidence changed.
    """

    name = "crashledger"
    needs = ()

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self.crashes = Crashes(zlib.crc32(kernel.settings.peer.encode()) / 2**32)
        self.on_evidence: list[Callable[[list[CrashEvidence]], None]] = []
        self.on_change: list[Callable[[bytes], None]] = []

    def start(self) -> None:
        """Do nothing; the ledger only reacts to calls."""

    def close(self) -> None:
        """Do nothing."""

    def judge(self, identify: Callable[[], bytes]) -> EndsEndpoints | None:
        """Return why work must not be given to an endpoint now, or None.

        ``identify`` returns its identity; it is called only if there is
        evidence against any work.
        """
        if self.crashes.is_empty:
            return None
        identity = identify()
        seconds = self.crashes.compute_refusal(identity, self._clock.now())
        if not seconds:
            return None
        count = self.crashes.count_crashes(identity)
        return EndsEndpoints(
            f"{count} endpoints crashed while running it", round(seconds, 1)
        )

    def is_suspect(self, identify: Callable[[], bytes]) -> bool:
        """Return whether an endpoint crashed under work not yet cleared."""
        return not self.crashes.is_empty and self.crashes.is_suspect(identify())

    def record_evidence(self, evidence: list[CrashEvidence]) -> None:
        """Add evidence that no other instance has reported."""
        found = self.merge(evidence)
        if found:
            for listener in self.on_evidence:
                listener(found)

    def merge(self, evidence: list[CrashEvidence]) -> list[CrashEvidence]:
        """Add evidence; return what is new."""
        refused = self.crashes.list_refused()
        found = self.crashes.merge(evidence, self._clock.now())
        changed = {item.identity for item in found}
        # A newly confirmed cause may explain crashes for which other work was
        # refused.
        for identity in changed | (refused ^ self.crashes.list_refused()):
            self._notify_change(identity)
        return found

    def clear(self, identify: Callable[[], bytes]) -> None:
        """Clear work that succeeded, or that is to be tried again."""
        if self.crashes.is_empty:
            return
        identity = identify()
        was_refused = self.crashes.is_refused(identity)
        if not self.crashes.clear(identity):
            return
        if was_refused:
            log.event("work_cleared", identity=identity.hex())
        self._notify_change(identity)
        cleared = self.crashes.list_evidence(self._clock.now(), identity)
        for listener in self.on_evidence:
            listener(cleared)

    def _notify_change(self, identity: bytes) -> None:
        seconds = self.crashes.compute_refusal(identity, self._clock.now())
        if seconds:
            log.event(
                "work_barred",
                identity=identity.hex(),
                ends=self.crashes.count_crashes(identity),
                seconds=round(seconds, 1),
            )
        for listener in self.on_change:
            listener(identity)
