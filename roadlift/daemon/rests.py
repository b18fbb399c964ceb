"""Keep which endpoints asked this process for time without calls."""

import random

from roadlift.core.kernel import Kernel, components
from roadlift.core.logs import ComponentLog
from roadlift.decisions.availability import EndpointAvailability

log = ComponentLog("rests")


@components.register("rests")
class Rests:
    """The rests that endpoints asked for, by name.

    A name says nothing of starts, so a rest holds for the next one as well.
    """

    name = "rests"
    needs = ()

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._rng = random.Random(kernel.started_at_ms)
        self._known: dict[str, EndpointAvailability] = {}

    def start(self) -> None:
        """Do nothing; answers come later."""

    def close(self) -> None:
        """Do nothing."""

    def measure(self, endpoint: str) -> float:
        """Return the seconds until a call may be tried at an endpoint."""
        known = self._known.get(endpoint)
        return known.measure_backoff(self._clock.now()) if known else 0.0

    def is_awake(self, endpoint: str) -> bool:
        """Return whether an endpoint's rest is over."""
        known = self._known.get(endpoint)
        return known is None or self._clock.now() >= known.backoff_until

    def record_send(self, endpoint: str) -> None:
        """Count a call that is sent."""
        if endpoint in self._known:
            self._known[endpoint].record_send(self._clock.now())

    def record_accepted(self, endpoint: str, sent_at: float) -> None:
        """Record that a call was not turned away."""
        if endpoint in self._known:
            self._known[endpoint].record_accepted(sent_at)

    def record_backoff(self, endpoint: str, seconds: float) -> None:
        """Record that an endpoint turned a call away and asked for rest."""
        if not endpoint or not seconds:
            return
        standing = self._known.setdefault(endpoint, EndpointAvailability())
        is_new = self.is_awake(endpoint)
        standing.record_backoff(seconds, self._rng.random(), self._clock.now())
        if is_new:
            log.event("endpoint_resting", endpoint=endpoint, asked=seconds)
