"""Detect engines that stopped responding while they generate.

Load pattern: an engine fails, or a network path is cut, without any connection
being reset. Streams that are generating receive an event every few steps. An
engine from which none of them receives anything is therefore abandoned long
before its callers time out, and before TCP does.
"""

from collections.abc import Callable

# Seconds without a byte on any generating stream of an engine after which it
# is abandoned: about ten times the longest usual time between two events.
SILENCE = 0.6
# Longest time between two checks, in seconds. If it was longer, this process
# itself was suspended, and bytes that it did not read say nothing about
# engines.
MOST_GAP = 0.3


class _Watched:
    """This process's calls at an engine, and when it last responded."""

    __slots__ = ("calls", "generating", "heard_at")

    def __init__(self, now: float) -> None:
        self.calls: dict[object, Callable[[], None]] = {}
        self.generating: set[object] = set()
        self.heard_at = now


class SilenceWatch:
    """The calls of this process at engines, to detect unresponsive engines."""

    def __init__(self, silence: float = SILENCE) -> None:
        self._silence = silence
        self._engines: dict[str, _Watched] = {}
        self._looked_at: float | None = None

    def begin(
        self, endpoint: str, call: object, on_silent: Callable[[], None], now: float
    ) -> None:
        """Monitor a call that was sent; ``on_unresponsive`` makes it leave."""
        watched = self._engines.setdefault(endpoint, _Watched(now))
        watched.calls[call] = on_silent

    def note_event(self, endpoint: str, call: object, now: float) -> None:
        """Record an event of a call, which generates from now on."""
        watched = self._engines.get(endpoint)
        if watched is not None:
            watched.generating.add(call)
            watched.heard_at = now

    def end(self, endpoint: str, call: object) -> None:
        """Stop monitoring a call."""
        watched = self._engines.get(endpoint)
        if watched is None:
            return
        watched.calls.pop(call, None)
        watched.generating.discard(call)
        if not watched.calls:
            del self._engines[endpoint]

    def find_silent(self, now: float) -> list[str]:
        """Return the engines that stopped responding while they generate."""
        last, self._looked_at = self._looked_at, now
        if last is None or now - last > MOST_GAP:
            for watched in self._engines.values():
                watched.heard_at = now
            return []
        return [
            name
            for name, watched in self._engines.items()
            if watched.generating and now - watched.heard_at > self._silence
        ]

    def leave(self, endpoint: str) -> None:
        """Make all calls leave an engine."""
        watched = self._engines.get(endpoint)
        if watched is not None:
            for on_silent in list(watched.calls.values()):
                on_silent()
