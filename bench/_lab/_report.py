"""Compares policies on the same seeds, as a table, JSON and a plot."""

import json
import statistics
from collections.abc import Iterable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import attrs

from bench._lab._outcomes import OutcomeKind, Summary
from bench._lab._policies import POLICIES
from bench._lab._workload import Scenario, generate_workload

_IN_TIME = OutcomeKind.IN_TIME.value
_FIELDS = (
    _IN_TIME,
    "gain",
    *(f.value for f in list(OutcomeKind)[1:]),
    "p50_s",
    "p99_s",
)


_Summaries = Sequence[dict[tuple[str, str], Summary]]


@attrs.frozen
class Statistic:
    """The mean and spread of a value over seeds.

    :param spread: standard deviation over the seeds; 0 for one seed.
    :param values: the known values, in order of the seeds.
    """

    mean: float
    spread: float
    values: tuple[float, ...]

    @classmethod
    def of(cls, values: Sequence[float | None]) -> "Statistic | None":
        """Return the statistic of the known values; ``None`` if there are none."""
        known = tuple(v for v in values if v is not None)
        if not known:
            return None
        spread = statistics.stdev(known) if len(known) > 1 else 0.0
        return cls(statistics.fmean(known), spread, known)


@attrs.frozen
class Row:
    """The results of a policy for a group of jobs, over all seeds.

    :param jobs: number of jobs over all seeds.
    :param fields: the statistics by column; ``gain`` is the share of jobs in time
        minus that of the first policy on the same seed.
    """

    policy: str
    kind: str
    name: str
    jobs: int
    fields: dict[str, Statistic | None]


def compare(
    scenario: Scenario,
    policies: Iterable[str],
    seeds: Sequence[int],
    processes: int = 1,
) -> list[Row]:
    """Simulate each policy on each seed.

    :param processes: number of simulations that run in parallel.
    """
    names = list(policies)
    runs = [(scenario, name, seed) for name in names for seed in seeds]
    if processes > 1:
        with ProcessPoolExecutor(processes) as pool:
            results = list(pool.map(_evaluate, runs))
    else:
        results = [_evaluate(run) for run in runs]
    first = results[: len(seeds)]
    by_policy = {
        name: results[i * len(seeds) : (i + 1) * len(seeds)] if i else first
        for i, name in enumerate(names)
    }
    return [row for name in names for row in _build_rows(name, by_policy[name], first)]


def _evaluate(run: tuple[Scenario, str, int]) -> dict[tuple[str, str], Summary]:
    scenario, policy, seed = run
    return POLICIES[policy]().evaluate(generate_workload(scenario, seed))


def _build_rows(policy: str, runs: _Summaries, first: _Summaries) -> Iterator[Row]:
    for key in dict.fromkeys(key for run in runs for key in run):
        pairs = [
            (run[key], other[key])
            for run, other in zip(runs, first, strict=True)
            if key in run
        ]
        selected = [summary for summary, _ in pairs]
        shares = {
            kind.value: Statistic.of([f.shares[kind] for f in selected])
            for kind in OutcomeKind
        }
        waits = {
            "p50_s": Statistic.of([f.p50_s for f in selected]),
            "p99_s": Statistic.of([f.p99_s for f in selected]),
        }
        gain = None
        if runs is not first:
            gain = Statistic.of([_gain(summary, other) for summary, other in pairs])
        jobs = sum(f.jobs for f in selected)
        yield Row(policy, *key, jobs, {**shares, **waits, "gain": gain})


def _gain(summary: Summary, other: Summary) -> float | None:
    own, base = summary.shares[OutcomeKind.IN_TIME], other.shares[OutcomeKind.IN_TIME]
    return None if own is None or base is None else own - base


def markdown(rows: Iterable[Row]) -> str:
    """Return the rows as a Markdown table with mean and spread of each field."""
    ordered = list(rows)
    groups = list(dict.fromkeys((r.kind, r.name) for r in ordered))
    ordered.sort(key=lambda r: groups.index((r.kind, r.name)))
    head = ["group", "policy", "jobs", *_FIELDS]
    lines = [head, ["---"] * len(head)]
    for row in ordered:
        group = row.name if row.kind == "all" else f"{row.kind} {row.name}"
        cells = [_format_statistic(row.fields[field]) for field in _FIELDS]
        lines.append([group, row.policy, str(row.jobs), *cells])
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def _format_statistic(value: Statistic | None) -> str:
    if value is None:
        return ""
    return f"{value.mean:.3f} ± {value.spread:.3f}"


def to_json(rows: Iterable[Row], **about: Any) -> str:
    """Return the rows as JSON, with the values of each seed.

    :param about: metadata of the run, written next to the rows.
    """
    return json.dumps({**about, "rows": [attrs.asdict(row) for row in rows]}, indent=1)


def plot(rows: Sequence[Row], file: Path) -> None:
    """Plot the share of jobs in time by group and policy, with error bars."""
    import matplotlib as mpl

    mpl.use("Agg")
    mpl.rcParams["svg.hashsalt"] = "lab"
    from matplotlib import pyplot

    groups = list(dict.fromkeys((r.kind, r.name) for r in rows))
    policies = list(dict.fromkeys(r.policy for r in rows))
    size = (9, 0.16 * len(groups) * len(policies) + 1.5)
    figure, axes = pyplot.subplots(figsize=size, layout="constrained")
    height = 0.8 / len(policies)
    for i, policy in enumerate(policies):
        selected = {
            (r.kind, r.name): r.fields[_IN_TIME] for r in rows if r.policy == policy
        }
        positions = [n + i * height for n, g in enumerate(groups) if selected.get(g)]
        values = [selected[g] for g in groups if selected.get(g)]
        axes.barh(
            positions,
            [v.mean for v in values],
            height,
            xerr=[v.spread for v in values],
            label=policy,
        )
    middle = height * (len(policies) - 1) / 2
    axes.set_yticks(
        [n + middle for n in range(len(groups))],
        [name if kind == "all" else f"{kind} {name}" for kind, name in groups],
    )
    axes.invert_yaxis()
    axes.set_xlabel("share of the jobs that are done within their objective")
    figure.legend(loc="outside upper center", ncols=4)
    figure.savefig(file, metadata={"Date": None} if file.suffix == ".svg" else None)
    pyplot.close(figure)
