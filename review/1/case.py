"""Clients upload at a steady pace while their instance shuts down."""

import asyncio
import random
import signal
import time
from typing import NamedTuple

from review.kit.case import Record, has_trouble, run_case
from review.kit.deployment import (
    ZONES,
    Deployment,
    Instance,
    make_configuration,
    make_route,
)
from review.kit.platform import NAMES
from review.kit.runner import Runner
from review.kit.wire import Message, read_message, write_message

INSTANCES = 6
CLIENTS = 20  # Clients of each instance, with one kept channel each.
BODY_BYTES = 20_000
PIECES = 20  # Pieces in which a request is sent.
UPLOAD_S = (0.7, 1.3)
WORK_S = (0.045, 0.135)
MAX_PAUSE_S = 0.05  # Between an answer and the next request.
DEADLINE_MS = 5_000
PLAY_S = 16.0
TERM_AFTER_S = 3.0
TERM_GAP_S = 1.0  # The gap_s of the site's roll_term "busy".
GRACE_S = 8.0  # The site's graceS.
EARLY_S = 3.0  # Requests sent so soon after a SIGTERM have an excuse more.


class Attempt(NamedTuple):
    """A request, the times of its first and last byte, and of its end.

    ``status`` is 0 if its channel ended without an answer.
    """

    request_id: str
    instance: str
    began_at: float
    sent_at: float
    ended_at: float
    status: int


class Client:
    """Sends requests on a kept channel until it is told to close it."""

    def __init__(self, name: str, instance: Instance) -> None:
        self._name = name
        self._instance = instance
        self.attempts: list[Attempt] = []

    async def play(self, until: float) -> None:
        """Send requests, one after the other."""
        reader, writer = await asyncio.open_connection(*self._instance.front)
        is_open = True
        while is_open and time.monotonic() < until:
            request_id = f"{self._name}-{len(self.attempts)}"
            is_open = await self._call(reader, writer, request_id)
            await asyncio.sleep(random.uniform(0.0, MAX_PAUSE_S))
        writer.close()

    async def _call(self, reader, writer, request_id: str) -> bool:
        """Send one request; return whether the channel may be used again."""
        began_at = sent_at = time.monotonic()
        answer = None
        try:
            await upload(writer, request_id)
            sent_at = time.monotonic()
            wait = began_at + DEADLINE_MS / 1000.0 - sent_at
            answer = await asyncio.wait_for(read_message(reader), wait)
        except (OSError, EOFError, TimeoutError):
            pass
        status = 0 if answer is None else answer.status
        now = time.monotonic()
        self.attempts.append(
            Attempt(request_id, self._instance.name, began_at, sent_at, now, status)
        )
        return answer is not None and answer.headers.get("connection") != "close"


async def upload(writer: asyncio.StreamWriter, request_id: str) -> None:
    """Send a request in pieces, at an even pace."""
    head = {
        "Host": "h.example",
        "Request-Id": request_id,
        NAMES["deadline"]: str(DEADLINE_MS),
    }
    data = write_message("POST /reels/label HTTP/1.1", head, bytes(BODY_BYTES))
    pause = random.uniform(*UPLOAD_S) / PIECES
    size = -(-len(data) // PIECES)
    for start in range(0, len(data), size):
        await asyncio.sleep(pause)
        writer.write(data[start : start + size])
        await writer.drain()


def judge(
    attempt: Attempt, work_ended_at: float | None, term_at: float | None
) -> str | None:
    """Return how the end of a request breaks the rule, or None.

    ``work_ended_at`` is when a runner that ran it had ended. Excused is a
    request whose time budget was reached, or that was sent early and whose
    runner was at work in the last sixth of ``graceS``.
    """
    if attempt.status or work_ended_at is None or term_at is None:
        return None
    is_over = attempt.ended_at - attempt.began_at >= DEADLINE_MS / 1000.0
    is_early = attempt.sent_at - term_at <= EARLY_S
    is_late_work = work_ended_at - term_at >= GRACE_S * 5 / 6
    if is_over or (is_early and is_late_work):
        return None
    return (
        f"{attempt.request_id} was run; its channel ended without an answer"
        f" {attempt.ended_at - term_at:.2f} s after the SIGTERM to"
        f" {attempt.instance} and {attempt.ended_at - attempt.sent_at:.3f} s after"
        " its last byte"
    )


async def term_in_turn(
    deployment: Deployment, record: Record, terms: dict[str, float]
) -> None:
    """Send one instance after the other a SIGTERM; start it again."""
    await asyncio.sleep(TERM_AFTER_S)
    if not has_trouble():
        return
    ends = []
    for instance in deployment.instances:
        terms[instance.name] = time.monotonic()
        instance.signal(signal.SIGTERM)
        record.add(f"SIGTERM to {instance.name}")
        ends.append(asyncio.create_task(wait_for_end(instance, record)))
        await asyncio.sleep(TERM_GAP_S)
    await asyncio.gather(*ends)


async def wait_for_end(instance: Instance, record: Record) -> None:
    """Wait until a process has ended by itself, and start it again."""
    began_at = time.monotonic()
    while instance.process.poll() is None:
        await asyncio.sleep(MAX_PAUSE_S)
    seconds = time.monotonic() - began_at
    record.add(f"{instance.name} ended by itself {seconds:.2f} s after its SIGTERM")
    instance.restart()


def find_work_ends(runners: list[Runner]) -> dict[str, float]:
    """Return when the work on each request that was run had ended.

    A runner whose channel was closed while it worked counts until its answer
    was due.
    """
    ended_at = {}
    for runner in runners:
        for run in runner.runs:
            ended_at[run.request_id] = run.began_at + WORK_S[1]
        ended_at.update(runner.ended_at)
    return ended_at


async def play(record: Record) -> list[str]:
    """Play the case; return the breaches of the rule."""
    deployment = Deployment(INSTANCES)
    terms: dict[str, float] = {}
    runners = [
        Runner(deployment.store, f"i-reels-{number}", "reels", zone)
        for number, zone in enumerate(ZONES)
    ]

    async def work(request: Message) -> None:
        await asyncio.sleep(random.uniform(*WORK_S))

    route = make_route("/reels/", "once", "reels", DEADLINE_MS)
    try:
        for number, runner in enumerate(runners):
            runner.pause = work
            await runner.start(deployment.find_runner_host(number))
        await deployment.start(make_configuration([route], ["reels"]))
        clients = [
            Client(f"label{number}-{caller}", instance)
            for number, instance in enumerate(deployment.instances)
            for caller in range(CLIENTS)
        ]
        until = time.monotonic() + PLAY_S
        term = asyncio.create_task(term_in_turn(deployment, record, terms))
        await asyncio.gather(*(client.play(until) for client in clients))
        await term
    finally:
        deployment.close()
        for runner in runners:
            runner.close()
    attempts = [one for client in clients for one in client.attempts]
    ends = find_work_ends(runners)
    for one in attempts:
        ran = "ran" if one.request_id in ends else "not run"
        record.add(f"sent {one.request_id}, answered {one.status}, {ran}")
    if not ends:
        raise RuntimeError("no request was run")
    unread = sum(not one.status and one.request_id not in ends for one in attempts)
    record.add(f"{len(attempts)} sent, {len(ends)} run, {unread} cut before they ran")
    found = [
        judge(one, ends.get(one.request_id), terms.get(one.instance))
        for one in attempts
    ]
    return [breach for breach in found if breach is not None]


if __name__ == "__main__":
    run_case(__file__, play)
