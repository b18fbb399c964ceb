"""Steps on the retries of all instances that share a rule."""

from bisect import bisect_left

from behave import given, then, when

from roadlift.retries.window import WindowBudget

_WINDOW = 10.0  # Seconds.
_DURATION = 40.0  # Seconds.
_STEP = 0.01  # Seconds between two wishes to retry.
_FIRST_MOMENT = 12.0  # Seconds, once a window has been full of calls.
# By which factor the calls change at that moment.
_CHANGES = {"go on": 1.0, "end": 0.0, "double": 2.0}
_MOMENTS = 20  # Moments within a second from which on instances retry.


@given(
    "{instances:d} instances that share {slack:d} retries, and {ratio:g} for each"
    " request, in 10 s"
)
def step_rule(context, instances, slack, ratio):
    """Set the rule."""
    context.instances, context.slack, context.ratio = instances, slack, ratio


def _retry_from(
    context, rate: float, factor: float, moment: float
) -> tuple[list, list]:
    """Return when an instance gets calls, and when it sends them again.

    All instances are alike: their calls come at the same times, so that
    nothing evens out.
    """
    budget = WindowBudget(context.ratio, context.slack, _WINDOW)
    requests: list[float] = []
    retries: list[float] = []
    for number in range(round(_DURATION / _STEP)):
        now = number * _STEP
        due = min(now, moment) * rate + max(0.0, now - moment) * rate * factor
        while len(requests) < due:
            budget.count_request(now)
            requests.append(now)
        if now >= moment and budget.spend(now, context.instances):
            retries.append(now)
    return requests, retries


@when(
    "each gets {rate:g} calls a second that {change} at a moment, and from then on"
    " wants to retry"
)
def step_all_retry(context, rate, change):
    """Play each moment."""
    context.played = [
        _retry_from(context, rate, _CHANGES[change], _FIRST_MOMENT + number / _MOMENTS)
        for number in range(_MOMENTS)
    ]


def _count(times: list[float], begin: float) -> int:
    """Count what lies in the window that begins at a time."""
    return bisect_left(times, begin + _WINDOW) - bisect_left(times, begin)


def _find_excess(context, requests: list, retries: list) -> float:
    """Return by how much all retries of a window exceed the rule at most."""
    worst = float("-inf")
    for begin in retries:
        counted = max(
            _count(requests, begin - earlier) for earlier in (0.0, _WINDOW / 2, _WINDOW)
        )
        allowed = context.ratio * counted * context.instances + context.slack
        worst = max(worst, _count(retries, begin) * context.instances - allowed)
    return worst


@then(
    "in no window of 10 s are there more retries than the rule allows, whatever that"
    " moment"
)
def step_in_rule(context):
    """Check the sum over all instances in each window."""
    worst = max(_find_excess(context, *played) for played in context.played)
    assert worst <= 0, f"{worst:g} more than allowed"


@then("each instance gets a retry in each window")
def step_not_starved(context):
    """Check that the rule is not kept by refusing everything."""
    gaps = [
        later - earlier
        for _, retries in context.played
        for earlier, later in zip(retries, retries[1:], strict=False)
    ]
    assert max(gaps) <= _WINDOW * 1.1, max(gaps)
