"""The ``waiting`` command: why steps wait, according to the lead."""

from collections.abc import Iterable
from typing import Annotated, Any
from urllib.parse import urlencode

from cyclopts import Parameter
from cyclopts.validators import Number

from firhook.cli._client import RefusedError
from firhook.cli._common import Common, table

_STEP_HEADERS = [
    "STEP",
    "WHY",
    "FOR",
    "WAITS",
    "TASKS",
    "FIT",
    "ADVISED",
    "TEAM",
    "NOTES",
]
_RUN_HEADERS = ["TASK", "RUN", "WORKER", "STATE", "SINCE"]


def waiting(
    *,
    job: Annotated[str, Parameter(help="Show the steps of this job.")] = "",
    limit: Annotated[
        int,
        Parameter(help="Largest number of steps.", validator=Number(gte=0)),
    ] = 20,
    common: Common | None = None,
) -> None:
    """Show which steps wait for a start and why, according to the lead.

    Give the metrics address of any instance as --url, such as
    http://10.0.0.7:9464.  An instance that does not lead asks the lead.
    """
    common = common or Common()
    query = {"limit": str(limit)} | ({"job": job} if job else {})
    data = common.ask("GET", f"/waiting?{urlencode(query)}")
    if data["report"] is None:
        raise lead_unreachable(data)
    parts = [lead_text(data)]
    if job:
        parts += _job_parts(job, data["report"]["job"])
    else:
        parts += _waiting_parts(data["report"])
    common.show(data, "\n\n".join(parts))


def lead_unreachable(data: dict[str, Any]) -> RefusedError:
    """Return the error for an answer without the lead's report."""
    lead, detail = data["lead"], data["error"]
    if lead["name"]:
        detail += f"; last known lead {lead['name']} at {lead['address'] or '(gone)'}"
    if "job" in data:
        detail += f"; {_replica_text(data['job'], data['instance'])}"
    return RefusedError(
        {
            "code": "lead.unreachable",
            "status": 503,
            "title": "The lead cannot be asked",
            "detail": detail,
            "remedy": "Ask again in a few seconds, or ask another instance.",
        }
    )


def lead_text(data: dict[str, Any]) -> str:
    """Return who leads, since when, and how much it has to do."""
    lead, report = data["lead"], data["report"]
    text = f"{lead['name']} ({lead['zone']}) leads in epoch {report['epoch']}"
    text += f" since {report['since_s']:.1f} s"
    if not report["taken_over"]:
        text += f", TAKING OVER ({report['takeover_stage']})"
    elif not report["may_act"]:
        text += ", MAY NOT ACT: the store does not answer"
    text += f": {report['jobs']} jobs, {report['runs']} runs,"
    answering, usable = report["workers_answering"], report["workers_usable"]
    return f"{text} {answering} workers answer, {usable} were offered work"


def _waiting_parts(report: dict[str, Any]) -> Iterable[str]:
    reasons = [
        [reason, total["steps"], f"{total['longest_s']:.1f} s", total["overdue"]]
        for reason, total in report["reasons"].items()
    ]
    if not reasons:
        yield "no step waits"
    else:
        yield table(["WHY", "STEPS", "LONGEST", "OVERDUE"], reasons)
        yield _steps_table(report["steps"])
    unknown = report["unknown_jobs"]
    if unknown["count"]:
        rows = [
            [job["job"], job["why"], f"{job['since_s']:.1f} s"]
            for job in unknown["jobs"]
        ]
        yield f"{unknown['count']} accepted jobs are NOT KNOWN to the lead"
        yield table(["JOB", "WHY", "FOR"], rows)


def _steps_table(rows: list[dict[str, Any]]) -> str:
    return table(
        _STEP_HEADERS,
        [
            [
                row["step"],
                row["why"],
                f"{row['why_s']:.1f} s",
                f"{row['waits_s']:.1f} s",
                f"{row['waiting']} of {row['left']}",
                _fit_text(row),
                f"{row['with_ticket']}/{row['permitted']}/{row['asked']}",
                row["team"] or "-",
                _notes(row) or "-",
            ]
            for row in rows
        ],
    )


def _fit_text(row: dict[str, Any]) -> str:
    """Return how many tasks fit now: unreserved, permitted, and in the pool."""
    if "fit" not in row:
        return "-"
    return f"{row['fit_unreserved']}/{row['fit']}/{row['fit_pool']}"


def _notes(row: dict[str, Any]) -> str:
    notes = [name for name in ("overdue", "gang", "reserved") if row[name]]
    if row["workers"]:
        notes.append(f"on {','.join(row['workers'])}")
    if "team_limit" in row:
        used, limit = row["team_used"], row["team_limit"]
        pairs = [f"{u}/{most}" for u, most in zip(used, limit, strict=True) if most]
        notes.append(f"team uses {' '.join(pairs)}")
    return ", ".join(notes)


def _replica_text(job: dict[str, Any], instance: str) -> str:
    if not job["accepted"]:
        return f"{instance} knows no such accepted job"
    return f"{instance} knows the job as {job['status']}"


def _job_parts(job_id: str, job: dict[str, Any]) -> Iterable[str]:
    if not job["known"]:
        if "unknown" in job:
            why = job["unknown"]["why"]
            yield f"job {job_id} is accepted but NOT KNOWN to the lead: {why}"
        elif job["replica"]["accepted"]:
            yield f"job {job_id} has ended: {job['replica']['status']}"
        else:
            yield f"job {job_id} is not in the lead's replica: no such accepted job"
        return
    steps = job["steps"]
    yield (
        f"job {job_id} of team {job['team'] or '-'} in {job['queue']}:"
        f" {job['status']}, accepted {job['age_s']:.1f} s ago"
    )
    rows = [
        [
            step["step"],
            step["phase"],
            f"{step['left']} of {step['tasks']}",
            step["run_count"],
            ", ".join(map(str, step["after"])) or "-",
        ]
        for step in steps
    ]
    yield table(["STEP", "STATE", "LEFT", "RUNS", "AFTER STEPS"], rows)
    if job["step_count"] > len(steps):
        yield f"{job['step_count'] - len(steps)} further steps are not shown"
    rows_waiting = [step["waiting"] for step in steps if step["waiting"]]
    if rows_waiting:
        yield _steps_table(rows_waiting)
    runs = [
        [
            f"{step['step']}.{run['task']}",
            run["run"],
            run["worker"],
            run["phase"],
            f"{run['since_s']:.1f} s",
        ]
        for step in steps
        for run in step["runs"]
    ]
    if runs:
        yield table(_RUN_HEADERS, runs)
