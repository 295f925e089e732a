"""Lists and keys: publishes changes and answers who may do what."""

import hashlib
import secrets

from firhook.errors import (
    ConfigConflictError,
    KeyMissingError,
    KeyUnknownError,
    NotPermittedError,
)
from firhook.events import Append, RecordApplied
from firhook.kernel import Role, register_role
from firhook.logs import log
from firhook.model import KeyGiven, KeyWithdrawn, RowsChanged, Verdict
from firhook.queries import (
    Authenticate,
    ChangeRows,
    GiveKey,
    GivenKey,
    Principal,
    WithdrawKey,
)


def digest_of(key: str) -> str:
    """Return the digest under which a key is kept."""
    return hashlib.sha256(key.encode()).hexdigest()


@register_role("config")
class Config(Role):
    """Publishes changes of lists and keys, and knows those in force."""

    def wire(self) -> None:
        """Offer changes and checks of keys."""
        self.bus.answer(ChangeRows, self._change_rows)
        self.bus.answer(GiveKey, self._give_key)
        self.bus.answer(WithdrawKey, self._withdraw_key)
        self.bus.answer(Authenticate, self._authenticate)
        self.bus.subscribe(RecordApplied, self._on_record)

    async def _change_rows(self, query: ChangeRows) -> int:
        state = self.states.config
        if query.base == state.version:
            state.check_rows(query.rows)
        applied = await self.bus.ask(
            Append("config", RowsChanged(query.base, query.rows, query.author))
        )
        if applied.verdict is not Verdict.APPLIED:
            raise ConfigConflictError(
                f"the change was made from version {query.base}; "
                f"version {state.version} is in force",
                version=state.version,
                changed=state.changed_since(query.base),
            )
        return query.base + 1

    async def _give_key(self, query: GiveKey) -> GivenKey:
        if query.team and query.team not in self.states.config.teams:
            raise NotPermittedError(f"team {query.team!r} is not in the list")
        key = f"fk_{secrets.token_urlsafe(24)}"
        key_id = secrets.token_hex(6)
        record = KeyGiven(key_id, query.team, digest_of(key))
        await self.bus.ask(Append("config", record, urgent=True))
        return GivenKey(key_id, query.team, key)

    async def _withdraw_key(self, query: WithdrawKey) -> int:
        if query.key_id not in self.states.config.key_ids:
            raise KeyUnknownError(f"key {query.key_id!r}")
        record = KeyWithdrawn(query.key_id)
        applied = await self.bus.ask(Append("config", record, urgent=True))
        return applied.offset

    async def _authenticate(self, query: Authenticate) -> Principal:
        scheme, _, key = query.authorization.partition(" ")
        if scheme.lower() != "bearer" or not key.strip():
            raise KeyMissingError("no bearer key in the Authorization header")
        digest = digest_of(key.strip())
        if secrets.compare_digest(digest, self.cfg.operator_digest):
            return Principal("root", "")
        entry = self.states.config.find_key(digest)
        return Principal(entry.key_id, entry.team)

    def _on_record(self, event: RecordApplied) -> None:
        if event.stream != "config":
            return
        log(
            "config.applied",
            kind=type(event.envelope.body).__name__,
            verdict=event.verdict.value,
            version=self.states.config.version,
            offset=event.offset,
        )
