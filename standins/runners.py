"""Stand in for a runner of the users' platform, in memory."""

import json
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from roadlift.core.errors import AnswerUnbounded, ConnectionLost
from roadlift.relay.address import Address
from roadlift.relay.upstream import Request
from standins.arrivals import Arrival
from standins.batches import Batch, Fall
from standins.endings import Ending
from standins.framings import CHUNKED, Unframed
from standins.lines import MemoryDialer, MemoryLine
from standins.pours import Pour
from standins.replies import DELAY, Reply

if TYPE_CHECKING:
    from standins.installation import Installation

SHORTEST_WAIT = 1e-6  # Seconds; less is what the sum of times leaves.
EVENT_GAP = 0.02  # Seconds between the events of a stream.
SLOW = "/slow"  # The end of the paths whose streams have a longer gap.
LARGE = "/large"  # The end of the path of calls whose answers are large.
LARGE_SIZE = 600_000  # Bytes of such an answer.
SLOW_GAP = 0.2  # Seconds between their events.

REFUSAL = Reply(503, {"not-run": "1"})
POURED = b"x" * 65536  # What a body without end consists of.
FAILURE = Reply(500, {}, b"failed")  # Of a call that has run.
STAMP = "server-stamp"
LIMIT = "server-limit"
LEAVING = "server-leaving"
BRITTLE = "server-brittle"
REST = "retry-after"


class Pause(NamedTuple):
    """A fault: a stream makes no event for some seconds, and then goes on."""

    seconds: float
    in_event: bool = False  # Whether it has made a part of the next event.


LATE_ORDER = 3.0  # Seconds until an unanswered order is carried out late.
CRASH_DELAY = 0.08  # Seconds from a deadly call's beginning to a runner's end.
HEARTBEAT = 1.2  # Seconds between the entries that a cold runner writes.
RETURN_DELAY = 2.0  # Seconds until a runner that ended is back.
LAPSE = 3.6  # Seconds until the entry of a runner that ended is gone.


class Runner:
    """A runner: it loads adapters, answers calls and reports.

    ``faults`` are played one a call: a Reply is given in place of the
    answer, "mute" answers nothing, "fail" breaks off within a failure, "cut"
    ends a stream in its middle, "stall" leaves it there, a Pause holds it up
    there and "lose" runs the call and loses its answer. One that is Unframed
    has neither a length nor chunks; with ``is_unframed``, all streams are. A
    call whose body is deadly ends the runner soon after it began to run,
    before its first event; one with a deadly part of its prompt also behind
    some. Of the next ``lost_orders``, none is answered; every second is
    carried out late. While ``is_mute``, no report is given. ``named`` is the
    limit that it names in the answers to calls, as text, or None; one that
    ``is_leaving`` says so in all its answers. While there is a ``rest``, as
    text, it turns ``turned_away`` of the calls away and asks for that.
    ``more`` are further headers of its answers to calls. While it pauses, no
    stream makes an event; the streams of one that hangs never make another.
    ``software`` is the version of its software, which its entry names. With a
    ``batch`` it runs as many calls as that has slots, and rejects what its
    queue has no room for. The answers of plain ones have ``padding`` bytes at
    least. ``failed_part`` of the calls that run fail. With ``endless`` it
    answers all calls so, without end.
    """

    def __init__(
        self, installation: "Installation", service: str, name: str, zone: str
    ) -> None:
        self._installation = installation
        self._timeline = installation.timeline
        self.service = service
        self.id = name
        self.zone = zone
        self.address = Address("10.0.0.1", next(installation.ports))
        self.bases: list[str] = []
        self.held: dict[str, int] = {}
        self.arriving: dict[str, int] = {}
        self.sequence = 0
        self.slots = 2
        self.load_time = 0.2
        self.run_time = 0.02
        self.queue_time = 0.0  # Seconds until a call begins to run.
        self.events = 3
        self.padding = 0
        self.orders: list[tuple[float, dict]] = []
        self.ran: list[dict[str, str]] = []
        self.cancelled = 0
        self.crashed = False
        self.faults: list[object] = []
        self.failed_part = 0.0
        self._failed = 0.0
        self.endless: Pour | None = None
        self.is_unframed = False  # Whether no stream has a length or chunks.
        self.lost_orders = 0
        self.is_mute = False
        self.named: str | None = None
        self.is_leaving = False
        self.rest: str | None = None
        self.turned_away = 1.0
        self.more: dict[str, str] = {}
        self._turned = 0.0
        self.cold_until = 0.0
        self.born = 0
        self.software = "v1"
        self.batch: Batch | None = None
        self.on_run: Callable[[dict[str, str]], None] = lambda headers: None
        self.on_end: Callable[[Ending], None] = lambda ending: None
        self.on_return: Callable[[], None] = lambda: None
        self._lines: list[MemoryLine] = []
        self._paused_until = 0.0
        self._hung_until = 0.0
        self._stopped_until = 0.0
        self._shut_until = 0.0
        self._unread: set[MemoryLine] = set()
        # Seconds until a call that is turned away is told so.
        self.refusal_time = DELAY

    def stop(self, seconds: float) -> None:
        """Stand still for some seconds, as a process that is stopped.

        Connections and what is sent on them are taken, and read behind that.
        """
        self._stopped_until = self._timeline.now() + seconds
        self.pause(seconds)

    def shut(self, seconds: float) -> None:
        """Stand still, and let new connections hang for some seconds."""
        self.stop(seconds)
        self._shut_until = self._stopped_until

    def measure_shut_time(self) -> float:
        """Return the seconds for which new connections hang still."""
        return max(0.0, self._shut_until - self._timeline.now())

    def pause(self, seconds: float) -> None:
        """Hold all streams up for some seconds, if none are held up now."""
        now = self._timeline.now()
        if now >= self._paused_until:
            self._paused_until = now + seconds

    def hang(self, seconds: float) -> None:
        """Hold the streams of now, and of some seconds, up for good."""
        self._hung_until = self._timeline.now() + seconds
        for line in self._list_running():
            self._hold_up(line)

    def _hold_up(self, line: MemoryLine) -> None:
        line.is_hung = True
        self._installation.hung.add(line.call_id)

    def _list_running(self) -> list[MemoryLine]:
        return [line for line in self._lines if not line.is_closed]

    def interrupt(self) -> None:
        """Note that what runs here belongs to a process that is gone."""
        for line in self._list_running():
            if not line.is_interrupted:
                line.is_interrupted = True
                self._installation.interrupted[line.call_id] += 1

    def reset_lines(self, dialer: MemoryDialer) -> None:
        """Reset the connections of one instance; what ran there ends."""
        for line in self._list_running():
            if line.receiver.is_of(dialer):
                self._installation.note_spoiled(line.call_id)
                line.fail(ConnectionLost("reset"))

    def crash(self) -> None:
        """End with all that runs here, and come back after a while."""
        if self._installation.runners.get(self.id) is not self:
            return
        del self._installation.runners[self.id]
        self._installation.ended.append(self.id)
        self._installation.crash_times.append(self._timeline.now())
        ending = self._installation.choose_ending()
        self._installation.leave_listener(self.address, ending.listener)
        if ending.removes_entry:
            self._installation.store.delete("servers", self.id)
        self.on_end(ending)
        self.interrupt()
        lines, self._lines = self._list_running(), []
        lines += self._drop_unread()
        if self.batch is not None:
            lines += self.batch.take_waiting()
        for line in lines:
            self._installation.note_spoiled(line.call_id)
            if line.framing is None:
                line.fail(ConnectionLost("closed early"))
            else:
                line.break_off()
        self._timeline.call_later(RETURN_DELAY, self._return)

    def _return(self) -> None:
        """Start again: under the same name where that tells of starts."""
        installation = self._installation
        installation.listeners.pop(self.address, None)
        if self.born:
            self.restart()
            installation.runners[self.id] = self
            installation.store.put("servers", self.id, self.describe())
            self.on_return()
            return
        installation.replace(self)
        lapse = lambda: installation.store.delete("servers", self.id)
        self._timeline.call_later(LAPSE - RETURN_DELAY, lapse)

    def name_limit(self, text: str | None) -> None:
        """Name a limit from now on, or none."""
        self.named = text
        limit = None if text is None else float(text)
        self._installation.limits.note_naming(self.id, limit, self._timeline.now())

    def leave(self) -> None:
        """Say from now on that this runner leaves; its entry says nothing."""
        self.is_leaving = True

    def turn_cold(self, rate: float, seconds: float) -> None:
        """Be cold from now on; the entry tells it with each heartbeat."""
        now = self._timeline.now()
        self.cold_until = now + seconds
        self._installation.places.note_cold(self.id, rate, now, self.cold_until)
        self._beat()

    def _measure_cold_time(self) -> float:
        return max(0.0, self.cold_until - self._timeline.now())

    def _beat(self) -> None:
        """Write the entry while the runner is cold, and once behind that."""
        if self._installation.runners.get(self.id) is not self:
            return
        self._installation.store.put("servers", self.id, self.describe())
        if self._timeline.now() < self.cold_until:
            self._timeline.call_later(HEARTBEAT, self._beat)

    def want_rest(self, text: str | None, part: float = 1.0) -> None:
        """Turn a part of the calls away from now on, or none."""
        self.rest = text
        self.turned_away = part

    def _is_turned_away(self) -> bool:
        """Tell whether the next call is turned away, evenly over all calls."""
        if self.rest is None:
            return False
        self._turned += self.turned_away
        is_turned = self._turned >= 1.0
        self._turned -= is_turned
        return is_turned

    def _is_failed(self) -> bool:
        """Tell whether the next call fails, evenly over all calls."""
        self._failed += self.failed_part
        is_failed = self._failed >= 1.0
        self._failed -= is_failed
        return is_failed

    @property
    def run(self) -> str:
        """Return what tells the starts of this runner apart."""
        return f"{self.id} {self.born}"

    def _add_said(self, headers: dict[str, str], call_id: str = "") -> dict[str, str]:
        """Return the headers of an answer that is made now."""
        said = {**headers, **self.more}
        if self.named is not None:
            said[LIMIT] = self.named
        if self.batch is not None and self.batch.brittleness is not None:
            said[BRITTLE] = str(self.batch.brittleness)
        if self.is_leaving:
            said[LEAVING] = "1"
            now = self._timeline.now()
            self._installation.statements.note_leaving(self.run, call_id, now)
        return said

    def restart(self) -> None:
        """Start again under the same name, with nothing of before."""
        if self.named is not None:
            self.name_limit(None)
        self.interrupt()
        for line in self._drop_unread():
            line.fail(ConnectionLost("closed early"))
        self._hung_until = 0.0
        self.is_leaving = False
        self.rest = None
        self.born += 1000 if self.born else 1_700_000_000_000
        self.held.clear()
        self.arriving.clear()
        self.sequence = 0
        if self.batch is not None:
            self.batch = self.batch.renew()

    def describe(self, state: str = "ready") -> dict:
        """Return the entry in the platform's list."""
        models = [{"name": name, "version": 1, "adapters": []} for name in self.bases]
        return {
            "backend": self.service,
            "addr": str(self.address),
            "zone": self.zone,
            "version": self.software,
            "slots": self.batch.slots if self.batch else 8,
            "state": state,
            "models": models,
            "coldLeftMs": round(
                1000 * max(0.0, self.cold_until - self._timeline.now())
            ),
            "seq": self.sequence,
            **({"born": self.born} if self.born else {}),
        }

    def handle(self, request: Request, line: MemoryLine) -> None:
        """Answer one request, or read it once the runner goes on."""
        headers = {name.lower(): value for name, value in request.headers.items()}
        self._note_arrival(headers)
        self._read(request, headers, line)

    def _read(self, request: Request, headers: dict, line: MemoryLine) -> None:
        """Answer what has arrived."""
        left = self._stopped_until - self._timeline.now()
        if left > SHORTEST_WAIT:
            self._unread.add(line)
            again = lambda: self._read_late(request, headers, line)
            self._timeline.call_later(left, again)
            return
        expected = headers.get("expect-instance")
        if expected not in (None, self.id):
            self._answer(line, Reply(421, {"instance-id": self.id}))
        elif request.path == "/order":
            self._order(json.loads(request.body), line)
        elif request.path == "/report" and self.is_mute:
            line.written = True
        elif request.path == "/report":
            self._answer(line, Reply(200, {}, json.dumps(self._report()).encode()))
        else:
            self._run(request, headers, line)

    def _read_late(self, request: Request, headers: dict, line: MemoryLine) -> None:
        """Read what arrived meanwhile, unless the runner has ended since."""
        if line in self._unread:
            self._unread.remove(line)
            self._read(request, headers, line)

    def _drop_unread(self) -> list[MemoryLine]:
        """Return the calls that the runner has not read, and never will."""
        unread, self._unread = self._unread, set()
        self._stopped_until = 0.0
        return sorted(unread, key=lambda line: line.number)

    def _note_arrival(self, headers: dict[str, str]) -> None:
        """Note the send of a call, whatever becomes of it."""
        call_id = headers.get("request-id")
        if call_id is None:
            return
        limit = headers.get("deadline-ms")
        seconds = None if limit is None else int(limit) / 1000
        now = self._timeline.now()
        arrival = Arrival(now, self.service, call_id, self.id, seconds)
        self._installation.arrivals.note(arrival)
        if headers.get("expect-instance") in (None, self.id):
            self._installation.limits.note_call(self.id, now)
            self._installation.places.note_call(self.id, self.zone, call_id, now)
            self._installation.statements.note_call(self.run, call_id, now)

    def _report(self) -> dict:
        base = self.bases[0] if self.bases else ""
        held = [f"{name}@{version}" for name, version in self.held.items()]
        models = [
            {"name": name, "version": 1, "adapters": held if name == base else []}
            for name in self.bases
        ]
        coming = [f"{base}/{name}@{v}" for name, v in self.arriving.items()]
        return {
            "stage": "unified",
            "models": models,
            "coming": coming,
            "busy": False,
            "seq": self.sequence,
            "queued": 0,
            "running": 0,
            **({"born": self.born} if self.born else {}),
        }

    def _order(self, order: dict, line: MemoryLine) -> None:
        self.orders.append((self._installation.clock.now(), order))
        if not self.lost_orders:
            self._answer(line, Reply(self._carry_out(order)))
            return
        self.lost_orders -= 1
        if self.lost_orders % 2:
            self._timeline.call_later(LATE_ORDER, lambda: self._carry_out(order))
        else:
            self._carry_out(order)

    def _carry_out(self, order: dict) -> int:
        name = order.get("adapter")
        if name is None:
            self.bases.append(order["model"])
            self.sequence += 1
            return 202
        if order["op"] == "load":
            return self._load(name, order)
        return self._unload(name, order)

    def _load(self, name: str, order: dict) -> int:
        version = order.get("version") or self._installation.versions.get(name, 1)
        if self.held.get(name) == version:
            return 200
        if name in self.arriving:
            return 202
        if order["expected"] != self.sequence:
            return 409
        self.sequence += 1
        if len(self.held) + len(self.arriving) >= self.slots and name not in self.held:
            self.crashed = True
        self.held.pop(name, None)
        self.arriving[name] = version
        if name in self._installation.deadly_adapters:
            self._installation.note_deadly_load(self.id, name)
            self._timeline.call_later(CRASH_DELAY, self.crash)
        self._timeline.call_later(self.load_time, lambda: self._arrive(name))
        return 202

    def _arrive(self, name: str) -> None:
        if name in self.arriving:
            self.held[name] = self.arriving.pop(name)

    def _unload(self, name: str, order: dict) -> int:
        if name not in self.held:
            return 200
        if order["expected"] != self.sequence:
            return 409
        self.sequence += 1
        del self.held[name]
        return 200

    def _run(self, request: Request, headers: dict, line: MemoryLine) -> None:
        call_id = headers["request-id"]
        if self._is_turned_away():
            self._turn_away(call_id, line)
            return
        if not self._holds_model(headers):
            self._refuse(line, Reply(421, {"instance-id": self.id}), call_id)
        elif self.batch is None:
            self._begin_run(request, headers, line)
        elif not self.batch.admit(
            line, lambda: self._begin_waiting(request, headers, line)
        ):
            self._reject(line, call_id)

    def _holds_model(self, headers: dict) -> bool:
        """Return whether the adapter that a call names is held."""
        _, _, adapter = headers.get("model", "").partition("/")
        if not adapter:
            return True
        version = headers.get("expect-version")
        held = self.held.get(adapter)
        return held is not None and version in (None, str(held))

    def _begin_waiting(self, request: Request, headers: dict, line: MemoryLine) -> None:
        """Run a call that waited, unless its adapter is gone by now."""
        if self._holds_model(headers):
            self._begin_run(request, headers, line)
        else:
            self._refuse(line, REFUSAL, headers["request-id"])

    def _reject(self, line: MemoryLine, call_id: str) -> None:
        """Refuse a call for want of room; a brittle runner may fall of it."""
        self._installation.rejected.append(call_id)
        self._refuse(line, REFUSAL, call_id)
        if self.batch.note_rejected(call_id):
            time, rejected = (
                self._installation.brittle_times,
                self.batch.list_rejected(),
            )
            self._installation.fallen.append(Fall(self.id, time, rejected))
            self.crash()

    def _begin_run(self, request: Request, headers: dict, line: MemoryLine) -> None:
        call_id = headers["request-id"]
        fault = self.faults.pop(0) if self.faults else None
        if isinstance(fault, Reply):
            self._refuse(line, fault, call_id)
            return
        self.ran.append({**headers, ":path": request.path, ":body": repr(request.body)})
        self.on_run(headers)
        line.call_id = call_id
        line.progress_at = self._timeline.now()
        line.on_close = lambda: self._note_left(line)
        self._lines = self._list_running()
        self._lines.append(line)
        if self.endless is not None:
            self._pour(call_id, line)
            return
        if self._is_failed():
            send = lambda: self._send_whole(line, FAILURE, call_id)
            self._timeline.call_later(self.run_time, send)
            return
        if self._timeline.now() < self._hung_until:
            self._hold_up(line)
        if fault in ("cut", "lose"):
            self._installation.note_spoiled(call_id)
        if request.body in self._installation.deadly:
            self._installation.note_deadly(self.id, request.body, call_id)
            end = lambda: None if line.is_closed else self.crash()
            self._timeline.call_later(self.queue_time + CRASH_DELAY, end)
            fault = "deadly" if "token-count" in headers else "mute"
        part = self._installation.find_deadly_part(headers.get("prompt-prefix", ""))
        if part:
            self._installation.note_deadly_part(self.id, part, call_id)
            end = lambda: None if line.is_closed else self.crash()
            self._timeline.call_later(self.queue_time + CRASH_DELAY, end)
            if self._installation.ending.before_head:
                fault = "mute"
        self._installation.overlaps.note_run(call_id, lambda: line.is_closed)
        if fault == "mute":
            line.is_hung = True
            return
        if fault == "fail":
            fail = lambda: self._break_failure(call_id, line)
            self._timeline.call_later(self.run_time, fail)
            return
        if fault == "lose":
            self._timeline.call_later(
                self.run_time, lambda: line.fail(ConnectionLost("lost"))
            )
            return
        self._answer_run(headers, line, fault, request.path)

    def _pour(self, call_id: str, line: MemoryLine) -> None:
        """Answer without end, as the far side's transport sees it."""
        if self.endless is Pour.LINES:
            fail = lambda: line.fail(AnswerUnbounded("a head"))
            self._timeline.call_later(DELAY, fail)
            return
        reply = REFUSAL if self.endless is Pour.REFUSAL else FAILURE
        head = {"request-id": call_id, **reply.headers}
        self._timeline.call_later(
            DELAY, lambda: line.receiver.receive_head(reply.status, head)
        )
        self._timeline.call_later(2 * DELAY, lambda: self._pour_body(line))

    def _pour_body(self, line: MemoryLine) -> None:
        """Write a piece of a body, and go on for as long as it is read."""
        if line.is_closed:
            return
        line.receiver.receive_body(POURED)
        self._timeline.call_later(DELAY, lambda: self._pour_body(line))

    def _answer_run(
        self, headers: dict, line: MemoryLine, fault: object, path: str
    ) -> None:
        stamp = f"stamp-{self.id}"
        call_id = headers["request-id"]
        head = {"request-id": call_id, "server-stamp": stamp}
        if "token-count" not in headers:
            size = LARGE_SIZE if path.endswith(LARGE) else self.padding
            body = f"{self.id}:{call_id}".encode().ljust(size, b".")
            head["content-length"] = str(len(body))
            send = lambda: self._send_whole(line, Reply(200, head, body), call_id)
            self._timeline.call_later(self.run_time, send)
            return
        head["content-type"] = "text/event-stream"
        first = int(headers.get("last-event-id", -1)) + 1
        begin = self.queue_time + self.run_time
        gap = SLOW_GAP if path.endswith(SLOW) else EVENT_GAP
        stream = lambda: self._stream(line, head, first, fault, gap)
        self._timeline.call_later(begin, stream)

    def _stream(self, line, head: dict, first: int, fault: object, gap: float) -> None:
        again = lambda: self._stream(line, head, first, fault, gap)
        if line.is_closed or self._is_held_up(line, again):
            return
        is_unframed = self.is_unframed or isinstance(fault, Unframed)
        if is_unframed:
            line.framing = fault if isinstance(fault, Unframed) else Unframed()
        framed = head if is_unframed else {**head, **CHUNKED}
        line.receiver.receive_head(200, self._add_said(framed, head["request-id"]))
        self._send_event(line, first, fault, gap)

    def _is_held_up(self, line: MemoryLine, again: Callable[[], None]) -> bool:
        """Tell whether a stream is held up; ``again`` is called later."""
        if line.is_hung:
            return True
        left = self._paused_until - self._timeline.now()
        is_paused = left > SHORTEST_WAIT
        if is_paused:
            self._timeline.call_later(left, again)
        return is_paused

    def _send_event(
        self, line: MemoryLine, number: int, fault: object, gap: float
    ) -> None:
        again = lambda: self._send_event(line, number, fault, gap)
        if line.is_closed or self._is_held_up(line, again):
            return
        if number >= self.events:
            line.is_closed = True
            self._installation.ends.note_whole(line.call_id)
            line.receiver.receive_end()
            return
        mark = f" {self.software}" if self._installation.marks_events else ""
        event = f"id: {number}\ndata: t{number}{mark}\n\n".encode()
        if line.framing is not None and self._break_off(line, event):
            return
        if fault == "cut" and number == 1:
            self._installation.note_spoiled(line.call_id)
            line.receiver.receive_body(event[:5])
            line.fail(ConnectionLost("reset"))
            return
        if fault == "deadly" or (fault == "stall" and number == 1):
            return
        if isinstance(fault, Pause) and number == 1:
            made = event[: len(event) // 2] if fault.in_event else b""
            if made:
                line.receiver.receive_body(made)
            go_on = lambda: self._send_rest(line, number, event[len(made) :], gap)
            self._timeline.call_later(fault.seconds, go_on)
            return
        self._make_event(line, event)
        send = lambda: self._send_event(line, number + 1, fault, gap)
        self._timeline.call_later(gap, send)

    def _send_rest(
        self, line: MemoryLine, number: int, rest: bytes, gap: float
    ) -> None:
        """Make the rest of an event, and those behind it."""
        if line.is_closed:
            return
        self._make_event(line, rest)
        send = lambda: self._send_event(line, number + 1, None, gap)
        self._timeline.call_later(gap, send)

    def _break_off(self, line: MemoryLine, event: bytes) -> bool:
        """End an answer before or within its next event; tell whether."""
        rest = line.framing.find_rest(line.sent, event)
        if rest is None:
            return False
        self._installation.note_spoiled(line.call_id)
        if rest:
            line.receiver.receive_body(rest)
        line.break_off()
        return True

    def _make_event(self, line: MemoryLine, data: bytes) -> None:
        """Make an event whole."""
        line.sent += len(data)
        line.progress_at = self._timeline.now()
        self._installation.ends.note_event(line.call_id, line, line.progress_at)
        line.receiver.receive_body(data)

    def _break_failure(self, call_id: str, line: MemoryLine) -> None:
        """Fail a call, and break off within the body of that."""
        if line.is_closed:
            return
        self._installation.note_spoiled(call_id)
        head = {"request-id": call_id, "server-stamp": f"stamp-{self.id}"}
        line.receiver.receive_head(500, head)
        line.receiver.receive_body(b"fail")
        line.fail(ConnectionLost("reset"))

    def _note_left(self, line: MemoryLine) -> None:
        """Count a run that its sender ends, and note it if it was sound."""
        self.cancelled += 1
        ends = self._installation.ends
        if line.is_hung or line.is_interrupted:
            ends.note_unsound(line.call_id)
        else:
            ends.note_left(line.call_id, line, line.progress_at)

    def _turn_away(self, call_id: str, line: MemoryLine) -> None:
        """Refuse a call, and ask its sender for rest."""
        seconds, now = float(self.rest), self._timeline.now()
        self._installation.statements.note_rest(self.run, call_id, seconds, now)
        headers = {**REFUSAL.headers, REST: self.rest}
        self._refuse(line, REFUSAL._replace(headers=headers), call_id)

    def _refuse(self, line: MemoryLine, reply: Reply, call_id: str) -> None:
        """Answer a call that is not run, or fails."""
        send = lambda: self._send_whole(line, reply, call_id)
        self._timeline.call_later(self.refusal_time, send)

    def _send_whole(self, line: MemoryLine, reply: Reply, call_id: str) -> None:
        """Answer a call that still waits for its answer."""
        left = self._stopped_until - self._timeline.now()
        if line.is_closed:
            return
        if left > SHORTEST_WAIT:
            again = lambda: self._send_whole(line, reply, call_id)
            self._timeline.call_later(left, again)
            return
        headers = self._add_said(reply.headers, call_id)
        line.send(reply._replace(headers={"request-id": call_id, **headers}))

    def _answer(self, line: MemoryLine, reply: Reply) -> None:
        """Answer what is no call, or is for another run."""
        headers = {**reply.headers, **({LEAVING: "1"} if self.is_leaving else {})}
        send = lambda: line.send(reply._replace(headers=headers))
        self._timeline.call_later(DELAY, send)
