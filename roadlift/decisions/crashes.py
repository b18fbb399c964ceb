"""Identify calls that crash the endpoints that run them.

Load pattern: a call crashes every endpoint that starts to run it, together
with all other calls that run there and everything the endpoint holds. The
caller repeats it under other ids, at any instance, every 0.2 to 0.8 seconds
and sometimes several times at once. Of the calls that run on an endpoint when
it crashes, at most one is the cause, and endpoints also crash for other
reasons.

The state is a set of pieces of evidence: an endpoint crashed while it ran a
call. The sets of several instances can be merged in any order. A call is
refused once the weight of its evidence reaches a threshold, for longer after
each further crash. It is cleared as soon as it runs to a successful end, as
the crashes then had another cause. Where several calls crash endpoints, calls
that were only present at some of these crashes are told apart: weak evidence
counts for less if there is strong evidence for the same crash, and for nothing
once the work with the strong evidence is confirmed to crash endpoints.

A part of prompts may also be the cause, in calls that are all different. It
has evidence from each crash under a call with it that had begun shortly
before, and is refused after three crashes. Sound calls share the other parts
of such calls: they clear these by every run that outlives its beginning. A
part is refused only if nobody has cleared it for longer than that takes, and
crashes at the same moment, as of a rack without power, count as one.
"""

import zlib
from collections import OrderedDict
from collections.abc import Collection, Iterable

from roadlift.decisions.crashrecord import (
    REFUSAL_THRESHOLD,
    SHARED,
    Causes,
    CrashEvidence,
    CrashRecord,
)

# Seconds from the first event of a call until its engine has survived it: some
# times as long as an engine takes to crash under a call.
SURVIVAL_TIME = 0.5
# Largest fraction by which an instance refuses for longer than another. One
# instance thus tries a call before the others admit it, and reports the result
# to them.
REFUSAL_JITTER = 0.1
# The same for parts. A trial of one that is in many calls is over, and its
# result known everywhere, before the next instance begins another.
PART_JITTER = 1.0
# Seconds after the last crash from which several parts together explain the
# crashes under another one.
JOINT_EXCUSE_DELAY = 5.0
MAX_CALLS = 256  # Calls with evidence that are kept.
MAX_PARTS = 1024  # Parts of prompts with evidence that are kept.


class Crashes:
    """The calls under which endpoints crashed, as known to one instance.

    ``rank``, from 0 to 1, differs between instances.
    """

    def __init__(self, rank: float = 0.0) -> None:
        self._rank = rank
        self._records: OrderedDict[bytes, CrashRecord] = OrderedDict()
        self._checksum: int | None = None
        self._causes = Causes(set(), set(), set())
        self._crashed: set[str] = set()

    @property
    def is_empty(self) -> bool:
        """Return whether there is no evidence against any call."""
        return not self._records

    def is_suspect(self, identity: bytes) -> bool:
        """Return whether an endpoint crashed under a call not yet cleared."""
        record = self._records.get(identity)
        return record is not None and record.weight > 0

    def is_refused(self, identity: bytes) -> bool:
        """Return whether the evidence suffices to refuse a call."""
        record = self._records.get(identity)
        return record is not None and record.is_refused

    def has_crashed(self, endpoint: str) -> bool:
        """Return whether there is evidence of an endpoint's crash."""
        return endpoint in self._crashed

    def is_excused(self, part: bytes, others: Iterable[bytes], now: float) -> bool:
        """Return whether other refused work explains all crashes under a part.

        ``others`` are a call and its parts, which that work is not among: a
        run of the call shows which of them is the cause. One other part
        suffices. Where several parts or calls together explain the crashes,
        each may be sound and cleared soon; that counts only after a while.
        """
        record = self._records[part]
        crashes = record.list_crashes()
        known = {part, *others}
        causes = [one for name, one in self._records.items() if name not in known]
        if any(one.is_part and crashes <= one.list_explained() for one in causes):
            return True
        has_waited = now - record.find_last_crash() >= JOINT_EXCUSE_DELAY
        explained = set().union(*(one.list_explained() for one in causes))
        return has_waited and crashes <= explained

    def promote(self, now: float) -> list[bytes]:
        """Refuse the parts whose evidence has stood; return what is new."""
        found = [name for name, record in self._records.items() if record.stand(now)]
        if found:
            self._checksum = None
            self._update_causes()
        return found

    def is_part(self, identity: bytes) -> bool:
        """Return whether evidence is against a part of prompts."""
        record = self._records.get(identity)
        return record is not None and record.is_part

    def is_settled(self, identity: bytes) -> bool:
        """Return whether no evidence against a call remains."""
        record = self._records.get(identity)
        return record is None or not any(
            weight for weight, _ in record.evidence.values()
        )

    def count_crashes(self, identity: bytes) -> int:
        """Return the number of endpoints that crashed under a call."""
        record = self._records.get(identity)
        return record.crash_count if record is not None else 0

    def count_refused(self) -> int:
        """Return how many calls are refused or on a further trial."""
        return sum(record.is_refused for record in self._records.values())

    def compute_refusal(self, identity: bytes, now: float) -> float:
        """Return the seconds for which a call may not run; 0 if it may."""
        record = self._records.get(identity)
        if record is None or not record.is_refused:
            return 0.0
        jitter = PART_JITTER if record.is_part else REFUSAL_JITTER
        seconds = record.compute_refusal() * (1.0 + jitter * self._rank)
        return max(0.0, record.find_last_crash() + seconds - now)

    def merge(
        self, evidence: Iterable[CrashEvidence], now: float, of_parts: bool = False
    ) -> list[CrashEvidence]:
        """Add evidence, of calls or of parts; return what is new."""
        found = [item for item in evidence if self._merge(item, now, of_parts)]
        if found:
            self._update_causes()
        return found

    def list_refused(self) -> set[bytes]:
        """Return the calls that are refused or on a further trial."""
        return {name for name, record in self._records.items() if record.is_refused}

    def clear(self, identity: bytes, until: float = float("inf")) -> bool:
        """Clear a call or part that an endpoint survived; return whether new.

        Only crashes up to a time are refuted by that.
        """
        record = self._records.get(identity)
        if record is None or not record.weight:
            return False
        return self._refute(
            record, {name for name, (_, at) in record.evidence.items() if at <= until}
        )

    def readmit(self, identity: bytes, endpoints: Collection[str]) -> bool:
        """Clear the crashes of some endpoints; return whether this is new."""
        record = self._records.get(identity)
        return record is not None and self._refute(record, endpoints)

    def _refute(self, record: CrashRecord, endpoints: Collection[str]) -> bool:
        refuted = record.list_crashes() & set(endpoints)
        if not refuted:
            return False
        for name in refuted:
            record.evidence[name] = (0, record.evidence[name][1])
        record.has_stood = record.has_stood and record.weight >= REFUSAL_THRESHOLD
        self._checksum = None
        self._update_causes()
        return True

    def list_evidence(
        self, now: float, identity: bytes | None = None
    ) -> list[CrashEvidence]:
        """Return the evidence against one call, or against all."""
        records = self._records.items()
        return [
            CrashEvidence(name, endpoint, weight, round(now - at, 3))
            for name, record in records
            if identity in (None, name)
            for endpoint, (weight, at) in record.evidence.items()
        ]

    def expire(self, now: float) -> None:
        """Drop expired evidence."""
        for identity, record in list(self._records.items()):
            if now > record.find_last_crash() + record.compute_retention():
                del self._records[identity]
                self._checksum = None
            elif record.update_lasting(now):
                self._checksum = None
        self._update_causes()

    def compute_checksum(self) -> int:
        """Return a checksum, equal on instances with the same evidence.

        New evidence against parts that are not refused is left out: most of it
        is cleared within a second.
        """
        if self._checksum is None:
            self._checksum = 0
            for identity, record in self._records.items():
                if record.is_part and not (record.has_stood or record.has_lasted):
                    continue
                for endpoint, (weight, _) in record.evidence.items():
                    data = identity + bytes([weight]) + endpoint.encode()
                    self._checksum ^= zlib.crc32(data)
        return self._checksum

    def _merge(self, item: CrashEvidence, now: float, of_part: bool) -> bool:
        record = self._records.get(item.identity)
        known = record.evidence.get(item.endpoint) if record is not None else None
        if known is not None and not _supersedes(item.weight, known[0]):
            return False
        if record is None:
            record = self._records[item.identity] = CrashRecord(self._causes)
            record.is_part = of_part or item.weight == SHARED
            self._evict_oldest()
        at = now - item.age if known is None else known[1]
        record.evidence[item.endpoint] = (item.weight, at)
        record.is_part = record.is_part or item.weight == SHARED
        self._checksum = None
        return True

    def _update_causes(self) -> None:
        """Recompute the causes of crashes from all evidence.

        The result does not depend on the order in which the evidence arrived.
        """
        suspected: set[str] = set()
        confirmed: set[str] = set()
        explained: set[str] = set()
        self._crashed.clear()
        for record in self._records.values():
            self._crashed.update(record.evidence)
            if record.is_part:
                explained.update(record.list_crashes() if record.is_refused else ())
                continue
            strong = record.list_strong()
            suspected.update(strong)
            confirmed.update(strong if record.is_confirmed else ())
        self._causes = Causes(suspected, confirmed, explained)
        for record in self._records.values():
            record.causes = self._causes

    def _evict_oldest(self) -> None:
        """Drop the oldest of too many parts, or of too many calls.

        It is one that is not refused, and of parts one with a single crash, if
        there is one.
        """
        newest = next(reversed(self._records.values()))
        older = [
            name
            for name, record in self._records.items()
            if record.is_part == newest.is_part and record is not newest
        ]
        if len(older) < (MAX_PARTS if newest.is_part else MAX_CALLS):
            return
        free = [name for name in older if not self._records[name].is_refused]
        single = (name for name in free if self._records[name].crash_count <= 1)
        victim = next(single, None) if newest.is_part else None
        del self._records[victim or next(iter(free), older[0])]


def _supersedes(weight: int, known: int) -> bool:
    """Return whether evidence replaces other evidence of the same crash.

    That work was not the cause is certain. Otherwise the instance that saw
    most of the call counts.
    """
    return weight != known and (weight == 0 or weight > known > 0)
