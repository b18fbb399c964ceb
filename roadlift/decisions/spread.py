"""Spread the calls of a plain service, and turn away what it can't run.

Load pattern: tens of instances send short calls to a few endpoints. An
instance has no call under way most of the time, so its own calls tell it
nothing; each prefers its own zone, as bytes between zones are dear, and the
zone with most callers and fewest endpoints queues and refuses while others
stand idle. So instances tell how many calls they have under way, as fading
means, and sums by zone are told back to all: each then knows what its zone
asks for and what room the others have, and sends abroad just what is too much
at home. What is 0.5 s old can be gone by, as sums of means change slowly; each
call draws its zone, so that not all choose the same.

Where more is asked for than can run, the endpoints' queues fill, and what is
served is late: half of it at 1.2 times what can run. What is let in is then
bounded by what was served of late, less what is queued too much already; the
rest is refused at once, as not run.
"""

import random
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from roadlift.decisions.rates import Level, Rate
from roadlift.serving.directory import Endpoint

# Seconds over which calls under way and rates are taken: some calls at each
# slot; a burst is followed within the second.
SPAN = 0.4
# Part of a zone's slots that its own calls may keep busy before any are sent
# abroad; the rest is for bursts within the span.
KEPT_PART = 0.6
# Part of a call's objective that the calls before it may take, waiting and
# running, by how many are under way and served a second; the rest is for what
# differs between endpoints and calls.
FULL_PART = 0.6
# Calls under way for each slot up to which a call that failed is sent again:
# beyond that, a second try takes the slot of a first one.
SPARE_FILL = 0.8
# Seconds in which what is queued beyond that is to be gone.
SETTLE = 0.5
# Seconds behind the last news in which they stand.
NEWS_LIMIT = 1.2
# Seconds until a caller that was refused comes back, at least.
LEAST_RETURN = 0.15


class ServiceLoad(NamedTuple):
    """Calls under way, and calls asked for and served a second."""

    busy: float
    asked: float
    served: float

    def add(self, other: "ServiceLoad") -> "ServiceLoad":
        """Return the sum of two."""
        return ServiceLoad(*(one + two for one, two in zip(self, other, strict=True)))


NO_LOAD = ServiceLoad(0.0, 0.0, 0.0)


class OwnLoad:
    """The calls of one instance to one service."""

    def __init__(self, now: float) -> None:
        self._busy = Level(SPAN, now)
        self._asked = Rate(SPAN, now)
        self._served = Rate(SPAN, now)

    def note_asked(self, now: float) -> None:
        """Count a call that came, whatever becomes of it."""
        self._asked.note(1.0, now)

    def begin(self, now: float) -> None:
        """Count a send that is under way."""
        self._busy.change(1, now)

    def end(self, has_run: bool, now: float) -> None:
        """Count the end of a send."""
        self._busy.change(-1, now)
        if has_run:
            self._served.note(1.0, now)

    def measure(self, now: float) -> ServiceLoad:
        """Return the load of late."""
        return ServiceLoad(
            self._busy.measure(now),
            self._asked.measure(now),
            self._served.measure(now),
        )


def share_out(
    home: str, busy: Mapping[str, float], slots: Mapping[str, float]
) -> dict[str, float]:
    """Return the part of a zone's calls that goes to each zone.

    ``busy`` are the calls under way of each zone's instances, ``slots`` what
    each zone's endpoints run at once.
    """
    total = sum(slots.values())
    level = max(KEPT_PART, sum(busy.values()) / total)
    own = busy.get(home, 0.0)
    room = level * slots.get(home, 0.0)
    if own <= room:
        return {home: 1.0}
    spare = {
        zone: max(0.0, level * count - busy.get(zone, 0.0))
        for zone, count in slots.items()
        if zone != home
    }
    most = sum(spare.values())
    if not most:
        return {zone: count / total for zone, count in slots.items()}
    abroad = (own - room) / own
    parts = {zone: abroad * one / most for zone, one in spare.items()}
    return {home: 1.0 - abroad, **parts}


def measure_part(load: ServiceLoad, slots: float, objective: float) -> float:
    """Return the part of the calls that can be let in.

    While fewer calls are under way than there are slots, that is all.
    """
    excess = load.busy - max(slots, FULL_PART * objective * load.served)
    if excess <= 0 or not load.asked:
        return 1.0
    return min(1.0, max(0.0, load.served - excess / SETTLE) / load.asked)


class ServiceSpread:
    """What one instance knows of the calls to plain services."""

    def __init__(self, home: str, rng: random.Random) -> None:
        self._home = home
        self._rng = rng
        self._loads: Mapping[str, Mapping[str, ServiceLoad]] = {}
        self._heard_at = float("-inf")

    def note_news(
        self, loads: Mapping[str, Mapping[str, ServiceLoad]], now: float
    ) -> None:
        """Learn the loads by service and zone of the instances."""
        self._loads = loads
        self._heard_at = now

    def _find(self, service: str, now: float) -> Mapping[str, ServiceLoad]:
        is_old = now - self._heard_at > NEWS_LIMIT
        return {} if is_old else self._loads.get(service, {})

    def choose_zone(
        self, service: str, endpoints: Sequence[Endpoint], now: float
    ) -> str | None:
        """Return the zone for a call, or None where too little is known."""
        loads = self._find(service, now)
        slots: dict[str, float] = {}
        for one in endpoints:
            slots[one.zone] = slots.get(one.zone, 0.0) + max(1, one.slots)
        if not loads or not slots:
            return None
        busy = {zone: load.busy for zone, load in loads.items()}
        parts = share_out(self._home, busy, slots)
        return self._rng.choices(list(parts), list(parts.values()))[0]

    def measure_fill(
        self, service: str, endpoints: Sequence[Endpoint], now: float
    ) -> float:
        """Return the calls under way for each slot, 0 if nothing is known."""
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
        """Return when a call may come back that there is no room for, or None.

        ``objective`` is the call's, in seconds. It comes back behind what is
        queued by now, each caller a little later than another.
        """
        total = NO_LOAD
        for load in self._find(service, now).values():
            total = total.add(load)
        slots = sum(max(1, one.slots) for one in endpoints)
        if self._rng.random() < measure_part(total, slots, objective):
            return None
        queued = (total.busy - slots) / total.served if total.served else 1.0
        return max(LEAST_RETURN, queued) * (1.0 + self._rng.random())
