"""Hear which rates endpoints name as their limits."""

from collections.abc import Mapping

from roadlift.core.errors import InvalidLimit
from roadlift.core.kernel import Kernel, parts
from roadlift.core.logs import PartLog
from roadlift.instance.platform import Platform
from roadlift.serving.directory import Endpoint

log = PartLog("limits")


@parts.register("limits")
class EndpointLimits:
    """The limits that endpoints named in answers to this process."""

    name = "limits"
    needs = ("platform",)

    def __init__(self, kernel: Kernel) -> None:
        self._format = kernel.get(Platform).adapter.calls
        self._named: dict[str, float | None] = {}
        self._unreadable: set[str] = set()

    def start(self) -> None:
        """Do nothing; answers come later."""

    def close(self) -> None:
        """Do nothing."""

    def note_answer(
        self, endpoint: Endpoint, status: int, headers: Mapping[str, str], age: float
    ) -> None:
        """Learn from the head of an answer to what was sent ``age`` s ago."""
        try:
            limit = self._format.read_limit(headers)
        except InvalidLimit as error:
            self._log_unreadable(endpoint, error)
            return
        before = self._named.get(endpoint.id)
        if limit == before:
            return
        self._named[endpoint.id] = limit
        log.event(
            "limit_named",
            endpoint=endpoint.id,
            service=endpoint.service,
            limit=limit,
            before=before,
            status=status,
            age=round(age, 3),
        )

    def _log_unreadable(self, endpoint: Endpoint, error: InvalidLimit) -> None:
        """Tell once for each endpoint what it names."""
        if endpoint.id not in self._unreadable:
            self._unreadable.add(endpoint.id)
            log.warning("%s names a limit that is no rate: %s.", endpoint.id, error)
