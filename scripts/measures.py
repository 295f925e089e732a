"""Renders docs/MEASURES.md and its plot from the output of ``make bench``.

``python scripts/measures.py`` runs all measures, stores their lines in
docs/data/measures.jsonl and updates the generated sections of the page.
``--render`` updates them from the stored lines.  ``--from FILE`` imports the lines
from a file, such as one written by ``make bench > FILE``.
"""

import sys
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

import attrs

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT)]

from scripts._pages import replace_sections, table  # noqa: E402
from scripts._run import (  # noqa: E402
    RUN_MEASURE,
    describe_run,
    measure_names,
    read_lines,
    run_all,
    write_lines,
)

DATA = ROOT / "docs" / "data" / "measures.jsonl"
PAGE = ROOT / "docs" / "MEASURES.md"
PLOTS = ROOT / "docs" / "plots"

#: Section titles, each with the prefixes of the measures that belong to it.
SECTIONS = (
    ("Requests: waiting time, refusing, routing", ("requests_",)),
    ("Placing: packing, waiting time of jobs, share", ("placing_",)),
    ("Members: limits, grants, gossip", ("members_",)),
    ("Journal: appends, configuration, keys, once", ("journal", "snapshots")),
)


def format_value(value: Any) -> str:
    """Return a value as the text of a table cell."""
    if isinstance(value, bool) or value is None:
        return {True: "yes", False: "no", None: ""}[value]
    if isinstance(value, float):
        return f"{value:.4g}"
    if isinstance(value, dict):
        return ", ".join(f"{k} {format_value(v)}" for k, v in value.items())
    if isinstance(value, list):
        return ", ".join(map(format_value, value))
    return str(value).replace("|", "/")


def group_by_measure(
    lines: Iterable[dict[str, Any]],
) -> dict[str, list[dict[str, Any]]]:
    """Return the lines by measure, in their order."""
    groups: dict[str, list[dict[str, Any]]] = {}
    for line in lines:
        if line["measure"] != RUN_MEASURE:
            groups.setdefault(line["measure"], []).append(line)
    return groups


def measure_table(lines: Sequence[dict[str, Any]]) -> str:
    """Return the table of a measure, with a column for each of its fields."""
    fields = list(dict.fromkeys(k for line in lines for k in line if k != "measure"))
    rows = [[format_value(line.get(field)) for field in fields] for line in lines]
    return table(fields, rows)


@attrs.frozen
class TargetResult:
    """A figure compared with its target.

    :param used_share: the figure as a share of the target, or the inverse if higher
        is better; the target is missed if it exceeds 1.
    """

    name: str
    field: str
    value: float
    target: float
    used_share: float


#: Lower is better for all other fields.
_HIGHER_IS_BETTER = ("share_of_bound", "per_s", "ratio")
#: A plain ``target`` applies to the first of these fields that a line has.
_DEFAULT_TARGET_FIELDS = ("share_of_bound", "ratio", "worst", "max_error", "value")


def target_results(lines: Iterable[dict[str, Any]]) -> list[TargetResult]:
    """Compare each figure that has a target with it.

    A line states targets in ``target`` or ``target_FIELD``.
    """
    found = []
    for line in lines:
        for key, target in line.items():
            if not key.startswith("target") or not isinstance(target, (int, float)):
                continue
            fields = (
                (key.removeprefix("target_"),)
                if key != "target"
                else _DEFAULT_TARGET_FIELDS
            )
            field = next((f for f in fields if f in line), None)
            if field is None or not isinstance(line[field], (int, float)):
                continue
            value = float(line[field])
            higher_is_better = field in _HIGHER_IS_BETTER
            used = target / value if higher_is_better and value else abs(value) / target
            name = f"{line['measure']}: {label_of(line)}"
            found.append(TargetResult(name, field, value, float(target), used))
    return found


def target_table(found: Sequence[TargetResult]) -> str:
    """Return the table of targets, with the missed ones first."""
    rows = [
        [
            v.name,
            v.field,
            format_value(v.value),
            format_value(v.target),
            "met" if v.used_share <= 1 else "**not met**",
        ]
        for v in sorted(found, key=lambda v: -v.used_share)
    ]
    return table(["Measure", "Figure", "Measured", "Target", "Verdict"], rows)


def label_of(line: dict[str, Any]) -> str:
    """Return the text that distinguishes a line from others of its measure."""
    text = str(line.get("what", ""))
    size = line.get("workers")
    return f"{text}, {size} workers" if size else text


def plot(found: Sequence[TargetResult]) -> Path:
    """Plot the used share of each target on a logarithmic scale; return the file."""
    import matplotlib as mpl

    mpl.use("Agg")
    mpl.rcParams["svg.hashsalt"] = "targets"
    from matplotlib import pyplot

    ranked = sorted(found, key=lambda v: -v.used_share)
    colours = ["#c0392b" if v.used_share > 1 else "#2980b9" for v in ranked]
    size = (9, 0.32 * len(ranked) + 1)
    figure, axes = pyplot.subplots(figsize=size, layout="constrained")
    axes.barh(
        range(len(ranked)), [max(v.used_share, 0.01) for v in ranked], color=colours
    )
    axes.set_yticks(
        range(len(ranked)), [f"{v.name[:70]} ({v.field})" for v in ranked], fontsize=6
    )
    axes.invert_yaxis()
    axes.set_xscale("log")
    axes.axvline(1.0, color="#222222")
    axes.set_xlabel("share of the target that is used; above 1 it is not met")
    PLOTS.mkdir(parents=True, exist_ok=True)
    file = PLOTS / "targets.svg"
    figure.savefig(file, metadata={"Date": None})
    pyplot.close(figure)
    return file


def render(lines: Iterable[dict[str, Any]]) -> str:
    """Return the generated section of the page and draw its plot."""
    kept = list(lines)
    groups = group_by_measure(kept)
    parts = []
    found = target_results(line for part in groups.values() for line in part)
    if found:
        file = plot(found)
        parts.append(f"## Against the targets\n\n{target_table(found)}\n")
        parts.append(f"![targets](plots/{file.name})\n")
    rest = set(groups)
    for title, prefixes in (*SECTIONS, ("Others", ("",))):
        names = sorted(n for n in rest if n.startswith(prefixes))
        rest -= set(names)
        if not names:
            continue
        parts.append(f"## {title}\n")
        for name in names:
            parts.append(f"### {name}\n\n`python -m bench {name}`\n")
            parts.append(measure_table(groups[name]) + "\n")
    return "\n".join(parts)


def main(args: Sequence[str]) -> None:
    """Collect the lines and update the page."""
    if "--from" in args:
        write_lines(DATA, read_lines(Path(args[args.index("--from") + 1])))
    elif "--render" not in args:
        chosen = measure_names()
        write_lines(DATA, run_all(chosen))
    lines = read_lines(DATA)
    replace_sections(PAGE, {"run": describe_run(lines), "measures": render(lines)})


if __name__ == "__main__":
    main(sys.argv[1:])
