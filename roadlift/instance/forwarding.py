"""Forward calls to another instance while this one reaches no endpoint.

The other instance treats such a call as its own: it authorizes it, finds its
route and sends it to endpoints, but never forwards it again.
"""

from collections.abc import Callable
from typing import NamedTuple

from roadlift.core.errors import (
    ConnectionLost,
    Draining,
    NoEndpoint,
    Outcome,
    RefusedByInstance,
    RequestTimeout,
    RoadliftError,
)
from roadlift.core.kernel import Kernel
from roadlift.core.logs import ComponentLog
from roadlift.decisions.resending import correct_error
from roadlift.draining.connections import RETRY_DELAY
from roadlift.http.messages import drop_hop_by_hop
from roadlift.instance.adapterwait import DEFAULT_RETRY_AFTER
from roadlift.instance.answer import NOT_RUN_STATUSES
from roadlift.instance.isolation import Isolation
from roadlift.instance.metrics import InstanceMetrics
from roadlift.instance.platform import Platform
from roadlift.instance.send import ENDPOINT_INACTIVITY_TIMEOUT, MAX_BUFFERED_BYTES
from roadlift.relay.address import Address
from roadlift.relay.caller import Caller
from roadlift.relay.framing import Framing, find_framing
from roadlift.relay.upstream import CallHandle
from roadlift.serving.calls import Call
from roadlift.serving.routes import Route

MAX_TRIES = 3  # Instances that a call is offered to, until one takes it.

log = ComponentLog("forwarding")


class PendingCall(NamedTuple):
    """A call for another instance; ``deadline`` is a time of this process."""

    call: Call
    route: Route
    deadline: float


class ForwardedCall:
    """One call at another instance; also the receiver of its answer."""

    def __init__(
        self,
        kernel: Kernel,
        pending: PendingCall,
        caller: Caller,
        on_end: Callable[["ForwardedCall"], None],
    ) -> None:
        self.call = pending.call
        self._route = pending.route
        self._deadline = pending.deadline
        self._clock = kernel.clock
        self._loop = kernel.loop
        self._dialer = kernel.dialer
        self._isolation = kernel.get(Isolation)
        self._metrics = kernel.get(InstanceMetrics)
        self._format = kernel.get(Platform).adapter.calls
        self._caller = caller
        self._on_end = on_end
        self._began_at = kernel.clock.now()
        self._address: Address | None = None
        self._refused: set[Address] = set()
        self._line: CallHandle | None = None
        self._timer = None
        self._status = 0
        self._headers: dict[str, str] = {}
        self._buffer = bytearray()
        self._is_over = False
        caller.on_gone = self._on_caller_gone
        caller.on_drained = self._on_caller_drained

    def start(self) -> None:
        """Send the call."""
        remaining = max(0.0, self._deadline - self._began_at)
        self._timer = self._loop.call_later(remaining, self._on_deadline)
        self._try()

    def close(self) -> None:
        """End the call as the process ends; only a begun answer is cut."""
        if self._is_over:
            return
        if self._line is not None and self._line.written:
            self._fail(ConnectionLost("the instance ends"))
        else:
            self._fail(Draining(retry_after=RETRY_DELAY))

    def withdraw(self, identity: bytes) -> None:
        """Leave it to the other instance to end quarantined work."""

    def pass_on(self) -> None:
        """Stay where it is: a call is forwarded once."""

    def _try(self) -> None:
        self._address = self._isolation.choose_gateway(self._refused)
        if self._address is None or len(self._refused) >= MAX_TRIES:
            detail = "no instance reaches endpoints"
            self._fail(NoEndpoint(detail, DEFAULT_RETRY_AFTER))
            return
        remaining = self._deadline - self._clock.now()
        request = self._format.build_forwarded(self.call, self._route, remaining)
        self._line = self._dialer.open(
            self._address, request, self, ENDPOINT_INACTIVITY_TIMEOUT
        )

    # Receiver of the answer

    def receive_head(self, status: int, headers: dict[str, str]) -> None:
        """Pass the head on, unless the answer is short, or is not true."""
        self._status = status
        if status in NOT_RUN_STATUSES and self.call.runs:
            self._fail(RefusedByInstance(f"{self._address}: {status}"))
            return
        self._headers = drop_hop_by_hop(headers)
        if find_framing(headers) is not Framing.LENGTH:
            self._begin()

    def receive_body(self, data: bytes) -> None:
        """Pass body bytes on; those of a short answer are buffered."""
        if not self._caller.started:
            self._buffer += data
            if len(self._buffer) > MAX_BUFFERED_BYTES:
                self._begin()
            return
        self._caller.write(data)
        if self._caller.is_full:
            self._line.pause()

    def receive_end(self) -> None:
        """End a complete answer."""
        if self._caller.started:
            self._caller.finish()
        else:
            self._caller.answer(self._status, self._list_headers(), bytes(self._buffer))
        self._line = None
        is_refused = self._status in NOT_RUN_STATUSES
        self._end("refused" if is_refused else "answered")

    def receive_error(self, error: RoadliftError) -> None:
        """Offer a call that was not sent to another instance, or fail it."""
        self._line = None
        if self._is_over:
            return
        if error.outcome is Outcome.NOT_RUN:
            self._isolation.drop_gateway(self._address)
            self._refused.add(self._address)
            self._try()
        else:
            self._fail(error)

    def _begin(self) -> None:
        """Write the head, and what was buffered."""
        length = self._headers.get("content-length")
        self._caller.write_head(
            self._status, self._list_headers(), int(length) if length else None
        )
        self._caller.write(bytes(self._buffer))
        self._buffer.clear()

    def _list_headers(self) -> dict[str, str]:
        headers = dict(self._headers)
        headers.pop("content-length", None)
        return headers

    # The end

    def _fail(self, error: RoadliftError) -> None:
        """Answer with an error, or cut an answer that has begun."""
        error = correct_error(error, self.call.runs, None)
        if self._caller.started:
            self._caller.truncate()
        else:
            headers = dict(self._format.describe(self.call.id))
            if error.retry_after is not None:
                headers["Retry-After"] = f"{error.retry_after:g}"
            self._caller.answer_error(error, headers)
        is_refused = error.outcome is Outcome.NOT_RUN
        self._end("refused" if is_refused else "failed", error)

    def _on_deadline(self) -> None:
        if not self._is_over:
            self._fail(RequestTimeout(f"at instance {self._address}"))

    def _on_caller_gone(self) -> None:
        """Leave the other instance, which then cancels the call."""
        if not self._is_over:
            self._end("cancelled", ConnectionLost("caller disconnected"))

    def _on_caller_drained(self) -> None:
        if self._line is not None:
            self._line.resume()

    def _end(self, outcome: str, error: RoadliftError | None = None) -> None:
        self._is_over = True
        self._timer.close()
        if self._line is not None:
            self._line.close()
            self._line = None
        self.call = self.call.drop_body()
        self._metrics.count("roadlift_forwarded_calls", outcome)
        log.event(
            "call_forwarded",
            request=self.call.id,
            address=str(self._address),
            outcome=outcome,
            status=self._status,
            error=str(error) if error else None,
            seconds=round(self._clock.now() - self._began_at, 4),
        )
        self._on_end(self)
