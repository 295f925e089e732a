"""The lead's appends, which the store refuses once another lead has begun."""

import asyncio
from collections.abc import Callable

import attrs

from firhook.clock import boot_time
from firhook.decide.store_reachability import StoreReachability
from firhook.errors import LogOutcomeUnknownError, LogUnavailableError
from firhook.logs import log
from firhook.platform.store import CELL_TOPIC, Producer, Store
from firhook.services._events import LEAD_PARTITIONS

#: Names the lead's appends; one sequence for all leads of the cell.
_PRODUCER = "lead"
#: Between tries when the store does not take an append.
_RETRY_S = 0.05
#: An append is repeated elsewhere after so many times what makes one doubtful: half
#: a second at a calm store.  A repeat under the same number does nothing twice.
_TIMEOUT_FACTOR = 2.0
#: A partition that failed is tried again after this; the other one serves
#: meanwhile.
_FAILED_PARTITION_RETRY_S = 1.0


@attrs.define(slots=True, eq=False)
class _Partition:
    """One of the partitions that the lead writes to.

    :ivar unanswered: the records of an append without an answer, which has
        to be repeated as it was before anything else is appended there: the
        store takes what comes next under its number for its repeat.
    """

    number: int
    sequence: int = 0
    unanswered: list[bytes] = attrs.field(factory=list)
    backoff_until: float = 0.0


class FencedWriter:
    """Appends under one epoch to whichever of the lead's partitions answers.

    Load: the store loses a third of its partitions for some seconds.  Harm: with
    all records on one of these no task starts or ends for as long, while jobs go
    on being accepted; 4.6 s in which 110 jobs came were seen on a played day.

    :param epoch: higher than that of any lead before.
    :param proven: called with the time at which an append was sent that the
        store took: no other lead had begun by then.
    """

    def __init__(
        self, store: Store, epoch: int, on_confirmed: Callable[[float], None]
    ) -> None:
        self._store = store
        self._epoch = epoch
        self._on_confirmed = on_confirmed
        self._partitions = [_Partition(number) for number in LEAD_PARTITIONS]
        self._reach = StoreReachability(LEAD_PARTITIONS)
        # One call at a time: two appends under one sequence number would pass
        # for one and its repeat, and the second be lost.
        self._lock = asyncio.Lock()

    async def set_epoch(self) -> None:
        """Have every partition refuse what a lead before this one appends.

        All of them are waited for: what lies on one that does not answer cannot
        be read either.
        """
        async with self._lock:
            await asyncio.gather(*(self._set_epoch(part) for part in self._partitions))

    async def _set_epoch(self, part: _Partition) -> None:
        while await self._append_once(part, []) is None:
            await asyncio.sleep(_RETRY_S)

    async def confirm_epoch(self, contents: list[bytes]) -> None:
        """Have the store say that no other lead has begun, if it answers.

        :param contents: appended, unless another append is under way.
        :raises LogFencedError: if one has.
        """
        if self._lock.locked():
            # What is under way proves as much.
            return
        async with self._lock:
            now = boot_time()
            for part in sorted(self._partitions, key=lambda p: p.backoff_until > now):
                if part.unanswered and not await self._repeat_unanswered(part):
                    continue
                if await self._append_once(part, contents) is not None:
                    return

    async def append(self, contents: list[bytes]) -> tuple[int, int]:
        """Append records; return the partition and the offset of the first.

        :raises LogFencedError: if another lead has begun.
        """
        async with self._lock:
            return await self._append(contents)

    async def append_to(self, number: int, contents: list[bytes]) -> int | None:
        """Append records to one partition; return the offset, or ``None`` if not now.

        :raises LogFencedError: if another lead has begun.
        """
        part = next(part for part in self._partitions if part.number == number)
        async with self._lock:
            if part.backoff_until > boot_time():
                return None
            if part.unanswered and not await self._repeat_unanswered(part):
                return None
            return await self._append_once(part, contents)

    async def _append(self, contents: list[bytes]) -> tuple[int, int]:
        while True:
            now = boot_time()
            ready = [p for p in self._partitions if p.backoff_until <= now]
            for part in ready or self._partitions:
                if part.unanswered and not await self._repeat_unanswered(part):
                    continue
                offset = await self._append_once(part, contents)
                if offset is not None:
                    return part.number, offset
            await asyncio.sleep(_RETRY_S)

    async def _repeat_unanswered(self, part: _Partition) -> bool:
        """Repeat an append without an answer; return whether it has one now.

        What it wrote is older than what was written elsewhere meanwhile, and
        says so by its version.

        It is kept until it is answered.  Forgotten when the store refuses the
        repeat for the moment, it would leave its number to the next append, which
        the store takes for the repeat if the first was carried out.
        """
        if await self._append_once(part, part.unanswered) is None:
            return False
        part.unanswered = []
        return True

    async def _append_once(self, part: _Partition, contents: list[bytes]) -> int | None:
        """Append once; return the offset, or ``None`` if it failed."""
        producer = Producer(_PRODUCER, self._epoch, part.sequence)
        sent_at = boot_time()
        call = self._reach.note_sent(part.number, sent_at)
        try:
            done = await self._store.append(
                CELL_TOPIC,
                part.number,
                contents,
                producer,
                timeout_s=_TIMEOUT_FACTOR * self._reach.answer_timeout_s(),
            )
        except LogUnavailableError as exc:
            self._reach.note_failed(part.number, call)
            self._mark_failed(part, exc)
            return None
        except LogOutcomeUnknownError as exc:
            self._reach.note_failed(part.number, call)
            if contents:
                part.unanswered = contents
            self._mark_failed(part, exc)
            return None
        self._reach.note_answered(part.number, call, boot_time())
        self._on_confirmed(sent_at)
        if contents:
            part.sequence += 1
        return done.offset

    def _mark_failed(self, part: _Partition, exc: Exception) -> None:
        log(
            "lead.append_failed",
            level="debug",
            partition=part.number,
            error=str(exc)[:200],
        )
        part.backoff_until = boot_time() + _FAILED_PARTITION_RETRY_S
