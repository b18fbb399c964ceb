"""Check by new connections whether endpoints can be reached."""

from collections.abc import Callable, Collection
from random import Random

from roadlift.core.errors import RoadliftError, SendingRevoked
from roadlift.core.kernel import Kernel
from roadlift.decisions.isolation import choose_checked
from roadlift.instance.follower import Follower
from roadlift.relay.upstream import AnswerCollector, Request
from roadlift.serving.directory import Endpoint

# Seconds in which a connection is accepted: some times a link's delay, as for
# calls.
CHECK_TIMEOUT = 0.3


class ReachCheck:
    """Connects to some endpoints at once, without sending anything.

    ``on_result`` is called once: with true when the first is accepted, or
    with false when all have failed.
    """

    def __init__(
        self, kernel: Kernel, endpoints: list[Endpoint], on_result: Callable
    ) -> None:
        self._dialer = kernel.dialer
        self._endpoints = endpoints
        self._on_result = on_result
        self._waiting = len(endpoints)
        self._is_over = False

    def start(self) -> None:
        """Open the connections."""
        request = Request(
            "GET", "/", may_send=lambda: False, connect_timeout=CHECK_TIMEOUT
        )
        for endpoint in self._endpoints:
            receiver = AnswerCollector(lambda answer: None, self._handle)
            self._dialer.open(endpoint.address, request, receiver, CHECK_TIMEOUT)

    def _handle(self, error: RoadliftError) -> None:
        """Handle the end of a connection, of which nothing was ever sent."""
        self._waiting -= 1
        if self._is_over:
            return
        is_accepted = isinstance(error, SendingRevoked)
        if is_accepted or not self._waiting:
            self._is_over = True
            self._on_result(is_accepted)


def check_reach(
    kernel: Kernel,
    rng: Random,
    count: int,
    excluded: Collection[str],
    on_result: Callable[[bool], None],
) -> None:
    """Check up to ``count`` endpoints beside those that are excluded.

    If there is none to check, nothing speaks against reaching them.
    """
    directory = kernel.get(Follower).directory
    known = [one for one in directory.list_all() if one.id not in excluded]
    chosen = choose_checked(known, count, rng)
    if chosen:
        ReachCheck(kernel, chosen, on_result).start()
    else:
        kernel.loop.call_later(0.0, lambda: on_result(True))
