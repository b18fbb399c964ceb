"""Know which endpoints name limits, by their answers and by what is told."""

import random
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from roadlift.core.errors import InvalidLimit
from roadlift.core.kernel import Kernel, parts
from roadlift.core.logs import PartLog
from roadlift.decisions.limits import NO_BASIS, Basis, MinimumRate, normalize_limit
from roadlift.decisions.rates import Rate
from roadlift.instance.follower import Follower
from roadlift.instance.measures import Measures
from roadlift.serving.directory import Endpoint
from roadlift.serving.statements import Statement

# Seconds of sends before a limit is known that count as sends without a grant.
RECENT = 1.0
# Seconds behind the last sign of a limit at which news that lack it end it.
NEWS_GRACE = 1.0
# Seconds behind a limit's end in which older news of it are passed over, and
# behind the last naming here in which news of its end are: the owner may not
# have heard of it.
END_GRACE = 0.6
# Seconds behind the last naming of a limit from which on the endpoint is tried
# as any other: nobody else would learn that the limit ended.
TRIAL_PERIOD = 0.7
LOCAL = -1  # In place of a fence: what this process granted itself.

log = PartLog("limits")


class Heard(StrEnum):
    """How this process heard of a limit."""

    ANSWER = "answer"
    OWNER = "owner"
    NEWS = "news"


class ToldLimit(NamedTuple):
    """A limit as an owner tells it, in calls a second, or None for its end.

    ``fence`` and ``serial`` are of the basis on which sends are granted; the
    endpoint named it last ``age`` seconds ago.
    """

    endpoint: str
    limit: float | None
    fence: int
    serial: int
    age: float


class Answered(NamedTuple):
    """What an answer to a send on ``basis``, made ``age`` s before, says.

    One that ``has_run`` is the endpoint's own, of a call that it ran.
    """

    status: int
    statement: Statement
    has_run: bool
    basis: Basis
    age: float


class Naming(NamedTuple):
    """What an endpoint itself said in an answer to a send on ``basis``."""

    limit: float | None
    basis: Basis


class KnownLimit:
    """What this process knows of one endpoint's limit.

    The endpoint named it last at ``named_at``, and in an answer to this
    process at ``answered_at``. No send is asked for before ``ask_at``, and
    none is free before ``free_at``; ``told_number`` is of the first telling
    with what the endpoint named here last; ``spent`` counts the sends without
    a grant.
    """

    __slots__ = (
        "answered_at",
        "ask_at",
        "basis",
        "floor",
        "free_at",
        "heard_at",
        "limit",
        "named_at",
        "namings",
        "spent",
        "told_at",
        "told_number",
    )

    def __init__(
        self, limit: float, spent: int, floor: MinimumRate, now: float
    ) -> None:
        self.limit = limit
        self.spent = spent
        self.floor = floor
        self.basis = NO_BASIS
        self.heard_at = self.named_at = now
        self.answered_at = self.told_at = float("-inf")
        self.ask_at = self.free_at = float("-inf")
        self.told_number = 0
        self.namings = 0


@parts.register("limits")
class EndpointLimits:
    """The limits of endpoints, as this process goes by them."""

    name = "limits"
    needs = ("follower", "measures")

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._rng = random.Random(kernel.stamp)
        self._follower = kernel.get(Follower)
        self._measures = kernel.get(Measures)
        self._known: dict[str, KnownLimit] = {}
        self._ended: dict[str, float] = {}
        self._rates: dict[str, Rate] = {}
        self._follower.on_directory.append(self._forget_gone)

    def start(self) -> None:
        """Do nothing; answers come later."""

    def close(self) -> None:
        """Do nothing."""

    # What is asked.

    def find(self, endpoint: str) -> KnownLimit | None:
        """Return what is known of an endpoint that names a limit, or None."""
        return self._known.get(endpoint)

    def is_full(self, endpoint: str) -> bool:
        """Tell whether no send can be had at an endpoint for the moment."""
        known = self._known.get(endpoint)
        return known is not None and self._clock.now() < known.ask_at

    def is_spared(self, endpoint: str) -> bool:
        """Tell whether an endpoint is in need, so that others go first."""
        known = self._known.get(endpoint)
        return known is not None and self._clock.now() - known.named_at < TRIAL_PERIOD

    def measure_wait(self, endpoint: str) -> float:
        """Return the seconds until a send may be free at an endpoint."""
        known = self._known.get(endpoint)
        return max(0.0, known.free_at - self._clock.now()) if known else 0.0

    def list_known(self) -> dict[str, KnownLimit]:
        """Return the endpoints that name limits."""
        return self._known

    # What is sent and answered.

    def record_send(self, endpoint: Endpoint, is_granted: bool) -> None:
        """Count a send; one without a grant is told to the owner."""
        now = self._clock.now()
        rate = self._rates.get(endpoint.id)
        if rate is None:
            rate = self._rates[endpoint.id] = Rate(RECENT, now)
        rate.note(1.0, now)
        known = self._known.get(endpoint.id)
        if known is not None and not is_granted:
            known.spent += 1

    def note_answer(self, endpoint: Endpoint, answer: Answered) -> Naming | None:
        """Learn from an answer; return what the owner should hear of it."""
        if answer.statement.has_fault(InvalidLimit):
            return None
        limit = normalize_limit(answer.statement.limit)
        if limit is None:
            return self._note_unnamed(endpoint, answer)
        now = self._clock.now()
        known = self._known.get(endpoint.id)
        if known is None:
            known = self._begin(endpoint.id, limit, Heard.ANSWER, answer)
        elif limit < known.limit:
            self._change(endpoint.id, known, limit, Heard.ANSWER, answer)
        known.heard_at = known.named_at = known.answered_at = now
        known.namings += 1
        return Naming(limit, answer.basis)

    def _note_unnamed(self, endpoint: Endpoint, answer: Answered) -> Naming | None:
        """Learn that an answer names no limit.

        Only one that ran a call says that there is none: a refusal may be made
        by another part of the endpoint, or by one that has its address now.
        """
        known = self._known.get(endpoint.id)
        if known is None or not answer.has_run:
            return None
        if answer.basis == Basis(LOCAL, known.namings):
            self._end(endpoint.id, Heard.ANSWER, answer)
        return Naming(None, answer.basis)

    # What is told.

    def note_owner(self, told: ToldLimit | None, endpoint: str, number: int) -> None:
        """Take the owner's answer to what was told as ``number``.

        One to what was told before the endpoint named something here, again or
        for the first time, can only lower a limit.
        """
        known = self._known.get(endpoint)
        is_older = known is not None and number < known.told_number
        if told is not None:
            self._take(told, Heard.OWNER, is_older)
        elif known is not None and not is_older:
            self._end(endpoint, Heard.OWNER, None)

    def record_update(self, limits: Iterable[ToldLimit], asked_at: float) -> None:
        """Take all limits as an aggregator knows them."""
        told = {one.endpoint: one for one in limits}
        for endpoint, one in told.items():
            if one.limit is None:
                self._take_end(endpoint, asked_at)
            elif asked_at > self._ended.get(endpoint, float("-inf")) + END_GRACE:
                self._take(one, Heard.NEWS, True)
        for endpoint, known in list(self._known.items()):
            is_old = asked_at - known.heard_at > NEWS_GRACE
            if endpoint not in told and is_old:
                self._end(endpoint, Heard.NEWS, None)

    def _take_end(self, endpoint: str, asked_at: float) -> None:
        known = self._known.get(endpoint)
        if known is not None and asked_at > known.answered_at + END_GRACE:
            self._end(endpoint, Heard.NEWS, None)

    def _take(self, told: ToldLimit, heard: Heard, can_only_lower: bool) -> None:
        now = self._clock.now()
        known = self._known.get(told.endpoint)
        if known is None:
            if self._follower.directory.get(told.endpoint) is None:
                return
            known = self._begin(told.endpoint, told.limit, heard, None)
            known.named_at = now - told.age
        is_lower = told.limit < known.limit
        is_raised = told.limit > known.limit and not can_only_lower
        if is_lower or is_raised:
            self._change(told.endpoint, known, told.limit, heard, None)
        known.basis = max(known.basis, Basis(told.fence, told.serial))
        known.heard_at = now
        known.named_at = max(known.named_at, now - told.age)

    # What comes of it.

    def _begin(
        self, endpoint: str, limit: float, heard: Heard, answer: Answered | None
    ) -> KnownLimit:
        now = self._clock.now()
        rate = self._rates.get(endpoint)
        spent = round(rate.measure(now) * RECENT) if rate else 0
        floor = MinimumRate(self._rng.random(), now)
        known = self._known[endpoint] = KnownLimit(limit, spent, floor, now)
        self._log(endpoint, limit, None, heard, answer)
        return known

    def _change(
        self,
        endpoint: str,
        known: KnownLimit,
        limit: float,
        heard: Heard,
        answer: Answered | None,
    ) -> None:
        before, known.limit = known.limit, limit
        self._log(endpoint, limit, before, heard, answer)

    def _end(self, endpoint: str, heard: Heard, answer: Answered | None) -> None:
        known = self._known.pop(endpoint)
        self._ended[endpoint] = self._clock.now()
        self._log(endpoint, None, known.limit, heard, answer)

    def _log(
        self,
        endpoint: str,
        limit: float | None,
        before: float | None,
        heard: Heard,
        answer: Answered | None,
    ) -> None:
        """Tell that a limit became known, changed, or ended."""
        known = self._follower.directory.get(endpoint)
        service = known.service if known else None
        log.event(
            "limit_changed",
            endpoint=endpoint,
            service=service,
            limit=limit,
            before=before,
            heard=heard.value,
            status=answer.status if answer else None,
            age=round(answer.age, 3) if answer else None,
        )
        self._measure(service)

    def _measure(self, service: str | None) -> None:
        limits = [
            known.limit
            for name, known in self._known.items()
            if self._find_service(name) == service
        ]
        if service is not None:
            self._measures.set("roadlift_limited_endpoints", len(limits), service)
            self._measures.set("roadlift_endpoint_limits", sum(limits), service)

    def _find_service(self, endpoint: str) -> str | None:
        found = self._follower.directory.get(endpoint)
        return found.service if found else None

    def _forget_gone(self) -> None:
        """Forget endpoints that are gone; their next run named nothing yet."""
        there = {endpoint.id for endpoint in self._follower.directory.list_all()}
        for known in (self._known, self._ended, self._rates):
            for endpoint in set(known) - there:
                del known[endpoint]
