"""Commands of the tool, grouped as operators think of them."""

import sys
from pathlib import Path
from typing import Annotated, Any

import attrs
import msgspec
from cyclopts import App, Parameter

from firhook import __version__
from firhook.cli._client import RefusedError, call, default_key, default_url

EXIT_REFUSED = 1

app = App(name="firhook", version=__version__, help="Operate a firhook cell.")
config = App(name="config", help="The two lists: teams and plans.")
key = App(name="key", help="Keys of teams and operators.")
job = App(name="job", help="Jobs of tasks.")
for group in (config, key, job):
    app.command(group)


@Parameter(name="*")
@attrs.define
class Common:
    """Options of every command."""

    url: Annotated[str, Parameter(help="Address of the cell; or FIRHOOK_URL.")] = (
        attrs.field(factory=default_url)
    )
    key: Annotated[str, Parameter(help="Your key; or FIRHOOK_KEY.")] = attrs.field(
        factory=default_key
    )
    json: Annotated[bool, Parameter(help="Print JSON.", negative="")] = False

    def ask(self, method: str, path: str, body: Any = None) -> Any:
        """Call the cell."""
        return call(self.url, self.key, method, path, body)

    def show(self, data: Any, text: str) -> None:
        """Print the data as JSON, or the text for people."""
        if self.json:
            print(msgspec.json.encode(data).decode())
        else:
            print(text)


def table(headers: list[str], rows: list[list[Any]]) -> str:
    """Return rows as aligned text."""
    cells = [headers] + [[str(c) for c in row] for row in rows]
    widths = [max(len(r[i]) for r in cells) for i in range(len(headers))]
    return "\n".join(
        "  ".join(c.ljust(w) for c, w in zip(r, widths, strict=True)).rstrip()
        for r in cells
    )


@config.command(name="show")
def config_show(*, common: Common | None = None) -> None:
    """Show the lists in force and their version."""
    common = common or Common()
    data = common.ask("GET", "/v1/config")
    text = f"version {data['version']}\n\n# plans\n{data['plans']}\n# teams\n"
    common.show(data, text + data["teams"])


@config.command(name="apply")
def config_apply(
    *,
    plans: Path | None = None,
    teams: Path | None = None,
    base: int | None = None,
    common: Common | None = None,
) -> None:
    """Bring the lists in force to what the files say.

    :param plans: the list of plans, in INI.
    :param teams: the list of teams, in INI.
    :param base: the version the files were made from; the one in force if not
        given.
    """
    common = common or Common()
    if base is None:
        base = common.ask("GET", "/v1/config")["version"]
    body: dict[str, Any] = {"base": base}
    if plans is not None:
        body["plans"] = plans.read_text(encoding="utf-8")
    if teams is not None:
        body["teams"] = teams.read_text(encoding="utf-8")
    data = common.ask("POST", "/v1/config", body)
    common.show(data, f"version {data['version']} is accepted")


@key.command(name="give")
def key_give(team: str = "", *, common: Common | None = None) -> None:
    """Give a team a key and show it once; without a team, an operator's key."""
    common = common or Common()
    data = common.ask("POST", "/v1/keys", {"team": team})
    common.show(data, f"key id {data['key_id']}\nkey    {data['key']}")


@key.command(name="withdraw")
def key_withdraw(key_id: str, *, common: Common | None = None) -> None:
    """Withdraw a key for good."""
    common = common or Common()
    data = common.ask("DELETE", f"/v1/keys/{key_id}")
    common.show(data, f"key {key_id} is withdrawn")


@key.command(name="list")
def key_list(*, common: Common | None = None) -> None:
    """List the keys' ids."""
    common = common or Common()
    data = common.ask("GET", "/v1/keys")
    rows = [
        [k["key_id"], k["team"] or "(operator)", "yes" if k["withdrawn"] else "no"]
        for k in data["keys"]
    ]
    common.show(data, table(["KEY ID", "TEAM", "WITHDRAWN"], rows))


@job.command(name="submit")
def job_submit(file: Path, *, common: Common | None = None) -> None:
    """Submit the job that a JSON file describes."""
    common = common or Common()
    body = msgspec.json.decode(file.read_bytes())
    data = common.ask("POST", "/v1/jobs", body)
    common.show(data, f"job {data['job']} is accepted in zone {data['zone']}")


@job.command(name="list")
def job_list(*, team: str = "", common: Common | None = None) -> None:
    """List jobs."""
    common = common or Common()
    data = common.ask("GET", f"/v1/jobs?team={team}" if team else "/v1/jobs")
    rows = [
        [j["job_id"], j["team"], j["priority"], j["tasks"], j["zone"]]
        for j in data["jobs"]
    ]
    common.show(data, table(["JOB", "TEAM", "PRIORITY", "TASKS", "ZONE"], rows))


@job.command(name="cancel")
def job_cancel(job_id: str, *, team: str = "", common: Common | None = None) -> None:
    """Cancel a job."""
    common = common or Common()
    data = common.ask(
        "DELETE", f"/v1/jobs/{job_id}" + (f"?team={team}" if team else "")
    )
    common.show(data, f"job {data['job']} is being cancelled")


@app.command
def explain(job_id: str, *, team: str = "", common: Common | None = None) -> None:
    """Say what was decided for a job, step by step, and why."""
    common = common or Common()
    data = common.ask("GET", f"/v1/jobs/{job_id}" + (f"?team={team}" if team else ""))
    rows = [
        [i, t["attempt"], t["worker"], t["outcome"] or "live", t["reason"]]
        for i, t in data["placed"].items()
    ]
    text = table(["TASK", "ATTEMPT", "WORKER", "STATE", "WHY"], rows)
    steps = "\n".join(f"- {step}" for step in data["steps"])
    common.show(data, f"{data['team']}/{data['job_id']}\n{text}\n{steps}")


@app.command
def status(*, common: Common | None = None) -> None:
    """Show this instance, its peers and the zones' leads."""
    common = common or Common()
    data = common.ask("GET", "/v1/status")
    rows = [[m["name"], m["zone"], m["config_version"]] for m in data["members"]]
    rows.insert(0, [data["instance"], data["zone"], data["config_version"]])
    leads = table(["ZONE", "LEAD"], [[z, i] for z, i in data["leads"].items()])
    peers = table(["INSTANCE", "ZONE", "CONFIG"], rows)
    common.show(data, f"{peers}\n\n{leads}")


@app.command
def report(*, common: Common | None = None) -> None:
    """Show how fast each team burns its service level's error budget."""
    common = common or Common()
    data = common.ask("GET", "/v1/report")
    rows = [
        [r["team"], r["class"], r["requests"], r["p50_ms"], r["p99_ms"], r["burn_rate"]]
        for r in data["rows"]
    ]
    headers = ["TEAM", "CLASS", "REQUESTS", "P50 MS", "P99 MS", "BURN RATE"]
    common.show(data, table(headers, rows))


def main() -> None:
    """Run the tool; exit 1 with the remedy if the cell refused."""
    try:
        app()
    except RefusedError as exc:
        problem = exc.problem
        print(f"{problem.get('title')}: {problem.get('detail')}", file=sys.stderr)
        print(f"[{problem.get('code')}] {problem.get('remedy')}", file=sys.stderr)
        sys.exit(EXIT_REFUSED)
