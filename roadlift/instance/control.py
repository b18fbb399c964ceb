"""Publish the costs of the control plane: messages, bytes, store calls."""

from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.core.traffic import Count, Kind
from roadlift.daemon.transport import Transport
from roadlift.instance.metrics import InstanceMetrics
from roadlift.instance.platform import Platform
from roadlift.serving.interfaces import StoreCall

# Seconds between two log lines and updates of the metrics. A line takes some
# 600 bytes.
PUBLISH_INTERVAL = 10.0

log = ComponentLog("control")


@components.register("control")
class ControlCosts:
    """Publishes the counters of other components, and their increments."""

    name = "control"
    needs = ("measures", "platform", "transport")

    def __init__(self, kernel: Kernel) -> None:
        self._loop = kernel.loop
        self._metrics = kernel.get(InstanceMetrics)
        self._traffic = kernel.get(Transport).traffic
        self._store = kernel.get(Platform).store
        self._published_counts: dict[Kind, Count] = {}
        self._published_calls: dict[StoreCall, int] = {}
        self._timer = None

    def start(self) -> None:
        """Begin to publish."""
        self._timer = self._loop.call_every(PUBLISH_INTERVAL, self._publish)

    def close(self) -> None:
        """Publish for the last time."""
        if self._timer is not None:
            self._timer.close()
            self._publish()

    def _publish(self) -> None:
        """Update the metrics, and log the counts since the start."""
        counts = dict(self._traffic.list_counts())
        calls = dict(self._store.calls)
        for kind, count in counts.items():
            before = self._published_counts.get(kind, Count(0, 0))
            increment = count.messages - before.messages
            self._metrics.add("roadlift_messages", increment, *kind)
            self._metrics.add("roadlift_message_bytes", count.size - before.size, *kind)
        for call, count in calls.items():
            increment = count - self._published_calls.get(call, 0)
            self._metrics.add("roadlift_store_calls", increment, *call)
        self._published_counts, self._published_calls = counts, calls
        log.event(
            "control_costs",
            messages={"/".join(kind): list(count) for kind, count in counts.items()},
            store_calls={"/".join(call): count for call, count in calls.items()},
        )
