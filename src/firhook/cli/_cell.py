"""Commands that cover the whole cell: teams, status, endpoints, events, drain."""

from typing import Annotated, Any

import msgspec
from cyclopts import App, Parameter

from firhook.cli._client import local_error, stream
from firhook.cli._common import Common, path, table

team = App(name="team", help="Teams, their plans and their usage.")

_TEAM_HEADERS = ["TEAM", "PLAN", "SHARE", "LIMIT", "REQUESTS", "WAITING"]


def _team_row(row: dict[str, Any]) -> list[Any]:
    return [
        row["team"],
        row["plan"],
        f"{row['share']:g}",
        row["limit"],
        row["requests_running"],
        row["requests_waiting"],
    ]


@team.command(name="list")
def team_list(*, common: Common | None = None) -> None:
    """List all teams with their plans and their requests across the fleet."""
    common = common or Common()
    data = common.ask("GET", path("teams"))
    common.show(data, table(_TEAM_HEADERS, [_team_row(r) for r in data["teams"]]))


@team.command(name="show")
def team_show(name: str, *, common: Common | None = None) -> None:
    """Show one team with its plan and its requests across the fleet."""
    common = common or Common()
    rows = common.ask("GET", path("teams"))["teams"]
    found = [row for row in rows if row["team"] == name]
    if not found:
        raise local_error(
            "team.unknown",
            "No such team",
            f"team {name!r}",
            "List them with 'firhook team list' and name one of them.",
        )
    common.show(found[0], table(_TEAM_HEADERS, [_team_row(found[0])]))


def status(*, common: Common | None = None) -> None:
    """Show this instance, its peers and the zones' leads."""
    common = common or Common()
    data = common.ask("GET", path("status"))
    rows = [
        [m["name"], m["zone"], m["config_version"], f"{m['age_s']:.1f} s ago"]
        for m in data["members"]
    ]
    rows.insert(0, [data["instance"], data["zone"], data["config_version"], "this"])
    leads = table(
        ["ZONE", "LEAD"], [[z, i or "(none)"] for z, i in data["leads"].items()]
    )
    peers = table(["INSTANCE", "ZONE", "CONFIG", "HEARD"], rows)
    common.show(data, f"{peers}\n\n{leads}")


def endpoints(*, kind: str = "", zone: str = "", common: Common | None = None) -> None:
    """List the entry instances, runners and workers that the platform reports.

    :param kind: list only ``entry``, ``runner`` or ``worker`` endpoints.
    :param zone: list only the endpoints of this zone.
    """
    common = common or Common()
    data = common.ask("GET", path("endpoints"))
    selected = [
        e
        for e in data["endpoints"]
        if kind in ("", e["kind"]) and zone in ("", e["zone"])
    ]
    rows = [
        [
            e["name"],
            e["kind"],
            e["zone"],
            e["address"],
            e["service"] or e["rack"],
            e["in_flight"],
            "leaving" if e["leaving"] else e["mark"] or "live",
        ]
        for e in selected
    ]
    headers = ["NAME", "KIND", "ZONE", "ADDRESS", "SERVICE/RACK", "IN FLIGHT", "STATE"]
    common.show({"endpoints": selected}, table(headers, rows))


def drain(
    ops_url: Annotated[str, Parameter(help="The instance's own [listen] ops address.")],
    *,
    common: Common | None = None,
) -> None:
    """Stop one instance gracefully, like SIGTERM, without aborting any request."""
    common = common or Common()
    common.url = ops_url if "://" in ops_url else f"http://{ops_url}"
    data = common.ask("POST", path("drain"))
    common.show(data, f"instance {data['instance']} is draining")


def events(
    *,
    after: int = 0,
    wait: Annotated[float, Parameter(help="Seconds to wait for more.")] = 0.0,
    common: Common | None = None,
) -> None:
    """Print the latest repair steps: starts, ends, adoptions, marks and leads.

    :param after: print only steps with a higher sequence number.
    """
    common = common or Common()

    def print_step(step: dict[str, Any]) -> None:
        if common.json:
            print(msgspec.json.encode(step).decode(), flush=True)
        else:
            line = f"{step['seq']:>7} {step['kind']:<9} {step['subject']}: "
            print(line + step["detail"], flush=True)

    target = path("events", after=str(after), wait=f"{wait:g}")
    stream(common.url.rstrip("/"), common.key, target, print_step)
