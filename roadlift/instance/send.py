"""Send a call to one endpoint, and receive its answer."""

from typing import Protocol

from roadlift.core.errors import (
    AnswerUnbounded,
    ConnectionLost,
    EndpointFailed,
    RefusedByEndpoint,
    RoadliftError,
)
from roadlift.core.kernel import Kernel
from roadlift.crashes.detection import CutCall
from roadlift.decisions.crashes import SURVIVAL_TIME
from roadlift.endpoints.events import EventFrames
from roadlift.instance.crashes import CrashMonitor
from roadlift.instance.gate import Gate, SentCall
from roadlift.instance.isolation import Isolation
from roadlift.instance.placement import Placement
from roadlift.instance.platform import Platform
from roadlift.relay.framing import Framing, find_framing
from roadlift.relay.upstream import CallHandle, Request
from roadlift.serving.calls import Call, Model
from roadlift.serving.interfaces import Verdict

# Seconds without a byte after which a send to an endpoint times out. The
# call's own time limit is usually shorter.
ENDPOINT_INACTIVITY_TIMEOUT = 30.0
# Bytes of an answer that are buffered until it is complete; a longer answer is
# forwarded as it arrives.
MAX_BUFFERED_BYTES = 131072
_EVENT_STREAM = "text/event-stream"


class SendOwner(Protocol):
    """The call that a send belongs to; it handles what the send receives."""

    call: Call

    def identify(self) -> bytes:
        """Return the identity of the call's work."""

    def identify_parts(self) -> tuple[bytes, ...]:
        """Return the identities of the parts that its prompt may share."""

    def on_head(self, send: "Send") -> None:
        """Handle the head of an answer."""

    def on_body(self, send: "Send", data: bytes) -> None:
        """Handle body bytes of a success; of a stream, complete events."""

    def on_end(self, send: "Send") -> None:
        """Handle the end of a complete answer; the send is over."""

    def on_error(self, send: "Send", error: RoadliftError) -> None:
        """Handle a send that ended without a complete answer."""

    def on_unresponsive(self, send: "Send") -> None:
        """Handle that the endpoint stopped responding; the send goes on."""


class Send:
    """One send of a call; also the receiver of its answer.

    ``tokens_ahead`` are the unread prompt tokens at the engine when the call
    was sent. ``status``, ``headers`` and ``verdict`` are those of the answer,
    ``chunks_received`` its parts so far, and ``buffer`` what is kept of it.
    ``first_at`` is when its first part came, or None. ``frames`` are the
    events of a success that is a stream of them.
    """

    def __init__(
        self, kernel: Kernel, owner: SendOwner, gate: Gate, sent: SentCall
    ) -> None:
        self._kernel = kernel
        self._owner = owner
        self._gate = gate
        self._sent = sent
        self._format = kernel.get(Platform).adapter.calls
        self._placement = kernel.get(Placement)
        self._crashes = kernel.get(CrashMonitor)
        self._isolation = kernel.get(Isolation)
        self._line: CallHandle | None = None
        self._suspect: bytes | None = None
        self._is_prompt_unread = False
        self.endpoint = sent.endpoint
        self.sent_at = sent.at
        self.tokens_ahead = self._placement.count_ahead(sent.endpoint.id)
        self.status = 0
        self.headers: dict[str, str] = {}
        self.verdict: Verdict | None = None
        self.chunks_received = 0
        self.first_at: float | None = None
        self._watched_from = 0.0
        self.buffer = bytearray()
        self.frames: EventFrames | None = None

    def open(self, request: Request) -> None:
        """Send the request."""
        call = self._owner.call
        self._placement.begin(self.endpoint, call)
        self._suspect = self._crashes.begin(self._owner)
        self._crashes.record_sent(self.endpoint, self, self.sent_at)
        self._is_prompt_unread = True
        self._isolation.record_sent()
        if call.model is not None:
            self._placement.inactivity.begin(
                self.endpoint.id,
                self,
                lambda: self._owner.on_unresponsive(self),
                self.sent_at,
            )
        self._line = self._kernel.dialer.open(
            self.endpoint.address, request, self, ENDPOINT_INACTIVITY_TIMEOUT
        )

    def close(self) -> None:
        """Cancel the send; the endpoint cancels its run."""
        if self._line is not None:
            if self._line.written:
                began_at = self.sent_at if self.first_at is None else self.first_at
                self._crashes.record_given_up(self.endpoint, began_at, self._owner)
            self._line.close()
            self._end()

    def pause(self) -> None:
        """Stop reading the answer until ``resume``."""
        if self._line is not None:
            self._placement.inactivity.pause(self.endpoint.id, self)
            # A paused connection does not show that it was closed.
            self._crashes.record_over(self.endpoint, self)
            self._line.pause()

    def resume(self) -> None:
        """Go on reading the answer."""
        if self._line is not None:
            now = self._kernel.clock.now()
            # Bytes that waited to be read may have come at any time.
            self._watched_from = now
            self._crashes.record_sent(self.endpoint, self, self.sent_at)
            self._placement.inactivity.resume(self.endpoint.id, self, now)
            self._line.resume()

    @property
    def call_id(self) -> str:
        """Return the id of the call that is sent."""
        return self._owner.call.id

    @property
    def model(self) -> Model | None:
        """Return the model of the call that is sent, or None."""
        return self._owner.call.model

    def identify(self) -> bytes:
        """Return the identity of the call's work."""
        return self._owner.identify()

    @property
    def is_written(self) -> bool:
        """Return whether the send is open and a byte of it was written."""
        return self._line is not None and self._line.written

    @property
    def framing(self) -> Framing | None:
        """Return what ends the answer, or None as long as it has no head."""
        return find_framing(self.headers) if self.status else None

    def describe_cut(self) -> CutCall:
        """Return what is known of the call as its endpoint cuts it off."""
        now = self._kernel.clock.now()
        return CutCall(
            self._owner.identify(),
            self.describe_answer() == "head",
            self._owner.identify_parts(),
            None if self.first_at is None else now - self.first_at,
        )

    def describe_answer(self) -> str:
        """Return how much of the answer was received."""
        if self.verdict is None:
            return "nothing"
        return "events" if self.chunks_received else "head"

    def record_event(self, now: float) -> None:
        """Update the reading speed of the engine by a first event."""
        if self._is_prompt_unread and self._owner.call.model is not None:
            tokens = self.tokens_ahead + self._owner.call.tokens_in
            self._placement.record_first_event(
                self.endpoint, tokens, now - self.sent_at
            )
            self._record_prompt_read()

    def release_trial_slot(self) -> None:
        """Release the trial slot of a call that may crash endpoints.

        Another copy of the same call may wait for it.
        """
        if self._suspect is not None:
            suspect, self._suspect = self._suspect, None
            self._crashes.end(suspect)

    def _end(self) -> None:
        self._line = None
        self._crashes.record_over(self.endpoint, self)
        self._placement.inactivity.end(self.endpoint.id, self)
        self._record_prompt_read()
        has_run = self.verdict in (Verdict.SUCCEEDED, Verdict.FAILED)
        self._placement.end(self.endpoint, self._owner.call, has_run)
        self._gate.end(self._sent, has_run)
        self.release_trial_slot()

    def _record_prompt_read(self) -> None:
        """Stop counting the prompt as unread, once."""
        if self._is_prompt_unread:
            self._is_prompt_unread = False
            self._placement.end_reading(self.endpoint, self._owner.call)

    # Receiver of the answer

    def receive_head(self, status: int, headers: dict[str, str]) -> None:
        """Classify an answer's head."""
        self._placement.health.record_answer(self.endpoint.id)
        self._isolation.record_heard()
        self.status = status
        self.headers = headers
        self.verdict = self._format.judge(status, headers)
        has_run = self.verdict is Verdict.SUCCEEDED
        if has_run and _EVENT_STREAM in headers.get("content-type", ""):
            self.frames = EventFrames()
        if self.verdict in (Verdict.SUCCEEDED, Verdict.NOT_RUN):
            self._crashes.record_answer(self.endpoint, self.sent_at)
        self._gate.record_head(self._sent, status, headers, has_run)
        self._owner.on_head(self)

    def receive_body(self, data: bytes) -> None:
        """Pass a success on, of a stream complete events; buffer the rest."""
        self.chunks_received += 1
        self.release_trial_slot()
        now = self._kernel.clock.now()
        if self.first_at is None:
            self.first_at = self._watched_from = now
        elif now - self._watched_from >= SURVIVAL_TIME:
            self._record_survival(now)
        self._crashes.record_answer(self.endpoint, self.sent_at)
        self._placement.inactivity.record_event(self.endpoint.id, self, now)
        if self.verdict is Verdict.SUCCEEDED:
            data = data if self.frames is None else self.frames.extract_complete(data)
            self._pass_on(data)
            return
        self.buffer += data
        if len(self.buffer) > MAX_BUFFERED_BYTES:
            self._abandon()

    def _abandon(self) -> None:
        """End a send whose failure is too long to be forwarded whole."""
        error = classify_failure(self)
        if self.verdict is Verdict.FAILED:
            error = AnswerUnbounded(f"a failure of {len(self.buffer)} bytes")
        self._line.close()
        self.receive_error(error)

    def receive_end(self) -> None:
        """End with a complete answer, if its content does not end too soon."""
        error = self._find_cut()
        if error is not None:
            self.receive_error(error)
            return
        self._end()
        if self.verdict is Verdict.SUCCEEDED and self.first_at is not None:
            self._crashes.record_completed(self.endpoint, self.first_at, self._owner)
        if self.frames is not None:
            self._pass_on(self.frames.take_rest())
        self._owner.on_end(self)

    def receive_error(self, error: RoadliftError) -> None:
        """End without a complete answer."""
        self._isolation.record_error(self.endpoint.id, error)
        self._end()
        self._owner.on_error(self, error)

    def _record_survival(self, now: float) -> None:
        """Clear the parts of the prompt: the run was watched for a while."""
        self._watched_from = now
        if self.verdict is Verdict.SUCCEEDED:
            self._crashes.record_survival(self.endpoint, self.first_at, self._owner)

    def _pass_on(self, data: bytes) -> None:
        if data:
            self._owner.on_body(self, data)

    def _find_cut(self) -> RoadliftError | None:
        """Return the error of a stream that was broken off, or None.

        The end of a connection may be that of its endpoint.
        """
        if self.frames is None:
            return None
        partial = self.frames.count_partial()
        if partial:
            return ConnectionLost(f"ended inside an event, behind {partial} bytes")
        if self.framing is Framing.CLOSE and not self.frames.has_data:
            return ConnectionLost("ended before the first event")
        return None


def classify_failure(send: Send) -> RoadliftError:
    """Return the error of a complete answer that is not a success."""
    endpoint = send.endpoint.id
    if send.verdict is Verdict.WRONG_ENDPOINT:
        return RefusedByEndpoint(f"{endpoint}: misdirected")
    if send.verdict is Verdict.NOT_RUN:
        return RefusedByEndpoint(f"{endpoint}: {send.status}")
    return EndpointFailed(f"{endpoint}: {send.status}")
