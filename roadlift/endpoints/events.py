"""Split a stream into server-sent events, without parsing their content.

Only complete events are forwarded to the caller, so that an interrupted
stream can be resumed after the last of them. An event ends at a blank line;
its text is not parsed.
"""

_EVENT_END = b"\n\n"
_DONE = b"data: [DONE]\n\n"
_ID = b"id:"
_DATA = b"data:"
MAX_EVENT_BYTES = 1048576  # Bytes of one event; a longer one is forwarded in pieces.


class EventFrames:
    """Framing state of one stream of server-sent events."""

    def __init__(self) -> None:
        self._held = b""
        self._last = b""
        self.is_ended = False

    def extract_complete(self, data: bytes) -> bytes:
        """Return the bytes up to the end of the last complete event."""
        if self._held:
            data = self._held + data
            self._held = b""
        if not data.endswith(_EVENT_END):
            data = self._hold_rest(data)
        if _DATA in data:
            self._last = data
            self.is_ended = data.endswith(_DONE)
        return data

    @property
    def can_continue(self) -> bool:
        """Return whether it is known where another run would continue.

        An event without an id behind the last one with one would be repeated.
        """
        return not self._last or bool(self.find_last_id())

    def _hold_rest(self, data: bytes) -> bytes:
        """Buffer what follows the last complete event; return the rest."""
        end = data.rfind(_EVENT_END)
        if end < 0 and len(data) > MAX_EVENT_BYTES:
            return data
        end = end + len(_EVENT_END) if end >= 0 else 0
        self._held = data[end:]
        return data[:end]

    def discard_partial(self) -> str:
        """Discard a partial event; return the id of the last complete one."""
        self._held = b""
        return self.find_last_id()

    def find_last_id(self) -> str:
        """Return the id of the last complete event, or empty."""
        start = self._last.rfind(_ID)
        while start > 0 and self._last[start - 1 : start] != b"\n":
            start = self._last.rfind(_ID, 0, start)
        if start < 0:
            return ""
        line = self._last[start:].split(b"\n", 1)[0]
        return line[len(_ID) :].strip().decode("latin-1")
