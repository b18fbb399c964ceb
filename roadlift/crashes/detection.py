"""Detect whether an endpoint crashed, or only cut off some answers."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from roadlift.core.errors import ConnectionRefused, RoadliftError
from roadlift.core.kernel import Kernel
from roadlift.core.logs import ComponentLog
from roadlift.decisions.crashes import STRONG, SURVIVAL_TIME, WEAK
from roadlift.relay.address import Address
from roadlift.relay.upstream import AnswerCollector, Request

# Seconds from a cut answer until a connection to its endpoint is tried: by
# then all calls that ran there are cut, and a process that exited no longer
# has a listener.
CHECK_DELAY = 0.02
CHECK_TIMEOUT = 0.3  # Timeout of that connection, in seconds.
# Seconds after which the result is usually known: a call that was cut is not
# sent to another endpoint sooner, as it might crash a fourth one.
DETECTION_DELAY = 0.04
MAX_SUSPECTS = 16  # Suspects that one instance reports for one crash.
MAX_PARTS = 16  # Parts of prompts that it reports, besides.

log = ComponentLog("crashes")


class CutCall(NamedTuple):
    """A call that an endpoint cut off; ``parts`` are those of its prompt.

    ``has_begun`` means that it had begun to run and produced nothing; else it
    produced its first event ``running_time`` seconds before, or None.
    """

    identity: bytes
    has_begun: bool
    parts: tuple[bytes, ...] = ()
    running_time: float | None = None

    @property
    def is_silent(self) -> bool:
        """Return whether the call had received nothing, not even a head."""
        return not self.has_begun and self.running_time is None

    @property
    def is_recent(self) -> bool:
        """Return whether its endpoint had not survived its beginning yet."""
        time = self.running_time
        return self.has_begun or (time is not None and time < SURVIVAL_TIME)


class EndpointCrash(NamedTuple):
    """The crash of an endpoint with ``cut`` calls of this process.

    ``suspects`` maps the identities of calls that may be the cause to weights;
    ``parts`` of prompts may be the cause as well.
    """

    endpoint: str
    cut: int
    suspects: dict[bytes, int]
    parts: list[bytes]


class CrashDetector:
    """The cut calls of this process, and whether their endpoints crashed."""

    def __init__(
        self, kernel: Kernel, on_crash: Callable[[EndpointCrash], None]
    ) -> None:
        self._kernel = kernel
        self._on_crash = on_crash
        self._cuts: dict[str, list[CutCall]] = {}

    def record_cut(self, endpoint: str, address: Address, cut: CutCall) -> None:
        """Record that an endpoint closed the connection of a call it had."""
        found = self._cuts.setdefault(endpoint, [])
        found.append(cut)
        if len(found) == 1:
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
        cuts = self._cuts.pop(endpoint, [])
        log.event(
            "endpoint_checked",
            endpoint=endpoint,
            sign="refused" if isinstance(error, ConnectionRefused) else error.code,
            cut=len(cuts),
            silent=sum(cut.is_silent for cut in cuts),
            delay=CHECK_DELAY,
        )
        if isinstance(error, ConnectionRefused):
            suspects = choose_suspects(cuts)
            count = len({cut.identity for cut in cuts})
            parts = list_parts(cuts)
            self._on_crash(EndpointCrash(endpoint, count, suspects, parts))
        # Otherwise it is alive, or the check is inconclusive: a network path
        # that is cut, a host without power. Calls can't be the cause of that.


def choose_suspects(cuts: Iterable[CutCall]) -> dict[bytes, int]:
    """Return the calls that may be the cause of a crash, and their weights.

    If some had begun and produced nothing, the others are excluded.
    """
    weights: dict[bytes, int] = {}
    for cut in cuts:
        weight = STRONG if cut.has_begun else WEAK
        # Of several copies of a call, one had begun and the others waited.
        weights[cut.identity] = max(weights.get(cut.identity, WEAK), weight)
    strongest = max(weights.values(), default=WEAK)
    chosen = [item for item in weights.items() if item[1] == strongest]
    return dict(chosen[-MAX_SUSPECTS:])


def list_parts(cuts: Iterable[CutCall]) -> list[bytes]:
    """Return the parts of prompts that may be the cause of a crash.

    They are of calls whose beginning the endpoint had not survived yet, those
    that began last first.
    """
    recent = [cut for cut in cuts if cut.is_recent]
    recent.sort(key=lambda cut: cut.running_time or 0.0)
    found = dict.fromkeys(part for cut in recent for part in cut.parts)
    return list(found)[:MAX_PARTS]
