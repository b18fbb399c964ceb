"""Stand in for the platform's table service, in memory.

It may come back from a copy some seconds old. Then it has lost what was
written since, counts its versions on from those of the copy, and tells a newer
era in all its answers.
"""

import base64
import json
from collections import deque
from collections.abc import Callable
from copy import deepcopy
from typing import NamedTuple, Protocol
from urllib.parse import parse_qsl

from roadlift.relay.upstream import Request
from standins.replies import DELAY, Reply

STORE_CLOCK = 55555  # Milliseconds that the store's clock is behind the test's.
KEPT = 30.0  # Seconds of changes that a copy may lack.
ERA = "store-era"
# Tables of which the operator and the runners write lost rows again.
_WRITTEN_AGAIN = ("op", "servers")


class Line(Protocol):
    """A call in flight, to be answered."""

    def send(self, reply: Reply) -> None:
        """Give a whole answer."""


class Moments(Protocol):
    """A clock, and calls in the future."""

    def now(self) -> float:
        """Return the time in seconds."""

    def call_later(self, seconds: float, call: Callable[[], None]) -> None:
        """Call once, later."""


class Table:
    """The rows of one table, and the order in which they changed."""

    def __init__(self) -> None:
        self.rows: dict[str, tuple[bytes | None, int]] = {}

    def describe(self, name: str, key: str) -> dict:
        """Return a row as the protocol has it."""
        value, version = self.rows[key]
        row = {"table": name, "part": "", "key": key, "ver": version}
        if value is None:
            row["tombstone"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row


class Change(NamedTuple):
    """A row as it was written at a time; ``value`` None deletes it."""

    at: float
    table: str
    key: str
    value: bytes | None
    version: int


class Store:
    """The table service.

    ``is_down`` answers nothing; ``lose_answers`` carries out so many writes
    without answering; so many reads of changes of the operator's table get no
    answer as ``lose_polls`` says; ``refuse_next`` calls are turned away;
    ``oldest`` is the version from which history is kept. Where it
    ``tells_era``, each answer has the era.
    """

    def __init__(self, timeline: Moments) -> None:
        self._timeline = timeline
        self._tables: dict[str, Table] = {}
        self._waiting: list[tuple[str, int, Line]] = []
        # What was written of late, and the copy of all before it.
        self._changes: deque[Change] = deque()
        self._copy: dict[str, Table] = {}
        self._copy_version = 0
        self.era = 1
        self.tells_era = True
        self.version = 0
        self.oldest = 0
        self.is_down = False
        self.lose_answers = 0
        self.lose_polls = 0
        self.refuse_next = 0
        self.calls = 0

    def put(self, table: str, key: str, content: object) -> int:
        """Write a row as the operator or a runner does."""
        return self._write(table, key, json.dumps(content).encode())

    def put_bytes(self, table: str, key: str, value: bytes) -> int:
        """Write a row as another writer does, whatever it holds."""
        return self._write(table, key, value)

    def delete(self, table: str, key: str) -> None:
        """Delete a row."""
        self._write(table, key, None)

    def get(self, table: str, key: str) -> tuple[bytes | None, int]:
        """Return a row's value and version."""
        return self._find(table).rows.get(key, (None, 0))

    def forget_polls(self) -> None:
        """Answer none of the reads that wait for a change."""
        self._waiting.clear()

    def go_back(self, seconds: float) -> list[Change]:
        """Come back as of so many seconds ago, in a newer era.

        What was written since is lost; the newest state of each row that the
        operator and the runners wrote is returned, to be written again.
        """
        self._fold(self._timeline.now() - seconds)
        lost = {(one.table, one.key): one for one in self._changes}
        self._changes.clear()
        self._waiting.clear()
        self._tables = deepcopy(self._copy)
        self.version = self._copy_version
        self.era += 1
        return [one for one in lost.values() if one.table in _WRITTEN_AGAIN]

    def write_again(self, lost: list[Change]) -> None:
        """Write what was lost, but for rows that were written since."""
        for change in lost:
            known = self._find(change.table).rows.get(change.key)
            copied = self._copy.get(change.table, Table()).rows.get(change.key)
            if known == copied:
                self._write(change.table, change.key, change.value)

    def pass_versions(self, count: int) -> None:
        """Give versions to writes of others, in tables that nobody reads."""
        self.version += count

    def _fold(self, until: float) -> None:
        """Put the changes up to a time into the copy."""
        while self._changes and self._changes[0].at <= until:
            change = self._changes.popleft()
            table = self._copy.setdefault(change.table, Table())
            table.rows[change.key] = (change.value, change.version)
            self._copy_version = change.version

    def handle(self, request: Request, line: Line) -> None:
        """Answer one call."""
        self.calls += 1
        if self.refuse_next:
            self.refuse_next -= 1
            self._answer(line, 503, {})
            return
        path, _, query = request.path.partition("?")
        arguments = dict(parse_qsl(query))
        if path == "/rows-get":
            self._answer(line, 200, self._read(arguments["table"]))
        elif path == "/rows-feed":
            self._feed(arguments, line)
        elif path == "/rows-tx":
            self._transact(json.loads(request.body), line)
        else:
            self._answer(line, 404, {})

    def _find(self, table: str) -> Table:
        return self._tables.setdefault(table, Table())

    def _read(self, name: str) -> dict:
        table = self._find(name)
        keys = sorted(key for key, row in table.rows.items() if row[0] is not None)
        rows = [table.describe(name, key) for key in keys]
        return {"rows": rows, "hasMore": False, "ver": self.version}

    def _list_changes(self, name: str, after: int) -> list[dict]:
        table = self._find(name)
        rows = [table.describe(name, key) for key in table.rows]
        return sorted((r for r in rows if r["ver"] > after), key=lambda r: r["ver"])

    def _feed(self, arguments: dict, line: Line) -> None:
        name, after = arguments["table"], int(arguments["after"])
        if name == "op" and self.lose_polls:
            self.lose_polls -= 1
            return
        if after < self.oldest or after > self.version:
            self._answer(line, 410, {})
            return
        rows = self._list_changes(name, after)
        wait = int(arguments["waitMs"]) / 1000.0
        if rows or not wait:
            self._answer(line, 200, {"rows": rows, "ver": self.version})
            return
        self._waiting.append((name, after, line))
        self._timeline.call_later(wait, lambda: self._end_wait(line))

    def _end_wait(self, line: Line) -> None:
        for entry in list(self._waiting):
            if entry[2] is line:
                self._waiting.remove(entry)
                self._answer(line, 200, {"rows": [], "ver": self.version})

    def _transact(self, content: dict, line: Line) -> None:
        for row in content["expected"]:
            value, version = self.get(row["table"], row["key"])
            if (version if value is not None else 0) != row["ver"]:
                self._answer(line, 412, {"rows": []})
                return
        for row in content["writes"]:
            self._write(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in content["delete"]:
            self._write(row["table"], row["key"], None)
        if self.lose_answers:
            self.lose_answers -= 1
            return
        self._answer(line, 200, {"ver": self.version})

    def _write(self, name: str, key: str, value: bytes | None) -> int:
        self.version += 1
        self._find(name).rows[key] = (value, self.version)
        now = self._timeline.now()
        self._changes.append(Change(now, name, key, value, self.version))
        self._fold(now - KEPT)
        for entry in list(self._waiting):
            if entry[0] == name:
                self._waiting.remove(entry)
                rows = self._list_changes(name, entry[1])
                self._answer(entry[2], 200, {"rows": rows, "ver": self.version})
        return self.version

    def _answer(self, line: Line, status: int, content: dict) -> None:
        content["nowMs"] = int(self._timeline.now() * 1000) - STORE_CLOCK
        headers = {ERA: str(self.era)} if self.tells_era else {}
        reply = Reply(status, headers, json.dumps(content).encode())
        self._timeline.call_later(DELAY, lambda: line.send(reply))
