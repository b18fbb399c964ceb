"""Know whether this instance is cut off from all endpoints."""

from collections.abc import Callable, Collection
from random import Random

from roadlift.core.errors import EndpointUnreachable, RoadliftError
from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.decisions.isolation import (
    CHECKED_ENDPOINTS,
    CONFIRMING_ENDPOINTS,
    ReachSigns,
)
from roadlift.instance.aggregator import Aggregator
from roadlift.instance.gateways import Gateways
from roadlift.instance.knowledge import Knowledge
from roadlift.instance.leases import Leases
from roadlift.instance.metrics import InstanceMetrics
from roadlift.instance.reach import check_reach
from roadlift.relay.address import Address

TICK = 0.1  # Seconds between looks at the signs.
CHECK_INTERVAL = 0.5  # Seconds between two checks.
# Checks in a row that have to succeed before endpoints are used again, so that
# a path that comes and goes does not move calls to and fro.
CLEARING_CHECKS = 2

log = ComponentLog("isolation")


@components.register("isolation")
class Isolation:
    """Whether endpoints are reached, and which instances can stand in.

    ``on_gateway`` is called while this instance is isolated and another one
    that takes its calls was found.
    """

    name = "isolation"
    needs = (Aggregator.name, "follower", "knowledge", "leases", "measures")

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._rng = Random(kernel.started_at_ms)
        self._leases = kernel.get(Leases)
        self._health = kernel.get(Knowledge).health
        self._metrics = kernel.get(InstanceMetrics)
        self._signs = ReachSigns()
        self._gateways = Gateways(kernel, self._rng, lambda: not self.is_isolated)
        self._gateways.on_found = self._handle_gateway
        self._checked_at = float("-inf")
        self._is_checking = False
        self._successes = 0
        self._timer = None
        self.is_isolated = False
        self.on_gateway: list[Callable[[], None]] = []

    def start(self) -> None:
        """Begin to look at the signs."""
        self._timer = self._kernel.loop.call_every(TICK, self._tick)

    def close(self) -> None:
        """Stop looking."""
        self._timer.close()
        self._gateways.close()

    # Signs

    def record_sent(self) -> None:
        """Record that a call was sent to an endpoint."""
        self._signs.record_sent(self._kernel.clock.now())

    def record_heard(self) -> None:
        """Record that an endpoint answered."""
        self._signs.record_heard(self._kernel.clock.now())

    def record_error(self, endpoint: str, error: RoadliftError) -> None:
        """Record that a send failed; failed connections are a sign."""
        if isinstance(error, EndpointUnreachable):
            self._signs.record_failed(endpoint, self._kernel.clock.now())

    def confirm_reach(self, endpoint: str, on_result: Callable[[bool], None]) -> None:
        """Check whether other endpoints are reached than the one given."""
        check_reach(self._kernel, self._rng, CHECKED_ENDPOINTS, {endpoint}, on_result)

    @property
    def is_cut_off(self) -> bool:
        """Return whether a call that stays here can't be served now."""
        return self.is_isolated and self._signs.is_silent(self._kernel.clock.now())

    # Instances that stand in

    def choose_gateway(self, excluded: Collection[Address] = ()) -> Address | None:
        """Return an instance to forward a call to, or None.

        There is none while this instance reaches endpoints by itself.
        """
        return self._gateways.choose(excluded) if self.is_isolated else None

    def drop_gateway(self, address: Address) -> None:
        """Forget an instance that did not take a call."""
        self._gateways.drop(address)

    def _handle_gateway(self) -> None:
        """Let go of what others need, as one of them reaches endpoints."""
        if not self.is_isolated:
            return
        self._leases.suspend()
        for listener in self.on_gateway:
            listener()

    # Checks

    def _tick(self) -> None:
        now = self._kernel.clock.now()
        if self._is_checking or now - self._checked_at < CHECK_INTERVAL:
            return
        if self.is_isolated:
            self._check(CHECKED_ENDPOINTS, self._handle_recheck)
        elif self._signs.is_suspicious(now):
            self._check(CHECKED_ENDPOINTS, self._handle_suspicion)

    def _check(self, count: int, on_result: Callable[[bool], None]) -> None:
        self._is_checking = True
        self._checked_at = self._kernel.clock.now()
        check_reach(
            self._kernel,
            self._rng,
            count,
            (),
            lambda is_reached: self._handle_check(is_reached, on_result),
        )

    def _handle_check(
        self, is_reached: bool, on_result: Callable[[bool], None]
    ) -> None:
        result = "reached" if is_reached else "failed"
        self._metrics.count("roadlift_reach_checks", result)
        on_result(is_reached)

    def _handle_suspicion(self, is_reached: bool) -> None:
        if is_reached:
            self._clear()
        else:
            self._gateways.start()
            self._check(CONFIRMING_ENDPOINTS, self._handle_confirmation)

    def _handle_confirmation(self, is_reached: bool) -> None:
        if is_reached:
            self._clear()
            return
        self._is_checking = False
        self._successes = 0
        self.is_isolated = True
        self._metrics.set("roadlift_isolated", 1)
        log.event("isolated")
        if self._gateways.choose() is not None:
            self._handle_gateway()

    def _handle_recheck(self, is_reached: bool) -> None:
        self._is_checking = False
        self._successes = self._successes + 1 if is_reached else 0
        if self._successes >= CLEARING_CHECKS:
            self._clear()

    def _clear(self) -> None:
        """Use endpoints again, as if none of them had failed."""
        self._is_checking = False
        self._signs.reset()
        self._gateways.close()
        if not self.is_isolated:
            return
        self.is_isolated = False
        self._metrics.set("roadlift_isolated", 0)
        self._health.forget_failures()
        self._leases.resume()
        log.event("isolation_ended")
