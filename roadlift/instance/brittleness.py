"""Track the endpoints that bear few rejections.

A brittle endpoint announces in its answers how many calls it may have to
reject in a second; with more of them, from all instances together, it crashes.
"""

from collections import deque

from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.instance.follower import Follower
from roadlift.instance.metrics import InstanceMetrics
from roadlift.serving.directory import Endpoint
from roadlift.serving.statements import Statement

REJECTION_WINDOW = 1.0  # Seconds in which endpoints count what they reject.

log = ComponentLog("brittleness")


@components.register("brittleness")
class BrittleEndpoints:
    """The endpoints that are brittle, and what they rejected of this process.

    ``find`` returns how many rejections a second an endpoint bears.
    """

    name = "brittleness"
    needs = ("follower", "measures")

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._follower = kernel.get(Follower)
        self._metrics = kernel.get(InstanceMetrics)
        self._limits: dict[str, float] = {}
        self._rejected: dict[str, deque[float]] = {}
        self._follower.on_directory.append(self._remove_gone)

    def start(self) -> None:
        """Do nothing: state is built from answers as they arrive."""

    def close(self) -> None:
        """Do nothing: there is nothing to close."""

    def find(self, endpoint: str) -> float | None:
        """Return how many rejections a second an endpoint bears, or None."""
        return self._limits.get(endpoint)

    def count_rejected(self, endpoint: str) -> int:
        """Return how many calls of this process it rejected in a second."""
        times = self._rejected.get(endpoint)
        if times is None:
            return 0
        since = self._clock.now() - REJECTION_WINDOW
        while times and times[0] < since:
            times.popleft()
        return len(times)

    def record_answer(
        self, endpoint: Endpoint, statement: Statement, is_call: bool
    ) -> None:
        """Update an endpoint's state from an answer, maybe to a call."""
        if is_call and statement.is_rejected:
            now = self._clock.now()
            self._rejected.setdefault(endpoint.id, deque()).append(now)
            self.count_rejected(endpoint.id)
        self._set_limit(endpoint, statement.rejection_limit)

    def _set_limit(self, endpoint: Endpoint, limit: float | None) -> None:
        before = self._limits.get(endpoint.id)
        if limit == before:
            return
        if limit is None:
            del self._limits[endpoint.id]
        else:
            self._limits[endpoint.id] = limit
        log.event(
            "endpoint_brittle",
            endpoint=endpoint.id,
            service=endpoint.service,
            bears=limit,
            before=before,
        )
        self._update_metrics(endpoint.service)

    def _update_metrics(self, service: str) -> None:
        found = [
            endpoint
            for endpoint in self._follower.directory.list_service(service)
            if endpoint.id in self._limits
        ]
        self._metrics.set("roadlift_brittle_endpoints", len(found), service)

    def _remove_gone(self) -> None:
        listed = {endpoint.id for endpoint in self._follower.directory.list_all()}
        for state in (self._limits, self._rejected):
            for endpoint in set(state) - listed:
                del state[endpoint]
