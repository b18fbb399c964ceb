"""Define the interface of engine plug-ins.

A plug-in builds requests and parses answers but opens no connection, so that
another kind of engine is supported by adding just a plug-in.
"""

from typing import NamedTuple, Protocol

from roadlift.core.errors import RoadliftError
from roadlift.core.registry import Registry
from roadlift.ownership.orders import Order, OrderResult
from roadlift.relay.upstream import Answer, Request

engine_apis: Registry = Registry("engine API")


class EngineLoad(NamedTuple):
    """The load that an engine reports, with a lag.

    ``incarnation`` differs after each start of the engine.
    """

    incarnation: str
    running: int
    waiting: int


class EngineApi(Protocol):
    """The protocol of one kind of engine."""

    def build_order(self, order: Order, path: str) -> Request:
        """Return the request for a load or unload order."""

    def classify_order(self, order: Order, answer: Answer) -> OrderResult:
        """Return the result of an order from its answer."""

    def build_fence(self, fence: int) -> Request:
        """Return a no-op order that raises the fencing number."""

    def read_fence(self, answer: Answer) -> int:
        """Return the fencing number in a refusal, or 0."""

    def build_list(self) -> Request:
        """Return the request that lists the loaded copies."""

    def read_list(self, answer: Answer) -> list[str]:
        """Return the names of the loaded copies."""

    def build_load_report(self) -> Request:
        """Return the request for the load report."""

    def read_load_report(self, answer: Answer) -> EngineLoad:
        """Return the load from the load report."""

    def build_run(self, path: str, body: dict, copy: str, priority: str) -> Request:
        """Return the request that runs a caller's call on a copy."""

    def classify_refusal(self, status: int, body: bytes) -> RoadliftError:
        """Return what an answer with an error status means for the run."""

    def build_resume(self, headers: dict[str, str], last_id: str) -> Request | None:
        """Return the request that resumes an interrupted stream, or None.

        ``headers`` are those of the stream's first answer, ``last_id`` is the
        id of the last event received.
        """
