"""Know what endpoints say of themselves in the heads of their answers."""

from collections.abc import Mapping

from roadlift.core.errors import RoadliftError
from roadlift.core.kernel import Kernel, parts
from roadlift.core.logs import PartLog
from roadlift.instance.follower import Follower
from roadlift.instance.measures import Measures
from roadlift.instance.platform import Platform
from roadlift.serving.directory import Endpoint
from roadlift.serving.statements import Statement

# Names of unknown headers that a process tells of: callers' applications may
# make up any number.
MOST_UNKNOWN = 32

log = PartLog("standings")


@parts.register("standings")
class Standings:
    """The endpoints that leave or want rest, as this process knows them."""

    name = "standings"
    needs = ("follower", "measures", "platform")

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._format = kernel.get(Platform).adapter.calls
        self._follower = kernel.get(Follower)
        self._measures = kernel.get(Measures)
        self._leaving: set[str] = set()
        self._rests: dict[str, float] = {}
        self._faulty: set[tuple[str, str]] = set()
        self._unknown: set[str] = set()
        self._follower.on_directory.append(self._forget_gone)

    def start(self) -> None:
        """Do nothing; answers come later."""

    def close(self) -> None:
        """Do nothing."""

    def note_head(
        self,
        endpoint: Endpoint,
        status: int,
        headers: Mapping[str, str],
        age: float | None = None,
    ) -> Statement:
        """Learn from an answer's head; ``age`` is since the call was sent.

        It is in seconds, and None where the answer is not to a call.
        """
        statement = self._format.read_statement(status, headers)
        for fault in statement.faults:
            self._log_fault(endpoint, fault)
        for name in statement.unknown:
            self._note_unknown(endpoint, name)
        if statement.is_leaving:
            self._note_leaving(endpoint, status, age)
        if statement.rest:
            self._note_rest(endpoint, statement.rest, status, age)
        return statement

    def _note_leaving(self, endpoint: Endpoint, status: int, age: float | None) -> None:
        if endpoint.id in self._leaving:
            return
        self._leaving.add(endpoint.id)
        log.event(
            "endpoint_leaving",
            endpoint=endpoint.id,
            service=endpoint.service,
            heard="answer",
            status=status,
            age=None if age is None else round(age, 3),
        )

    def _note_rest(
        self, endpoint: Endpoint, seconds: float, status: int, age: float | None
    ) -> None:
        self._rests[endpoint.id] = self._clock.now() + seconds
        log.event(
            "endpoint_resting",
            endpoint=endpoint.id,
            service=endpoint.service,
            seconds=seconds,
            status=status,
            age=None if age is None else round(age, 3),
        )

    def _log_fault(self, endpoint: Endpoint, fault: RoadliftError) -> None:
        """Tell once for each endpoint and kind what can't be read."""
        key = (endpoint.id, fault.code)
        if key not in self._faulty:
            self._faulty.add(key)
            log.warning("%s says what can't be read: %s.", endpoint.id, fault)

    def _note_unknown(self, endpoint: Endpoint, name: str) -> None:
        """Tell once of a header that nobody decided what to do with."""
        self._measures.count("roadlift_unknown_headers", endpoint.service)
        if name in self._unknown or len(self._unknown) >= MOST_UNKNOWN:
            return
        self._unknown.add(name)
        log.event(
            "header_unknown",
            header=name,
            endpoint=endpoint.id,
            service=endpoint.service,
        )

    def _forget_gone(self) -> None:
        """Forget endpoints that are gone; their next run said nothing yet."""
        there = {endpoint.id for endpoint in self._follower.directory.list_all()}
        self._leaving &= there
        self._faulty = {one for one in self._faulty if one[0] in there}
        for endpoint in set(self._rests) - there:
            del self._rests[endpoint]
