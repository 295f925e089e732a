"""Once: keyed non-idempotent requests run at most once over the fleet."""

import asyncio
import base64
from typing import Any

import msgspec

from firhook.decide.claims import ClaimTable, Phase, SendStatus
from firhook.errors import (
    FirhookError,
    LogOutcomeUnknownError,
    LogUnavailableError,
    OnceInProgressError,
    OnceMismatchError,
    OnceUnknownError,
)
from firhook.events import Append, AskPeer, Members, RecordApplied, RegisterPeerHandler
from firhook.kernel import Role, register_role
from firhook.logs import log
from firhook.model import (
    ClaimInquiry,
    ClaimInquiryAnswer,
    OnceClaimed,
    OnceDone,
    OnceReleased,
    Verdict,
)
from firhook.platform.clients import EndpointResponse
from firhook.queries import (
    OnceBegin,
    OnceFinish,
    OnceLost,
    OnceRelease,
    OnceSending,
)
from firhook.state import OnceEntry
from firhook.tasks import log_failure

#: Longer bodies are not stored: each would be in the log and in the memory of
#: every instance.  A repeat then gets the status and is told so.
MAX_STORED_BODY = 64 * 1024
#: Outcomes that wait for the log to come back, and the size of their bodies.
MAX_UNSTORED = 2000
MAX_UNSTORED_BYTES = 4 << 20

_CLAIM_DEADLINE_S = 3.0
_STORE_DEADLINE_S = 5.0
_STORE_RETRY_S = 1.0
_INQUIRY_S = 1.0
#: An outcome is in the log some milliseconds after its caller was answered.
_OUTCOME_WAIT_S = 1.0
_COME_BACK_S = 1.0
_LOG_COME_BACK_S = 2.0


@register_role("once")
class Once(Role):
    """Claims, stores and repeats outcomes."""

    def register_handlers(self) -> None:
        """Offer claims."""
        self._book = ClaimTable()
        self._unstored: dict[str, EndpointResponse] = {}
        self._unstored_bytes = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._outcomes: dict[str, set[asyncio.Future[None]]] = {}
        bus = self.bus
        bus.register_handler(OnceBegin, self._begin)
        bus.register_handler(OnceFinish, self._finish)
        bus.register_handler(OnceRelease, self._give_back)
        bus.subscribe(OnceSending, self._on_sending)
        bus.subscribe(OnceLost, self._on_lost)
        bus.subscribe(RecordApplied, self._on_record)

    async def on_start(self) -> None:
        """Answer peers that ask what became of a claim."""
        self.bus.publish(RegisterPeerHandler(ClaimInquiry, self._on_inquiry))

    async def drain(self) -> None:
        """Store the outcomes that are still on their way to the log."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=_STORE_DEADLINE_S)

    async def on_stop(self) -> None:
        """Stop storing; what is not stored is unknown to repeats."""
        for task in self._tasks:
            task.cancel()

    # -- claiming --------------------------------------------------------

    async def _begin(self, query: OnceBegin) -> EndpointResponse | None:
        known = self.states.once.entries.get(query.key)
        if known is None and self._book.find(query.key) is None:
            if await self._claim(query):
                return None
            known = self.states.once.entries.get(query.key)
        if known is None:
            # Being claimed here, or given back just now.
            raise OnceInProgressError(
                "a claim on the key is being settled", retry_after_s=_COME_BACK_S
            )
        return await self._repeat(query.key, known, query.body)

    async def _claim(self, query: OnceBegin) -> bool:
        """Claim the key; return whether the claim was seen to be first."""
        nonce = self._book.begin(query.key)
        claim = OnceClaimed(query.key, query.team, query.body, self.kernel.lane, nonce)
        won = False
        try:
            append = Append("once", claim, deadline_s=_CLAIM_DEADLINE_S)
            applied = await self.bus.ask(append)
            won = applied.verdict is Verdict.APPLIED
        except LogOutcomeUnknownError as exc:
            # The claim may land yet, but its request is never sent: it is out
            # of the book from now on, and given back as soon as it is read.
            raise LogUnavailableError(
                "the log has not confirmed the claim in time; "
                "this attempt is not sent, now or later",
                retry_after_s=_LOG_COME_BACK_S,
            ) from exc
        finally:
            if won:
                self._book.set_phase(claim.key, Phase.HELD)
            else:
                self._book.remove(claim.key)
                self._on_own_entry(claim)
        return won

    def _on_record(self, event: RecordApplied) -> None:
        body = event.envelope.body
        if event.stream != "once" or event.verdict is not Verdict.APPLIED:
            return
        if isinstance(body, OnceDone):
            for fut in self._outcomes.get(body.key, ()):
                if not fut.done():
                    fut.set_result(None)
        if isinstance(body, OnceClaimed) and body.holder == self.kernel.lane:
            self._on_own_claim(body)

    def _on_own_claim(self, claim: OnceClaimed) -> None:
        """Give back a claim that was given up here and landed all the same."""
        if self._book.send_status(claim.key, claim.nonce) is SendStatus.NEVER:
            self._keep(self._release(claim.key, claim.holder, claim.nonce))

    def _on_own_entry(self, claim: OnceClaimed) -> None:
        """Give back a claim that landed just as its caller went away."""
        entry = self.states.once.entries.get(claim.key)
        if entry is not None and (entry.holder, entry.nonce) == (
            claim.holder,
            claim.nonce,
        ):
            self._on_own_claim(claim)

    # -- repeats ---------------------------------------------------------

    async def _repeat(self, key: str, known: OnceEntry, body: str) -> EndpointResponse:
        if known.body != body:
            raise OnceMismatchError("the request differs from the one with this key")
        if known.done:
            return stored_answer(known)
        if key in self._unstored and known.holder == self.kernel.lane:
            return _repeated(self._unstored[key])
        sent = await self._ask_holder(key, known)
        if sent is SendStatus.DONE:
            await self._wait_done(key)
        # The outcome may have been read while the holder was asked.
        known = self.states.once.entries.get(key, known)
        if known.done:
            return stored_answer(known)
        if sent in (SendStatus.RUNNING, SendStatus.DONE):
            raise OnceInProgressError(
                "the first request is being run", retry_after_s=_COME_BACK_S
            )
        if sent is SendStatus.NEVER:
            self._keep(self._release(key, known.holder, known.nonce))
            raise OnceInProgressError(
                "the first request was never sent; its claim is being given back",
                retry_after_s=_COME_BACK_S,
                ran="no",
            )
        raise OnceUnknownError("the outcome of the first request was lost")

    async def _wait_done(self, key: str) -> None:
        """Wait a moment for an outcome that is on its way to the log."""
        entry = self.states.once.entries.get(key)
        if entry is None or entry.done:
            return
        fut = asyncio.get_running_loop().create_future()
        self._outcomes.setdefault(key, set()).add(fut)
        try:
            await asyncio.wait({fut}, timeout=_OUTCOME_WAIT_S)
        finally:
            self._outcomes[key].discard(fut)
            if not self._outcomes[key]:
                del self._outcomes[key]

    async def _ask_holder(self, key: str, known: OnceEntry) -> SendStatus:
        """Return what the holder of a claim says became of its request.

        A holder that does not answer may have gone after it sent the request,
        or may just be cut off; that it is heard by gossip tells which.
        """
        if known.holder == self.kernel.lane:
            return self._book.send_status(key, known.nonce)
        peer = known.holder.partition("#")[0]
        ask = ClaimInquiry(key, known.holder, known.nonce)
        try:
            answer = await self.bus.ask(AskPeer(peer, ask, _INQUIRY_S))
            return SendStatus(answer.sent)
        except (FirhookError, ValueError, AttributeError):
            members = await self.bus.ask(Members())
            alive = known.holder in {m.incarnation for m in members}
            return SendStatus.RUNNING if alive else SendStatus.UNKNOWN

    async def _on_inquiry(self, ask: ClaimInquiry) -> ClaimInquiryAnswer:
        if ask.holder != self.kernel.lane:
            # An earlier run of this instance, which took its book with it.
            return ClaimInquiryAnswer(ask.key, SendStatus.UNKNOWN.value)
        return ClaimInquiryAnswer(
            ask.key, self._book.send_status(ask.key, ask.nonce).value
        )

    # -- ends ------------------------------------------------------------

    def _on_sending(self, event: OnceSending) -> None:
        self._book.set_phase(event.key, Phase.SENDING)

    def _on_lost(self, event: OnceLost) -> None:
        claim = self._book.find(event.key)
        if claim is None:
            return
        if claim.phase is Phase.HELD:
            self._abandon(event.key, claim.nonce)
        else:
            self._book.set_phase(event.key, Phase.OUTCOME_UNKNOWN)

    async def _finish(self, query: OnceFinish) -> None:
        """Store an outcome without making its caller wait for the log."""
        claim = self._book.find(query.key)
        if claim is None:
            return
        size = len(query.answer.body)
        full = self._unstored_bytes + size > MAX_UNSTORED_BYTES
        if full or len(self._unstored) >= MAX_UNSTORED:
            # The log has been out for long.  Repeats are told "unknown",
            # which is true of what they can be told, and nothing runs twice.
            log("once.outcome_dropped", level="error", key=query.key)
            self._book.set_phase(query.key, Phase.OUTCOME_UNKNOWN)
            return
        self._book.set_phase(query.key, Phase.DONE)
        self._unstored[query.key] = query.answer
        self._unstored_bytes += size
        self._keep(self._store(query.key, claim.nonce, query.answer))

    async def _store(self, key: str, nonce: int, answer: EndpointResponse) -> None:
        whole = len(answer.body) <= MAX_STORED_BODY
        data = base64.b64encode(answer.body).decode() if whole else ""
        kind = dict(answer.headers).get("Content-Type", "")
        lane = self.kernel.lane
        record = OnceDone(key, answer.status, kind, data, whole, lane, nonce)
        await self._append_until_read(record)
        self._book.settle(key)
        self._unstored.pop(key, None)
        self._unstored_bytes -= len(answer.body)

    async def _give_back(self, query: OnceRelease) -> None:
        claim = self._book.find(query.key)
        if claim is not None:
            self._abandon(query.key, claim.nonce)

    def _abandon(self, key: str, nonce: int) -> None:
        self._book.remove(key)
        self._keep(self._release(key, self.kernel.lane, nonce))

    async def _release(self, key: str, holder: str, nonce: int) -> None:
        await self._append_until_read(OnceReleased(key, holder, nonce))

    async def _append_until_read(self, record: Any) -> None:
        """Append a record until it has been read back, whatever the log does.

        Both kinds of record name their claim, and count once at most, so one
        that lands again after an unknown outcome does nothing.
        """
        while not self.should_stop:
            try:
                query = Append("once", record, deadline_s=_STORE_DEADLINE_S)
                await self.bus.ask(query)
                return
            except Exception as exc:
                log("once.not_stored", level="warning", key=record.key, why=repr(exc))
                await asyncio.sleep(_STORE_RETRY_S)

    def _keep(self, coro: Any) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(log_failure("once.task_failed"))


def _repeated(answer: EndpointResponse) -> EndpointResponse:
    return EndpointResponse(
        answer.status, (*answer.headers, ("X-Repeated", "yes")), answer.body
    )


def stored_answer(known: OnceEntry) -> EndpointResponse:
    """Return a stored outcome as the answer to a repeat.

    A body that was too long to be kept is not made up: the caller gets the
    status, which says whether it was run, and is told that this is all.
    """
    if known.whole:
        headers = (("Content-Type", known.content_type), ("X-Repeated", "yes"))
        return EndpointResponse(known.status, headers, base64.b64decode(known.data))
    body = {
        "code": "once.body_not_kept",
        "title": "The request was run; the body of its answer is not kept",
        "ran": "yes",
        "status": known.status,
    }
    headers = (
        ("Content-Type", "application/json"),
        ("X-Repeated", "status-only"),
    )
    return EndpointResponse(known.status, headers, msgspec.json.encode(body))
