"""Appends callers' records to the cell's topic in batches."""

import asyncio
from collections.abc import Callable

import attrs

from firhook.clock import boot_time
from firhook.decide.store_reachability import StoreReachability
from firhook.errors import (
    FirhookError,
    LogOutcomeUnknownError,
    LogRecordRefusedError,
    LogUnavailableError,
)
from firhook.logs import log
from firhook.platform.store import (
    CELL_TOPIC,
    KeyedRecord,
    Store,
    encode_keyed_record,
)
from firhook.services._batches import split_records
from firhook.services._events import RecordsAppended

#: Delay between attempts while the store does not answer.
_RETRY_S = 0.15
#: Time for which a partition that failed is avoided in favour of the others.
_FAILED_PARTITION_RETRY_S = 1.0
#: Interval between checks whether a paused queue may send again.
_PAUSED_RECHECK_S = 0.05
#: Timeout of one append, after which it is repeated.  A record holds the entire value
#: of its key, so a repeated append is idempotent.  The timeout allows for a store
#: that is 60 times slower than its usual 5 ms: repeats would only add to its queue.
APPEND_TIMEOUT_S = 1.5


def append_timeout_error() -> LogUnavailableError:
    """Return the error for a record that was not appended before its time limit."""
    return LogUnavailableError("the store did not answer in time")


@attrs.define(slots=True, eq=False)
class PendingAppend:
    """A record that waits to be appended.

    :ivar until: time on the boot clock at which the requester gives up.
    :ivar done: resolves to the offset of the record.
    :ivar alone: whether to append the record without others, as the store refused a
        batch with it.
    :ivar unresolved: number of appends of the record, by this instance or the lead,
        that are under way or were not answered.
    """

    record: KeyedRecord
    until: float
    done: asyncio.Future[int] = attrs.field(
        factory=lambda: asyncio.get_running_loop().create_future()
    )
    unresolved: int = 0
    alone: bool = False

    def resolve(self, offset: int) -> None:
        """Set the offset of the record, unless the outcome is set already."""
        if not self.done.done():
            self.done.set_result(offset)

    async def wait(self, timeout_s: float) -> None:
        """Wait for the outcome up to a timeout; fail once the requester gives up."""
        left_s = max(self.until - boot_time(), 0.0)
        await asyncio.wait({self.done}, timeout=min(left_s, timeout_s))
        if boot_time() >= self.until:
            self.fail(append_timeout_error())

    def fail(self, exc: FirhookError) -> None:
        """Give up with an error that says whether the record may have been stored."""
        if self.done.done():
            return
        if self.unresolved:
            self.done.set_exception(LogOutcomeUnknownError(exc.detail))
        else:
            error = LogUnavailableError(exc.detail, retry_after_s=exc.retry_after_s)
            self.done.set_exception(error)

    def refuse(self, exc: LogRecordRefusedError) -> None:
        """Give up, as the store refuses the record for good."""
        if not self.done.done():
            self.done.set_exception(exc)

    def abandon(self) -> None:
        """Stop trying, as the requester no longer waits.

        Nobody else would learn the outcome of the record, so it is logged.
        """
        if self.done.cancel():
            outcome = "unknown" if self.unresolved else "not_sent"
        else:
            exc = self.done.exception()
            outcome = "recorded" if exc is None else repr(exc)
        key = self.record.key
        log("append.abandoned", level="warning", key=key, outcome=outcome)


class AppendQueue:
    """Queue of records that are appended in batches, one call at a time.

    A partition handles one append at a time.  While the store is 60 times slower than
    usual, single appends for 20 jobs a second exceed its throughput, and its queue
    grows to seconds.

    :param partitions: the partitions to append to, the preferred one first.
    :param max_bytes: limit of the bytes in one call.
    :param is_paused: returns whether queued records must not be sent by this
        instance: the store is unreachable, or the lead appends them.
    :param on_appended: called with the records that were appended, and where.
    """

    def __init__(
        self,
        store: Store,
        reach: StoreReachability,
        partitions: tuple[int, ...],
        max_bytes: int,
        is_paused: Callable[[], bool],
        on_appended: Callable[[RecordsAppended], None],
    ) -> None:
        self._store = store
        self._reach = reach
        self._partitions = partitions
        self._max_bytes = max_bytes
        self._is_paused = is_paused
        self._on_appended = on_appended
        self._failed_at: dict[int, float] = {}
        self.pending: list[PendingAppend] = []
        self._added = asyncio.Event()

    def add(self, pending: PendingAppend) -> None:
        """Queue a record."""
        self.pending.append(pending)
        self._added.set()

    async def run(self) -> None:
        """Append queued records until cancelled."""
        while True:
            await self._added.wait()
            self._added.clear()
            while self.pending:
                if self._is_paused():
                    await asyncio.sleep(_PAUSED_RECHECK_S)
                    self.pending = [r for r in self.pending if not r.done.done()]
                    continue
                batch, self.pending = self.pending, []
                self.pending = await self._append(batch) + self.pending

    def _choose_partition(self) -> int:
        """Return the first partition that did not fail lately.

        If all of them did, return the one that failed the longest ago.
        """
        now = boot_time()
        for number in self._partitions:
            if (
                now - self._failed_at.get(number, float("-inf"))
                > _FAILED_PARTITION_RETRY_S
            ):
                return number
        return min(self._partitions, key=lambda number: self._failed_at[number])

    async def _append(self, batch: list[PendingAppend]) -> list[PendingAppend]:
        """Append one batch of records; return the records that are still to be sent."""
        batch = [row for row in batch if not row.done.done()]
        batch = _fail_hopeless(batch, self._reach.mean_latency_s)
        if not batch:
            return []
        count = len(split_records([row.record for row in batch], self._max_bytes)[0])
        if any(row.alone for row in batch):
            count = 1
        batch, rest = batch[:count], batch[count:]
        left_s = max(row.until for row in batch) - boot_time()
        partition = self._choose_partition()
        for row in batch:
            row.unresolved += 1
        call = self._reach.note_sent(partition, boot_time())
        try:
            done = await self._store.append(
                CELL_TOPIC,
                partition,
                [encode_keyed_record(row.record) for row in batch],
                timeout_s=min(max(left_s, 0.05), APPEND_TIMEOUT_S),
            )
        except LogOutcomeUnknownError as exc:
            self._failed_at[partition] = boot_time()
            self._reach.note_failed(partition, call)
            return _fail_expired(batch, exc) + rest
        except LogRecordRefusedError as exc:
            self._reach.note_answered(partition, call, boot_time())
            for row in batch:
                row.unresolved -= 1
                row.alone = True
            if len(batch) > 1:
                return batch + rest
            batch[0].refuse(exc)
            return rest
        except FirhookError as exc:
            self._failed_at[partition] = boot_time()
            self._reach.note_failed(partition, call)
            for row in batch:
                row.unresolved -= 1
            batch = _fail_expired(batch, exc)
            if batch:
                await asyncio.sleep(_RETRY_S)
            return batch + rest
        self._reach.note_answered(partition, call, boot_time())
        records = tuple(row.record for row in batch)
        self._on_appended(RecordsAppended(partition, done.offset, records))
        for i, row in enumerate(batch):
            row.resolve(done.offset + i)
        return rest


def _fail_hopeless(
    batch: list[PendingAppend], expected_s: float
) -> list[PendingAppend]:
    """Fail the records that cannot be appended in time; return the others.

    A record that was not sent yet can be refused with a known outcome.

    :param expected_s: how long an append takes, in seconds.
    """
    now = boot_time()
    for row in batch:
        if not row.unresolved and row.until - now < expected_s:
            row.fail(append_timeout_error())
    return [row for row in batch if not row.done.done()]


def _fail_expired(batch: list[PendingAppend], exc: FirhookError) -> list[PendingAppend]:
    """Fail the records whose time limit is reached; return the others."""
    now = boot_time()
    for row in batch:
        if row.until - now < _RETRY_S:
            row.fail(exc)
    return [row for row in batch if not row.done.done()]
