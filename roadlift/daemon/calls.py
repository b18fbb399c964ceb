"""Keep what all exchanges of a process share."""

from collections import Counter

from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.crashes.detection import CrashDetector, EndpointCrash, NoSurroundings
from roadlift.crashes.ledger import CrashLedger
from roadlift.daemon.bundles import StorePart
from roadlift.daemon.members import Members
from roadlift.decisions.crashrecord import CrashEvidence
from roadlift.idempotency.claims import Claims
from roadlift.retries.rules import RetryBudget

log = ComponentLog("crashes")


@components.register("calls")
class Calls:
    """The retry budget, the claims, the ends and the calls at services."""

    name = "calls"
    needs = (CrashLedger.name, "members", "store")

    def __init__(self, kernel: Kernel) -> None:
        store = kernel.get(StorePart).store
        self.budget = RetryBudget(kernel.settings.retry_share)
        self.claims = Claims(store, kernel.loop, kernel.get(Members).process)
        self.ledger = kernel.get(CrashLedger)
        self.ends = CrashDetector(kernel, NoSurroundings(), self._note_end)
        self._ended: Counter[str] = Counter()
        self._running: dict[str, int] = {}

    def start(self) -> None:
        """Do nothing; the exchanges use the part."""

    def close(self) -> None:
        """Stop watching endpoints."""
        self.ends.close()

    def count(self, endpoint: str) -> int:
        """Return the calls that run at a service's endpoint."""
        return self._running.get(endpoint, 0)

    def begin(self, endpoint: str) -> None:
        """Count a call as running at an endpoint."""
        self._running[endpoint] = self.count(endpoint) + 1

    def end(self, endpoint: str) -> None:
        """Count a call at an endpoint as over."""
        self._running[endpoint] -= 1

    def _note_end(self, end: EndpointCrash) -> None:
        """Record that an endpoint ended; it comes back under the same name."""
        self._ended[end.endpoint] += 1
        run = f"{end.endpoint}#{self._ended[end.endpoint]}"
        suspects = [[name.hex(), weight] for name, weight in end.suspects.items()]
        log.event(
            "endpoint_ended", endpoint=end.endpoint, cut=end.cut, suspects=suspects
        )
        signs = [
            CrashEvidence(name, run, weight, end.age)
            for name, weight in end.suspects.items()
        ]
        self.ledger.record_evidence(signs)
