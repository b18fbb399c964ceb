"""Know how loaded engines are, from what owners tell and what was sent since.

Load pattern: many instances send to the same engines without a common count.
An owner tells what all of them have there, some tens of milliseconds late;
what this process has sent or ended since is added, so that it does not send a
second long prompt behind a first one that nobody has told of yet.
"""

from collections.abc import Collection, Mapping
from typing import NamedTuple

from roadlift.serving.loads import INITIAL_DURATION, measure_queue

# Part by which an engine's calls, or the prompt tokens unread there, must
# differ from what was told to be told again, and the tokens of that at least.
TOLD_PART = 0.2
TOLD_TOKENS = 512
# Places of an engine of which nothing is told: enough to be asked.
UNTOLD_PLACES = 1
TELL_ALL_PERIOD = 2.0  # Seconds between tellings of the loads of all engines.


class EngineLoad(NamedTuple):
    """How loaded an engine is: calls, prompt tokens unread, free places.

    ``places`` are those in which adapters can be loaded now; a negative number
    tells how many wait beyond them. ``loads`` are on their way or waiting,
    each of which takes ``load_time`` seconds, as its owner saw of late.
    """

    running: int
    reading: int
    places: int
    loads: int = 0
    load_time: float = INITIAL_DURATION

    def differs(self, told: "EngineLoad") -> bool:
        """Tell whether a subscriber should hear of this load."""
        calls = abs(self.running - told.running) > TOLD_PART * told.running
        change = abs(self.reading - told.reading)
        tokens = change > max(TOLD_TOKENS, TOLD_PART * told.reading)
        is_same = (self.places, self.loads) == (told.places, told.loads)
        pace = abs(self.load_time - told.load_time) > TOLD_PART * told.load_time
        return calls or tokens or pace or not is_same


class ToldLoads:
    """The loads of engines as one listener, or a group, was told them."""

    def __init__(self) -> None:
        self._loads: dict[str, EngineLoad] = {}
        self._all_at = float("-inf")

    def list_changed(self, loads: Mapping[str, EngineLoad], now: float) -> list:
        """Return the loads that differ from what was told, as to be told now.

        All of them each TELL_ALL_PERIOD, as a message may have been dropped.
        """
        if now - self._all_at >= TELL_ALL_PERIOD:
            self._all_at = now
            self._loads.clear()
        changed = []
        for name, load in loads.items():
            known = self._loads.get(name)
            if known is None or load.differs(known):
                self._loads[name] = load
                changed.append([name, *load])
        return changed


class _Told(NamedTuple):
    """A load as a zone's owner told it, and the own part at that time."""

    load: EngineLoad
    zone: str
    own_running: int
    own_reading: int


class Workload:
    """The loads of engines as one process knows them."""

    def __init__(self) -> None:
        self._told: dict[str, _Told] = {}
        self._reading: dict[str, int] = {}
        self._silent_zones: set[str] = set()

    def change_reading(self, endpoint: str, tokens: int) -> None:
        """Count prompt tokens that this process sent, or that were read."""
        self._reading[endpoint] = max(0, self.count_own_reading(endpoint) + tokens)

    def count_own_reading(self, endpoint: str) -> int:
        """Return the unread prompt tokens of this process's calls."""
        return self._reading.get(endpoint, 0)

    def note_told(
        self, endpoint: str, zone: str, load: EngineLoad, own_running: int
    ) -> None:
        """Learn what an owner tells, while so many own calls run there."""
        own_reading = self.count_own_reading(endpoint)
        self._told[endpoint] = _Told(load, zone, own_running, own_reading)

    def pass_over(self, zones: Collection[str]) -> None:
        """Use nothing that the owners of zones told, as they fell silent."""
        self._silent_zones = set(zones)

    def _find_told(self, endpoint: str) -> _Told | None:
        told = self._told.get(endpoint)
        return None if told is None or told.zone in self._silent_zones else told

    def take_place(self, endpoint: str) -> None:
        """Count a load that this process asked for, and its place."""
        told = self._told.get(endpoint)
        if told is not None:
            load = told.load._replace(
                places=told.load.places - 1, loads=told.load.loads + 1
            )
            self._told[endpoint] = told._replace(load=load)

    def deny_place(self, endpoint: str) -> None:
        """Learn that an engine had no place left."""
        told = self._told.get(endpoint)
        if told is not None:
            load = told.load._replace(places=min(told.load.places, 0))
            self._told[endpoint] = told._replace(load=load)

    def count_ahead(self, endpoint: str) -> int:
        """Return about how many prompt tokens are to be read at an engine."""
        own = self.count_own_reading(endpoint)
        told = self._find_told(endpoint)
        if told is None:
            return own
        return max(own, told.load.reading + own - told.own_reading)

    def count_running(self, endpoint: str, own: int) -> int:
        """Return about how many calls run at an engine, ``own`` among them."""
        told = self._find_told(endpoint)
        if told is None:
            return own
        return max(own, told.load.running + own - told.own_running)

    def count_places(self, endpoint: str) -> int:
        """Return for how many further adapters an engine has places."""
        told = self._find_told(endpoint)
        return UNTOLD_PLACES if told is None else told.load.places

    def measure_queue(self, endpoint: str) -> float:
        """Return the seconds until a further load begins at an engine."""
        told = self._find_told(endpoint)
        if told is None:
            return 0.0
        return measure_queue(told.load.loads, told.load.load_time)

    def forget(self, known: Collection[str]) -> None:
        """Drop the engines that are gone."""
        for endpoint in (set(self._told) | set(self._reading)) - set(known):
            self._told.pop(endpoint, None)
            self._reading.pop(endpoint, None)
