"""The config role: publishes changes to lists and keys, and authenticates callers."""

import hashlib
import secrets

from firhook.decide.staleness import (
    PeerLogView,
    ServiceLevel,
    StalenessPolicy,
    allowed_service,
    view_age_s,
)
from firhook.errors import (
    ConfigConflictError,
    KeyMissingError,
    KeyUnknownError,
    ListInvalidError,
    LogOutcomeUnknownError,
    NotPermittedError,
    NotReadyError,
    ZoneStaleError,
)
from firhook.events import (
    Append,
    LogAge,
    Members,
    RecordApplied,
    StreamReady,
    StreamRebuilt,
)
from firhook.kernel import Role, register_role
from firhook.logs import log
from firhook.model import KeyGiven, KeyWithdrawn, RowsChanged, Verdict
from firhook.queries import (
    Authenticate,
    ChangeRows,
    CheckFresh,
    GiveKey,
    GivenKey,
    Principal,
    WithdrawKey,
)

#: A zone that is cut off cannot know when it will be reachable again.  Another
#: zone can carry the load if all callers of the cut-off zone retry there at this
#: interval.
_STALE_RETRY_S = 5.0
_NOT_READY_RETRY_S = 1.0


def digest_key(key: str) -> str:
    """Return the digest that is stored in place of a key."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


@register_role("config")
class Config(Role):
    """Publishes changes to lists and keys, and checks keys against those in force."""

    def register_handlers(self) -> None:
        """Register the handlers for changes and for key checks."""
        cfg = self.cfg
        self._policy = StalenessPolicy(
            cfg.stale == "refuse", cfg.key_stale_s, cfg.key_stale_max_s
        )
        self.bus.register_handler(ChangeRows, self._change_rows)
        self.bus.register_handler(GiveKey, self._give_key)
        self.bus.register_handler(WithdrawKey, self._withdraw_key)
        self.bus.register_handler(Authenticate, self._authenticate)
        self.bus.register_handler(CheckFresh, self._check_fresh)
        self.bus.subscribe(RecordApplied, self._on_record)
        self.bus.subscribe(StreamRebuilt, self._on_rebuilt)

    # -- changes ---------------------------------------------------------

    async def _change_rows(self, query: ChangeRows) -> int:
        state = self.states.config
        if query.base < state.version:
            raise self._conflict(query.base)
        if query.base == state.version:
            state.check_rows(query.rows)
        record = RowsChanged(query.base, query.rows, query.author)
        applied = await self.bus.ask(Append("config", record))
        if applied.verdict is Verdict.APPLIED:
            return query.base + 1
        if applied.verdict is Verdict.IGNORED:
            # This instance had not read the base version when it checked the rows.
            raise ListInvalidError(
                f"the change is not valid on version {query.base}, which is in force"
            )
        raise self._conflict(query.base)

    def _conflict(self, base: int) -> ConfigConflictError:
        state = self.states.config
        changed = state.changed_since(base)
        return ConfigConflictError(
            f"the change was made from version {base}; version {state.version} is "
            f"in force; changed since: {', '.join(changed[:20]) or 'nothing'}",
            version=state.version,
            changed=changed,
        )

    async def _give_key(self, query: GiveKey) -> GivenKey:
        if query.team and query.team not in self.states.config.teams:
            raise NotPermittedError(f"team {query.team!r} is not in the list")
        key = f"fk_{secrets.token_urlsafe(24)}"
        key_id = secrets.token_hex(6)
        record = KeyGiven(key_id, query.team, digest_key(key))
        applied = await self.bus.ask(Append("config", record, urgent=True))
        if applied.verdict is not Verdict.APPLIED:
            raise LogOutcomeUnknownError(f"key {key_id} was not accepted", ran="no")
        return GivenKey(key_id, query.team, key)

    async def _withdraw_key(self, query: WithdrawKey) -> int:
        if query.key_id not in self.states.config.key_ids:
            raise KeyUnknownError(f"key {query.key_id!r}")
        record = KeyWithdrawn(query.key_id)
        applied = await self.bus.ask(Append("config", record, urgent=True))
        return applied.offset

    # -- checks ----------------------------------------------------------

    async def _authenticate(self, query: Authenticate) -> Principal:
        scheme, _, key = query.authorization.partition(" ")
        if scheme.lower() != "bearer" or not key.strip():
            raise KeyMissingError("no bearer key in the Authorization header")
        digest = digest_key(key.strip())
        if secrets.compare_digest(digest, self.cfg.operator_digest):
            return Principal("root", "")
        if not await self.bus.ask(StreamReady("config")):
            raise NotReadyError(
                "the lists and keys are not fully read yet",
                retry_after_s=_NOT_READY_RETRY_S,
            )
        entry = self.states.config.find_key(digest)
        await self._require_fresh(ServiceLevel.IDEMPOTENT)
        return Principal(entry.key_id, entry.team)

    async def _check_fresh(self, query: CheckFresh) -> None:
        await self._require_fresh(
            ServiceLevel.IDEMPOTENT if query.idempotent else ServiceLevel.ALL
        )

    async def _require_fresh(self, required: ServiceLevel) -> None:
        age_s = await self._view_age()
        if allowed_service(self._policy, age_s) < required:
            raise ZoneStaleError(
                f"the last word of withdrawn keys came {age_s:.0f} s ago",
                retry_after_s=_STALE_RETRY_S,
            )

    async def _view_age(self) -> float:
        own_s = await self.bus.ask(LogAge("config"))
        if own_s < self._policy.stale_s:
            return own_s
        members = await self.bus.ask(Members())
        views = [
            PeerLogView(m.age_s, m.gossip.log_age_s, m.gossip.config_offset)
            for m in members
        ]
        return view_age_s(own_s, self.states.config.next_offset, views)

    # -- logging of applied records --------------------------------------

    def _on_record(self, event: RecordApplied) -> None:
        if event.stream != "config":
            return
        log(
            "config.applied",
            level="info" if event.verdict is Verdict.APPLIED else "warning",
            kind=type(event.envelope.body).__name__,
            verdict=event.verdict.value,
            version=self.states.config.version,
            offset=event.offset,
        )

    def _on_rebuilt(self, event: StreamRebuilt) -> None:
        if event.stream == "config":
            log("config.rebuilt", version=self.states.config.version)
