"""The ``report`` command: the burn report as text, JSON or an HTML page."""

from pathlib import Path
from typing import Any

from firhook.cli._common import Common, path, table, write_file
from firhook.cli._report_page import render_page

_HEADERS = [
    "TEAM",
    "CLASS",
    "REQUESTS",
    "SLOW",
    "REFUSED",
    "P50 MS",
    "P99 MS",
    "OBJECTIVE",
    "5M",
    "30M",
    "1H",
    "6H",
    "ALERT",
]


def _row(row: dict[str, Any]) -> list[Any]:
    rates = row["burn_rates"]
    return [
        row["team"],
        row["class"],
        row["requests"],
        row["slow"],
        row["refused"],
        f"{row['p50_ms']:.1f}",
        f"{row['p99_ms']:.1f}",
        f"{row['target'] * 100:g}% in {row['objective_ms']:g} ms",
        *(f"{rates[name]:.2f}" for name in ("5m", "30m", "1h", "6h")),
        row["alert"] or "-",
    ]


def render_text(data: dict[str, Any]) -> str:
    """Return the report as readable text."""
    parts = [table(_HEADERS, [_row(r) for r in data["rows"]])]
    if data["refusals"]:
        parts.append(table(["REFUSED WITH", "COUNT"], sorted(data["refusals"].items())))
    parts.append(f"figures of {len(data['instances'])} instances")
    if data["missing"]:
        parts.append(f"MISSING {', '.join(data['missing'])}: did not respond")
    return "\n\n".join(parts)


def report(*, html: Path | None = None, common: Common | None = None) -> None:
    """Show how fast each team burns the error budget of its service level.

    A burn rate of 1 uses the budget up exactly.  Refusals that are not the
    caller's fault count as misses.

    :param html: also write the report to this file, as an HTML page with a plot.
    """
    common = common or Common()
    data = common.ask("GET", path("report"))
    if html is not None:
        write_file(html, render_page(data))
    common.show(data, render_text(data))
