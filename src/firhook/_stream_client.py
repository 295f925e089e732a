"""One stream of the log: followed, appended to and rebuilt."""

import asyncio
import time
from collections.abc import Sequence
from typing import Any

from mode import Service

from firhook._append_rate_limiter import AppendRateLimiter
from firhook._bus import Bus
from firhook.decide.outbox import Outbox, OutgoingRecord
from firhook.decide.snapshot_timing import INITIAL_AGE_FRACTION
from firhook.errors import (
    FirhookError,
    LogOutcomeUnknownError,
    LogTrimmedError,
    LogUnavailableError,
    NotReadyError,
    RecordMalformedError,
)
from firhook.events import Append, Applied, RecordApplied, StreamRebuilt
from firhook.logs import log
from firhook.model import (
    Envelope,
    Marker,
    SnapshotChunk,
    Verdict,
    decode_envelope,
    encode_envelope,
)
from firhook.platform.clients import LogEntry, LogPage, LogService
from firhook.state import Snapshot, SnapshotFinder, StreamState

_BACKOFF_S = 0.3
#: An answer is on its way back for no longer than this, or counts as old.
_ANSWER_S = 1.0
_RETRY_AFTER_S = 2.0


class StreamClient(Service):
    """Follows one stream and appends to it, one append in flight at a time.

    :param stream: the stream's name.
    :param lane: this run of this instance.
    :param state: what the stream's records are applied to.
    :param poll_s: how long the log may wait for a new record to answer with.
    :param carry_s: seconds after which a stream is carried forward.
    :ivar ready: whether the state is whole.  Until it is, nothing is appended:
        a decision made from part of a state would be recorded as sound.
    :ivar end_seen_at: when the end of the stream was last seen.
    :ivar snapshot_read_at: when a whole snapshot was last read.
    """

    def __init__(
        self,
        stream: str,
        lane: str,
        state: StreamState,
        service: LogService,
        bus: Bus,
        budget: AppendRateLimiter,
        poll_s: float,
        carry_s: float = 3600.0,
    ) -> None:
        super().__init__()
        self.stream = stream
        self.stream_state = state
        self.ready = False
        self.end_seen_at = float("-inf")
        self.snapshot_read_at = time.monotonic() - INITIAL_AGE_FRACTION * carry_s
        self._lane = lane
        self._service = service
        self._bus = bus
        self._budget = budget
        self._poll_s = poll_s
        self._outbox = Outbox(lane)
        self._rebuild: SnapshotFinder | None = None
        self._reached = True
        self._wake = asyncio.Event()
        self.appends = 0
        self.sent_bytes = 0

    @property
    def age_s(self) -> float:
        """Seconds since the end of the stream was seen; inf if not ready."""
        return time.monotonic() - self.end_seen_at if self.ready else float("inf")

    # -- appending -------------------------------------------------------

    async def append(self, query: Append) -> Applied:
        """Append a record and wait until it was read back.

        :raises NotReadyError: if the state is not whole; nothing was sent.
        :raises RecordMalformedError: if it cannot be encoded; nothing was sent.
        :raises LogUnavailableError: if the record certainly was not recorded
            and never will be.
        :raises LogOutcomeUnknownError: if it may be recorded, now or later.
        """
        if not self.ready:
            raise NotReadyError(
                f"{self.stream} has not been read whole", retry_after_s=_RETRY_AFTER_S
            )
        size = self._size(query.body)
        fut: asyncio.Future[Applied] = asyncio.get_running_loop().create_future()
        item = self._outbox.add(query.body, query.urgent, fut, size)
        self._wake.set()
        try:
            return await asyncio.wait_for(fut, query.deadline_s)
        except TimeoutError as exc:
            raise self._give_up(item) from exc
        except asyncio.CancelledError:
            self._outbox.give_up(item)
            raise

    def _size(self, body: Any) -> int:
        """Return a record's length, and so check it before others depend on it.

        One that cannot be encoded would hold up every record behind it.
        """
        try:
            return len(encode_envelope(Envelope(self._lane, 0, body)))
        except Exception as exc:
            kind = type(body).__name__
            raise RecordMalformedError(f"{kind} cannot be encoded: {exc!r}") from exc

    def _give_up(self, item: OutgoingRecord) -> FirhookError:
        if self._outbox.give_up(item):
            return LogOutcomeUnknownError(
                "the log has not confirmed in time", retry_after_s=_RETRY_AFTER_S
            )
        return LogUnavailableError(
            "the log did not take it in time", retry_after_s=_RETRY_AFTER_S
        )

    @Service.task
    async def _append_loop(self) -> None:
        while not self.should_stop:
            await self._wake.wait()
            self._wake.clear()
            while self._outbox.busy and not self.should_stop:
                await self._budget.acquire(lambda: self._outbox.urgent)
                batch = self._outbox.next_append()
                if batch:
                    await self._send(batch)

    async def _send(self, batch: Sequence[Envelope]) -> None:
        self.appends += 1
        try:
            payloads = [encode_envelope(envelope) for envelope in batch]
            self.sent_bytes += sum(map(len, payloads))
            await self._service.append(self.stream, payloads)
        except LogUnavailableError:
            self._outbox.note_rejected()
            await self.sleep(_BACKOFF_S)
        except Exception as exc:
            # Whatever else went wrong, the records may have left.
            self._outbox.note_unknown()
            log("log.outcome_unknown", level="warning", error=repr(exc))
            await self.sleep(_BACKOFF_S)
        else:
            self._outbox.note_appended()

    # -- following -------------------------------------------------------

    @Service.task
    async def _follow_loop(self) -> None:
        while not self.should_stop:
            try:
                await self._follow_once()
                self._note_reached(None)
            except LogTrimmedError as exc:
                self._on_trimmed(exc)
                await self.sleep(_BACKOFF_S)
            except LogUnavailableError as exc:
                self._note_reached(exc)
                await self.sleep(_BACKOFF_S)
            except Exception as exc:
                log("log.failed", level="error", stream=self.stream, error=repr(exc))
                await self.sleep(_BACKOFF_S)

    def _note_reached(self, exc: LogUnavailableError | None) -> None:
        """Log that the log went away or came back, and not each try between.

        Outages last for long stretches; a line for each of three tries a
        second would bury what else happens meanwhile.
        """
        if (exc is None) == self._reached:
            return
        self._reached = exc is None
        if exc is None:
            log("log.back", stream=self.stream)
        else:
            log("log.lost", level="warning", stream=self.stream, why=exc.detail)

    async def _follow_once(self) -> None:
        source = self._rebuild or self.stream_state
        asked_at = time.monotonic()
        page = await self._service.read(self.stream, source.next_offset, self._poll_s)
        if source is not (self._rebuild or self.stream_state):
            # A peer's snapshot came meanwhile; the page is of no use any more.
            return
        if page.end < source.next_offset:
            # The log has lost records that it had shown, or a copy of it that
            # lags behind answered.  Neither may pass for a fresh view.
            raise LogUnavailableError(
                f"{self.stream} ends at {page.end}, before {source.next_offset}"
            )
        if self._rebuild is not None:
            self._scan(self._rebuild, page)
            return
        for entry in page.entries:
            self._apply(entry)
        if self.stream_state.next_offset >= page.end:
            # The answer may have lain unread while this process was paused.
            # It was made at the latest when the wait that was asked for ended,
            # so it counts as no fresher than that.
            latest = asked_at + self._poll_s + _ANSWER_S
            self.end_seen_at = min(time.monotonic(), latest)
            self.ready = True

    def _apply(self, entry: LogEntry) -> None:
        state = self.stream_state
        if entry.offset < state.next_offset:
            return
        if entry.offset > state.next_offset:
            raise LogUnavailableError(
                f"{self.stream}: offset {entry.offset} came for {state.next_offset}"
            )
        envelope = self._decode(entry)
        if envelope is None:
            state.skip(entry.offset)
            return
        carried = state.snapshot_offset
        verdict = state.apply(entry.offset, envelope)
        if state.snapshot_offset != carried:
            self.snapshot_read_at = time.monotonic()
        if verdict is Verdict.IGNORED:
            self._report_ignored(entry.offset, envelope)
        event = RecordApplied(self.stream, entry.offset, envelope, verdict)
        self._bus.publish(event)
        if envelope.lane == self._lane:
            self._resolve(envelope.seq, Applied(entry.offset, verdict))

    def _decode(self, entry: LogEntry) -> Envelope | None:
        try:
            return decode_envelope(entry.payload)
        except RecordMalformedError as exc:
            log(
                "record.malformed",
                level="error",
                code=exc.code,
                stream=self.stream,
                offset=entry.offset,
                detail=exc.detail,
            )
            return None

    def _report_ignored(self, offset: int, envelope: Envelope) -> None:
        if isinstance(envelope.body, (Marker, SnapshotChunk)):
            return
        log(
            "record.ignored",
            level="error",
            stream=self.stream,
            offset=offset,
            kind=type(envelope.body).__name__,
            lane=envelope.lane,
            fault=self.stream_state.fault,
        )

    def _resolve(self, seq: int, applied: Applied) -> None:
        item = self._outbox.read_back(seq)
        if item is not None and not item.token.done():
            item.token.set_result(applied)
        self._outbox.note_last_read(self.stream_state.lanes.last(self._lane))

    # -- rebuilding ------------------------------------------------------

    def _on_trimmed(self, exc: LogTrimmedError) -> None:
        """Start over from a snapshot, acting on nothing until it is whole."""
        first = int(exc.extra["first"])
        if first <= self.stream_state.next_offset and self._rebuild is None:
            # What is wanted is kept by the log's own word; there is nothing
            # to rebuild from that would not be a step back.
            log("log.contradicts", level="error", stream=self.stream, first=first)
            return
        self.ready = False
        self._rebuild = SnapshotFinder(first)
        log(
            "log.trimmed",
            level="error",
            code=exc.code,
            stream=self.stream,
            at=self.stream_state.next_offset,
            first=first,
        )

    def _scan(self, rebuild: SnapshotFinder, page: LogPage) -> None:
        for entry in page.entries:
            rebuild.next_offset = entry.offset + 1
            envelope = self._decode(entry)
            if envelope is None or not isinstance(envelope.body, SnapshotChunk):
                continue
            snapshot = rebuild.add(envelope.lane, envelope.body)
            if snapshot is not None and self._load_carried(snapshot):
                return

    def _load_carried(self, snapshot: Snapshot) -> bool:
        try:
            self._load(snapshot.upto, snapshot.text)
        except RecordMalformedError as exc:
            log("snapshot.malformed", level="error", stream=self.stream, why=str(exc))
            return False
        state = self.stream_state
        if snapshot.upto > state.snapshot_offset:
            state.snapshot_offset, state.snapshot_parts = snapshot.upto, snapshot.parts
        return True

    def load_peer_snapshot(self, offset: int, text: str) -> bool:
        """Take over a peer's state if it is ahead; return whether it was.

        :raises RecordMalformedError: if it is no state of this stream.
        """
        ahead = offset > self.stream_state.next_offset or not self.ready
        if not ahead or offset < self.stream_state.next_offset:
            return False
        self._load(offset, text)
        self.ready = True
        return True

    def _load(self, offset: int, text: str) -> None:
        self.stream_state.from_text(offset, text)
        self._rebuild = None
        log("stream.rebuilt", stream=self.stream, offset=offset)
        self._bus.publish(StreamRebuilt(self.stream, offset))
        last = self.stream_state.lanes.last(self._lane)
        for item in self._outbox.take_landed(last):
            self._resolve_unread(offset, item)
        self._outbox.note_last_read(last)

    def _resolve_unread(self, offset: int, item: OutgoingRecord) -> None:
        """Answer for a record that landed but expired before it was read."""
        if item.token.done():
            return
        if self.stream_state.has_applied(self._lane, item.body):
            item.token.set_result(Applied(offset - 1, Verdict.APPLIED))
        else:
            item.token.set_exception(
                LogOutcomeUnknownError("the record expired before it was read")
            )
