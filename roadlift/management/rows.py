"""Call a platform's table service from a command, which may wait."""

import os
from collections.abc import Callable

from roadlift.conf.settings import Settings, read_settings
from roadlift.core.errors import PlatformUnavailable, RoadliftError
from roadlift.core.kernel import Kernel
from roadlift.instance.platform import Platform, import_plugins
from roadlift.serving.interfaces import (
    Rows,
    RowStore,
    RowWrite,
    StateFormat,
    StoreTime,
)
from roadlift.serving.position import StorePosition

TIMEOUT = 5.0  # Seconds.
TURN = 0.02  # Seconds that one turn of the loop waits at most.

OnDone = Callable[[object], None]
OnError = Callable[[RoadliftError], None]


class BlockingRows:
    """The table service of the platform that the environment names."""

    def __init__(self, platform: str) -> None:
        content = {**_read_environment(), "platform": platform}
        settings = Settings(content)
        import_plugins(settings.plugins)
        self._kernel = Kernel(settings)
        self._kernel.open([Platform.name])
        self._store: RowStore = self._kernel.get(Platform).store
        self.state: StateFormat = self._kernel.get(Platform).adapter.state

    def close(self) -> None:
        """End what is open."""
        self._kernel.close()

    def read(self, table: str) -> Rows:
        """Read a whole table."""
        return self._wait(lambda done, fail: self._store.read(table, done, fail))

    def write(self, row: RowWrite) -> StorePosition:
        """Write or delete a row, and return its new position."""

        def start(done: OnDone, fail: OnError) -> None:
            """Begin to write."""

            def take(position: StorePosition, time: StoreTime) -> None:
                """Pass the position on."""
                done(position)

            self._store.write(row, take, fail)

        return self._wait(start)

    def _wait(self, start: Callable[[OnDone, OnError], None]) -> object:
        """Run the loop until a call has ended; raise its failure."""
        results: list[object] = []
        start(results.append, results.append)
        end = self._kernel.clock.now() + TIMEOUT
        while not results:
            if self._kernel.clock.now() > end:
                raise PlatformUnavailable("no answer")
            self._kernel.loop.run_once(TURN)
        if isinstance(results[0], RoadliftError):
            raise results[0]
        return results[0]


def _read_environment() -> dict[str, object]:
    """Return the settings of the environment that a command needs."""
    settings = read_settings(os.environ)
    return {
        "interface": "routes",
        "adapter": settings.adapter or "platform",
        "plugins": settings.plugins or "platform/adapter",
        "store_timeout": settings.store_timeout,
    }
