"""Print tables for people and JSON for scripts."""

import json
from collections.abc import Sequence


def print_json(content: object) -> None:
    """Print JSON with sorted keys."""
    print(json.dumps(content, indent=2, sort_keys=True))


def print_table(titles: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows under titles, in columns as wide as they need."""
    texts = [[str(value) for value in row] for row in [titles, *rows]]
    widths = [max(len(row[column]) for row in texts) for column in range(len(titles))]
    for row in texts:
        cells = [text.ljust(width) for text, width in zip(row, widths, strict=True)]
        print("  ".join(cells).rstrip())
