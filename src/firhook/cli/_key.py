"""Commands for keys."""

import hashlib
import secrets
import sys
from typing import Annotated

from cyclopts import App, Parameter

from firhook.cli._common import Common, path, table

app = App(name="key", help="Keys of teams and operators.")


@app.command(name="give")
def give(team: str = "", *, common: Common | None = None) -> None:
    """Give a team a key and show it once; without a team, an operator's key."""
    common = common or Common()
    data = common.ask("POST", path("keys"), {"team": team})
    common.show(data, f"key id {data['key_id']}\nkey    {data['key']}")


@app.command(name="withdraw")
def withdraw(key_id: str, *, common: Common | None = None) -> None:
    """Withdraw a key for good."""
    common = common or Common()
    data = common.ask("DELETE", path("keys", key_id))
    common.show(data, f"key {key_id} is withdrawn")


@app.command(name="list")
def list_keys(*, team: str = "", common: Common | None = None) -> None:
    """List the keys' ids.

    :param team: only this team's keys.
    """
    common = common or Common()
    data = common.ask("GET", path("keys"))
    if team:
        data["keys"] = [k for k in data["keys"] if k["team"] == team]
    rows = [
        [k["key_id"], k["team"] or "(operator)", "yes" if k["withdrawn"] else "no"]
        for k in data["keys"]
    ]
    common.show(data, table(["KEY ID", "TEAM", "WITHDRAWN"], rows))


@app.command(name="digest")
def digest(
    *,
    stdin: Annotated[bool, Parameter(negative="")] = False,
    json: Annotated[bool, Parameter(negative="")] = False,
) -> None:
    """Make a first operator's key and its digest for [keys] operator_digest.

    :param stdin: take the key from the first line of standard input instead;
        a key on the command line would show in the list of processes.
    :param json: print JSON.
    """
    key = sys.stdin.readline().strip() if stdin else f"fk_{secrets.token_urlsafe(24)}"
    hashed = hashlib.sha256(key.encode()).hexdigest()
    data = {"operator_digest": hashed} if stdin else {"key": key}
    text = f"[keys]\noperator_digest = {hashed}"
    if not stdin:
        text = f"key    {key}\n\n{text}"
    Common(json=json).show({**data, "operator_digest": hashed}, text)
