"""The lists of teams and plans, and the keys, according to the log."""

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
    """Lists and keys in effect.

    :ivar version: incremented with each accepted change.
    :ivar changed_at: version of the last change of each row, by list and name, so
        that a conflict can name the earlier change.
    :ivar withdrawn: withdrawn keys by id; ``False`` while only peers have reported
        the withdrawal.  It then takes effect at once but is not in dumped states.
    """

    #: Maximum number of withdrawn keys that are kept.  Older ones are deleted with
    #: their digests and are then refused as unknown.
    MAX_WITHDRAWN = 2000
    #: Maximum number of rows whose last change is kept, including removed rows.
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
        """Check that the lists stay valid after the changes.

        :raises ListInvalidError: if they do not; names each problem.
        """
        self._merge_rows(rows)

    def _merge_rows(self, rows: tuple[Row, ...]) -> tuple[Any, Any, Any]:
        """Return the rows, plans and teams after the changes.

        Only the changed rows are checked, and teams whose plan was removed; the
        others were checked when they were accepted.  With 120 teams and 3,400
        changes a day each instance would otherwise check 400,000 rows a day.
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
        """Withdraw a key reported by a peer, even if the key is unknown.

        The report may arrive before the record that gives the key, which must then
        be refused from the start.
        """
        if key_id in self.withdrawn:
            return Verdict.REPEATED
        self.withdrawn[key_id] = False
        return Verdict.APPLIED

    def _apply_withdrawal(self, key_id: str) -> Verdict:
        if self.withdrawn.get(key_id):
            return Verdict.REPEATED
        # Removed first, so the order is that of the records at every reader,
        # regardless of earlier reports by peers.
        self.withdrawn.pop(key_id, None)
        self.withdrawn[key_id] = True
        if len(self.withdrawn) > self.MAX_WITHDRAWN:
            self._delete_oldest_withdrawn()
        return Verdict.APPLIED

    def _delete_oldest_withdrawn(self) -> None:
        recorded_ids = [
            key_id
            for key_id, recorded_in_log in self.withdrawn.items()
            if recorded_in_log
        ]
        for key_id in recorded_ids[: -self.MAX_WITHDRAWN]:
            del self.withdrawn[key_id]
            self.keys.pop(self.key_ids.pop(key_id, ""), None)

    def _apply_rows(self, change: RowsChanged) -> Verdict:
        if change.base != self.version:
            return Verdict.CONFLICT
        try:
            self.rows, self.plans, self.teams = self._merge_rows(change.rows)
        except ListInvalidError:
            # An unchecked record of another writer must not replace valid lists.
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
        """Return whether the key of a record was given or withdrawn by it."""
        if isinstance(body, KeyGiven):
            entry = KeyEntry(body.key_id, body.team, body.digest)
            return self.keys.get(body.digest) == entry
        if isinstance(body, KeyWithdrawn):
            return bool(self.withdrawn.get(body.key_id))
        return False

    def dump(self) -> Any:
        """Return the state as plain data, without withdrawals known only from peers."""
        return {
            "version": self.version,
            "rows": self.rows,
            "keys": [[k.key_id, k.team, k.digest] for k in self.keys.values()],
            "withdrawn": [
                key_id
                for key_id, recorded_in_log in self.withdrawn.items()
                if recorded_in_log
            ],
            "changed_at": self.changed_at,
        }

    def load(self, data: Any) -> None:
        """Replace the state by dumped plain data, or leave it unchanged on errors.

        Withdrawals that are already known stay in effect.

        :raises ListInvalidError: if the version would decrease.
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
        self.rows, self.plans, self.teams = fresh._merge_rows(rows)
        self.version = dumped.version
        self.keys = {d: KeyEntry(i, t, d) for i, t, d in dumped.keys}
        self.key_ids = {i: d for i, _, d in dumped.keys}
        withdrawn_before = list(self.withdrawn)
        self.withdrawn = dict.fromkeys(dumped.withdrawn, True)
        for key_id in withdrawn_before:
            self.withdraw(key_id)
        self.changed_at = dumped.changed_at


@attrs.frozen(slots=True)
class _Dump:
    """A dumped state; decoding it rejects malformed data before it is used."""

    version: int
    rows: dict[str, dict[str, dict[str, str]]]
    keys: list[tuple[str, str, str]]
    withdrawn: list[str]
    changed_at: dict[str, int]
