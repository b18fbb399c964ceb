"""Write the answer of one call to its caller, from one send or several."""

from collections.abc import Mapping

from roadlift.core.clock import Clock
from roadlift.core.errors import RoadliftError
from roadlift.endpoints.events import EventFrames
from roadlift.http.messages import drop_hop_by_hop
from roadlift.instance.progress import Progress
from roadlift.instance.send import MAX_BUFFERED_BYTES, Send
from roadlift.relay.caller import Caller
from roadlift.relay.framing import Framing
from roadlift.serving.calls import Call, Kind
from roadlift.serving.routes import Route

# Statuses that tell a caller that its call did not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Answer:
    """The answer of a call: its head, and what was written of its body.

    The head is that of the first send whose head is used. ``status`` is 0 as
    long as there is none. The events of a stream may come from several sends;
    ``is_stream`` tells whether one has begun.
    """

    def __init__(
        self, clock: Clock, call: Call, route: Route, caller: Caller, progress: Progress
    ) -> None:
        self._clock = clock
        self._route = route
        self._caller = caller
        self._progress = progress
        self._headers: dict[str, str] = {}
        self._source: Send | None = None
        self._position = call.resume_after
        self.is_stream = False
        self.status = 0

    @property
    def has_begun(self) -> bool:
        """Return whether the caller has received a part of the answer."""
        return self._caller.started

    @property
    def framing(self) -> Framing | None:
        """Return what ended the endpoint's answer, or None without one."""
        return None if self._source is None else self._source.framing

    @property
    def _frames(self) -> EventFrames | None:
        return None if self._source is None else self._source.frames

    def count_partial(self) -> int:
        """Return the bytes of an event that the endpoint left incomplete."""
        return 0 if self._frames is None else self._frames.count_partial()

    @property
    def can_continue(self) -> bool:
        """Return whether another send can continue the answer."""
        return self.is_stream and (self._frames is None or self._frames.can_continue)

    def can_use(self, send: Send) -> bool:
        """Return whether a success fits the answer: events continue events."""
        return not self.is_stream or send.frames is not None

    def find_position(self) -> str:
        """Return the id of the last event, after which a send may resume."""
        if self._frames is not None:
            self._position = self._frames.find_last_id() or self._position
        return self._position

    def adopt(self, send: Send) -> None:
        """Use the head of a send, and forward that of a stream."""
        if send is self._source:
            return
        self.find_position()
        self._source = send
        if self.is_stream:
            # A resumed stream continues below the head that was already sent.
            return
        self.status = send.status
        self._headers = drop_hop_by_hop(send.headers)
        if send.frames is not None and self._route.kind is Kind.STREAM:
            self.is_stream = True
            self._write_head(None)

    def write(self, send: Send, data: bytes) -> None:
        """Forward events; buffer other answers until they are complete."""
        if self._caller.started:
            self._write(send, data)
            return
        send.buffer += data
        if len(send.buffer) > MAX_BUFFERED_BYTES:
            length = self._headers.get("content-length")
            self._write_head(int(length) if length else None)
            self._write(send, bytes(send.buffer))
            send.buffer.clear()

    def finish(self, send: Send) -> None:
        """End the answer as complete."""
        if self._caller.started:
            self._caller.finish()
        else:
            self._progress.record_complete(self._clock.now())
            self.forward(send)

    @property
    def may_forward_failure(self) -> bool:
        """Return whether an endpoint's failure can be the answer."""
        is_failure = self.status >= 400 and self.status not in NOT_RUN_STATUSES
        return is_failure and not self._caller.started

    def forward(self, send: Send) -> None:
        """Answer with what a send has buffered."""
        self._caller.answer(self.status, self._list_headers(), bytes(send.buffer))

    def fail(self, error: RoadliftError, headers: Mapping[str, str]) -> None:
        """Answer with an error, or cut an answer that has begun."""
        if self._caller.started:
            self._caller.truncate()
        else:
            self._caller.answer_error(error, headers)

    def _write_head(self, length: int | None) -> None:
        self._caller.write_head(self.status, self._list_headers(), length)

    def _list_headers(self) -> dict[str, str]:
        headers = dict(self._headers)
        headers.pop("content-length", None)
        return headers

    def _write(self, send: Send, data: bytes) -> None:
        if not data:
            return
        now = self._clock.now()
        send.record_event(now)
        self._progress.record_write(now)
        self._caller.write(data)
        if self._caller.is_full:
            send.pause()
