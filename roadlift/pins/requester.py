"""Obtain pins for requests: use a held pin, or request one from an owner.

A request whose model is pinned on an endpoint with free capacity costs no
message. Otherwise a pin is requested from the owners of the planned endpoints,
one after the other; requests that wait for the same model share one search.
This module opens no socket and reads no clock: the host provides messaging
and time.
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

MIN_RETRY_BACKOFF = 0.05  # Seconds before the first retry; doubled each time.
MAX_RETRY_BACKOFF = 1.0
RESEND_INTERVAL = 1.0  # Seconds until an unanswered pin request is sent again.
# Seconds for which an endpoint that refused a run counts as full; by then its
# owner has a newer figure.
REFUSAL_VALIDITY = 1.0

OnPin = Callable[[HeldPin], None]
OnError = Callable[[RoadliftError], None]


class Waiter(NamedTuple):
    """A request that waits for a pin; ``deadline`` is a time of the host."""

    priority: str
    deadline: float
    on_pin: OnPin
    on_error: OnError


class Host(Protocol):
    """Provide messaging, timers and endpoint state for a search."""

    def now(self) -> float:
        """Return the current time of the runtime's clock, in seconds."""

    def call_later(self, seconds: float, call: Callable[[], None]) -> object:
        """Call ``call`` after ``seconds``."""

    def find_owner(self, endpoint: str) -> str | None:
        """Return the process that should own an endpoint."""

    def send(self, process: str, message: object) -> bool:
        """Send a message; return False if it was dropped."""

    def is_backing_off(self, endpoint: str) -> bool:
        """Return whether an endpoint has requested a back-off."""


class _Search:
    """The search for a pin on one model, shared by all its waiters."""

    def __init__(self, model: str) -> None:
        self.model = model
        self.waiters: list[Waiter] = []
        self.candidates: list[str] = []
        self.nonce = 0
        self.endpoint = ""
        self.owner: str | None = None
        self.sent_at = 0.0
        self.backoff = MIN_RETRY_BACKOFF
        self.all_were_full = True

    def pick_priority(self) -> str:
        """Return the most urgent priority among the waiters."""
        return min((w.priority for w in self.waiters), key=PRIORITY_RANKS.__getitem__)

    def pick_deadline(self) -> float:
        """Return the latest deadline among the waiters."""
        return max(w.deadline for w in self.waiters)


class PinRequester:
    """Obtain pins for the requests of one process."""

    def __init__(self, host: Host, table: PinTable) -> None:
        self.table = table
        self._host = host
        self._router: Router | None = None
        self._widths: dict[str, int] = {}
        self._searches: dict[str, _Search] = {}
        self._levels: dict[str, tuple[int, int]] = {}
        self._refused_at: dict[str, float] = {}
        self._handlers: dict[type, Callable] = {
            Grant: self._handle_grant,
            Refuse: self._handle_refuse,
            Recall: self._handle_recall,
            Inquire: self._handle_inquire,
            Level: self._handle_level,
        }

    @property
    def message_types(self) -> tuple[type, ...]:
        """Return the message types that ``receive`` handles."""
        return tuple(self._handlers)

    def set_router(self, router: Router, widths: dict[str, int]) -> None:
        """Set the router of a bundle's endpoints and their batch sizes."""
        self._router = router
        self._widths = widths

    def close(self) -> None:
        """Fail all requests that still wait for a pin."""
        for search in list(self._searches.values()):
            self._fail(search, NoEndpoint("the instance is shutting down"))

    def place(self, model: str, waiter: Waiter) -> None:
        """Find a pin for a request, at once or later."""
        search = self._searches.get(model)
        if search is not None:
            self._join_search(search, waiter)
            return
        pin, candidates = self._plan(model)
        if pin is not None:
            waiter.on_pin(pin)
            return
        search = self._searches[model] = _Search(model)
        search.waiters.append(waiter)
        self._start_search(search, candidates)

    def end(self, pin: HeldPin) -> None:
        """Record that a request under a pin has ended."""
        release = self.table.end(pin, self._host.now())
        if release is not None:
            self._send_release(release)

    def record_refusal(self, endpoint: str) -> None:
        """Prefer other endpoints for a while, as this one says it is full."""
        self._refused_at[endpoint] = self._host.now()

    def receive(self, sender: str, message: object) -> None:
        """Handle a message from an owner."""
        self._handlers[type(message)](sender, message)

    def tick(self) -> None:
        """Release idle pins, expire waiters and check outstanding requests."""
        now = self._host.now()
        for release in self.table.return_idle(now):
            self._send_release(release)
        for search in list(self._searches.values()):
            self._expire_waiters(search, now)
            if search.nonce and search.waiters:
                self._check_request(search, now)

    def report(self) -> None:
        """Report to the owners which pins are held."""
        for report in self.table.list_reports():
            owner = self._host.find_owner(report.endpoint)
            if owner is not None:
                self._host.send(owner, report)

    # Planning.

    def _plan(self, model: str) -> tuple[HeldPin | None, Iterable[str]]:
        """Return a pin to use, or the endpoints to request one for."""
        if self._router is None:
            return None, ()
        pins = {pin.endpoint: pin for pin in self.table.find(model)}
        plan = self._router.plan(model, list(pins), self._compute_fill)
        if plan.use is not None:
            return pins[plan.use], ()
        return None, plan.ask

    def _compute_fill(self, endpoint: str) -> float:
        """Return how full an endpoint is: 1 is a full batch.

        The owner's figure lags, so it is corrected by the requests that this
        process has started and ended since. An endpoint that has requested a
        back-off counts as infinitely full, one that has refused a run as full.
        """
        if self._host.is_backing_off(endpoint):
            return math.inf
        local_running = self.table.count_running(endpoint)
        running, local_at_report = self._levels.get(endpoint, (0, 0))
        width = self._widths.get(endpoint, 1)
        fill = max(local_running, running + local_running - local_at_report) / width
        return max(1.0, fill) if self._has_refused(endpoint) else fill

    def _has_refused(self, endpoint: str) -> bool:
        """Return whether an endpoint refused a run within the last moment."""
        refused_at = self._refused_at.get(endpoint, -math.inf)
        return self._host.now() - refused_at < REFUSAL_VALIDITY

    def _pick_below_limit(self, search: _Search) -> HeldPin | None:
        """Return a pin at the least full endpoint below the admission limit.

        Such an endpoint may have a full batch; the limit depends on the most
        urgent priority that waits.
        """
        pins = self.table.find(search.model)
        fill = lambda pin: self._compute_fill(pin.endpoint)
        pin = min(pins, key=fill, default=None)
        if pin is None or fill(pin) >= DEFAULT_LIMITS.max_fill[search.pick_priority()]:
            return None
        return pin

    # Requesting pins.

    def _join_search(self, search: _Search, waiter: Waiter) -> None:
        previous_priority = search.pick_priority() if search.waiters else ""
        search.waiters.append(waiter)
        if search.nonce and search.pick_priority() != previous_priority:
            self._send_acquire(search)

    def _start_search(self, search: _Search, candidates: Iterable[str]) -> None:
        accepting = [
            endpoint
            for endpoint in candidates
            if not self._host.is_backing_off(endpoint)
        ]
        # Their owners may not know yet that the last of these are full.
        search.candidates = sorted(accepting, key=self._has_refused)
        search.all_were_full = bool(search.candidates)
        self._request_next(search)

    def _request_next(self, search: _Search) -> None:
        search.nonce = 0
        if not search.candidates:
            self._finish_or_retry(search)
            return
        search.endpoint = search.candidates.pop(0)
        search.owner = self._host.find_owner(search.endpoint)
        if search.owner is None:
            search.all_were_full = False
            self._request_next(search)
            return
        deadline = search.pick_deadline()
        search.nonce = self.table.open_request(search.endpoint, search.model, deadline)
        if not self._send_acquire(search):
            self.table.cancel(search.nonce)
            search.all_were_full = False
            self._request_next(search)

    def _send_acquire(self, search: _Search) -> bool:
        search.sent_at = self._host.now()
        acquire = Acquire(
            search.endpoint,
            search.nonce,
            search.model,
            search.pick_priority(),
            search.pick_deadline() - search.sent_at,
            not search.candidates,
        )
        return self._host.send(search.owner, acquire)

    def _finish_or_retry(self, search: _Search) -> None:
        pin = self._pick_below_limit(search)
        if pin is not None:
            self._finish(search, pin)
            return
        if search.all_were_full:
            self._fail(search, Overloaded("every endpoint is full", 1.0))
            return
        self._host.call_later(search.backoff, lambda: self._retry(search))
        search.backoff = min(MAX_RETRY_BACKOFF, 2 * search.backoff)

    def _retry(self, search: _Search) -> None:
        if self._searches.get(search.model) is not search or not search.waiters:
            return
        pin, candidates = self._plan(search.model)
        if pin is not None:
            self._finish(search, pin)
        else:
            self._start_search(search, candidates)

    def _finish(self, search: _Search, pin: HeldPin) -> None:
        self._searches.pop(search.model, None)
        for waiter in search.waiters:
            waiter.on_pin(pin)

    def _fail(self, search: _Search, error: RoadliftError) -> None:
        self._searches.pop(search.model, None)
        for waiter in search.waiters:
            waiter.on_error(error)

    def _expire_waiters(self, search: _Search, now: float) -> None:
        expired = [waiter for waiter in search.waiters if waiter.deadline <= now]
        if not expired:
            return
        search.waiters = [w for w in search.waiters if w.deadline > now]
        if not search.waiters:
            self._searches.pop(search.model, None)
            self.table.cancel(search.nonce)
        for waiter in expired:
            waiter.on_error(NoEndpoint("no endpoint in time", 1.0))

    def _check_request(self, search: _Search, now: float) -> None:
        """Request a pin again if the owner changed or has not answered."""
        if self._host.find_owner(search.endpoint) != search.owner:
            self.table.cancel(search.nonce)
            search.all_were_full = False
            self._request_next(search)
        elif now - search.sent_at >= RESEND_INTERVAL:
            self._send_acquire(search)

    # Messages.

    def _handle_grant(self, sender: str, grant: Grant) -> None:
        search = self._find_search(grant.nonce)
        pin = self.table.accept(grant, self._host.now())
        local_running = self.table.count_running(grant.endpoint)
        self._levels[grant.endpoint] = (grant.running, local_running + 1)
        if search is None:
            return
        if pin is None:
            # The request is closed now; waiters that are left need another.
            search.all_were_full = False
            self._request_next(search)
        else:
            self._finish(search, pin)

    def _handle_refuse(self, sender: str, refuse: Refuse) -> None:
        search = self._find_search(refuse.nonce)
        self.table.cancel(refuse.nonce)
        if search is None:
            return
        if refuse.reason not in (RefusalReason.FULL, RefusalReason.BUSY):
            search.all_were_full = False
        self._request_next(search)

    def _handle_recall(self, sender: str, recall: Recall) -> None:
        release = self.table.recall(recall.endpoint, recall.copy)
        if release is not None:
            self._send_release(release)

    def _handle_inquire(self, sender: str, inquire: Inquire) -> None:
        self._host.send(sender, self.table.report(inquire.endpoint))

    def _handle_level(self, sender: str, level: Level) -> None:
        local_running = self.table.count_running(level.endpoint)
        self._levels[level.endpoint] = (level.running, local_running)

    def _find_search(self, nonce: int) -> _Search | None:
        for search in self._searches.values():
            if search.nonce == nonce:
                return search
        return None

    def _send_release(self, release: Release) -> None:
        owner = self._host.find_owner(release.endpoint)
        if owner is not None:
            self._host.send(owner, release)
