"""Keep the open sends of one call: the current one, and those kept beside it.

A send whose engine does not respond is kept until another engine has brought
the next event. If the first one does so before, or no other engine can
continue, the call stays with it.
"""

from collections.abc import Callable
from typing import NamedTuple

from roadlift.core.clock import Clock
from roadlift.core.errors import ConnectionLost, RoadliftError
from roadlift.core.loop import Loop, Timer
from roadlift.instance.access import Authorization
from roadlift.instance.attempts import Attempts
from roadlift.instance.keptsends import KeptSends
from roadlift.instance.send import Send
from roadlift.instance.silences import SilenceReport
from roadlift.serving.directory import Endpoint

# Seconds after which a send to another engine replaces one whose engine does
# not respond, without waiting for its next event: a call must not be worked on
# at two engines for long.
HANDOVER_TIMEOUT = 0.2


class Cancellation(NamedTuple):
    """Why sends are cancelled, and the error of those that may have run."""

    reason: str
    error: type[RoadliftError] = ConnectionLost


CANCELLED = Cancellation("cancelled")
REPLACED = Cancellation("replaced")


class OpenSends:
    """The sends of one call that go on.

    ``current`` is None while an endpoint is searched for; ``endpoint`` and
    ``sent_at`` are of the last one. ``on_continued`` is called as a kept send
    becomes the current one.
    """

    def __init__(
        self,
        clock: Clock,
        loop: Loop,
        attempts: Attempts,
        authorization: Authorization,
        silences: SilenceReport,
        on_continued: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._loop = loop
        self._attempts = attempts
        self._authorization = authorization
        self._silences = silences
        self._on_continued = on_continued
        self._handover_timer: Timer | None = None
        self.current: Send | None = None
        self.kept = KeptSends()
        self.endpoint: Endpoint | None = None
        self.sent_at = 0.0

    def begin(self, send: Send) -> None:
        """Make a send that is about to be opened the current one."""
        self._attempts.begin()
        self._authorization.begin()
        self._set_current(send)

    def list_all(self) -> list[Send]:
        """Return the current send, if there is one, and those kept."""
        current = [] if self.current is None else [self.current]
        return [*current, *self.kept]

    def count_written(self) -> int:
        """Return the number of sends of which a byte was written."""
        return sum(send.is_written for send in self.list_all())

    def cancel_all(self, cancellation: Cancellation = CANCELLED) -> None:
        """Cancel all sends."""
        self.cancel_current(cancellation)
        for send in self.kept.clear():
            self._cancel(send, cancellation)

    def cancel_current(self, cancellation: Cancellation = CANCELLED) -> None:
        """Cancel the current send, if there is one."""
        if self._handover_timer is not None:
            self._handover_timer.close()
            self._handover_timer = None
        if self.current is not None:
            send, self.current = self.current, None
            self._cancel(send, cancellation)

    def _cancel(self, send: Send, cancellation: Cancellation) -> None:
        """Cancel a send, which may have run if it was written."""
        if send.is_written:
            detail = f"at {send.endpoint.id}: {cancellation.reason}"
            self._attempts.record_run(cancellation.error(detail))
        else:
            self._authorization.refund()
            self._attempts.return_send()
        send.close()

    def _set_current(self, send: Send) -> None:
        self.current = send
        self.endpoint = send.endpoint
        self.sent_at = send.sent_at

    # Sends whose engines do not respond

    def keep_current(self) -> None:
        """Keep the current send while another engine is searched for."""
        send, self.current = self.current, None
        self._silences.record_silence(send, self._attempts.sends)
        self.kept.add(send)

    def return_to_kept(self, error: RoadliftError) -> None:
        """Stay with an unresponsive engine, as no other can continue."""
        self._continue_with(self.kept.pop())
        self._silences.record_end("kept", self.current, error)

    def end_kept(self, send: Send, error: RoadliftError) -> None:
        """Stop keeping a send that has failed."""
        self.kept.remove(send)
        self._silences.record_end("failed", send, error)

    def decide_between(self, send: Send) -> None:
        """Let the engine that brings the next event continue the call."""
        if send is not self.current:
            self.kept.remove(send)
            self._continue_with(send)
            self._silences.record_end("resumed", send)
        self._replace_kept()

    def schedule_handover(self, send: Send) -> None:
        """Close the kept sends soon after the current one was written."""
        self._handover_timer = self._loop.call_later(
            HANDOVER_TIMEOUT, lambda: self._hand_over(send)
        )

    def _hand_over(self, send: Send) -> None:
        """Let a send that its engine has accepted replace the kept ones."""
        if send is not self.current:
            return
        if send.is_written:
            self._replace_kept()
        else:
            self.schedule_handover(send)

    def _continue_with(self, send: Send) -> None:
        """Make a kept send the current one."""
        self._on_continued()
        self.cancel_current()
        self._attempts.refund(self._clock.now())
        self._set_current(send)

    def _replace_kept(self) -> None:
        """Close the kept sends, as the current one continues the call."""
        for other in self.kept.clear():
            self._cancel(other, REPLACED)
            self._silences.record_end("replaced", other)
