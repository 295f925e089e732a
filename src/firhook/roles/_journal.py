"""The journal: follows the platform's log and appends to it.

Every other role learns what holds from records that this one has read back;
nobody acts on a record because its append was answered.
"""

import asyncio
import time
from collections import deque
from collections.abc import Sequence
from typing import Any

import attrs
from mode import Service

from firhook._bus import Bus
from firhook.errors import (
    LogOutcomeUnknownError,
    LogTrimmedError,
    LogUnavailableError,
    RecordMalformedError,
)
from firhook.events import Append, Applied, LogAge, RecordApplied
from firhook.kernel import Role, register_role
from firhook.logs import log
from firhook.model import Envelope, Verdict, decode_envelope, encode_envelope
from firhook.platform import LogPage, LogService
from firhook.state import StreamState

#: Records that go into one append; more would make one lost answer cost much.
MAX_BATCH = 256
_BACKOFF_S = 0.3


@attrs.define(slots=True, eq=False)
class _Pending:
    """A record on its way to the log and back."""

    envelope: Envelope
    fut: asyncio.Future[Applied]
    sent: bool = False


class Budget:
    """A token bucket over this instance's appends.

    :param per_s: appends a second; the log's rate is for everyone together,
        so each instance keeps to its part of it.
    """

    def __init__(self, per_s: float) -> None:
        self._per_s = per_s
        self._free_at = 0.0

    async def wait(self) -> None:
        """Wait until the next append is within the budget."""
        now = time.monotonic()
        self._free_at = max(self._free_at + 1 / self._per_s, now - 1.0)
        if self._free_at > now:
            await asyncio.sleep(self._free_at - now)


class Lane(Service):
    """Follows one stream and appends to it, one append in flight at a time."""

    def __init__(
        self,
        stream: str,
        lane: str,
        state: StreamState,
        service: LogService,
        bus: Bus,
        budget: Budget,
        poll_s: float,
    ) -> None:
        super().__init__()
        self.stream = stream
        self.stream_state = state
        self.seen_end_at = float("-inf")
        self._lane = lane
        self._service = service
        self._bus = bus
        self._budget = budget
        self._poll_s = poll_s
        self._seq = 0
        self._queue: deque[_Pending] = deque()
        self._pending: dict[int, _Pending] = {}
        self._wake = asyncio.Event()

    async def append(self, query: Append) -> Applied:
        """Append a record and wait until it was read back."""
        self._seq += 1
        fut = asyncio.get_running_loop().create_future()
        item = _Pending(Envelope(self._lane, self._seq, query.body), fut)
        self._pending[self._seq] = item
        self._queue.append(item)
        self._wake.set()
        try:
            return await asyncio.wait_for(fut, query.deadline_s)
        except TimeoutError:
            return self._give_up(item)
        finally:
            self._pending.pop(item.envelope.seq, None)

    def _give_up(self, item: _Pending) -> Applied:
        if not item.sent:
            if item in self._queue:
                self._queue.remove(item)
            raise LogUnavailableError("the log did not answer", retry_after_s=2.0)
        raise LogOutcomeUnknownError("the log has not confirmed", retry_after_s=2.0)

    @Service.task
    async def _append_loop(self) -> None:
        while not self.should_stop:
            await self._wake.wait()
            self._wake.clear()
            while self._queue and not self.should_stop:
                await self._budget.wait()
                batch = [
                    self._queue.popleft()
                    for _ in range(min(len(self._queue), MAX_BATCH))
                ]
                if batch:
                    await self._send(batch)

    async def _send(self, batch: Sequence[_Pending]) -> None:
        """Append a batch until the log has it or readers have seen it.

        The answer can be lost after the records landed.  Sending the same
        ids again is safe, since readers pass over a record they have seen.
        """
        payloads = [encode_envelope(item.envelope) for item in batch]
        while not self.should_stop:
            if all(item.fut.done() for item in batch):
                return
            for item in batch:
                item.sent = True
            try:
                await self._service.append(self.stream, payloads)
            except LogUnavailableError:
                await self.sleep(_BACKOFF_S)
            except LogOutcomeUnknownError as exc:
                log("log.outcome_unknown", level="warning", code=exc.code)
                await self.sleep(_BACKOFF_S)
            else:
                return

    @Service.task
    async def _follow_loop(self) -> None:
        while not self.should_stop:
            try:
                page = await self._service.read(
                    self.stream, self.stream_state.next_offset, self._poll_s
                )
                self._apply(page)
            except LogTrimmedError as exc:
                log("log.trimmed", level="error", stream=self.stream, code=exc.code)
                self.stream_state.next_offset = int(exc.extra["first"])
            except LogUnavailableError as exc:
                log("log.unavailable", level="warning", code=exc.code)
                await self.sleep(_BACKOFF_S)

    def _apply(self, page: LogPage) -> None:
        for entry in page.entries:
            try:
                envelope = decode_envelope(entry.payload)
            except RecordMalformedError as exc:
                log("record.malformed", level="error", code=exc.code, detail=str(exc))
                self.stream_state.skip(entry.offset)
                continue
            verdict = self.stream_state.apply(entry.offset, envelope)
            self._bus.publish(
                RecordApplied(self.stream, entry.offset, envelope, verdict)
            )
            self._resolve(entry.offset, envelope, verdict)
        if self.stream_state.next_offset >= page.end:
            self.seen_end_at = time.monotonic()

    def _resolve(self, offset: int, envelope: Envelope, verdict: Verdict) -> None:
        if envelope.lane != self._lane:
            return
        item = self._pending.get(envelope.seq)
        if item is not None and not item.fut.done():
            item.fut.set_result(Applied(offset, verdict))


@register_role("journal")
class Journal(Role):
    """Keeps the states of all streams in step with the log."""

    def wire(self) -> None:
        """Offer appends and the log's age."""
        budget = Budget(self.cfg.append_budget_per_s / self.cfg.instances_expected)
        self.lanes = {
            stream: Lane(
                stream,
                self.kernel.lane,
                state,
                self.platform.log,
                self.bus,
                budget,
                self.cfg.log_poll_s,
            )
            for stream, state in self.states.by_stream.items()
        }
        self.bus.answer(Append, self._append)
        self.bus.answer(LogAge, self._age)

    def on_init_dependencies(self) -> list[Any]:
        """Return the lanes, one for each stream."""
        return list(self.lanes.values())

    async def _append(self, query: Append) -> Applied:
        return await self.lanes[query.stream].append(query)

    async def _age(self, query: LogAge) -> float:
        return time.monotonic() - self.lanes[query.stream].seen_end_at
