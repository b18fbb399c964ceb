"""Exchange evidence with other instances of calls that crash endpoints.

New evidence goes to the aggregator at once, from there to its subscribers and
to the owners of other zones, which forward it in turn. Checksums are compared
once a second, and where they differ, both sides send all evidence: an instance
that restarted, or received nothing for a while, has it a second later. Without
any evidence nothing is sent.
"""

from collections.abc import Sequence

from roadlift.core.errors import MalformedMessage
from roadlift.core.kernel import Kernel
from roadlift.core.logs import ComponentLog
from roadlift.core.loop import Timer
from roadlift.crashes.ledger import CrashLedger
from roadlift.daemon.transport import Transport
from roadlift.decisions.crashrecord import CrashEvidence
from roadlift.instance.aggregator import Aggregator
from roadlift.instance.leases import Leases
from roadlift.instance.subscription import Subscription
from roadlift.serving.crashevidence import read_evidence
from roadlift.serving.messages import CrashNews, CrashSum

CHECKSUM_INTERVAL = 1.0  # Seconds between checksums.
# Seconds without a checksum from the aggregator after which it is sent one.
CHECKSUM_TIMEOUT = 2.5
# Seconds between two messages with all evidence to one instance, and pieces of
# evidence in one: 200 take some 9 KB, so that a difference which persists
# costs at most 4.5 KB/s.
FULL_REPORT_INTERVAL = 2.0
MAX_EVIDENCE = 200

log = ComponentLog("crashes")


class CrashSync:
    """The exchange of crash evidence between this process and others."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._ledger = kernel.get(CrashLedger)
        self._crashes = self._ledger.crashes
        self._transport = kernel.get(Transport)
        self._leases = kernel.get(Leases)
        self._aggregator = kernel.get(Aggregator)
        self._subscription = kernel.get(Subscription)
        self._received_at: dict[str, float] = {}
        self._sent_at: dict[str, float] = {}
        self._timer: Timer | None = None
        self._ledger.on_evidence.append(self._publish)
        self._transport.subscribe((CrashNews,), self._handle_update)
        self._transport.subscribe((CrashSum,), self._handle_checksum)

    def start(self) -> None:
        """Begin to compare checksums."""
        self._timer = self._kernel.loop.call_every(
            CHECKSUM_INTERVAL, self._send_checksums
        )

    def close(self) -> None:
        """Stop comparing checksums."""
        self._timer.close()

    def _publish(self, evidence: list[CrashEvidence], excluded: str = "") -> None:
        """Send new evidence to the other instances."""
        for start in range(0, len(evidence), MAX_EVIDENCE):
            batch = evidence[start : start + MAX_EVIDENCE]
            update = self._make_update(batch, False)
            self._transport.send_all(self._list_recipients() - {excluded}, update)

    def _list_recipients(self) -> set[str]:
        """Return the addresses that evidence and checksums are sent to.

        An instance that owns no zone sends them to its aggregator alone.
        """
        if not self._leases.list_held():
            return {self._subscription.source} - {""}
        zones = self._leases.list_zones()
        owners = {self._leases.find_owner(zone) for zone in zones}
        recipients = owners | set(self._aggregator.list_subscribers())
        return recipients - {None, self._kernel.settings.peer}

    def _send_checksums(self) -> None:
        now = self._kernel.clock.now()
        self._crashes.expire(now)
        if self._crashes.is_empty:
            return
        message = CrashSum(self._kernel.settings.peer, self._crashes.compute_checksum())
        recipients = self._list_recipients()
        if not self._leases.list_held():
            recent = now - CHECKSUM_TIMEOUT
            recipients = {
                one for one in recipients if self._received_at.get(one, 0.0) < recent
            }
        self._transport.send_all(recipients, message)

    def _handle_checksum(self, sender: str, message: CrashSum) -> None:
        now = self._kernel.clock.now()
        self._received_at = {message.address: now}
        if message.checksum != self._crashes.compute_checksum():
            self._send_all(message.address, True, now)

    def _send_all(self, address: str, wants_all: bool, now: float) -> None:
        """Send all evidence to one instance.

        That against refused work comes first, then the newest.
        """
        if (
            wants_all
            and now - self._sent_at.get(address, float("-inf")) < FULL_REPORT_INTERVAL
        ):
            return
        recent = {
            one: at
            for one, at in self._sent_at.items()
            if now - at < FULL_REPORT_INTERVAL
        }
        self._sent_at = {**recent, address: now}
        by_urgency = lambda item: (
            not self._crashes.is_refused(item.identity),
            item.age,
        )
        evidence = sorted(self._crashes.list_evidence(now), key=by_urgency)
        update = self._make_update(evidence[:MAX_EVIDENCE], wants_all)
        self._transport.send(address, update)

    def _make_update(
        self, evidence: Sequence[CrashEvidence], wants_all: bool
    ) -> CrashNews:
        """Return a message; an older release ignores the parts in it."""
        is_part = self._crashes.is_part
        return CrashNews(
            self._kernel.settings.peer,
            [list(item) for item in evidence if not is_part(item.identity)],
            wants_all,
            [list(item) for item in evidence if is_part(item.identity)],
        )

    def _handle_update(self, sender: str, update: CrashNews) -> None:
        now = self._kernel.clock.now()
        try:
            evidence = read_evidence(update.signs)
            of_parts = read_evidence(update.parts)
        except MalformedMessage as error:
            log.warning("Crash evidence from another instance was ignored: %s.", error)
            return
        found = self._ledger.merge(evidence) + self._ledger.merge(of_parts, True)
        if found and self._leases.list_held():
            self._publish(found, update.address)
        if update.wants_all:
            self._send_all(update.address, False, now)
