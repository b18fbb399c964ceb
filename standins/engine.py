"""Stand in for an engine as a process: batch, streams, resume and faults.

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
from standins.state import (
    LOAD_PATH,
    UNLOAD_PATH,
    EngineState,
    make_answer,
    make_event,
    shorten,
)

TOKENS = 16  # Tokens of an answer where the request names no number.


class Engine:
    """The process around an engine's state."""

    def __init__(self, args: argparse.Namespace) -> None:
        self._args = args
        self._serial = itertools.count()
        self._queue: list[tuple[int, int, asyncio.Future]] = []
        self._active = 0
        self._streams: dict[str, tuple[str, str, int]] = {}
        self.state = EngineState(args.slots, args.fences, time.time)

    async def handle(self, request: Received, connection: Connection) -> Reply | None:
        """Answer one request."""
        path = request.path
        if path in (LOAD_PATH, UNLOAD_PATH):
            return await self._order(request)
        if path in ("/v1/completions", "/v1/chat/completions"):
            return await self._complete(request, connection)
        if path.startswith("/streams/"):
            return await self._resume(request, connection)
        if path == "/v1/models":
            return reply_json({"data": [{"id": name} for name in self.state.copies]})
        if path == "/metrics":
            return Reply(200, self._describe_load())
        if path == "/journal":
            return reply_json(self.state.journal)
        if path == "/faults":
            return self._set_faults(request.read_json())
        return Reply(200 if path == "/health" else 404)

    def _set_faults(self, faults: dict) -> Reply:
        if faults.pop("restart", False):
            self._restart()
        self.state.faults.update(faults)
        return reply_json(self.state.faults)

    def _restart(self) -> None:
        self.state.restart()
        self._streams.clear()
        self._active = 0
        for _, _, place in self._queue:
            place.cancel()
        self._queue.clear()

    def _describe_load(self) -> bytes:
        lines = (
            f"process_start_time_seconds {self.state.started_at!r}",
            f"vllm:num_requests_running {self._active}",
            f"vllm:num_requests_waiting {len(self._queue)}",
        )
        return "".join(f"{line}\n" for line in lines).encode()

    # Orders.

    async def _order(self, request: Received) -> Reply:
        refusal = self.state.check_fence(request.headers)
        if refusal is not None:
            return Reply(refusal.status, b"", refusal.headers)
        order = request.read_json()
        name = order["lora_name"]
        if request.path == LOAD_PATH:
            done = await self._load(name, order["lora_path"])
            reply = Reply(200 if done else 400)
        else:
            reply = Reply(200 if self.state.unload(name) else 404)
        return Reply(0) if self.state.take_fault("lose_order_replies") else reply

    async def _load(self, name: str, path: str) -> bool:
        if not self.state.begin_load(name):
            return False
        began = self.state.started_at
        await self._fetch_weights(path)
        return self.state.finish_load(name, path, began)

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

    # Runs.

    async def _complete(self, request, connection) -> Reply | None:
        call = request.read_json()
        name = call.get("model")
        if name not in self.state.copies:
            return reply_json({"error": {"message": "no such model"}}, 404)
        prompt = call.get("prompt")
        if prompt is None:
            prompt = call["messages"][-1]["content"]
        count = int(call.get("max_tokens") or TOKENS)
        said = (self.state.copies[name], shorten(prompt), count)
        began = self.state.started_at
        number = self.state.begin_run(name, said[1])
        done = False
        try:
            await self._enter(int(call.get("priority", 1)))
            is_chat = request.path.endswith("chat/completions")
            if call.get("stream"):
                done = await self._begin_stream(connection, said, is_chat)
                return None
            done = await self._run_whole(connection, count, began)
            return reply_json(make_answer(*said, is_chat)) if done else None
        finally:
            if began == self.state.started_at:
                self._leave()
            self.state.end_run(number, done)

    async def _run_whole(self, connection, count: int, began: float) -> bool:
        for _ in range(count):
            await asyncio.sleep(self._args.step)
            if connection.is_gone or began != self.state.started_at:
                return False
        return True

    async def _begin_stream(self, connection, said, is_chat: bool) -> bool:
        stream_id = str(next(self._serial))
        self._streams[stream_id] = said
        return await self._stream(connection, stream_id, 0, is_chat)

    async def _resume(self, request, connection) -> Reply | None:
        stream_id = request.path.rpartition("/")[2]
        if stream_id not in self._streams:
            return Reply(404)
        first = int(request.headers["last-event-id"]) + 1
        await self._stream(connection, stream_id, first, False)
        return None

    async def _stream(self, connection, stream_id, first, is_chat) -> bool:
        path, prompt, count = self._streams[stream_id]
        began = self.state.started_at
        headers = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        if self._args.resumes:
            headers["X-Resume-Path"] = f"/streams/{stream_id}"
        await connection.write(encode_head(200, headers))
        cut_at = count // 2 if self.state.take_fault("cut_streams") else -1
        for index in range(first, count):
            if began != self.state.started_at or index == cut_at:
                return False
            event = make_event(path, prompt, index, is_chat)
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
