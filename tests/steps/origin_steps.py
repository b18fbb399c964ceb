"""Steps on what is remembered, and known together, of streams' origins."""

from behave import then, when

from roadlift.decisions.origins import (
    Basis,
    Finding,
    ListedVersion,
    Origin,
    OriginTable,
    SoftwareHistory,
    combine,
    compute_digest,
)

_SERVICE = "llm"
_NOW = 30.0  # Seconds at which a history is judged.


def _read_finding(text: str) -> Finding:
    basis, _, software = text.partition(" ")
    origin = Origin(_SERVICE, software) if software else None
    return Finding(Basis(basis), origin)


def _describe(finding: Finding) -> str:
    software = f" {finding.origin.software}" if finding.origin else ""
    return f"{finding.basis.value}{software}"


@when("instances know {findings} of a stream")
def step_combine(context, findings):
    """Combine what they know."""
    context.finding = combine(map(_read_finding, findings.split(", ")))


@then("together they know {result}")
def step_combined(context, result):
    """Compare what they know."""
    assert _describe(context.finding) == result, context.finding


@when("a stream is recorded each {gap:g} s for {seconds:g} s, which live for {ttl:g}")
def step_record(context, gap, seconds, ttl):
    """Record streams, and forget the oldest once a second."""
    context.origins, context.gap = OriginTable(), gap
    context.count = round(seconds / gap)
    context.now = seconds
    expired_at = 0.0
    for number in range(context.count):
        now = number * gap
        if now - expired_at >= 1.0:
            context.origins.expire(now, ttl)
            expired_at = now
        context.origins.put(compute_digest(str(number)), Origin(_SERVICE, "v1"))


@then("that of {age:g} seconds ago is {state}")
def step_remembered(context, age, state):
    """Look a stream up."""
    number = context.count - 1 - round(age / context.gap)
    digest = compute_digest(str(number))
    found = context.origins.find(digest, Basis.LOCAL, context.now)
    assert (found is not None) == (state == "remembered"), found


@then("at most {most:d} are remembered")
def step_bound(context, most):
    """Count them."""
    assert len(context.origins) <= most, len(context.origins)


@when("the list has {seen}, and streams live for {ttl:g}")
def step_list(context, seen, ttl):
    """Record the list as it changes."""
    history = SoftwareHistory()
    for text in [] if seen == "nothing" else seen.split(", "):
        versions, _, at = text.rpartition(" at ")
        if versions == "a gap":
            history.record_gap()
            continue
        names = [None] if versions == "an unknown one" else versions.split()
        listed = {ListedVersion(_SERVICE, name) for name in names}
        history.record_list(listed, float(at))
    context.finding = history.judge(_SERVICE, _NOW, ttl)


@then("the version of the service is {result}")
def step_history(context, result):
    """Compare the judgement."""
    assert _describe(context.finding) == result, context.finding
