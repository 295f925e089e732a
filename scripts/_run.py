"""Runs the measures and records the environment of the run."""

import json
import os
import platform
import subprocess
import sys
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
RUN_MEASURE = "run"
#: Limit for a single measure, so that a stuck one does not block the page.
TIMEOUT_S = 300.0


def _run_bench(*args: str) -> subprocess.CompletedProcess[str]:
    env = {**os.environ, "PYTHONPATH": os.pathsep.join((str(ROOT / "src"), str(ROOT)))}
    return subprocess.run(
        [sys.executable, "-m", "bench", *args],
        cwd=ROOT,
        env=env,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


def measure_names() -> list[str]:
    """Return the names of all measures."""
    return _run_bench("--list").stdout.split()


def run_record() -> dict[str, Any]:
    """Return the commit, Python version and processors of the run that follows."""
    commit = subprocess.run(
        ["git", "describe", "--always", "--dirty"],
        cwd=ROOT,
        capture_output=True,
        text=True,
    ).stdout.strip()
    return {
        "measure": RUN_MEASURE,
        "commit": commit or "unknown",
        "python": platform.python_version(),
        "processors": os.cpu_count(),
    }


def run_all(chosen: Sequence[str]) -> list[dict[str, Any]]:
    """Run measures one after another and return their output lines.

    A failed measure adds a line with its error, so that the page shows the failure
    instead of omitting the measure.
    """
    lines = [run_record()]
    for name in chosen:
        print(name, file=sys.stderr, flush=True)
        try:
            done = _run_bench(name)
        except subprocess.TimeoutExpired:
            lines.append({"measure": name, "failed": f"no end after {TIMEOUT_S:g} s"})
            continue
        lines += [json.loads(text) for text in done.stdout.splitlines()]
        if done.returncode:
            last = (done.stderr.strip().splitlines() or ["no message"])[-1]
            lines.append({"measure": name, "failed": last})
    return lines


def write_lines(file: Path, lines: Iterable[dict[str, Any]]) -> None:
    """Write lines to a file as JSON."""
    file.parent.mkdir(parents=True, exist_ok=True)
    file.write_text("".join(json.dumps(line) + "\n" for line in lines))


def read_lines(file: Path) -> list[dict[str, Any]]:
    """Read the lines of a JSON lines file."""
    return [json.loads(line) for line in file.read_text().splitlines() if line]


def describe_run(lines: Sequence[dict[str, Any]]) -> str:
    """Return a sentence on the run that produced the lines."""
    for line in lines:
        if line["measure"] == RUN_MEASURE:
            return (
                f"The figures are of one run at commit `{line['commit']}`, Python "
                f"{line['python']}, on a machine of {line['processors']} processors "
                "shared with other work."
            )
    return "The lines do not say which run they came from."
