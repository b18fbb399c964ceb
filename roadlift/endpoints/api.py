"""Define what a plug-in has to know to speak to an engine.

A plug-in builds requests and reads answers; it opens no connection, so that
the users' own engines need nothing more than one more of these.
"""

from typing import NamedTuple, Protocol

from roadlift.core.errors import RoadliftError
from roadlift.core.registry import Registry
from roadlift.ownership.orders import Order, OrderResult
from roadlift.relay.upstream import Answer, Request

engine_apis: Registry = Registry("engine API")


class EngineLoad(NamedTuple):
    """What an engine reports of itself, with a lag.

    ``incarnation`` differs after each start of the engine.
    """

    incarnation: str
    running: int
    waiting: int


class EngineApi(Protocol):
    """How one kind of engine is spoken to."""

    def build_order(self, order: Order, path: str) -> Request:
        """Return the request for a load or unload order."""

    def judge_order(self, order: Order, answer: Answer) -> OrderResult:
        """Tell how an order ended by its answer."""

    def build_fence(self, fence: int) -> Request:
        """Return a harmless order that raises the fencing number."""

    def read_fence(self, answer: Answer) -> int:
        """Return the fencing number named by a refusal, or 0."""

    def build_list(self) -> Request:
        """Return the request that lists the loaded copies."""

    def read_list(self, answer: Answer) -> list[str]:
        """Return the names of the loaded copies."""

    def build_load_report(self) -> Request:
        """Return the request for the load report."""

    def read_load_report(self, answer: Answer) -> EngineLoad:
        """Return what the load report says."""

    def build_run(self, path: str, body: dict, copy: str, priority: str) -> Request:
        """Return the request that runs a caller's call on a copy."""

    def judge_refusal(self, status: int, body: bytes) -> RoadliftError:
        """Return what an answer with an error status means for the run."""

    def build_resume(self, headers: dict[str, str], last_id: str) -> Request | None:
        """Return the request that goes on with a cut stream, or None.

        ``headers`` are those of the stream's first answer.
        """
