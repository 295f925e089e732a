"""An instance's replica of the records in the cell's topic."""

import heapq
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import attrs

from firhook.cell._config import Queue
from firhook.cell._job_limits import CANCEL_MEMORY_BYTES, ENDED_SIZE, JobSize
from firhook.cell._records import (
    CANCEL_PREFIX,
    CLAIM_KEY,
    JOB_PREFIX,
    LEAD_KEY,
    MESH_KEY,
    PEER_PREFIX,
    STATE_PREFIX,
    AcceptedJob,
    CancelRequest,
    JobStatus,
    LeadRecord,
    MeshKeys,
    PeerRecord,
    StateSummary,
    decode_record,
    decode_state_summary,
    digest_of,
)

_NO_CANCELS: Mapping[str, tuple[str, str] | None] = {}
_JOB_PREFIXES = (JOB_PREFIX, CANCEL_PREFIX, STATE_PREFIX)
#: Tombstones kept per partition.  The lead deletes at most some hundred keys a second,
#: and a partition is read from its start in less than a minute.
_MAX_TOMBSTONES = 20_000


@attrs.define(slots=True, eq=False)
class JobView:
    """What an instance knows about a job.

    :ivar accepted: the accepted job; ``None`` while only a cancellation or a state is
        known.
    :ivar owners: all owners that submitted the id, if there are several.
    :ivar cancels: the recorded cancellations: the owner whose submission each concerns,
        or ``None`` if it concerns that of any owner, by the name that the key has after
        the job's id.
    :ivar state: the newest state written by a lead; ``None`` before the first.
    """

    accepted: AcceptedJob | None = None
    owners: frozenset[tuple[str, str]] = frozenset()
    cancels: Mapping[str, tuple[str, str] | None] = _NO_CANCELS
    state: StateSummary | None = None

    def is_rejected(self, owner: tuple[str, str]) -> bool:
        """Return whether this owner's submission lost to that of another owner."""
        if self.accepted is None or self.accepted.owner == owner:
            return False
        return owner in self.owners

    @property
    def cancelled(self) -> bool:
        """Whether a cancellation of the job is recorded."""
        owners = self.cancels.values()
        if not owners:
            return False
        return None in owners or (
            self.accepted is not None and self.accepted.owner in owners
        )

    def is_cancelled_by(self, owner: tuple[str, str]) -> bool:
        """Return whether a cancellation by an owner is recorded, with a job or not."""
        return owner in self.cancels.values()

    @property
    def is_over(self) -> bool:
        """Whether the lead stored that the job ended and none of its runs is left."""
        state = self.state
        return state is not None and state.status.ended and state.has_no_steps

    @property
    def size(self) -> JobSize:
        """What the job takes at most on an instance that leads."""
        if self.accepted is None:
            return JobSize(CANCEL_MEMORY_BYTES * max(len(self.cancels), 1), 0)
        return ENDED_SIZE if self.is_over else self.accepted.size

    @property
    def status(self) -> JobStatus:
        """The job's status.

        The lead's record takes precedence over a cancellation: a job that ended
        before its cancellation arrived keeps the status with which it ended.
        """
        status = self.state.status if self.state else JobStatus.QUEUED
        if self.cancelled and not status.ended:
            return JobStatus.CANCELLED
        return status


@attrs.define(slots=True, eq=False)
class _Partition:
    """The newest records of one partition of the topic.

    :ivar entries: offset and value of each key that has a value.
    :ivar tombstones: offsets at which keys were deleted, the oldest entry first.
    :ivar complete_until: offset before which no record adds a key.
    """

    entries: dict[str, tuple[int, Any]] = attrs.field(factory=dict)
    tombstones: dict[str, int] = attrs.field(factory=dict)
    complete_until: int = 0

    def is_newer(self, offset: int, key: str) -> bool:
        """Return whether a record may add to what is known of its key.

        A listing shows which keys exist, not that the known records are the newest:
        a copy may hold a digest of an older state.  A record of the same offset may be
        the full record of a digest.
        """
        if key in self.entries:
            return offset >= self.entries[key][0]
        return self.is_undeleted(offset, key)

    def is_undeleted(self, offset: int, key: str) -> bool:
        """Return whether no later deletion or listing of a key supersedes a record."""
        return offset >= self.complete_until and offset >= self.tombstones.get(key, -1)

    def store(self, offset: int, key: str, value: Any) -> None:
        """Store a key's value; ``None`` deletes the key."""
        self.tombstones.pop(key, None)
        if value is not None:
            self.entries[key] = (offset, value)
            return
        self.entries.pop(key, None)
        self.tombstones[key] = offset
        if len(self.tombstones) > _MAX_TOMBSTONES:
            del self.tombstones[next(iter(self.tombstones))]

    def drop_unlisted(self, listed: set[str], end: int) -> list[str]:
        """Delete and return the keys that are not listed.

        :param listed: the keys that the store has a value of.
        :param end: offset before which these keys account for all records.
        """
        deleted = [
            key
            for key, (offset, _) in self.entries.items()
            if offset < end and key not in listed
        ]
        for key in deleted:
            del self.entries[key]
        self.complete_until = max(self.complete_until, end)
        self.tombstones = {k: o for k, o in self.tombstones.items() if o >= end}
        return deleted


class Replica:
    """The newest value of each key, and the jobs and instances that they describe.

    Records may be applied in any order: of two records of a key on one partition, the
    one with the higher offset is valid.  A replica can therefore be rebuilt from pages
    that were read during concurrent writes, which are not a consistent snapshot, and
    then continue with the records that follow.

    :ivar jobs: jobs by id.
    :ivar jobs_size: what the jobs take at most on an instance that leads.
    :ivar cancels_size: what the cancellations of jobs take that have not appeared.
    :ivar peers: instances by name.
    :ivar lead: the lead with the highest epoch of all that were applied; ``None`` if
        none was.
    :ivar mesh_keys: the key pair of the cell's mesh; ``None`` before it is known.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, JobView] = {}
        self.jobs_size = self.cancels_size = JobSize()
        self.peers: dict[str, PeerRecord] = {}
        self.lead: LeadRecord | None = None
        self.mesh_keys: MeshKeys | None = None
        self._partitions: dict[int, _Partition] = {}
        # One object for all equal queues; each submission names its queue in full.
        self._queues: dict[Queue, Queue] = {}

    def apply(
        self, offset: int, key: str, value: bytes | None, partition: int = 0
    ) -> str | None:
        """Apply a record, and return the id of the job that it changed, if any.

        The records of a key may be on several partitions, if one of these could not be
        written for a while.  The key is deleted once no partition has a value of it.
        If several have one, the earliest submission is valid, the peer record that was
        applied last, and the state or lead record with the newest version.
        Cancellations are all equal.

        :param value: ``None`` if the record deletes the key.
        :raises RecordMalformedError: if the value cannot be decoded.  The key keeps its
            older value, as it does on every instance, since all read the same bytes.
        """
        part = self._partitions.setdefault(partition, _Partition())
        prefix, slash, name = key.partition("/")
        prefix += slash
        newer = part.is_newer(offset, key)
        if not newer and not (prefix == JOB_PREFIX and part.is_undeleted(offset, key)):
            return None
        decoded = _decode(prefix, name, value) if value else None
        if isinstance(decoded, AcceptedJob):
            queue = self._queues.setdefault(decoded.queue, decoded.queue)
            decoded = attrs.evolve(decoded, queue=queue)
        if prefix == JOB_PREFIX and self._has_other_owner(part, key, decoded):
            # The store keeps the newest record, but the earliest submission is valid.
            known_at, known = part.entries[key]
            self._record_owners(name, [known, decoded])
            part.store(max(known_at, offset), key, _earliest([known, decoded]))
        elif newer:
            part.store(offset, key, decoded)
        return self._update_view(key, prefix, name, decoded)

    @staticmethod
    def _has_other_owner(part: _Partition, key: str, job: AcceptedJob | None) -> bool:
        """Return whether a partition has a submission of the key by another owner."""
        if job is None or key not in part.entries:
            return False
        return part.entries[key][1].owner != job.owner

    def _record_owners(self, job_id: str, values: list[AcceptedJob]) -> None:
        """Record the owners that submitted a job id, if there are several."""
        owners = {value.owner for value in values}
        if len(owners) > 1:
            job = self.jobs.setdefault(job_id, JobView())
            job.owners |= owners

    def drop_unlisted(self, partition: int, listed: set[str], end: int) -> list[str]:
        """Delete the keys that a partition no longer has.

        :param listed: the keys that the store has a value of.
        :param end: offset before which these keys account for all records.
        :return: the ids of the jobs that changed.
        """
        part = self._partitions.setdefault(partition, _Partition())
        changed = []
        for key in part.drop_unlisted(listed, end):
            prefix, slash, name = key.partition("/")
            changed.append(self._update_view(key, prefix + slash, name))
        return [job_id for job_id in changed if job_id is not None]

    def is_known_state(self, partition: int, key: str, state: StateSummary) -> bool:
        """Return whether a state is equal, for callers, to the one already known.

        The known state must be on the same partition.
        """
        part = self._partitions.get(partition)
        if part is None or key not in part.entries:
            return False
        known = part.entries[key][1]
        return (known.status, known.has_no_steps) == (state.status, state.has_no_steps)

    def page(
        self, partition: int, after: str, limit: int
    ) -> list[tuple[int, str, Any]]:
        """Return offset, key and value of the next keys of a partition.

        :param after: the key after which the page begins, in the order of keys.
        :param limit: largest number of keys to return.
        """
        part = self._partitions.get(partition)
        entries = part.entries if part is not None else {}
        keys = heapq.nsmallest(limit, (key for key in entries if key > after))
        return [(entries[key][0], key, entries[key][1]) for key in keys]

    def partitions_of(self, key: str) -> list[int]:
        """Return the partitions that have a value of a key, the newest version last."""
        values = self.values_of(key).items()
        holding = [(getattr(value, "version", 0), number) for number, value in values]
        return [number for _, number in sorted(holding)]

    def values_of(self, key: str) -> dict[int, Any]:
        """Return the values of a key by the partition that has them."""
        return {
            number: part.entries[key][1]
            for number, part in self._partitions.items()
            if key in part.entries
        }

    def _update_view(
        self, key: str, prefix: str, name: str, latest: Any = None
    ) -> str | None:
        """Update the public attributes from the values that the partitions have.

        :param prefix: the key up to its slash, which is included if there is one.
        :param name: the rest of the key.
        :param latest: the value that was just applied, if any.
        :return: the id of the job that the key belongs to, if any.
        """
        values = list(self.values_of(key).values())
        if prefix in _JOB_PREFIXES:
            job_id, _, rest = name.partition("/")
            self._update_job_view(prefix, job_id, rest, values)
            return job_id
        if prefix == PEER_PREFIX:
            if not values:
                self.peers.pop(name, None)
            elif latest is not None or self.peers.get(name) not in values:
                self.peers[name] = _newest_peer(latest or values[0], values)
        elif key in (CLAIM_KEY, LEAD_KEY):
            known = [self.lead] if self.lead is not None else []
            self.lead = max(
                known + values, key=lambda v: (v.epoch, v.version), default=None
            )
        elif key == MESH_KEY and values:
            self.mesh_keys = latest or values[0]
        return None

    def _update_job_view(
        self, prefix: str, job_id: str, rest: str, values: list[Any]
    ) -> None:
        job = self.jobs.get(job_id) or JobView()
        if job_id in self.jobs:
            self._count(job, JobSize() - job.size)
        if prefix == JOB_PREFIX:
            job.accepted = _earliest(values)
            if len(values) > 1:
                self._record_owners(job_id, values)
        elif prefix == STATE_PREFIX:
            job.state = _first(values, lambda v: -v.version)
        else:
            others = {k: v for k, v in job.cancels.items() if k != rest}
            added = {rest: getattr(values[0], "owner", None)} if values else {}
            job.cancels = {**others, **added}
        if job.accepted is None and job.state is None and not job.cancels:
            self.jobs.pop(job_id, None)
            return
        self.jobs[job_id] = job
        if job.is_over and job.accepted is not None and not job.accepted.is_digest:
            job.accepted = digest_of(job.accepted)
            self._drop_specification(job_id)
        self._count(job, job.size)

    def _count(self, job: JobView, change: JobSize) -> None:
        """Add what a job takes to the sum that it belongs to."""
        if job.accepted is None:
            self.cancels_size += change
        else:
            self.jobs_size += change

    def _drop_specification(self, job_id: str) -> None:
        """Keep only the digest of the submission of a job that is over.

        Ended jobs are kept for minutes, and most of the memory that they took was that
        of specifications which nobody needs any more.
        """
        key = JOB_PREFIX + job_id
        for part in self._partitions.values():
            if key in part.entries:
                offset, value = part.entries[key]
                part.entries[key] = (offset, digest_of(value))

    def find(self, job_id: str) -> JobView | None:
        """Return an accepted job; ``None`` if there is none with this id."""
        job = self.jobs.get(job_id)
        return job if job is not None and job.accepted is not None else None

    def unfinished_jobs(self) -> Iterator[tuple[str, JobView]]:
        """Yield the accepted jobs that the lead still has to handle.

        These include jobs that ended but have runs that are being stopped.
        """
        for job_id, job in self.jobs.items():
            if job.accepted is not None and not job.is_over:
                yield job_id, job

    def pending_count(self, address: str) -> int:
        """Return the number of a queue's jobs of which no task has begun.

        :param address: host and path of the queue.
        """
        return sum(
            job.accepted is not None
            and job.accepted.queue.address == address
            and job.status == JobStatus.QUEUED
            for job in self.jobs.values()
        )


def _earliest(values: list[AcceptedJob]) -> AcceptedJob | None:
    """Return the valid submission of a job id, the same one on every instance.

    Of two records of one submission, the full one is preferred to a digest.
    """
    return _first(values, lambda v: (v.accepted_at, v.owner, v.is_digest))


def _newest_peer(applied: PeerRecord, values: list[PeerRecord]) -> PeerRecord:
    """Return the newest record of an instance.

    An instance registers when it starts, and again once it has read all records.  The
    two records may be on two partitions and be applied in any order; the one that is
    no longer catching up is the newer.

    :param applied: the record that was applied last.
    """
    later = (v for v in values if v.incarnation == applied.incarnation)
    return next((v for v in later if not v.catching_up), applied)


def _first(values: list[Any], rank: Callable[[Any], Any]) -> Any:
    """Return the value with the lowest rank; ``None`` if there are no values."""
    if len(values) == 1:
        return values[0]
    return min(values, key=rank, default=None)


def _decode(prefix: str, name: str, value: bytes) -> Any:
    """Decode a record's value; ``True`` if only the existence of its key matters."""
    if prefix == JOB_PREFIX:
        return decode_record(AcceptedJob, value)
    if prefix == STATE_PREFIX:
        return decode_state_summary(value)
    if prefix == CANCEL_PREFIX and "/" in name:
        return decode_record(CancelRequest, value)
    if prefix == PEER_PREFIX:
        return decode_record(PeerRecord, value)
    if prefix in (CLAIM_KEY, LEAD_KEY):
        return decode_record(LeadRecord, value)
    if prefix == MESH_KEY:
        return decode_record(MeshKeys, value)
    return True
