"""Leave streams within their events, and take them up at any instance.

Real callers over sockets: each stream is broken off by its caller, by a killed
instance or by its engine, and is resumed behind its last event, with the id of
the call that brought the first. Over all tries its events have to come from
one version of the software of engines, in order.
"""

import asyncio
import random
import re
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from benchmarks.organisations import Breach
from roadlift.relay.upstream import Address
from tests.support.callers import PROMISES, Wanted, make_headers

PATH = "/again/slow"
MAX_TRIES = 4  # Calls of one stream at most.
TRY_LIMIT = 4.0  # Seconds that a caller gives a call.
MAX_WAIT = 1.0  # Seconds that a caller waits until it returns, at most.
WAIT = 0.1  # The same where it is not told for how long.
_EVENT = re.compile(rb"id: (\d+)\ndata: t\d+ ?([^\n]*)\n\n")


class Event(NamedTuple):
    """An event, and the version of the software that made it."""

    number: int
    software: str


class Part(NamedTuple):
    """What one call of a stream brought; ``retry_after`` is in seconds."""

    status: int
    events: list[Event]
    is_whole: bool
    retry_after: float


class TakeUps:
    """The streams of some callers, and what was wrong with them."""

    def __init__(
        self,
        draw: random.Random,
        pick_address: Callable[[], Address],
        pick_key: Callable[[str], str],
        events: int,
    ) -> None:
        self._draw = draw
        self._pick_address = pick_address
        self._pick_key = pick_key
        self._events = events
        self._serial = 0
        self.counts: Counter[str] = Counter()
        self.breaches: list[Breach] = []

    async def run(self, is_over: Callable[[], bool]) -> None:
        """Play one stream after the other."""
        while not is_over():
            self._serial += 1
            await self._play(f"u{self._serial}")
            await asyncio.sleep(self._draw.uniform(0.0, 0.2))

    async def _play(self, name: str) -> None:
        """Play one stream, and judge its events."""
        adapter = f"base/x{self._draw.randrange(8)}"
        events: list[Event] = []
        origin = ""
        for number in range(MAX_TRIES):
            call_id = f"{name}-{number}"
            leave_after = self._draw.choice((1, 2, self._events + 1))
            headers = make_headers(
                Wanted(call_id, adapter, TRY_LIMIT, self._pick_key(call_id))
            )
            if events:
                headers["Resumes"] = origin
                headers["Last-Event-Id"] = str(events[-1].number)
            part = await read_part(self._pick_address(), headers, leave_after)
            self._count(bool(events), part)
            if part.events and not events:
                origin = call_id
            events += part.events
            if part.is_whole and part.status == 200:
                self.counts["streams_whole"] += 1
                break
            await asyncio.sleep(min(MAX_WAIT, part.retry_after or WAIT))
        self._judge(name, events)

    def _count(self, is_taken_up: bool, part: Part) -> None:
        kind = "taken_up" if is_taken_up else "begun"
        outcome = "on" if part.events else str(part.status)
        if part.is_whole and part.status == 200:
            outcome = "on"
        self.counts[f"streams_{kind}_{outcome}"] += 1
        if part.status in PROMISES and not part.retry_after:
            self.counts["streams_refused_for_good"] += 1

    def _judge(self, name: str, events: list[Event]) -> None:
        versions = sorted({event.software for event in events})
        if len(versions) > 1:
            self.breaches.append(Breach("two_versions", f"{name} {versions}"))
        numbers = [event.number for event in events]
        if numbers != list(range(len(numbers))):
            self.breaches.append(Breach("events_out_of_order", f"{name} {numbers}"))


async def read_part(
    address: Address, headers: dict[str, str], leave_after: int
) -> Part:
    """Send one call, and leave it behind some events, or at its end."""
    writer = None
    data = b""
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(address.host, address.port), 1.0
        )
        lines = [f"{name}: {text}" for name, text in headers.items()]
        head = "\r\n".join([f"POST {PATH} HTTP/1.1", "Host: h.example", *lines])
        writer.write(f"{head}\r\nContent-Length: 0\r\n\r\n".encode())
        async with asyncio.timeout(TRY_LIMIT):
            while len(_EVENT.findall(_join_chunks(data))) < leave_after:
                piece = await reader.read(4096)
                data += piece
                if not piece or _is_whole(data):
                    break
    except (OSError, TimeoutError):
        # The instance is killed or stands still: what came is what there is.
        return _make_part(data)
    finally:
        if writer is not None:
            writer.close()
    return _make_part(data)


def _is_whole(data: bytes) -> bool:
    head, _, body = data.partition(b"\r\n\r\n")
    length = re.search(rb"(?i)content-length: (\d+)", head)
    if length is not None:
        return len(body) >= int(length.group(1))
    return body.endswith(b"0\r\n\r\n")


def _join_chunks(data: bytes) -> bytes:
    """Return the body of an answer as far as its chunks have come."""
    _, _, body = data.partition(b"\r\n\r\n")
    found = b""
    while True:
        size, mark, rest = body.partition(b"\r\n")
        if not mark or not size or int(size, 16) == 0:
            return found
        length = int(size, 16)
        found += rest[:length]
        body = rest[length + 2 :]


def _make_part(data: bytes) -> Part:
    head = data.partition(b"\r\n\r\n")[0]
    status = re.match(rb"HTTP/1.1 (\d+)", head)
    if status is None:
        return Part(0, [], False, 0.0)
    wait = re.search(rb"(?i)retry-after: ([0-9.]+)", head)
    is_stream = b"chunked" in head.lower()
    found = _EVENT.findall(_join_chunks(data)) if is_stream else []
    events = [Event(int(number), text.decode()) for number, text in found]
    seconds = float(wait.group(1)) if wait else 0.0
    return Part(int(status.group(1)), events, _is_whole(data), seconds)
