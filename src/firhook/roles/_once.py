"""The once role: runs keyed non-idempotent requests at most once in the fleet."""

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

#: Longer bodies are not stored, since each would take space in the log and in
#: the memory of every instance.  A repeat then gets only the status, and a note
#: that says so.
MAX_STORED_BODY_BYTES = 64 * 1024
#: Limits on outcomes that are not yet in the log: their number, and the size of
#: their bodies.  They pile up during an outage of the log.
MAX_PENDING_OUTCOMES = 2000
MAX_PENDING_OUTCOME_BYTES = 4 << 20

_CLAIM_DEADLINE_S = 3.0
_STORE_DEADLINE_S = 5.0
_STORE_RETRY_S = 1.0
_INQUIRY_TIMEOUT_S = 1.0
#: How long a repeat waits for an outcome that its holder is storing.  It is
#: usually in the log some milliseconds after the caller was answered.
_OUTCOME_TIMEOUT_S = 1.0
_RETRY_AFTER_S = 1.0
_LOG_RETRY_AFTER_S = 2.0


@register_role("once")
class Once(Role):
    """Claims idempotency keys, and stores and repeats outcomes."""

    def register_handlers(self) -> None:
        """Register the handlers for claims."""
        self._claims = ClaimTable()
        self._pending_outcomes: dict[str, EndpointResponse] = {}
        self._pending_bytes = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._outcome_waiters: dict[str, set[asyncio.Future[None]]] = {}
        bus = self.bus
        bus.register_handler(OnceBegin, self._on_begin)
        bus.register_handler(OnceFinish, self._on_finish)
        bus.register_handler(OnceRelease, self._on_release)
        bus.subscribe(OnceSending, self._on_sending)
        bus.subscribe(OnceLost, self._on_outcome_lost)
        bus.subscribe(RecordApplied, self._on_record)

    async def on_start(self) -> None:
        """Register the handler for peers that inquire about a claim."""
        self.bus.publish(RegisterPeerHandler(ClaimInquiry, self._on_inquiry))

    async def drain(self) -> None:
        """Wait for the outcomes that are still being stored."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=_STORE_DEADLINE_S)

    async def on_stop(self) -> None:
        """Stop storing; repeats of requests not stored get an unknown outcome."""
        for task in self._tasks:
            task.cancel()

    # -- claiming --------------------------------------------------------

    async def _on_begin(self, query: OnceBegin) -> EndpointResponse | None:
        entry = self.states.once.entries.get(query.key)
        if entry is None and self._claims.find(query.key) is None:
            if await self._claim(query):
                return None
            entry = self.states.once.entries.get(query.key)
        if entry is None:
            # The key is being claimed here or was just released.
            raise OnceInProgressError(
                "a claim on the key is being settled", retry_after_s=_RETRY_AFTER_S
            )
        return await self._answer_repeat(query.key, entry, query.body)

    async def _claim(self, query: OnceBegin) -> bool:
        """Claim the key and return whether the claim is confirmed to be the first."""
        nonce = self._claims.begin(query.key)
        claim = OnceClaimed(query.key, query.team, query.body, self.kernel.lane, nonce)
        is_first = False
        try:
            append = Append("once", claim, deadline_s=_CLAIM_DEADLINE_S)
            applied = await self.bus.ask(append)
            is_first = applied.verdict is Verdict.APPLIED
        except LogOutcomeUnknownError as exc:
            # The claim may still land, but its request is never sent: the claim
            # is removed from the table now and released once it is read.
            raise LogUnavailableError(
                "the log has not confirmed the claim in time; "
                "this attempt will not be sent",
                retry_after_s=_LOG_RETRY_AFTER_S,
            ) from exc
        finally:
            if is_first:
                self._claims.set_phase(claim.key, Phase.HELD)
            else:
                self._claims.remove(claim.key)
                self._release_own_entry(claim)
        return is_first

    def _on_record(self, event: RecordApplied) -> None:
        body = event.envelope.body
        if event.stream != "once" or event.verdict is not Verdict.APPLIED:
            return
        if isinstance(body, OnceDone):
            for fut in self._outcome_waiters.get(body.key, ()):
                if not fut.done():
                    fut.set_result(None)
        if isinstance(body, OnceClaimed) and body.holder == self.kernel.lane:
            self._release_unsent_claim(body)

    def _release_unsent_claim(self, claim: OnceClaimed) -> None:
        """Release a claim that landed after this instance had given it up."""
        if self._claims.send_status(claim.key, claim.nonce) is SendStatus.NEVER:
            self._start_task(self._release(claim.key, claim.holder, claim.nonce))

    def _release_own_entry(self, claim: OnceClaimed) -> None:
        """Release a claim that landed just as its caller disconnected."""
        entry = self.states.once.entries.get(claim.key)
        if entry is not None and (entry.holder, entry.nonce) == (
            claim.holder,
            claim.nonce,
        ):
            self._release_unsent_claim(claim)

    # -- repeats ---------------------------------------------------------

    async def _answer_repeat(
        self, key: str, entry: OnceEntry, body: str
    ) -> EndpointResponse:
        if entry.body != body:
            raise OnceMismatchError("the request differs from the one with this key")
        if entry.done:
            return build_stored_response(entry)
        if key in self._pending_outcomes and entry.holder == self.kernel.lane:
            return _with_repeat_header(self._pending_outcomes[key])
        sent = await self._query_holder(key, entry)
        if sent is SendStatus.DONE:
            await self._wait_for_outcome(key)
        # The outcome may have been read during the inquiry.
        entry = self.states.once.entries.get(key, entry)
        if entry.done:
            return build_stored_response(entry)
        if sent in (SendStatus.RUNNING, SendStatus.DONE):
            raise OnceInProgressError(
                "the first request is still running", retry_after_s=_RETRY_AFTER_S
            )
        if sent is SendStatus.NEVER:
            self._start_task(self._release(key, entry.holder, entry.nonce))
            raise OnceInProgressError(
                "the first request was never sent; its claim is being released",
                retry_after_s=_RETRY_AFTER_S,
                ran="no",
            )
        raise OnceUnknownError("the outcome of the first request was lost")

    async def _wait_for_outcome(self, key: str) -> None:
        """Wait up to ``_OUTCOME_TIMEOUT_S`` for an outcome to be read from the log."""
        entry = self.states.once.entries.get(key)
        if entry is None or entry.done:
            return
        fut = asyncio.get_running_loop().create_future()
        self._outcome_waiters.setdefault(key, set()).add(fut)
        try:
            await asyncio.wait({fut}, timeout=_OUTCOME_TIMEOUT_S)
        finally:
            self._outcome_waiters[key].discard(fut)
            if not self._outcome_waiters[key]:
                del self._outcome_waiters[key]

    async def _query_holder(self, key: str, entry: OnceEntry) -> SendStatus:
        """Ask the holder of a claim whether it sent the request.

        A holder that does not answer may have died after it sent the request,
        or may only be unreachable.  If its gossip still arrives, the request
        counts as running; otherwise its outcome is unknown.
        """
        if entry.holder == self.kernel.lane:
            return self._claims.send_status(key, entry.nonce)
        peer = entry.holder.partition("#")[0]
        inquiry = ClaimInquiry(key, entry.holder, entry.nonce)
        try:
            answer = await self.bus.ask(AskPeer(peer, inquiry, _INQUIRY_TIMEOUT_S))
            return SendStatus(answer.sent)
        except (FirhookError, ValueError, AttributeError):
            members = await self.bus.ask(Members())
            holder_is_alive = entry.holder in {m.incarnation for m in members}
            return SendStatus.RUNNING if holder_is_alive else SendStatus.UNKNOWN

    async def _on_inquiry(self, inquiry: ClaimInquiry) -> ClaimInquiryAnswer:
        if inquiry.holder != self.kernel.lane:
            # The holder is an earlier incarnation of this instance, whose claims
            # were only in its memory.
            return ClaimInquiryAnswer(inquiry.key, SendStatus.UNKNOWN.value)
        return ClaimInquiryAnswer(
            inquiry.key, self._claims.send_status(inquiry.key, inquiry.nonce).value
        )

    # -- outcomes --------------------------------------------------------

    def _on_sending(self, event: OnceSending) -> None:
        self._claims.set_phase(event.key, Phase.SENDING)

    def _on_outcome_lost(self, event: OnceLost) -> None:
        claim = self._claims.find(event.key)
        if claim is None:
            return
        if claim.phase is Phase.HELD:
            self._abandon(event.key, claim.nonce)
        else:
            self._claims.set_phase(event.key, Phase.OUTCOME_UNKNOWN)

    async def _on_finish(self, query: OnceFinish) -> None:
        """Store an outcome without making the caller wait for the log."""
        claim = self._claims.find(query.key)
        if claim is None:
            return
        size = len(query.answer.body)
        exceeds_bytes = self._pending_bytes + size > MAX_PENDING_OUTCOME_BYTES
        if exceeds_bytes or len(self._pending_outcomes) >= MAX_PENDING_OUTCOMES:
            # The log has been unavailable for too long.  Repeats get "outcome
            # unknown", which is correct, and nothing runs twice.
            log("once.outcome_dropped", level="error", key=query.key)
            self._claims.set_phase(query.key, Phase.OUTCOME_UNKNOWN)
            return
        self._claims.set_phase(query.key, Phase.DONE)
        self._pending_outcomes[query.key] = query.answer
        self._pending_bytes += size
        self._start_task(self._store(query.key, claim.nonce, query.answer))

    async def _store(self, key: str, nonce: int, answer: EndpointResponse) -> None:
        is_body_stored = len(answer.body) <= MAX_STORED_BODY_BYTES
        data = base64.b64encode(answer.body).decode() if is_body_stored else ""
        content_type = dict(answer.headers).get("Content-Type", "")
        lane = self.kernel.lane
        record = OnceDone(
            key, answer.status, content_type, data, is_body_stored, lane, nonce
        )
        await self._append_with_retries(record)
        self._claims.settle(key)
        self._pending_outcomes.pop(key, None)
        self._pending_bytes -= len(answer.body)

    async def _on_release(self, query: OnceRelease) -> None:
        claim = self._claims.find(query.key)
        if claim is not None:
            self._abandon(query.key, claim.nonce)

    def _abandon(self, key: str, nonce: int) -> None:
        self._claims.remove(key)
        self._start_task(self._release(key, self.kernel.lane, nonce))

    async def _release(self, key: str, holder: str, nonce: int) -> None:
        await self._append_with_retries(OnceReleased(key, holder, nonce))

    async def _append_with_retries(self, record: Any) -> None:
        """Append a record, and retry on errors until it has been read back.

        An ``OnceDone`` or ``OnceReleased`` record names its claim and takes effect
        at most once, so a second copy after an unknown outcome has no effect.
        """
        while not self.should_stop:
            try:
                query = Append("once", record, deadline_s=_STORE_DEADLINE_S)
                await self.bus.ask(query)
                return
            except Exception as exc:
                log("once.not_stored", level="warning", key=record.key, why=repr(exc))
                await asyncio.sleep(_STORE_RETRY_S)

    def _start_task(self, coro: Any) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(log_failure("once.task_failed"))


def _with_repeat_header(answer: EndpointResponse) -> EndpointResponse:
    return EndpointResponse(
        answer.status, (*answer.headers, ("X-Repeated", "yes")), answer.body
    )


def build_stored_response(entry: OnceEntry) -> EndpointResponse:
    """Return the response to a repeat of a request whose outcome is stored.

    If the body was too long to store, the response gives the original status
    in a JSON body and says that the original body is not kept.
    """
    if entry.whole:
        headers = (("Content-Type", entry.content_type), ("X-Repeated", "yes"))
        return EndpointResponse(entry.status, headers, base64.b64decode(entry.data))
    body = {
        "code": "once.body_not_kept",
        "title": "The request was run; the body of its answer is not kept",
        "ran": "yes",
        "status": entry.status,
    }
    headers = (
        ("Content-Type", "application/json"),
        ("X-Repeated", "status-only"),
    )
    return EndpointResponse(entry.status, headers, msgspec.json.encode(body))
