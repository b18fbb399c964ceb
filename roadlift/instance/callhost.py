"""Define what a call needs of the ingress that it came to."""

from typing import Protocol

from roadlift.instance.forwarding import PendingCall
from roadlift.relay.caller import Caller
from roadlift.serving.calls import Call


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

    def sample_jitter(self) -> float:
        """Return a random number from 0 to 1, as jitter for retries."""

    def forward(self, pending: PendingCall, caller: Caller) -> None:
        """Let another instance take a call."""

    def finish(self, call: RunningCall) -> None:
        """Remove a call that has ended."""
