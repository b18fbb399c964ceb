"""Own the endpoints that fall to this instance, and give their orders.

The decisions are the Book's; this part carries them. No takeover, order or
pin costs a store call.
"""

from roadlift.bundles.directory import Endpoint
from roadlift.core.errors import RoadliftError
from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.daemon.bundles import Bundles
from roadlift.daemon.members import Members
from roadlift.daemon.pins import Pins
from roadlift.daemon.takeover import Ask, OnAnswer, Opening, Takeover
from roadlift.daemon.transport import Transport
from roadlift.endpoints.api import EngineLoad, engine_apis
from roadlift.ownership.election import choose_owner
from roadlift.ownership.messages import (
    Acquire,
    Census,
    Count,
    Level,
    RefusalReason,
    Refuse,
    Release,
    Report,
)
from roadlift.ownership.orders import LOAD, Order, OrderResult
from roadlift.ownership.record import (
    UNKNOWN_PROCESS,
    EndpointProperties,
    EndpointRecord,
    Outgoing,
    OwnershipPolicy,
)
from roadlift.policy.eviction import evictors
from roadlift.policy.loads import LoadGate, QueuedRequest
from roadlift.relay.address import Address
from roadlift.relay.upstream import Answer, Request, fetch

TICK = 0.05  # Seconds between looks at what to order next.
ELECT_PERIOD = 0.5  # Seconds between looks at who owns what.
WATCH_PERIOD = 1.0  # Seconds between load reports of an endpoint.
LIST_EVERY = 5  # Load reports between two lists of the loaded copies.
SILENT_PERIODS = 3  # Report periods until a silent holder is asked.
# Seconds that heartbeats must agree on the processes known before copies of
# earlier epochs may be evicted.
AGREED_SECONDS = 4.0
CENSUS_PERIOD = 1.0  # Seconds until a census is asked again.

log = ComponentLog("owners")


class OwnedEndpoint:
    """An endpoint of which this process is, or becomes, the owner."""

    def __init__(self, name: str, address: Address) -> None:
        self.name = name
        self.address = address
        self.book: EndpointRecord | None = None
        self.is_opening = False
        self.has_tried = False
        self.load = EngineLoad("", 0, 0)
        self.reports = 0
        self.census_at = 0.0
        self.fill_sum = 0.0
        self.fills = 0

    def note_load(self, load: EngineLoad) -> None:
        """Keep a load report, and count how full the batch was."""
        self.load = load
        self.reports += 1
        if load.running and self.book is not None:
            self.fill_sum += min(1.0, load.running / self.book.properties.width)
            self.fills += 1


@components.register("owners")
class Owners:
    """The endpoints that this process owns."""

    name = "owners"
    needs = ("bundles", "members", "pins", "transport")

    def __init__(self, kernel: Kernel) -> None:
        settings = kernel.settings
        self._kernel = kernel
        self._settings = settings
        self._members = kernel.get(Members)
        self._bundles = kernel.get(Bundles)
        self._pins = kernel.get(Pins)
        self._api = engine_apis.get(settings.engine_api)()
        self._terms = OwnershipPolicy(
            evictors.get(settings.evictor)(),
            SILENT_PERIODS * settings.report_period,
        )
        self._gate = LoadGate()
        self._owned: dict[str, OwnedEndpoint] = {}
        self._timers = []
        self._elected_for: tuple = ()
        self._wanted: set[str] = set()
        self.takeovers = 0

    def start(self) -> None:
        """Begin to elect and to order."""
        transport = self._kernel.get(Transport)
        transport.subscribe((Acquire,), self._receive_acquire)
        transport.subscribe((Release,), self._receive_release)
        transport.subscribe((Report,), self._receive_report)
        transport.subscribe((Census,), self._receive_census)
        transport.subscribe((Count,), self._receive_count)
        loop = self._kernel.loop
        self._timers = [
            loop.call_every(TICK, self._tick),
            loop.call_every(ELECT_PERIOD, self._elect),
            loop.call_every(WATCH_PERIOD, self._watch),
        ]
        self._members.listen(self._elect)

    def close(self) -> None:
        """Stop giving orders."""
        for timer in self._timers:
            timer.close()
        self._owned.clear()

    def list_owned(self) -> list[OwnedEndpoint]:
        """Return the endpoints whose book is open, by name."""
        return [o for _, o in sorted(self._owned.items()) if o.book is not None]

    @property
    def is_settled(self) -> bool:
        """Return whether each endpoint that falls to this instance was met.

        One that could not be opened at the first try does not count: it may
        be gone for long, and the others serve meanwhile.
        """
        if not self._members.is_settled or not self._elected_for:
            return False
        owned = [self._owned.get(name) for name in self._wanted]
        return all(one is not None and one.has_tried for one in owned)

    # Elections and takeovers.

    def _elect(self) -> None:
        """Open the books that fall to this instance.

        Who owns what is recomputed only after a change of the endpoints
        or of the zone's instances.
        """
        self._drop_dead()
        if not self._members.is_settled:
            return
        own = self._members.detector.local_member
        directory = self._bundles.directory
        zone = tuple(self._members.list_zone(own.zone))
        if (directory, zone) != self._elected_for:
            self._elected_for = (directory, zone)
            self._wanted = {
                endpoint.name
                for endpoint in directory.list_engines(own.zone)
                if choose_owner(endpoint.name, zone) == own.name
            }
        for name in self._wanted:
            self._open(directory.find(name))
        for name in set(self._owned) - self._wanted:
            if directory.find(name) is None or self._owned[name].book is None:
                del self._owned[name]

    def _drop_dead(self) -> None:
        for owned in self.list_owned():
            for process in owned.book.list_holders() | owned.book.unproven:
                if self._members.detector.is_gone(process):
                    owned.book.remove_dead(process)

    def _open(self, endpoint: Endpoint) -> None:
        owned = self._owned.get(endpoint.name)
        if owned is None:
            owned = OwnedEndpoint(endpoint.name, endpoint.address)
            self._owned[endpoint.name] = owned
        if owned.book is not None and owned.book.is_superseded:
            self._drop_book(owned)
        if owned.book is not None or owned.is_opening:
            return
        owned.is_opening = True
        takeover = Takeover(
            self._ask_endpoint(owned),
            self._api,
            endpoint.fences,
            self._members.process,
            self._pins.table.get_epoch(endpoint.name),
        )
        takeover.start(lambda opening: self._open_book(owned, opening))

    def _ask_endpoint(self, owned: OwnedEndpoint) -> Ask:
        """Return a function that asks an endpoint; None is no answer."""

        def ask(request: Request, on_answer: OnAnswer) -> None:
            """Send one request to the endpoint."""
            timeout = self._settings.connect_timeout
            fail = lambda error: on_answer(None)
            fetch(self._kernel.dialer, owned.address, request, on_answer, fail, timeout)

        return ask

    def _open_book(self, owned: OwnedEndpoint, opening: Opening | None) -> None:
        owned.is_opening = False
        owned.has_tried = True
        endpoint = self._bundles.directory.find(owned.name)
        if opening is None or endpoint is None:
            return
        if self._owned.get(owned.name) is not owned:
            return
        book = EndpointRecord(
            owned.name,
            self._members.process,
            opening.epoch,
            EndpointProperties(endpoint.fences, endpoint.slots, endpoint.width),
            self._terms,
        )
        book.open(opening.names, self._kernel.clock.now())
        owned.book = book
        owned.note_load(opening.load)
        self.takeovers += 1
        log.info("Endpoint %s is owned in epoch %x.", owned.name, opening.epoch)
        self._count_own_pins(book)
        self._take_census(owned)

    def _count_own_pins(self, book: EndpointRecord) -> None:
        census = Census(book.endpoint, book.epoch)
        count = self._pins.table.count(census, [])
        if count is not None:
            book.receive_count(self._members.process, count)

    def _take_census(self, owned: OwnedEndpoint) -> None:
        """Ask every process that may hold a pin and has not answered."""
        book = owned.book
        now = self._kernel.clock.now()
        owned.census_at = now + CENSUS_PERIOD
        detector = self._members.detector
        book.expect_answers(detector.list_unproven())
        is_old = now - book.opened_at >= AGREED_SECONDS
        if is_old and detector.has_agreed(AGREED_SECONDS):
            book.confirm_membership()
        for process in book.unproven - {UNKNOWN_PROCESS}:
            self._members.send(process, Census(book.endpoint, book.epoch))

    # Messages.

    def _find_book(self, endpoint: str) -> EndpointRecord | None:
        owned = self._owned.get(endpoint)
        return owned.book if owned else None

    def _receive_acquire(self, sender: str, ask: Acquire) -> None:
        book = self._find_book(ask.endpoint)
        if book is None:
            is_opening = ask.endpoint in self._owned
            reason = (
                RefusalReason.TAKING_OVER if is_opening else RefusalReason.NOT_OWNER
            )
            self._members.send(sender, Refuse(ask.endpoint, ask.nonce, reason, 0.1))
            return
        self._send(book.acquire(sender, ask, self._kernel.clock.now()))
        self._order_next(self._owned[ask.endpoint])

    def _receive_release(self, sender: str, message: Release) -> None:
        book = self._find_book(message.endpoint)
        if book is not None:
            book.release(sender, message)
            self._order_next(self._owned[message.endpoint])

    def _receive_report(self, sender: str, report: Report) -> None:
        book = self._find_book(report.endpoint)
        if book is not None:
            book.receive_report(sender, report, self._kernel.clock.now())
            level = Level(report.endpoint, book.count_running())
            self._members.send(sender, level)

    def _receive_census(self, sender: str, census: Census) -> None:
        if sender == self._members.process:
            return
        yielded: list[int] = []
        owned = self._owned.get(census.endpoint)
        if owned is not None and owned.book is not None:
            if owned.book.epoch >= census.epoch:
                return
            yielded = owned.book.yield_epoch()
            self._drop_book(owned)
            log.info("Endpoint %s is handed over to %s.", owned.name, sender)
        count = self._pins.table.count(census, yielded)
        if count is not None:
            self._members.send(sender, count)

    def _drop_book(self, owned: OwnedEndpoint) -> None:
        """Close a book, and send who waits at it to the next one."""
        book, owned.book = owned.book, None
        for wait in book.waiting.pop_expired(float("inf")):
            refusal = Refuse(book.endpoint, wait.nonce, RefusalReason.NOT_OWNER, 0.1)
            self._members.send(wait.holder, refusal)

    def _receive_count(self, sender: str, count: Count) -> None:
        book = self._find_book(count.endpoint)
        if book is not None:
            book.receive_count(sender, count)

    def _send(self, outgoing: list[Outgoing]) -> None:
        for one in outgoing:
            self._members.send(one.to, one.message)

    # Orders.

    def _tick(self) -> None:
        now = self._kernel.clock.now()
        for owned in self.list_owned():
            self._send(owned.book.expire(now))
            self._send(owned.book.request_reports(now))
            if now >= owned.census_at:
                self._take_census(owned)
            self._order_next(owned)

    def _order_next(self, owned: OwnedEndpoint) -> None:
        """Give the orders that are due, one after the other."""
        while owned.book is not None:
            now = self._kernel.clock.now()
            order, recalls = owned.book.choose_order(now, self._try_load)
            self._send(recalls)
            if order is None:
                return
            self._give_order(owned, owned.book, order)

    def _try_load(self, wait: QueuedRequest) -> bool:
        return self._gate.try_start(wait, self._kernel.clock.now())

    def _give_order(
        self, owned: OwnedEndpoint, book: EndpointRecord, order: Order
    ) -> None:
        began = self._kernel.clock.now()
        path = self._find_path(order.model) if order.verb == LOAD else ""

        def finish(result: OrderResult) -> None:
            """Tell the gate and the book how it ended."""
            if order.verb == LOAD:
                now = self._kernel.clock.now()
                self._gate.finish(order.priority, now - began, now)
            if result is not OrderResult.DONE:
                log.warning("Order %s %s: %s.", order.verb, order.copy, result.value)
            self._send(book.finish_order(order, result, self._kernel.clock.now()))
            if owned.book is book:
                self._order_next(owned)

        def receive(answer: Answer) -> None:
            """Judge the endpoint's answer."""
            finish(self._api.classify_order(order, answer))

        def fail(error: RoadliftError) -> None:
            """Distinguish what was never sent from what may have run."""
            never_sent = error.outcome == "not_run"
            finish(OrderResult.REFUSED if never_sent else OrderResult.UNKNOWN)

        if order.verb == LOAD and path is None:
            self._kernel.loop.call_later(0, lambda: finish(OrderResult.REFUSED))
            return
        request = self._api.build_order(order, path)
        timeout = self._settings.load_timeout
        fetch(self._kernel.dialer, owned.address, request, receive, fail, timeout)

    def _find_path(self, model: str) -> str | None:
        found = self._bundles.find_model(model)
        return found.path if found else None

    # Watching endpoints.

    def _watch(self) -> None:
        for owned in self.list_owned():
            self._ask_load_report(owned)

    def _ask_load_report(self, owned: OwnedEndpoint) -> None:
        def receive(answer: Answer | None) -> None:
            """Look for a restart of the endpoint."""
            if owned.book is None or answer is None:
                return
            try:
                load = self._api.read_load_report(answer)
            except (RoadliftError, ValueError) as error:
                log.warning("No load report of %s: %s.", owned.name, error)
                return
            restarted = owned.load.incarnation != load.incarnation
            owned.note_load(load)
            if restarted:
                log.warning("Endpoint %s has restarted.", owned.name)
                self._drop_book(owned)
                self._elect()
            elif owned.reports % LIST_EVERY == 0:
                self._ask_list(owned, owned.book)

        self._ask_endpoint(owned)(self._api.build_load_report(), receive)

    def _ask_list(self, owned: OwnedEndpoint, book: EndpointRecord) -> None:
        asked_at = self._kernel.clock.now()

        def receive(answer: Answer | None) -> None:
            """Compare the list with the book."""
            if owned.book is not book or answer is None or answer.status != 200:
                return
            names = self._api.read_list(answer)
            book.reconcile(names, asked_at, self._kernel.clock.now())

        self._ask_endpoint(owned)(self._api.build_list(), receive)
