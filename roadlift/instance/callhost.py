"""Define what a call needs of the ingress that it came to."""

from typing import Protocol

from roadlift.instance.forwarding import PendingCall
from roadlift.instance.metrics import InstanceMetrics
from roadlift.relay.caller import Caller
from roadlift.retries.window import WindowBudget
from roadlift.serving.calls import Call, Model


class RunningCall(Protocol):
    """A call that has not ended yet."""

    call: Call

    def close(self) -> None:
        """End the call as the process ends."""

    def withdraw(self, identity: bytes) -> None:
        """End the call if its work is quarantined now."""

    def pass_on(self) -> object:
        """Forward the call if no endpoint is reached."""


class CallHost(Protocol):
    """The ingress, as the calls that it runs see it."""

    measures: InstanceMetrics

    def sample_jitter(self) -> float:
        """Return a random number from 0 to 1, as jitter for retries."""

    def get_budget(self, service: str) -> WindowBudget:
        """Return the retry budget of a service."""

    def consume_retry(self, service: str, now: float, has_begun: bool) -> bool:
        """Consume a retry of a service's budget; return False without one."""

    def refund_retry(self, service: str, now: float) -> None:
        """Return a retry that was consumed and not sent."""

    def forward(self, pending: PendingCall, caller: Caller) -> None:
        """Let another instance take a call."""

    def finish(self, call: RunningCall) -> None:
        """Remove a call that has ended."""

    def log_end(
        self, outcome: str, is_late: bool, model: Model | None, **fields: object
    ) -> None:
        """Log how a call ended."""
