"""Steps for single requests inside the limits, and for true refusals."""

import asyncio
import hashlib
import re

from behave import then, when

from demo.installation import read_answer
from tests.support.callers import PROMISES
from tests.support.crowds import TEXT, write_head

LIMIT = 2**20  # Bytes of what the pages call a megabyte of a body.
PATH = "/idem/1"
PIECES = 48
ANSWER_LIMIT = 60.0  # Seconds behind which an answer is not awaited any more.
NAME = "single"
_NOT_RUN = (*PROMISES, 413, 431)


def _write(what: str) -> tuple[bytes, bytes]:
    """Return a whole request, and its body."""
    total = int(re.match(r"(\d+) MB", what)[1]) * LIMIT
    fields = [f"Request-Id: {NAME}"]
    long_head = re.search(r"a head of (\d+) bytes", what)
    if long_head:
        fields.append(f"X-More: {'z' * int(long_head[1])}")
    chunked = re.search(r"in chunks of (\d+) bytes?", what)
    body = TEXT * total
    if not chunked:
        return write_head(PATH, *fields, f"Content-Length: {total}") + body, body
    size = int(chunked[1])
    chunks = (b"%x\r\n%b\r\n" % (size, TEXT * size)) * (total // size)
    trailer = b"X-Sum: 1\r\n" if "a trailer" in what else b""
    head = write_head(PATH, *fields, "Transfer-Encoding: chunked")
    return head + chunks + b"0\r\n" + trailer + b"\r\n", body


async def _send(address, data: bytes, seconds: float):
    """Send a request piece by piece, and read its answer."""
    reader, writer = await asyncio.open_connection(*address)
    size = -(-len(data) // PIECES)
    for start in range(0, len(data), size):
        writer.write(data[start : start + size])
        await writer.drain()
        await asyncio.sleep(seconds / PIECES)
    answer = await asyncio.wait_for(read_answer(reader), ANSWER_LIMIT)
    writer.close()
    return answer


@when("a single client sends {what}")
def step_single(context, what):
    """Send one request, while nothing else is going on."""
    data, context.body = _write(what)
    slow = re.search(r"over (\d+) seconds", what)
    seconds = float(slow[1]) if slow else 0.0
    address = context.machine.addresses["front"]
    sent = _send(address, data, seconds)
    context.answer = context.loop.run_until_complete(sent)


@then("it is served, and the runner has received its body")
def step_served(context):
    """Check the answer, and what the runner has received."""
    assert context.answer.status == 200, context.answer
    digest = hashlib.sha256(context.body).hexdigest()
    runs = [run for run in context.machine.list_runs() if run.call_id == NAME]
    assert [run.digest for run in runs] == [digest], runs


@then("some clients were told that they were not run")
def step_told(context):
    """Keep the names of those that were refused."""
    context.refused = [
        name for name, status in context.crowd.list_statuses() if status in _NOT_RUN
    ]
    assert context.refused


@then("none of those that were told so has run")
def step_none(context):
    """Compare what clients were told with what the runners ran."""
    ran = {run.call_id for run in context.machine.list_runs()}
    assert not ran & set(context.refused), ran & set(context.refused)
