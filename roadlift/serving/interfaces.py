"""Define the interfaces of a platform adapter, a registered plug-in.

An adapter implements the names, formats and calls of one platform. It makes no
decisions.
"""

import enum
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, Protocol

from roadlift.core.errors import RoadliftError
from roadlift.core.registry import Registry
from roadlift.http.messages import ReceivedRequest
from roadlift.relay.upstream import Answer, Request
from roadlift.serving.calls import Call, Model
from roadlift.serving.directory import Endpoint
from roadlift.serving.eras import StoreEras
from roadlift.serving.evacuations import Evacuation
from roadlift.serving.orders import EngineReport, Order, OrderResult
from roadlift.serving.position import StorePosition
from roadlift.serving.routes import Configuration, Route
from roadlift.serving.statements import Statement


class StoredRow(NamedTuple):
    """A row of a table; ``value`` is None if the row was deleted."""

    key: str
    value: bytes | None
    position: StorePosition


class StoreTime(NamedTuple):
    """A reading of the store's monotonic clock, in seconds.

    ``asked_at`` and ``answered_at`` are this process's times of the request
    and of the answer.
    """

    store: float
    asked_at: float
    answered_at: float

    def estimate_latest(self, now: float) -> float:
        """Return an upper bound of the store's time at ``now``."""
        return self.store + now - self.asked_at

    def estimate_earliest(self, now: float) -> float:
        """Return a lower bound of the store's time at ``now``."""
        return self.store + now - self.answered_at


class Rows(NamedTuple):
    """Rows as of a position of the store.

    ``time`` is of the answer with the first of them. If ``is_complete`` is
    false, further rows have changed by now.
    """

    rows: Sequence[StoredRow]
    position: StorePosition
    time: StoreTime
    is_complete: bool = True


class RowWrite(NamedTuple):
    """A conditional write of a row whose current position is ``expected``.

    Version 0 means that the row is absent. Without a ``value`` the row is
    deleted.
    """

    table: str
    key: str
    value: bytes | None
    expected: StorePosition


OnRows = Callable[[Rows], None]
OnWritten = Callable[[StorePosition, StoreTime], None]
OnError = Callable[[RoadliftError], None]


class StoreCall(NamedTuple):
    """A kind of call to a table: read, follow or write."""

    action: str
    table: str


class RowStore(Protocol):
    """The platform's table service; ``calls`` counts the requests to it.

    ``eras`` records the era of each answer, whatever its status; answers of
    an earlier era are failures. A failure is VersionConflict (nothing was
    written), HistoryGone (read the whole table again) or PlatformUnavailable
    (the outcome is unknown).
    """

    calls: Mapping[StoreCall, int]
    eras: StoreEras

    def read(self, table: str, on_rows: OnRows, on_error: OnError) -> None:
        """Read a whole table."""

    def follow(
        self,
        table: str,
        after: StorePosition,
        wait: float,
        on_rows: OnRows,
        on_error: OnError,
    ) -> None:
        """Read the rows that changed after a position.

        Waits up to ``wait`` seconds for the first change. The position is of
        the store's current era.
        """

    def write(self, row: RowWrite, on_written: OnWritten, on_error: OnError) -> None:
        """Write one row if its condition holds; report its new position."""


class Verdict(enum.Enum):
    """What an endpoint's answer says about the run of the call."""

    SUCCEEDED = "succeeded"
    NOT_RUN = "not_run"
    WRONG_ENDPOINT = "wrong_endpoint"
    FAILED = "failed"


class Guard(NamedTuple):
    """What an endpoint checks or observes when it runs a call.

    ``remaining`` is the time left in seconds; ``priority`` 0 is served first;
    ``version`` that of the adapter, or None; ``resume_after`` the last event
    received of an interrupted stream, or empty. ``organisation`` is the name
    of the caller's organisation, empty if it has none, or None if no
    organisations are configured: only then are the caller's credentials
    forwarded.
    """

    remaining: float
    priority: int
    version: int | None = None
    resume_after: str = ""
    organisation: str | None = None


class CallFormat(Protocol):
    """How calls are parsed from callers' requests and sent to endpoints."""

    def read_id(self, received: ReceivedRequest) -> str:
        """Return the id of a caller's request, or empty."""

    def read_call(self, received: ReceivedRequest) -> Call:
        """Parse a caller's request, or raise InvalidRequest."""

    def build_request(
        self, call: Call, route: Route, endpoint: Endpoint, guard: Guard
    ) -> Request:
        """Return the request that runs a call on an endpoint."""

    def build_forwarded(self, call: Call, route: Route, remaining: float) -> Request:
        """Return the request that lets another instance take a call.

        ``remaining`` is the time left in seconds; ``runs`` of the call are
        its sends by this instance that may have run.
        """

    def judge(self, status: int, headers: Mapping[str, str]) -> Verdict:
        """Classify the head of an endpoint's answer."""

    def read_statement(self, status: int, headers: Mapping[str, str]) -> Statement:
        """Return what an answer's head says about its endpoint."""

    def describe(self, call_id: str) -> Mapping[str, str]:
        """Return the headers of an answer that roadlift itself generates."""


class OrderFormat(Protocol):
    """How orders are sent to engines, and engines' reports are read."""

    def build_order(self, order: Order, endpoint: Endpoint) -> Request:
        """Return the request of an order."""

    def classify_order(self, answer: Answer) -> OrderResult:
        """Classify the answer to an order."""

    def build_report(self, endpoint: Endpoint) -> Request:
        """Return the request for an engine's report."""

    def read_report(self, answer: Answer) -> EngineReport:
        """Parse an engine's report, or raise EndpointFailed."""


class StateFormat(Protocol):
    """The tables and formats in which the platform describes its state."""

    operator_table: str
    directory_table: str

    def redact(self, row: StoredRow) -> StoredRow:
        """Return a row with API keys replaced by digests, for forwarding."""

    def read_configuration(self, row: StoredRow) -> Configuration | None:
        """Return the configuration, or None for another row."""

    def read_version(self, row: StoredRow) -> tuple[Model, int] | None:
        """Return a declared adapter version, or None for another row."""

    def read_evacuation(self, row: StoredRow) -> Evacuation | None:
        """Return the state of a zone's evacuation, or None for another row."""

    def read_endpoint(self, row: StoredRow) -> Endpoint:
        """Return the endpoint that an entry of the directory describes."""


class Adapter(NamedTuple):
    """The plug-ins of one platform; ``open_store`` expects a kernel."""

    open_store: Callable[[object], RowStore]
    calls: CallFormat
    orders: OrderFormat
    state: StateFormat


adapters: Registry = Registry("platform adapter")
