"""The ``workers`` command: speed, free capacity, runs and state of each worker."""

from typing import Annotated, Any
from urllib.parse import urlencode

from cyclopts import Parameter
from cyclopts.validators import Number

from firhook.cli._common import Common, table
from firhook.cli._waiting import lead_unreachable

_HEADERS = [
    "WORKER",
    "STATE",
    "SPEED",
    "COMPARED",
    "RUNS",
    "FREE CORES",
    "FREE GB",
    "FREE ACC",
    "POOL",
    "ZONE",
    "RACK",
]


def workers(
    *,
    limit: Annotated[
        int,
        Parameter(help="Largest number of workers.", validator=Number(gte=0)),
    ] = 50,
    common: Common | None = None,
) -> None:
    """Show the workers, those that take no work and the slowest first.

    Give the metrics address of any instance as --url, such as
    http://10.0.0.7:9464.  An instance that does not lead asks the lead.
    """
    common = common or Common()
    data = common.ask("GET", f"/workers?{urlencode({'limit': str(limit)})}")
    report = data["report"]
    if report is None:
        raise lead_unreachable(data)
    counts = ", ".join(f"{n} {state}" for state, n in sorted(report["states"].items()))
    text = f"{data['lead']['name']} leads in epoch {report['epoch']}: {counts}"
    if not report["speeds_differ"]:
        text += "; no difference in speed is known"
    rows = [_row(row) for row in report["workers"]]
    common.show(data, f"{text}\n\n{table(_HEADERS, rows)}" if rows else text)


def _row(row: dict[str, Any]) -> list[Any]:
    free, capacity = row["free"], row["capacity"]
    return [
        row["worker"],
        row["state"],
        f"{row['speed']:.2f}",
        row["comparisons"],
        row["runs"],
        f"{free['cpu_m'] / 1000:g}/{capacity['cpu_m'] / 1000:g}",
        f"{free['memory_mb'] / 1000:g}/{capacity['memory_mb'] / 1000:g}",
        f"{free['accelerators']}/{capacity['accelerators']}",
        row["pool"],
        row["zone"] or "-",
        row["rack"] or "-",
    ]
