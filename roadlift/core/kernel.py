"""Start and close the components of a process.

A component is a class that registers itself by name, is built with the kernel
and has ``start`` and ``close``. The kernel starts components after those that
they depend on and closes them in reverse order.
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

components: Registry = Registry("component")


class KernelComponent(Protocol):
    """A component of the process; ``needs`` names its dependencies."""

    needs: ClassVar[tuple[str, ...]]

    def start(self) -> None:
        """Start working."""

    def close(self) -> None:
        """Close all sockets and timers."""


ComponentType = TypeVar("ComponentType")


class Kernel(Component):
    """The root component: settings, clock, event loop and components.

    ``overrides`` holds components that replace registered ones, by name.
    ``started_at_ms`` orders the successive processes of one instance and
    seeds random generators. It is the wall clock in milliseconds unless a
    test sets it.
    ``started_at`` is when the process began, in seconds of the clock: now,
    unless a test sets it.
    ``lines`` is the buffer of log lines if they are written as JSON.
    """

    channel = "kernel"

    def __init__(
        self,
        settings: object,
        clock: Clock | None = None,
        dialer: Dialer | None = None,
        overrides: dict[str, KernelComponent] | None = None,
        started_at_ms: int | None = None,
        started_at: float | None = None,
    ) -> None:
        super().__init__(channel=self.channel)
        self.settings = settings
        self.clock = clock or BootClock()
        self.loop = Loop(self.clock)
        self.loop.register(self)
        self.dialer = dialer or SocketDialer(self.loop)
        self.started_at_ms = (
            time.time_ns() // 1_000_000 if started_at_ms is None else started_at_ms
        )
        self.started_at = self.clock.now() if started_at is None else started_at
        self.lines: LineBuffer | None = None
        self._components: dict[str, KernelComponent] = dict(overrides or {})
        self._is_open = False

    def get(self, kind: type[ComponentType]) -> ComponentType:
        """Return the component registered as ``kind.name``."""
        return self.find(kind.name)

    def find(self, name: str) -> KernelComponent:
        """Return the component ``name`` or raise ImproperlyConfigured."""
        try:
            return self._components[name]
        except KeyError:
            raise ImproperlyConfigured(f"component {name!r} was not started") from None

    def open(self, names: Iterable[str] | None = None) -> None:
        """Build and start components (default: all), dependencies first."""
        for name in components.names() if names is None else names:
            self._build(name, ())
        self._is_open = True
        for component in list(self._components.values()):
            component.start()

    def close(self) -> None:
        """Close the components in reverse order; no effect if closed."""
        if not self._is_open:
            return
        self._is_open = False
        for component in reversed(list(self._components.values())):
            component.close()

    def _build(self, name: str, path: tuple[str, ...]) -> None:
        if name in self._components:
            return
        if name in path:
            cycle = " > ".join((*path, name))
            raise ImproperlyConfigured(f"components depend on each other: {cycle}")
        kind = components.get(name)
        for dependency in kind.needs:
            self._build(dependency, (*path, name))
        self._components[name] = kind(self)
