"""Split a stream into server-sent events, without parsing their content.

Only complete events are forwarded to the caller, so that an interrupted
stream can be resumed after the last of them. An event ends at a blank line;
a line ends at LF, CR or CRLF. The text of events is not parsed.
"""

import codecs

_DONE = b"data: [DONE]"
_ID = b"id:"
_DATA = b"data:"
_COMMENT = b":"
_LINE_ENDS = b"\r\n"
_USUAL_EVENT_END = b"\n\n"
# Pairs of bytes that end a line and the blank one behind it; CR LF is a
# single line end.
_BLANK_LINES = (_USUAL_EVENT_END, b"\n\r", b"\r\r")
_UNKNOWN_PLACE = _DATA  # Stands for an event whose id is not known.
_DONE_SIZE = len(_DONE) + 4  # Bytes of the end mark and its blank line at most.
MAX_EVENT_BYTES = 1048576  # Bytes of one event; a longer one is forwarded in pieces.


class EventFrames:
    """Framing state of one stream of server-sent events."""

    def __init__(self) -> None:
        self._held = b""
        self._last = b""
        self._split_bytes = 0  # Of an event that is returned in pieces.
        self._may_end_with_lf = False  # Whether the last line end was a CR.
        self.is_ended = False

    def extract_complete(self, data: bytes) -> bytes:
        """Return the bytes up to the end of the last complete event."""
        if self._held:
            data = self._held + data
            self._held = b""
        if data.endswith(_USUAL_EVENT_END):
            self._split_bytes = 0
        else:
            data = self._hold_rest(data)
        if not self._split_bytes and _DATA in data:
            self._last = data
            self.is_ended = data[-_DONE_SIZE:].rstrip(_LINE_ENDS).endswith(_DONE)
        return data

    def count_partial(self) -> int:
        """Return the bytes of an event that has begun and not ended, or 0.

        Blank lines and comments begin no event.
        """
        if self._split_bytes:
            return self._split_bytes + len(self._held)
        lines = self._held.removeprefix(codecs.BOM_UTF8).splitlines()
        has_begun = any(line and not line.startswith(_COMMENT) for line in lines)
        return len(self._held) if has_begun else 0

    @property
    def has_data(self) -> bool:
        """Return whether a complete event with data was extracted."""
        return bool(self._last)

    def take_rest(self) -> bytes:
        """Return what follows the last complete event, once."""
        rest, self._held = self._held, b""
        return rest

    @property
    def can_continue(self) -> bool:
        """Return whether it is known where another run would continue.

        An event without an id behind the last one with one would be repeated.
        """
        return not self._last or bool(self.find_last_id())

    def _hold_rest(self, data: bytes) -> bytes:
        """Buffer what follows the last complete event; return the rest."""
        end = _find_event_end(data)
        if not end and self._may_end_with_lf and data.startswith(b"\n"):
            end = 1
        self._may_end_with_lf = data[:end].endswith(b"\r")
        if end:
            self._split_bytes = 0
        elif self._split_bytes or len(data) > MAX_EVENT_BYTES:
            self._last = _UNKNOWN_PLACE
            # A line end may be the first half of a blank line.
            end = len(data.rstrip(_LINE_ENDS))
            self._split_bytes += end
        self._held = data[end:]
        return data[:end]

    def discard_partial(self) -> str:
        """Discard a partial event; return the id of the last complete one."""
        self._held = b""
        return self.find_last_id()

    def find_last_id(self) -> str:
        """Return the id of the last complete event, or empty."""
        start = self._last.rfind(_ID)
        while start > 0 and self._last[start - 1] not in _LINE_ENDS:
            start = self._last.rfind(_ID, 0, start)
        if start < 0:
            return ""
        line = self._last[start:].splitlines()[0]
        return line[len(_ID) :].strip().decode("latin-1")


def _find_event_end(data: bytes) -> int:
    """Return the index behind the last blank line, or 0 if there is none."""
    start = max(data.rfind(pair) for pair in _BLANK_LINES)
    if start < 0:
        return 0
    end = start + 2
    return end + 1 if data[end - 1 : end + 1] == b"\r\n" else end
