"""Appends of the lead, which the store refuses once a newer lead has begun."""

import asyncio
import contextlib
from collections.abc import Callable

import attrs

from firhook.clock import boot_time
from firhook.decide.store_reachability import StoreReachability
from firhook.errors import (
    LogOutcomeUnknownError,
    LogRecordRefusedError,
    LogUnavailableError,
)
from firhook.logs import log
from firhook.platform.store import CELL_TOPIC, Producer, Store
from firhook.services._events import LEAD_PARTITIONS

#: Producer name of the lead's appends; all leads of the cell share its sequence.
_PRODUCER = "lead"
#: Delay between attempts while the store does not take an append.
_RETRY_S = 0.05
#: The timeout of an append, as a multiple of the time after which a call is
#: suspected: half a second at a calm store.  After it, the append is repeated on
#: another partition.  A repeat under the same sequence number takes effect once.
_TIMEOUT_FACTOR = 2.0
#: Each append without an answer multiplies the timeout by this until one is answered,
#: up to the maximum, as for the retransmission timeout of TCP (RFC 6298).
_BACKOFF_FACTOR = 2.0
_MAX_TIMEOUT_S = 2.0
#: Time for which a partition that failed is avoided in favour of the others.
_FAILED_PARTITION_RETRY_S = 1.0


@attrs.define(slots=True, eq=False)
class _Partition:
    """One of the partitions that the lead appends to.

    :ivar sequence: number of the next append.
    :ivar unanswered: the records of an append without an answer.  That append has
        to be repeated unchanged before anything else is appended to the partition:
        the store would mistake another append under the same number for a repeat.
    :ivar backoff_until: time on the boot clock until which other partitions are
        preferred.
    """

    number: int
    sequence: int = 0
    unanswered: list[bytes] = attrs.field(factory=list)
    backoff_until: float = 0.0


class FencedWriter:
    """Appends under one epoch to whichever of the lead's partitions answers.

    The store may lose a third of its partitions for some seconds.  With all records
    on one of these, no task could start or end for as long as 4.6 s, while 110 more
    jobs are accepted.

    :param epoch: the epoch of this lead, higher than that of any earlier lead.
    :param on_confirmed: called with the time at which a successful append was sent:
        no newer lead had begun by then.
    """

    def __init__(
        self, store: Store, epoch: int, on_confirmed: Callable[[float], None]
    ) -> None:
        self._store = store
        self._epoch = epoch
        self._on_confirmed = on_confirmed
        self._partitions = [_Partition(number) for number in LEAD_PARTITIONS]
        self._reach = StoreReachability(LEAD_PARTITIONS)
        self._backoff = 1.0
        # One call at a time: of two appends under one sequence number the store
        # would mistake the second for a repeat, and its records would be lost.
        self._lock = asyncio.Lock()

    async def set_epoch(self) -> None:
        """Have every partition refuse appends of earlier leads.

        All partitions have to answer: the records of one that does not cannot be
        read either.
        """
        async with self._lock:
            await asyncio.gather(*(self._set_epoch(part) for part in self._partitions))

    async def _set_epoch(self, part: _Partition) -> None:
        while await self._append_once(part, []) is None:
            await asyncio.sleep(_RETRY_S)

    async def confirm_epoch(self, contents: list[bytes]) -> None:
        """Have the store confirm that no newer lead has begun, if it answers.

        :param contents: records to append, unless another append is under way.
        :raises LogFencedError: if a newer lead has begun.
        """
        if self._lock.locked():
            # The append that is under way confirms the same.
            return
        async with self._lock:
            now = boot_time()
            for part in sorted(self._partitions, key=lambda p: p.backoff_until > now):
                with contextlib.suppress(LogRecordRefusedError):
                    if await self._repeat_unanswered(part) is None:
                        continue
                if await self._append_once(part, contents) is not None:
                    return

    async def append(self, contents: list[bytes]) -> tuple[int, int]:
        """Append records; return the partition and the offset of the first one.

        :raises LogFencedError: if a newer lead has begun.
        :raises LogRecordRefusedError: if the store refuses one of the records for good.
            None of them is stored then.
        """
        async with self._lock:
            return await self._append(contents)

    async def append_to(self, number: int, contents: list[bytes]) -> int | None:
        """Append records to one partition; return the offset, or ``None`` on failure.

        :raises LogFencedError: if a newer lead has begun.
        """
        part = next(part for part in self._partitions if part.number == number)
        async with self._lock:
            if part.backoff_until > boot_time():
                return None
            with contextlib.suppress(LogRecordRefusedError):
                if await self._repeat_unanswered(part) is None:
                    return None
            return await self._append_once(part, contents)

    async def _append(self, contents: list[bytes]) -> tuple[int, int]:
        while True:
            now = boot_time()
            ready = [p for p in self._partitions if p.backoff_until <= now]
            for part in ready or self._partitions:
                is_repeat = part.unanswered is contents
                try:
                    offset = await self._repeat_unanswered(part)
                except LogRecordRefusedError:
                    if is_repeat:
                        raise
                    offset = 0
                if offset is not None and not is_repeat:
                    offset = await self._append_once(part, contents)
                if offset is not None:
                    return part.number, offset
            await asyncio.sleep(_RETRY_S)

    async def _repeat_unanswered(self, part: _Partition) -> int | None:
        """Repeat an append that was not answered; return its offset.

        Its records are older than those appended to other partitions meanwhile;
        their versions show that.

        The append is kept until it is answered.  If it were dropped when the store
        refuses the repeat temporarily, the next append would get its sequence number.
        The store would take that for a repeat if it had carried out the first one.

        :return: ``None`` if the repeat failed too; 0 if there was nothing to repeat.
        """
        if not part.unanswered:
            return 0
        try:
            offset = await self._append_once(part, part.unanswered)
        except LogRecordRefusedError:
            # It was not carried out, and never will be.
            part.unanswered = []
            raise
        if offset is not None:
            part.unanswered = []
        return offset

    async def _append_once(self, part: _Partition, contents: list[bytes]) -> int | None:
        """Try an append once; return the offset, or ``None`` if it failed."""
        producer = Producer(_PRODUCER, self._epoch, part.sequence)
        sent_at = boot_time()
        call = self._reach.note_sent(part.number, sent_at)
        try:
            done = await self._store.append(
                CELL_TOPIC,
                part.number,
                contents,
                producer,
                timeout_s=self._timeout_s(),
            )
        except LogUnavailableError as exc:
            self._reach.note_failed(part.number, call)
            self._mark_failed(part, exc)
            return None
        except LogRecordRefusedError:
            self._reach.note_answered(part.number, call, boot_time())
            raise
        except LogOutcomeUnknownError as exc:
            self._reach.note_failed(part.number, call)
            self._backoff *= _BACKOFF_FACTOR
            if contents:
                part.unanswered = contents
            self._mark_failed(part, exc)
            return None
        self._reach.note_answered(part.number, call, boot_time())
        self._backoff = 1.0
        self._on_confirmed(sent_at)
        if contents:
            part.sequence += 1
        return done.offset

    def _timeout_s(self) -> float:
        """Return the timeout of the next append, in seconds.

        A store that turns a hundred times slower answers no append within the usual
        timeout, so that its latency would never be learned, and every repeat would
        add to what it has to do.
        """
        calm_s = _TIMEOUT_FACTOR * self._reach.answer_timeout_s()
        return max(calm_s, min(calm_s * self._backoff, _MAX_TIMEOUT_S))

    def _mark_failed(self, part: _Partition, exc: Exception) -> None:
        log(
            "lead.append_failed",
            level="debug",
            partition=part.number,
            error=str(exc)[:200],
        )
        part.backoff_until = boot_time() + _FAILED_PARTITION_RETRY_S
