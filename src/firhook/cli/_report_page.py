"""The burn report as a single HTML file with an embedded SVG plot."""

import math
from collections.abc import Sequence
from html import escape
from typing import Any

_WINDOWS = ("5m", "30m", "1h", "6h")
_COLOURS = {"5m": "#c0392b", "30m": "#e67e22", "1h": "#2980b9", "6h": "#7f8c8d"}
_LABEL_WIDTH, _PLOT_WIDTH, _BAR_HEIGHT, _ROW_GAP = 220, 520, 9, 14
#: Burn rates drawn as vertical lines: the exact budget and both alert thresholds.
_REFERENCE_RATES = ((1.0, "budget"), (6.0, "ticket"), (14.4, "page"))

_STYLE = """
body { font: 15px/1.4 sans-serif; margin: 2em auto; max-width: 70em; color: #222 }
table { border-collapse: collapse } td, th { padding: .2em .7em; text-align: right }
td:first-child, th:first-child, td:nth-child(2) { text-align: left }
tr.page td { background: #f8d7da } tr.ticket td { background: #fff3cd }
"""


def _x_position(rate: float, top: float) -> float:
    """Return the x coordinate of a burn rate.

    The scale is logarithmic, so that both 0.1 and 100 are visible.
    """
    return _LABEL_WIDTH + _PLOT_WIDTH * math.log1p(rate) / math.log1p(top)


def render_plot(rows: Sequence[dict[str, Any]]) -> str:
    """Return an SVG plot with one bar per team, class and window."""
    rates = [rate for row in rows for rate in row["burn_rates"].values()]
    top = max([20.0, *rates])
    height = len(rows) * (len(_WINDOWS) * _BAR_HEIGHT + _ROW_GAP) + 40
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" '
        f'width="{_LABEL_WIDTH + _PLOT_WIDTH + 60}" '
        f'height="{height}" font-family="sans-serif" font-size="12">'
    ]
    for rate, name in _REFERENCE_RATES:
        x = _x_position(rate, top)
        parts.append(
            f'<line x1="{x:.1f}" x2="{x:.1f}" y1="18" y2="{height}" stroke="#bbb"/>'
            f'<text x="{x:.1f}" y="12" text-anchor="middle">{name} {rate:g}</text>'
        )
    y = 26.0
    for row in rows:
        label = escape(f"{row['team']} {row['class']}")
        middle = y + len(_WINDOWS) * _BAR_HEIGHT / 2 + 4
        parts.append(
            f'<text x="{_LABEL_WIDTH - 8}" y="{middle:.0f}" text-anchor="end">'
            f"{label}</text>"
        )
        for window in _WINDOWS:
            rate = row["burn_rates"][window]
            width = max(_x_position(rate, top) - _LABEL_WIDTH, 1.0)
            parts.append(
                f'<rect x="{_LABEL_WIDTH}" y="{y:.0f}" width="{width:.1f}" '
                f'height="{_BAR_HEIGHT - 2}" fill="{_COLOURS[window]}">'
                f"<title>{label} {window}: {rate:g}</title></rect>"
            )
            y += _BAR_HEIGHT
        y += _ROW_GAP
    parts.append("</svg>")
    return "".join(parts)


def _table(rows: Sequence[dict[str, Any]]) -> str:
    headers = ["team", "class", "requests", "slow", "refused", "p50 ms", "p99 ms"]
    headers += ["objective", *_WINDOWS, "alert"]
    lines = ["<tr>" + "".join(f"<th>{h}</th>" for h in headers) + "</tr>"]
    for row in rows:
        cells = [
            row["team"],
            row["class"],
            row["requests"],
            row["slow"],
            row["refused"],
            f"{row['p50_ms']:.1f}",
            f"{row['p99_ms']:.1f}",
            f"{row['target'] * 100:g}% in {row['objective_ms']:g} ms",
            *(f"{row['burn_rates'][w]:.2f}" for w in _WINDOWS),
            row["alert"],
        ]
        text = "".join(f"<td>{escape(str(c))}</td>" for c in cells)
        lines.append(f'<tr class="{escape(row["alert"])}">{text}</tr>')
    return "<table>" + "".join(lines) + "</table>"


def render_page(data: dict[str, Any]) -> str:
    """Return the report as a self-contained HTML page."""
    legend = " ".join(
        f'<span style="color:{colour}">&#9632; {name}</span>'
        for name, colour in _COLOURS.items()
    )
    missing = ""
    if data["missing"]:
        names = escape(", ".join(data["missing"]))
        missing = f"<p><b>Missing: {names} did not respond.</b></p>"
    return (
        '<!doctype html><html lang="en"><meta charset="utf-8">'
        f"<title>Service-level burn</title><style>{_STYLE}</style>"
        "<h1>Service-level burn</h1>"
        f"<p>Figures of {len(data['instances'])} instances. A burn rate of 1 uses "
        "the error budget up exactly; refusals that are not the caller's fault "
        f"count as misses.</p>{missing}<p>{legend}</p>"
        f"{render_plot(data['rows'])}{_table(data['rows'])}</html>\n"
    )
