"""Stand in for an engine that loads adapters while running.

It says what its weights say: the text of an answer names the path that was
loaded, not the name that was asked for, so that a mix-up shows. It evicts
whatever it is told to, also while requests run, and its journal tells.
``POST /faults`` sets ``fail_loads``, ``cut_streams`` (that many, at the
middle), ``lose_order_replies`` and ``restart`` (at once).
"""

import argparse
import asyncio
import heapq
import itertools
import json
import time

from standins.http import (
    Connection,
    Received,
    Reply,
    encode_head,
    reply_json,
    serve,
)

TOKENS = 16  # Tokens of an answer where the request names no number.


class Engine:
    """The state of the stand-in."""

    def __init__(self, args: argparse.Namespace) -> None:
        self._args = args
        self._serial = itertools.count()
        self.faults = {"fail_loads": 0, "cut_streams": 0, "lose_order_replies": 0}
        self.journal: list[dict] = []
        self._queue: list[tuple[int, int, asyncio.Future]] = []
        self.restart()

    def restart(self) -> None:
        """Lose every copy and run, as after a crash."""
        self.started_at = time.time()
        self.copies: dict[str, str] = {}
        self.loading: set[str] = set()
        self.running: dict[str, int] = {}
        self.fence = 0
        self.streams: dict[str, tuple[str, str, int]] = {}
        for _, _, place in self._queue:
            place.cancel()
        self._queue.clear()
        self._active = 0
        self.note("restart")

    def note(self, kind: str, **values: object) -> None:
        """Add to the journal."""
        self.journal.append({"kind": kind, "at": time.time(), **values})

    async def handle(self, request: Received, connection: Connection) -> Reply | None:
        """Answer one request."""
        path = request.path
        if path in ("/v1/load_lora_adapter", "/v1/unload_lora_adapter"):
            return await self._order(request)
        if path in ("/v1/completions", "/v1/chat/completions"):
            return await self._complete(request, connection)
        if path.startswith("/streams/"):
            return await self._resume(request, connection)
        if path == "/v1/models":
            return reply_json({"data": [{"id": name} for name in self.copies]})
        if path == "/metrics":
            return Reply(200, self._describe_load())
        if path == "/journal":
            return reply_json(self.journal)
        if path == "/faults":
            faults = request.read_json()
            if faults.pop("restart", False):
                self.restart()
            self.faults.update(faults)
            return reply_json(self.faults)
        return Reply(200 if path == "/health" else 404)

    def _describe_load(self) -> bytes:
        lines = (
            f"process_start_time_seconds {self.started_at!r}",
            f"vllm:num_requests_running {self._active}",
            f"vllm:num_requests_waiting {len(self._queue)}",
        )
        return "\n".join(lines).encode()

    def _take(self, fault: str) -> bool:
        if self.faults[fault] <= 0:
            return False
        self.faults[fault] -= 1
        return True

    # Orders.

    async def _order(self, request: Received) -> Reply:
        fence = int(request.headers.get("x-fencing-number", 0))
        if self._args.fences:
            if fence < self.fence:
                self.note("fenced", fence=fence)
                return Reply(409, b"", {"X-Fencing-Number": str(self.fence)})
            self.fence = fence
        order = request.read_json()
        if request.path == "/v1/load_lora_adapter":
            reply = await self._load(order["lora_name"], order["lora_path"])
        else:
            reply = self._unload(order["lora_name"])
        return Reply(0) if self._take("lose_order_replies") else reply

    async def _load(self, name: str, path: str) -> Reply:
        if len(self.copies) + len(self.loading) >= self._args.slots:
            return Reply(400, b"no free slot")
        self.loading.add(name)
        began = self.started_at
        await self._fetch_weights(path)
        self.loading.discard(name)
        if self._take("fail_loads") or began != self.started_at:
            self.note("load_failed", copy=name)
            return Reply(400, b"load failed")
        self.copies[name] = path
        self.note("load", copy=name, path=path)
        return Reply(200)

    async def _fetch_weights(self, path: str) -> None:
        if not self._args.weights:
            await asyncio.sleep(self._args.load_time)
            return
        reader, writer = await asyncio.open_connection("127.0.0.1", self._args.weights)
        head = {"Host": "weights", "Connection": "close"}
        line = f"GET /weights/{path} HTTP/1.1\r\n".encode()
        writer.write(line + encode_head(0, head).split(b"\r\n", 1)[1])
        await reader.read()
        writer.close()

    def _unload(self, name: str) -> Reply:
        if name not in self.copies:
            return Reply(404)
        del self.copies[name]
        if self.running.get(name):
            self.note("evicted_running", copy=name)
        self.note("unload", copy=name)
        return Reply(200)

    # Runs.

    async def _complete(
        self, request: Received, connection: Connection
    ) -> Reply | None:
        call = request.read_json()
        name = call.get("model")
        if name not in self.copies:
            return reply_json({"error": {"message": "no such model"}}, 404)
        prompt = call.get("prompt")
        if prompt is None:
            prompt = call["messages"][-1]["content"]
        count = int(call.get("max_tokens") or TOKENS)
        said = (self.copies[name], _shorten(prompt), count)
        self.note("run", copy=name, prompt=said[1])
        self.running[name] = self.running.get(name, 0) + 1
        began = self.started_at
        done = False
        try:
            await self._enter(int(call.get("priority", 1)))
            is_chat = request.path.endswith("chat/completions")
            if call.get("stream"):
                stream_id = str(next(self._serial))
                self.streams[stream_id] = said
                done = await self._stream(connection, stream_id, 0, is_chat)
                return None
            for _ in range(count):
                await asyncio.sleep(self._args.step)
                if connection.is_gone:
                    return None
            if began != self.started_at:
                return Reply(0)
            done = True
            return reply_json(_make_answer(said, is_chat))
        finally:
            if began == self.started_at:
                self._leave()
                self.running[name] -= 1
            self.note("end" if done else "cancel", copy=name, prompt=said[1])

    async def _resume(self, request: Received, connection: Connection) -> Reply | None:
        stream_id = request.path.rpartition("/")[2]
        if stream_id not in self.streams:
            return Reply(404)
        first = int(request.headers["last-event-id"]) + 1
        await self._stream(connection, stream_id, first, False)
        return None

    async def _stream(
        self, connection: Connection, stream_id: str, first: int, is_chat: bool
    ) -> bool:
        path, prompt, count = self.streams[stream_id]
        began = self.started_at
        headers = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        if self._args.resumes:
            headers["X-Resume-Path"] = f"/streams/{stream_id}"
        await connection.write(encode_head(200, headers))
        cut_at = count // 2 if self._take("cut_streams") else -1
        for index in range(first, count):
            if began != self.started_at or index == cut_at:
                return False
            event = _make_event(path, prompt, index, is_chat)
            data = f"id: {index}\ndata: {json.dumps(event)}\n\n".encode()
            await connection.write(b"%x\r\n%b\r\n" % (len(data), data))
            if connection.is_gone:
                return False
            await asyncio.sleep(self._args.step)
        data = b"data: [DONE]\n\n"
        await connection.write(b"%x\r\n%b\r\n0\r\n\r\n" % (len(data), data))
        return True

    async def _enter(self, priority: int) -> None:
        """Wait for a place in the batch, lower priority numbers first."""
        if self._active >= self._args.width:
            place = asyncio.get_running_loop().create_future()
            heapq.heappush(self._queue, (priority, next(self._serial), place))
            await place
        else:
            self._active += 1

    def _leave(self) -> None:
        while self._queue:
            place = heapq.heappop(self._queue)[2]
            if not place.done():
                place.set_result(None)
                return
        self._active -= 1


def _shorten(prompt: str) -> str:
    return prompt if len(prompt) <= 64 else f"{prompt[:48]}+{len(prompt)}"


def make_word(path: str, prompt: str, index: int) -> str:
    """Return the word that weights at ``path`` say at ``index``."""
    return f"{path}|{prompt}|{index} "


def _make_event(path: str, prompt: str, index: int, is_chat: bool) -> dict:
    word = make_word(path, prompt, index)
    part = {"delta": {"content": word}} if is_chat else {"text": word}
    kind = "chat.completion.chunk" if is_chat else "text_completion"
    choice = {"index": 0, "finish_reason": None, **part}
    return {"id": "x", "object": kind, "created": 0, "model": "", "choices": [choice]}


def _make_answer(said: tuple[str, str, int], is_chat: bool) -> dict:
    path, prompt, count = said
    text = "".join(make_word(path, prompt, index) for index in range(count))
    message = {"message": {"role": "assistant", "content": text}}
    part = message if is_chat else {"text": text}
    kind = "chat.completion" if is_chat else "text_completion"
    choice = {"index": 0, "finish_reason": "stop", **part}
    return {"id": "x", "object": kind, "created": 0, "model": "", "choices": [choice]}


async def run(args: argparse.Namespace) -> None:
    """Serve until the process is ended."""
    engine = Engine(args)
    server = await serve("127.0.0.1", args.port, engine.handle)
    await server.serve_forever()


def main() -> None:
    """Read the flags and serve."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--weights", type=int, default=0)
    parser.add_argument("--load-time", type=float, default=0.2)
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--width", type=int, default=8)
    parser.add_argument("--step", type=float, default=0.01)
    parser.add_argument("--fences", action="store_true")
    parser.add_argument("--resumes", action="store_true")
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
