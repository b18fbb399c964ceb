"""Detect whether an endpoint crashed, or only cut off some answers."""

from collections.abc import Callable
from typing import NamedTuple

from roadlift.core.errors import ConnectionRefused, RoadliftError
from roadlift.core.kernel import Kernel
from roadlift.decisions.crashes import STRONG, WEAK
from roadlift.relay.upstream import Address, AnswerCollector, Request

# Seconds from a cut answer until a connection to its endpoint is tried: by
# then all calls that ran there are cut, and a process that exited no longer
# has a listener.
CHECK_DELAY = 0.02
CHECK_TIMEOUT = 0.3  # Timeout of that connection, in seconds.
# Seconds after which the result is usually known: a call that was cut is not
# sent to another endpoint sooner, as it might crash a fourth one.
DETECTION_DELAY = 0.04
MAX_SUSPECTS = 16  # Suspects that one instance reports for one crash.


class EndpointCrash(NamedTuple):
    """The crash of an endpoint with ``cut`` calls of this process.

    ``suspects`` maps the identities of calls that may be the cause to weights.
    """

    endpoint: str
    cut: int
    suspects: dict[bytes, int]


class CrashDetector:
    """The cut calls of this process, and whether their endpoints crashed."""

    def __init__(
        self, kernel: Kernel, on_crash: Callable[[EndpointCrash], None]
    ) -> None:
        self._kernel = kernel
        self._on_crash = on_crash
        self._cuts: dict[str, dict[bytes, int]] = {}

    def record_cut(
        self, endpoint: str, address: Address, identity: bytes, is_strong: bool
    ) -> None:
        """Record that an endpoint closed the connection of a call it had.

        ``is_strong`` means that the call had begun to run and produced
        nothing.
        """
        found = self._cuts.setdefault(endpoint, {})
        weight = STRONG if is_strong else WEAK
        is_first = not found
        # Of several copies of a call, one had begun and the others waited.
        found[identity] = max(found.get(identity, WEAK), weight)
        if is_first:
            check = lambda: self._check(endpoint, address)
            self._kernel.loop.call_later(CHECK_DELAY, check)

    def _check(self, endpoint: str, address: Address) -> None:
        """Connect to an endpoint without sending anything."""
        request = Request(
            "GET", "/", may_send=lambda: False, connect_timeout=CHECK_TIMEOUT
        )
        on_error = lambda error: self._handle_check(endpoint, error)
        receiver = AnswerCollector(lambda answer: None, on_error)
        self._kernel.dialer.open(address, request, receiver, CHECK_TIMEOUT)

    def _handle_check(self, endpoint: str, error: RoadliftError) -> None:
        cuts = self._cuts.pop(endpoint, {})
        if isinstance(error, ConnectionRefused):
            self._on_crash(EndpointCrash(endpoint, len(cuts), choose_suspects(cuts)))
        # Otherwise it is alive, or the check is inconclusive: a network path
        # that is cut, a host without power. Calls can't be the cause of that.


def choose_suspects(cuts: dict[bytes, int]) -> dict[bytes, int]:
    """Return the calls that may be the cause of a crash, and their weights.

    If some had begun and produced nothing, the others are excluded.
    """
    strongest = max(cuts.values(), default=WEAK)
    chosen = [item for item in cuts.items() if item[1] == strongest]
    return dict(chosen[-MAX_SUSPECTS:])
