"""Stand in for the platform's store, at one address for each instance."""

import asyncio
import base64
import json
from typing import NamedTuple
from urllib.parse import parse_qsl

from wire import NAMES, Message, encode_answer, now, read_message, reset

ANSWER_TIME = 0.004  # Seconds that the store takes for a call.
PAGE = 500  # Rows in one answer at most.


class Write(NamedTuple):
    """A conditional write that took effect: by whom, and of which row."""

    at: float
    instance: str
    table: str
    key: str


class Store:
    """Rows in tables; every instance reaches it at an address of its own."""

    def __init__(self) -> None:
        self._rows: dict[str, dict[str, tuple[bytes | None, int]]] = {}
        self._changed = asyncio.Condition()
        self._doors: dict[str, Door] = {}
        self.version = 0
        self.writes: list[Write] = []

    async def open(self, instance: str, port: int) -> None:
        """Serve an instance at a port."""
        self._doors[instance] = Door(self, instance, port)
        await self._doors[instance].open()

    async def cut(self, instance: str) -> None:
        """Reset the connections of an instance, and refuse new ones."""
        await self._doors[instance].close()

    async def heal(self, instance: str) -> None:
        """Serve an instance again."""
        await self._doors[instance].open()

    async def put(self, table: str, key: str, content: object) -> None:
        """Write a row as the operator or a runner does; None deletes it."""
        value = None if content is None else json.dumps(content).encode()
        async with self._changed:
            self._write(table, key, value)
            self._changed.notify_all()

    def find_writer(self, key: str) -> str:
        """Return which instance last wrote a row under a condition."""
        found = [one.instance for one in self.writes if one.key == key]
        return found[-1] if found else ""

    def _write(self, table: str, key: str, value: bytes | None) -> None:
        self.version += 1
        self._rows.setdefault(table, {})[key] = (value, self.version)

    async def answer(self, instance: str, request: Message) -> tuple[int, dict]:
        """Return the status and the content of the answer to a call."""
        await asyncio.sleep(ANSWER_TIME)
        _, target, _ = request.first.split(" ")
        path, _, query = target.partition("?")
        fields = dict(parse_qsl(query))
        if path == NAMES["paths"]["transact"]:
            return await self._transact(instance, json.loads(request.body))
        if path == NAMES["paths"]["read"]:
            return 200, self._read(fields)
        if path == NAMES["paths"]["feed"]:
            return 200, await self._feed(fields)
        return 404, {}

    def _describe(self, table: str, key: str) -> dict:
        value, version = self._rows[table][key]
        row = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            return {**row, NAMES["gone"]: True}
        return {**row, "value": base64.b64encode(value).decode()}

    def _read(self, fields: dict[str, str]) -> dict:
        table = fields["table"]
        rows = self._rows.get(table, {})
        first = fields.get("from", "")
        keys = sorted(
            key for key, row in rows.items() if row[0] is not None and key >= first
        )
        limit = min(PAGE, int(fields.get("limit", PAGE)))
        found = [self._describe(table, key) for key in keys[:limit]]
        return {"rows": found, "hasMore": len(keys) > limit, "ver": self.version}

    async def _feed(self, fields: dict[str, str]) -> dict:
        table, after = fields["table"], int(fields["after"])
        end = now() + int(fields.get(NAMES["wait"], 0)) / 1000.0
        async with self._changed:
            while not (found := self._list_changed(table, after)):
                left = end - now()
                if left <= 0:
                    break
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except TimeoutError:
                    break
            return {"rows": found, "ver": self.version}

    def _list_changed(self, table: str, after: int) -> list[dict]:
        rows = self._rows.get(table, {})
        found = [self._describe(table, k) for k, row in rows.items() if row[1] > after]
        return sorted(found, key=lambda row: row["ver"])

    async def _transact(self, instance: str, content: dict) -> tuple[int, dict]:
        async with self._changed:
            for row in content["expected"]:
                rows = self._rows.get(row["table"], {})
                value, version = rows.get(row["key"], (None, 0))
                if (version if value is not None else 0) != row["ver"]:
                    return 412, {"rows": [], "ver": self.version}
            for row in content["writes"]:
                value = base64.b64decode(row["value"])
                self._write(row["table"], row["key"], value)
                write = Write(now(), instance, row["table"], row["key"])
                self.writes.append(write)
            for row in content["delete"]:
                self._write(row["table"], row["key"], None)
            self._changed.notify_all()
            return 200, {"ver": self.version}


class Door:
    """The address at which one instance reaches the store."""

    def __init__(self, store: Store, instance: str, port: int) -> None:
        self._store = store
        self._instance = instance
        self._port = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self._port, reuse_address=True
        )

    async def close(self) -> None:
        """Stop listening, and reset what is open."""
        self._server.close()
        for writer in list(self._writers):
            reset(writer)

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                status, content = await self._store.answer(self._instance, request)
                content["nowMs"] = int(now() * 1000)
                body = json.dumps(content).encode()
                headers = {"Content-Type": "application/json"}
                writer.write(encode_answer(status, headers, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The other side, or the case, has ended.
            pass
        finally:
            self._writers.discard(writer)
            reset(writer)
