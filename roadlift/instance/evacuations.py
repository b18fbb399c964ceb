"""Keep calls out of the zones that the operator has evacuated.

The directory leaves the endpoints of such a zone out of those that accept
calls. For a short while they are a last resort, see ``decisions.evacuation``.
"""

from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.decisions.evacuation import compute_stop_time
from roadlift.instance.follower import Follower
from roadlift.instance.metrics import InstanceMetrics
from roadlift.serving.evacuations import Evacuation

log = ComponentLog("evacuations")


@components.register("evacuations")
class ZoneEvacuations:
    """The evacuated zones, and until when each is a last resort."""

    name = "evacuations"
    needs = ("follower", "measures")

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._limit = kernel.settings.evacuate_ms / 1000.0
        self._follower = kernel.get(Follower)
        self._metrics = kernel.get(InstanceMetrics)
        self._stops_at: dict[str, float] = {}
        self._began_at: dict[str, float] = {}
        self._follower.on_evacuation.append(self._update)

    def start(self) -> None:
        """Do nothing: evacuations become known as rows arrive."""

    def close(self) -> None:
        """Do nothing: there is nothing to close."""

    @property
    def are_closing(self) -> bool:
        """Return whether some zone is evacuated and still a last resort."""
        return any(map(self.is_closing, self._stops_at))

    def is_closing(self, zone: str) -> bool:
        """Return whether an evacuated zone still gets calls.

        It gets only those for which no other zone's engine has the adapter.
        """
        return self._clock.now() < self._stops_at.get(zone, float("-inf"))

    def is_closed(self, zone: str) -> bool:
        """Return whether nothing may be sent to a zone."""
        is_evacuated = zone in self._follower.directory.evacuated_zones
        return is_evacuated and not self.is_closing(zone)

    def are_all_evacuated(self, service: str) -> bool:
        """Return whether a service has endpoints in such zones alone."""
        zones = {
            endpoint.zone
            for endpoint in self._follower.directory.list_service(service)
            if not endpoint.is_draining
        }
        return bool(zones) and zones <= self._follower.directory.evacuated_zones

    def _update(self, evacuation: Evacuation, age: float) -> None:
        now = self._clock.now()
        zone = evacuation.zone
        if evacuation.is_active:
            self._began_at[zone] = now
            self._stops_at[zone] = compute_stop_time(self._limit, age, now)
            self._log_begin(zone, age)
        else:
            self._stops_at.pop(zone, None)
            seconds = now - self._began_at.pop(zone, now)
            log.event("zone_returned", zone=zone, seconds=round(seconds, 3))
        evacuated = self._follower.directory.evacuated_zones
        self._metrics.set("roadlift_evacuated_zones", len(evacuated))

    def _log_begin(self, zone: str, age: float) -> None:
        """Log an evacuation, and the services that it leaves no endpoint."""
        endpoints = [
            endpoint
            for endpoint in self._follower.directory.list_all()
            if endpoint.zone == zone
        ]
        log.event(
            "zone_evacuated",
            zone=zone,
            endpoints=len(endpoints),
            age=round(age, 3),
            stops=round(self._stops_at[zone] - self._clock.now(), 3),
        )
        if not endpoints and self._follower.directory.is_known:
            log.warning("The evacuated zone %r has no endpoints.", zone)
        for service in sorted({endpoint.service for endpoint in endpoints}):
            if self.are_all_evacuated(service):
                log.event("service_evacuated", service=service, zone=zone)
