"""Steps on the pages."""

import re

from behave import then

from benchmarks.capacity.page import PAGE, read_slopes, render
from demo.fleet import ROOT
from specification import bundles, claims, ownership

PROMISES = ROOT / "docs" / "topics" / "promises.md"


@then("each scenario quoted in docs/topics/promises.md is in a feature")
def step_scenarios(context):
    """Look for each quoted scenario's title."""
    titles = set()
    for feature in (ROOT / "tests").rglob("*.feature"):
        found = re.findall(r"Scenario(?: Outline)?: (.*)", feature.read_text())
        titles.update(title.strip() for title in found)
    quoted = set(re.findall(r'"([A-Z][^"]+)"', PROMISES.read_text()))
    assert len(quoted) >= 15 and quoted <= titles, quoted - titles


@then("each name in docs/topics/promises.md stands in the specifications")
def step_rules(context):
    """Look for each rule and invariant."""
    rules = {*ownership.RULES, *claims.RULES, *bundles.RULES}
    specified = [ownership.Ownership(True, ownership.Limits()), claims.Claims()]
    specified.append(bundles.Bundles())
    invariants = {n for one in specified for n in one.make_protocol().invariants}
    text = PROMISES.read_text()
    for name in rules - {"pins_last", "fence_orders"}:
        assert f"`{name}`" in text, name
    for name in invariants:
        assert f"`{name}`" in text, name


@then("docs/topics/promises.md has {count:d} rows, each with six cells filled")
def step_promise_rows(context, count):
    """Count the rows."""
    lines = [line for line in PROMISES.read_text().split("\n") if line.startswith("| ")]
    rows = [line.strip("|").split(" | ") for line in lines[1:]]
    assert len(rows) == count, len(rows)
    assert all(len(row) == 6 and all(cell.strip() for cell in row) for row in rows)


@then("docs/CAPACITY.md is what the slopes render")
def step_capacity(context):
    """Render the page anew."""
    text = PAGE.read_text()
    assert render(text) == text, "run python -m benchmarks.capacity.page"


@then("each slope with several sizes has a held size and its error")
def step_held(context):
    """Check the slopes that are committed."""
    _, slopes = read_slopes()
    fitted = [one for one in slopes.values() if len(one.sizes) > 1]
    held = [one for one in fitted if one.held_error is not None]
    assert len(held) >= 20 and len(held) >= len(fitted) - 3, len(held)
    assert all(len(one.sizes) >= 3 for one in held)


@then("every link in {page} leads to a file")
def step_links(context, page):
    """Follow each relative link."""
    path = ROOT / page
    links = re.findall(r"\]\(([^)#]+)\)", path.read_text())
    assert links, page
    for link in links:
        assert (path.parent / link).exists(), link
