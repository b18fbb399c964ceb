"""Notice which calls end the endpoints that run them, and refuse those."""

import zlib
from collections.abc import Callable

from roadlift.core.errors import ConnectionRefused, EndsEndpoints, RoadliftError
from roadlift.core.kernel import Kernel, parts
from roadlift.core.logs import PartLog
from roadlift.decisions.crashes import STRONG, WEAK, Crashes, Sign
from roadlift.instance.aggregator import Aggregator
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
    """What this process knows of calls that end endpoints."""

    name = "crashes"
    needs = (Aggregator.name, "follower", "leases", "measures", "subscription")

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._follower = kernel.get(Follower)
        self._measures = kernel.get(Measures)
        rank = zlib.crc32(kernel.settings.peer.encode()) / 2**32
        self._crashes = Crashes(rank)
        self._telling = CrashTelling(kernel, self._crashes, self._note_news)
        self._rows = CrashRows(kernel, self._crashes, self._take_signs, self._clear)
        self._cuts: dict[str, dict[bytes, int]] = {}
        self._turns = Turns(kernel.loop)

    def start(self) -> None:
        """Begin to tell and to hear."""
        self._telling.start()
        self._rows.start()

    def close(self) -> None:
        """Tell no more."""
        self._rows.close()
        self._telling.close()

    def judge(self, identify: Callable[[], bytes]) -> EndsEndpoints | None:
        """Return why a call is not to be run now, or None.

        ``identify`` returns its identity; it is asked only where anything is
        known of any call.
        """
        if self._crashes.is_empty:
            return None
        identity = identify()
        seconds = self._crashes.measure_refusal(identity, self._kernel.clock.now())
        ends = self._crashes.count_ends(identity)
        if seconds:
            return EndsEndpoints(f"{ends} ended while they ran it", round(seconds, 1))
        return None

    def await_turn(
        self, identify: Callable[[], bytes], on_turn: Callable[[], None]
    ) -> bool:
        """Tell whether a call has to wait; ``on_turn`` is called then."""
        if not self._is_suspect(identify):
            return False
        return self._turns.wait(identify(), on_turn)

    def begin(self, identify: Callable[[], bytes]) -> bool:
        """Give a call that is sent its turn, if it is under suspicion."""
        if not self._is_suspect(identify):
            return False
        self._turns.begin(identify())
        return True

    def end(self, identity: bytes) -> None:
        """End the turn of a call for which ``begin`` was true."""
        self._turns.end(identity)

    def _is_suspect(self, identify: Callable[[], bytes]) -> bool:
        return not self._crashes.is_empty and self._crashes.is_suspect(identify())

    def note_served(self, identify: Callable[[], bytes]) -> None:
        """Learn that a call ran to a good end."""
        if not self._crashes.is_empty:
            self._clear(identify())

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
        self._take_signs(signs)

    # What becomes known.

    def _take_signs(self, signs: list[Sign]) -> None:
        """Learn of signs that no other instance has told."""
        found = self._crashes.merge(signs, self._kernel.clock.now())
        if found:
            self._note_news(found)
            self._telling.spread(found)

    def _note_news(self, signs: list[Sign]) -> None:
        now = self._kernel.clock.now()
        for identity in {sign.identity for sign in signs}:
            self._rows.note(identity)
            seconds = self._crashes.measure_refusal(identity, now)
            if seconds:
                log.event(
                    "call_barred",
                    identity=identity.hex(),
                    ends=self._crashes.count_ends(identity),
                    seconds=round(seconds, 1),
                )
        self._measures.set("roadlift_barred_calls", self._crashes.count_refused())

    def _clear(self, identity: bytes) -> None:
        """Learn that a call is not the cause, or is to be run again."""
        was_refused = self._crashes.is_refused(identity)
        if not self._crashes.clear(identity):
            return
        if was_refused:
            log.event("call_cleared", identity=identity.hex())
        now = self._kernel.clock.now()
        self._note_news(cleared := self._crashes.list_signs(now, identity))
        self._telling.spread(cleared)


def _choose_suspects(cuts: dict[bytes, int]) -> dict[bytes, int]:
    """Return the calls that may be the cause of an end, and their weights.

    Where some had begun and brought nothing, the others are none.
    """
    strongest = max(cuts.values(), default=WEAK)
    chosen = [one for one in cuts.items() if one[1] == strongest]
    return dict(chosen[-MOST_NAMED:])
