"""Stand in for an engine, in memory and on the hub's clock."""

import json
from typing import TYPE_CHECKING, NamedTuple

from roadlift.core.errors import ConnectionLost, EndpointUnreachable
from roadlift.relay.upstream import Request
from standins.hublines import HubLine
from standins.state import (
    LOAD_PATH,
    UNLOAD_PATH,
    EngineState,
    make_answer,
    make_event,
    shorten,
)

if TYPE_CHECKING:
    from standins.hub import Hub

CRASH_DELAY = 0.05  # Seconds from a deadly run's beginning to the engine's end.
RETURN_DELAY = 2.0  # Seconds until an engine that ended is back.
EVENT_GAP = 0.05  # Seconds between the events of a stream.
STREAM_PATH = "/streams/"


class HubStream(NamedTuple):
    """A stream that an engine keeps, so that it can be resumed."""

    run: int
    path: str
    prompt: str
    count: int


class HubEngine:
    """An engine in memory: a load takes time, a run takes time.

    Each answer is cut before the event that the next number of ``cuts`` names,
    a whole one behind its head for 0. Resumptions meet ``refusal``: a status,
    "no way", "a loss", or nothing, and come at the times in ``resumptions``.
    """

    def __init__(self, hub: "Hub", zone: str, slots: int, fences: bool) -> None:
        self._hub = hub
        self.zone = zone
        self.load_time = 0.2
        self.run_time = 0.2
        self.state = EngineState(slots, fences, hub.clock.now)
        # Prompts under which the engine ends, for some seconds.
        self.deadly: set[str] = set()
        self.deadly_runs = 0
        self.is_down = False
        # Seconds of rest that it asks for as it turns calls away, or 0, and
        # the times of the calls that came. One that is full asks for none.
        self.rest = 0
        self.full_status = 0
        self.turned_away: list[float] = []
        self.streams: dict[str, HubStream] = {}
        self.can_resume = True
        self.is_silent = False  # Its streams bring no event.
        self.cuts: list[int] = []
        self.refusal = ""
        self.resumptions: list[float] = []

    def crash(self) -> None:
        """End, and be back with nothing a while later."""
        if self.is_down:
            return
        self.is_down = True
        self.restart()
        self._hub.call_later(RETURN_DELAY, self._return)

    def _return(self) -> None:
        self.is_down = False
        self.state.restart()

    def restart(self) -> None:
        """Lose everything; calls in flight lose their connections."""
        self.streams.clear()
        self.state.restart()

    def handle(self, request: Request, line: HubLine) -> None:
        """Answer one call, after the time that it takes."""
        headers = {name.lower(): value for name, value in request.headers.items()}
        if request.path in (LOAD_PATH, UNLOAD_PATH):
            self._order(request, headers, line)
        elif request.path == "/v1/models":
            data = [{"id": name} for name in self.state.copies]
            self._reply(line, 200, json.dumps({"data": data}).encode())
        elif request.path == "/metrics":
            text = f"process_start_time_seconds {self.state.started_at!r}\n"
            text += f"vllm:num_requests_running {len(self.state.runs)}\n"
            self._reply(line, 200, text.encode())
        elif request.path.startswith(STREAM_PATH):
            self._resume(request.path, headers, line)
        else:
            self._run(json.loads(request.body), line)

    def _order(self, request, headers, line) -> None:
        refusal = self.state.check_fence(headers)
        if refusal is not None:
            lowered = {name.lower(): text for name, text in refusal.headers.items()}
            self._reply(line, refusal.status, b"", lowered)
            return
        order = json.loads(request.body)
        name = order["lora_name"]
        if request.path == UNLOAD_PATH:
            self._reply_order(line, 200 if self.state.unload(name) else 404)
        elif not self.state.begin_load(name):
            self._reply_order(line, 400)
        else:
            began = self.state.started_at
            path = order["lora_path"]
            finish = lambda: self._finish_load(name, path, began, line)
            self._hub.call_later(self.load_time, finish)

    def _finish_load(self, name, path, began, line) -> None:
        done = self.state.finish_load(name, path, began)
        if began != self.state.started_at:
            line.receiver.receive_error(ConnectionLost("restart"))
            return
        self._reply_order(line, 200 if done else 400)

    def _reply_order(self, line: HubLine, status: int) -> None:
        if self.state.take_fault("lose_order_replies"):
            if not line.is_closed:
                line.receiver.receive_error(ConnectionLost("lost reply"))
            return
        self._reply(line, status, b"")

    def _run(self, call: dict, line: HubLine) -> None:
        name = call["model"]
        if self.rest or self.full_status:
            rest = {"retry-after": str(self.rest)} if self.rest else {}
            self.turned_away.append(self._hub.clock.now())
            self._reply(line, self.full_status or 429, b"full", rest)
            return
        if name not in self.state.copies:
            self._reply(line, 404, b"no such model")
            return
        path, prompt = self.state.copies[name], shorten(call["prompt"])
        number = self.state.begin_run(name, prompt)
        line.on_close = lambda: self.state.end_run(number, False)
        if call.get("stream"):
            stream = HubStream(number, path, prompt, call["max_tokens"])
            self.streams[str(number)] = stream
            self._stream(str(number), 0, line)
            return
        answer = make_answer(path, prompt, call.get("max_tokens", 4), False)
        finish = lambda: self._finish_run(number, answer, line)
        self._hub.call_later(self.run_time, finish)
        if call["prompt"] in self.deadly:
            self.deadly_runs += 1
            self._hub.call_later(CRASH_DELAY, self.crash)

    def _finish_run(self, number: int, answer: dict, line: HubLine) -> None:
        if line.is_closed:
            return
        if number not in self.state.runs:
            line.receiver.receive_error(ConnectionLost("restart"))
            return
        body = json.dumps(answer).encode()
        if self.cuts and self.cuts.pop(0) == 0:
            self.state.end_run(number, False)
            line.receiver.receive_head(200, {"content-length": str(len(body))})
            line.receiver.receive_error(ConnectionLost("closed early"))
            return
        self.state.end_run(number, True)
        self._reply(line, 200, body)

    def _resume(self, path: str, headers: dict[str, str], line: HubLine) -> None:
        self.resumptions.append(self._hub.clock.now())
        key = path.removeprefix(STREAM_PATH)
        rest = {"retry-after": str(self.rest)} if self.rest else {}
        if self.refusal == "no way":
            line.receiver.receive_error(EndpointUnreachable("connect timeout"))
        elif self.refusal == "a loss":
            line.receiver.receive_error(ConnectionLost("closed early"))
        elif self.refusal:
            self._reply(line, int(self.refusal), b"refused", rest)
        elif key not in self.streams:
            self._reply(line, 404, b"no such stream")
        else:
            run = self.streams[key].run
            line.on_close = lambda: self.state.end_run(run, False)
            self._stream(key, int(headers["last-event-id"]) + 1, line)

    def _stream(self, key: str, first: int, line: HubLine) -> None:
        """Give a stream's events from one on."""
        headers = {"content-type": "text/event-stream"}
        if self.can_resume:
            headers["x-resume-path"] = STREAM_PATH + key
        line.receiver.receive_head(200, headers)
        cut = self.cuts.pop(0) if self.cuts else -1
        self._schedule_event(key, first, cut, line)

    def _schedule_event(self, key: str, index: int, cut: int, line: HubLine) -> None:
        give = lambda: self._give_event(key, index, cut, line)
        self._hub.call_later(EVENT_GAP, give)

    def _give_event(self, key: str, index: int, cut: int, line: HubLine) -> None:
        """Give one event, or what ends the stream or this answer of it."""
        if line.is_closed:
            return
        if line.is_paused or self.is_silent:
            self._schedule_event(key, index, cut, line)
            return
        if index == cut or key not in self.streams:
            line.receiver.receive_error(ConnectionLost("closed early"))
            return
        run, path, prompt, count = self.streams[key]
        if index == count:
            self._end_stream(run, cut, line)
            return
        event = json.dumps(make_event(path, prompt, index, False))
        line.receiver.receive_body(f"id: {index}\ndata: {event}\n\n".encode())
        self._schedule_event(key, index + 1, cut, line)

    def _end_stream(self, run: int, cut: int, line: HubLine) -> None:
        """Give the end mark; the answer's end is lost if it is cut there."""
        self.state.end_run(run, True)
        line.receiver.receive_body(b"data: [DONE]\n\n")
        if cut > self.streams[str(run)].count:
            line.receiver.receive_error(ConnectionLost("closed early"))
        else:
            line.receiver.receive_end()

    def _reply(self, line, status, body, headers=None) -> None:
        if line.is_closed:
            return
        found = {"content-length": str(len(body)), **(headers or {})}
        line.receiver.receive_head(status, found)
        if body:
            line.receiver.receive_body(body)
        line.receiver.receive_end()
