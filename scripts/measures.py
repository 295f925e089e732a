"""Renders docs/MEASURES.md and its plots from the output of ``make bench``.

``python scripts/measures.py`` runs all measures but the capacity ones, keeps
their lines in docs/data/measures.jsonl and fills the generated part of the
page; ``--render`` fills it from the kept lines; ``--from FILE`` takes the lines
from a file, such as one written by ``make bench > FILE``.
"""

import json
import os
import subprocess
import sys
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT)]

from scripts._pages import fill, table  # noqa: E402

DATA = ROOT / "docs" / "data" / "measures.jsonl"
PAGE = ROOT / "docs" / "MEASURES.md"
PLOTS = ROOT / "docs" / "plots"

#: The measures of the brief, and the prefixes of the names that belong to each.
CHAPTERS = (
    ("Requests: waiting time, refusing, routing", "requests_"),
    ("Placing: packing, waiting time of jobs, share", "placing_"),
    ("Members: limits, grants, gossip", "members_"),
    ("Journal: appends, configuration, keys, once", "journal_"),
)
SKIPPED = "capacity_"


def plain(value: Any) -> str:
    """Return a value for a table's cell."""
    if isinstance(value, bool) or value is None:
        return {True: "yes", False: "no", None: ""}[value]
    if isinstance(value, float):
        return f"{value:.4g}"
    if isinstance(value, dict):
        return ", ".join(f"{k} {plain(v)}" for k, v in value.items())
    if isinstance(value, list):
        return ", ".join(map(plain, value))
    return str(value).replace("|", "/")


def group(lines: Iterable[dict[str, Any]]) -> dict[str, list[dict[str, Any]]]:
    """Return the lines by measure, in the order they came."""
    groups: dict[str, list[dict[str, Any]]] = {}
    for line in lines:
        if not line["measure"].startswith(SKIPPED):
            groups.setdefault(line["measure"], []).append(line)
    return groups


def measure_table(lines: Sequence[dict[str, Any]]) -> str:
    """Return the table of one measure, with a column for each field it printed."""
    fields = list(dict.fromkeys(k for line in lines for k in line if k != "measure"))
    rows = [[plain(line.get(field)) for field in fields] for line in lines]
    return table(fields, rows)


def numeric(line: dict[str, Any]) -> dict[str, float]:
    """Return the fields of a line that a plot can show."""
    return {
        k: float(v)
        for k, v in line.items()
        if isinstance(v, (int, float)) and not isinstance(v, bool)
    }


def label_of(line: dict[str, Any]) -> str:
    """Return what tells a line apart from others of its measure."""
    texts = [str(v) for k, v in line.items() if isinstance(v, str) and k not in _SAME]
    return " ".join(texts)[:48] or line["measure"]


_SAME = ("measure", "unit", "target", "command", "baseline", "note")


def plot(name: str, lines: Sequence[dict[str, Any]]) -> Path | None:
    """Draw a measure's ``value`` or ``ratio`` against its baseline and target."""
    field = next((f for f in ("ratio", "value") if f in numeric(lines[0])), None)
    if field is None or len(lines) < 2:
        return None
    import matplotlib as mpl

    mpl.use("Agg")
    mpl.rcParams["svg.hashsalt"] = name
    from matplotlib import pyplot

    drawn = [line for line in lines if field in numeric(line)]
    labels = [label_of(line) for line in drawn]
    height = 0.4 * len(drawn) + 1.2
    figure, axes = pyplot.subplots(figsize=(8, height), layout="constrained")
    axes.barh(range(len(drawn)), [line[field] for line in drawn], color="#2980b9")
    for at, line in enumerate(drawn):
        target = line.get("target")
        if isinstance(target, (int, float)) and not isinstance(target, bool):
            axes.plot([target, target], [at - 0.4, at + 0.4], color="#c0392b")
    axes.set_yticks(range(len(drawn)), labels, fontsize=8)
    axes.invert_yaxis()
    axes.set_xlabel(f"{field} {lines[0].get('unit', '')}".strip())
    axes.set_title(name)
    PLOTS.mkdir(parents=True, exist_ok=True)
    file = PLOTS / f"{name}.svg"
    figure.savefig(file, metadata={"Date": None})
    pyplot.close(figure)
    return file


def render(lines: Iterable[dict[str, Any]]) -> str:
    """Return the generated part of the page."""
    groups = group(lines)
    parts = []
    rest = set(groups)
    for title, prefix in (*CHAPTERS, ("Others", "")):
        names = sorted(n for n in rest if n.startswith(prefix))
        rest -= set(names)
        if not names:
            continue
        parts.append(f"## {title}\n")
        for name in names:
            parts.append(f"### {name}\n\n`python -m bench {name}`\n")
            parts.append(measure_table(groups[name]) + "\n")
            file = plot(name, groups[name])
            if file is not None:
                parts.append(f"![{name}](plots/{file.name})\n")
    return "\n".join(parts)


def run() -> list[dict[str, Any]]:
    """Run every measure that belongs on the page; a failed one is named."""
    env = {**os.environ, "PYTHONPATH": os.pathsep.join((str(ROOT / "src"), str(ROOT)))}
    command = [sys.executable, "-m", "bench"]
    listing = subprocess.run(
        [*command, "--list"], cwd=ROOT, env=env, capture_output=True, text=True
    )
    lines = []
    for name in listing.stdout.split():
        if name.startswith(SKIPPED):
            continue
        done = subprocess.run(
            [*command, name], cwd=ROOT, env=env, capture_output=True, text=True
        )
        lines += [json.loads(line) for line in done.stdout.splitlines()]
        if done.returncode:
            last = (done.stderr.strip().splitlines() or ["no message"])[-1]
            lines.append({"measure": name, "failed": last})
    return lines


def main(args: Sequence[str]) -> None:
    """Gather the lines and fill the page."""
    if "--from" in args:
        DATA.write_text(Path(args[args.index("--from") + 1]).read_text())
    elif "--render" not in args:
        lines = run()
        DATA.parent.mkdir(parents=True, exist_ok=True)
        DATA.write_text("".join(json.dumps(line) + "\n" for line in lines))
    kept = [json.loads(line) for line in DATA.read_text().splitlines() if line]
    fill(PAGE, {"measures": render(kept)})


if __name__ == "__main__":
    main(sys.argv[1:])
