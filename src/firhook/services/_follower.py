"""Follows the cell's topic, and appends callers' records to it."""

import asyncio
import contextlib

import attrs

from firhook._peer_messages import PushedRecord, RecordsPush
from firhook.clock import boot_time
from firhook.errors import (
    FirhookError,
    LogOutcomeUnknownError,
    LogTrimmedError,
    LogUnavailableError,
    RecordMalformedError,
)
from firhook.instance import InstanceService, register_service
from firhook.logs import log
from firhook.platform.store import CELL_TOPIC, KeyedRecord, encode_keyed
from firhook.services._events import (
    CALLERS_PARTITION,
    LEAD_PARTITION,
    CatchUp,
    Following,
    JobChanged,
    Record,
    RecordsAppended,
    ServeInstance,
    TellInstances,
)

#: How often the store is read although the peers push what they append.  A push
#: that is lost is made up for by then.
_READ_EVERY_S = 0.5
#: A gap between what was pushed is read from the store after this; pushes of
#: two instances may overtake each other by a few milliseconds.
_GAP_S = 0.03
#: Between tries when the store does not answer.
_RETRY_S = 0.15
#: The replica counts as followed if a read was answered so lately: some reads,
#: and one that was lost.
_FOLLOWED_S = 3.0
#: The store counts as away if nothing was answered for so long, and a read has
#: failed: an idle read is answered every half second.
_SILENT_S = 1.2
#: When callers should come back to a store that is away.
_AWAY_RETRY_S = 2.0
#: The longest that one append is waited for before it is repeated; the record
#: is the whole value of its key, so that a repeat changes nothing.  A store that
#: answers 60 times slower than its 5 ms is waited for: repeats would only make
#: its queue longer.
_APPEND_S = 1.5


class _Reader:
    """How far one partition of the cell's topic was read.

    :ivar next_offset: all records before it were applied.
    :ivar whole: whether the newest record of each key is known.
    """

    def __init__(self, number: int) -> None:
        self.number = number
        self.next_offset = 0
        self.whole = False
        self.answered_at = float("-inf")
        self.gap = asyncio.Event()
        self._ahead: dict[int, int] = {}

    def pushed(self, offset: int, count: int) -> None:
        """Take note that records were applied that were not read."""
        self._ahead[offset] = max(self._ahead.get(offset, 0), offset + count)
        self.advance(self.next_offset)
        if self._ahead:
            self.gap.set()

    def advance(self, offset: int) -> None:
        """Take note that all records before an offset were applied."""
        self.next_offset = max(self.next_offset, offset)
        for start in sorted(self._ahead):
            if start > self.next_offset:
                return
            self.next_offset = max(self.next_offset, self._ahead.pop(start))


@attrs.define(slots=True, eq=False)
class _Pending:
    """A record that waits to be appended.

    :ivar tried: whether an append of it got no answer.
    """

    record: KeyedRecord
    until: float
    done: asyncio.Future[int]
    tried: bool = False

    def expire(self, exc: FirhookError) -> None:
        """Give up, and say whether it may have been recorded."""
        if self.done.done():
            return
        if self.tried:
            self.done.set_exception(LogOutcomeUnknownError(exc.detail))
        else:
            error = LogUnavailableError(exc.detail, retry_after_s=exc.retry_after_s)
            self.done.set_exception(error)


@register_service("follower")
class Follower(InstanceService):
    """Keeps the replica up to date."""

    def wire(self) -> None:
        """Offer reading to the end, and appending."""
        self._readers = [_Reader(LEAD_PARTITION), _Reader(CALLERS_PARTITION)]
        self._reachable = True
        self._catching_up: asyncio.Task[None] | None = None
        self._pending: list[_Pending] = []
        self._has_pending = asyncio.Event()
        self.bus.answer(CatchUp, self._catch_up)
        self.bus.answer(Record, self._record)
        self.bus.answer(Following, self._following)
        self.bus.subscribe(RecordsAppended, self._on_appended)

    async def on_started(self) -> None:
        """Begin to follow."""
        self.bus.publish(ServeInstance(RecordsPush, self._on_push))
        for reader in self._readers:
            self.add_future(self._follow(reader))
        self.add_future(self._append_pending())

    # Reading.

    def _on_appended(self, event: RecordsAppended) -> None:
        """Apply what this instance appended, and push it to its peers."""
        self._take(event.partition, event.offset, event.records)
        rows = tuple(PushedRecord(r.key, r.value) for r in event.records)
        push = RecordsPush(event.partition, event.offset, rows)
        self.bus.publish(TellInstances(push))

    async def _on_push(self, msg: RecordsPush) -> None:
        records = tuple(KeyedRecord(r.key, r.value) for r in msg.records)
        self._take(msg.partition, msg.offset, records)

    def _take(
        self, partition: int, offset: int, records: tuple[KeyedRecord, ...]
    ) -> None:
        """Apply records that came otherwise than by reading.

        Long polls of all instances at the store would be most of the calls to
        it, which are priced, and would show callers a change 20 ms later in
        the mean than a push does.  Whether a record was applied is known by its
        offset, so that reading fills whatever was not pushed.
        """
        for i, record in enumerate(records):
            self._apply(offset + i, record.key, record.value)
        for reader in self._readers:
            if reader.number == partition:
                reader.pushed(offset, len(records))

    async def _following(self, query: Following) -> bool:
        now = boot_time()
        return all(r.whole and now - r.answered_at < _FOLLOWED_S for r in self._readers)

    async def _follow(self, reader: _Reader) -> None:
        while not self.should_stop:
            try:
                if not reader.whole:
                    await self._rebuild(reader)
                await self._read(reader)
                self._note_reachable(True)
                await self._pause(reader)
            except LogTrimmedError:
                # Records expired unread, for example after a long cut.  The
                # newest record of each key is kept all the same.
                log("replica.trimmed", level="warning", at=reader.next_offset)
                reader.whole = False
            except FirhookError as exc:
                self._note_reachable(False, exc)
                await asyncio.sleep(_RETRY_S)

    @staticmethod
    async def _pause(reader: _Reader) -> None:
        """Wait until it is time to read again, or until there is a gap."""
        reader.gap.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(reader.gap.wait(), _READ_EVERY_S)
            await asyncio.sleep(_GAP_S)

    def _note_reachable(self, reachable: bool, exc: Exception | None = None) -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        event = "store.regained" if reachable else "store.lost"
        log(event, level="info" if reachable else "warning", error=repr(exc))

    async def _rebuild(self, reader: _Reader) -> None:
        """Read the newest record of each key."""
        newest = await self.store.newest(CELL_TOPIC, reader.number)
        for record in newest.records:
            self._apply(record.offset, record.key, record.value)
        reader.advance(newest.end)
        reader.whole = True
        log(
            "replica.rebuilt",
            partition=reader.number,
            records=len(newest.records),
            offset=newest.end,
        )

    async def _read(self, reader: _Reader) -> int:
        """Read on once, and return how many records are left to read."""
        sent_at = boot_time()
        part = await self.store.read(CELL_TOPIC, reader.number, reader.next_offset)
        for record in part.records:
            self._apply(record.offset, record.key, record.value)
        reader.advance(part.next_offset)
        reader.answered_at = max(reader.answered_at, sent_at)
        return max(part.end - reader.next_offset, 0)

    def _apply(self, offset: int, key: str, value: bytes | None) -> None:
        try:
            job_id = self.replica.apply(offset, key, value)
        except RecordMalformedError as exc:
            log("record.malformed", level="warning", key=key, detail=exc.detail)
            return
        if job_id is not None:
            self.bus.publish(JobChanged(job_id))

    async def _catch_up(self, query: CatchUp) -> None:
        # A reading that is under way may have been answered before the record
        # that the asker is after; so the asker waits for the next one.
        if self._catching_up is not None:
            await asyncio.wait({self._catching_up})
        if self._catching_up is None or self._catching_up.done():
            self._catching_up = asyncio.create_task(self._read_to_end())
        await asyncio.shield(self._catching_up)

    async def _read_to_end(self) -> None:
        await asyncio.gather(*(self._read_all(r) for r in self._readers))

    async def _read_all(self, reader: _Reader) -> None:
        if not reader.whole:
            await self._rebuild(reader)
        while await self._read(reader):
            pass

    # Appending.

    def _silent(self) -> bool:
        """Return whether the store has answered nothing for a while.

        Load: the store is away without a word.  Harm: an append that gets no
        answer leaves the caller with neither a yes nor a no, and most callers
        do not dare to submit again after that.  Not sent at all, it can be
        refused truly and at once, with the time to come back.
        """
        last = max(r.answered_at for r in self._readers)
        return not self._reachable and boot_time() - last > _SILENT_S

    async def _record(self, query: Record) -> int:
        """Append a record, repeating it until an answer comes or time is up."""
        if self._silent():
            raise LogUnavailableError("the store is away", retry_after_s=_AWAY_RETRY_S)
        done: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._pending.append(_Pending(query.record, query.until, done))
        self._has_pending.set()
        return await done

    async def _append_pending(self) -> None:
        """Append what waits, in one call at a time.

        A partition takes its appends one after the other.  While the store is
        60 times slower than usual, single appends for 20 jobs a second are more
        than it takes; its queue grows to seconds, and the lead's own appends
        wait in it.  With one call at a time the queue is as long as there are
        instances.
        """
        while not self.should_stop:
            await self._has_pending.wait()
            self._has_pending.clear()
            while self._pending:
                batch, self._pending = self._pending, []
                self._pending = await self._append_batch(batch) + self._pending

    async def _append_batch(self, batch: list[_Pending]) -> list[_Pending]:
        """Append records; return those that are to be tried again."""
        most = self.settings.store_limits.append_bytes // 2
        size, count = 0, 0
        for row in batch:
            size += len(row.record.key) + len(row.record.value or b"") + 8
            if count and size > most:
                break
            count += 1
        batch, rest = batch[:count], batch[count:]
        left_s = max(row.until for row in batch) - boot_time()
        try:
            done = await self.store.append(
                CELL_TOPIC,
                CALLERS_PARTITION,
                [encode_keyed(row.record) for row in batch],
                timeout_s=min(max(left_s, 0.05), _APPEND_S),
            )
        except LogOutcomeUnknownError as exc:
            for row in batch:
                row.tried = True
            return _unexpired(batch, exc) + rest
        except FirhookError as exc:
            batch = _unexpired(batch, exc)
            if batch:
                await asyncio.sleep(_RETRY_S)
            return batch + rest
        records = tuple(row.record for row in batch)
        self.bus.publish(RecordsAppended(CALLERS_PARTITION, done.offset, records))
        for i, row in enumerate(batch):
            if not row.done.done():
                row.done.set_result(done.offset + i)
        return rest


def _unexpired(batch: list[_Pending], exc: FirhookError) -> list[_Pending]:
    """Give up the records whose time is up; return the others."""
    now = boot_time()
    for row in batch:
        if row.until - now < _RETRY_S:
            row.expire(exc)
    return [row for row in batch if not row.done.done()]
