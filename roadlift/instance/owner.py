"""Give orders to the engines of the zones whose lease this process holds."""

from collections.abc import Callable

from roadlift.core.errors import Outcome, RoadliftError
from roadlift.core.kernel import Kernel, parts
from roadlift.core.logs import PartLog
from roadlift.daemon.transport import Transport
from roadlift.instance.follower import Follower
from roadlift.instance.leases import Leases
from roadlift.instance.measures import Measures
from roadlift.instance.platform import Platform
from roadlift.relay.upstream import Answer, fetch
from roadlift.serving.calls import Model
from roadlift.serving.directory import Endpoint, encode_endpoint
from roadlift.serving.engine import BaseLoads, EngineBook, LoadTimes, Plan
from roadlift.serving.messages import (
    Ask,
    Denial,
    Listing,
    ListNews,
    News,
    Pulse,
    Subscribe,
)
from roadlift.serving.orders import EngineReport, Order, OrderResult

# Seconds for the answer to an order, which comes within some milliseconds and
# may be sent again without harm: every unanswered one holds up its engine.
ORDER_TIMEOUT = 0.06
REPORT_TIMEOUT = 0.5  # Seconds for the answer to the question for a report.
REPORT_PAUSE = 0.3  # Seconds between tries to read an engine's report.
# Seconds between hand-backs of one zone's lease to the zone's own instances:
# where none of them takes it, the zone has no owner for some seconds.
HAND_BACK_PERIOD = 10.0
SUBSCRIBER_LIMIT = 4.0  # Seconds of silence after which a subscriber is gone.

log = PartLog("owner")


class OwnedEngine:
    """One engine under this owner: its book, and the orders on their way."""

    def __init__(
        self, kernel: Kernel, zone: str, endpoint: Endpoint, book: EngineBook
    ) -> None:
        self._kernel = kernel
        self._orders = kernel.get(Platform).adapter.orders
        self._lease = kernel.get(Leases).get(zone)
        self._measures = kernel.get(Measures)
        self._process = kernel.settings.instance
        self._timer = None
        self._is_reading = False
        self._is_open = True
        self.endpoint = endpoint
        self.book = book
        self.on_change: Callable[[OwnedEngine], None] = lambda engine: None
        self.on_report: Callable[[OwnedEngine], None] = lambda engine: None

    def close(self) -> None:
        """Give no more orders."""
        self._is_open = False
        if self._timer is not None:
            self._timer.close()

    def advance(self) -> None:
        """Send the next order or read the report, where that is due."""
        if not self._is_open or self._is_reading:
            return
        if self._timer is not None:
            self._timer.close()
            self._timer = None
        now = self._kernel.clock.now()
        if self.book.needs_report and self.book.is_idle:
            # A report is no order: it may be read while the owner is quiet,
            # so that what is loaded already is used at once.
            pause = self.book.measure_pause(now)
            self._wait(pause) if pause > 0 else self._read_report()
            return
        if not self._lease.may_order(now):
            self._wait(max(0.05, self._lease.orders_from - now))
            return
        while (plan := self.book.plan(now)) is not None:
            self._send(plan)
        if self.book.take_peek(now):
            self._fetch_report(self._take_arrivals, self._fail_peek)
        if self.book.denied:
            self.on_change(self)
        wait = self.book.measure_wait(now)
        if wait is not None:
            self._wait(max(0.005, wait))

    def _wait(self, seconds: float) -> None:
        self._timer = self._kernel.loop.call_later(seconds, self.advance)

    def _send(self, plan: Plan) -> None:
        order = Order(
            plan.action,
            plan.model,
            plan.version,
            self.book.sequence,
            self._process,
            self._lease.fence,
            lambda: self._lease.may_order(self._kernel.clock.now()),
        )
        request = self._orders.build_order(order, self.endpoint)
        judge = self._orders.judge_order
        fetch(
            self._kernel.dialer,
            self.endpoint.address,
            request,
            lambda answer: self._take_result(plan, order, judge(answer), answer.status),
            lambda error: self._take_failure(plan, order, error),
            ORDER_TIMEOUT,
        )

    def _take_failure(self, plan: Plan, order: Order, error: RoadliftError) -> None:
        is_sent = error.outcome is not Outcome.NOT_RUN
        result = OrderResult.UNKNOWN if is_sent else OrderResult.NOT_SENT
        self._take_result(plan, order, result, str(error))

    def _take_result(
        self, plan: Plan, order: Order, result: OrderResult, said: object
    ) -> None:
        if not self._is_open:
            return
        self._measures.count("roadlift_orders", str(order.action), result.value)
        log.event(
            "order",
            action=order.action,
            endpoint=self.endpoint.id,
            model=str(order.model),
            version=order.version,
            sequence=order.sequence,
            fence=order.fence,
            is_poll=plan.is_poll,
            tries=plan.tries,
            result=result.value,
            said=said,
        )
        self.book.note_result(plan, result, self._kernel.clock.now())
        self.on_change(self)
        self.advance()

    def _read_report(self) -> None:
        self._is_reading = True
        self._fetch_report(self._take_report, self._fail_report)

    def _fetch_report(
        self,
        on_report: Callable[[EngineReport], None],
        on_error: Callable[[RoadliftError], None],
    ) -> None:
        """Read the engine's report, and pass it on while this is open."""

        def take(answer: Answer) -> None:
            """Read the answer."""
            if not self._is_open:
                return
            try:
                report = self._orders.read_report(answer)
            except RoadliftError as error:
                on_error(error)
                return
            log.event(
                "report",
                endpoint=self.endpoint.id,
                sequence=report.sequence,
                held=len(report.held),
                arriving=len(report.arriving),
            )
            on_report(report)
            self.advance()

        fetch(
            self._kernel.dialer,
            self.endpoint.address,
            self._orders.build_report(self.endpoint),
            take,
            lambda error: on_error(error) if self._is_open else None,
            REPORT_TIMEOUT,
        )

    def _take_report(self, report: EngineReport) -> None:
        self._is_reading = False
        self.book.take_report(report, self._kernel.clock.now())
        self.on_report(self)

    def _take_arrivals(self, report: EngineReport) -> None:
        self.book.note_arrivals(report, self._kernel.clock.now())
        self.on_change(self)

    def _fail_peek(self, error: RoadliftError) -> None:
        log.event("report_failed", endpoint=self.endpoint.id, error=str(error))

    def _fail_report(self, error: RoadliftError) -> None:
        self._is_reading = False
        if self._is_open:
            log.event("report_failed", endpoint=self.endpoint.id, error=str(error))
            self.book.deny_wanted()
            self.on_change(self)
            self._wait(REPORT_PAUSE)


class Term:
    """This process's time as the owner of one zone."""

    def __init__(self, kernel: Kernel, zone: str, fence: int) -> None:
        self._kernel = kernel
        self._transport = kernel.get(Transport)
        self._follower = kernel.get(Follower)
        self._zone = zone
        self._serial = 0
        self._subscribers: dict[str, float] = {}
        self._home_subscribers: set[str] = set()
        self._list_serial = 0
        self._relayed: dict[str, Endpoint] = {}
        self._times = LoadTimes()
        self._base_loads: BaseLoads | None = None
        self.fence = fence
        self.engines: dict[str, OwnedEngine] = {}

    def close(self) -> None:
        """Give no more orders, and tell that an owner may be looked for."""
        for engine in self.engines.values():
            engine.close()
        pulse = self._make_pulse(self._kernel.clock.now(), 0.0)
        for address in self._subscribers:
            self._transport.send(address, pulse)

    def update(self) -> None:
        """Take up new engines of the zone, and drop those that left."""
        configuration = self._follower.configuration
        if configuration is None:
            return
        found = {}
        for endpoint in self._follower.directory.list_all():
            service = configuration.services.get(endpoint.service)
            is_engine = service is not None and service.engine is not None
            if endpoint.zone == self._zone and is_engine and not endpoint.is_draining:
                found[endpoint.id] = (endpoint, service.engine)
        for gone in set(self.engines) - set(found):
            self.engines.pop(gone).close()
        for endpoint, shape in found.values():
            if endpoint.id not in self.engines:
                self._add(endpoint, shape)
        self._relay_list()

    def _relay_list(self) -> None:
        """Tell the zone's own instances what changed in the list."""
        known = {one.id: one for one in self._follower.directory.list_all()}
        changed = [one for one in known.values() if self._relayed.get(one.id) != one]
        gone = set(self._relayed) - set(known)
        self._relayed = known
        if not changed and not gone:
            return
        self._list_serial += 1
        encoded = [encode_endpoint(one) for one in changed]
        news = ListNews(
            self._zone, self.fence, self._list_serial, False, encoded, list(gone)
        )
        for address in self._home_subscribers & set(self._subscribers):
            self._transport.send(address, news)

    def _send_list(self, address: str) -> None:
        """Tell one instance the whole list."""
        encoded = [encode_endpoint(one) for one in self._relayed.values()]
        news = ListNews(self._zone, self.fence, self._list_serial, True, encoded, [])
        self._transport.send(address, news)

    def _add(self, endpoint: Endpoint, shape) -> None:
        bases = tuple(model.name for model in shape.models)
        if self._base_loads is None:
            zones = len(self._kernel.get(Leases).list_zones())
            self._base_loads = BaseLoads(shape.loads_per_second / zones)
        book = EngineBook(shape.adapter_slots, bases, self._times, self._base_loads)
        engine = OwnedEngine(self._kernel, self._zone, endpoint, book)
        engine.on_change = self._spread
        engine.on_report = self._spread_listing
        self.engines[endpoint.id] = engine
        engine.advance()

    def take_version(self, model: Model, version: int) -> None:
        """Retire the copies of an adapter that are older."""
        for engine in self.engines.values():
            engine.book.retire(model, version)
            self._spread(engine)

    def take_subscription(self, message: Subscribe) -> None:
        """Count the uses, and tell a subscriber what it lacks."""
        now = self._kernel.clock.now()
        self._subscribers[message.address] = now
        for endpoint, base, adapter, begun, running in message.uses:
            engine = self.engines.get(endpoint)
            if engine is None:
                continue
            model = Model(base, adapter)
            if begun:
                engine.book.note_use(model, begun, now)
            engine.book.note_running(message.address, model, running)
        if (message.fence, message.serial) != (self.fence, self._serial):
            for engine in self.engines.values():
                self._send_listing(message.address, engine)
        if message.home == self._zone:
            self._home_subscribers.add(message.address)
            if message.list_news != [self.fence, self._list_serial]:
                self._send_list(message.address)
        self._transport.send(message.address, self._make_pulse(now, message.at))

    def take_ask(self, message: Ask) -> None:
        """Load an adapter, or deny it."""
        now = self._kernel.clock.now()
        engine = self.engines.get(message.endpoint)
        model = Model(message.base, message.adapter)
        if engine is None or not self._is_ready(now):
            _deny(self._transport, message)
            return
        if message.is_missing:
            engine.book.note_missing(model)
        if engine.book.holds(model, message.least):
            version = engine.book.copies[model].version
            self._tell(message.address, engine, model, version)
            return
        if not engine.book.want(model, message.least, message.priority, now):
            _deny(self._transport, message)
            return
        engine.advance()

    def tick(self) -> None:
        """Drop subscribers that fell silent."""
        now = self._kernel.clock.now()
        for address, heard in list(self._subscribers.items()):
            if now - heard > SUBSCRIBER_LIMIT:
                del self._subscribers[address]
                self._home_subscribers.discard(address)
                for engine in self.engines.values():
                    engine.book.forget_instance(address)
                self._transport.disconnect(address)

    def _is_ready(self, now: float) -> bool:
        return self._kernel.get(Leases).get(self._zone).may_order(now)

    def _make_pulse(self, now: float, asked_at: float) -> Pulse:
        state = self._follower.describe_state()
        return Pulse(
            self._zone,
            self.fence,
            self._serial,
            len(self._subscribers),
            self._is_ready(now),
            [[name, one.book.count_running()] for name, one in self.engines.items()],
            list(state._replace(list_serial=self._list_serial)),
            asked_at,
        )

    def _send_listing(self, address: str, engine: OwnedEngine) -> None:
        if engine.book.needs_report and not engine.book.copies:
            # Nothing is known yet: what the last owner told still stands.
            return
        held = [
            [model.base, model.adapter, version]
            for model, version in engine.book.list_held().items()
        ]
        listing = Listing(
            self._zone, self.fence, self._serial, engine.endpoint.id, held
        )
        self._transport.send(address, listing)

    def _spread_listing(self, engine: OwnedEngine) -> None:
        """Tell every subscriber all that an engine holds."""
        engine.book.changes.clear()
        for address in list(self._subscribers):
            self._send_listing(address, engine)
        self._spread(engine)

    def _spread(self, engine: OwnedEngine) -> None:
        """Tell every subscriber what changed at an engine."""
        denied, engine.book.denied = engine.book.denied, []
        for model in denied:
            log.event("load_denied", endpoint=engine.endpoint.id, model=str(model))
            denial = Denial(self._zone, engine.endpoint.id, *model)
            for address in list(self._subscribers):
                self._transport.send(address, denial)
        changes, engine.book.changes = engine.book.changes, []
        for model, version in changes:
            self._serial += 1
            for address in list(self._subscribers):
                self._tell(address, engine, model, version)

    def _tell(
        self, address: str, engine: OwnedEngine, model: Model, version: int
    ) -> None:
        news = News(
            self._zone,
            self.fence,
            self._serial,
            engine.endpoint.id,
            model.base,
            model.adapter,
            version,
        )
        self._transport.send(address, news)


@parts.register("owner")
class Owner:
    """The terms of this process as an owner."""

    name = "owner"
    needs = ("follower", "leases", "measures", "transport")

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._leases = kernel.get(Leases)
        self._terms: dict[str, Term] = {}
        self._handed_back: dict[str, float] = {}
        self._timer = None
        follower = kernel.get(Follower)
        follower.on_directory.append(self._update)
        follower.on_configuration.append(lambda configuration: self._update())
        follower.on_version.append(self._take_version)
        self._leases.on_change.append(self._check_zone)
        transport = kernel.get(Transport)
        transport.subscribe((Subscribe,), self._take_subscription)
        transport.subscribe((Ask,), self._take_ask)

    def start(self) -> None:
        """Begin to look after the subscribers."""
        self._timer = self._kernel.loop.call_every(1.0, self._tick)

    def close(self) -> None:
        """Give no more orders."""
        self._timer.close()
        for term in self._terms.values():
            term.close()

    def _check_zone(self, zone: str) -> None:
        lease = self._leases.get(zone)
        term = self._terms.get(zone)
        if term is not None and (not lease.is_held or term.fence != lease.fence):
            self._terms.pop(zone).close()
            term = None
        if lease.is_held and term is None:
            self._terms[zone] = Term(self._kernel, zone, lease.fence)
            self._terms[zone].update()

    def _update(self) -> None:
        for term in self._terms.values():
            term.update()

    def _take_version(self, model: Model, version: int) -> None:
        for term in self._terms.values():
            term.take_version(model, version)

    def _take_subscription(self, sender: str, message: Subscribe) -> None:
        term = self._terms.get(message.zone)
        if term is None:
            return
        term.take_subscription(message)
        if self._may_hand_back(message):
            self._handed_back[message.zone] = self._kernel.clock.now()
            self._leases.hand_back(message.zone)

    def _may_hand_back(self, message: Subscribe) -> bool:
        """Tell whether a lease should go to the zone of its engines.

        When the zone is cut off, an owner inside it goes on for a while.
        """
        now = self._kernel.clock.now()
        is_home = message.home == message.zone and message.is_candidate
        if not is_home or message.zone == self._kernel.settings.zone:
            return False
        last = self._handed_back.get(message.zone, float("-inf"))
        is_due = now - last >= HAND_BACK_PERIOD
        return is_due and self._leases.get(message.zone).may_order(now)

    def _take_ask(self, sender: str, message: Ask) -> None:
        term = self._terms.get(message.zone)
        if term is not None:
            term.take_ask(message)
            return
        _deny(self._kernel.get(Transport), message)

    def _tick(self) -> None:
        for term in self._terms.values():
            term.tick()


def _deny(transport: Transport, ask: Ask) -> None:
    """Tell an instance that what it asked for will not be loaded soon."""
    denial = Denial(ask.zone, ask.endpoint, ask.base, ask.adapter)
    transport.send(ask.address, denial)
