"""Client of one stream of the log: follows it, appends to it and rebuilds it."""

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
#: Assumed maximum transit time of a response.  A later one counts as no fresher
#: than one that took this long.
_MAX_RESPONSE_DELAY_S = 1.0
_RETRY_AFTER_S = 2.0


class StreamClient(Service):
    """Follows one stream and appends to it, one append in flight at a time.

    :param stream: the stream's name.
    :param lane: identity of this run as a writer, ``name#incarnation``.
    :param state: the state to which the records are applied.
    :param service: client of the platform's log.
    :param bus: receives an event for each record and for each rebuild.
    :param rate_limiter: limits the rate of appends.
    :param poll_s: long-poll timeout of a read, in seconds.
    :param carry_s: age of the latest snapshot at which a new one is due, in
        seconds.
    :ivar ready: whether the state is complete.  Until then nothing is appended: a
        decision based on a partial state would be recorded as valid.
    :ivar end_seen_at: when the end of the stream was last seen, in seconds of the
        monotonic clock.
    :ivar snapshot_read_at: when a complete snapshot was last read, likewise.
    :ivar appends: number of append requests.
    :ivar sent_bytes: payload bytes of all append requests.
    """

    def __init__(
        self,
        stream: str,
        lane: str,
        state: StreamState,
        service: LogService,
        bus: Bus,
        rate_limiter: AppendRateLimiter,
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
        self._rate_limiter = rate_limiter
        self._poll_s = poll_s
        self._outbox = Outbox(lane)
        self._rebuild: SnapshotFinder | None = None
        self._log_reachable = True
        self._wake = asyncio.Event()
        self.appends = 0
        self.sent_bytes = 0

    @property
    def age_s(self) -> float:
        """Seconds since the end of the stream was last seen; inf if not ready."""
        return time.monotonic() - self.end_seen_at if self.ready else float("inf")

    # -- appending -------------------------------------------------------

    async def append(self, query: Append) -> Applied:
        """Append a record and wait until it is read back.

        :raises NotReadyError: if the state is incomplete; nothing was sent.
        :raises RecordMalformedError: if it cannot be encoded; nothing was sent.
        :raises LogUnavailableError: if the record certainly is not and never will
            be in the log.
        :raises LogOutcomeUnknownError: if the record may be in the log now or
            later.
        """
        if not self.ready:
            raise NotReadyError(
                f"stream {self.stream} has not been read completely",
                retry_after_s=_RETRY_AFTER_S,
            )
        size = self._size(query.body)
        fut: asyncio.Future[Applied] = asyncio.get_running_loop().create_future()
        item = self._outbox.add(query.body, query.urgent, fut, size)
        self._wake.set()
        try:
            return await asyncio.wait_for(fut, query.deadline_s)
        except TimeoutError as exc:
            raise self._abandon(item) from exc
        except asyncio.CancelledError:
            self._outbox.give_up(item)
            raise

    def _size(self, body: Any) -> int:
        """Return the encoded length of a record, which also validates it.

        A record that cannot be encoded would block all records behind it.

        :raises RecordMalformedError: if it cannot be encoded.
        """
        try:
            return len(encode_envelope(Envelope(self._lane, 0, body)))
        except Exception as exc:
            kind = type(body).__name__
            raise RecordMalformedError(f"{kind} cannot be encoded: {exc!r}") from exc

    def _abandon(self, item: OutgoingRecord) -> FirhookError:
        if self._outbox.give_up(item):
            return LogOutcomeUnknownError(
                "the log did not confirm the record in time",
                retry_after_s=_RETRY_AFTER_S,
            )
        return LogUnavailableError(
            "the log did not accept the record in time", retry_after_s=_RETRY_AFTER_S
        )

    @Service.task
    async def _append_loop(self) -> None:
        while not self.should_stop:
            await self._wake.wait()
            self._wake.clear()
            while self._outbox.busy and not self.should_stop:
                await self._rate_limiter.acquire(lambda: self._outbox.urgent)
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
            # After any other error the records may have reached the log.
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
                self._report_reachability(None)
            except LogTrimmedError as exc:
                self._on_trimmed(exc)
                await self.sleep(_BACKOFF_S)
            except LogUnavailableError as exc:
                self._report_reachability(exc)
                await self.sleep(_BACKOFF_S)
            except Exception as exc:
                log("log.failed", level="error", stream=self.stream, error=repr(exc))
                await self.sleep(_BACKOFF_S)

    def _report_reachability(self, exc: LogUnavailableError | None) -> None:
        """Log when the log becomes unreachable or reachable, not every retry.

        Outages are long; a line for each of the three retries per second would
        bury all other log lines.
        """
        if (exc is None) == self._log_reachable:
            return
        self._log_reachable = exc is None
        if exc is None:
            log("log.back", stream=self.stream)
        else:
            log("log.lost", level="warning", stream=self.stream, why=exc.detail)

    async def _follow_once(self) -> None:
        source = self._rebuild or self.stream_state
        asked_at = time.monotonic()
        page = await self._service.read(self.stream, source.next_offset, self._poll_s)
        if source is not (self._rebuild or self.stream_state):
            # A peer's snapshot was installed meanwhile, so this page is outdated.
            return
        if page.end < source.next_offset:
            # The log lost records that were already read, or a lagging replica
            # answered.  Neither counts as a fresh view.
            raise LogUnavailableError(
                f"stream {self.stream} ends at offset {page.end}, "
                f"before the next expected offset {source.next_offset}"
            )
        if self._rebuild is not None:
            self._scan_for_snapshot(self._rebuild, page)
            return
        for entry in page.entries:
            self._apply(entry)
        if self.stream_state.next_offset >= page.end:
            # The response may have been buffered while this process was paused.
            # It was made before the requested wait ended, so it counts as no
            # fresher than that time.
            latest = asked_at + self._poll_s + _MAX_RESPONSE_DELAY_S
            self.end_seen_at = min(time.monotonic(), latest)
            self.ready = True

    def _apply(self, entry: LogEntry) -> None:
        state = self.stream_state
        if entry.offset < state.next_offset:
            return
        if entry.offset > state.next_offset:
            raise LogUnavailableError(
                f"stream {self.stream}: received offset {entry.offset}, "
                f"expected {state.next_offset}"
            )
        envelope = self._decode(entry)
        if envelope is None:
            state.skip(entry.offset)
            return
        carried_before = state.snapshot_offset
        verdict = state.apply(entry.offset, envelope)
        if state.snapshot_offset != carried_before:
            self.snapshot_read_at = time.monotonic()
        if verdict is Verdict.IGNORED:
            self._log_ignored(entry.offset, envelope)
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

    def _log_ignored(self, offset: int, envelope: Envelope) -> None:
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
        """Start a rebuild from a snapshot; the state is not ready until its end."""
        first = int(exc.extra["first"])
        if first <= self.stream_state.next_offset and self._rebuild is None:
            # By its own response the log still has the requested record, and any
            # snapshot to rebuild from would be older than the present state.
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

    def _scan_for_snapshot(self, rebuild: SnapshotFinder, page: LogPage) -> None:
        for entry in page.entries:
            rebuild.next_offset = entry.offset + 1
            envelope = self._decode(entry)
            if envelope is None or not isinstance(envelope.body, SnapshotChunk):
                continue
            snapshot = rebuild.add(envelope.lane, envelope.body)
            if snapshot is not None and self._install_snapshot(snapshot):
                return

    def _install_snapshot(self, snapshot: Snapshot) -> bool:
        try:
            self._install_state(snapshot.upto, snapshot.text)
        except RecordMalformedError as exc:
            log("snapshot.malformed", level="error", stream=self.stream, why=str(exc))
            return False
        state = self.stream_state
        if snapshot.upto > state.snapshot_offset:
            state.snapshot_offset, state.snapshot_parts = snapshot.upto, snapshot.parts
        return True

    def load_peer_snapshot(self, offset: int, text: str) -> bool:
        """Install a peer's state if it is ahead; return whether it was installed.

        :raises RecordMalformedError: if it is not a state of this stream.
        """
        ahead = offset > self.stream_state.next_offset or not self.ready
        if not ahead or offset < self.stream_state.next_offset:
            return False
        self._install_state(offset, text)
        self.ready = True
        return True

    def _install_state(self, offset: int, text: str) -> None:
        self.stream_state.from_text(offset, text)
        self._rebuild = None
        log("stream.rebuilt", stream=self.stream, offset=offset)
        self._bus.publish(StreamRebuilt(self.stream, offset))
        last = self.stream_state.lanes.last(self._lane)
        for item in self._outbox.take_landed(last):
            self._resolve_unread(offset, item)
        self._outbox.note_last_read(last)

    def _resolve_unread(self, offset: int, item: OutgoingRecord) -> None:
        """Resolve an append whose record was written but expired before it was read."""
        if item.token.done():
            return
        if self.stream_state.has_applied(self._lane, item.body):
            item.token.set_result(Applied(offset - 1, Verdict.APPLIED))
        else:
            item.token.set_exception(
                LogOutcomeUnknownError("the record expired before it was read")
            )
