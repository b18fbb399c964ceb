"""Collect and serve the metrics of an instance of the interface ``routes``.

They are served at an address of their own in the text format of Prometheus.
"""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from roadlift.core.errors import ImproperlyConfigured
from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.http.connection import Connection
from roadlift.http.holdings import Callers
from roadlift.http.messages import SMALL_LIMITS, ReceivedRequest
from roadlift.http.server import FEW_CONNECTIONS, Server
from roadlift.instance.metriccatalogue import INSTANCE_METRICS, InstanceMetric
from roadlift.relay.address import Address

PATH = "/metrics"
# Upper bounds of the histograms' buckets in seconds: around the usual latency
# objectives of some tenths of a second, and up to the longest call.
BUCKETS = (0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8, 1.0, 1.5, 2.5, 5.0, 10.0)
_KINDS = {"counter": Counter, "gauge": Gauge, "histogram": Histogram}

log = ComponentLog("measures")


@components.register("measures")
class InstanceMetrics:
    """The metrics of this process, and their address if one is set."""

    name = "measures"
    needs = (Callers.name,)

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._registry = CollectorRegistry()
        self._metrics = {
            metric.name: _make_metric(metric, self._registry)
            for metric in INSTANCE_METRICS
        }
        self._cache: dict[tuple[str, tuple[str, ...]], object] = {}
        self._server: Server | None = None
        address = kernel.settings.metrics
        if address:
            self._server = Server(
                kernel.loop,
                Address.parse(address),
                self,
                SMALL_LIMITS,
                kernel.get(Callers),
                FEW_CONNECTIONS,
            )

    def start(self) -> None:
        """Serve the metrics; a failure does not stop the instance."""
        if self._server is None:
            return
        try:
            self._server.start()
        except OSError as error:
            self._server = None
            address = self._kernel.settings.metrics
            log.error("The metrics can't be served at %s: %s.", address, error)

    def close(self) -> None:
        """Stop serving."""
        if self._server is not None:
            self._server.close()

    def count(self, name: str, *labels: str) -> None:
        """Add one to a counter."""
        self._find(name, labels).inc()

    def add(self, name: str, amount: float, *labels: str) -> None:
        """Add an amount to a counter."""
        self._find(name, labels).inc(amount)

    def observe(self, name: str, value: float, *labels: str) -> None:
        """Add a value to a histogram."""
        self._find(name, labels).observe(value)

    def set(self, name: str, value: float, *labels: str) -> None:
        """Set a gauge."""
        self._find(name, labels).set(value)

    def render(self) -> bytes:
        """Return all metrics as text."""
        lines = self._kernel.lines
        if lines is not None:
            self.set("roadlift_dropped_lines", lines.total_dropped)
        self.set("roadlift_held_bytes", self._kernel.get(Callers).held)
        return generate_latest(self._registry)

    def handle(self, received: ReceivedRequest, caller: Connection) -> None:
        """Answer a request for the metrics."""
        if received.target.partition("?")[0] != PATH:
            caller.answer(404, {"Content-Type": "text/plain"}, b"not found\n")
            return
        caller.answer(200, {"Content-Type": CONTENT_TYPE_LATEST}, self.render())

    def _find(self, name: str, labels: tuple[str, ...]):
        """Return a metric with its labels.

        They are cached: the client library takes 7 us to look labels up.
        """
        found = self._cache.get((name, labels))
        if found is not None:
            return found
        try:
            metric = self._metrics[name]
        except KeyError:
            raise ImproperlyConfigured(f"no metric is named {name!r}") from None
        found = self._cache[name, labels] = metric.labels(*labels) if labels else metric
        return found


def _make_metric(metric: InstanceMetric, registry: CollectorRegistry):
    options = {"buckets": BUCKETS} if metric.kind == "histogram" else {}
    return _KINDS[metric.kind](
        metric.name, metric.meaning, metric.labels, registry=registry, **options
    )
