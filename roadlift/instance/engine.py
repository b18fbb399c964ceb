"""Send orders to one engine, and read its reports."""

from collections.abc import Callable

from roadlift.core.errors import (
    ConnectionRefused,
    EndpointFailed,
    Outcome,
    RoadliftError,
)
from roadlift.core.kernel import Kernel
from roadlift.core.logs import ComponentLog
from roadlift.instance.availabilities import Availabilities
from roadlift.instance.leases import Leases
from roadlift.instance.metrics import InstanceMetrics
from roadlift.instance.platform import Platform
from roadlift.relay.upstream import Answer, fetch
from roadlift.serving.directory import Endpoint
from roadlift.serving.engine import EngineRecord, Plan
from roadlift.serving.orders import EngineReport, Order, OrderResult

# Seconds for the answer to an order. It normally takes some milliseconds, an
# order may safely be sent again, and an unanswered one delays all further
# orders to its engine.
ORDER_TIMEOUT = 0.06
REPORT_TIMEOUT = 0.5  # Seconds for the answer to a request for a report.
REPORT_RETRY_DELAY = 0.3  # Seconds between attempts to read an engine's report.

log = ComponentLog("owner")


class OwnedEngine:
    """One engine of this owner: its record, and the orders in flight.

    ``on_change`` is called when the record has changed, ``on_report`` when a
    report was read, ``on_crash`` when the engine seems to have crashed.
    """

    def __init__(
        self, kernel: Kernel, zone: str, endpoint: Endpoint, record: EngineRecord
    ) -> None:
        self._kernel = kernel
        self._orders = kernel.get(Platform).adapter.orders
        self._lease = kernel.get(Leases).get(zone)
        self._metrics = kernel.get(InstanceMetrics)
        self._availabilities = kernel.get(Availabilities)
        self._process = kernel.settings.instance
        self._timer = None
        self._is_reading = False
        self._is_open = True
        self._is_suspended = False
        self._is_silent = False
        self.endpoint = endpoint
        self.record = record
        self.on_change: Callable[[OwnedEngine], None] = lambda engine: None
        self.on_report: Callable[[OwnedEngine], None] = lambda engine: None
        self.on_crash: Callable[[OwnedEngine], None] = lambda engine: None

    @property
    def is_cut_off(self) -> bool:
        """Return whether the engine gives neither answers nor refusals.

        A refused connection shows that its host is reachable.
        """
        return self._is_silent and self.record.is_unreachable

    def close(self) -> None:
        """Send no further orders."""
        self._is_open = False
        if self._timer is not None:
            self._timer.close()

    def suspend(self) -> None:
        """Send nothing until ``resume``; answers are still handled."""
        self._is_suspended = True
        if self._timer is not None:
            self._timer.close()
            self._timer = None

    def resume(self) -> None:
        """Continue with the engine's report: its state is not known now."""
        self._is_suspended = False
        self.record.needs_report = True
        self.advance()

    def advance(self) -> None:
        """Send the next order or read the report, whichever is due."""
        if not self._is_open or self._is_reading or self._is_suspended:
            return
        if self._timer is not None:
            self._timer.close()
            self._timer = None
        now = self._kernel.clock.now()
        if self.record.needs_report and self.record.is_idle:
            # Reading a report is not an order: a new owner may do so before
            # it may order, and loaded adapters are then used at once.
            delay = self.record.measure_pause(now)
            self._wait(delay) if delay > 0 else self._read_report()
            return
        if not self._lease.may_order(now):
            self._wait(max(0.05, self._lease.orders_from - now))
            return
        while (plan := self.record.plan(now)) is not None:
            self._send(plan)
        if self.record.start_load_check(now):
            self._fetch_report(self._apply_arrivals, self._handle_peek_failure)
        if self.record.denied:
            self.on_change(self)
        wait = self.record.measure_wait(now)
        if wait is not None:
            self._wait(max(0.005, wait))

    def _wait(self, seconds: float) -> None:
        self._timer = self._kernel.loop.call_later(seconds, self.advance)

    def _send(self, plan: Plan) -> None:
        order = Order(
            plan.action,
            plan.model,
            plan.version,
            self.record.sequence,
            self._process,
            self._lease.fence,
            lambda: self._lease.may_order(self._kernel.clock.now()),
        )
        request = self._orders.build_order(order, self.endpoint)
        fetch(
            self._kernel.dialer,
            self.endpoint.address,
            request,
            lambda answer: self._handle_answer(plan, order, answer),
            lambda error: self._handle_failure(plan, order, error),
            ORDER_TIMEOUT,
        )

    def _handle_answer(self, plan: Plan, order: Order, answer: Answer) -> None:
        self._record_head(answer)
        result = self._orders.classify_order(answer)
        self._handle_result(plan, order, result, answer.status)

    def _record_head(self, answer: Answer) -> None:
        """Record what the engine advertises in the head of any answer."""
        self._availabilities.note_head(self.endpoint, answer.status, answer.headers)

    def _handle_failure(self, plan: Plan, order: Order, error: RoadliftError) -> None:
        self._check_refused(error)
        is_sent = error.outcome is not Outcome.NOT_RUN
        result = OrderResult.UNKNOWN if is_sent else OrderResult.NOT_SENT
        self._handle_result(plan, order, result, str(error))

    def _handle_result(
        self, plan: Plan, order: Order, result: OrderResult, said: object
    ) -> None:
        if not self._is_open:
            return
        self._metrics.count("roadlift_orders", str(order.action), result.value)
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
        self.record.record_result(plan, result, self._kernel.clock.now())
        self.on_change(self)
        self.advance()

    def _check_refused(self, error: RoadliftError) -> None:
        """Report a crash of the engine if nothing listens at its address."""
        self._is_silent = not isinstance(error, ConnectionRefused)
        if self._is_open and isinstance(error, ConnectionRefused):
            self.on_crash(self)

    def _read_report(self) -> None:
        self._is_reading = True
        self._fetch_report(self._apply_report, self._handle_report_failure)

    def _fetch_report(
        self,
        on_report: Callable[[EngineReport], None],
        on_error: Callable[[RoadliftError], None],
    ) -> None:
        """Read the engine's report, and call back unless closed by then."""

        def handle(answer: Answer) -> None:
            if not self._is_open:
                return
            self._record_head(answer)
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
                told=self.record.usage.count_running(),
            )
            on_report(report)
            self.advance()

        fetch(
            self._kernel.dialer,
            self.endpoint.address,
            self._orders.build_report(self.endpoint),
            handle,
            lambda error: on_error(error) if self._is_open else None,
            REPORT_TIMEOUT,
        )

    def _check_run(self, report: EngineReport) -> None:
        """Raise EndpointFailed for the report of another run of the engine.

        The list of endpoints will soon contain that run, which then gets a
        record of its own.
        """
        known = self.endpoint.started_at
        if known and report.started_at not in (0, known):
            self.on_crash(self)
            raise EndpointFailed(f"{self.endpoint.name} has restarted")

    def _apply_report(self, report: EngineReport) -> None:
        self._is_reading = False
        self.record.apply_report(report, self._kernel.clock.now())
        self.on_report(self)

    def _apply_arrivals(self, report: EngineReport) -> None:
        self.record.record_loaded(report, self._kernel.clock.now())
        self.on_change(self)

    def _handle_peek_failure(self, error: RoadliftError) -> None:
        self._check_refused(error)
        log.event("report_failed", endpoint=self.endpoint.id, error=str(error))

    def _handle_report_failure(self, error: RoadliftError) -> None:
        self._is_reading = False
        self._check_refused(error)
        if self._is_open:
            log.event("report_failed", endpoint=self.endpoint.id, error=str(error))
            self.record.record_failed_report(self._kernel.clock.now())
            self.on_change(self)
            self._wait(REPORT_RETRY_DELAY)
