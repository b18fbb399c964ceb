"""Answer the small requests: health, models, status and burn."""

import json
from collections.abc import Callable
from typing import Any, Protocol

from roadlift.burn.record import BurnRecord
from roadlift.core.kernel import Kernel, components
from roadlift.daemon.bundles import Bundles, StorePart
from roadlift.daemon.members import Members
from roadlift.daemon.metrics import Metrics
from roadlift.daemon.owners import OwnedEndpoint, Owners
from roadlift.daemon.pins import Pins
from roadlift.daemon.transport import Transport
from roadlift.membership.members import State
from roadlift.relay.upstream import Answer

GAUGE_PERIOD = 1.0  # Seconds.
_JSON = {"Content-Type": "application/json"}
_TEXT = {"Content-Type": "text/plain"}


class Front(Protocol):
    """What the status tells of the HTTP side."""

    running: int
    burn: BurnRecord


@components.register("status")
class Status:
    """What this process tells of itself."""

    name = "status"
    needs = ("bundles", "members", "metrics", "owners", "pins", "store", "transport")

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._front: Front | None = None
        self._timer = None
        self.is_ready = True
        self._paths: dict[str, Callable[[], Answer]] = {
            "/livez": lambda: Answer(200, _TEXT, b"ok\n"),
            "/readyz": self._answer_ready,
            "/status": lambda: _answer_json(self.describe()),
            "/burn": lambda: _answer_json(self._list_burn()),
            "/v1/models": lambda: _answer_json(self._list_models()),
        }

    def attach(self, front: Front) -> None:
        """Learn of the HTTP side, which is built after this part."""
        self._front = front

    def start(self) -> None:
        """Begin to set the gauges."""
        self._timer = self._kernel.loop.call_every(GAUGE_PERIOD, self._set_gauges)

    def close(self) -> None:
        """Stop setting gauges."""
        self._timer.close()

    def answer(self, method: str, path: str) -> Answer | None:
        """Return the answer to a small request, or None for another path."""
        respond = self._paths.get(path)
        return respond() if respond and method in ("GET", "HEAD") else None

    def describe(self) -> dict[str, Any]:
        """Return what ``roadlift instances`` and ``endpoints`` show."""
        get = self._kernel.get
        detector = get(Members).detector
        chain = get(Bundles).chain
        transport = get(Transport)
        store = get(StorePart).store
        return {
            "process": detector.local_member.process,
            "zone": detector.local_member.zone,
            "state": State(detector.local_member.state).name.lower(),
            "bundle": {"number": chain.head.number, "digest": chain.head.digest},
            "running": self._front.running,
            "members": [
                {**m._asdict(), "state": State(m.state).name.lower()}
                for m in detector.list_members()
            ],
            "endpoints": [
                _describe_endpoint(owned) for owned in get(Owners).list_owned()
            ],
            "takeovers": get(Owners).takeovers,
            "peer_bytes": {"in": transport.bytes_in, "out": transport.bytes_out},
            "store_calls": {"reads": store.reads, "writes": store.writes},
        }

    def _answer_ready(self) -> Answer:
        reason = self._find_obstacle()
        if reason is None:
            return Answer(200, _TEXT, b"ready\n")
        return Answer(503, _TEXT, reason)

    def _find_obstacle(self) -> bytes | None:
        """Return why this instance should get no calls yet, or None.

        Before it knows the others and has met its endpoints, a call would
        wait here for seconds.
        """
        if not self.is_ready:
            return b"leaving\n"
        if self._kernel.get(Bundles).chain.head.number == 0:
            return b"no bundle\n"
        if not self._kernel.get(Owners).is_settled:
            return b"joining\n"
        return None

    def _list_burn(self) -> dict[str, Any]:
        rows = self._front.burn.list_rows(self._kernel.clock.now())
        owned = self._kernel.get(Owners).list_owned()
        fills = [
            {"endpoint": one.name, "fill_sum": one.fill_sum, "fills": one.fills}
            for one in owned
        ]
        return {"rows": rows, "fills": fills}

    def _list_models(self) -> dict[str, Any]:
        models = self._kernel.get(Bundles).bundle.iterate_models()
        data = [
            {"id": str(model), "object": "model", "created": 0, "owned_by": "roadlift"}
            for model in models
        ]
        return {"object": "list", "data": data}

    def _set_gauges(self) -> None:
        get = self._kernel.get
        metrics = get(Metrics)
        owned = get(Owners).list_owned()
        transport = get(Transport)
        store = get(StorePart).store
        metrics.set("running", self._front.running)
        metrics.set("owned", len(owned))
        metrics.set("pins", get(Pins).table.count_pins())
        metrics.set("loads", sum(one.book.loads for one in owned))
        metrics.set("evictions", sum(one.book.evictions for one in owned))
        metrics.set("takeovers", get(Owners).takeovers)
        metrics.set("bundle", get(Bundles).chain.head.number)
        metrics.set("members", len(get(Members).list_peers()) + 1)
        metrics.set("peer_bytes_in", transport.bytes_in)
        metrics.set("peer_bytes_out", transport.bytes_out)
        metrics.set("store_reads", store.reads)
        metrics.set("store_writes", store.writes)


def _answer_json(content: Any) -> Answer:
    return Answer(200, _JSON, json.dumps(content).encode())


def _describe_endpoint(owned: OwnedEndpoint) -> dict[str, Any]:
    book = owned.book
    return {
        "endpoint": owned.name,
        "epoch": f"{book.epoch:x}",
        "slots": book.properties.slots,
        "copies": [
            {
                "copy": copy.name,
                "state": copy.state.value,
                "pins": sorted(copy.pins),
                "running": copy.count_running(),
            }
            for copy in book.copies.values()
        ],
        "unproven": sorted(book.unproven),
        "waiting": len(book.waiting),
        "running": owned.load.running,
        "queued": owned.load.waiting,
        "loads": book.loads,
        "evictions": book.evictions,
    }
