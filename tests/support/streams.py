"""A caller that takes its streams up at other instances."""

import re
from collections.abc import Callable
from typing import NamedTuple

from standins.hubcaller import HubCaller
from tests.support.entries import Entries

_EVENT = re.compile(rb"id: (\d+)\ndata: t\d+ ?([^\n]*)\n\n")


class Event(NamedTuple):
    """An event that a caller received, and the software that made it."""

    number: int
    software: str


def read_events(body: bytes) -> list[Event]:
    """Return the whole events of an answer."""
    return [
        Event(int(number), software.decode())
        for number, software in _EVENT.findall(body)
    ]


class Attempt(NamedTuple):
    """One call of a stream, and the instance that it was sent to."""

    id: str
    instance: str
    caller: HubCaller


class Stream:
    """One stream over all of its caller's attempts.

    The attempt that brought its first event is named by each later one.
    """

    def __init__(
        self, entries: Entries, name: str, target: str, headers: dict[str, str]
    ) -> None:
        self._entries = entries
        self._name = name
        self._target = target
        self._headers = headers
        self.attempts: list[Attempt] = []

    def send(self, instance: str) -> None:
        """Begin the stream at an instance, or take it up there."""
        call_id = f"{self._name}-{len(self.attempts)}"
        headers = {**self._headers, "request-id": call_id}
        events = self.events
        if events:
            headers["resumes"] = self.find_origin()
            headers["last-event-id"] = str(events[-1].number)
        caller = self._entries.call(instance, self._target, headers)
        self.attempts.append(Attempt(call_id, instance, caller))

    def leave(self) -> None:
        """Break the connection of the last attempt off."""
        caller = self.last
        if caller.on_gone is not None and not self.has_ended:
            caller.is_cut = True
            caller.on_gone()

    @property
    def last(self) -> HubCaller:
        """Return the caller of the last attempt."""
        return self.attempts[-1].caller

    @property
    def has_ended(self) -> bool:
        """Return whether the last attempt has an answer, or none to come."""
        return self.last.is_whole or self.last.is_cut or self.last.error is not None

    @property
    def events(self) -> list[Event]:
        """Return the events of all attempts, in the order they came."""
        return [one for attempt in self.attempts for one in _list_events(attempt)]

    @property
    def is_whole(self) -> bool:
        """Return whether the last attempt ended the stream as complete."""
        return self.last.is_whole and self.last.status == 200

    def find_origin(self) -> str:
        """Return the id of the attempt that brought the first event."""
        return next(one.id for one in self.attempts if _list_events(one))

    def list_software(self) -> set[str]:
        """Return the versions of the software that made its events."""
        return {event.software for event in self.events}

    def advance_until(self, is_reached: Callable[[], bool], seconds: float) -> None:
        """Move the clock until something is reached, or for some seconds."""
        clock = self._entries.installation.clock
        end = clock.now() + seconds
        while not is_reached() and clock.now() < end:
            self._entries.advance(0.01)


def _list_events(attempt: Attempt) -> list[Event]:
    return read_events(attempt.caller.body)
