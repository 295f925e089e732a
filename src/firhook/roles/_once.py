"""Once: keyed non-idempotent requests run at most once over the fleet."""

import base64
import contextlib

from firhook.errors import (
    FirhookError,
    OnceInProgressError,
    OnceMismatchError,
    OnceUnknownError,
)
from firhook.events import Append, Members
from firhook.kernel import Role, register_role
from firhook.model import OnceClaimed, OnceDone, OnceReleased, Verdict
from firhook.platform import Exchange
from firhook.queries import OnceBegin, OnceFinish, OnceGiveBack, OnceSending
from firhook.state import OnceEntry


@register_role("once")
class Once(Role):
    """Claims, stores and repeats outcomes."""

    def wire(self) -> None:
        """Offer claims."""
        self._sending: set[str] = set()
        self.bus.answer(OnceBegin, self._begin)
        self.bus.answer(OnceFinish, self._finish)
        self.bus.answer(OnceGiveBack, self._give_back)
        self.bus.subscribe(OnceSending, lambda event: self._sending.add(event.key))

    async def _begin(self, query: OnceBegin) -> Exchange | None:
        known = self.states.once.entries.get(query.key)
        if known is None:
            claim = OnceClaimed(query.key, query.team, query.body, self.kernel.lane)
            applied = await self.bus.ask(Append("once", claim, deadline_s=3.0))
            if applied.verdict is Verdict.APPLIED:
                return None
            known = self.states.once.entries.get(query.key)
        if known is None:
            raise OnceInProgressError(
                "the claim has just been given back", retry_after_s=1.0
            )
        return await self._repeat(known, query.body)

    async def _repeat(self, known: OnceEntry, body: str) -> Exchange:
        if known.body != body:
            raise OnceMismatchError("the request differs from the one with this key")
        if known.done:
            headers = (("Content-Type", known.content_type), ("X-Repeated", "yes"))
            return Exchange(known.status, headers, base64.b64decode(known.data))
        members = await self.bus.ask(Members())
        alive = {m.incarnation for m in members} | {self.kernel.lane}
        if known.holder in alive:
            raise OnceInProgressError(
                "the first request is being run", retry_after_s=1.0
            )
        raise OnceUnknownError("the instance that ran it has gone")

    async def _finish(self, query: OnceFinish) -> None:
        self._sending.discard(query.key)
        answer = query.answer
        data = base64.b64encode(answer.body).decode()
        kind = dict(answer.headers).get("Content-Type", "")
        with contextlib.suppress(FirhookError):
            await self.bus.ask(
                Append("once", OnceDone(query.key, answer.status, kind, data))
            )

    async def _give_back(self, query: OnceGiveBack) -> None:
        self._sending.discard(query.key)
        with contextlib.suppress(FirhookError):
            await self.bus.ask(
                Append("once", OnceReleased(query.key, self.kernel.lane))
            )
