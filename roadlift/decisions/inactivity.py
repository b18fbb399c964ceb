"""Detect engines that stopped responding while they generate.

Load pattern: an engine fails, or a network path is cut, without any connection
being reset. Streams that are generating receive an event every few steps. An
engine from which none of them receives anything is therefore abandoned long
before its callers time out, and before TCP does.
"""

from collections.abc import Callable

# Seconds without a byte on any generating stream of an engine after which it
# is abandoned: about ten times the longest usual time between two events.
INACTIVITY_TIMEOUT = 0.6
# Longest time between two checks, in seconds. If it was longer, this process
# itself was suspended, and bytes that it did not read say nothing about
# engines.
MAX_CHECK_INTERVAL = 0.3


class _MonitoredEngine:
    """This process's calls at an engine, and when it last responded."""

    __slots__ = ("calls", "generating", "is_abandoned", "last_event_at", "paused")

    def __init__(self, now: float) -> None:
        self.calls: dict[object, Callable[[], None]] = {}
        self.generating: set[object] = set()
        self.is_abandoned = False
        self.paused: set[object] = set()
        self.last_event_at = now


class InactivityMonitor:
    """The calls of this process at engines, to detect unresponsive engines.

    ``on_responsive`` receives each engine that was abandoned and has brought
    an event since: it was unresponsive only for a while.
    """

    def __init__(self, timeout: float = INACTIVITY_TIMEOUT) -> None:
        self.on_responsive: list[Callable[[str], None]] = []
        self._timeout = timeout
        self._engines: dict[str, _MonitoredEngine] = {}
        self._checked_at: float | None = None

    def begin(
        self,
        endpoint: str,
        call: object,
        on_unresponsive: Callable[[], None],
        now: float,
    ) -> None:
        """Monitor a call that was sent; ``on_unresponsive`` makes it leave."""
        monitored = self._engines.setdefault(endpoint, _MonitoredEngine(now))
        monitored.calls[call] = on_unresponsive

    def record_event(self, endpoint: str, call: object, now: float) -> None:
        """Record bytes of a call, which generates from now on."""
        monitored = self._engines.get(endpoint)
        if monitored is None:
            return
        monitored.last_event_at = now
        if call not in monitored.paused:
            monitored.generating.add(call)
        self._end_abandonment(endpoint, monitored)

    def pause(self, endpoint: str, call: object) -> None:
        """Ignore a generating call whose answer is not read for now."""
        monitored = self._engines.get(endpoint)
        if monitored is not None:
            monitored.generating.discard(call)
            monitored.paused.add(call)

    def resume(self, endpoint: str, call: object, now: float) -> None:
        """Monitor a call again whose answer is read from now on."""
        monitored = self._engines.get(endpoint)
        if monitored is not None and call in monitored.paused:
            monitored.paused.discard(call)
            monitored.generating.add(call)
            monitored.last_event_at = now

    def _end_abandonment(self, endpoint: str, monitored: _MonitoredEngine) -> None:
        if monitored.is_abandoned:
            monitored.is_abandoned = False
            for handle in self.on_responsive:
                handle(endpoint)

    def end(self, endpoint: str, call: object) -> None:
        """Stop monitoring a call."""
        monitored = self._engines.get(endpoint)
        if monitored is None:
            return
        monitored.calls.pop(call, None)
        monitored.generating.discard(call)
        monitored.paused.discard(call)
        if not monitored.calls:
            del self._engines[endpoint]

    def list_unresponsive(self, now: float) -> list[str]:
        """Return the engines that stopped responding while they generate."""
        last, self._checked_at = self._checked_at, now
        if last is None or now - last > MAX_CHECK_INTERVAL:
            for monitored in self._engines.values():
                monitored.last_event_at = now
            return []
        return [
            name
            for name, monitored in self._engines.items()
            if monitored.generating and now - monitored.last_event_at > self._timeout
        ]

    def abandon(self, endpoint: str) -> None:
        """Make all calls leave an engine, except those that are paused."""
        monitored = self._engines.get(endpoint)
        if monitored is None:
            return
        monitored.is_abandoned = True
        for call, on_unresponsive in list(monitored.calls.items()):
            if call not in monitored.paused:
                on_unresponsive()
