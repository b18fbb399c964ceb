"""Log which adapters calls were served with.

Most calls that are served in time have no log line of their own.
"""

from roadlift.core.kernel import Kernel
from roadlift.core.logs import ComponentLog

# Seconds between lines. A process that is killed loses its last line, so that
# an adapter that was served counts as unserved for at most this time.
LOG_INTERVAL = 10.0
# Adapters that one line names: about 4 KB, as many as a busy instance serves.
MAX_NAMES = 256

log = ComponentLog("ingress")


class ServedAdapters:
    """The adapters of the calls that were served since the last line."""

    def __init__(self, kernel: Kernel) -> None:
        self._loop = kernel.loop
        self._timer = None
        self._models: set[str] = set()
        self._left_out = 0

    def start(self) -> None:
        """Start to write lines."""
        self._timer = self._loop.call_every(LOG_INTERVAL, self._write)

    def close(self) -> None:
        """Write the last line."""
        if self._timer is not None:
            self._timer.close()
            self._write()

    def record(self, model: str) -> None:
        """Record that a call was served with an adapter."""
        if len(self._models) < MAX_NAMES:
            self._models.add(model)
        elif model not in self._models:
            self._left_out += 1

    def _write(self) -> None:
        if not self._models:
            return
        models = " ".join(sorted(self._models))
        log.event("adapters_served", models=models, left_out=self._left_out)
        self._models.clear()
        self._left_out = 0
