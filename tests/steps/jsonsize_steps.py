"""Steps on what a JSON text takes once it is parsed."""

import json
import tracemalloc

from behave import then, when

from roadlift.decisions.jsonsize import estimate_parsed_size


@when("a JSON list holds {count:d} times {text}")
def step_list(context, count, text):
    """Write the text, and measure what parsing it takes."""
    context.json_text = b"[%b]" % b",".join([text.encode()] * count)
    tracemalloc.start()
    parsed = json.loads(context.json_text)
    context.taken, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(parsed) == count


@then(
    "its estimate is at least what Python takes for it, and at most {times:d} times its"
    " bytes"
)
def step_estimate(context, times):
    """Compare the estimate with what was measured."""
    estimate = estimate_parsed_size(context.json_text)
    assert context.taken <= estimate <= times * len(context.json_text), (
        context.taken,
        estimate,
    )
