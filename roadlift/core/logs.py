"""Write logs: messages of a component, and events with named fields.

An event is one decision about a request, or one change of the process's
state. In the format ``json`` each line is one JSON object on standard output.
The event loop writes it when the descriptor is writable, so that a stalled
reader never blocks a request. Lines that do not fit into the buffer are
dropped and counted.
"""

import logging as standard
import os
import select
import sys

from absl import logging
from pythonjsonlogger.json import JsonFormatter

MAX_BUFFERED = 262144  # Bytes of lines that are buffered for standard output.
FLUSH_INTERVAL = 0.1  # Seconds between writes to standard output.
# A pipe that poll reports as writable accepts this many bytes at once.
MAX_WRITE = select.PIPE_BUF

_events = standard.getLogger("roadlift.events")


class ComponentLog:
    """The log of one component, whose name prefixes every message."""

    def __init__(self, part: str) -> None:
        self._part = part
        self._prefix = f"[{part}] "

    def event(self, name: str, **fields: object) -> None:
        """Log a decision or a change of state, with its reasons as fields."""
        if _events.isEnabledFor(standard.INFO):
            extra = {"part": self._part, "event": name, **fields}
            _events.info("%s", name, extra={"fields": extra})

    def info(self, message: str, *values: object) -> None:
        """Log normal operation."""
        logging.info(self._prefix + message, *values)

    def warning(self, message: str, *values: object) -> None:
        """Log a problem that costs efficiency and resolves itself."""
        logging.warning(self._prefix + message, *values)

    def error(self, message: str, *values: object) -> None:
        """Log a problem that needs an operator's attention."""
        logging.error(self._prefix + message, *values)


class LineBuffer(standard.Handler):
    """A bounded buffer of formatted lines for a file descriptor."""

    def __init__(self, fileno: int, max_bytes: int = MAX_BUFFERED) -> None:
        super().__init__()
        self._fileno = fileno
        self._max_bytes = max_bytes
        self._lines = bytearray()
        self.dropped = 0
        self.total_dropped = 0

    def emit(self, record: standard.LogRecord) -> None:
        """Buffer a line, or count it as dropped."""
        try:
            line = self.format(record).encode() + b"\n"
        except Exception:
            # A field that can't be formatted must not fail its request.
            self._drop(1)
            return
        if len(self._lines) + len(line) > self._max_bytes:
            self._drop(1)
            return
        self._lines += line

    def _drop(self, count: int) -> None:
        self.dropped += count
        self.total_dropped += count

    def count_buffered(self) -> int:
        """Return the number of buffered bytes."""
        return len(self._lines)

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        while self._lines and self._is_writable():
            try:
                sent = os.write(self._fileno, self._lines[:MAX_WRITE])
            except BlockingIOError:
                return
            except OSError:
                # Standard output is closed, so the failure can't be logged.
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
    """Adds the fields of an event to the time, level and instance."""

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
    """Log in absl's text format; events are not written."""
    logging.set_verbosity(logging.INFO)
    logging.use_absl_handler()
    _events.setLevel(standard.WARNING)


def use_json(instance: str, fileno: int | None = None) -> LineBuffer:
    """Log JSON lines that include the instance's name.

    The caller flushes the buffer every FLUSH_INTERVAL seconds.
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
