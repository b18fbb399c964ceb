"""Keep what all exchanges of a process share."""

from roadlift.core.kernel import Kernel, parts
from roadlift.daemon.bundles import StorePart
from roadlift.daemon.members import Members
from roadlift.idempotency.claims import Claims
from roadlift.retries.rules import RetryBudget


@parts.register("calls")
class Calls:
    """The retry budget, the claims and the calls that run at services."""

    name = "calls"
    needs = ("members", "store")

    def __init__(self, kernel: Kernel) -> None:
        store = kernel.get(StorePart).store
        self.budget = RetryBudget(kernel.settings.retry_share)
        self.claims = Claims(store, kernel.loop, kernel.get(Members).process)
        self._running: dict[str, int] = {}

    def start(self) -> None:
        """Do nothing; the exchanges use the part."""

    def close(self) -> None:
        """Do nothing; nothing is open."""

    def count(self, endpoint: str) -> int:
        """Return the calls that run at a service's endpoint."""
        return self._running.get(endpoint, 0)

    def begin(self, endpoint: str) -> None:
        """Count a call as running at an endpoint."""
        self._running[endpoint] = self.count(endpoint) + 1

    def end(self, endpoint: str) -> None:
        """Count a call at an endpoint as over."""
        self._running[endpoint] -= 1
