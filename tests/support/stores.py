"""Reach the platform's stand-in in memory, with faults at a chosen call."""

from roadlift.core.errors import PlatformUnavailable, RoadliftError
from roadlift.relay.upstream import Answer, Request
from roadlift.store.client import BlockingStore, Row, parse_answer
from standins.http import Received
from standins.platform import Platform


class MemoryStore(BlockingStore):
    """A blocking store; ``faults`` maps the number of a call to its fault.

    ``down`` fails without effect and ``lost`` after the effect.
    """

    def __init__(self, platform: Platform | None = None) -> None:
        self.platform = platform or Platform(9.0, 4)
        self.faults: dict[int, str] = {}
        self.calls = 0
        self.writes = 0

    def _call(self, request: Request) -> Row:
        self.calls += 1
        self.writes += request.method == "PUT"
        fault = self.faults.get(self.calls)
        if fault == "down":
            raise PlatformUnavailable("down")
        headers = {name.lower(): text for name, text in request.headers.items()}
        received = Received(request.method, request.path, headers, request.body)
        reply = self.platform.handle_store(received)
        if fault == "lost":
            raise PlatformUnavailable("lost reply")
        if reply.status == 0:
            raise PlatformUnavailable("outage")
        found = {name.lower(): text for name, text in reply.headers.items()}
        return parse_answer(Answer(reply.status, found, reply.body))


class LateStore:
    """A store with callbacks, whose calls happen when a test says so.

    ``script`` names what the next calls meet: ``ok``, ``down`` (no effect),
    ``lost`` (effect without a reply) or ``late`` (no reply, effect later, by
    ``apply_late``). Beyond the script calls are ``ok``.
    """

    def __init__(self, blocking: MemoryStore, script: list[str]) -> None:
        self._blocking = blocking
        self._script = script
        self._late: list = []
        self.reads = 0
        self.writes = 0

    def read_row(self, key, on_row, on_error) -> None:
        """Read a row."""
        self.reads += 1
        self._meet(lambda: self._blocking.read_row(key), on_row, on_error)

    def write_row(self, key, value, expected, on_row, on_error) -> None:
        """Compare and set a row."""
        self.writes += 1
        write = lambda: self._blocking.write_row(key, value, expected)
        self._meet(write, on_row, on_error)

    def read_object(self, digest, on_row, on_error) -> None:
        """Read an object."""
        self.reads += 1
        self._meet(lambda: self._blocking.read_object(digest), on_row, on_error)

    def write_object(self, digest, value, on_row, on_error) -> None:
        """Write an object."""
        self.writes += 1
        write = lambda: self._blocking.write_object(digest, value)
        self._meet(write, on_row, on_error)

    def apply_late(self) -> None:
        """Let the late calls take effect now."""
        for work in self._late:
            try:
                work()
            except RoadliftError:
                # Nobody waits for the answer any more.
                pass
        self._late.clear()

    def _meet(self, work, on_row, on_error) -> None:
        fault = self._script.pop(0) if self._script else "ok"
        if fault == "late":
            self._late.append(work)
        if fault in ("late", "down"):
            on_error(PlatformUnavailable(fault))
            return
        try:
            row = work()
        except RoadliftError as error:
            on_error(error)
            return
        if fault == "lost":
            on_error(PlatformUnavailable(fault))
        else:
            on_row(row)
