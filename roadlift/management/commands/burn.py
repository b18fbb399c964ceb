"""Report the burn of the service levels."""

from pathlib import Path

from roadlift.burn.page import render_page
from roadlift.burn.record import BurnRow, measure_burn, merge_rows
from roadlift.management.output import print_json, print_table
from roadlift.management.sources import DEFAULT_ENTRY, ask_all

TITLES = (
    "ORGANISATION",
    "SERVICE",
    "CLASS",
    "TARGET",
    "REQUESTS",
    "BURN 5M",
    "BURN 60M",
    "STALL S",
    "WORST S",
)


def handle(
    *, entry: str = DEFAULT_ENTRY, json: bool = False, html: Path | None = None
) -> None:
    """Report how fast each service burns its error budget.

    A burn rate of 1 uses the budget up exactly; rates are given for 5
    minutes and 60 minutes.

    :param entry: HTTP address of any instance.
    :param json: Print JSON.
    :param html: Also write one self-contained page with plots here.
    """
    pages = [page for page in ask_all(entry, "/burn").values() if page]
    rows = merge_rows([row for page in pages for row in page["rows"]])
    fills = [fill for page in pages for fill in page["fills"]]
    efficiency = measure_efficiency(fills)
    if html is not None:
        html.write_text(render_page(rows, fills, efficiency))
    if json:
        print_json({"rows": rows, "batch_efficiency": efficiency})
        return
    print_table(TITLES, [_make_row(row) for row in rows])
    print(f"Batch efficiency while running: {100 * efficiency:.0f}%")


def measure_efficiency(fills: list[dict]) -> float:
    """Return how full the batches were when anything ran, from 0 to 1."""
    count = sum(fill["fills"] for fill in fills)
    return sum(fill["fill_sum"] for fill in fills) / count if count else 0.0


def _make_row(row: BurnRow) -> tuple:
    target = row["target"]
    return (
        row["organisation"],
        row["service"],
        row["priority"],
        f"{target:.3f}",
        row["long_total"],
        f"{measure_burn(row['short_total'], row['short_bad'], target):.2f}",
        f"{measure_burn(row['long_total'], row['long_bad'], target):.2f}",
        f"{row['stall_seconds']:.2f}",
        f"{row['worst_first_byte']:.2f}",
    )
