"""Steps on the place where a cut stream is continued."""

from behave import then, when

from roadlift.endpoints.events import MAX_EVENT_BYTES, EventFrames

_READS = {
    "nothing": b"",
    "id 1 data": b"id: 1\ndata: a\n\n",
    "id 2 data": b"id: 2\ndata: b\n\n",
    "id 1 data id 2 data": b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
    "data": b"data: c\n\n",
    "comment": b": ping\n\n",
    "part": b"id: 2\nda",
}

# The ends of odd and of even lines.
_LINE_ENDS = {
    "LF": (b"\n", b"\n"),
    "CRLF": (b"\r\n", b"\r\n"),
    "CR": (b"\r", b"\r"),
    "CRLF and LF": (b"\r\n", b"\n"),
    "LF and CR": (b"\n", b"\r"),
}
_EVENT = (b"id: %d", b"data: a", b": two words", b"")
_END_MARK = (b"data: [DONE]", b"")


def _make_lines(ends, lines):
    return b"".join(line + ends[index % 2] for index, line in enumerate(lines))


@when('a stream is read as "{reads}"')
def step_read(context, reads):
    """Read the parts of a stream one after the other."""
    context.frames = EventFrames()
    for read in reads.split(", "):
        context.frames.extract_complete(_READS[read])


def _read_parts(context, events, how):
    """Read the events, and keep what each read returned."""
    context.frames = EventFrames()
    context.events = events
    stream = b"".join(events)
    size = {"at once": len(stream), "byte by byte": 1, "in halves": len(stream) // 2}
    context.returned = []
    for start in range(0, len(stream), size[how]):
        read = stream[start : start + size[how]]
        context.returned.append((read, context.frames.extract_complete(read)))


@when("a stream with lines ended by {ends} is read {how}")
def step_read_lines(context, ends, how):
    """Read two events."""
    events = [_make_lines(_LINE_ENDS[ends], _EVENT) % one for one in (1, 2)]
    _read_parts(context, events, how)


@when("a stream with an end mark and lines ended by {ends} is read {how}")
def step_read_end(context, ends, how):
    """Read an event, and the end mark."""
    event = _make_lines(_LINE_ENDS[ends], _EVENT) % 1
    _read_parts(context, [event, _make_lines(_LINE_ENDS[ends], _END_MARK)], how)


@then("each of its events was returned by the read of its last byte, or the next")
def step_returned(context):
    """Compare what was returned with what had been read."""
    read = returned = 0
    behind = [sum(map(len, context.events[:count])) for count in (1, 2)]
    for data, part in context.returned:
        due = max((end for end in behind if end <= read), default=0)
        read += len(data)
        returned += len(part)
        assert returned >= due, (read, returned)
    assert returned >= behind[-1] - 1, (returned, behind)


@then("its bytes are returned unchanged")
def step_unchanged(context):
    """Compare the returned bytes with those that were read."""
    returned = b"".join(part for _, part in context.returned)
    assert b"".join(context.events).startswith(returned), returned


@then("it has ended")
def step_ended(context):
    """Check that the end mark was found."""
    assert context.frames.is_ended


@then("it can be continued from the start")
def step_start(context):
    """Check that nothing was read."""
    assert context.frames.can_continue
    assert context.frames.find_last_id() == ""


@then("it can be continued behind {event}")
def step_behind(context, event):
    """Check the id of the last event."""
    assert context.frames.can_continue
    assert context.frames.find_last_id() == event


@then("it can't be continued")
def step_not(context):
    """Check that nothing is known of the place."""
    assert not context.frames.can_continue


def _unescape(text):
    return text.encode("latin-1").decode("unicode_escape").encode("latin-1")


@when('a stream ends as "{stream}"')
def step_stream(context, stream):
    """Read it at once."""
    context.frames = EventFrames()
    context.frames.extract_complete(_unescape(stream))


@when('an event that is too long to be held is read, and then "{reads}"')
def step_long(context, reads):
    """Read most of it, and then the rest in one read or several."""
    context.frames = EventFrames()
    context.frames.extract_complete(b"id: 1\ndata: " + b"x" * MAX_EVENT_BYTES)
    for read in reads.split("/"):
        context.frames.extract_complete(_unescape(read))


@then("it leaves a part of an event")
def step_has_partial(context):
    """Check that an event has begun."""
    assert context.frames.count_partial()


@then("it leaves no event")
def step_no_partial(context):
    """Check that no event has begun."""
    assert not context.frames.count_partial(), context.frames.count_partial()


@when('a stream ends as ""')
def step_empty_stream(context):
    """Read nothing."""
    context.frames = EventFrames()


@then("it leaves {size:d} bytes of an event")
def step_partial(context, size):
    """Check what is left of an incomplete event."""
    assert context.frames.count_partial() == size, context.frames.count_partial()
