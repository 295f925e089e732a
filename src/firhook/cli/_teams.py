"""The ``teams`` command: shares, use and waiting work of teams, from the lead."""

from typing import Any

from firhook.cli._common import Common, table
from firhook.cli._waiting import lead_text, lead_unreachable

_HEADERS = [
    "TEAM",
    "WEIGHT",
    "SHARE",
    "USE",
    "LIMIT",
    "WAITING",
    "STEPS",
    "DRAIN",
    "REFUSED HERE",
    "NOTES",
]


def teams(*, common: Common | None = None) -> None:
    """Show the share, use and waiting work of each team, according to the lead.

    Give the metrics address of any instance as --url, such as
    http://10.0.0.7:9464.  An instance that does not lead asks the lead.  Refusals
    are those of the instance asked.
    """
    common = common or Common()
    data = common.ask("GET", "/teams")
    report = data["report"]
    if report is None or "teams" not in report:
        raise lead_unreachable(data)
    found = report["teams"]
    state = "the cell is crowded" if found["crowded"] else "the cell is not crowded"
    parts = [lead_text(data), state]
    parts.append(table(_HEADERS, [_row(row, data["refused"]) for row in found["rows"]]))
    common.show(data, "\n\n".join(parts))


def _row(row: dict[str, Any], refused: dict[str, int]) -> list[Any]:
    share, limit = row["share_cores"], row["limit_cores"]
    return [
        row["team"] or "-",
        f"{row['weight']:g}",
        "-" if share is None else f"{share:.1f}",
        f"{row['use_cores']:.1f}",
        f"{limit:.1f}" if limit else "-",
        f"{row['waiting_core_s']:.1f} core-s",
        row["steps"],
        f"{row['drain_cores']:.1f}",
        refused.get(row["team"], 0),
        "above its share" if row["over"] else "-",
    ]
