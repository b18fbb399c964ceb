"""Notice which calls end the endpoints that run them, and tell others."""

from collections.abc import Callable

from roadlift.core.errors import ConnectionRefused, RoadliftError
from roadlift.core.kernel import Kernel, parts
from roadlift.core.logs import PartLog
from roadlift.decisions.crashes import STRONG, WEAK, Sign
from roadlift.instance.aggregator import Aggregator
from roadlift.instance.crashledger import CrashLedger
from roadlift.instance.crashnews import CrashTelling
from roadlift.instance.crashrows import CrashRows
from roadlift.instance.follower import Follower
from roadlift.instance.measures import Measures
from roadlift.instance.turns import Turns
from roadlift.relay.upstream import Request, WholeAnswer
from roadlift.serving.directory import Endpoint

# Seconds behind a cut answer until its endpoint is connected to: all that ran
# there are cut by then, and a process that ended has no listener any more.
CHECK_DELAY = 0.02
# Seconds behind which it is known as a rule: a call that was cut is not sent
# to another endpoint sooner, or a fourth one ends under it.
KNOWN_DELAY = 0.04
CHECK_TIMEOUT = 0.3  # Seconds for that connection.
MOST_NAMED = 16  # Calls that one instance names for one end of an endpoint.

log = PartLog("crashes")


@parts.register("crashes")
class CrashWatch:
    """The ends of endpoints that this process sees by its own calls."""

    name = "crashes"
    needs = (
        Aggregator.name,
        CrashLedger.name,
        "follower",
        "leases",
        "measures",
        "subscription",
    )

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._follower = kernel.get(Follower)
        self._measures = kernel.get(Measures)
        self._ledger = kernel.get(CrashLedger)
        self._telling = CrashTelling(kernel)
        self._rows = CrashRows(kernel)
        self._turns = Turns(kernel.loop)
        self._cuts: dict[str, dict[bytes, int]] = {}

    def start(self) -> None:
        """Begin to tell and to hear."""
        self._telling.start()
        self._rows.start()

    def close(self) -> None:
        """Tell no more."""
        self._rows.close()
        self._telling.close()

    def await_turn(
        self, identify: Callable[[], bytes], on_turn: Callable[[], None]
    ) -> bool:
        """Tell whether a call has to wait; ``on_turn`` is called then."""
        if not self._ledger.is_suspect(identify):
            return False
        return self._turns.wait(identify(), on_turn)

    def begin(self, identify: Callable[[], bytes]) -> bool:
        """Give a call that is sent its turn, if it is under suspicion."""
        if not self._ledger.is_suspect(identify):
            return False
        self._turns.begin(identify())
        return True

    def end(self, identity: bytes) -> None:
        """End the turn of a call for which ``begin`` was true."""
        self._turns.end(identity)

    def note_cut(self, endpoint: Endpoint, identity: bytes, is_strong: bool) -> None:
        """Learn that an endpoint closed the connection of a call it had.

        ``is_strong`` tells that the call had begun to run and brought nothing.
        """
        found = self._cuts.setdefault(endpoint.id, {})
        found[identity] = STRONG if is_strong else WEAK
        if len(found) == 1:
            check = lambda: self._check(endpoint)
            self._kernel.loop.call_later(CHECK_DELAY, check)

    # Whether an endpoint ended, or only cut some answers.

    def _check(self, endpoint: Endpoint) -> None:
        """Connect to an endpoint, and send nothing."""
        request = Request(
            "GET", "/", may_send=lambda: False, connect_timeout=CHECK_TIMEOUT
        )
        learn = lambda error: self._note_check(endpoint, error)
        receiver = WholeAnswer(lambda answer: None, learn)
        self._kernel.dialer.open(endpoint.address, request, receiver, CHECK_TIMEOUT)

    def _note_check(self, endpoint: Endpoint, error: RoadliftError) -> None:
        cuts = self._cuts.pop(endpoint.id, {})
        if not isinstance(error, ConnectionRefused):
            # It lives, or nobody can tell: a path that is cut, a rack without
            # power. Calls can't be the cause of that.
            return
        known = self._follower.directory.get(endpoint.id)
        if known is None or known.is_draining:
            return
        named = _choose_suspects(cuts)
        log.event(
            "endpoint_ended",
            endpoint=endpoint.id,
            cut=len(cuts),
            suspects=[[identity.hex(), weight] for identity, weight in named.items()],
        )
        self._measures.count("roadlift_endpoint_ends", endpoint.service)
        signs = [
            Sign(identity, endpoint.id, weight, 0.0)
            for identity, weight in named.items()
        ]
        self._ledger.learn(signs)


def _choose_suspects(cuts: dict[bytes, int]) -> dict[bytes, int]:
    """Return the calls that may be the cause of an end, and their weights.

    Where some had begun and brought nothing, the others are none.
    """
    strongest = max(cuts.values(), default=WEAK)
    chosen = [one for one in cuts.items() if one[1] == strongest]
    return dict(chosen[-MOST_NAMED:])
