"""Carry orders to one engine, and read its reports."""

from collections.abc import Callable

from roadlift.core.errors import (
    ConnectionRefused,
    EndpointFailed,
    Outcome,
    RoadliftError,
)
from roadlift.core.kernel import Kernel
from roadlift.core.logs import PartLog
from roadlift.instance.leases import Leases
from roadlift.instance.measures import Measures
from roadlift.instance.platform import Platform
from roadlift.instance.standings import Standings
from roadlift.relay.upstream import Answer, fetch
from roadlift.serving.directory import Endpoint
from roadlift.serving.engine import EngineRecord, Plan
from roadlift.serving.orders import EngineReport, Order, OrderResult

# Seconds for the answer to an order, which comes within some milliseconds and
# may be sent again without harm: every unanswered one holds up its engine.
ORDER_TIMEOUT = 0.06
REPORT_TIMEOUT = 0.5  # Seconds for the answer to the question for a report.
REPORT_PAUSE = 0.3  # Seconds between tries to read an engine's report.

log = PartLog("owner")


class OwnedEngine:
    """One engine under this owner: its book, and the orders on their way."""

    def __init__(
        self, kernel: Kernel, zone: str, endpoint: Endpoint, book: EngineRecord
    ) -> None:
        self._kernel = kernel
        self._orders = kernel.get(Platform).adapter.orders
        self._lease = kernel.get(Leases).get(zone)
        self._measures = kernel.get(Measures)
        self._standings = kernel.get(Standings)
        self._process = kernel.settings.instance
        self._timer = None
        self._is_reading = False
        self._is_open = True
        self.endpoint = endpoint
        self.book = book
        self.on_change: Callable[[OwnedEngine], None] = lambda engine: None
        self.on_report: Callable[[OwnedEngine], None] = lambda engine: None
        self.on_end: Callable[[OwnedEngine], None] = lambda engine: None

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
        if self.book.start_load_check(now):
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
        fetch(
            self._kernel.dialer,
            self.endpoint.address,
            request,
            lambda answer: self._take_answer(plan, order, answer),
            lambda error: self._take_failure(plan, order, error),
            ORDER_TIMEOUT,
        )

    def _take_answer(self, plan: Plan, order: Order, answer: Answer) -> None:
        self._note_head(answer)
        result = self._orders.classify_order(answer)
        self._take_result(plan, order, result, answer.status)

    def _note_head(self, answer: Answer) -> None:
        """Learn what the engine says of itself, in whatever it answers."""
        self._standings.note_head(self.endpoint, answer.status, answer.headers)

    def _take_failure(self, plan: Plan, order: Order, error: RoadliftError) -> None:
        self._note_error(error)
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
        self.book.record_result(plan, result, self._kernel.clock.now())
        self.on_change(self)
        self.advance()

    def _note_error(self, error: RoadliftError) -> None:
        """Tell of the engine's end where nothing listens at its address."""
        if self._is_open and isinstance(error, ConnectionRefused):
            self.on_end(self)

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
            self._note_head(answer)
            try:
                report = self._orders.read_report(answer)
                self._check_run(report)
            except RoadliftError as error:
                on_error(error)
                return
            log.event(
                "report",
                endpoint=self.endpoint.id,
                sequence=report.sequence,
                held=len(report.held),
                arriving=len(report.arriving),
                running=report.running,
                told=self.book.usage.count_running(),
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

    def _check_run(self, report: EngineReport) -> None:
        """Raise EndpointFailed for the report of another run of the engine.

        The list tells of that one soon, and it gets a book of its own.
        """
        known = self.endpoint.started_at
        if known and report.started_at not in (0, known):
            raise EndpointFailed(f"{self.endpoint.name} has started again")

    def _take_report(self, report: EngineReport) -> None:
        self._is_reading = False
        self.book.apply_report(report, self._kernel.clock.now())
        self.on_report(self)

    def _take_arrivals(self, report: EngineReport) -> None:
        self.book.record_loaded(report, self._kernel.clock.now())
        self.on_change(self)

    def _fail_peek(self, error: RoadliftError) -> None:
        self._note_error(error)
        log.event("report_failed", endpoint=self.endpoint.id, error=str(error))

    def _fail_report(self, error: RoadliftError) -> None:
        self._is_reading = False
        self._note_error(error)
        if self._is_open:
            log.event("report_failed", endpoint=self.endpoint.id, error=str(error))
            self.book.record_failed_report(self._kernel.clock.now())
            self.on_change(self)
            self._wait(REPORT_PAUSE)
