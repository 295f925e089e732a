"""Follows the cell's topic, and appends callers' records to it."""

import asyncio

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
    LeadingChanged,
    Record,
)

CELL_PARTITION = 0
#: How long the store may wait with its answer for a record to come.
_WAIT_S = 1.0
#: Records are gathered for so long before the next read.  Each read is priced,
#: and 40 ms more until a caller sees a change are a sixth of the shortest target.
_GATHER_S = 0.04
#: Between tries when the store does not answer.
_RETRY_S = 0.15
#: The replica counts as followed if a read was answered so lately: twice the
#: time of an idle read, and one that was lost.
_FOLLOWED_S = 3.5
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
        self._leading = False
        self._reachable = True
        self._catching_up: asyncio.Task[None] | None = None
        self.bus.answer(CatchUp, self._catch_up)
        self.bus.answer(Record, self._record)
        self.bus.answer(Following, self._following)
        self.bus.subscribe(LeadingChanged, self._on_leading)

    async def on_started(self) -> None:
        """Begin to follow."""
        self.add_future(self._follow())

    def _on_leading(self, event: LeadingChanged) -> None:
        self._leading = event.leading

    async def _following(self, query: Following) -> bool:
        return self._whole and boot_time() - self._answered_at < _FOLLOWED_S

    async def _follow(self) -> None:
        while not self.should_stop:
            try:
                if not self._whole:
                    await self._rebuild()
                await self._read(_WAIT_S)
                self._note_reachable(True)
                if not self._leading:
                    await asyncio.sleep(_GATHER_S)
            except LogTrimmedError:
                # Records expired unread, for example after a long cut.  The
                # newest record of each key is kept all the same.
                log("replica.trimmed", level="warning", at=self.replica.next_offset)
                self._whole = False
            except FirhookError as exc:
                self._note_reachable(False, exc)
                await asyncio.sleep(_RETRY_S)

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
        self._whole = True
        log("replica.rebuilt", records=len(newest.records), offset=newest.end)

    async def _read(self, wait_s: float) -> int:
        """Read on once, and return how many records are left to read."""
        sent_at = boot_time()
        at = self.replica.next_offset
        part = await self.store.read(CELL_TOPIC, CELL_PARTITION, at, wait_s)
        for record in part.records:
            self._apply(record.offset, record.key, record.value)
        self.replica.next_offset = max(self.replica.next_offset, part.next_offset)
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
        while await self._read(0.0):
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
                self._apply_own(done.offset, query.record)
                return done.offset

    def _apply_own(self, offset: int, record: KeyedRecord) -> None:
        self._apply(offset, record.key, record.value)
        if offset == self.replica.next_offset:
            self.replica.next_offset = offset + 1
