"""Steps on the place where a cut stream is continued."""

from behave import then, when

from roadlift.endpoints.events import EventFrames

_READS = {
    "nothing": b"",
    "id 1 data": b"id: 1\ndata: a\n\n",
    "id 2 data": b"id: 2\ndata: b\n\n",
    "id 1 data id 2 data": b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
    "data": b"data: c\n\n",
    "comment": b": ping\n\n",
    "part": b"id: 2\nda",
}


@when('a stream is read as "{reads}"')
def step_read(context, reads):
    """Read the parts of a stream one after the other."""
    context.frames = EventFrames()
    for read in reads.split(", "):
        context.frames.extract_complete(_READS[read])


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
