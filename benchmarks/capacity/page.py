"""Render the tables of docs/CAPACITY.md from the measured slopes.

The page has marks ``<!-- table NAME -->`` ... ``<!-- end -->``; what stands
between them is written here, and a test compares it with the slopes.
"""

import json
import math
import re
from pathlib import Path

from benchmarks.capacity.fit import Slope, read_slope
from benchmarks.capacity.run import FILE
from benchmarks.capacity.target import (
    MOST_BYTES,
    MOST_MEMORY,
    MOST_PROCESSOR,
    MOST_READS,
    MOST_WRITES,
    ROWS,
    TARGET,
    TODAY,
)

PAGE = Path(__file__).parents[2] / "docs" / "CAPACITY.md"
KINDS = {
    "memory": ("MB a node", 1e6, MOST_MEMORY),
    "processor": ("ms a second and node", 1e-3, MOST_PROCESSOR),
    "bytes": ("bytes a second and node", 1.0, MOST_BYTES),
    "reads": ("reads a second of all", 1.0, MOST_READS),
    "writes": ("writes a second of all", 1.0, MOST_WRITES),
}


def read_slopes() -> tuple[dict[str, object], dict[str, Slope]]:
    """Return the machine and the slopes by name."""
    content = json.loads(FILE.read_text())
    slopes = [read_slope(one) for one in content["slopes"]]
    return content["machine"], {slope.name: slope for slope in slopes}


def render_slopes(slopes: dict[str, Slope]) -> str:
    """Return the table of the slopes."""
    lines = ["| slope | unit | a step | per | at zero | sizes | error at held size |"]
    lines.append("|---|---|---|---|---|---|---|")
    for one in slopes.values():
        sizes = ", ".join(f"{size:g}" for size in one.sizes)
        error = "-"
        if one.held_error is not None:
            error = f"{100 * one.held_error:+.0f}% at {one.held_size:g}"
        lines.append(
            f"| `{one.name}` | {one.unit} | {one.slope:.4g} | {one.per} "
            f"| {one.intercept:.4g} | {sizes} | {error} |"
        )
    return "\n".join(lines)


def render_rows(slopes: dict[str, Slope], kind: str) -> str:
    """Return the table of one kind of cost, with its sum and budget."""
    unit, scale, budget = KINDS[kind]
    lines = [
        f"| {unit} | today | target | slope | carried by |",
        "|---|---|---|---|---|",
    ]
    sums = [0.0, 0.0]
    for row in ROWS:
        if row.kind != kind:
            continue
        values = [row.compute(slopes, size) for size in (TODAY, TARGET)]
        sums = [a + b for a, b in zip(sums, values, strict=True)]
        today, target = (f"{value / scale:.4g}" for value in values)
        source = f"`{row.slope}`" if "." in row.slope else row.slope
        lines.append(
            f"| {row.name} | {today} | {target} | {source} | {row.mechanism} |"
        )
    verdict = "met" if sums[1] <= budget else f"over by {sums[1] / budget:.1f} times"
    today, target = (f"{value / scale:.4g}" for value in sums)
    lines.append(
        f"| **sum** | **{today}** | **{target}** | budget {budget / scale:.4g} "
        f"| **{verdict}** |"
    )
    return "\n".join(lines)


def sum_kind(slopes: dict[str, Slope], kind: str) -> float:
    """Return the sum of one kind of cost at the target's size."""
    return sum(row.compute(slopes, TARGET) for row in ROWS if row.kind == kind)


def judge(value: float, budget: float, unit: str) -> str:
    """Say whether a budget is met, and by how much."""
    verdict = "met" if value <= budget else f"over by {value / budget:.1f} times"
    return f"{verdict}: {value:.3g} of {budget:.3g} {unit}"


def render_target(slopes: dict[str, Slope]) -> str:
    """Return a line for each row of the letter's target."""
    chunk, request = slopes["process.chunk_processor"], "process.request_processor"
    cores = chunk.compute(TARGET.chunks) + slopes[request].slope * TARGET.requests
    streams = slopes["process.stream_memory"].compute(TARGET.streams) / 1e6
    force = slopes["time.in_force"].compute(math.log2(TARGET.region_nodes))
    rest = 1e3 * slopes["process.rest_processor"].intercept
    busy = 1e3 * sum_kind(slopes, "processor") + rest
    empty = slopes["process.empty_memory"].values[0] / 1e6
    moved = sum_kind(slopes, "bytes")
    rows = (
        ("1,800 nodes before 10,000 runners", "met by mechanism: no row grows with "
         "all nodes times all endpoints; 1,800 processes are not measurable here"),
        ("96,000 requests/s, 43 M tokens/s", f"met: {cores:.2f} of a core and "
         f"{streams:.0f} MB of streams a node"),
        ("first token within 0.68 s for 95 in 100", "not measurable here: the load "
         "stalls decide; over at today's sizes in the bench, see internals/policy.md"),
        ("49 ms between tokens for 95 in 100", "not measurable here: the engines' "
         "time; the relay's part is 16 us a chunk"),
        ("4 base models, 53,000 adapters", "a ring a base model; "
         + judge(sum_kind(slopes, "memory") / 1e6, MOST_MEMORY / 1e6, "MB")),
        ("17% of them wake or fall idle in an hour", "not measurable here: 2.5 loads/s "
         "of all, at a weight store whose rate is not known"),
        ("5 regions, 15 availability zones", "met by mechanism: a group of members a "
         "region, bundles through the store between them"),
        ("20,000 changes a day, in force in 17 s", judge(force, 17.0, "s at the 360 "
         "instances of a region, by the line of time.in_force")),
        ("control: 1.7% of a core", judge(busy, 17.0, "ms/s, with the measured rest of "
         "a daemon in it")),
        ("control: 32 MB", judge(sum_kind(slopes, "memory") / 1e6, 32.0, "MB; an empty "
         f"web server of circuits is {empty:.0f} MB beside it")),
        ("control: 5 KB a second", judge(moved, MOST_BYTES, "bytes/s; see below")),
        ("180 failures and 1,800 replacements a day", "met: "
         f"{TARGET.takeovers:.2f} takeovers/s of all, no store call; see below"),
        ("a rack, a zone, a region cut", "met by mechanism; tried at 3 zones of 2 "
         "instances, and worked out below"),
    )  # fmt: skip
    lines = ["| target | where it stands |", "|---|---|"]
    lines += [f"| {name} | {text} |" for name, text in rows]
    return "\n".join(lines)


def render_failures(slopes: dict[str, Slope]) -> str:
    """Return what failures cost at the target's size."""
    takeover = slopes["control.takeover_bytes"]
    zone = TARGET.zone_nodes
    owned = TARGET.owned
    events = (
        ("an instance fails", 1, owned),
        ("an instance is replaced", 1, 2 * owned),
        ("a rack of 20 instances", 20, 20 * owned),
        ("an availability zone", zone, 0.0),
        ("a region cut for minutes", 0, 0.0),
    )
    lines = [
        "| event | instances | takeovers | census messages | bytes of all "
        "| store calls | s to steady |",
        "|---|---|---|---|---|---|---|",
    ]
    for name, count, takeovers in events:
        messages = takeovers * 2 * TARGET.region_nodes
        spread = TARGET.region_nodes / 6
        sent = takeovers * takeover.compute(1) * spread
        steady = 0 if not count else 8
        lines.append(
            f"| {name} | {count} | {takeovers:.0f} | {messages:.0f} | {sent:.3g} "
            f"| 0 | {steady} |"
        )
    return "\n".join(lines)


def render(text: str) -> str:
    """Return the page with every table rewritten."""
    machine, slopes = read_slopes()
    tables = {f"{kind}": render_rows(slopes, kind) for kind in KINDS}
    tables["slopes"] = render_slopes(slopes)
    tables["target"] = render_target(slopes)
    tables["failures"] = render_failures(slopes)
    tables["machine"] = f"Measured on {machine['cores']} cores, {machine['processor']}."

    def replace(match: re.Match) -> str:
        """Return a mark with its table."""
        name = match.group(1)
        return f"<!-- table {name} -->\n{tables[name]}\n<!-- end -->"

    return re.sub(r"<!-- table (\w+) -->.*?<!-- end -->", replace, text, flags=re.S)


def main() -> None:
    """Write the page's tables."""
    PAGE.write_text(render(PAGE.read_text()))


if __name__ == "__main__":
    main()
