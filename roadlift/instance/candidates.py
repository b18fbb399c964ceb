"""List the endpoints that calls may be sent to now."""

from typing import NamedTuple

from roadlift.core.errors import (
    HomeUnavailable,
    RoadliftError,
    SoftwareUnavailable,
    ZonesEvacuated,
)
from roadlift.core.kernel import Kernel, components
from roadlift.decisions.homes import Scope
from roadlift.instance.availabilities import Availabilities
from roadlift.instance.evacuations import ZoneEvacuations
from roadlift.instance.follower import Follower
from roadlift.instance.knowledge import Knowledge
from roadlift.instance.limits import EndpointLimits
from roadlift.instance.slots import EndpointSlots
from roadlift.serving.calls import Model
from roadlift.serving.directory import Endpoint

# Seconds after which a caller may retry a call for which the operator or a
# customer's homes leave no endpoint: nobody knows when that changes, and it
# does so by a change of configuration.
UNAVAILABLE_RETRY_DELAY = 1.0


class Backoff(NamedTuple):
    """An endpoint that requested no calls from this instance for a time."""

    endpoint: Endpoint
    seconds: float


@components.register("candidates")
class Candidates:
    """The endpoints of a service, by what they announced and what is known."""

    name = "candidates"
    needs = (
        Availabilities.name,
        ZoneEvacuations.name,
        "follower",
        "knowledge",
        EndpointLimits.name,
        EndpointSlots.name,
    )

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._follower = kernel.get(Follower)
        self._knowledge = kernel.get(Knowledge)
        self._standings = kernel.get(Availabilities)
        self._evacuations = kernel.get(ZoneEvacuations)
        self._limits = kernel.get(EndpointLimits)
        self._slots = kernel.get(EndpointSlots)

    def start(self) -> None:
        """Do nothing: everything is looked up for each call."""

    def close(self) -> None:
        """Do nothing: there is nothing to close."""

    def list_ready(self, scope: Scope) -> list[Endpoint]:
        """Return the endpoints that accept new calls."""
        ready = self._follower.directory.list_ready(scope.service)
        if scope.zones is None and scope.software is None:
            return ready
        return [one for one in ready if scope.includes(one.zone, one.software)]

    def list_usable(self, scope: Scope, excluded: set[str]) -> list[Endpoint]:
        """Return the ready endpoints that are healthy and not backed off."""
        ready = self.list_ready(scope)
        usable = self._knowledge.health.list_usable(
            self._standings.list_available(ready), self._clock.now()
        )
        return [one for one in usable if one.id not in excluded]

    def list_below_limit(self, scope: Scope, excluded: set[str]) -> list[Endpoint]:
        """Return the usable endpoints whose rate limit is not exhausted."""
        usable = self.list_usable(scope, excluded)
        return [one for one in usable if not self._limits.is_exhausted(one.id)]

    def list_last_resort(self, scope: Scope, excluded: set[str]) -> list[Endpoint]:
        """Return the others that accept calls which no ready one can run."""
        return [
            endpoint
            for endpoint in self._follower.directory.list_service(scope.service)
            if endpoint.id not in excluded
            and scope.includes(endpoint.zone, endpoint.software)
            and self._standings.is_last_resort(endpoint.id)
            and not self._standings.measure_backoff(endpoint.id)
        ]

    def list_closing(self, scope: Scope, excluded: set[str]) -> list[Endpoint]:
        """Return the endpoints of zones that are being evacuated."""
        if not self._evacuations.are_closing:
            return []
        return [
            endpoint
            for endpoint in self.list_last_resort(scope, excluded)
            if self._evacuations.is_closing(endpoint.zone)
        ]

    def has_endpoints(self, scope: Scope) -> bool:
        """Return whether any endpoint accepts calls."""
        return bool(self.list_ready(scope) or self.list_last_resort(scope, set()))

    def find_restriction(self, scope: Scope) -> RoadliftError | None:
        """Return why no endpoint accepts a call, or None if one may yet."""
        if self.list_ready(scope):
            return None
        if self._evacuations.are_all_evacuated(scope.service):
            return ZonesEvacuated(f"service {scope.service}", UNAVAILABLE_RETRY_DELAY)
        if scope.zones is not None and self.list_ready(scope._replace(zones=None)):
            zones = ", ".join(sorted(scope.zones)) or "no zone"
            detail = f"service {scope.service} in {zones}"
            return HomeUnavailable(detail, UNAVAILABLE_RETRY_DELAY)
        if scope.software is not None and not self.has_endpoints(scope):
            versions = ", ".join(sorted(scope.software)) or "unknown version"
            return SoftwareUnavailable(f"service {scope.service}, {versions}")
        return None

    def accepts(self, endpoint: Endpoint, model: Model | None) -> bool:
        """Return whether an endpoint still accepts calls for an adapter."""
        is_ready = self._follower.directory.is_ready(endpoint.id)
        if not is_ready and not self._standings.is_last_resort(endpoint.id):
            return False
        if model is None or not model.adapter:
            return True
        min_version = self._follower.find_version(model)
        return self._knowledge.residency.holds(endpoint.id, model, min_version)

    def compute_limit_wait(self, scope: Scope, excluded: set[str]) -> float | None:
        """Return the seconds until the limits of a service permit a send.

        None if limits are not the reason why a call has no endpoint.
        """
        waits = [
            self.measure_wait(endpoint.id)
            for endpoint in self.list_ready(scope)
            if self._has_limit(endpoint)
            and (endpoint.id in excluded or self._limits.is_exhausted(endpoint.id))
        ]
        return min(waits, default=None)

    def measure_wait(self, endpoint: str) -> float:
        """Return the seconds until an endpoint's limits permit a send."""
        wait = self._limits.measure_wait(endpoint)
        return max(wait, self._slots.measure_wait(endpoint))

    def _has_limit(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint has a rate limit, or leases its slots."""
        is_limited = self._limits.find(endpoint.id) is not None
        return is_limited or self._slots.is_leased(endpoint)

    def find_backoff(self, scope: Scope, model: Model | None) -> Backoff | None:
        """Return the backoff that ends first of those in the way, or None.

        If all endpoints of the service are backing off, each of them counts;
        otherwise only those that hold the model.
        """
        ready = self.list_ready(scope)
        backoffs = [
            Backoff(one, self._standings.measure_backoff(one.id)) for one in ready
        ]
        active = [backoff for backoff in backoffs if backoff.seconds > 0.0]
        if len(active) < len(ready):
            min_version = self._follower.find_version(model) if model is not None else 0
            active = [
                backoff
                for backoff in active
                if self._holds_model(backoff.endpoint, model, min_version)
            ]
        return min(active, key=lambda backoff: backoff.seconds, default=None)

    def _holds_model(
        self, endpoint: Endpoint, model: Model | None, min_version: int
    ) -> bool:
        """Return whether an engine holds the model that a call requires."""
        if model is None or not endpoint.holds(model.base):
            return False
        residency = self._knowledge.residency
        return not model.adapter or residency.holds(endpoint.id, model, min_version)
