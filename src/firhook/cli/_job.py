"""Commands for jobs."""

from pathlib import Path
from typing import Any

from cyclopts import App

from firhook.cli._common import Common, path, read_json_file, table

app = App(name="job", help="Jobs of tasks.")


@app.command(name="submit")
def submit(file: Path, *, common: Common | None = None) -> None:
    """Submit the job that a JSON file describes; - reads standard input."""
    common = common or Common()
    data = common.ask("POST", path("jobs"), read_json_file(file))
    common.show(data, f"job {data['job']} is accepted in zone {data['zone']}")


@app.command(name="list")
def list_jobs(*, team: str = "", common: Common | None = None) -> None:
    """List jobs.

    :param team: list only the jobs of this team.
    """
    common = common or Common()
    data = common.ask("GET", path("jobs", team=team))
    rows = [
        [j["job_id"], j["team"], j["priority"], j["tasks"], j["zone"]]
        for j in data["jobs"]
    ]
    common.show(data, table(["JOB", "TEAM", "PRIORITY", "TASKS", "ZONE"], rows))


@app.command(name="show")
def show(job_id: str, *, team: str = "", common: Common | None = None) -> None:
    """Show the declaration of a job and the progress of its tasks.

    :param team: the job's team; needed with an operator's key.
    """
    common = common or Common()
    data = common.ask("GET", path("jobs", job_id, team=team))
    hidden = ("placed", "steps")
    rows = [[name, value] for name, value in data.items() if name not in hidden]
    rows.append(["states", _states(data)])
    common.show(data, table(["FIELD", "VALUE"], rows))


def _states(data: dict[str, Any]) -> str:
    """Return the number of tasks in each state."""
    counts: dict[str, int] = {}
    placed = data.get("placed", {}).values()
    for task in placed:
        state = task["outcome"] or "live"
        counts[state] = counts.get(state, 0) + 1
    waiting = int(data["tasks"]) - len(placed)
    if waiting > 0:
        counts["waiting"] = waiting
    return ", ".join(f"{n} {state}" for state, n in sorted(counts.items()))


@app.command(name="cancel")
def cancel(job_id: str, *, team: str = "", common: Common | None = None) -> None:
    """Cancel a job.

    :param team: the job's team; needed with an operator's key.
    """
    common = common or Common()
    data = common.ask("DELETE", path("jobs", job_id, team=team))
    common.show(data, f"job {data['job']} is being cancelled")


def explain(job_id: str, *, team: str = "", common: Common | None = None) -> None:
    """Show the scheduling decisions for a job, step by step, with their reasons.

    :param team: the job's team; needed with an operator's key.
    """
    common = common or Common()
    data = common.ask("GET", path("jobs", job_id, team=team))
    rows = [
        [i, t["attempt"], t["worker"], t["outcome"] or "live", t["reason"]]
        for i, t in data["placed"].items()
    ]
    text = table(["TASK", "ATTEMPT", "WORKER", "STATE", "WHY"], rows)
    steps = "\n".join(f"- {step}" for step in data["steps"])
    common.show(data, f"{data['team']}/{data['job_id']}\n{text}\n{steps}")
