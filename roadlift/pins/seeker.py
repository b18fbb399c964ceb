"""Seek pins for requests: use one that is held, or ask owners for one.

A request whose model is pinned on an endpoint with room costs no message.
Otherwise the owners of the planned endpoints are asked in order; requests
that wait for the same model share one asking. The seeker opens no socket and
reads no clock of its own: its host carries messages and time.
"""

import math
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from roadlift.core.errors import NoEndpoint, Overloaded, RoadliftError
from roadlift.ownership.messages import (
    Acquire,
    Grant,
    Inquire,
    Level,
    Recall,
    RefusalReason,
    Refuse,
    Release,
)
from roadlift.pins.table import HeldPin, PinTable
from roadlift.policy.admission import DEFAULT_LIMITS
from roadlift.policy.loads import PRIORITY_RANKS
from roadlift.policy.routing import Router

RETRY_PAUSE = 0.05  # Seconds before the owners are asked again.
MOST_PAUSE = 1.0
ASK_AGAIN = 1.0  # Seconds until an unanswered asking is sent again.

OnPin = Callable[[HeldPin], None]
OnError = Callable[[RoadliftError], None]


class Waiter(NamedTuple):
    """A request that waits for a pin; the deadline is in seconds."""

    priority: str
    deadline: float
    on_pin: OnPin
    on_error: OnError


class Host(Protocol):
    """What carries the seeker's messages and time."""

    def now(self) -> float:
        """Return the seconds of the runtime's clock."""

    def call_later(self, seconds: float, call: Callable[[], None]) -> object:
        """Call ``call`` after some seconds."""

    def find_owner(self, endpoint: str) -> str | None:
        """Return the process that should own an endpoint."""

    def send(self, process: str, message: object) -> bool:
        """Send a message; False means that it was dropped."""

    def is_resting(self, endpoint: str) -> bool:
        """Tell whether an endpoint wants no calls from this process now."""


class _Search:
    """The asking for one model, shared by all who wait for it."""

    def __init__(self, model: str) -> None:
        self.model = model
        self.waiters: list[Waiter] = []
        self.candidates: list[str] = []
        self.nonce = 0
        self.endpoint = ""
        self.owner: str | None = None
        self.sent_at = 0.0
        self.pause = RETRY_PAUSE
        self.was_full = True

    def pick_priority(self) -> str:
        """Return the soonest class among the waiters."""
        return min((w.priority for w in self.waiters), key=PRIORITY_RANKS.__getitem__)

    def pick_deadline(self) -> float:
        """Return the last deadline among the waiters."""
        return max(w.deadline for w in self.waiters)


class Seeker:
    """The search of one process for pins."""

    def __init__(self, host: Host, table: PinTable) -> None:
        self.table = table
        self._host = host
        self._router: Router | None = None
        self._widths: dict[str, int] = {}
        self._searches: dict[str, _Search] = {}
        self._levels: dict[str, tuple[int, int]] = {}
        self._handlers: dict[type, Callable] = {
            Grant: self._receive_grant,
            Refuse: self._receive_refuse,
            Recall: self._receive_recall,
            Inquire: self._receive_inquire,
            Level: self._receive_level,
        }

    @property
    def kinds(self) -> tuple[type, ...]:
        """Return the types of message that ``receive`` takes."""
        return tuple(self._handlers)

    def route_by(self, router: Router, widths: dict[str, int]) -> None:
        """Route by the endpoints of a bundle; ``widths`` are their batches."""
        self._router = router
        self._widths = widths

    def close(self) -> None:
        """Refuse who still waits."""
        for search in list(self._searches.values()):
            self._fail(search, NoEndpoint("the instance closes"))

    def place(self, model: str, waiter: Waiter) -> None:
        """Find a pin for a request, now or later."""
        search = self._searches.get(model)
        if search is not None:
            self._share(search, waiter)
            return
        pin, candidates = self._plan(model)
        if pin is not None:
            waiter.on_pin(pin)
            return
        search = self._searches[model] = _Search(model)
        search.waiters.append(waiter)
        self._begin(search, candidates)

    def end(self, pin: HeldPin) -> None:
        """Count a request under a pin as over."""
        release = self.table.end(pin, self._host.now())
        if release is not None:
            self._release(release)

    def receive(self, sender: str, message: object) -> None:
        """Take a message of an owner."""
        self._handlers[type(message)](sender, message)

    def tick(self) -> None:
        """Give idle pins back, and look after the askings."""
        now = self._host.now()
        for release in self.table.return_idle(now):
            self._release(release)
        for search in list(self._searches.values()):
            self._expire(search, now)
            if search.nonce and search.waiters:
                self._follow(search, now)

    def report(self) -> None:
        """Tell the owners which pins are held."""
        for report in self.table.list_reports():
            owner = self._host.find_owner(report.endpoint)
            if owner is not None:
                self._host.send(owner, report)

    # Planning.

    def _plan(self, model: str) -> tuple[HeldPin | None, Iterable[str]]:
        """Return a pin to use, or the endpoints to ask."""
        if self._router is None:
            return None, ()
        pins = {pin.endpoint: pin for pin in self.table.find(model)}
        plan = self._router.plan(model, list(pins), self._measure_fill)
        if plan.use is not None:
            return pins[plan.use], ()
        return None, plan.ask

    def _measure_fill(self, endpoint: str) -> float:
        """Return how full an endpoint is: 1 is a full batch.

        The owner's figure lags; it is corrected by what this process has
        started and ended since. One that rests takes nothing.
        """
        if self._host.is_resting(endpoint):
            return math.inf
        own = self.table.count_running(endpoint)
        running, own_then = self._levels.get(endpoint, (0, 0))
        width = self._widths.get(endpoint, 1)
        return max(own, running + own - own_then) / width

    def _pick_crowded(self, search: _Search) -> HeldPin | None:
        """Return a pin at an endpoint that is full, but not too full."""
        pins = self.table.find(search.model)
        fill = lambda pin: self._measure_fill(pin.endpoint)
        pin = min(pins, key=fill, default=None)
        if pin is None or fill(pin) >= DEFAULT_LIMITS.max_fill[search.pick_priority()]:
            return None
        return pin

    # Asking.

    def _share(self, search: _Search, waiter: Waiter) -> None:
        before = search.pick_priority() if search.waiters else ""
        search.waiters.append(waiter)
        if search.nonce and search.pick_priority() != before:
            self._send_acquire(search)

    def _begin(self, search: _Search, candidates: Iterable[str]) -> None:
        search.candidates = [
            one for one in candidates if not self._host.is_resting(one)
        ]
        search.was_full = bool(search.candidates)
        self._ask_next(search)

    def _ask_next(self, search: _Search) -> None:
        search.nonce = 0
        if not search.candidates:
            self._ask_again_later(search)
            return
        search.endpoint = search.candidates.pop(0)
        search.owner = self._host.find_owner(search.endpoint)
        if search.owner is None:
            search.was_full = False
            self._ask_next(search)
            return
        deadline = search.pick_deadline()
        search.nonce = self.table.ask(search.endpoint, search.model, deadline)
        if not self._send_acquire(search):
            self.table.cancel(search.nonce)
            search.was_full = False
            self._ask_next(search)

    def _send_acquire(self, search: _Search) -> bool:
        search.sent_at = self._host.now()
        ask = Acquire(
            search.endpoint,
            search.nonce,
            search.model,
            search.pick_priority(),
            search.pick_deadline() - search.sent_at,
            not search.candidates,
        )
        return self._host.send(search.owner, ask)

    def _ask_again_later(self, search: _Search) -> None:
        pin = self._pick_crowded(search)
        if pin is not None:
            self._finish(search, pin)
            return
        if search.was_full:
            self._fail(search, Overloaded("every endpoint is full", 1.0))
            return
        self._host.call_later(search.pause, lambda: self._retry(search))
        search.pause = min(MOST_PAUSE, 2 * search.pause)

    def _retry(self, search: _Search) -> None:
        if self._searches.get(search.model) is not search or not search.waiters:
            return
        pin, candidates = self._plan(search.model)
        if pin is not None:
            self._finish(search, pin)
        else:
            self._begin(search, candidates)

    def _finish(self, search: _Search, pin: HeldPin) -> None:
        self._searches.pop(search.model, None)
        for waiter in search.waiters:
            waiter.on_pin(pin)

    def _fail(self, search: _Search, error: RoadliftError) -> None:
        self._searches.pop(search.model, None)
        for waiter in search.waiters:
            waiter.on_error(error)

    def _expire(self, search: _Search, now: float) -> None:
        late = [waiter for waiter in search.waiters if waiter.deadline <= now]
        if not late:
            return
        search.waiters = [w for w in search.waiters if w.deadline > now]
        if not search.waiters:
            self._searches.pop(search.model, None)
            self.table.cancel(search.nonce)
        for waiter in late:
            waiter.on_error(NoEndpoint("no endpoint in time", 1.0))

    def _follow(self, search: _Search, now: float) -> None:
        """Ask anew where the owner has changed, or may not have heard."""
        if self._host.find_owner(search.endpoint) != search.owner:
            self.table.cancel(search.nonce)
            search.was_full = False
            self._ask_next(search)
        elif now - search.sent_at >= ASK_AGAIN:
            self._send_acquire(search)

    # Messages.

    def _receive_grant(self, sender: str, grant: Grant) -> None:
        search = self._find_search(grant.nonce)
        pin = self.table.accept(grant, self._host.now())
        own = self.table.count_running(grant.endpoint)
        self._levels[grant.endpoint] = (grant.running, own + 1)
        if pin is not None and search is not None:
            self._finish(search, pin)

    def _receive_refuse(self, sender: str, refuse: Refuse) -> None:
        search = self._find_search(refuse.nonce)
        self.table.cancel(refuse.nonce)
        if search is None:
            return
        if refuse.reason not in (RefusalReason.FULL, RefusalReason.BUSY):
            search.was_full = False
        self._ask_next(search)

    def _receive_recall(self, sender: str, recall: Recall) -> None:
        release = self.table.recall(recall.endpoint, recall.copy)
        if release is not None:
            self._release(release)

    def _receive_inquire(self, sender: str, inquire: Inquire) -> None:
        self._host.send(sender, self.table.report(inquire.endpoint))

    def _receive_level(self, sender: str, level: Level) -> None:
        own = self.table.count_running(level.endpoint)
        self._levels[level.endpoint] = (level.running, own)

    def _find_search(self, nonce: int) -> _Search | None:
        for search in self._searches.values():
            if search.nonce == nonce:
                return search
        return None

    def _release(self, release: Release) -> None:
        owner = self._host.find_owner(release.endpoint)
        if owner is not None:
            self._host.send(owner, release)
