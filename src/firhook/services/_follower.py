"""Follows the cell's topic, and appends callers' records to it."""

import asyncio
import math
from asyncio import FIRST_COMPLETED
from collections.abc import Callable

from firhook._peer_messages import (
    AppendAsk,
    AppendReply,
    CopyAsk,
    CopyReply,
    DigestPush,
    DigestRow,
    PassedOn,
    PushedBatch,
    PushedRecord,
    RecordsPush,
)
from firhook.cell.records import LEAD_KEY, STATE_PREFIX, epoch_of
from firhook.clock import boot_time
from firhook.decide.append_route import AppendRoute
from firhook.decide.election import succession_order
from firhook.decide.store_reachability import StoreReachability
from firhook.errors import (
    FirhookError,
    LogOutcomeUnknownError,
    LogTrimmedError,
    LogUnavailableError,
    PeerUnreachableError,
    RecordMalformedError,
)
from firhook.instance import InstanceService, register_service
from firhook.logs import log
from firhook.platform.store import CELL_TOPIC, KeyedRecord
from firhook.services._appends import (
    APPEND_TIMEOUT_S,
    STORE_DOWN_RETRY_S,
    AppendQueue,
    PendingAppend,
    append_timeout_error,
)
from firhook.services._copying import ReplicaCopier, build_copy_reply
from firhook.services._events import (
    CALLERS_PARTITIONS,
    LEAD_PARTITIONS,
    RELAYED_PARTITIONS,
    AppendRecord,
    AskInstance,
    CatchUp,
    HoldFullReplica,
    IsFollowingStore,
    JobChanged,
    LeadRecordSeen,
    LiveLead,
    PartitionRebuilt,
    ReadToEnd,
    RecordsAppended,
    RegisterMessageHandler,
    ReplicaAge,
    SendToInstance,
    SendToInstances,
    StoreLatency,
    TermEnded,
)
from firhook.services._fan_out import FanOutSender, digest_batch
from firhook.services._members import candidates
from firhook.tasks import log_failure

#: How often the store is read although the peers push what they append.  A push
#: that is lost is made up for by then.
_READ_INTERVAL_S = 0.5
#: The second partitions are used only while the first ones cannot be, and what is
#: written there is pushed as well, so that they are read less often.
_FALLBACK_READ_INTERVAL_S = 2.0
#: A gap between what was pushed is read from the store if the record that is
#: missing has not come in this time; pushes of two instances overtake each other
#: by some 10 ms, more on a busy machine.
_GAP_TIMEOUT_S = 0.05
#: An instance that was told records as a standby for the lead leaves digests aside
#: for so long; it reads what it is not told whole.
_STANDBY_DURATION_S = 2.0
#: So many of those in line for the lead are told of records while none is known.
_LIKELY_SUCCESSORS = 4
#: A replica that was read to its end longer ago than this is not copied.
_MAX_COPY_AGE_S = 3.0
#: Between tries when the store does not answer.
_RETRY_S = 0.15
#: The replica counts as followed if a read was answered so lately: some reads,
#: and one that was lost.
_FOLLOWING_MAX_AGE_S = 3.0
#: So often a partition is read anew for one question if its records expire
#: meanwhile; the platform keeps them for many seconds, and once is the rule.
_MAX_REBUILDS = 3
#: When callers should come back to a store that may be away from this instance
#: alone: another one serves them then.
_OTHER_INSTANCE_RETRY_S = 1.0
#: How often the way to the store is looked at.
_REACH_CHECK_INTERVAL_S = 0.1
#: How long the lead may take to append for an instance that cannot.
_RELAY_TIMEOUT_S = 0.4
#: The lead answers so long before the time that it was given is over.
_REPLY_MARGIN_S = 0.05
#: With less time left a record is not handed to the lead any more.
_MIN_RELAY_S = 0.1
#: The askers of a reading may have given up waiting when it fails.
_LOG_FAILED_READ = log_failure("replica.reading_failed", level="debug")
#: A record may be settled before the lead's answer to it has come.
_LOG_UNREAD_RELAY = log_failure("relay.unheard", level="debug")


class _Reader:
    """How far one partition of the cell's topic was read.

    :ivar next_offset: all records before it were applied.
    :ivar whole: whether the newest record of each key is known.
    :ivar reachable: whether the last read was answered.
    :ivar read_to_end_at: when the last read was sent that left nothing unread.
    :ivar asked: whether it is to be read at once.
    :ivar has_digests: whether some records were applied as digests only.
    """

    def __init__(self, number: int, interval_s: float) -> None:
        self.number = number
        self.interval_s = interval_s
        self.reachable = True
        self.next_offset = 0
        self.is_complete = False
        self.answered_at = float("-inf")
        self.read_to_end_at = float("-inf")
        self.wake = asyncio.Event()
        self.read_requested = False
        self.has_digests = False
        self.rebuilding = asyncio.Lock()
        self._applied_ahead: dict[int, int] = {}

    def request_read(self) -> None:
        """Have it read now."""
        self.read_requested = True
        self.wake.set()

    def age_s(self) -> float:
        """Return how long ago the last read was sent that left nothing unread."""
        return boot_time() - self.read_to_end_at

    @property
    def has_gap(self) -> bool:
        """Whether records were applied beyond one that was not."""
        return bool(self._applied_ahead)

    def has_applied(self, offset: int, count: int) -> bool:
        """Return whether records that follow each other were applied."""
        return offset + count <= self.next_offset or offset in self._applied_ahead

    def mark_applied(self, offset: int, count: int) -> bool:
        """Take note that records were applied; return whether they were new."""
        if self.has_applied(offset, count):
            return False
        self._applied_ahead[offset] = offset + count
        self.advance(self.next_offset)
        if self._applied_ahead:
            self.wake.set()
        return True

    def advance(self, offset: int) -> None:
        """Take note that all records before an offset were applied."""
        self.next_offset = max(self.next_offset, offset)
        for start in sorted(self._applied_ahead):
            if start > self.next_offset:
                return
            self.next_offset = max(self.next_offset, self._applied_ahead.pop(start))


@register_service("follower")
class Follower(InstanceService):
    """Keeps the replica up to date."""

    def wire(self) -> None:
        """Offer reading to the end, and appending."""
        firsts = (LEAD_PARTITIONS[0], CALLERS_PARTITIONS[0])
        self._readers = {
            number: _Reader(
                number,
                _READ_INTERVAL_S if number in firsts else _FALLBACK_READ_INTERVAL_S,
            )
            for number in sorted(CALLERS_PARTITIONS)
        }
        self._catching_up: dict[int, asyncio.Task[None]] = {}
        self._reach = StoreReachability(self._readers)
        self._reachable = True
        self._lead_is_silent = True
        self._route = AppendRoute()
        self._own_appends = self._create_queue(
            CALLERS_PARTITIONS,
            self._route,
            lambda: not self._reachable or self._should_use_lead(),
        )
        self._relayed_appends = self._create_queue(
            RELAYED_PARTITIONS, AppendRoute(), lambda: not self._reachable
        )
        self._fan_out = FanOutSender(self, self.add_future)
        self._copier = ReplicaCopier(self)
        self._holds_full_replica = False
        self._standby_until = float("-inf")
        self._full_fetch: asyncio.Task[None] | None = None
        self.bus.answer(CatchUp, self._catch_up)
        self.bus.answer(ReadToEnd, self._read_to_end)
        self.bus.answer(AppendRecord, self._append_record)
        self.bus.answer(StoreLatency, self._store_latency)
        self.bus.answer(ReplicaAge, self._replica_age)
        self.bus.answer(IsFollowingStore, self._is_following_store)
        self.bus.answer(HoldFullReplica, self._hold_full_replica)
        self.bus.subscribe(RecordsAppended, self._on_appended)
        self.bus.subscribe(TermEnded, self._on_term_ended)

    def _create_queue(
        self,
        partitions: tuple[int, ...],
        route: AppendRoute,
        is_paused: Callable[[], bool],
    ) -> AppendQueue:
        return AppendQueue(
            self.store,
            self._reach,
            partitions,
            self.settings.store_limits.append_bytes // 2,
            route,
            is_paused,
            self.bus.publish,
        )

    async def on_started(self) -> None:
        """Begin to follow."""
        self.bus.publish(RegisterMessageHandler(RecordsPush, self._on_records_push))
        self.bus.publish(RegisterMessageHandler(DigestPush, self._on_digest_push))
        self.bus.publish(RegisterMessageHandler(CopyAsk, self._serve_copy))
        self.bus.publish(RegisterMessageHandler(AppendAsk, self._serve_append))
        for reader in self._readers.values():
            self.add_future(self._follow(reader))
        self.add_future(self._own_appends.run())
        self.add_future(self._relayed_appends.run())
        self.add_future(self._fan_out.run())
        self.add_future(self._watch_store())

    # The way to the store.

    async def _watch_store(self) -> None:
        """Ask all partitions as soon as one of them, or the lead, is not heard.

        Left alone, they would tell only seconds later whether they serve this
        instance.  With its zone cut off, the lead's silence is the first sign.
        """
        while not self.should_stop:
            await asyncio.sleep(_REACH_CHECK_INTERVAL_S)
            now = boot_time()
            self._lead_is_silent = not self._is_lead() and not await self.bus.ask(
                LiveLead()
            )
            if self._lead_is_silent or self._reach.is_doubtful(now):
                for reader in self._readers.values():
                    if now - reader.answered_at > self._reach.answer_timeout_s():
                        reader.request_read()
            reachable = not self._reach.is_unreachable(now)
            if reachable != self._reachable:
                self._reachable = reachable
                log(
                    "store.reached" if reachable else "store.out_of_reach",
                    level="info" if reachable else "warning",
                    limit_s=round(self._reach.answer_timeout_s(), 3),
                )

    # Reading.

    def _on_appended(self, event: RecordsAppended) -> None:
        """Apply what this instance appended, and have its peers apply it."""
        rows = tuple(PushedRecord(r.key, r.value) for r in event.records)
        batch = PushedBatch(event.partition, event.offset, rows)
        digest = digest_batch(self.replica, batch) if self._is_lead() else None
        self._apply_batch(batch)
        lead = self.replica.lead.name if self.replica.lead else ""
        if digest is not None:
            self._fan_out.add(batch, digest)
        elif lead in self.replica.peers:
            self.bus.publish(SendToInstance(lead, RecordsPush((batch,))))
        else:
            # Whoever leads next, one of these does; the others read the store.
            successors = succession_order(candidates(self.replica), lead)
            names = tuple(c.name for c, _ in successors[:_LIKELY_SUCCESSORS])
            self.bus.publish(SendToInstances(RecordsPush((batch,)), names))

    def _on_records_push(self, msg: RecordsPush) -> None:
        if msg.standby:
            self._standby_until = boot_time() + _STANDBY_DURATION_S
            self._start_full_fetch()
        for batch in msg.batches:
            digest = digest_batch(self.replica, batch) if self._is_lead() else None
            # While two instances take themselves for the lead, as when one was cut
            # off, each hands on what the other does.  What is handed on only once
            # does not go back and forth between them for ever.
            if self._apply_batch(batch) and digest is not None:
                self._fan_out.add(batch, digest)

    def _on_digest_push(self, msg: DigestPush) -> PassedOn:
        """Apply what the lead says of records, and pass it on."""
        if msg.relay_to:
            push = DigestPush(msg.batches)
            self.bus.publish(SendToInstances(push, msg.relay_to))
        if not self._holds_full_replica and boot_time() >= self._standby_until:
            for batch in msg.batches:
                reader = self._readers.get(batch.partition)
                # What is known whole is not known better by a digest.
                if reader and not reader.has_applied(batch.offset, batch.count):
                    reader.has_digests = True
                    for row in batch.rows:
                        self._apply(batch.partition, row.offset, row.key, row.value)
                    reader.mark_applied(batch.offset, batch.count)
        return PassedOn()

    # Holding all of each record.

    async def _hold_full_replica(self, query: HoldFullReplica) -> None:
        """Have all that a lead goes by, now and until its term is over."""
        self._holds_full_replica = True
        await self._fetch_full_records()

    def _on_term_ended(self, event: TermEnded) -> None:
        self._holds_full_replica = False

    def _start_full_fetch(self) -> None:
        """Read what is known as digests only, before this instance has to lead."""
        under_way = self._full_fetch is not None and not self._full_fetch.done()
        if not under_way and any(r.has_digests for r in self._readers.values()):
            self._full_fetch = asyncio.create_task(self._fetch_full_records())
            self._full_fetch.add_done_callback(_LOG_FAILED_READ)

    async def _fetch_full_records(self) -> None:
        """Read anew the partitions of which records are known as digests only."""
        readers = self._readers.values()
        await asyncio.gather(
            *(self._fetch_full_partition(reader) for reader in readers)
        )

    async def _fetch_full_partition(self, reader: _Reader) -> None:
        async with reader.rebuilding:
            if reader.has_digests:
                await self._rebuild_now(reader)

    def _is_lead(self) -> bool:
        """Return whether this instance's is the newest lead that is known."""
        lead = self.replica.lead
        return lead is not None and lead.incarnation == self.instance.incarnation

    def _apply_batch(self, batch: PushedBatch) -> bool:
        """Apply records that came otherwise than by reading.

        Long polls of all instances at the store would be most of the calls to
        it, which are priced, and would show callers a change 20 ms later in
        the mean than a push does.  Whether a record was applied is known by its
        offset, so that reading fills whatever was not pushed.

        :return: whether any of them was new here.
        """
        for offset, record in enumerate(batch.records, batch.offset):
            self._apply(batch.partition, offset, record.key, record.value)
        reader = self._readers.get(batch.partition)
        return reader is not None and reader.mark_applied(
            batch.offset, len(batch.records)
        )

    async def _store_latency(self, query: StoreLatency) -> float:
        return self._reach.mean_latency_s if self._reachable else math.inf

    async def _replica_age(self, query: ReplicaAge) -> float:
        stale = [r for r in self._readers.values() if r.age_s() > query.refresh_after_s]
        # A partition that does not answer is tried anyway, and one that is read
        # from the start takes longer: another reading would cost and tell nothing.
        if (
            stale
            and self._reachable
            and all(r.is_complete and r.reachable for r in stale)
        ):
            try:
                async with asyncio.timeout(query.timeout_s):
                    await self._catch_up_partitions(stale)
            except (TimeoutError, FirhookError) as exc:
                log("replica.read_on_failed", level="debug", error=repr(exc))
        return max(reader.age_s() for reader in self._readers.values())

    async def _catch_up_partitions(self, readers: list[_Reader]) -> None:
        await asyncio.gather(*(self._catch_up_partition(reader) for reader in readers))

    async def _is_following_store(self, query: IsFollowingStore) -> bool:
        readers = self._readers.values()
        last = max(reader.answered_at for reader in readers)
        if not self._reachable:
            return False
        return (
            all(r.is_complete for r in readers)
            and boot_time() - last < _FOLLOWING_MAX_AGE_S
        )

    async def _follow(self, reader: _Reader) -> None:
        while not self.should_stop:
            try:
                if not reader.is_complete:
                    await self._rebuild(reader)
                await self._read(reader)
                self._set_reachable(reader, True)
                await self._wait_for_next_read(reader)
            except LogTrimmedError:
                # Records expired unread, for example after a long cut.  The
                # newest record of each key is kept all the same.
                log("replica.trimmed", level="warning", at=reader.next_offset)
                reader.is_complete = False
            except FirhookError as exc:
                self._set_reachable(reader, False, exc)
                await asyncio.sleep(_RETRY_S)

    @staticmethod
    async def _wait_for_next_read(reader: _Reader) -> None:
        """Wait until it is time to read again, or until a gap stays open.

        Pushes of many instances overtake each other all the time, and close the
        gap that they seemed to leave a moment later.  Read at each of these, the
        store got 26 calls a second from each of 33 instances in place of 5.
        """
        until = boot_time() + reader.interval_s
        while until - boot_time() > _GAP_TIMEOUT_S:
            if not reader.has_gap and not reader.read_requested:
                reader.wake.clear()
            try:
                # Unlike wait_for, this does not lose a cancelling that comes in the
                # moment in which the gap does.
                async with asyncio.timeout(until - boot_time()):
                    await reader.wake.wait()
            except TimeoutError:
                return
            if reader.read_requested:
                reader.read_requested = False
                return
            missing_offset = reader.next_offset
            await asyncio.sleep(_GAP_TIMEOUT_S)
            if reader.has_gap and reader.next_offset == missing_offset:
                return

    @staticmethod
    def _set_reachable(
        reader: _Reader, reachable: bool, exc: Exception | None = None
    ) -> None:
        if reachable == reader.reachable:
            return
        reader.reachable = reachable
        log(
            "store.regained" if reachable else "store.lost",
            level="info" if reachable else "warning",
            partition=reader.number,
            error=repr(exc),
        )

    async def _rebuild(self, reader: _Reader) -> None:
        """Read the newest record of each key, unless that was done meanwhile.

        At a start several ask for it at once, and each page takes half a core
        50 ms, before which nobody is served.
        """
        async with reader.rebuilding:
            if not reader.is_complete and not await self._copy_from_peer(reader):
                await self._rebuild_now(reader)

    async def _copy_from_peer(self, reader: _Reader) -> bool:
        """Have a strong peer tell what callers may ask; return whether one did."""
        if self._holds_full_replica:
            return False

        def take(row: DigestRow) -> None:
            reader.has_digests = True
            self._apply(reader.number, row.offset, row.key, row.value, False)

        copied = await self._copier.copy(reader.number, take)
        if copied is None:
            return False
        self._mark_rebuilt(reader, *copied)
        return True

    def _mark_rebuilt(self, reader: _Reader, listed: set[str], end: int) -> None:
        """Take note that all keys of a partition are known as of an offset."""
        for job_id in self.replica.drop_unlisted(reader.number, listed, end):
            self.bus.publish(JobChanged(job_id))
        reader.advance(end)
        reader.is_complete = True
        self.bus.publish(PartitionRebuilt(reader.number))

    async def _serve_copy(self, msg: CopyAsk) -> CopyReply:
        reader = self._readers.get(msg.partition)
        if reader is None or not reader.is_complete or reader.age_s() > _MAX_COPY_AGE_S:
            return CopyReply(False)
        return build_copy_reply(self.replica, msg, reader.next_offset)

    async def _rebuild_now(self, reader: _Reader) -> None:
        # Digests that come meanwhile may say more than the pages.
        had_digests, reader.has_digests = reader.has_digests, False
        try:
            newest = await self.store.read_newest(CELL_TOPIC, reader.number)
        except BaseException:
            reader.has_digests |= had_digests
            raise
        for record in newest.records:
            self._apply(reader.number, record.offset, record.key, record.value, False)
        listed = {record.key for record in newest.records}
        self._mark_rebuilt(reader, listed, newest.end)
        log(
            "replica.rebuilt",
            partition=reader.number,
            records=len(newest.records),
            offset=newest.end,
        )

    async def _read(self, reader: _Reader) -> int:
        """Read on once, and return how many records are left to read."""
        sent_at = boot_time()
        call = self._reach.note_sent(reader.number, sent_at)
        reading = self.store.read(CELL_TOPIC, reader.number, reader.next_offset)
        # A call that hangs would hide for a second that the store is back.
        timeout_s = None if self._reachable else 2 * self._reach.answer_timeout_s()
        try:
            async with asyncio.timeout(timeout_s):
                part = await reading
        except TimeoutError as exc:
            self._reach.note_failed(reader.number, call)
            raise LogUnavailableError("no answer to a read") from exc
        except LogTrimmedError:
            self._reach.note_answered(reader.number, call, boot_time())
            raise
        except BaseException:
            self._reach.note_failed(reader.number, call)
            raise
        self._reach.note_answered(reader.number, call, boot_time())
        for record in part.records:
            self._apply(reader.number, record.offset, record.key, record.value)
        reader.advance(part.next_offset)
        reader.answered_at = max(reader.answered_at, sent_at)
        left = max(part.end - reader.next_offset, 0)
        if not left:
            reader.read_to_end_at = max(reader.read_to_end_at, sent_at)
        return left

    def _apply(
        self,
        partition: int,
        offset: int,
        key: str,
        value: bytes | None,
        is_recent: bool = True,
    ) -> None:
        """Apply a record.

        :param recent: whether it may have been written just now, and so tells
            that the lead which wrote it lives.
        """
        try:
            job_id = self.replica.apply(offset, key, value, partition)
        except RecordMalformedError as exc:
            log("record.malformed", level="warning", key=key, detail=exc.detail)
            return
        if job_id is not None:
            self.bus.publish(JobChanged(job_id))
        if is_recent and value is not None:
            self._publish_lead_record(key, job_id)

    def _publish_lead_record(self, key: str, job_id: str | None) -> None:
        """Say that a lead lives, if a record is one that only leads write."""
        lead = self.replica.lead
        if key == LEAD_KEY and lead is not None:
            self.bus.publish(LeadRecordSeen(lead.epoch, lead.version))
        elif job_id is not None and key.startswith(STATE_PREFIX):
            view = self.replica.jobs.get(job_id)
            if view is not None and view.state is not None:
                version = view.state.version
                self.bus.publish(LeadRecordSeen(epoch_of(version), version))

    async def _read_to_end(self, query: ReadToEnd) -> int:
        reader = self._readers[query.partition]
        await self._catch_up_partition(reader)
        return reader.next_offset

    async def _catch_up(self, query: CatchUp) -> None:
        await self._catch_up_partitions(
            [self._readers[number] for number in query.partitions]
        )

    async def _catch_up_partition(self, reader: _Reader) -> None:
        # A reading that is under way may have been answered before the record
        # that the asker is after; so the asker waits for the next one.
        under_way = self._catching_up.get(reader.number)
        if under_way is not None:
            await asyncio.wait({under_way})
        if under_way is None or self._catching_up[reader.number].done():
            task = asyncio.create_task(self._read_to_current_end(reader))
            task.add_done_callback(_LOG_FAILED_READ)
            self._catching_up[reader.number] = task
        await asyncio.shield(self._catching_up[reader.number])

    async def _read_to_current_end(self, reader: _Reader) -> None:
        """Read to the end that the log has now.

        Records may expire between the newest ones and what follows them.  That
        says nothing of any job; told as it is, a caller would take it for "no
        such job", which has the same status.
        """
        for _ in range(_MAX_REBUILDS):
            try:
                if not reader.is_complete:
                    await self._rebuild(reader)
                left = await self._read(reader)
                # What is written from here on is not waited for: on a thin link
                # a busy cell writes about as fast as it can be read.
                end = reader.next_offset + left
                while reader.next_offset < end:
                    await self._read(reader)
                return
            except LogTrimmedError:
                log("replica.trimmed", level="warning", at=reader.next_offset)
                reader.is_complete = False
        raise LogUnavailableError(
            "the log expires faster than it is read", retry_after_s=STORE_DOWN_RETRY_S
        )

    # Appending.

    async def _append_record(self, query: AppendRecord) -> int:
        """Append a record, repeating it until an answer comes or time is up.

        Load: the store is away without a word, from all or from this instance.
        Harm: an append that gets no answer leaves the caller with neither a yes
        nor a no, and most callers do not dare to submit again after that.  Not
        sent at all, it can be refused truly and at once, with the time to come
        back; the lead, which reaches the store, may append it even so.
        """
        pending = PendingAppend(query.record, query.until)
        try:
            if not self._reachable:
                await self._relay_or_fail(pending)
            elif self._should_use_lead():
                await self._append_through_lead(pending)
            if not pending.done.done():
                self._own_appends.add(pending)
            while not pending.done.done():
                await pending.wait(_REACH_CHECK_INTERVAL_S)
                if pending.done.done():
                    break
                if not self._reachable:
                    await self._relay_or_fail(pending)
                elif self._should_use_lead():
                    await self._append_through_lead(pending)
        except BaseException:
            pending.abandon()
            raise
        return await pending.done

    def _should_use_lead(self) -> bool:
        """Return whether records are to go through the lead, and one is heard."""
        if self._lead_is_silent:
            return False
        return self._route.should_use_lead(boot_time(), self._reach.answered_at)

    async def _relay_or_fail(self, pending: PendingAppend) -> None:
        """End the wait for a store that is out of reach."""
        left_s = pending.until - boot_time()
        try:
            reply = await self._relay(pending, min(_RELAY_TIMEOUT_S, left_s))
        except LogOutcomeUnknownError:
            reply = None
        if reply is not None:
            pending.resolve(reply.offset)
        pending.fail(
            LogUnavailableError(
                "the store is out of reach", retry_after_s=_OTHER_INSTANCE_RETRY_S
            )
        )

    async def _append_through_lead(self, pending: PendingAppend) -> None:
        """Have the lead append a record with those of other instances.

        An append of this instance that is under way may still be the first to
        settle it.
        """
        left_s = pending.until - boot_time()
        if left_s < _MIN_RELAY_S:
            pending.fail(append_timeout_error())
            return
        if self._is_lead():
            self._relayed_appends.add(pending)
            began = boot_time()
            await asyncio.wait({pending.done}, timeout=left_s)
            self._route.note_lead_append(boot_time() - began)
            return
        relaying = asyncio.create_task(
            self._relay(pending, min(left_s, APPEND_TIMEOUT_S))
        )
        relaying.add_done_callback(_LOG_UNREAD_RELAY)
        try:
            await asyncio.wait({relaying, pending.done}, return_when=FIRST_COMPLETED)
            if not relaying.done():
                return
            reply = relaying.result()
        except LogOutcomeUnknownError:
            reply = None
        finally:
            relaying.cancel()
        if reply is None:
            self._route.note_lead_failure(boot_time())
            return
        self._route.note_lead_append(reply.took_s)
        pending.resolve(reply.offset)

    async def _relay(
        self, pending: PendingAppend, within_s: float
    ) -> AppendReply | None:
        """Have the lead append a record; return ``None`` if it did not.

        The record is open until the lead says so: an append of this instance that
        is refused meanwhile does not mean that it was not recorded.

        :raises LogOutcomeUnknownError: if the lead did not say.
        """
        lead = await self.bus.ask(LiveLead())
        if not lead:
            return None
        record = PushedRecord(pending.record.key, pending.record.value)
        body = AppendAsk(record, within_s)
        pending.unresolved += 1
        try:
            reply = await self.bus.ask(AskInstance(lead, body, within_s))
        except PeerUnreachableError as exc:
            if exc.ran == "no":
                pending.unresolved -= 1
                return None
            raise LogOutcomeUnknownError(
                f"through {lead}: {exc.detail}", retry_after_s=_OTHER_INSTANCE_RETRY_S
            ) from exc
        if not isinstance(reply, AppendReply) or not reply.taken:
            pending.unresolved -= 1
            return None
        self.meters.count("relayed", lead)
        return reply

    async def _serve_append(self, msg: AppendAsk) -> AppendReply:
        """Append for an instance that the store turns away, or whose appends wait."""
        if not self._reachable:
            return AppendReply(False)
        record = KeyedRecord(msg.record.key, msg.record.value)
        began = boot_time()
        pending = PendingAppend(record, began + msg.within_s - _REPLY_MARGIN_S)
        self._relayed_appends.add(pending)
        try:
            while not pending.done.done():
                await pending.wait(_REACH_CHECK_INTERVAL_S)
                if not self._reachable:
                    pending.fail(append_timeout_error())
            offset = await pending.done
        except LogUnavailableError as exc:
            log("relay.refused", level="warning", key=record.key, error=exc.detail)
            return AppendReply(False)
        except LogOutcomeUnknownError as exc:
            log("relay.unknown", level="warning", key=record.key, error=exc.detail)
            raise
        except asyncio.CancelledError:
            pending.abandon()
            raise
        return AppendReply(True, offset, boot_time() - began)
