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


class SilenceWatch:
    """The generating streams of this process, by engine."""

    def __init__(self, silence: float = SILENCE) -> None:
        self._silence = silence
        self._heard: dict[str, float] = {}
        self._streams: dict[str, dict[object, Callable[[], None]]] = {}
        self._looked_at: float | None = None

    def begin(
        self, endpoint: str, stream: object, on_silent: Callable[[], None], now: float
    ) -> None:
        """Watch a stream from its first event on."""
        self._streams.setdefault(endpoint, {})[stream] = on_silent
        self._heard[endpoint] = now

    def note(self, endpoint: str, now: float) -> None:
        """Learn that an engine sent something."""
        self._heard[endpoint] = now

    def end(self, endpoint: str, stream: object) -> None:
        """Watch a stream no more."""
        streams = self._streams.get(endpoint, {})
        streams.pop(stream, None)
        if not streams:
            self._streams.pop(endpoint, None)
            self._heard.pop(endpoint, None)

    def look(self, now: float) -> list[str]:
        """Return the engines that went silent, and tell their streams."""
        last, self._looked_at = self._looked_at, now
        if last is None or now - last > MOST_GAP:
            self._heard = {name: now for name in self._heard}
            return []
        silent = [
            name for name, heard in self._heard.items() if now - heard > self._silence
        ]
        for name in silent:
            for on_silent in list(self._streams.get(name, {}).values()):
                on_silent()
        return silent
