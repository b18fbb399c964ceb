"""Hold this process's pins and place requests on pinned copies.

A request whose model is pinned on an endpoint that has room costs no
message. Otherwise the owners of the model's endpoints are asked in the order
of the ranking; requests that wait for the same model share one asking.
"""

from collections.abc import Callable
from typing import NamedTuple

from roadlift.core.errors import NoEndpoint, Overloaded, RoadliftError
from roadlift.core.kernel import Kernel, parts
from roadlift.daemon.bundles import Bundles
from roadlift.daemon.members import Members
from roadlift.daemon.transport import Transport
from roadlift.ownership.election import choose_owner
from roadlift.ownership.messages import (
    Acquire,
    Grant,
    Inquire,
    Level,
    Reason,
    Recall,
    Refuse,
    Release,
)
from roadlift.pins.table import HeldPin, PinTable
from roadlift.policy.admission import FULL_AT
from roadlift.policy.loads import RANKS
from roadlift.policy.placement import Placer, placers

TICK = 0.1  # Seconds between looks at open askings.
CANDIDATES = 3  # Endpoints that are asked for one model.
RETRY_PAUSE = 0.05  # Seconds before the candidates are asked again.
MOST_PAUSE = 1.0
ASK_AGAIN = 1.0  # Seconds until an unanswered asking is sent again.
SPILL_AT = 1.0  # Fill of a batch at which another endpoint is asked.

OnPin = Callable[[HeldPin], None]
OnError = Callable[[RoadliftError], None]


class Waiter(NamedTuple):
    """A request that waits for a pin; the deadline is in seconds."""

    priority: str
    deadline: float
    on_pin: OnPin
    on_error: OnError


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
        return min((w.priority for w in self.waiters), key=RANKS.__getitem__)

    def pick_deadline(self) -> float:
        """Return the last deadline among the waiters."""
        return max(w.deadline for w in self.waiters)


@parts.register("pins")
class Pins:
    """The pins of this process, and the search for them."""

    name = "pins"
    needs = ("bundles", "members", "transport")

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._members = kernel.get(Members)
        self._bundles = kernel.get(Bundles)
        self.table = PinTable(kernel.settings.pin_keep)
        self._searches: dict[str, _Search] = {}
        self._placer: Placer | None = None
        self._zones: dict[str, str] = {}
        self._levels: dict[str, tuple[int, int]] = {}
        self._widths: dict[str, int] = {}
        self._placed_for: tuple = ()
        self._timers = []

    def start(self) -> None:
        """Begin to hear owners and to look after the askings."""
        transport = self._kernel.get(Transport)
        transport.subscribe((Grant,), self._receive_grant)
        transport.subscribe((Refuse,), self._receive_refuse)
        transport.subscribe((Recall,), self._receive_recall)
        transport.subscribe((Level,), self._receive_level)
        transport.subscribe((Inquire,), self._receive_inquire)
        loop = self._kernel.loop
        self._timers = [
            loop.call_every(TICK, self._tick),
            loop.call_every(self._kernel.settings.report_period, self._report),
        ]

    def close(self) -> None:
        """Refuse who still waits."""
        for timer in self._timers:
            timer.close()
        for search in list(self._searches.values()):
            self._fail(search, NoEndpoint("the instance closes"))

    def place(self, model: str, waiter: Waiter) -> None:
        """Find a pin for a request, now or later."""
        pin = self._pick_pin(model, SPILL_AT)
        if pin is not None:
            waiter.on_pin(pin)
            return
        search = self._searches.get(model)
        if search is None:
            search = self._searches[model] = _Search(model)
            search.waiters.append(waiter)
            self._begin(search)
            return
        before = search.pick_priority()
        search.waiters.append(waiter)
        if search.nonce and search.pick_priority() != before:
            self._send_acquire(search)

    def end(self, pin: HeldPin) -> None:
        """Count a request under a pin as over."""
        release = self.table.end(pin, self._kernel.clock.now())
        if release is not None:
            self._release(release)

    def drop(self, pin: HeldPin) -> None:
        """Use a pin no more; its copy is gone."""
        self.table.drop(pin)

    def find_owner(self, endpoint: str) -> str | None:
        """Return the process that should own an endpoint."""
        zone = self._zones.get(endpoint)
        if zone is None:
            return None
        name = choose_owner(endpoint, self._members.list_zone(zone))
        return self._members.find_process(name) if name else None

    # Searching.

    def _pick_pin(self, model: str, most: float) -> HeldPin | None:
        """Return the pin at the emptiest endpoint below ``most``, or None."""
        pins = self.table.find(model)
        pin = min(pins, key=self._measure_fill, default=None)
        if pin is None or self._measure_fill(pin) >= most:
            return None
        return pin

    def _measure_fill(self, pin: HeldPin) -> float:
        """Return how full an endpoint is: 1 is a full batch.

        The owner's figure lags; it is corrected by what this process has
        started and ended since.
        """
        own = self.table.count_running(pin.endpoint)
        running, own_then = self._levels.get(pin.endpoint, (0, 0))
        width = self._widths.get(pin.endpoint, 1)
        return max(own, running + own - own_then) / width

    def _begin(self, search: _Search) -> None:
        self._refresh_placer()
        ranked = self._placer.rank(search.model, CANDIDATES)
        search.candidates = list(ranked)
        search.was_full = bool(ranked)
        self._ask_next(search)

    def _refresh_placer(self) -> None:
        """Rank only endpoints that have an owner in their zone.

        While an availability zone is cut off its instances count as dead
        here, and its endpoints are passed over.
        """
        alive = tuple(self._members.detector.list_members(0, 2))
        key = (self._bundles.chain.head, tuple(m.name for m in alive))
        if key == self._placed_for and self._placer is not None:
            return
        self._placed_for = key
        zones = {member.zone for member in alive}
        bundle = self._bundles.bundle
        usable = []
        for name in bundle.list_names("endpoints"):
            entry = bundle.get_endpoint(name)
            if entry["kind"] == "engine" and entry["zone"] in zones:
                usable.append(name)
                self._zones[name] = entry["zone"]
                self._widths[name] = entry["width"]
        self._placer = placers.get(self._kernel.settings.placer)(usable)

    def _ask_next(self, search: _Search) -> None:
        search.nonce = 0
        if not search.candidates:
            self._ask_again_later(search)
            return
        search.endpoint = search.candidates.pop(0)
        search.owner = self.find_owner(search.endpoint)
        if search.owner is None:
            self._ask_next(search)
            return
        deadline = search.pick_deadline()
        search.nonce = self.table.ask(search.endpoint, search.model, deadline)
        if not self._send_acquire(search):
            self.table.cancel(search.nonce)
            search.was_full = False
            self._ask_next(search)

    def _send_acquire(self, search: _Search) -> bool:
        search.sent_at = self._kernel.clock.now()
        wait = search.pick_deadline() - search.sent_at
        ask = Acquire(
            search.endpoint,
            search.nonce,
            search.model,
            search.pick_priority(),
            wait,
            not search.candidates,
        )
        return self._members.send(search.owner, ask)

    def _ask_again_later(self, search: _Search) -> None:
        pin = self._pick_pin(search.model, FULL_AT[search.pick_priority()])
        if pin is not None:
            self._finish(search, pin)
            return
        if search.was_full:
            self._fail(search, Overloaded("every endpoint is full", 1.0))
            return
        self._kernel.loop.call_later(search.pause, lambda: self._retry(search))
        search.pause = min(MOST_PAUSE, 2 * search.pause)

    def _retry(self, search: _Search) -> None:
        if self._searches.get(search.model) is search and search.waiters:
            self._begin(search)

    def _finish(self, search: _Search, pin: HeldPin) -> None:
        self._searches.pop(search.model, None)
        for waiter in search.waiters:
            waiter.on_pin(pin)

    def _fail(self, search: _Search, error: RoadliftError) -> None:
        self._searches.pop(search.model, None)
        for waiter in search.waiters:
            waiter.on_error(error)

    # Messages.

    def _receive_grant(self, sender: str, grant: Grant) -> None:
        search = self._find_search(grant.nonce)
        pin = self.table.accept(grant, self._kernel.clock.now())
        own = self.table.count_running(grant.endpoint)
        self._levels[grant.endpoint] = (grant.running, own + 1)
        if pin is not None and search is not None:
            self._finish(search, pin)

    def _receive_refuse(self, sender: str, refuse: Refuse) -> None:
        search = self._find_search(refuse.nonce)
        self.table.cancel(refuse.nonce)
        if search is None:
            return
        if refuse.reason not in (Reason.FULL, Reason.BUSY):
            search.was_full = False
        self._ask_next(search)

    def _receive_recall(self, sender: str, recall: Recall) -> None:
        release = self.table.recall(recall.endpoint, recall.copy)
        if release is not None:
            self._release(release)

    def _receive_inquire(self, sender: str, inquire: Inquire) -> None:
        self._members.send(sender, self.table.report(inquire.endpoint))

    def _receive_level(self, sender: str, level: Level) -> None:
        own = self.table.count_running(level.endpoint)
        self._levels[level.endpoint] = (level.running, own)

    def _find_search(self, nonce: int) -> _Search | None:
        for search in self._searches.values():
            if search.nonce == nonce:
                return search
        return None

    def _release(self, release: Release) -> None:
        owner = self.find_owner(release.endpoint)
        if owner is not None:
            self._members.send(owner, release)

    # Time.

    def _tick(self) -> None:
        now = self._kernel.clock.now()
        for release in self.table.return_idle(now):
            self._release(release)
        for search in list(self._searches.values()):
            self._expire(search, now)
            if search.nonce and search.waiters:
                self._follow(search, now)

    def _follow(self, search: _Search, now: float) -> None:
        """Ask anew where the owner has changed, or may not have heard."""
        if self.find_owner(search.endpoint) != search.owner:
            self.table.cancel(search.nonce)
            search.was_full = False
            self._ask_next(search)
        elif now - search.sent_at >= ASK_AGAIN:
            self._send_acquire(search)

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

    def _report(self) -> None:
        for report in self.table.list_reports():
            owner = self.find_owner(report.endpoint)
            if owner is not None:
                self._members.send(owner, report)
