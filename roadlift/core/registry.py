"""Keep plug-ins by name; each registers itself when it is imported."""

from collections.abc import Callable
from typing import Generic, TypeVar

from roadlift.core.errors import ImproperlyConfigured

Plugin = TypeVar("Plugin")


class Registry(Generic[Plugin]):
    """Plug-ins of one kind, by name."""

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._plugins: dict[str, Plugin] = {}

    def register(self, name: str) -> Callable[[Plugin], Plugin]:
        """Return a decorator that registers a plug-in as ``name``."""

        def add(plugin: Plugin) -> Plugin:
            if name in self._plugins:
                raise ImproperlyConfigured(f"{self.kind} {name!r} is registered twice")
            self._plugins[name] = plugin
            return plugin

        return add

    def get(self, name: str) -> Plugin:
        """Return the plug-in ``name`` or raise ImproperlyConfigured."""
        try:
            return self._plugins[name]
        except KeyError:
            known = ", ".join(self.names())
            raise ImproperlyConfigured(
                f"no {self.kind} {name!r}; known are: {known}"
            ) from None

    def names(self) -> list[str]:
        """Return the registered names, sorted."""
        return sorted(self._plugins)
