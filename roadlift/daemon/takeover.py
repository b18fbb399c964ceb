"""Take an endpoint over: raise its fencing number and list its copies.

The steps are: the load report, which names the endpoint's incarnation; the
list, whose copies' names tell the epochs so far; the fence, where the
endpoint compares numbers; the list again; and the load report again. An
endpoint that restarted on the way has forgotten the fence, so everything is
done anew (``same_incarnation`` in the specification).
"""

from collections.abc import Callable
from typing import NamedTuple

from roadlift.core.errors import RoadliftError
from roadlift.endpoints.api import EngineApi, EngineLoad
from roadlift.ownership.election import compute_epoch
from roadlift.ownership.names import parse_copy_name
from roadlift.relay.upstream import Answer, Request

OnAnswer = Callable[[Answer | None], None]
Ask = Callable[[Request, OnAnswer], None]
MOST_FENCES = 16  # Higher numbers met before giving up for now.


class Opening(NamedTuple):
    """What a takeover found: the epoch, the copies and the load."""

    epoch: int
    names: list[str]
    load: EngineLoad


class Takeover:
    """One takeover in progress; it ends with an Opening, or None."""

    def __init__(
        self, ask: Ask, api: EngineApi, fences: bool, process: str, known: int
    ) -> None:
        self._ask = ask
        self._api = api
        self._fences = fences
        self._process = process
        self._highest = known
        self._before: EngineLoad | None = None
        self._names: list[str] = []
        self._epoch = 0
        self._tries = 0
        self._on_end: Callable[[Opening | None], None] = lambda opening: None

    def start(self, on_end: Callable[[Opening | None], None]) -> None:
        """Begin; ``on_end`` is called once."""
        self._on_end = on_end
        self._ask_load(self._take_first_load)

    def _ask_load(self, take: Callable[[EngineLoad], None]) -> None:
        request = self._api.build_load_report()
        self._ask(request, lambda answer: self._read(answer, self._read_load, take))

    def _ask_list(self, take: Callable[[list[str]], None]) -> None:
        request = self._api.build_list()
        self._ask(request, lambda answer: self._read(answer, self._api.read_list, take))

    def _read_load(self, answer: Answer) -> EngineLoad:
        return self._api.read_load_report(answer)

    def _read(self, answer: Answer | None, read, take) -> None:
        if answer is None:
            self._on_end(None)
            return
        try:
            found = read(answer)
        except (RoadliftError, ValueError, KeyError, TypeError):
            self._on_end(None)
            return
        take(found)

    def _take_first_load(self, load: EngineLoad) -> None:
        self._before = load
        self._ask_list(self._take_first_list)

    def _take_first_list(self, names: list[str]) -> None:
        epochs = [parsed.epoch for parsed in map(parse_copy_name, names) if parsed]
        self._highest = max([self._highest, *epochs])
        self._raise_fence()

    def _raise_fence(self) -> None:
        self._tries += 1
        self._epoch = compute_epoch(self._highest, self._process)
        if not self._fences:
            self._ask_list(self._take_second_list)
            return
        self._ask(self._api.build_fence(self._epoch), self._take_fence)

    def _take_fence(self, answer: Answer | None) -> None:
        if answer is None or self._tries > MOST_FENCES:
            self._on_end(None)
        elif answer.status == 409:
            self._highest = max(self._epoch, self._api.read_fence(answer))
            self._raise_fence()
        else:
            self._ask_list(self._take_second_list)

    def _take_second_list(self, names: list[str]) -> None:
        self._names = names
        self._ask_load(self._take_second_load)

    def _take_second_load(self, load: EngineLoad) -> None:
        if load.incarnation != self._before.incarnation:
            # The caller tries again at the next election.
            self._on_end(None)
            return
        self._on_end(Opening(self._epoch, self._names, load))
