"""The two lists and the keys, as the log has them."""

from typing import Any

import attrs
import msgspec

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
    :ivar withdrawn: the keys withdrawn; ``False`` while only peers have said
        so.  Their word counts at once, but is no part of what the log says.
    """

    #: Withdrawn keys that are still listed by name; older ones are forgotten
    #: with their digests, and so are refused as unknown.
    MAX_WITHDRAWN = 2000
    #: Rows whose last change is remembered, removed ones included.
    MAX_CHANGED = 2000

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
        if entry.team and entry.team not in self.teams:
            raise KeyRefusedError(f"team {entry.team!r} is not in the list any more")
        return entry

    def check_rows(self, rows: tuple[Row, ...]) -> None:
        """Check that the lists stay valid with the rows changed.

        :raises ListInvalidError: naming each problem.
        """
        self._merged(rows)

    def _merged(self, rows: tuple[Row, ...]) -> tuple[Any, Any, Any]:
        """Return the rows, plans and teams with some rows changed.

        Only the rows given are checked, and the teams again if a plan went:
        the others were checked when they were taken.  At 120 teams and 3,400
        changes a day each instance would else check 400,000 rows a day.
        """
        merged = {name: dict(table) for name, table in self.rows.items()}
        plans, teams = dict(self.plans), dict(self.teams)
        for row in rows:
            if row.list_name not in merged:
                raise ListInvalidError(f"list {row.list_name!r}: give teams or plans")
            if row.values is None:
                merged[row.list_name].pop(row.name, None)
                (plans if row.list_name == "plans" else teams).pop(row.name, None)
                continue
            merged[row.list_name][row.name] = dict(row.values)
            if row.list_name == "plans":
                plans[row.name] = check_plan(row)
        for row in rows:
            if row.list_name == "teams" and row.name in merged["teams"]:
                values = merged["teams"][row.name]
                teams[row.name] = check_team(Row("teams", row.name, values), plans)
        for team in teams.values():
            if team.plan not in plans:
                check_team(Row("teams", team.name, {"plan": team.plan}), plans)
        return merged, plans, teams

    def apply_body(self, offset: int, lane: str, body: Any) -> Verdict:
        """Apply a change of the lists or of a key."""
        if isinstance(body, RowsChanged):
            return self._apply_rows(body)
        if isinstance(body, KeyGiven):
            return self._apply_key(body)
        if isinstance(body, KeyWithdrawn):
            return self._apply_withdrawal(body.key_id)
        return Verdict.IGNORED

    def withdraw(self, key_id: str) -> Verdict:
        """Withdraw a key on a peer's word, also one not known yet.

        A peer's word may come before the record that gives the key; the key
        must then be refused from the start.
        """
        if key_id in self.withdrawn:
            return Verdict.REPEATED
        self.withdrawn[key_id] = False
        return Verdict.APPLIED

    def _apply_withdrawal(self, key_id: str) -> Verdict:
        if self.withdrawn.get(key_id):
            return Verdict.REPEATED
        # Taken out first, so that the order is that of the records at every
        # reader, whatever peers said before.
        self.withdrawn.pop(key_id, None)
        self.withdrawn[key_id] = True
        if len(self.withdrawn) > self.MAX_WITHDRAWN:
            self._forget_withdrawn()
        return Verdict.APPLIED

    def _forget_withdrawn(self) -> None:
        recorded = [key_id for key_id, known in self.withdrawn.items() if known]
        for key_id in recorded[: -self.MAX_WITHDRAWN]:
            del self.withdrawn[key_id]
            self.keys.pop(self.key_ids.pop(key_id, ""), None)

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
            name = f"{row.list_name}/{row.name}"
            self.changed_at.pop(name, None)
            self.changed_at[name] = self.version
        for name in list(self.changed_at)[: -self.MAX_CHANGED]:
            del self.changed_at[name]
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

    def has_applied(self, lane: str, body: Any) -> bool:
        """Return whether a key is given or withdrawn as a record says."""
        if isinstance(body, KeyGiven):
            entry = KeyEntry(body.key_id, body.team, body.digest)
            return self.keys.get(body.digest) == entry
        if isinstance(body, KeyWithdrawn):
            return bool(self.withdrawn.get(body.key_id))
        return False

    def dump(self) -> Any:
        """Return the state as plain data, without what only peers said."""
        return {
            "version": self.version,
            "rows": self.rows,
            "keys": [[k.key_id, k.team, k.digest] for k in self.keys.values()],
            "withdrawn": [key_id for key_id, known in self.withdrawn.items() if known],
            "changed_at": self.changed_at,
        }

    def load(self, data: Any) -> None:
        """Replace the state, all of it or nothing.

        A withdrawal known already is never forgotten.

        :raises ListInvalidError: if the version would go back.
        """
        dumped = msgspec.convert(data, _Dump)
        if dumped.version < self.version:
            raise ListInvalidError(
                f"version {dumped.version} is older than {self.version}"
            )
        fresh = ConfigState()
        rows = tuple(
            Row(list_name, name, values)
            for list_name in ("plans", "teams")
            for name, values in dumped.rows[list_name].items()
        )
        self.rows, self.plans, self.teams = fresh._merged(rows)
        self.version = dumped.version
        self.keys = {d: KeyEntry(i, t, d) for i, t, d in dumped.keys}
        self.key_ids = {i: d for i, _, d in dumped.keys}
        by_peers = list(self.withdrawn)
        self.withdrawn = dict.fromkeys(dumped.withdrawn, True)
        for key_id in by_peers:
            self.withdraw(key_id)
        self.changed_at = dumped.changed_at


@attrs.frozen(slots=True)
class _Dump:
    """A dumped state, so that a malformed one is refused before it is used."""

    version: int
    rows: dict[str, dict[str, dict[str, str]]]
    keys: list[tuple[str, str, str]]
    withdrawn: list[str]
    changed_at: dict[str, int]
