"""Render the burn report as one self-contained HTML page."""

import html

from roadlift.burn.record import BurnRow, measure_burn

_STYLE = """
body { font: 15px/1.5 sans-serif; margin: 2em auto; max-width: 60em; color: #222; }
h1 { font-size: 1.4em; } h2 { font-size: 1.1em; margin-top: 2em; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: left; padding: .3em .8em; border-bottom: 1px solid #ddd; }
td.number, th.number { text-align: right; font-variant-numeric: tabular-nums; }
svg text { font: 13px sans-serif; fill: #222; }
p.note { color: #666; }
"""
_WIDTH = 640  # Pixels of a plot.
_LABEL = 220  # Pixels left of the bars.
_ROW = 34  # Pixels of a row of a plot.
_WARN = 1.0  # A burn rate at which the budget is used up exactly.
_COLOURS = {"calm": "#4a7db5", "hot": "#c0453c"}


def render_page(rows: list[BurnRow], fills: list[dict], efficiency: float) -> str:
    """Return the page for merged rows and the endpoints' batch fills."""
    return "\n".join(
        (
            "<!doctype html><html lang='en'><head><meta charset='utf-8'>",
            f"<title>Service-level burn</title><style>{_STYLE}</style></head><body>",
            "<h1>Service-level burn</h1>",
            "<p class='note'>A burn rate of 1 uses the error budget up exactly.</p>",
            _render_table(rows),
            "<h2>Burn rate over 5 minutes and 60 minutes</h2>",
            _render_burn(rows),
            "<h2>Seconds that requests waited for loads</h2>",
            _render_bars([(_name(row), row["stall_seconds"]) for row in rows], 1.0),
            f"<h2>Batch efficiency: {100 * efficiency:.0f}%</h2>",
            _render_fills(fills),
            "</body></html>",
        )
    )


def _name(row: BurnRow) -> str:
    return f"{row['organisation']} / {row['service']}"


def _render_table(rows: list[BurnRow]) -> str:
    titles = ("Organisation", "Service", "Class")
    numbers = ("Target", "Requests", "Outside", "Burn 5 min", "Burn 60 min", "Stalls")
    head = "".join(f"<th>{title}</th>" for title in titles)
    head += "".join(f"<th class='number'>{title}</th>" for title in numbers)
    return f"<table><tr>{head}</tr>{''.join(map(_render_row, rows))}</table>"


def _render_row(row: BurnRow) -> str:
    texts = (row["organisation"], row["service"], row["priority"])
    numbers = (
        f"{row['target']:.3f}",
        str(row["long_total"]),
        str(row["long_bad"]),
        f"{_measure_short(row):.2f}",
        f"{_measure_long(row):.2f}",
        str(row["stalls"]),
    )
    cells = "".join(f"<td>{html.escape(text)}</td>" for text in texts)
    cells += "".join(f"<td class='number'>{number}</td>" for number in numbers)
    return f"<tr>{cells}</tr>"


def _measure_short(row: BurnRow) -> float:
    return measure_burn(row["short_total"], row["short_bad"], row["target"])


def _measure_long(row: BurnRow) -> float:
    return measure_burn(row["long_total"], row["long_bad"], row["target"])


def _render_burn(rows: list[BurnRow]) -> str:
    bars = []
    for row in rows:
        bars.append((f"{_name(row)}, 5 min", _measure_short(row)))
        bars.append((f"{_name(row)}, 60 min", _measure_long(row)))
    return _render_bars(bars, _WARN)


def _render_fills(fills: list[dict]) -> str:
    bars = [
        (fill["endpoint"], fill["fill_sum"] / fill["fills"])
        for fill in sorted(fills, key=lambda fill: fill["endpoint"])
        if fill["fills"]
    ]
    return _render_bars(bars, 1.0)


def _render_bars(bars: list[tuple[str, float]], mark: float) -> str:
    """Return a plot of bars, with a line at ``mark``."""
    most = max([mark, *(value for _, value in bars)]) * 1.1
    scale = (_WIDTH - _LABEL - 60) / most
    parts = []
    for index, (label, value) in enumerate(bars):
        top = index * _ROW
        colour = _COLOURS["hot" if value > mark else "calm"]
        width = max(1.0, value * scale)
        parts.append(
            f"<text x='0' y='{top + 20}'>{html.escape(label)}</text>"
            f"<rect x='{_LABEL}' y='{top + 6}' width='{width:.1f}' height='18'"
            f" fill='{colour}'/>"
            f"<text x='{_LABEL + width + 6:.1f}' y='{top + 20}'>{value:.2f}</text>"
        )
    height = max(_ROW, len(bars) * _ROW)
    at = _LABEL + mark * scale
    line = f"<line x1='{at:.1f}' x2='{at:.1f}' y1='0' y2='{height}' stroke='#999'/>"
    return f"<svg width='{_WIDTH}' height='{height}'>{line}{''.join(parts)}</svg>"
