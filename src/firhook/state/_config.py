"""The two lists and the keys, as the log has them."""

from typing import Any

import attrs

from firhook.errors import KeyRefusedError, ListInvalidError
from firhook.model import (
    KeyGiven,
    KeyWithdrawn,
    Plan,
    Row,
    RowsChanged,
    Team,
    Verdict,
    check_plan,
    check_team,
)
from firhook.state._base import StreamState


@attrs.frozen(slots=True)
class KeyEntry:
    """A key by its digest; ``team`` is empty for an operator's key."""

    key_id: str
    team: str
    digest: str


class ConfigState(StreamState):
    """Lists and keys in force.

    :ivar version: rises by one with each change that was accepted.
    :ivar changed_at: the version at which each row last changed, by list and
        name, so that a conflict can say what came first.
    """

    def __init__(self) -> None:
        super().__init__()
        self.version = 0
        self.rows: dict[str, dict[str, dict[str, str]]] = {"teams": {}, "plans": {}}
        self.plans: dict[str, Plan] = {}
        self.teams: dict[str, Team] = {}
        self.keys: dict[str, KeyEntry] = {}
        self.key_ids: dict[str, str] = {}
        self.withdrawn: dict[str, bool] = {}
        self.changed_at: dict[str, int] = {}

    def plan_of(self, team: str) -> Plan | None:
        """Return the plan of a team, or ``None`` if the team is unknown."""
        entry = self.teams.get(team)
        return self.plans[entry.plan] if entry else None

    def find_key(self, digest: str) -> KeyEntry:
        """Return the key with the digest.

        :raises KeyRefusedError: if it is unknown or withdrawn.
        """
        entry = self.keys.get(digest)
        if entry is None or entry.key_id in self.withdrawn:
            raise KeyRefusedError("the key is unknown or withdrawn")
        return entry

    def check_rows(self, rows: tuple[Row, ...]) -> None:
        """Check that the lists stay valid with the rows changed.

        :raises ListInvalidError: naming each problem.
        """
        self._merged(rows)

    def _merged(self, rows: tuple[Row, ...]) -> tuple[Any, Any, Any]:
        merged = {name: dict(table) for name, table in self.rows.items()}
        for row in rows:
            if row.list_name not in merged:
                raise ListInvalidError(f"list {row.list_name!r}: give teams or plans")
            if row.values is None:
                merged[row.list_name].pop(row.name, None)
            else:
                merged[row.list_name][row.name] = dict(row.values)
        plans = {n: check_plan(Row("plans", n, v)) for n, v in merged["plans"].items()}
        teams = {
            n: check_team(Row("teams", n, v), plans) for n, v in merged["teams"].items()
        }
        return merged, plans, teams

    def apply_body(self, offset: int, lane: str, body: Any) -> Verdict:
        """Apply a change of the lists or of a key."""
        if isinstance(body, RowsChanged):
            return self._apply_rows(body)
        if isinstance(body, KeyGiven):
            return self._apply_key(body)
        if isinstance(body, KeyWithdrawn):
            return self.withdraw(body.key_id)
        return Verdict.IGNORED

    def withdraw(self, key_id: str) -> Verdict:
        """Withdraw a key for good, also one not known yet.

        A peer's word may come before the record that gives the key; the key
        must then be refused from the start.
        """
        if key_id in self.withdrawn:
            return Verdict.REPEATED
        self.withdrawn[key_id] = True
        return Verdict.APPLIED

    def _apply_rows(self, change: RowsChanged) -> Verdict:
        if change.base != self.version:
            return Verdict.CONFLICT
        try:
            self.rows, self.plans, self.teams = self._merged(change.rows)
        except ListInvalidError:
            # A record that another writer put on the log unchecked must not
            # take the good lists out of force.
            return Verdict.IGNORED
        self.version += 1
        for row in change.rows:
            self.changed_at[f"{row.list_name}/{row.name}"] = self.version
        return Verdict.APPLIED

    def _apply_key(self, given: KeyGiven) -> Verdict:
        if given.key_id in self.key_ids or given.digest in self.keys:
            return Verdict.CONFLICT
        entry = KeyEntry(given.key_id, given.team, given.digest)
        self.keys[given.digest] = entry
        self.key_ids[given.key_id] = given.digest
        return Verdict.APPLIED

    def changed_since(self, version: int) -> list[str]:
        """Return the rows that changed after a version, as ``list/name``."""
        return sorted(name for name, at in self.changed_at.items() if at > version)

    def dump(self) -> Any:
        """Return the state as plain data."""
        return {
            "version": self.version,
            "rows": self.rows,
            "keys": [[k.key_id, k.team, k.digest] for k in self.keys.values()],
            "withdrawn": list(self.withdrawn),
            "changed_at": self.changed_at,
        }

    def load(self, data: Any) -> None:
        """Replace the state; withdrawals known already are never forgotten."""
        self.rows = {"teams": {}, "plans": {}}
        rows = tuple(
            Row(list_name, name, values)
            for list_name in ("plans", "teams")
            for name, values in data["rows"][list_name].items()
        )
        self.rows, self.plans, self.teams = self._merged(rows)
        self.version = data["version"]
        self.keys = {d: KeyEntry(i, t, d) for i, t, d in data["keys"]}
        self.key_ids = {i: d for i, _, d in data["keys"]}
        for key_id in data["withdrawn"]:
            self.withdraw(key_id)
        self.changed_at = dict(data["changed_at"])
