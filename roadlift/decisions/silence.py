"""Notice engines that went silent while they generate.

Load pattern: an engine goes dark, or a path is cut, without any connection
being reset. Streams that are generating hear an event every few steps, so that
an engine from which none of them hears anything is left long before its
callers give up, and before TCP does.
"""

from collections.abc import Callable

# Seconds without a byte on any generating stream of an engine behind which it
# is left: some ten times the longest usual time between two events.
SILENCE = 0.6
# Seconds between two looks beyond which this process itself stood still: what
# was not read meanwhile says nothing of engines.
MOST_GAP = 0.3


class _Watched:
    """The calls of this process at one engine, and when it was heard last."""

    __slots__ = ("calls", "generating", "heard_at")

    def __init__(self, now: float) -> None:
        self.calls: dict[object, Callable[[], None]] = {}
        self.generating: set[object] = set()
        self.heard_at = now


class SilenceWatch:
    """The calls of this process at engines, to notice which went silent."""

    def __init__(self, silence: float = SILENCE) -> None:
        self._silence = silence
        self._engines: dict[str, _Watched] = {}
        self._looked_at: float | None = None

    def begin(
        self, endpoint: str, call: object, on_silent: Callable[[], None], now: float
    ) -> None:
        """Watch a call that was sent; ``on_silent`` lets it leave."""
        watched = self._engines.setdefault(endpoint, _Watched(now))
        watched.calls[call] = on_silent

    def note_event(self, endpoint: str, call: object, now: float) -> None:
        """Learn of an event of a call, which generates from now on."""
        watched = self._engines.get(endpoint)
        if watched is not None:
            watched.generating.add(call)
            watched.heard_at = now

    def end(self, endpoint: str, call: object) -> None:
        """Watch a call no more."""
        watched = self._engines.get(endpoint)
        if watched is None:
            return
        watched.calls.pop(call, None)
        watched.generating.discard(call)
        if not watched.calls:
            del self._engines[endpoint]

    def find_silent(self, now: float) -> list[str]:
        """Return the engines that went silent while they generate."""
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
        """Let all calls leave an engine."""
        watched = self._engines.get(endpoint)
        if watched is not None:
            for on_silent in list(watched.calls.values()):
                on_silent()
