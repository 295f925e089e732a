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
    """Create a key for a team, or for an operator without one, and show it once."""
    common = common or Common()
    data = common.ask("POST", path("keys"), {"team": team})
    common.show(data, f"key id {data['key_id']}\nkey    {data['key']}")


@app.command(name="withdraw")
def withdraw(key_id: str, *, common: Common | None = None) -> None:
    """Withdraw a key permanently."""
    common = common or Common()
    data = common.ask("DELETE", path("keys", key_id))
    common.show(data, f"key {key_id} is withdrawn")


@app.command(name="list")
def list_keys(*, team: str = "", common: Common | None = None) -> None:
    """List the ids of all keys.

    :param team: list only the keys of this team.
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
    """Create the first operator's key and its digest for [keys] operator_digest.

    :param stdin: read the key from the first line of standard input instead.
        A key on the command line would be visible in the process list.
    :param json: print JSON.
    """
    key = sys.stdin.readline().strip() if stdin else f"fk_{secrets.token_urlsafe(24)}"
    hashed = hashlib.sha256(key.encode()).hexdigest()
    data = {"operator_digest": hashed} if stdin else {"key": key}
    text = f"[keys]\noperator_digest = {hashed}"
    if not stdin:
        text = f"key    {key}\n\n{text}"
    Common(json=json).show({**data, "operator_digest": hashed}, text)
