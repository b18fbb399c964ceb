"""Leave streams within their events, and take them up at any instance.

Real callers over sockets: each stream is broken off by its caller, by a killed
instance or by its engine, and is resumed behind its last event, with the id of
the call that brought the first. Over all tries its events have to come from
one version of the software of engines, in order.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable

from benchmarks.organisations import Breach
from demo.installation import Answer, Channel
from roadlift.relay.address import Address
from tests.support.callers import PROMISES, Wanted, make_headers
from tests.support.streams import Event, read_events

PATH = "/again/slow"
MAX_TRIES = 4  # Calls of one stream at most.
TRY_LIMIT = 4.0  # Seconds that a caller gives a call.
MAX_WAIT = 1.0  # Seconds that a caller waits until it returns, at most.
WAIT = 0.1  # The same where it is not told for how long.


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
            last = str(events[-1].number) if events else ""
            key = self._pick_key(call_id)
            wanted = Wanted(call_id, adapter, TRY_LIMIT, key, origin, last)
            answer = await self._call(wanted)
            found = read_events(answer.body)
            self._count(bool(events), answer, bool(found))
            if found and not events:
                origin = call_id
            events += found
            if answer.is_whole and answer.status == 200:
                self.counts["streams_whole"] += 1
                break
            wait = float(answer.headers.get("retry-after", 0.0)) or WAIT
            await asyncio.sleep(min(MAX_WAIT, wait))
        self._judge(name, events)

    async def _call(self, wanted: Wanted) -> Answer:
        """Send one call, and leave it behind some events, or at its end."""
        most = self._draw.choice((1, 2, self._events + 1))
        is_enough = lambda body: len(read_events(body)) >= most
        channel = Channel(self._pick_address())
        headers = make_headers(wanted)
        answer = await channel.call("POST", PATH, headers, is_enough=is_enough)
        channel.close()
        return answer

    def _count(self, is_taken_up: bool, answer: Answer, has_events: bool) -> None:
        kind = "taken_up" if is_taken_up else "begun"
        is_on = has_events or (answer.is_whole and answer.status == 200)
        self.counts[f"streams_{kind}_{'on' if is_on else answer.status}"] += 1
        if answer.status in PROMISES and "retry-after" not in answer.headers:
            self.counts["streams_refused_for_good"] += 1

    def _judge(self, name: str, events: list[Event]) -> None:
        versions = sorted({event.software for event in events})
        if len(versions) > 1:
            self.breaches.append(Breach("two_versions", f"{name} {versions}"))
        numbers = [event.number for event in events]
        if numbers != list(range(len(numbers))):
            self.breaches.append(Breach("events_out_of_order", f"{name} {numbers}"))
