"""Serve a stand-in installation, its store and its runners, on loopback.

The same store and runners as on the paused clock, behind sockets and on the
time of the machine. ``POST /control`` at the store's address sets faults, and
``GET /control`` tells what was run and ordered.
"""

import argparse
import json
import random
from collections.abc import Callable
from weakref import WeakKeyDictionary

from roadlift.core.clock import BootClock
from roadlift.core.errors import RoadliftError
from roadlift.core.loop import Loop
from roadlift.http.connection import Connection
from roadlift.http.messages import HttpLimits, ReceivedRequest
from roadlift.http.server import Server
from roadlift.relay.address import Address
from roadlift.relay.upstream import Request
from standins.batches import Batch
from standins.endings import ENDINGS, LATE_CLOSE, Ending, Listener
from standins.framings import Unframed
from standins.installation import Installation
from standins.lines import MemoryLine
from standins.listeners import OrphanListener
from standins.pours import Heads, Pour, Pourer
from standins.replies import Reply
from standins.runners import REFUSAL, STAMP, Pause, Runner

CONTROL = "/control"
HEADS = Heads(REFUSAL.headers, {STAMP: "stamp-pour"})
BEAT = 1.2  # Seconds between a runner's entries in the list.
# Seconds behind the store's return until what it lost is written again.
WRITTEN_AGAIN = 1.0
BATCH_SLOTS = 8  # Calls that a runner runs at once, as its entry has it.
REPEATED = 3  # Each such answer is repeated by a runner that does so.
BATCH_ROOM = 100  # Calls that wait there as long as it is not.
_OWN = ("content-length", "transfer-encoding", "connection")
# An event of a stream has 16 bytes: one ends inside the second, one is whole.
_FAULTS = {
    "refuse": REFUSAL,
    "break off": Unframed(20),
    "break off early": Unframed(0),
    "unframed": Unframed(),
}


class LoopTimeline:
    """Calls in the future, on a loop."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop

    def now(self) -> float:
        """Return the time of the loop's clock."""
        return self._loop.clock.now()

    def call_later(self, seconds: float, call: Callable[[], None]) -> None:
        """Call once, later."""
        self._loop.call_later(seconds, call)


class _Receiver:
    """Writes the pieces of an answer to a connection."""

    def __init__(self, caller: Connection) -> None:
        self._caller = caller

    def receive_head(self, status: int, headers: dict[str, str]) -> None:
        """Begin an answer in chunks, or one that ends with its connection."""
        if "transfer-encoding" not in headers:
            # An answer to HTTP/1.0 has no chunks.
            self._caller._framing.version = "1.0"
        self._caller.write_head(status, _drop_own(headers), None)

    def receive_body(self, data: bytes) -> None:
        """Write a piece of its body."""
        self._caller.write(data)

    def receive_end(self) -> None:
        """End the answer."""
        self._caller.finish()

    def receive_error(self, error: RoadliftError) -> None:
        """Reset the connection."""
        self._caller.reset()


class SocketLine(MemoryLine):
    """A request that came over a socket."""

    def __init__(self, caller: Connection) -> None:
        super().__init__(_Receiver(caller))
        self._caller = caller
        self.written = True
        self.on_reply: Callable[[Reply], None] = lambda reply: None
        caller.on_gone = self.close

    def send(self, reply: Reply) -> None:
        """Give a whole answer, with its length."""
        if self.is_closed:
            return
        self.is_closed = True
        if reply.status == 0:
            self._caller.close()
            return
        self.on_reply(reply)
        self._caller.answer(reply.status, _drop_own(reply.headers), reply.body)


def _drop_own(headers: dict[str, str]) -> dict[str, str]:
    return {name: text for name, text in headers.items() if name not in _OWN}


def _encode_reply(reply: Reply) -> bytes:
    """Return the bytes of a whole answer."""
    lines = [f"HTTP/1.1 {reply.status} Again"]
    headers = {**_drop_own(reply.headers), "Content-Length": str(len(reply.body))}
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + reply.body


class RunnerHandler:
    """Hands requests to a runner."""

    def __init__(self, runner: Runner) -> None:
        self.runner = runner
        self.is_away = False  # Whether the runner has ended.
        self.repeats = False
        self.pour: Pour | None = None
        self.poured: list[str] = []
        self._answers = 0
        self._late: WeakKeyDictionary[Connection, bytes] = WeakKeyDictionary()

    def handle(self, received: ReceivedRequest, caller: Connection) -> None:
        """Take a request; first repeat the answer before, if it is to be."""
        if self.is_away:
            return
        late = self._late.pop(caller, b"")
        if late:
            caller._send(late)
        if self.pour is not None:
            call_id = received.headers.get("request-id", "")
            self.poured.append(call_id)
            Pourer(self.pour, call_id, HEADS, caller).start()
            return
        line = SocketLine(caller)
        line.on_reply = lambda reply: self._choose_late(caller, reply)
        self.runner.handle(_make_request(received), line)

    def _choose_late(self, caller: Connection, reply: Reply) -> None:
        """Keep some answers, to be sent once more behind the next request."""
        self._answers += 1
        if self.repeats and not self._answers % REPEATED:
            self._late[caller] = _encode_reply(reply)


class RunnerServer:
    """The server of a runner, and what listens in its place behind its end."""

    def __init__(self, loop: Loop, runner: Runner, handler: RunnerHandler) -> None:
        self._loop = loop
        self._address = runner.address
        self._handler = handler
        self._server = Server(loop, runner.address, handler, HttpLimits())
        self._orphan: OrphanListener | None = None
        runner.on_end = self.end
        runner.on_return = self.start

    def start(self) -> None:
        """Serve, in place of what listens there."""
        self._drop_orphan()
        self._handler.is_away = False
        self._server.start()

    def end(self, ending: Ending) -> None:
        """Cut all connections; the listener goes, stays or is replaced."""
        if ending.listener is Listener.LATE:
            self._handler.is_away = True
            for connection in list(self._server.connections):
                connection.reset()
            self._loop.call_later(LATE_CLOSE, self._server.close)
            return
        self._server.close()
        if ending.listener is not Listener.GONE:
            resets = ending.listener is Listener.RESETS
            self._orphan = OrphanListener(self._loop, self._address, resets)
            self._orphan.start()

    def _drop_orphan(self) -> None:
        if self._orphan is not None:
            self._orphan.close()
            self._orphan = None


class StoreHandler:
    """Hands calls to the store, and the control's to the site."""

    def __init__(self, site: "Site") -> None:
        self._site = site

    def handle(self, received: ReceivedRequest, caller: Connection) -> None:
        """Take a request."""
        if received.path == CONTROL:
            if received.method == "POST":
                self._site.control(json.loads(received.body))
            body = json.dumps(self._site.describe()).encode()
            caller.answer(200, {"Content-Type": "application/json"}, body)
            return
        line = SocketLine(caller)
        if not self._site.installation.store.is_down:
            self._site.installation.store.handle(_make_request(received), line)


def _make_request(received: ReceivedRequest) -> Request:
    return Request(
        received.method, received.target, dict(received.headers), received.body
    )


class Site:
    """The store and the runners of a deployment, each at a port."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self.installation = Installation(loop.clock, LoopTimeline(loop))
        self.installation.marks_events = True
        self._runners: list[Runner] = []
        self._handlers: dict[str, RunnerHandler] = {}
        self._names: dict[str, str] = {}  # Of runners that were replaced.
        self._named: dict[str, tuple[int, float]] = {}
        self._runs: list[dict] = []

    def serve_store(self, port: int) -> None:
        """Serve the store."""
        address = Address("127.0.0.1", port)
        Server(self._loop, address, StoreHandler(self), HttpLimits()).start()

    def list_runner(self, service: str, name: str, zone: str, port: int) -> None:
        """Register a runner that another process serves."""
        runner = Runner(self.installation, service, name, zone)
        runner.address = Address("127.0.0.1", port)
        self.installation.runners[name] = runner
        self._beat(runner)

    def serve_runner(self, service: str, name: str, zone: str, port: int) -> None:
        """Serve a runner, an engine where its service is ``llm``."""
        runner = Runner(self.installation, service, name, zone)
        runner.address = Address("127.0.0.1", port)
        runner.bases = ["base"] if service == "llm" else []
        runner.slots = 6
        runner.restart()
        self.installation.runners[name] = runner
        self._runners.append(runner)
        handler = self._handlers[name] = RunnerHandler(runner)
        server = RunnerServer(self._loop, runner, handler)
        runner.on_run = lambda headers: self._note_run(runner, headers)
        server.start()
        self._beat(runner)

    def _find_runner(self, name: str) -> Runner | None:
        """Return a runner, or None while it is away."""
        return self.installation.runners.get(self._names.get(name, name))

    def _beat(self, runner: Runner) -> None:
        if self.installation.runners.get(runner.id) is runner:
            self._write(runner)
        self._loop.call_later(BEAT, lambda: self._beat(runner))

    def _write(self, runner: Runner) -> None:
        self.installation.store.put("servers", runner.id, runner.describe())

    def _note_run(self, runner: Runner, headers: dict[str, str]) -> None:
        """Keep a run, and for how long a newer version had been named."""
        _, _, adapter = headers.get("model", "").partition("/")
        version, named_at = self._named.get(adapter, (0, 0.0))
        age = self.installation.clock.now() - named_at
        is_old = bool(adapter) and runner.held.get(adapter, 0) < version
        self._runs.append(
            {
                "id": headers["request-id"],
                "runner": runner.id,
                "at": self.installation.clock.now(),
                "old_for": age if is_old else 0.0,
                "organisation": headers.get("tenant-name", ""),
                "has_key": "authorization" in headers,
            }
        )

    def control(self, command: dict) -> None:
        """Carry out a command of the soak."""
        store = self.installation.store
        for name in ("is_down", "lose_answers", "lose_polls"):
            if name in command:
                setattr(store, name, command[name])
        if "go_back" in command:
            self._go_back(command["go_back"], command["passed"])
        if "put" in command:
            store.put("op", command["put"], command["content"])
        if "version" in command:
            self._name_version(command["version"])
        if "deadly" in command:
            self.installation.deadly.add(command["deadly"].encode())
        if "restart" in command:
            self._restart(command["restart"])
        if "release" in command:
            self._release(command["release"], command["software"])
        if "limit" in command:
            self._name_limit(command["runner"], command["limit"])
        if "leaving" in command:
            self._leave(command["leaving"])
        if "rest" in command:
            self._want_rest(command["runner"], command["rest"], command["part"])
        if "evacuate" in command:
            self.installation.evacuate(command["evacuate"])
        if "take_back" in command:
            self.installation.take_back(command["take_back"])
        if "shrink" in command:
            self._shrink(command["shrink"], command["bears"])
        if "deadly_part" in command:
            self.installation.deadly_parts.add(command["deadly_part"])
        if "cold" in command:
            self._turn_cold(command["cold"], command["rate"], command["seconds"])
        if "fault" in command:
            self._spoil(command["runner"], command["fault"])
        if "failed_part" in command:
            self._fail_calls(command["service"], command["failed_part"])
        if "pour" in command:
            kind = command["pour"]
            self._handlers[command["runner"]].pour = kind and Pour(kind)
        if "repeat" in command:
            self._repeat(command["runner"], command["repeat"])
        if "pause" in command:
            self._pause(command["runner"], Pause(command["pause"]))
        if "stop" in command:
            self._stop(command["stop"], command["seconds"])
        if "hang" in command:
            self._hang(command["runner"], command["hang"])
        if "ending" in command:
            self.installation.ending = ENDINGS[command["ending"]]
        if "draw_endings" in command:
            self._draw_endings(command["draw_endings"])
        if "events" in command:
            self._set_events(command["events"])

    def _draw_endings(self, seed: int) -> None:
        """Let each runner that ends do so in a way that is drawn."""
        rng = random.Random(seed)
        ways = list(ENDINGS.values())
        self.installation.draw_ending = lambda: rng.choice(ways)
        self.installation.ending = rng.choice(ways)

    def _set_events(self, count: int) -> None:
        """Set the number of events of a stream."""
        for runner in self.installation.runners.values():
            runner.events = count

    def _go_back(self, seconds: float, passed: int) -> None:
        """Bring the store back from a copy; what it lost is written again."""
        store = self.installation.store
        lost = store.go_back(seconds)
        store.pass_versions(passed)
        self._loop.call_later(WRITTEN_AGAIN, lambda: store.write_again(lost))

    def _restart(self, name: str) -> None:
        runner = self._find_runner(name)
        if runner is not None:
            runner.restart()
            self._write(runner)

    def _stop(self, name: str, seconds: float) -> None:
        """Let a runner stand still, and read behind that what arrives."""
        runner = self._find_runner(name)
        if runner is not None:
            runner.stop(seconds)

    def _release(self, name: str, software: str) -> None:
        """Let a runner end, and come back with a version of its software."""
        runner = self._find_runner(name)
        if runner is not None:
            runner.crash()
            runner.software = software

    def _turn_cold(self, name: str, rate: float, seconds: float) -> None:
        """Replace a runner by another one at its address, which is cold.

        It bears another name, so that who does not know of it yet is told.
        """
        ended = self._find_runner(name)
        if ended is None:
            return
        ended.interrupt()
        del self.installation.runners[ended.id]
        self.installation.store.delete("servers", ended.id)
        runner = self.installation.replace(ended)
        runner.restart()
        runner.on_end, runner.on_return = ended.on_end, ended.on_return
        runner.on_run = lambda headers: self._note_run(runner, headers)
        self._handlers[name].runner = runner
        self._names[name] = runner.id
        self._runners.append(runner)
        runner.turn_cold(rate, seconds)
        self._beat(runner)

    def _shrink(self, service: str, bears: int | None) -> None:
        """Let a service's runners have little room, and bear few rejections.

        With None they have as much as before, and bear any number.
        """
        self.installation.brittle_times += bears is not None
        for runner in self.installation.runners.values():
            if runner.service != service:
                continue
            if runner.batch is None:
                timeline = self.installation.timeline
                runner.batch = Batch(timeline, BATCH_SLOTS, BATCH_ROOM)
            if bears is None:
                runner.batch.recover()
            else:
                runner.batch.shrink(bears)

    def _spoil(self, name: str, fault: str) -> None:
        runner = self._find_runner(name)
        if runner is not None:
            runner.faults.append(_FAULTS.get(fault, fault))

    def _repeat(self, name: str, repeats: bool) -> None:
        """Let a runner repeat answers, or drop rejections still to come."""
        self._handlers[name].repeats = repeats
        runner = self._find_runner(name)
        if runner is not None and not repeats:
            runner.faults = [fault for fault in runner.faults if fault != REFUSAL]

    def _fail_calls(self, service: str, part: float) -> None:
        """Let a service's runners fail a part of their calls."""
        for runner in self.installation.runners.values():
            if runner.service == service:
                runner.failed_part = part

    def _pause(self, name: str, pause: Pause) -> None:
        """Let all streams of a runner pause, and then go on."""
        runner = self._find_runner(name)
        if runner is not None:
            runner.pause(pause.seconds)

    def _hang(self, name: str, seconds: float) -> None:
        runner = self._find_runner(name)
        if runner is not None:
            runner.hang(seconds)

    def _name_limit(self, name: str, limit: str | None) -> None:
        runner = self._find_runner(name)
        if runner is not None:
            runner.name_limit(limit)

    def _leave(self, name: str) -> None:
        runner = self._find_runner(name)
        if runner is not None:
            runner.leave()

    def _want_rest(self, name: str, rest: str | None, part: float) -> None:
        runner = self._find_runner(name)
        if runner is not None:
            runner.want_rest(rest, part)

    def _name_version(self, adapter: str) -> None:
        version = self._named.get(adapter, (1, 0.0))[0] + 1
        self._named[adapter] = (version, self.installation.clock.now())
        self.installation.versions[adapter] = version
        content = {"model": "base", "adapter": adapter, "version": version}
        self.installation.store.put("op", f"version/base.{adapter}", content)

    def describe(self) -> dict:
        """Return what was run and ordered, and what was found wrong."""
        runners = self._runners
        deadly = self.installation.deadly_runs.values()
        of_parts = self.installation.deadly_part_runs.values()
        return {
            "runs": self._runs,
            "poured": [one for each in self._handlers.values() for one in each.poured],
            "arrivals": self.installation.arrivals.describe(),
            "spoiled": sorted(self.installation.spoiled),
            "ends": self.installation.ends.ends,
            "hung": sorted(self.installation.hung),
            "interrupted": dict(self.installation.interrupted),
            "overlaps": self.installation.overlaps.found,
            "deadly": [[run.call_id for run in runs] for runs in deadly],
            "deadly_parts": [[run.call_id for run in runs] for runs in of_parts],
            "deadly_part_runs": [list(run) for runs in of_parts for run in runs],
            "crash_times": self.installation.crash_times,
            "fallen": [list(fall) for fall in self.installation.fallen],
            "rejected": len(self.installation.rejected),
            "orders": {
                one.id: [
                    [at, order["holder"], order["fence"]] for at, order in one.orders
                ]
                for one in runners
            },
            "excess": [list(one) for one in self.installation.limits.list_excess()],
            "statements": self.installation.statements.describe(),
            "stray": [list(one) for one in self.installation.places.list_stray()],
            "crowded": [list(one) for one in self.installation.places.list_crowded()],
            "overfull": [one.id for one in runners if one.crashed],
            "store_calls": self.installation.store.calls,
        }


def main() -> None:
    """Read the flags and serve until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--runner", action="append", default=[])
    parser.add_argument("--listed", action="append", default=[])
    arguments = parser.parse_args()
    loop = Loop(BootClock())
    site = Site(loop)
    for text in arguments.runner:
        service, name, zone, port = text.split(",")
        site.serve_runner(service, name, zone, int(port))
    for text in arguments.listed:
        service, name, zone, port = text.split(",")
        site.list_runner(service, name, zone, int(port))
    site.serve_store(arguments.port)
    while True:
        loop.run_once(0.002)


if __name__ == "__main__":
    main()
