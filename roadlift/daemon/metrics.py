"""Send counts, gauges and times to statsd, gathered for a second.

docs/ref/metrics.md is generated from METRICS.
"""

from typing import NamedTuple

import statsd

from roadlift.core.errors import ImproperlyConfigured
from roadlift.core.kernel import Kernel, components
from roadlift.relay.address import Address

FLUSH_PERIOD = 1.0  # Seconds.


class Metric(NamedTuple):
    """One metric: its name, its statsd type, its unit and its meaning."""

    name: str
    kind: str
    unit: str
    meaning: str


METRICS = (
    Metric("requests", "counter", "requests", "Requests that were admitted."),
    Metric("refused", "counter", "requests", "Requests refused as not run."),
    Metric("unknown", "counter", "requests", "Requests whose outcome is unknown."),
    Metric("failed", "counter", "requests", "Requests that ran and failed."),
    Metric("retries", "counter", "tries", "Tries after the first."),
    Metric("resumed", "counter", "streams", "Cut streams that were resumed."),
    Metric("cancelled", "counter", "requests", "Runs cancelled as callers left."),
    Metric("yielded", "counter", "times", "Callers refused or cut for want of room."),
    Metric("first_byte", "timer", "ms", "Time to an answer's first byte."),
    Metric("load_stall", "timer", "ms", "Time that a request waited for a pin."),
    Metric("running", "gauge", "requests", "Requests in flight."),
    Metric("pins", "gauge", "pins", "Pins that this instance holds."),
    Metric("owned", "gauge", "endpoints", "Endpoints that this instance owns."),
    Metric("loads", "gauge", "loads", "Loads ordered since the takeovers."),
    Metric("evictions", "gauge", "evictions", "Evictions since the takeovers."),
    Metric("takeovers", "gauge", "takeovers", "Takeovers since the start."),
    Metric("bundle", "gauge", "number", "Number of the bundle in force."),
    Metric("members", "gauge", "instances", "Instances that are seen alive."),
    Metric("peer_bytes_in", "gauge", "bytes", "Bytes from peers since the start."),
    Metric("peer_bytes_out", "gauge", "bytes", "Bytes to peers since the start."),
    Metric("store_reads", "gauge", "calls", "Reads of the platform's stores."),
    Metric("store_writes", "gauge", "calls", "Writes to the platform's stores."),
)
_KINDS = {metric.name: metric.kind for metric in METRICS}


@components.register("metrics")
class Metrics:
    """The metrics of this process."""

    name = "metrics"
    needs = ()

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._counts: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._times: list[tuple[str, float]] = []
        self._client: statsd.StatsClient | None = None
        self._timer = None

    def start(self) -> None:
        """Begin to send, where an address is set."""
        text = self._kernel.settings.statsd
        if not text:
            return
        address = Address.parse(text)
        prefix = f"roadlift.{self._kernel.settings.instance}"
        self._client = statsd.StatsClient(address.host, address.port, prefix)
        self._timer = self._kernel.loop.call_every(FLUSH_PERIOD, self.flush)

    def close(self) -> None:
        """Send what is left."""
        if self._timer is not None:
            self._timer.close()
            self.flush()

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        _check_kind(name, "counter")
        self._counts[name] = self._counts.get(name, 0) + by

    def set(self, name: str, value: float) -> None:
        """Set a gauge."""
        _check_kind(name, "gauge")
        self._gauges[name] = value

    def time(self, name: str, seconds: float) -> None:
        """Note a time."""
        _check_kind(name, "timer")
        if self._client is not None:
            self._times.append((name, seconds))

    def flush(self) -> None:
        """Send what was gathered in few datagrams."""
        with self._client.pipeline() as pipe:
            for name, by in self._counts.items():
                pipe.incr(name, by)
            for name, value in self._gauges.items():
                pipe.gauge(name, value)
            for name, seconds in self._times:
                pipe.timing(name, seconds * 1000.0)
        self._counts.clear()
        self._times.clear()


def _check_kind(name: str, kind: str) -> None:
    if _KINDS.get(name) != kind:
        raise ImproperlyConfigured(f"there is no {kind} {name!r}")
