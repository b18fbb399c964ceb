"""Stand in for the platform's metadata store: rows, changes and the clock."""

import asyncio
import base64
import contextlib
import json
import time
from urllib.parse import parse_qs, urlsplit

from review.kit.platform import NAMES
from review.kit.wire import Message, read_message, write_message

HISTORY_POLL_S = 0.01  # Seconds between checks of a waiting feed.


class Store:
    """The tables; every answer bears the newest version and a steady clock."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], tuple[bytes | None, int]] = {}
        self._version = 0
        self._began_at = time.monotonic()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen for calls."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def put(self, table: str, key: str, content: object) -> None:
        """Write a row as the operator or a runner does."""
        self._write(table, key, json.dumps(content).encode())

    def delete(self, table: str, key: str) -> None:
        """Delete a row as the platform does."""
        self._write(table, key, None)

    def _write(self, table: str, key: str, value: bytes | None) -> None:
        self._version += 1
        self._rows[table, key] = (value, self._version)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            while True:
                request = await read_message(reader)
                status, content = await self._answer(request)
                content.update(ver=self._version, nowMs=self._read_clock())
                body = json.dumps(content).encode()
                head = {"Content-Type": "application/json"}
                writer.write(write_message(f"HTTP/1.1 {status} Answer", head, body))
                await writer.drain()
        writer.close()

    def _read_clock(self) -> int:
        return int((time.monotonic() - self._began_at) * 1000)

    async def _answer(self, request: Message) -> tuple[int, dict]:
        target = urlsplit(request.first.split()[1])
        query = {name: texts[0] for name, texts in parse_qs(target.query).items()}
        if target.path == NAMES["transaction"]:
            return self._apply(json.loads(request.body))
        if target.path == NAMES["rows"]:
            return 200, {"rows": self._list_rows(query["table"]), "hasMore": False}
        if target.path == NAMES["feed"]:
            return 200, {"rows": await self._wait_for_changes(query)}
        return 404, {}

    def _list_rows(self, table: str) -> list[dict]:
        found = [
            _describe(table, key, value, version)
            for (name, key), (value, version) in self._rows.items()
            if name == table and value is not None
        ]
        return sorted(found, key=lambda row: row["key"])

    async def _wait_for_changes(self, query: dict[str, str]) -> list[dict]:
        table, after = query["table"], int(query["after"])
        end = time.monotonic() + int(query.get(NAMES["wait"], 0)) / 1000.0
        while True:
            changed = [
                _describe(table, key, value, version)
                for (name, key), (value, version) in self._rows.items()
                if name == table and version > after
            ]
            if changed or time.monotonic() >= end:
                return sorted(changed, key=lambda row: row["ver"])
            await asyncio.sleep(HISTORY_POLL_S)

    def _apply(self, content: dict) -> tuple[int, dict]:
        """Apply a transaction if all rows have the expected versions."""
        for row in content["expected"]:
            value, version = self._rows.get((row["table"], row["key"]), (None, 0))
            if row["ver"] != (0 if value is None else version):
                return 412, {"rows": []}
        self._version += 1
        for row in content["writes"]:
            value = base64.b64decode(row["value"])
            self._rows[row["table"], row["key"]] = (value, self._version)
        for row in content["delete"]:
            self._rows[row["table"], row["key"]] = (None, self._version)
        return 200, {}


def _describe(table: str, key: str, value: bytes | None, version: int) -> dict:
    row = {"table": table, "part": "", "key": key, "ver": version}
    if value is None:
        return {**row, NAMES["deleted"]: True}
    return {**row, "value": base64.b64encode(value).decode()}
