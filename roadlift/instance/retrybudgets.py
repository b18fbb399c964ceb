"""Keep the retry budget of each service, as this instance's part of it."""

from collections import Counter

from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.instance.knowledge import Knowledge
from roadlift.instance.metrics import InstanceMetrics
from roadlift.retries.window import BudgetUse, RetryRule, WindowBudget

REPORT_INTERVAL = 1.0  # Minimum seconds between a service's log lines.

log = ComponentLog("retries")


@components.register("retry_budgets")
class ServiceBudgets:
    """The retry budgets of the services; times are in seconds."""

    name = "retry_budgets"
    needs = (Knowledge.name, InstanceMetrics.name)

    def __init__(self, kernel: Kernel) -> None:
        settings = kernel.settings
        self._rule = RetryRule(
            settings.retry_share, settings.retry_slack, settings.retry_window
        )
        self._knowledge = kernel.get(Knowledge)
        self._metrics = kernel.get(InstanceMetrics)
        self._started_at = kernel.started_at
        self._budgets: dict[str, WindowBudget] = {}
        self._reported_at: dict[str, float] = {}
        self._denied: Counter[str] = Counter()

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
        is_granted = self._get(service).spend(now, instances, has_begun)
        self._metrics.count(
            "roadlift_retries", service, "granted" if is_granted else "denied"
        )
        self._denied[service] += not is_granted
        self._report(service, instances, now)
        return is_granted

    def record_handover(self, service: str, now: float) -> None:
        """Record that another instance takes a call over, and counts it."""
        self._get(service).discount_request(now)

    def measure(self, service: str, now: float) -> BudgetUse:
        """Return what this process has used of a service's budget."""
        return self._get(service).measure(now, self._knowledge.count_instances())

    def refund_retry(self, service: str, now: float) -> None:
        """Return a retry that was consumed and not sent."""
        self._get(service).refund(now)
        self._metrics.count("roadlift_retries", service, "refunded")

    def _report(self, service: str, instances: int, now: float) -> None:
        """Log what was used of a budget, unless that was done just now."""
        self._metrics.set("roadlift_known_instances", instances)
        if now - self._reported_at.get(service, float("-inf")) < REPORT_INTERVAL:
            return
        self._reported_at[service] = now
        used = self.measure(service, now)
        log.event(
            "retries_used",
            service=service,
            retries=used.retries,
            requests=used.requests,
            allowed=round(used.allowed, 1),
            instances=instances,
            age=round(now - self._started_at, 1),
            denied=self._denied.pop(service, 0),
        )

    def _get(self, service: str) -> WindowBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = WindowBudget(self._rule, self._started_at)
            self._budgets[service] = budget
        return budget
