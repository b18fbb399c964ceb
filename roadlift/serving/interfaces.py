"""Define what a platform's adapter provides; each is a registered plug-in.

An adapter knows names, formats and calls of one platform and decides nothing.
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
from roadlift.serving.orders import EngineReport, Order, OrderResult
from roadlift.serving.position import StorePosition
from roadlift.serving.routes import Configuration, Route
from roadlift.serving.statements import Statement


class StoredRow(NamedTuple):
    """A row of a table; ``value`` is None where the row was deleted."""

    key: str
    value: bytes | None
    position: StorePosition


class StoreTime(NamedTuple):
    """A reading of the store's steady clock, in seconds.

    ``asked_at`` and ``answered_at`` are this process's times around it.
    """

    store: float
    asked_at: float
    answered_at: float

    def estimate_latest(self, now: float) -> float:
        """Return a time of the store that is not before the one at ``now``."""
        return self.store + now - self.asked_at

    def estimate_earliest(self, now: float) -> float:
        """Return a time of the store that is not after the one at ``now``."""
        return self.store + now - self.answered_at


class Rows(NamedTuple):
    """Rows as of a position of the store.

    ``time`` is of the answer that brought the first of them. Where the rows
    are not ``is_complete``, more have changed up to now.
    """

    rows: Sequence[StoredRow]
    position: StorePosition
    time: StoreTime
    is_complete: bool = True


class RowWrite(NamedTuple):
    """A row to write if it stands at ``expected``; version 0 means absent.

    Without a ``value`` it is deleted.
    """

    table: str
    key: str
    value: bytes | None
    expected: StorePosition


OnRows = Callable[[Rows], None]
OnWritten = Callable[[StorePosition, StoreTime], None]
OnError = Callable[[RoadliftError], None]


class StoreCall(NamedTuple):
    """A kind of call to the table service: read, follow or write."""

    action: str
    table: str


class RowStore(Protocol):
    """The platform's table service; ``calls`` counts what was asked of it.

    ``eras`` learns of each answer's, whatever its status; answers of one that
    is over are failures. A failure is VersionConflict (nothing was written),
    HistoryGone (read the whole table again) or PlatformUnavailable (nobody
    knows).
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
        """Read the rows that changed after a position; wait for the first.

        The position is of the era that the store is in.
        """

    def write(self, row: RowWrite, on_written: OnWritten, on_error: OnError) -> None:
        """Write one row under its condition; pass its position on."""


class Verdict(enum.Enum):
    """What an endpoint's answer says of the run."""

    SUCCEEDED = "succeeded"
    NOT_RUN = "not_run"
    WRONG_ENDPOINT = "wrong_endpoint"
    FAILED = "failed"


class Guard(NamedTuple):
    """What an endpoint has to agree with before it runs a call.

    ``remaining`` is the time left in seconds; ``priority`` 0 is served first;
    ``version`` that of the adapter, or None; ``resume_after`` the last event
    received of a cut stream, or empty. ``organisation`` is the name of the
    one whose call it is, empty for nobody's, or None where there are none:
    the caller's credentials are passed on only there.
    """

    remaining: float
    priority: int
    version: int | None = None
    resume_after: str = ""
    organisation: str | None = None


class CallFormat(Protocol):
    """How calls are read from callers and sent to endpoints."""

    def read_id(self, received: ReceivedRequest) -> str:
        """Return the id of a caller's request, or empty."""

    def read_call(self, received: ReceivedRequest) -> Call:
        """Read a caller's request, or raise InvalidRequest."""

    def build_request(
        self, call: Call, route: Route, endpoint: Endpoint, guard: Guard
    ) -> Request:
        """Return the request that runs a call on an endpoint."""

    def judge(self, status: int, headers: Mapping[str, str]) -> Verdict:
        """Tell what the head of an endpoint's answer says of the run."""

    def read_statement(self, status: int, headers: Mapping[str, str]) -> Statement:
        """Return what an answer's head says of the endpoint that gave it."""

    def describe(self, call_id: str) -> Mapping[str, str]:
        """Return the headers of an answer of our own."""


class OrderFormat(Protocol):
    """How engines are given orders and report on themselves."""

    def build_order(self, order: Order, endpoint: Endpoint) -> Request:
        """Return the request of an order."""

    def judge_order(self, answer: Answer) -> OrderResult:
        """Tell how an order ended."""

    def build_report(self, endpoint: Endpoint) -> Request:
        """Return the request for an engine's report."""

    def read_report(self, answer: Answer) -> EngineReport:
        """Read an engine's report, or raise EndpointFailed."""


class StateFormat(Protocol):
    """In which tables and how the platform describes its state."""

    operator_table: str
    directory_table: str

    def conceal(self, row: StoredRow) -> StoredRow:
        """Return a row with digests in place of keys, as it is passed on."""

    def read_configuration(self, row: StoredRow) -> Configuration | None:
        """Return the configuration, or None where the row is another."""

    def read_version(self, row: StoredRow) -> tuple[Model, int] | None:
        """Return a declared adapter version, or None for another row."""

    def read_endpoint(self, row: StoredRow) -> Endpoint:
        """Return the endpoint that an entry of the directory describes."""


class Adapter(NamedTuple):
    """The plug-ins of one platform; ``open_store`` takes a kernel."""

    open_store: Callable[[object], RowStore]
    calls: CallFormat
    orders: OrderFormat
    state: StateFormat


adapters: Registry = Registry("platform adapter")
