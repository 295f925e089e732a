"""Model of the platform's store: partitions, newest values and producers."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Sequence

import attrs

from firhook.errors import (
    LogFencedError,
    LogMovedError,
    LogOutcomeUnknownError,
    LogRecordRefusedError,
    LogSequenceError,
    LogTrimmedError,
    LogUnavailableError,
)
from firhook.platform.store import (
    CELL_TOPIC,
    AppendResult,
    NewestRecords,
    Producer,
    Slice,
    Store,
    StoredRecord,
)
from standins.model._time import now, pause

#: Times of the unloaded store: of a call, and of an append within its partition.
ROUND_TRIP_S = 0.004
APPEND_S = 0.001
#: Bytes that a partition of the unloaded store appends in a second.
APPEND_BYTES_S = 20e6
#: An append is refused if it would wait longer than this behind others.
APPEND_QUEUE_S = 2.0
#: How long clients wait for an answer that does not come.
NO_ANSWER_S = 1.5


def split_keyed(content: bytes) -> tuple[str, bytes | None]:
    """Return the key and the value of an encoded keyed record."""
    end = 1 + content[0]
    return content[1:end].decode(), content[end:] or None


@attrs.define(eq=False)
class _Partition:
    """The records of a partition and the state of its producer.

    :ivar first: offset of the first retained record.
    :ivar newest: offset and value of the newest record of each key.
    :ivar epoch: highest epoch of a producer so far.
    :ivar sequence: last sequence number within the epoch.
    :ivar answers: results of recent appends, by sequence number.
    :ivar busy_until: time at which the accepted appends are done.
    :ivar appended: set and replaced with each append, to wake waiting readers.
    """

    records: list[bytes] = attrs.field(factory=list)
    first: int = 0
    newest: dict[str, tuple[int, bytes]] = attrs.field(factory=dict)
    epoch: int = -1
    sequence: int = -1
    answers: dict[int, AppendResult] = attrs.field(factory=dict)
    busy_until: float = 0.0
    appended: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def add(self, contents: Sequence[bytes]) -> AppendResult:
        offset = self.end
        for content in contents:
            key, value = split_keyed(content)
            if value is None:
                self.newest.pop(key, None)
            else:
                self.newest[key] = (self.end, value)
            self.records.append(content)
        if contents:
            self.appended.set()
            self.appended = asyncio.Event()
        return AppendResult(offset, self.end)

    def add_as_producer(
        self, contents: Sequence[bytes], producer: Producer
    ) -> AppendResult:
        if producer.epoch < self.epoch:
            raise LogFencedError("the store has seen a higher epoch")
        if producer.epoch > self.epoch:
            self.epoch, self.sequence, self.answers = producer.epoch, -1, {}
        if not contents:
            return AppendResult(self.end, self.end)
        if producer.sequence in self.answers:
            return self.answers[producer.sequence]
        if self.sequence >= 0 and producer.sequence != self.sequence + 1:
            raise LogSequenceError(
                "unexpected sequence number", expected=self.sequence + 1
            )
        self.sequence = producer.sequence
        self.answers[producer.sequence] = self.add(contents)
        self.answers.pop(producer.sequence - 5, None)
        return self.answers[producer.sequence]


@attrs.frozen(eq=False)
class ModelAppend:
    """An append that a client has sent."""

    topic: str
    partition: int
    records: Sequence[bytes]
    producer: Producer | None
    expected_end: int | None

    @property
    def keys(self) -> list[str]:
        """The keys of its records."""
        return [split_keyed(record)[0] for record in self.records]


class ModelStore:
    """State of the store, shared by the clients of all instances.

    :ivar mode: behaviour by instance, ``*`` for all instances: ``up``, ``busy``
        (503) or ``silent`` (calls have no effect and no answer).
    :ivar down_partitions: numbers of the partitions whose calls are refused.
    :ivar slow: factor on the store's times.
    :ivar serial_appends: whether a partition runs its appends one after the other
        and refuses those that would wait too long.
    :ivar lost_share: share of writes that take effect and are not answered.
    :ivar late_share: share of writes that take effect seconds later and are not
        answered.
    :ivar holds: decides which appends are neither carried out nor answered until
        :meth:`carry_out` is called; ``None`` holds none.
    :ivar held: the appends that were held, the oldest first.
    :ivar partition_read_s: time that an instance's link takes to transfer a read of
        a partition, by instance and partition.
    :ivar link_bytes_s: bandwidth of an instance's link for the cell's records, in
        bytes per second by instance; unlimited if absent.
    :ivar full_reads: number of reads of a full partition, by instance.
    :ivar max_read_records: the largest number of records in an answer.
    :ivar record_bytes: the largest record that is accepted.
    :ivar refused_keys: keys of which each record is refused for good.
    :ivar refusals: number of appends that were refused for good.
    """

    def __init__(self, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.partitions: dict[tuple[str, int], _Partition] = {}
        self.mode: dict[str, str] = {}
        self.down_partitions: set[int] = set()
        self.slow = 1.0
        self.serial_appends = False
        self.lost_share = 0.0
        self.late_share = 0.0
        self.holds: Callable[[ModelAppend], bool] | None = None
        self.held: list[ModelAppend] = []
        self.partition_read_s: dict[tuple[str, int], float] = {}
        self.link_bytes_s: dict[str, float] = {}
        self.full_reads: Counter[str] = Counter()
        self.max_read_records = 1_000_000
        self.record_bytes = 262_144
        self.refused_keys: set[str] = set()
        self.refusals = 0
        self.writes = 0
        self.reads = 0

    def partition(self, topic: str, number: int = 0) -> _Partition:
        """Return a partition; create it on first use."""
        return self.partitions.setdefault((topic, number), _Partition())

    def put(self, topic: str, key: str, value: bytes | None) -> int:
        """Append a keyed record as an operator or a worker does; return its offset."""
        content = bytes((len(key.encode()),)) + key.encode() + (value or b"")
        return self.partition(topic).add([content]).offset

    def expire_history(self) -> None:
        """Expire all records except the newest of each key."""
        for part in self.partitions.values():
            part.first, part.records = part.end, []

    def carry_out(self, append: ModelAppend) -> None:
        """Carry out a held append if its condition still holds."""
        try:
            self.add(append)
        except (
            LogFencedError,
            LogSequenceError,
            LogMovedError,
            LogRecordRefusedError,
        ):
            return

    def add(self, append: ModelAppend) -> AppendResult:
        """Carry out an append.

        :raises LogFencedError: if a higher epoch was set.
        :raises LogSequenceError: if its sequence number is not the next one.
        :raises LogMovedError: if the partition does not end as expected.
        :raises LogRecordRefusedError: if a record is too large.
        """
        too_large = any(len(record) > self.record_bytes for record in append.records)
        if too_large or self.refused_keys.intersection(append.keys):
            self.refusals += 1
            raise LogRecordRefusedError("a record is refused")
        part = self.partition(append.topic, append.partition)
        if append.expected_end is not None and part.end != append.expected_end:
            raise LogMovedError("unexpected end of the partition", end=part.end)
        if append.producer is None:
            return part.add(append.records)
        return part.add_as_producer(append.records, append.producer)

    def client(self, instance: str) -> "ModelStoreClient":
        """Return an instance's client of the store."""
        return ModelStoreClient(self, instance)


def _consume_error(call: "asyncio.Future[AppendResult]") -> None:
    """Mark the error of a call as retrieved, as its client may have given up."""
    if not call.cancelled():
        call.exception()


class ModelStoreClient(Store):
    """Client of the store for one instance."""

    def __init__(self, store: ModelStore, instance: str) -> None:
        self.calls = {}
        self._store = store
        self._instance = instance
        self.alive = True

    def _mode(self) -> str:
        modes = self._store.mode
        return modes.get(self._instance, modes.get("*", "up"))

    async def _begin_call(
        self, partition: int = -1, silence_s: float = NO_ANSWER_S
    ) -> None:
        await pause(ROUND_TRIP_S / 2 * self._store.slow)
        mode = "busy" if partition in self._store.down_partitions else self._mode()
        if mode == "busy":
            raise LogUnavailableError("the store is busy", retry_after_s=0.5)
        if mode == "silent":
            await pause(silence_s)
            raise LogOutcomeUnknownError("no answer")

    async def _end_call(self, wrote: bool = False) -> None:
        await pause(ROUND_TRIP_S / 2 * self._store.slow)
        lost = wrote and self._store.rng.random() < self._store.lost_share
        if lost or self._mode() == "silent":
            await pause(NO_ANSWER_S)
            raise LogOutcomeUnknownError("the answer was lost")

    async def _transfer(
        self, topic: str, partition: int, records: Sequence[StoredRecord]
    ) -> None:
        if topic != CELL_TOPIC:
            return
        wait_s = self._store.partition_read_s.get((self._instance, partition), 0.0)
        rate = self._store.link_bytes_s.get(self._instance)
        if rate is not None:
            wait_s += sum(len(r.key) + len(r.value or b"") for r in records) / rate
        await pause(wait_s)

    async def append(
        self,
        topic: str,
        partition: int,
        records: Sequence[bytes],
        producer: Producer | None = None,
        expected_end: int | None = None,
        timeout_s: float | None = None,
    ) -> AppendResult:
        """See :meth:`Store.append`."""
        self._store.writes += 1
        # A call that its client gives up is carried out all the same.
        append = ModelAppend(topic, partition, records, producer, expected_end)
        call = asyncio.ensure_future(self._append(append, timeout_s))
        call.add_done_callback(_consume_error)
        done, _ = await asyncio.wait({call}, timeout=timeout_s or NO_ANSWER_S)
        if not done:
            raise LogOutcomeUnknownError("no answer in time")
        return call.result()

    async def _append(
        self, append: ModelAppend, timeout_s: float | None
    ) -> AppendResult:
        store = self._store
        silence_s = min(timeout_s or NO_ANSWER_S, NO_ANSWER_S)
        await self._begin_call(append.partition, silence_s)
        if store.holds is not None and store.holds(append):
            store.held.append(append)
            await pause(NO_ANSWER_S)
            raise LogOutcomeUnknownError("the append is held")
        if store.rng.random() < store.late_share:
            late_s = 1 + 5 * store.rng.random()
            asyncio.get_running_loop().call_later(late_s, store.carry_out, append)
            await pause(NO_ANSWER_S)
            raise LogOutcomeUnknownError("the append is delayed")
        size = sum(len(record) for record in append.records)
        part = store.partition(append.topic, append.partition)
        await self._wait_turn(part, size)
        done = store.add(append)
        await self._end_call(wrote=True)
        return done

    async def _wait_turn(self, part: _Partition, size: int) -> None:
        if not self._store.serial_appends:
            part.busy_until = now()
        if part.busy_until - now() > APPEND_QUEUE_S:
            raise LogUnavailableError("the store is busy", retry_after_s=0.5)
        takes_s = (APPEND_S + size / APPEND_BYTES_S) * self._store.slow
        part.busy_until = max(part.busy_until, now()) + takes_s
        await pause(part.busy_until - now())

    async def read(
        self, topic: str, partition: int, offset: int, wait_s: float = 0.0
    ) -> Slice:
        """See :meth:`Store.read`."""
        self._store.reads += 1
        await self._begin_call(partition if topic == CELL_TOPIC else -1)
        part = self._store.partition(topic, partition)
        until = now() + wait_s
        while part.end <= offset and now() < until:
            try:
                await asyncio.wait_for(part.appended.wait(), until - now())
            except TimeoutError:
                break
        if offset < part.first:
            raise LogTrimmedError(topic)
        next_offset = min(part.end, offset + self._store.max_read_records)
        records = tuple(
            StoredRecord(i, *split_keyed(part.records[i - part.first]))
            for i in range(offset, next_offset)
        )
        done = Slice(records, next_offset, part.end)
        await self._transfer(topic, partition, records)
        await self._end_call()
        return done

    async def read_newest(
        self, topic: str, partition: int = 0, after: str = "", until: str = ""
    ) -> NewestRecords:
        """See :meth:`Store.read_newest`."""
        self._store.reads += 1
        await self._begin_call(partition if topic == CELL_TOPIC else -1)
        part = self._store.partition(topic, partition)
        kept = tuple(
            record
            for record in self._newest_records(part)
            if record.key > after and (not until or record.key < until)
        )
        done = NewestRecords(kept, part.end)
        if not until:
            self._store.full_reads[self._instance] += topic == CELL_TOPIC
            await self._transfer(topic, partition, kept)
        await self._end_call()
        return done

    @staticmethod
    def _newest_records(part: _Partition) -> tuple[StoredRecord, ...]:
        return tuple(
            StoredRecord(offset, key, value)
            for key, (offset, value) in sorted(part.newest.items())
        )
