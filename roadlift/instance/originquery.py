"""Query other instances for what began a stream."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from roadlift.core.kernel import Kernel
from roadlift.daemon.transport import Transport
from roadlift.decisions.origins import Finding, combine
from roadlift.serving.messages import FindOrigin

# Seconds after which a query is repeated to those that have not answered: the
# first message to a peer only opens the connection.
REPEAT_INTERVAL = 0.1


class OriginAnswer(NamedTuple):
    """What is known of a stream.

    ``is_complete`` tells that all who were queried have answered, and
    ``is_silent`` that none of them has.
    """

    finding: Finding
    is_complete: bool
    is_silent: bool = False


class OriginQuery:
    """One query to some instances; ``on_answer`` is called once.

    That is as soon as one of them remembers the stream, or when all have
    answered, or after ``timeout`` seconds.
    """

    def __init__(
        self,
        kernel: Kernel,
        question: FindOrigin,
        addresses: Iterable[str],
        timeout: float,
        own: Finding,
        on_answer: Callable[[OriginAnswer], None],
    ) -> None:
        self._loop = kernel.loop
        self._transport = kernel.get(Transport)
        self._question = question
        self._unanswered = set(addresses)
        self._timeout = timeout
        self._findings = [own]
        self._is_complete = True
        self._is_silent = bool(self._unanswered)
        self._on_answer = on_answer
        self._timers = []

    def start(self) -> None:
        """Send the query."""
        if not self._unanswered:
            self._timers = [self._loop.call_later(0.0, self._end)]
            return
        self._timers = [
            self._loop.call_every(REPEAT_INTERVAL, self._send),
            self._loop.call_later(self._timeout, self._end),
        ]
        self._send()

    def close(self) -> None:
        """Abandon the query."""
        for timer in self._timers:
            timer.close()

    def handle(self, address: str, answer: OriginAnswer) -> None:
        """Take an answer."""
        if address not in self._unanswered:
            return
        self._unanswered.discard(address)
        self._findings.append(answer.finding)
        self._is_silent = False
        self._is_complete = self._is_complete and answer.is_complete
        if not self._unanswered or answer.finding.is_remembered:
            self._end()

    def _send(self) -> None:
        self._transport.send_all(self._unanswered, self._question)

    def _end(self) -> None:
        self.close()
        is_complete = self._is_complete and not self._unanswered
        finding = combine(self._findings)
        self._on_answer(OriginAnswer(finding, is_complete, self._is_silent))
