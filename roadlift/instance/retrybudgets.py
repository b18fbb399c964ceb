"""Keep the retry budget of each service, as this instance's part of it."""

from roadlift.core.kernel import Kernel, components
from roadlift.instance.knowledge import Knowledge
from roadlift.retries.window import WindowBudget


@components.register("retry_budgets")
class ServiceBudgets:
    """The retry budgets of the services; times are in seconds."""

    name = "retry_budgets"
    needs = (Knowledge.name,)

    def __init__(self, kernel: Kernel) -> None:
        self._settings = kernel.settings
        self._knowledge = kernel.get(Knowledge)
        self._budgets: dict[str, WindowBudget] = {}

    def start(self) -> None:
        """Do nothing: budgets are made as services are called."""

    def close(self) -> None:
        """Do nothing: a budget ends with its process."""

    def count_request(self, service: str, now: float) -> None:
        """Count a request, which earns a part of a retry."""
        self._get(service).count_request(now)

    def consume_retry(self, service: str, now: float, has_begun: bool) -> bool:
        """Consume a retry of a service's budget; return False without one.

        ``has_begun`` tells that it continues an answer that has begun.
        """
        instances = self._knowledge.count_instances()
        return self._get(service).spend(now, instances, has_begun)

    def refund_retry(self, service: str, now: float) -> None:
        """Return a retry that was consumed and not sent."""
        self._get(service).refund(now)

    def _get(self, service: str) -> WindowBudget:
        budget = self._budgets.get(service)
        if budget is None:
            settings = self._settings
            budget = self._budgets[service] = WindowBudget(
                settings.retry_share, settings.retry_slack, settings.retry_window
            )
        return budget
