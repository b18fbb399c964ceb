"""Carry the seeker's messages, and tell it of endpoints and owners."""

from collections.abc import Callable

from roadlift.bundles.directory import Directory
from roadlift.core.kernel import Kernel, components
from roadlift.daemon.bundles import Bundles
from roadlift.daemon.members import Members
from roadlift.daemon.rests import Rests
from roadlift.daemon.transport import Transport
from roadlift.ownership.election import choose_owner
from roadlift.pins.requester import PinRequester, Waiter
from roadlift.pins.table import HeldPin, PinTable
from roadlift.policy.routing import BaseModelRouter, Router, routers

TICK = 0.1  # Seconds between looks at pins and askings.


@components.register("pins")
class Pins:
    """The pins of this process, and the search for them."""

    name = "pins"
    needs = ("bundles", "members", "rests", "transport")

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._members = kernel.get(Members)
        self._bundles = kernel.get(Bundles)
        self._rests = kernel.get(Rests)
        self.table = PinTable(kernel.settings.pin_keep)
        self._requester = PinRequester(self, self.table)
        self._owners: dict[str, str | None] = {}
        self._routed_for: tuple = ()
        self._timers = []

    def start(self) -> None:
        """Begin to receive updates of owners, and to repeat requests."""
        transport = self._kernel.get(Transport)
        transport.subscribe(self._requester.message_types, self._requester.receive)
        loop = self._kernel.loop
        self._timers = [
            loop.call_every(TICK, self._requester.tick),
            loop.call_every(
                self._kernel.settings.report_period, self._requester.report
            ),
        ]
        self._members.listen(self._owners.clear)

    def close(self) -> None:
        """Refuse who still waits."""
        for timer in self._timers:
            timer.close()
        self._requester.close()

    def place(self, model: str, waiter: Waiter) -> None:
        """Find a pin for a request, now or later."""
        self._refresh_router()
        self._requester.place(model, waiter)

    def end(self, pin: HeldPin) -> None:
        """Count a request under a pin as over."""
        self._requester.end(pin)

    def drop(self, pin: HeldPin) -> None:
        """Stop using a pin; its copy is gone."""
        self.table.drop(pin)

    def record_refusal(self, endpoint: str) -> None:
        """Prefer other endpoints for a while, as this one says it is full."""
        self._requester.record_refusal(endpoint)

    # The host of the seeker.

    def now(self) -> float:
        """Return the seconds of the runtime's clock."""
        return self._kernel.clock.now()

    def call_later(self, seconds: float, call: Callable[[], None]) -> object:
        """Call ``call`` after some seconds."""
        return self._kernel.loop.call_later(seconds, call)

    def find_owner(self, endpoint: str) -> str | None:
        """Return the process that should own an endpoint."""
        owner = self._owners.get(endpoint)
        if owner is None:
            owner = self._owners[endpoint] = self._elect(endpoint)
        return owner

    def send(self, process: str, message: object) -> bool:
        """Send a message to a process."""
        return self._members.send(process, message)

    def is_backing_off(self, endpoint: str) -> bool:
        """Return whether an endpoint wants no calls from this process now."""
        return self._rests.measure(endpoint) > 0.0

    def _elect(self, endpoint: str) -> str | None:
        found = self._bundles.directory.find(endpoint)
        if found is None or not self._members.is_settled:
            return None
        name = choose_owner(endpoint, self._members.list_zone(found.zone))
        return self._members.find_process(name) if name else None

    def _refresh_router(self) -> None:
        """Route to endpoints that have an owner in their zone alone.

        While an availability zone is cut off its instances count as dead
        here, and its endpoints are passed over. The rings are built anew only
        after a change of the endpoints or of the zones.
        """
        directory = self._bundles.directory
        key = (directory, self._members.list_zones())
        if key == self._routed_for:
            return
        self._routed_for = key
        self._owners.clear()
        self._requester.set_router(*self._make_router(*key))

    def _make_router(
        self, directory: Directory, zones: frozenset[str]
    ) -> tuple[Router, dict[str, int]]:
        """Return a router for each base model, and the engines' widths."""
        make = routers.get(self._kernel.settings.router)
        widths: dict[str, int] = {}
        by_base: dict[str, list[str]] = {}
        for zone in directory.list_zones():
            for engine in directory.list_engines(zone) if zone in zones else ():
                widths[engine.name] = engine.width
                by_base.setdefault(engine.base, []).append(engine.name)
        parts = {base: make(names) for base, names in by_base.items()}
        return BaseModelRouter(parts, self._find_base), widths

    def _find_base(self, model: str) -> str:
        found = self._bundles.find_model(model)
        return found.adapter["base"] if found else ""
