"""Start and close the parts of a process; each registers itself.

A part is a class that takes the kernel and has ``start`` and ``close``. The
kernel starts the parts in the order in which they need each other and closes
them in the reverse one.
"""

import time
from collections.abc import Iterable
from typing import ClassVar, Protocol, TypeVar

from circuits import Component

from roadlift.core.clock import BootClock, Clock
from roadlift.core.errors import ImproperlyConfigured
from roadlift.core.logs import LineBuffer
from roadlift.core.loop import Loop
from roadlift.core.registry import Registry
from roadlift.relay.upstream import Dialer, SocketDialer

parts: Registry = Registry("part")


class Part(Protocol):
    """A part of the process; ``needs`` names parts that start before it."""

    needs: ClassVar[tuple[str, ...]]

    def start(self) -> None:
        """Take up work."""

    def close(self) -> None:
        """Give up every socket and timer."""


PartType = TypeVar("PartType")


class Kernel(Component):
    """The root component: the settings, the clock, the loop and the parts.

    ``given`` holds parts that stand in for registered ones, by name;
    ``stamp`` orders the processes of one instance, and seeds what is random.
    It is the wall clock's milliseconds, but where a test sets it. ``lines``
    holds the log's lines where they are written as JSON.
    """

    channel = "kernel"

    def __init__(
        self,
        settings: object,
        clock: Clock | None = None,
        dialer: Dialer | None = None,
        given: dict[str, Part] | None = None,
        stamp: int | None = None,
    ) -> None:
        super().__init__(channel=self.channel)
        self.settings = settings
        self.clock = clock or BootClock()
        self.loop = Loop(self.clock)
        self.loop.register(self)
        self.dialer = dialer or SocketDialer(self.loop)
        self.stamp = time.time_ns() // 1_000_000 if stamp is None else stamp
        self.lines: LineBuffer | None = None
        self._parts: dict[str, Part] = dict(given or {})
        self._is_open = False

    def get(self, kind: type[PartType]) -> PartType:
        """Return the part of a type; its name is in ``kind.name``."""
        return self.find(kind.name)

    def find(self, name: str) -> Part:
        """Return the started part with a name."""
        try:
            return self._parts[name]
        except KeyError:
            raise ImproperlyConfigured(f"part {name!r} was not started") from None

    def open(self, names: Iterable[str] | None = None) -> None:
        """Build and start parts, by default all, needed ones first."""
        for name in parts.names() if names is None else names:
            self._build(name, ())
        self._is_open = True
        for part in list(self._parts.values()):
            part.start()

    def close(self) -> None:
        """Close the parts in reverse order; a second time does nothing."""
        if not self._is_open:
            return
        self._is_open = False
        for part in reversed(list(self._parts.values())):
            part.close()

    def _build(self, name: str, path: tuple[str, ...]) -> None:
        if name in self._parts:
            return
        if name in path:
            cycle = " > ".join((*path, name))
            raise ImproperlyConfigured(f"parts need each other: {cycle}")
        kind = parts.get(name)
        for needed in kind.needs:
            self._build(needed, (*path, name))
        self._parts[name] = kind(self)
