"""Carry the seeker's messages, and tell it of endpoints and owners."""

from collections.abc import Callable

from roadlift.core.kernel import Kernel, parts
from roadlift.daemon.bundles import Bundles
from roadlift.daemon.members import Members
from roadlift.daemon.transport import Transport
from roadlift.membership.members import State
from roadlift.ownership.election import choose_owner
from roadlift.pins.seeker import Seeker, Waiter
from roadlift.pins.table import HeldPin, PinTable
from roadlift.policy.routing import routers

TICK = 0.1  # Seconds between looks at pins and askings.


@parts.register("pins")
class Pins:
    """The pins of this process, and the search for them."""

    name = "pins"
    needs = ("bundles", "members", "transport")

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._members = kernel.get(Members)
        self._bundles = kernel.get(Bundles)
        self.table = PinTable(kernel.settings.pin_keep)
        self._seeker = Seeker(self, self.table)
        self._zones: dict[str, str] = {}
        self._owners: dict[str, str | None] = {}
        self._routed_for: tuple = ()
        self._timers = []

    def start(self) -> None:
        """Begin to hear owners and to look after the askings."""
        transport = self._kernel.get(Transport)
        transport.subscribe(self._seeker.kinds, self._seeker.receive)
        loop = self._kernel.loop
        self._timers = [
            loop.call_every(TICK, self._seeker.tick),
            loop.call_every(self._kernel.settings.report_period, self._seeker.report),
        ]
        self._members.listen(self._owners.clear)

    def close(self) -> None:
        """Refuse who still waits."""
        for timer in self._timers:
            timer.close()
        self._seeker.close()

    def place(self, model: str, waiter: Waiter) -> None:
        """Find a pin for a request, now or later."""
        self._refresh_router()
        self._seeker.place(model, waiter)

    def end(self, pin: HeldPin) -> None:
        """Count a request under a pin as over."""
        self._seeker.end(pin)

    def drop(self, pin: HeldPin) -> None:
        """Use a pin no more; its copy is gone."""
        self.table.drop(pin)

    # The host of the seeker.

    def now(self) -> float:
        """Return the seconds of the runtime's clock."""
        return self._kernel.clock.now()

    def call_later(self, seconds: float, call: Callable[[], None]) -> object:
        """Call ``call`` after some seconds."""
        return self._kernel.loop.call_later(seconds, call)

    def find_owner(self, endpoint: str) -> str | None:
        """Return the process that should own an endpoint."""
        if endpoint not in self._owners:
            self._owners[endpoint] = self._elect(endpoint)
        return self._owners[endpoint]

    def send(self, process: str, message: object) -> bool:
        """Send a message to a process."""
        return self._members.send(process, message)

    def _elect(self, endpoint: str) -> str | None:
        zone = self._zones.get(endpoint)
        if zone is None:
            return None
        name = choose_owner(endpoint, self._members.list_zone(zone))
        return self._members.find_process(name) if name else None

    def _refresh_router(self) -> None:
        """Route to endpoints that have an owner in their zone alone.

        While an availability zone is cut off its instances count as dead
        here, and its endpoints are passed over.
        """
        alive = self._members.detector.list_members(State.ALIVE, State.SUSPECT)
        zones = frozenset(member.zone for member in alive)
        key = (self._bundles.chain.head, zones)
        if key == self._routed_for:
            return
        self._routed_for = key
        self._owners.clear()
        widths = self._find_engines(zones)
        router = routers.get(self._kernel.settings.router)(widths)
        self._seeker.route_by(router, widths)

    def _find_engines(self, zones: frozenset[str]) -> dict[str, int]:
        """Return the batch widths of the engines in some zones."""
        bundle = self._bundles.bundle
        widths = {}
        for name in bundle.list_names("endpoints"):
            entry = bundle.get_endpoint(name)
            if entry["kind"] != "engine":
                continue
            self._zones[name] = entry["zone"]
            if entry["zone"] in zones:
                widths[name] = entry["width"]
        return widths
