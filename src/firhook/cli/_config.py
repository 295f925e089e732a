"""Commands for the two configuration lists, teams and plans."""

import re
import time
from pathlib import Path
from typing import Annotated, Any

import zmq
from cyclopts import App, Parameter

from firhook.cli._client import RefusedError, local_error
from firhook.cli._common import Common, path, read_file, table, write_file
from firhook.errors import ListInvalidError
from firhook.model import parse_list

app = App(name="config", help="The two lists: teams and plans.")

_VERSION_LINE = re.compile(r"^# version (\d+)$", re.MULTILINE)
_POLL_S = 0.2


@app.command(name="show")
def show(*, save: Path | None = None, common: Common | None = None) -> None:
    """Show the lists in force and their version.

    :param save: a directory to write ``plans.ini`` and ``teams.ini`` to.  Each
        file records the version it was made from, for ``config apply``.
    """
    common = common or Common()
    data = common.ask("GET", path("config"))
    version_line = f"# version {data['version']}\n"
    if save is not None:
        for name in ("plans", "teams"):
            write_file(save / f"{name}.ini", version_line + data[name])
    text = f"version {data['version']}\n\n# plans\n{data['plans']}\n# teams\n"
    common.show(data, text + data["teams"])


@app.command(name="apply")
def apply(
    *,
    plans: Path | None = None,
    teams: Path | None = None,
    base: int | None = None,
    common: Common | None = None,
) -> None:
    """Replace the lists in force by those of the files.

    Rows that are missing from a file are removed.  If another operator has
    changed the lists since the version that the files were made from, nothing
    is changed and the rows of that change are printed.

    :param plans: the list of plans, in INI.
    :param teams: the list of teams, in INI.
    :param base: the version the files were made from.  The default is the one
        in their ``# version N`` line, or else the one in force.
    """
    common = common or Common()
    files = {"plans": plans, "teams": teams}
    body: dict[str, Any] = {n: read_file(f) for n, f in files.items() if f is not None}
    if not body:
        raise _usage("give --plans FILE, --teams FILE or both")
    if base is None:
        base = _base_version(*body.values())
    if base is None:
        base = common.ask("GET", path("config"))["version"]
    body["base"] = base
    data = common.ask("POST", path("config"), body)
    common.show(data, f"version {data['version']} is accepted")


def _usage(detail: str) -> RefusedError:
    return local_error(
        "usage", "The command is not complete", detail, "Run it with --help."
    )


def _base_version(*texts: str) -> int | None:
    """Return the version that the files name in their version lines, if any."""
    found = {int(v) for text in texts for v in _VERSION_LINE.findall(text)}
    if len(found) > 1:
        raise _usage(f"the files were made from versions {sorted(found)}; give --base")
    return found.pop() if found else None


def _change_row(
    common: Common, list_name: str, name: str, values: dict[str, str] | None
) -> None:
    """Change one row, based on the version that is in force now."""
    data = common.ask("GET", path("config"))
    try:
        rows = {r.name: r.values for r in parse_list(list_name, data[list_name])}
    except ListInvalidError as exc:
        raise local_error(exc.code, exc.title, exc.detail, exc.remedy) from exc
    if values is None and name not in rows:
        raise local_error(
            "list.no_row",
            "The list has no such row",
            f"{list_name}: {name!r}",
            f"Use one of {', '.join(sorted(rows)) or '(none)'}.",
        )
    merged = None if values is None else {**(rows.get(name) or {}), **values}
    row = {"list_name": list_name, "name": name, "values": merged}
    answer = common.ask(
        "POST", path("config"), {"base": data["version"], "rows": [row]}
    )
    common.show(answer, f"version {answer['version']} is accepted")


@app.command(name="set-team")
def set_team(name: str, *, plan: str, common: Common | None = None) -> None:
    """Add a team, or move it to another plan.

    :param plan: the plan's name.
    """
    _change_row(common or Common(), "teams", name, {"plan": plan})


@app.command(name="set-plan")
def set_plan(
    name: str,
    *,
    share: float | None = None,
    limit: int | None = None,
    urgent: bool | None = None,
    slo_ms: float | None = None,
    slo_standard_ms: float | None = None,
    slo_bulk_ms: float | None = None,
    slo_target: float | None = None,
    common: Common | None = None,
) -> None:
    """Add a plan, or change the given options of an existing one.

    :param share: weight of each of its teams when the fleet is full.
    :param limit: maximum number of running requests and tasks per team.
    :param urgent: whether its teams may submit urgent jobs.
    :param slo_ms: waiting-time objective in milliseconds.
    :param slo_standard_ms: objective for standard requests, if it differs.
    :param slo_bulk_ms: objective for bulk requests, if it differs.
    :param slo_target: share of requests that must meet it, such as 0.99.
    """
    numbers = {
        "share": share,
        "limit": limit,
        "slo_ms": slo_ms,
        "slo_standard_ms": slo_standard_ms,
        "slo_bulk_ms": slo_bulk_ms,
        "slo_target": slo_target,
    }
    values = {n: f"{v:.15g}" for n, v in numbers.items() if v is not None}
    if urgent is not None:
        values["urgent"] = "yes" if urgent else "no"
    if not values:
        raise _usage("give at least one option to set")
    _change_row(common or Common(), "plans", name, values)


@app.command(name="remove-team")
def remove_team(name: str, *, common: Common | None = None) -> None:
    """Remove a team; requests with its keys are refused from then on."""
    _change_row(common or Common(), "teams", name, None)


@app.command(name="remove-plan")
def remove_plan(name: str, *, common: Common | None = None) -> None:
    """Remove a plan that no team uses."""
    _change_row(common or Common(), "plans", name, None)


def _versions(common: Common) -> dict[str, int]:
    return common.ask("GET", path("config", "versions"))["versions"]


@app.command(name="versions")
def versions(*, common: Common | None = None) -> None:
    """Show the version in force at each instance that is currently reachable."""
    common = common or Common()
    found = _versions(common)
    rows = sorted(found.items())
    common.show({"versions": found}, table(["INSTANCE", "VERSION"], rows))


@app.command(name="wait")
def wait(
    version: int,
    *,
    timeout: Annotated[float, Parameter(help="Maximum wait in seconds.")] = 17.0,
    common: Common | None = None,
) -> None:
    """Wait until a version, or a later one, is in force at all instances.

    Unreachable instances are not waited for; ``status`` lists those that can
    be reached.

    :param version: the version that ``config apply`` printed.
    """
    common = common or Common()
    deadline = time.monotonic() + timeout
    while True:
        found = _versions(common)
        behind = sorted(name for name, v in found.items() if v < version)
        if not behind:
            break
        if time.monotonic() >= deadline:
            raise local_error(
                "wait.timed_out",
                "The version is not in force everywhere yet",
                f"behind: {', '.join(f'{n} at {found[n]}' for n in behind)}",
                "See 'firhook status'; an unreachable zone catches up when it is back.",
            )
        time.sleep(_POLL_S)
    text = f"version {version} is in force at {len(found)} instances"
    common.show({"version": version, "versions": found}, text)


@app.command(name="curve")
def curve(*, json: Annotated[bool, Parameter(negative="")] = False) -> None:
    """Print a new CURVE key pair for [mesh]; all instances share one pair.

    :param json: print JSON.
    """
    public, secret = (part.decode() for part in zmq.curve_keypair())
    Common(json=json).show(
        {"curve_public": public, "curve_secret": secret},
        f"[mesh]\ncurve_public = {public}\ncurve_secret = {secret}",
    )
