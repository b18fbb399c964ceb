"""Write logs: short sentences of a part, and events with named fields.

An event is one decision about a request, or one change of what the process
believes. In the format ``json`` each line is one JSON object on standard
output; it is written by the loop when the descriptor takes it, so that a
reader who stands still never holds a request up. What does not fit into the
buffer is dropped and counted.
"""

import logging as standard
import os
import select
import sys

from absl import logging
from pythonjsonlogger.json import JsonFormatter

MOST_HELD = 262144  # Bytes of lines that wait for standard output.
FLUSH_PERIOD = 0.1  # Seconds between writes to standard output.
# A pipe that poll calls writable takes this many bytes without blocking.
MOST_WRITTEN = select.PIPE_BUF

_events = standard.getLogger("roadlift.events")


class PartLog:
    """The log of one part; every line starts with the part's name."""

    def __init__(self, part: str) -> None:
        self._part = part
        self._prefix = f"[{part}] "

    def event(self, name: str, **fields: object) -> None:
        """Log a decision or a change, with what decided it."""
        if _events.isEnabledFor(standard.INFO):
            extra = {"part": self._part, "event": name, **fields}
            _events.info("%s", name, extra={"fields": extra})

    def info(self, sentence: str, *values: object) -> None:
        """Log what an operator wants to know of a healthy system."""
        logging.info(self._prefix + sentence, *values)

    def warning(self, sentence: str, *values: object) -> None:
        """Log what costs efficiency and mends itself."""
        logging.warning(self._prefix + sentence, *values)

    def error(self, sentence: str, *values: object) -> None:
        """Log what an operator has to look at."""
        logging.error(self._prefix + sentence, *values)


class LineBuffer(standard.Handler):
    """Holds formatted lines, bounded, until a descriptor takes them."""

    def __init__(self, fileno: int, most: int = MOST_HELD) -> None:
        super().__init__()
        self._fileno = fileno
        self._most = most
        self._lines = bytearray()
        self.dropped = 0
        self.dropped_in_all = 0

    def emit(self, record: standard.LogRecord) -> None:
        """Hold a line, or count it as dropped."""
        try:
            line = self.format(record).encode() + b"\n"
        except Exception:
            # A field that can't be formatted must not end its request.
            self._drop(1)
            return
        if len(self._lines) + len(line) > self._most:
            self._drop(1)
            return
        self._lines += line

    def _drop(self, count: int) -> None:
        self.dropped += count
        self.dropped_in_all += count

    def count_held(self) -> int:
        """Return the bytes that wait for the descriptor."""
        return len(self._lines)

    def flush(self) -> None:
        """Write what the descriptor takes without blocking."""
        while self._lines and self._is_writable():
            try:
                sent = os.write(self._fileno, self._lines[:MOST_WRITTEN])
            except BlockingIOError:
                return
            except OSError:
                # Nobody can be told that standard output is gone.
                self._drop(self._lines.count(b"\n"))
                self._lines.clear()
                return
            del self._lines[:sent]
        if self.dropped and not self._lines:
            count, self.dropped = self.dropped, 0
            _events.warning("%s lines were dropped", count)

    def _is_writable(self) -> bool:
        poll = select.poll()
        poll.register(self._fileno, select.POLLOUT)
        return any(mask & select.POLLOUT for _, mask in poll.poll(0))


class _Formatter(JsonFormatter):
    """Puts the fields of an event beside its time, level and message."""

    def __init__(self, instance: str) -> None:
        super().__init__()
        self._instance = instance

    def add_fields(self, log_data, record, message_dict) -> None:
        """Build the object of one line."""
        log_data["time"] = round(record.created, 4)
        log_data["level"] = record.levelname.lower()
        log_data["instance"] = self._instance
        fields = getattr(record, "fields", None)
        if fields is None:
            log_data["message"] = record.getMessage()
        else:
            log_data.update(fields)


def use_text() -> None:
    """Log as absl does; events are not written."""
    logging.set_verbosity(logging.INFO)
    logging.use_absl_handler()
    _events.setLevel(standard.WARNING)


def use_json(instance: str, fileno: int | None = None) -> LineBuffer:
    """Log JSON lines that name the instance.

    The caller flushes the buffer each FLUSH_PERIOD.
    """
    buffer = LineBuffer(sys.stdout.fileno() if fileno is None else fileno)
    buffer.setFormatter(_Formatter(instance))
    root = standard.getLogger()
    for handler in list(root.handlers):
        root.removeHandler(handler)
    root.addHandler(buffer)
    logging.set_verbosity(logging.INFO)
    _events.setLevel(standard.INFO)
    return buffer
