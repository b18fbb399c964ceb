"""Keep track of the work that crashes the endpoints that run it.

Work is a call that an endpoint runs, or an adapter that an engine loads.
instance/crashes.py reports the evidence that is found here to other instances;
with the interface ``openai`` each instance keeps its own.
"""

import enum
import zlib
from collections.abc import Callable, Collection, Iterable
from typing import Protocol

from roadlift.core.errors import EndsEndpoints
from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.crashes.survivals import Survivals
from roadlift.decisions.crashes import Crashes
from roadlift.decisions.crashrecord import CrashEvidence

log = ComponentLog("crashes")


class ClearingBasis(enum.StrEnum):
    """Why work is admitted again."""

    RUN = "run"
    SURVIVAL = "survival"
    ROW = "row"


class Work(Protocol):
    """A call, as what an endpoint may crash under."""

    def identify(self) -> bytes:
        """Return the identity of the call's work."""

    def identify_parts(self) -> tuple[bytes, ...]:
        """Return the identities of the parts that its prompt may share."""


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
        self._survivals = Survivals()
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

    def judge_call(self, work: Work) -> EndsEndpoints | None:
        """Return why a call must not be sent now, or None.

        A part of its prompt may be the reason, unless other parts explain the
        crashes under it.
        """
        obstacle = self.judge(work.identify)
        if obstacle is not None or self.crashes.is_empty:
            return obstacle
        parts = work.identify_parts()
        for part in parts:
            obstacle = self.judge(lambda part=part: part)
            known = (work.identify(), *parts)
            if obstacle is not None and not self._is_excused(part, known):
                return obstacle
        return None

    def _is_excused(self, part: bytes, others: Iterable[bytes]) -> bool:
        return self.crashes.is_excused(part, others, self._clock.now())

    def find_suspect(self, work: Work) -> bytes | None:
        """Return what a call has to be tried alone for, or None.

        It is the call's own identity if an endpoint crashed under it, or that
        of a refused part under which other parts explain the crashes.
        """
        if self.crashes.is_empty:
            return None
        if self.crashes.is_suspect(work.identify()):
            return work.identify()
        refused = filter(self.crashes.is_refused, work.identify_parts())
        return next(refused, None)

    def record_evidence(self, evidence: list[CrashEvidence]) -> None:
        """Add evidence that no other instance has reported."""
        found = self.merge(evidence)
        if found:
            for listener in self.on_evidence:
                listener(found)

    def merge(
        self, evidence: list[CrashEvidence], of_parts: bool = False
    ) -> list[CrashEvidence]:
        """Add evidence, of calls or of parts; return what is new."""
        refused = self.crashes.list_refused()
        found = self.crashes.merge(evidence, self._clock.now(), of_parts)
        changed = {item.identity for item in found}
        for identity in changed:
            self._refute_earlier(identity)
        # A newly confirmed cause may explain crashes for which other work was
        # refused.
        for identity in changed | (refused ^ self.crashes.list_refused()):
            self._notify_change(identity)
        return found

    def choose_parts(self, parts: Iterable[bytes], count: int) -> list[bytes]:
        """Return the parts that most likely crash endpoints.

        The cause of earlier crashes is among those with evidence.
        """
        ranked = sorted(parts, key=lambda part: not self.crashes.is_suspect(part))
        return ranked[:count]

    def record_survival(self, parts: Iterable[bytes]) -> None:
        """Refute all crashes until now under parts that were survived."""
        now = self._clock.now()
        for part in parts:
            self._survivals.record(part, now)
            self._refute_earlier(part)

    def _refute_earlier(self, identity: bytes) -> None:
        """Clear a part of the crashes from before its last survival."""
        survived_at = self._survivals.find(identity)
        if survived_at is None or self.crashes.is_empty:
            return
        refute = lambda: self.crashes.clear(identity, survived_at)
        self._clear(identity, refute, ClearingBasis.SURVIVAL)

    def readmit(self, identity: bytes, endpoints: Collection[str]) -> None:
        """Clear the crashes in a row that was deleted, and no later ones."""
        refute = lambda: self.crashes.readmit(identity, endpoints)
        self._clear(identity, refute, ClearingBasis.ROW)

    def promote_parts(self) -> None:
        """Refuse the parts of prompts whose evidence nobody has cleared."""
        if self.crashes.is_empty:
            return
        for identity in self.crashes.promote(self._clock.now()):
            self._notify_change(identity)

    def clear(self, identify: Callable[[], bytes]) -> None:
        """Clear work that ran to a successful end."""
        if self.crashes.is_empty:
            return
        identity = identify()
        refute = lambda: self.crashes.clear(identity)
        self._clear(identity, refute, ClearingBasis.RUN)

    def _clear(
        self, identity: bytes, refute: Callable[[], bool], basis: ClearingBasis
    ) -> None:
        """Clear evidence, and report it if there was any."""
        was_refused = self.crashes.is_refused(identity)
        ends = self.crashes.count_crashes(identity)
        if not refute():
            return
        if was_refused and not self.crashes.is_refused(identity):
            log.event("work_cleared", identity=identity.hex(), basis=basis, ends=ends)
        self._notify_change(identity)
        evidence = self.crashes.list_evidence(self._clock.now(), identity)
        cleared = [item for item in evidence if not item.weight]
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
