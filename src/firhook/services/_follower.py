"""Follows the cell's topic and appends callers' records to it."""

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
from firhook.cell import LeadRecord
from firhook.cell.records import (
    CLAIM_KEY,
    LEAD_KEY,
    STATE_PREFIX,
    decode_record,
    epoch_of,
)
from firhook.clock import boot_time
from firhook.decide.append_route import AppendRoute
from firhook.decide.election import succession_order
from firhook.decide.store_reachability import StoreReachability
from firhook.errors import (
    FirhookError,
    LogOutcomeUnknownError,
    LogRecordRefusedError,
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

#: Interval between reads of the store.  Peers push the records that they append;
#: a read makes up for a lost push.
_READ_INTERVAL_S = 0.5
#: The fallback partitions are read less often: they are used only while the first
#: ones fail, and records appended there are pushed as well.
_FALLBACK_READ_INTERVAL_S = 2.0
#: A gap between pushed records is read from the store if the missing record does
#: not arrive in this time.  Pushes of two instances overtake each other by some
#: 10 ms, more on a busy machine.
_GAP_TIMEOUT_S = 0.05
#: An instance that received full records as a standby for the lead ignores digests
#: for this time; records that it does not receive in full it reads from the store.
_STANDBY_DURATION_S = 2.0
#: Number of likely successors that receive records while no lead is reachable.
_LIKELY_SUCCESSORS = 4
#: A partition that was last read to its end longer ago is not offered for copying.
_MAX_COPY_AGE_S = 3.0
#: Number of records that are applied before other work gets a turn.
_RECORDS_PER_TURN = 200
#: Delay between attempts while the store does not answer.
_RETRY_S = 0.15
#: The instance follows the store if a read sent within this time was answered.  It
#: spans several reads, one of which may be lost.
_FOLLOWING_MAX_AGE_S = 3.0
#: Limit of rebuilds of a partition for one query if its records expire meanwhile.
#: The platform keeps records for many seconds, so one normally suffices.
_MAX_REBUILDS = 3
#: Retry delay for callers if the store may be unreachable from this instance only:
#: another instance serves them then.
_OTHER_INSTANCE_RETRY_S = 1.0
#: Interval between checks whether the store is reachable.
_REACH_CHECK_INTERVAL_S = 0.1
#: Timeout of an append by the lead for an instance that cannot reach the store.
_RELAY_TIMEOUT_S = 0.4
#: The lead answers this long before the time limit of the request.
_REPLY_MARGIN_S = 0.05
#: With less time left a record is not sent to the lead any more.
_MIN_RELAY_S = 0.1
#: Logs a failed read: whoever waited for it may have given up by then.
_LOG_FAILED_READ = log_failure("replica.reading_failed", level="debug")
#: Logs a failed relay that nobody awaits: the record may be resolved before the lead's
#: answer about it arrives.
_LOG_UNREAD_RELAY = log_failure("relay.unheard", level="debug")


class _Reader:
    """Read position and state of one partition of the cell's topic.

    :ivar interval_s: time between two reads.
    :ivar next_offset: all records before this offset are applied.
    :ivar is_complete: whether the newest record of each key is known.
    :ivar reachable: whether the last read was answered.
    :ivar answered_at: when the last read that was answered was sent.
    :ivar read_to_end_at: when the last read was sent that left nothing unread.
    :ivar wake: set if the partition may have to be read before its interval is over.
    :ivar read_requested: whether the partition is to be read at once.
    :ivar has_digests: whether some records were applied only as digests, which contain
        what callers can see of a record.
    :ivar rebuilding: held while all newest records are read.
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
        """Request a read as soon as possible."""
        self.read_requested = True
        self.wake.set()

    def age_s(self) -> float:
        """Return the seconds since the last read was sent that left nothing unread."""
        return boot_time() - self.read_to_end_at

    @property
    def has_gap(self) -> bool:
        """Whether records were applied that follow a missing one."""
        return bool(self._applied_ahead)

    def has_applied(self, offset: int, count: int) -> bool:
        """Return whether ``count`` records from an offset on were applied."""
        return offset + count <= self.next_offset or offset in self._applied_ahead

    def mark_applied(self, offset: int, count: int) -> bool:
        """Record that pushed records were applied; return whether they were new."""
        if self.has_applied(offset, count):
            return False
        self._applied_ahead[offset] = offset + count
        self.advance(self.next_offset)
        if self._applied_ahead:
            self.wake.set()
        return True

    def advance(self, offset: int) -> None:
        """Record that all records before an offset were applied."""
        self.next_offset = max(self.next_offset, offset)
        for start in sorted(self._applied_ahead):
            if start > self.next_offset:
                return
            self.next_offset = max(self.next_offset, self._applied_ahead.pop(start))


@register_service("follower")
class Follower(InstanceService):
    """Keeps the replica up to date and appends records for callers and peers."""

    def register_handlers(self) -> None:
        """Register the handlers of queries and events."""
        preferred = (LEAD_PARTITIONS[0], RELAYED_PARTITIONS[0])
        self._readers = {
            number: _Reader(
                number,
                _READ_INTERVAL_S if number in preferred else _FALLBACK_READ_INTERVAL_S,
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
            lambda: not self._reachable or self._should_use_lead(),
        )
        self._relayed_appends = self._create_queue(
            RELAYED_PARTITIONS, lambda: not self._reachable
        )
        self._fan_out = FanOutSender(self, self.add_future)
        self._copier = ReplicaCopier(self)
        self._holds_full_replica = False
        self._standby_until = float("-inf")
        self._full_fetch: asyncio.Task[None] | None = None
        self.bus.register_handler(CatchUp, self._catch_up)
        self.bus.register_handler(ReadToEnd, self._read_to_end)
        self.bus.register_handler(AppendRecord, self._append_record)
        self.bus.register_handler(StoreLatency, self._store_latency)
        self.bus.register_handler(ReplicaAge, self._replica_age)
        self.bus.register_handler(IsFollowingStore, self._is_following_store)
        self.bus.register_handler(HoldFullReplica, self._hold_full_replica)
        self.bus.subscribe(RecordsAppended, self._on_appended)
        self.bus.subscribe(TermEnded, self._on_term_ended)

    def _create_queue(
        self, partitions: tuple[int, ...], is_paused: Callable[[], bool]
    ) -> AppendQueue:
        return AppendQueue(
            self.store,
            self._reach,
            partitions,
            self.settings.store_limits.append_bytes // 2,
            is_paused,
            self.bus.publish,
        )

    async def on_started(self) -> None:
        """Register the handlers of messages and start to follow the topic."""
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

    # Reachability of the store.

    async def _watch_store(self) -> None:
        """Read all partitions at once if one of them or the lead does not answer.

        At their usual intervals the reads would show only seconds later whether the
        store is reachable.  When the zone of this instance is cut off, missing
        heartbeats of the lead are the first sign.
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
        """Apply records that this instance appended, and push them to peers."""
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
            # One of these most likely leads next; all others read the store.
            successors = succession_order(candidates(self.replica), lead)
            names = tuple(c.name for c, _ in successors[:_LIKELY_SUCCESSORS])
            self.bus.publish(SendToInstances(RecordsPush((batch,)), names))

    def _on_records_push(self, msg: RecordsPush) -> None:
        if msg.standby:
            self._standby_until = boot_time() + _STANDBY_DURATION_S
            self._start_full_fetch()
        for batch in msg.batches:
            digest = digest_batch(self.replica, batch) if self._is_lead() else None
            # Two instances may consider themselves the lead, for example after one
            # was cut off.  Each then forwards the other's records.  Forwarding only
            # new ones keeps records from being sent back and forth for ever.
            if self._apply_batch(batch) and digest is not None:
                self._fan_out.add(batch, digest)

    def _on_digest_push(self, msg: DigestPush) -> PassedOn:
        """Apply digests sent by the lead, and relay them if requested."""
        if msg.relay_to:
            push = DigestPush(msg.batches)
            self.bus.publish(SendToInstances(push, msg.relay_to))
        if not self._holds_full_replica and boot_time() >= self._standby_until:
            for batch in msg.batches:
                reader = self._readers.get(batch.partition)
                # A digest must not replace a full record.
                if reader and not reader.has_applied(batch.offset, batch.count):
                    reader.has_digests = True
                    for row in batch.rows:
                        self._apply(batch.partition, row.offset, row.key, row.value)
                    reader.mark_applied(batch.offset, batch.count)
        return PassedOn()

    # Full records in place of digests.

    async def _hold_full_replica(self, query: HoldFullReplica) -> None:
        """Load the full records that a lead needs, and keep to them for its term."""
        self._holds_full_replica = True
        if query.reload:
            for reader in self._readers.values():
                reader.has_digests = True
        await self._fetch_full_records()

    def _on_term_ended(self, event: TermEnded) -> None:
        self._holds_full_replica = False

    def _start_full_fetch(self) -> None:
        """Start to replace digests by full records; this instance may have to lead."""
        under_way = self._full_fetch is not None and not self._full_fetch.done()
        if not under_way and any(r.has_digests for r in self._readers.values()):
            self._full_fetch = asyncio.create_task(self._fetch_full_records())
            self._full_fetch.add_done_callback(_LOG_FAILED_READ)

    async def _fetch_full_records(self) -> None:
        """Rebuild the partitions that hold records as digests only."""
        readers = self._readers.values()
        await asyncio.gather(
            *(self._fetch_full_partition(reader) for reader in readers)
        )

    async def _fetch_full_partition(self, reader: _Reader) -> None:
        async with reader.rebuilding:
            if reader.has_digests:
                await self._rebuild_now(reader)

    def _is_lead(self) -> bool:
        """Return whether the newest lead on record is this incarnation."""
        lead = self.replica.lead
        return lead is not None and lead.incarnation == self.instance.incarnation

    def _apply_batch(self, batch: PushedBatch) -> bool:
        """Apply records that were appended here or pushed by a peer.

        Without pushes all instances would long-poll the store.  These polls would
        be most of the calls to the store, each of which is charged for, and callers
        would see a change 20 ms later on average.  Offsets tell which records were
        applied, so that reads fill in those that were not pushed.

        :return: whether any of the records was new to this instance.
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
        # A partition that does not answer is retried in any case, and a rebuild
        # takes longer than this query may: another read would only cost a call.
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
                # Records expired unread, for example after a long disconnection.
                # The store still has the newest record of each key.
                log("replica.trimmed", level="warning", at=reader.next_offset)
                reader.is_complete = False
            except FirhookError as exc:
                self._set_reachable(reader, False, exc)
                await asyncio.sleep(_RETRY_S)

    @staticmethod
    async def _wait_for_next_read(reader: _Reader) -> None:
        """Wait until the next read is due or requested, or until a gap persists.

        Pushes of many instances overtake each other all the time, so that most gaps
        close a moment later.  With a read for each of them, the store would receive
        26 calls a second from each of 33 instances instead of 5.
        """
        until = boot_time() + reader.interval_s
        while until - boot_time() > _GAP_TIMEOUT_S:
            if not reader.has_gap and not reader.read_requested:
                reader.wake.clear()
            try:
                # Unlike wait_for, this does not lose a cancellation that arrives at
                # the same moment as the event.
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
        """Load the newest record of each key, unless that was done meanwhile.

        At the start of an instance several tasks request this at once.  Each page
        takes 50 ms on half a core, and nothing else is served in that time.
        """
        async with reader.rebuilding:
            if not reader.is_complete and not await self._copy_from_peer(reader):
                await self._rebuild_now(reader)

    async def _copy_from_peer(self, reader: _Reader) -> bool:
        """Copy a partition as digests from a strong peer; return whether it worked."""
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
        """Record that all keys of a partition are known up to an offset."""
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
        # Digests that arrive meanwhile may be newer than the pages.
        had_digests, reader.has_digests = reader.has_digests, False
        try:
            newest = await self.store.read_newest(CELL_TOPIC, reader.number)
            for count, record in enumerate(newest.records):
                if count % _RECORDS_PER_TURN == 0:
                    # A lead reads again while it renews leases.
                    await asyncio.sleep(0)
                self._apply(
                    reader.number, record.offset, record.key, record.value, False
                )
        except BaseException:
            reader.has_digests |= had_digests
            raise
        listed = {record.key for record in newest.records}
        self._mark_rebuilt(reader, listed, newest.end)
        log(
            "replica.rebuilt",
            partition=reader.number,
            records=len(newest.records),
            offset=newest.end,
        )

    async def _read(self, reader: _Reader) -> int:
        """Read once from the next offset; return the number of records still unread."""
        sent_at = boot_time()
        call = self._reach.note_sent(reader.number, sent_at)
        reading = self.store.read(CELL_TOPIC, reader.number, reader.next_offset)
        # A hanging call would hide for a second that the store is reachable again.
        timeout_s = None if self._reachable else 2 * self._reach.answer_timeout_s()
        try:
            async with asyncio.timeout(timeout_s):
                part = await reading
        except TimeoutError as exc:
            self._reach.note_failed(reader.number, call)
            raise LogUnavailableError("read from the store timed out") from exc
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

        :param is_recent: whether it may have been written just now, which shows that
            the lead that wrote it is alive.
        """
        try:
            if key == LEAD_KEY and value is not None:
                self._log_late_lead_record(offset, value)
            job_id = self.replica.apply(offset, key, value, partition)
        except RecordMalformedError as exc:
            log("record.malformed", level="warning", key=key, detail=exc.detail)
            return
        if job_id is not None:
            self.bus.publish(JobChanged(job_id))
        if is_recent and value is not None:
            self._publish_lead_record(key, job_id)

    def _log_late_lead_record(self, offset: int, value: bytes) -> None:
        """Log a record of a lead that follows a record of its successor.

        The store may carry out an append seconds after it was sent.

        :raises RecordMalformedError: if the value is not a record of a lead.
        """
        record, known = decode_record(LeadRecord, value), self.replica.lead
        if known is not None and record.epoch < known.epoch:
            self.meters.count("lead_records_late")
            log(
                "lead.record_late",
                epoch=record.epoch,
                lead=record.name,
                offset=offset,
                known_epoch=known.epoch,
                known_lead=known.name,
            )

    def _publish_lead_record(self, key: str, job_id: str | None) -> None:
        """Publish that a lead is alive if only leads write this kind of record."""
        lead = self.replica.lead
        if key in (CLAIM_KEY, LEAD_KEY) and lead is not None:
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
        # A read that is under way may have been answered before the record that
        # the requester expects was appended, so a read that starts later is awaited.
        under_way = self._catching_up.get(reader.number)
        if under_way is not None:
            await asyncio.wait({under_way})
        if under_way is None or self._catching_up[reader.number].done():
            task = asyncio.create_task(self._read_to_current_end(reader))
            task.add_done_callback(_LOG_FAILED_READ)
            self._catching_up[reader.number] = task
        await asyncio.shield(self._catching_up[reader.number])

    async def _read_to_current_end(self, reader: _Reader) -> None:
        """Read a partition to the current end of the log.

        Records may expire between the read of the newest ones and the read of those
        that follow.  That error must not reach callers: its HTTP status is that of
        "no such job", although it says nothing about any job.
        """
        for _ in range(_MAX_REBUILDS):
            try:
                if not reader.is_complete:
                    await self._rebuild(reader)
                left = await self._read(reader)
                # Records appended from here on are not awaited: over a slow link a
                # busy cell appends about as fast as records can be read.
                end = reader.next_offset + left
                while reader.next_offset < end:
                    await self._read(reader)
                return
            except LogTrimmedError:
                log("replica.trimmed", level="warning", at=reader.next_offset)
                reader.is_complete = False
        raise LogUnavailableError("records expire faster than they are read")

    # Appending.

    async def _append_record(self, query: AppendRecord) -> int:
        """Append a record, repeating the append until an answer or the time limit.

        The store may stop answering, for all instances or for this one.  An append
        without an answer leaves the caller with an unknown outcome, and most callers
        do not dare to submit again after that.  A record that was never sent can be
        refused at once, with a retry delay.
        """
        pending = PendingAppend(query.record, query.until)
        is_queued = False
        try:
            while not pending.done.done():
                if not self._reachable:
                    await self._relay_or_fail(pending)
                elif self._should_use_lead():
                    await self._append_through_lead(pending)
                else:
                    if not is_queued:
                        is_queued = True
                        self._own_appends.add(pending)
                    await pending.wait(_REACH_CHECK_INTERVAL_S)
        except BaseException:
            pending.abandon()
            raise
        return await pending.done

    def _should_use_lead(self) -> bool:
        """Return whether to append through the lead; ``False`` if none is reachable."""
        if self._is_lead():
            return True
        return not self._lead_is_silent and self._route.should_use_lead(boot_time())

    async def _relay_or_fail(self, pending: PendingAppend) -> None:
        """Have the lead append a record, or fail it, as the store is unreachable."""
        left_s = pending.until - boot_time()
        try:
            reply = await self._relay(pending, min(_RELAY_TIMEOUT_S, left_s))
        except LogOutcomeUnknownError:
            reply = None
        if reply is not None:
            pending.resolve(reply.offset)
        pending.fail(
            LogUnavailableError(
                "the store is unreachable", retry_after_s=_OTHER_INSTANCE_RETRY_S
            )
        )

    async def _append_through_lead(self, pending: PendingAppend) -> None:
        """Have the lead append a record together with those of other instances.

        An append by this instance that is already under way may finish first.
        """
        left_s = pending.until - boot_time()
        if left_s < _MIN_RELAY_S:
            pending.fail(append_timeout_error())
            return
        if self._is_lead():
            self._relayed_appends.add(pending)
            while not pending.done.done():
                await pending.wait(left_s)
            return
        relaying = asyncio.create_task(
            self._relay(pending, min(left_s, APPEND_TIMEOUT_S))
        )
        relaying.add_done_callback(_LOG_UNREAD_RELAY)
        try:
            await self._wait_for_relay(relaying, pending)
            if not relaying.done():
                if not pending.done.done():
                    self._route.note_lead_silent(boot_time())
                return
            reply = relaying.result()
        except LogOutcomeUnknownError:
            self._route.note_lead_silent(boot_time())
            return
        finally:
            relaying.cancel()
        if reply is None:
            self._route.note_lead_refusal(boot_time())
            return
        pending.resolve(reply.offset)

    async def _wait_for_relay(
        self, relaying: asyncio.Task[AppendReply | None], pending: PendingAppend
    ) -> None:
        """Wait for the lead's answer, unless the lead or the store is lost first."""
        while not relaying.done() and not pending.done.done():
            await asyncio.wait(
                {relaying, pending.done},
                timeout=_REACH_CHECK_INTERVAL_S,
                return_when=FIRST_COMPLETED,
            )
            if self._lead_is_silent:
                return

    async def _relay(
        self, pending: PendingAppend, within_s: float
    ) -> AppendReply | None:
        """Have the lead append a record; return ``None`` if it did not.

        The record stays unresolved until the lead answers: a refused append by this
        instance does not mean that the lead did not store the record.

        :raises LogOutcomeUnknownError: if the lead does not answer.
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
        """Append for another instance, together with the records of all others."""
        if not self._reachable:
            return AppendReply(False)
        record = KeyedRecord(msg.record.key, msg.record.value)
        pending = PendingAppend(record, boot_time() + msg.within_s - _REPLY_MARGIN_S)
        self._relayed_appends.add(pending)
        try:
            while not pending.done.done():
                await pending.wait(_REACH_CHECK_INTERVAL_S)
                if not self._reachable:
                    pending.fail(append_timeout_error())
            offset = await pending.done
        except (LogUnavailableError, LogRecordRefusedError) as exc:
            log("relay.refused", level="warning", key=record.key, error=exc.detail)
            return AppendReply(False)
        except LogOutcomeUnknownError as exc:
            log("relay.unknown", level="warning", key=record.key, error=exc.detail)
            raise
        except asyncio.CancelledError:
            pending.abandon()
            raise
        return AppendReply(True, offset)
