"""A runner that is often full repeats some of its answers late."""

import asyncio
import contextlib
import random
from collections import Counter

from review.kit.case import Record, has_trouble, run_case
from review.kit.deployment import (
    ZONES,
    Deployment,
    make_configuration,
    make_route,
)
from review.kit.platform import NAMES
from review.kit.runner import Runner
from review.kit.wire import Message, read_message, write_message

INSTANCES = 7
CLIENTS = 1  # Clients of each instance, with one kept channel each.
REQUESTS = 560  # Requests of each client.
MEAN_PAUSE_S = 0.12  # Between two requests of a client.
WORK_S = (0.015, 0.035)
SLOTS = 1
DEADLINE_MS = 1_000
# The site's garble "extra late" has share = 0.6, x = 0.03 and for_s = 5.0. It
# comes again and again.
EXTRA_SHARE = 0.03
EXTRA_S = 5.0
EXTRA_PAUSE_S = 1.0


class Client:
    """Sends requests one after the other on a kept channel."""

    def __init__(self, name: str, front: tuple[str, int], record: Record) -> None:
        self._name = name
        self._front = front
        self._record = record
        self.statuses: dict[str, int] = {}

    async def play(self) -> None:
        """Send all requests; a channel that has ended is opened again."""
        channel = None
        for number in range(REQUESTS):
            await asyncio.sleep(random.expovariate(1.0 / MEAN_PAUSE_S))
            request_id = f"{self._name}-{number}"
            try:
                channel = channel or await asyncio.open_connection(*self._front)
                answer = await self._call(channel, request_id)
            except (OSError, EOFError, TimeoutError):
                answer = None
            self.statuses[request_id] = answer.status if answer else 0
            self._record.add(f"sent {request_id}, answered {self.statuses[request_id]}")
            if answer is None or answer.headers.get("connection") == "close":
                if channel is not None:
                    channel[1].close()
                channel = None

    async def _call(self, channel: tuple, request_id: str) -> Message:
        reader, writer = channel
        head = {
            "Host": "h.example",
            "Request-Id": request_id,
            NAMES["deadline"]: str(DEADLINE_MS),
        }
        writer.write(write_message("POST /labels/print HTTP/1.1", head, b"one reel"))
        return await asyncio.wait_for(read_message(reader), 2 * DEADLINE_MS / 1000.0)


def judge(statuses: dict[str, int], runs: Counter[str]) -> list[str]:
    """Return the breaches of TWICE and REFUSED."""
    breaches = []
    for request_id, times in runs.items():
        if times > 1:
            breaches.append(f"{request_id} ran {times} times (TWICE)")
        elif statuses.get(request_id) in (408, 421, 429, 503):
            status = statuses[request_id]
            breaches.append(f"{request_id} was answered {status} and ran (REFUSED)")
    return breaches


async def garble_again(runner: Runner) -> None:
    """Let the runner repeat some of its answers for some seconds at a time."""
    while has_trouble():
        runner.extra_share = EXTRA_SHARE
        await asyncio.sleep(EXTRA_S)
        runner.extra_share = 0.0
        await asyncio.sleep(EXTRA_PAUSE_S)


async def play(record: Record) -> list[str]:
    """Play the case; return the breaches of the rule."""
    deployment = Deployment(INSTANCES)
    runner = Runner(deployment.store, "i-labels", "labels", ZONES[0])
    runner.slots = SLOTS

    async def work(request: Message) -> None:
        await asyncio.sleep(random.uniform(*WORK_S))

    runner.pause = work
    route = make_route("/labels/", "once", "labels", DEADLINE_MS)
    try:
        await runner.start(deployment.find_runner_host(0))
        await deployment.start(make_configuration([route], ["labels"]))
        clients = [
            Client(f"label{number}{caller}", instance.front, record)
            for number, instance in enumerate(deployment.instances)
            for caller in range(CLIENTS)
        ]
        garble = asyncio.create_task(garble_again(runner))
        await asyncio.gather(*(client.play() for client in clients))
        garble.cancel()
    finally:
        deployment.close()
        runner.close()
    statuses = {}
    for client in clients:
        statuses.update(client.statuses)
    for run in runner.runs:
        record.add(f"ran {run.request_id}")
    for request_id in runner.extras:
        record.add(f"repeated an answer of {request_id}")
    counts = Counter(statuses.values())
    record.add(
        f"{len(statuses)} sent, {len(runner.runs)} runs,"
        f" {len(runner.rejected)} rejected by the runner,"
        f" {len(runner.extras)} of {runner.answers} answers repeated;"
        f" statuses {dict(counts)}"
    )
    if not runner.runs:
        raise RuntimeError("no request was run")
    return judge(statuses, Counter(run.request_id for run in runner.runs))


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        run_case(__file__, play)
