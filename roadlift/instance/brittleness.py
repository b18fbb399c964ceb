"""Track the endpoints that bear few rejections.

A brittle endpoint announces in its answers how many calls it may have to
reject in a second; with more of them, from all instances together, it crashes.
Endpoints of a service turn brittle together, so that an endpoint which has not
answered lately counts as brittle if others of its service are.
"""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.instance.follower import Follower
from roadlift.instance.metrics import InstanceMetrics
from roadlift.serving.directory import Endpoint
from roadlift.serving.statements import Statement

REJECTION_WINDOW = 1.0  # Seconds in which endpoints count what they reject.
# Seconds for which an endpoint's own answer counts before what others of its
# service announced.
ANSWER_TTL = 2.0
SERVICE_TTL = 3.0  # Seconds for which one endpoint's answer counts for others.
# Seconds after which an endpoint that sent no answer is sent calls as before.
ANNOUNCEMENT_TTL = 10.0
_FIRST_ERROR = 300  # The lowest status of an answer that is no success.

log = ComponentLog("brittleness")


class Brittleness(NamedTuple):
    """The newest announcement in a service, ``age`` seconds ago.

    An endpoint bears ``rejection_limit`` rejections a second.
    """

    service: str
    rejection_limit: float
    age: float


class _Announcement(NamedTuple):
    """The rejections a second that an endpoint bears, or None, at a time."""

    limit: float | None
    at: float


@components.register("brittleness")
class BrittleEndpoints:
    """The endpoints that are brittle, and what they rejected here."""

    name = "brittleness"
    needs = ("follower", "measures")

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._follower = kernel.get(Follower)
        self._metrics = kernel.get(InstanceMetrics)
        self._endpoints: dict[str, _Announcement] = {}
        self._services: dict[str, _Announcement] = {}
        # When an endpoint of a service last bore any number.
        self._ended_at: dict[str, float] = {}
        self._rejected: dict[str, deque[float]] = {}
        self._rejection_counts: dict[str, int] = {}
        self._follower.on_directory.append(self._remove_gone)

    def start(self) -> None:
        """Do nothing: state is built from answers as they arrive."""

    def close(self) -> None:
        """Do nothing: there is nothing to close."""

    # Queries

    def find_limit(self, endpoint: Endpoint) -> float | None:
        """Return how many rejections a second an endpoint bears, or None."""
        if not self._services:
            return None
        now = self._clock.now()
        own = self._endpoints.get(endpoint.id)
        if own is not None and now - own.at < ANSWER_TTL:
            return own.limit
        common = self._services.get(endpoint.service)
        if common is not None and now - common.at < SERVICE_TTL:
            return common.limit
        if own is None or now - own.at >= ANNOUNCEMENT_TTL:
            return None
        is_outdated = own.at < self._ended_at.get(endpoint.service, own.at)
        return None if is_outdated else own.limit

    def measure_age(self, endpoint: Endpoint) -> float:
        """Return the seconds since an endpoint or its service announced it."""
        known = self._endpoints.get(endpoint.id) or self._services[endpoint.service]
        return self._clock.now() - known.at

    def list_brittle(self) -> list[Endpoint]:
        """Return the endpoints that are brittle."""
        return [
            endpoint
            for service in self._services
            for endpoint in self._follower.directory.list_service(service)
            if self.find_limit(endpoint) is not None
        ]

    def list_services(self) -> list[Brittleness]:
        """Return the newest announcement of each service that still counts."""
        now = self._clock.now()
        return [
            Brittleness(service, known.limit, round(now - known.at, 3))
            for service, known in self._services.items()
            if now - known.at < SERVICE_TTL
        ]

    def count_recent_rejections(self, endpoint: str) -> int:
        """Return how many calls of this process it rejected in a second."""
        times = self._rejected.get(endpoint)
        if times is None:
            return 0
        since = self._clock.now() - REJECTION_WINDOW
        while times and times[0] < since:
            times.popleft()
        return len(times)

    def count_rejections(self, endpoint: str) -> int:
        """Return how many calls of this process it rejected in all."""
        return self._rejection_counts.get(endpoint, 0)

    # Updates

    def record_answer(
        self, endpoint: Endpoint, statement: Statement, status: int
    ) -> None:
        """Update an endpoint's state from an answer to a call.

        Only an answer to a call that ran says that any number of rejections is
        borne: others may come from another component of the endpoint.
        """
        if statement.is_rejected:
            self._count_rejection(endpoint.id)
        is_named = statement.rejection_limit is not None
        if is_named or status < _FIRST_ERROR:
            self.record_announcement(endpoint, statement.rejection_limit, 0.0)

    def record_announcement(
        self, endpoint: Endpoint, limit: float | None, age: float
    ) -> None:
        """Update what an endpoint announced ``age`` seconds ago.

        An endpoint that never announced a limit needs no state.
        """
        now = self._clock.now()
        known = self._endpoints.get(endpoint.id)
        is_outdated = known is not None and now - age < known.at
        has_state = known is not None or endpoint.service in self._services
        if is_outdated or (limit is None and not has_state):
            return
        self._endpoints[endpoint.id] = _Announcement(limit, now - age)
        if limit is not None:
            self.record_service(Brittleness(endpoint.service, limit, age))
        else:
            self._ended_at[endpoint.service] = now - age
        before = known.limit if known else None
        if limit != before:
            log.event(
                "endpoint_brittle",
                endpoint=endpoint.id,
                service=endpoint.service,
                bears=limit,
                before=before,
            )
            self._update_metrics(endpoint.service)

    def record_services(self, found: Iterable[Brittleness]) -> None:
        """Update the announcements that an aggregator knows."""
        for one in found:
            self.record_service(one)

    def record_service(self, found: Brittleness) -> None:
        """Keep the newest announcement of a service."""
        known = self._services.get(found.service)
        at = self._clock.now() - found.age
        if known is None or at > known.at:
            self._services[found.service] = _Announcement(found.rejection_limit, at)

    def _count_rejection(self, endpoint: str) -> None:
        self._rejected.setdefault(endpoint, deque()).append(self._clock.now())
        self.count_recent_rejections(endpoint)
        count = self._rejection_counts.get(endpoint, 0)
        self._rejection_counts[endpoint] = count + 1

    def _update_metrics(self, service: str) -> None:
        found = [one for one in self.list_brittle() if one.service == service]
        self._metrics.set("roadlift_brittle_endpoints", len(found), service)

    def _remove_gone(self) -> None:
        """Remove endpoints that are gone, and announcements that are over."""
        now = self._clock.now()
        listed = {endpoint.id for endpoint in self._follower.directory.list_all()}
        for state in (self._endpoints, self._rejected, self._rejection_counts):
            for endpoint in set(state) - listed:
                del state[endpoint]
        for service, known in list(self._services.items()):
            if now - known.at > ANNOUNCEMENT_TTL:
                del self._services[service]
                self._ended_at.pop(service, None)
                self._update_metrics(service)
