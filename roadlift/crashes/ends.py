"""Tell whether an endpoint ended, or only cut some answers."""

from collections.abc import Callable
from typing import NamedTuple

from roadlift.core.errors import ConnectionRefused, RoadliftError
from roadlift.core.kernel import Kernel
from roadlift.decisions.crashes import STRONG, WEAK
from roadlift.relay.upstream import Address, Request, WholeAnswer

# Seconds behind a cut answer until its endpoint is connected to: all that ran
# there are cut by then, and a process that ended has no listener any more.
CHECK_DELAY = 0.02
CHECK_TIMEOUT = 0.3  # Seconds for that connection.
# Seconds behind which it is known as a rule: a call that was cut is not sent
# to another endpoint sooner, or a fourth one ends under it.
KNOWN_DELAY = 0.04
MOST_NAMED = 16  # Calls that one instance names for one end of an endpoint.


class End(NamedTuple):
    """The end of an endpoint with ``cut`` calls of this process.

    ``suspects`` are the weights of those that may be the cause, by identity.
    """

    endpoint: str
    cut: int
    suspects: dict[bytes, int]


class EndCheck:
    """The cut calls of this process, and whether their endpoints ended."""

    def __init__(self, kernel: Kernel, on_end: Callable[[End], None]) -> None:
        self._kernel = kernel
        self._on_end = on_end
        self._cuts: dict[str, dict[bytes, int]] = {}

    def note_cut(
        self, endpoint: str, address: Address, identity: bytes, is_strong: bool
    ) -> None:
        """Learn that an endpoint closed the connection of a call it had.

        ``is_strong`` tells that the call had begun to run and brought nothing.
        """
        found = self._cuts.setdefault(endpoint, {})
        weight = STRONG if is_strong else WEAK
        is_first = not found
        # Of several copies of a call one had begun and the others waited.
        found[identity] = max(found.get(identity, WEAK), weight)
        if is_first:
            check = lambda: self._check(endpoint, address)
            self._kernel.loop.call_later(CHECK_DELAY, check)

    def _check(self, endpoint: str, address: Address) -> None:
        """Connect to an endpoint, and send nothing."""
        request = Request(
            "GET", "/", may_send=lambda: False, connect_timeout=CHECK_TIMEOUT
        )
        learn = lambda error: self._note_check(endpoint, error)
        receiver = WholeAnswer(lambda answer: None, learn)
        self._kernel.dialer.open(address, request, receiver, CHECK_TIMEOUT)

    def _note_check(self, endpoint: str, error: RoadliftError) -> None:
        cuts = self._cuts.pop(endpoint, {})
        if isinstance(error, ConnectionRefused):
            self._on_end(End(endpoint, len(cuts), choose_suspects(cuts)))
        # Else it lives, or nobody can tell: a path that is cut, a host without
        # power. Calls can't be the cause of that.


def choose_suspects(cuts: dict[bytes, int]) -> dict[bytes, int]:
    """Return the calls that may be the cause of an end, and their weights.

    Where some had begun and brought nothing, the others are none.
    """
    strongest = max(cuts.values(), default=WEAK)
    chosen = [one for one in cuts.items() if one[1] == strongest]
    return dict(chosen[-MOST_NAMED:])
