"""Render the tables of docs/CAPACITY.md from the measured slopes.

The page has marks ``<!-- table NAME -->`` ... ``<!-- end -->``; what stands
between them is written here, and a test compares it with the slopes.
"""

import json
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


def render_target(slopes: dict[str, Slope]) -> str:
    """Return a line for each row of the letter's target."""
    chunk, stream = slopes["process.chunk_processor"], slopes["process.stream_memory"]
    request = slopes["process.request_processor"]
    force = slopes["time.in_force"].compute(8.5)
    cores = chunk.compute(TARGET.chunks) + request.slope * TARGET.requests
    streams = stream.compute(TARGET.streams) / 1e6
    rest = slopes["process.rest_processor"].intercept
    rows = (
        ("1,800 nodes before 10,000 runners", "no row grows with all nodes times all "
         "endpoints; see the tables"),
        ("96,000 requests/s, 43 M tokens/s", f"{cores:.2f} of a core and {streams:.0f} "
         "MB of streams a node: met"),
        ("first token 0.68 s, 49 ms between tokens", "the relay adds less than a "
         "chunk's time; the load stalls decide: see internals/policy.md"),
        ("4 base models, 53,000 adapters", "a ring a base model; memory below"),
        ("17% wake or fall idle in an hour", "2.5 loads/s of all: the weight store's "
         "rate at that size is not measurable here"),
        ("5 regions, 15 zones", "one group of members a region; bundles through the "
         "store between regions"),
        ("20,000 changes a day, in force in 17 s", f"{force:.1f} s at 360 instances "
         "of a region, by the line of time.in_force: met"),
        ("1.7% of a core for control", f"{100 * rest:.1f}% at rest, measured, and the "
         "processor table"),
        ("32 MB for control", "the memory table; an empty web server of circuits takes "
         f"{slopes['process.empty_memory'].values[0] / 1e6:.0f} MB beside it"),
        ("5 KB/s for control", "the bytes table"),
        ("180 failures, 1,800 replacements a day", "the failure table"),
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
    """Return the page with every table written anew."""
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
