"""Detect whether an endpoint crashed, or only cut off some answers."""

from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from roadlift.core.errors import (
    ConnectionLost,
    ConnectionRefused,
    RequestTimeout,
    RoadliftError,
)
from roadlift.core.kernel import Kernel
from roadlift.core.logs import ComponentLog
from roadlift.core.loop import Timer
from roadlift.decisions.crashes import SURVIVAL_TIME
from roadlift.decisions.crashrecord import STRONG, WEAK
from roadlift.decisions.endings import (
    CHECK_TIMES,
    CONNECT_TIMEOUT,
    HOLD_TIME,
    LIST_INTERVAL,
    MAX_WATCH_TIME,
    REACH_REQUIRED,
    TRANSIT_TIME,
    Observation,
    is_conclusive,
)
from roadlift.relay.address import Address
from roadlift.relay.upstream import AnswerCollector, Request

# Seconds after which the result is usually known: a call that was cut is not
# sent to another endpoint sooner, as it might crash a fourth one.
DETECTION_DELAY = 0.04
MAX_SUSPECTS = 16  # Suspects that one instance reports for one crash.

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
    def is_unanswered(self) -> bool:
        """Return whether the call had received nothing, not even a head."""
        return not self.has_begun and self.running_time is None

    @property
    def is_recent(self) -> bool:
        """Return whether its endpoint had not survived its beginning yet.

        A call that received nothing may have begun as well.
        """
        return self.running_time is None or self.running_time < SURVIVAL_TIME


class EndpointCrash(NamedTuple):
    """The crash of an endpoint with ``cut`` calls of this process.

    It was ``age`` seconds ago. ``suspects`` maps the identities of calls that
    may be the cause to weights; ``parts`` of prompts may be the cause as well.
    """

    endpoint: str
    cut: int
    suspects: dict[bytes, int]
    parts: list[bytes]
    age: float


class Surroundings(Protocol):
    """What a process knows of endpoints besides the calls that were cut."""

    def is_listed(self, endpoint: str) -> bool:
        """Return whether the endpoint's entry is there, of the same run."""

    def count_open(self, endpoint: str, before: float) -> int:
        """Return how many open calls were sent there before a time."""

    def confirm_reach(self, endpoint: str, on_result: Callable[[bool], None]) -> None:
        """Check whether other endpoints than this one are reached."""

    def record_suspicion(self, endpoint: str) -> None:
        """Handle that nothing is known of an endpoint that cut all calls."""


class NoSurroundings:
    """Those of a process that knows of its endpoints by calls alone."""

    def is_listed(self, endpoint: str) -> bool:
        """Return True: no list says otherwise."""
        return True

    def count_open(self, endpoint: str, before: float) -> int:
        """Return 0: calls are not counted by when they were sent."""
        return 0

    def confirm_reach(self, endpoint: str, on_result: Callable[[bool], None]) -> None:
        """Take the path for sound."""
        on_result(True)

    def record_suspicion(self, endpoint: str) -> None:
        """Do nothing."""


class _Watch:
    """The cut calls of an endpoint of which nothing is concluded yet.

    The first was cut at ``at``; ``checked_from`` is later if more calls were
    cut since.
    """

    def __init__(self, endpoint: str, address: Address, at: float) -> None:
        self.endpoint = endpoint
        self.address = address
        self.at = at
        self.checked_from = at
        self.cuts: list[CutCall] = []
        self.recent_parts: list[bytes] = []
        self.checks = 0
        self.has_answered = False
        self.timer: Timer | None = None

    @property
    def is_check_due(self) -> bool:
        """Return whether another connection is to be tried."""
        return self.checks < len(CHECK_TIMES) and not self.has_answered

    def compute_delay(self, now: float) -> float:
        """Return the seconds until the endpoint is checked again."""
        if self.is_check_due:
            return max(0.0, self.checked_from + CHECK_TIMES[self.checks] - now)
        return LIST_INTERVAL


class CrashDetector:
    """The cut calls of this process, and whether their endpoints crashed."""

    def __init__(
        self,
        kernel: Kernel,
        surroundings: Surroundings,
        on_crash: Callable[[EndpointCrash], None],
    ) -> None:
        self._kernel = kernel
        self._surroundings = surroundings
        self._on_crash = on_crash
        self._watches: dict[str, _Watch] = {}

    @property
    def is_watching(self) -> bool:
        """Return whether there is an endpoint that may have crashed."""
        return bool(self._watches)

    def is_watched(self, endpoint: str) -> bool:
        """Return whether it is undecided if an endpoint crashed."""
        watch = self._watches.get(endpoint)
        return watch is not None and not watch.has_answered

    def record_cut(
        self,
        endpoint: str,
        address: Address,
        cut: CutCall,
        recent_parts: Iterable[bytes] = (),
    ) -> None:
        """Record that an endpoint closed the connection of a call it had.

        ``recent_parts`` are those of calls that had begun there shortly before
        the first cut and were over by then.
        """
        now = self._kernel.clock.now()
        watch = self._watches.get(endpoint)
        if watch is not None and watch.has_answered:
            # What was cut before is no cause of what happens now.
            self._forget(watch)
            watch = None
        if watch is None:
            watch = self._watches[endpoint] = _Watch(endpoint, address, now)
            watch.recent_parts.extend(recent_parts)
            self._schedule(watch)
        elif now - watch.checked_from >= TRANSIT_TIME:
            watch.checked_from = now
            watch.checks = 0
            self._schedule(watch)
        watch.cuts.append(cut)

    def record_answer(self, endpoint: str, sent_at: float) -> None:
        """Record bytes of an answer to a request that was sent at a time.

        A later request may be answered by a later run of the endpoint.
        """
        watch = self._watches.get(endpoint)
        if watch is None:
            return
        if sent_at >= watch.at:
            watch.has_answered = True
        elif self._kernel.clock.now() - watch.checked_from >= TRANSIT_TIME:
            self._log_observation(watch, Observation.ANSWERED)
            self._forget(watch)

    def close(self) -> None:
        """Stop watching."""
        for watch in list(self._watches.values()):
            self._forget(watch)

    def _forget(self, watch: _Watch) -> None:
        watch.timer.close()
        del self._watches[watch.endpoint]

    def _is_current(self, watch: _Watch) -> bool:
        return self._watches.get(watch.endpoint) is watch

    def _schedule(self, watch: _Watch) -> None:
        if watch.timer is not None:
            watch.timer.close()
        delay = watch.compute_delay(self._kernel.clock.now())
        watch.timer = self._kernel.loop.call_later(delay, lambda: self._poll(watch))

    def _poll(self, watch: _Watch) -> None:
        """Look at the list, and try a new connection if one is due."""
        if self._kernel.clock.now() - watch.checked_from >= MAX_WATCH_TIME:
            log.event("endpoint_end_unknown", endpoint=watch.endpoint)
            self._forget(watch)
        elif not self._surroundings.is_listed(watch.endpoint):
            self._handle_observation(watch, Observation.UNLISTED)
        elif watch.is_check_due:
            watch.checks += 1
            self._connect(watch)
        else:
            self._schedule(watch)

    def _connect(self, watch: _Watch) -> None:
        """Open a connection without sending anything, and watch it."""
        request = Request("GET", "/", is_probe=True, connect_timeout=CONNECT_TIMEOUT)
        on_error = lambda error: self._handle_check(watch, error)
        receiver = AnswerCollector(lambda answer: on_error(ConnectionLost()), on_error)
        self._kernel.dialer.open(watch.address, request, receiver, HOLD_TIME)

    def _handle_check(self, watch: _Watch, error: RoadliftError) -> None:
        if self._is_current(watch):
            self._handle_observation(watch, classify(error))

    def _handle_observation(self, watch: _Watch, observation: Observation) -> None:
        self._log_observation(watch, observation)
        open_sends = self._surroundings.count_open(watch.endpoint, watch.at)
        if not is_conclusive(observation, open_sends):
            if not open_sends and not watch.has_answered:
                self._surroundings.record_suspicion(watch.endpoint)
            self._schedule(watch)
        elif observation in REACH_REQUIRED:
            self._surroundings.confirm_reach(
                watch.endpoint, lambda is_reached: self._handle_reach(watch, is_reached)
            )
        else:
            self._conclude(watch)

    def _handle_reach(self, watch: _Watch, is_reached: bool) -> None:
        if not self._is_current(watch):
            return
        if is_reached:
            self._conclude(watch)
            return
        log.event("endpoint_end_doubted", endpoint=watch.endpoint, cut=len(watch.cuts))
        self._schedule(watch)

    def _conclude(self, watch: _Watch) -> None:
        """Report the crash of an endpoint."""
        self._forget(watch)
        suspects = choose_suspects(watch.cuts)
        count = len({cut.identity for cut in watch.cuts})
        age = self._kernel.clock.now() - watch.at
        parts = list(dict.fromkeys([*list_parts(watch.cuts), *watch.recent_parts]))
        self._on_crash(EndpointCrash(watch.endpoint, count, suspects, parts, age))

    def _log_observation(self, watch: _Watch, observation: Observation) -> None:
        log.event(
            "endpoint_checked",
            endpoint=watch.endpoint,
            result=observation,
            cut=len(watch.cuts),
            unanswered=sum(cut.is_unanswered for cut in watch.cuts),
            delay=round(self._kernel.clock.now() - watch.at, 3),
        )


def classify(error: RoadliftError) -> Observation:
    """Return what the end of a connection shows on which nothing was sent."""
    if isinstance(error, ConnectionRefused):
        return Observation.REFUSED
    if isinstance(error, ConnectionLost):
        return Observation.CLOSED
    return (
        Observation.HELD
        if isinstance(error, RequestTimeout)
        else Observation.UNREACHABLE
    )


def choose_suspects(cuts: Iterable[CutCall]) -> dict[bytes, int]:
    """Return the calls that may be the cause of a crash, and their weights.

    If some had begun and produced nothing, those that had received more are
    excluded.
    """
    cuts = list(cuts)
    weights: dict[bytes, int] = {}
    for cut in cuts:
        weight = STRONG if cut.has_begun else WEAK
        # Of several copies of a call, one had begun and the others waited.
        weights[cut.identity] = max(weights.get(cut.identity, WEAK), weight)
    strongest = max(weights.values(), default=WEAK)
    unanswered = {cut.identity for cut in cuts if cut.is_unanswered}
    chosen = [
        (identity, weight)
        for identity, weight in weights.items()
        if weight == strongest or identity in unanswered
    ]
    chosen.sort(key=lambda item: item[1])
    return dict(chosen[-MAX_SUSPECTS:])


def list_parts(cuts: Iterable[CutCall]) -> list[bytes]:
    """Return the parts of prompts that may be the cause of a crash.

    They are of calls whose beginning the endpoint had not survived yet, those
    that began last first, and those that had received nothing last.
    """
    recent = [cut for cut in cuts if cut.is_recent]
    recent.sort(key=lambda cut: (cut.is_unanswered, cut.running_time or 0.0))
    return list(dict.fromkeys(part for cut in recent for part in cut.parts))
