"""Follows the cell's topic, and appends callers' records to it."""

import asyncio
import contextlib

from firhook._peer_messages import PushedRecord, RecordsPush
from firhook.clock import boot_time
from firhook.errors import (
    FirhookError,
    LogOutcomeUnknownError,
    LogTrimmedError,
    LogUnavailableError,
)
from firhook.instance import InstanceService, register_service
from firhook.logs import log
from firhook.platform.store import CELL_TOPIC, KeyedRecord, encode_keyed
from firhook.services._events import (
    CatchUp,
    Following,
    JobChanged,
    Record,
    RecordsAppended,
    ServeInstance,
    TellInstances,
)

CELL_PARTITION = 0
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
#: The longest that one append is waited for before it is repeated; the record
#: is the whole value of its key, so that a repeat changes nothing.
_APPEND_S = 1.0


@register_service("follower")
class Follower(InstanceService):
    """Keeps the replica up to date."""

    def wire(self) -> None:
        """Offer reading to the end, and appending."""
        self._answered_at = float("-inf")
        self._whole = False
        self._reachable = True
        self._ahead: dict[int, int] = {}
        self._gap = asyncio.Event()
        self._catching_up: asyncio.Task[None] | None = None
        self.bus.answer(CatchUp, self._catch_up)
        self.bus.answer(Record, self._record)
        self.bus.answer(Following, self._following)
        self.bus.subscribe(RecordsAppended, self._on_appended)

    async def on_started(self) -> None:
        """Begin to follow."""
        self.bus.publish(ServeInstance(RecordsPush, self._on_push))
        self.add_future(self._follow())

    def _on_appended(self, event: RecordsAppended) -> None:
        """Apply what this instance appended, and push it to its peers."""
        self._take(event.offset, event.records)
        rows = tuple(PushedRecord(r.key, r.value) for r in event.records)
        self.bus.publish(TellInstances(RecordsPush(event.offset, rows)))

    async def _on_push(self, msg: RecordsPush) -> None:
        self._take(msg.offset, tuple(KeyedRecord(r.key, r.value) for r in msg.records))

    def _take(self, offset: int, records: tuple[KeyedRecord, ...]) -> None:
        """Apply records that came otherwise than by reading.

        Long polls of all instances at the store would be most of the calls to
        it, which are priced, and would show callers a change 20 ms later in
        the mean than a push does.  Whether a record was applied is known by its
        offset, so that reading fills whatever was not pushed.
        """
        for i, record in enumerate(records):
            self._apply(offset + i, record.key, record.value)
        self._ahead[offset] = max(self._ahead.get(offset, 0), offset + len(records))
        self._advance()
        if self._ahead:
            self._gap.set()

    def _advance(self) -> None:
        for start in sorted(self._ahead):
            if start > self.replica.next_offset:
                return
            end = self._ahead.pop(start)
            self.replica.next_offset = max(self.replica.next_offset, end)

    async def _following(self, query: Following) -> bool:
        return self._whole and boot_time() - self._answered_at < _FOLLOWED_S

    async def _follow(self) -> None:
        while not self.should_stop:
            try:
                if not self._whole:
                    await self._rebuild()
                await self._read()
                self._note_reachable(True)
                await self._pause()
            except LogTrimmedError:
                # Records expired unread, for example after a long cut.  The
                # newest record of each key is kept all the same.
                log("replica.trimmed", level="warning", at=self.replica.next_offset)
                self._whole = False
            except FirhookError as exc:
                self._note_reachable(False, exc)
                await asyncio.sleep(_RETRY_S)

    async def _pause(self) -> None:
        """Wait until it is time to read again, or until there is a gap."""
        self._gap.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._gap.wait(), _READ_EVERY_S)
            await asyncio.sleep(_GAP_S)

    def _note_reachable(self, reachable: bool, exc: Exception | None = None) -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        event = "store.regained" if reachable else "store.lost"
        log(event, level="info" if reachable else "warning", error=repr(exc))

    async def _rebuild(self) -> None:
        """Read the newest record of each key."""
        newest = await self.store.newest(CELL_TOPIC, CELL_PARTITION)
        for record in newest.records:
            self._apply(record.offset, record.key, record.value)
        self.replica.next_offset = max(self.replica.next_offset, newest.end)
        self._advance()
        self._whole = True
        log("replica.rebuilt", records=len(newest.records), offset=newest.end)

    async def _read(self) -> int:
        """Read on once, and return how many records are left to read."""
        sent_at = boot_time()
        at = self.replica.next_offset
        part = await self.store.read(CELL_TOPIC, CELL_PARTITION, at)
        for record in part.records:
            self._apply(record.offset, record.key, record.value)
        self.replica.next_offset = max(self.replica.next_offset, part.next_offset)
        self._advance()
        self._answered_at = max(self._answered_at, sent_at)
        return max(part.end - self.replica.next_offset, 0)

    def _apply(self, offset: int, key: str, value: bytes | None) -> None:
        job_id = self.replica.apply(offset, key, value)
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
        if not self._whole:
            await self._rebuild()
        while await self._read():
            pass

    async def _record(self, query: Record) -> int:
        """Append a record, repeating it until an answer comes or time is up."""
        content = encode_keyed(query.record)
        unknown: LogOutcomeUnknownError | None = None
        while True:
            left_s = query.until - boot_time()
            if left_s <= 0:
                raise unknown or LogUnavailableError("no time left", retry_after_s=1.0)
            try:
                done = await self.store.append(
                    CELL_TOPIC,
                    CELL_PARTITION,
                    [content],
                    timeout_s=min(left_s, _APPEND_S),
                )
            except LogOutcomeUnknownError as exc:
                unknown = exc
            except LogUnavailableError as exc:
                if query.until - boot_time() < _RETRY_S:
                    raise unknown or exc from exc
                await asyncio.sleep(_RETRY_S)
            else:
                self.bus.publish(RecordsAppended(done.offset, (query.record,)))
                return done.offset
