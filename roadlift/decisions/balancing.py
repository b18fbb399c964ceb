"""Balance the calls of a plain service, and refuse what it can't run.

Load pattern: tens of instances send short calls to a few endpoints. An
instance has no call in progress most of the time, so its own calls say nothing
about the load. Each prefers its local zone, because traffic between zones is
expensive; without balancing, the zone with most callers and fewest endpoints
queues and refuses while others are idle. Therefore instances report how many
calls they have in progress, as decaying means, and the sums by zone are sent
back to all. Each instance then knows the demand of its zone and the free
capacity of the others, and sends to remote zones only what exceeds the local
capacity, and to other regions only what exceeds that of its own. A sum of
means changes slowly enough to be used for 0.5 s. Each call samples its zone at
random, so that not all choose the same one.

If the demand exceeds the capacity, the endpoints' queues fill and calls are
served late: half of them at 1.2 times the capacity. The admitted rate is then
bounded by the rate served recently, less the excess in the queues; the rest is
refused at once, as not run.
"""

import random
from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

from roadlift.decisions.homes import NO_REGIONS, Regions
from roadlift.decisions.rates import LevelMean, Rate
from roadlift.serving.directory import Endpoint

# Window in seconds of the means of calls in progress and of rates: some calls
# for each slot; a burst is followed within the second.
WINDOW = 0.4
# Fraction of a zone's slots that its own calls may keep busy before any are
# sent to remote zones; the rest is for bursts within the window.
LOCAL_FRACTION = 0.6
# Fraction of a call's objective that the calls before it may take, waiting and
# running, by how many are in progress and served a second; the rest allows for
# differences between endpoints and between calls.
OBJECTIVE_FRACTION = 0.6
# Calls in progress for each slot up to which a failed call is sent again:
# beyond that, a second attempt takes the slot of a first one.
MAX_RETRY_FILL = 0.8
# Seconds in which the excess in the queues is to be worked off.
SETTLE_TIME = 0.5
# Seconds after which received loads are no longer used.
LOADS_MAX_AGE = 1.2
# Shortest time until a refused caller comes back, in seconds.
MIN_RETURN_DELAY = 0.15


class ServiceLoad(NamedTuple):
    """Calls in progress, and calls requested and served a second."""

    busy: float
    asked: float
    served: float

    def add(self, other: "ServiceLoad") -> "ServiceLoad":
        """Return the sum of two loads."""
        return ServiceLoad(*(one + two for one, two in zip(self, other, strict=True)))


NO_LOAD = ServiceLoad(0.0, 0.0, 0.0)


class LocalLoad:
    """The calls of one instance to one service."""

    def __init__(self, now: float) -> None:
        self._busy = LevelMean(WINDOW, now)
        self._asked = Rate(WINDOW, now)
        self._served = Rate(WINDOW, now)

    def count_request(self, now: float) -> None:
        """Count a call that arrived, whatever its outcome."""
        self._asked.note(1.0, now)

    def begin(self, now: float) -> None:
        """Count a send that is in progress."""
        self._busy.change(1, now)

    def end(self, has_run: bool, now: float) -> None:
        """Count the end of a send."""
        self._busy.change(-1, now)
        if has_run:
            self._served.note(1.0, now)

    def measure(self, now: float) -> ServiceLoad:
        """Return the recent load."""
        return ServiceLoad(
            self._busy.measure(now),
            self._asked.measure(now),
            self._served.measure(now),
        )


def compute_zone_fractions(
    local_zone: str,
    busy: Mapping[str, float],
    slots: Mapping[str, float],
    far: Collection[str] = (),
) -> dict[str, float]:
    """Return the fraction of a zone's calls that goes to each zone.

    ``busy`` is the number of calls in progress of each zone's instances,
    ``slots`` the number that each zone's endpoints run at once; ``far`` are
    the zones of other regions.
    """
    total = sum(slots.values())
    level = max(LOCAL_FRACTION, sum(busy.values()) / total)
    local_busy = busy.get(local_zone, 0.0)
    capacity = level * slots.get(local_zone, 0.0)
    if local_busy <= capacity:
        return {local_zone: 1.0}
    spare = {
        zone: max(0.0, level * count - busy.get(zone, 0.0))
        for zone, count in slots.items()
        if zone != local_zone
    }
    if not sum(spare.values()):
        return {zone: count / total for zone, count in slots.items()}
    remote = (local_busy - capacity) / local_busy
    near_spare = {zone: count for zone, count in spare.items() if zone not in far}
    far_spare = {zone: count for zone, count in spare.items() if zone in far}
    near = remote
    if sum(far_spare.values()):
        near = min(remote, sum(near_spare.values()) / local_busy)
    return {
        local_zone: 1.0 - remote,
        **_divide(near, near_spare),
        **_divide(remote - near, far_spare),
    }


def _divide(fraction: float, spare: Mapping[str, float]) -> dict[str, float]:
    """Divide a fraction of the calls by the free capacity of zones."""
    total = sum(spare.values())
    return {zone: fraction * count / total for zone, count in spare.items() if total}


def compute_admitted_fraction(
    load: ServiceLoad, slots: float, objective: float
) -> float:
    """Return the fraction of the calls that can be admitted.

    It is 1 while fewer calls are in progress than there are slots.
    """
    excess = load.busy - max(slots, OBJECTIVE_FRACTION * objective * load.served)
    if excess <= 0 or not load.asked:
        return 1.0
    return min(1.0, max(0.0, load.served - excess / SETTLE_TIME) / load.asked)


class ServiceBalancer:
    """The load of plain services as known to one instance."""

    def __init__(
        self, local_zone: str, rng: random.Random, regions: Regions = NO_REGIONS
    ) -> None:
        self._local_zone = local_zone
        self._regions = regions
        self._rng = rng
        self._loads: Mapping[str, Mapping[str, ServiceLoad]] = {}
        self._received_at = float("-inf")

    def record_update(
        self, loads: Mapping[str, Mapping[str, ServiceLoad]], now: float
    ) -> None:
        """Replace the loads, by service and by zone of the instances."""
        self._loads = loads
        self._received_at = now

    def _find(self, service: str, now: float) -> Mapping[str, ServiceLoad]:
        is_old = now - self._received_at > LOADS_MAX_AGE
        return {} if is_old else self._loads.get(service, {})

    def choose_zone(
        self, service: str, endpoints: Sequence[Endpoint], now: float
    ) -> str | None:
        """Return the zone for a call, or None if too little is known."""
        loads = self._find(service, now)
        slots: dict[str, float] = {}
        for endpoint in endpoints:
            slots[endpoint.zone] = slots.get(endpoint.zone, 0.0) + max(
                1, endpoint.slots
            )
        if not loads or not slots:
            return None
        busy = {zone: load.busy for zone, load in loads.items()}
        far = [one for one in slots if self._regions.are_apart(one, self._local_zone)]
        fractions = compute_zone_fractions(self._local_zone, busy, slots, far)
        return self._rng.choices(list(fractions), list(fractions.values()))[0]

    def compute_fill(
        self, service: str, endpoints: Sequence[Endpoint], now: float
    ) -> float:
        """Return the calls in progress for each slot; 0 if unknown."""
        slots = sum(max(1, one.slots) for one in endpoints)
        busy = sum(load.busy for load in self._find(service, now).values())
        return busy / slots if slots else 0.0

    def refuse(
        self,
        service: str,
        endpoints: Sequence[Endpoint],
        objective: float,
        now: float,
    ) -> float | None:
        """Return in how many seconds a refused call may come back, or None.

        ``objective`` is the call's, in seconds. The call comes back after what
        is queued now, each caller a little later than another.
        """
        total = NO_LOAD
        for load in self._find(service, now).values():
            total = total.add(load)
        slots = sum(max(1, one.slots) for one in endpoints)
        if self._rng.random() < compute_admitted_fraction(total, slots, objective):
            return None
        queued = (total.busy - slots) / total.served if total.served else 1.0
        return max(MIN_RETURN_DELAY, queued) * (1.0 + self._rng.random())
