"""Steps on what is remembered, and known together, of streams' origins."""

from behave import then, when

from roadlift.decisions.declarations import (
    Declaration,
    Declarations,
    StoreMoment,
    find_only_version,
    list_admitted,
)
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


# What is declared.


def _read_versions(text: str) -> frozenset[str]:
    return frozenset() if text == "nothing" else frozenset(text.split())


@when(
    "{declared} is declared since {since:g} in era {era:d}, and {listed} is listed at"
    " {now:g} in era {current:d}"
)
def step_declared(context, declared, since, era, listed, now, current):
    """Keep what the row, the list and the store say."""
    versions = _read_versions(declared)
    context.declared = Declaration(versions, since, era) if versions else None
    context.listed = _read_versions(listed)
    context.moment = StoreMoment(now, current)


@then("{known} began all streams of the last {ttl:g} seconds")
def step_only_version(context, known, ttl):
    """Judge by the row and the list."""
    found = find_only_version(context.declared, context.listed, context.moment, ttl)
    assert (found or "unknown") == known, found


@when("{declared} is declared and {ready} is ready")
def step_ready(context, declared, ready):
    """Find where streams may begin."""
    known = None if declared == "nothing" else _read_versions(declared)
    context.admitted = list_admitted(known, _read_versions(ready))


@then("streams may begin on {admitted}")
def step_admitted(context, admitted):
    """Compare the versions."""
    expected = None if admitted == "all" else _read_versions(admitted)
    assert context.admitted == expected, context.admitted


@when(
    "v1 is declared and was listed {ago:g} s ago beside v2, and streams live for"
    " {ttl:g} s"
)
def step_revise(context, ago, ttl):
    """Revise what is declared as v1 has left the list."""
    declarations = Declarations()
    both = Declaration(frozenset({"v1", "v2"}), 0.0, 1)
    declarations.revise(_SERVICE, both, both.versions, 0.0, ttl)
    context.versions = declarations.revise(_SERVICE, both, {"v2"}, ago, ttl)


@then("v1 is {state}")
def step_still_declared(context, state):
    """Look for it."""
    assert ("v1" in context.versions) == (state == "declared"), context.versions
