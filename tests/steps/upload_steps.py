"""Steps on requests that are still being read as their instance drains."""

from behave import then, when

from roadlift.http.uploads import Upload, can_complete

NOW = 100.0  # Seconds of the clock.


@when(
    "{received:d} bytes of an upload came in {elapsed:g} s, the last {silence:g} s ago,"
    " and {missing} are missing"
)
def step_upload(context, received, elapsed, silence, missing):
    """Describe an upload."""
    count = int(missing) if missing.isdigit() else None
    context.upload = Upload(NOW - elapsed, NOW - silence, received, count)


@then("it is expected within {seconds:g} seconds")
def step_expected(context, seconds):
    """Check that the upload is waited for."""
    assert can_complete(context.upload, NOW, seconds)


@then("it is not expected within {seconds:g} seconds")
def step_unexpected(context, seconds):
    """Check that the upload is refused."""
    assert not can_complete(context.upload, NOW, seconds)
