"""What every instance keeps of the cell's topic."""

import heapq
from collections.abc import Callable, Iterator
from typing import Any

import attrs

from firhook.cell._records import (
    CANCEL_PREFIX,
    JOB_PREFIX,
    LEAD_KEY,
    MESH_KEY,
    PEER_PREFIX,
    STATE_PREFIX,
    AcceptedJob,
    JobStatus,
    LeadRecord,
    MeshKeys,
    PeerRecord,
    StateSummary,
    decode_record,
    decode_state_summary,
)

_JOB_PREFIXES = (JOB_PREFIX, CANCEL_PREFIX, STATE_PREFIX)
#: Dropped keys whose offsets are kept of a partition; the lead drops some hundred
#: a second at most, and a partition is read from its start in less than a minute.
_DROPS_KEPT = 20_000


@attrs.define(slots=True, eq=False)
class JobView:
    """A job as an instance sees it.

    :ivar accepted: ``None`` as long as only its cancelling is known.
    :ivar state: what the lead wrote last; ``None`` before it wrote anything.
    :ivar owners: all who submitted the id, if they are several.
    """

    accepted: AcceptedJob | None = None
    owners: frozenset[tuple[str, str]] = frozenset()
    cancelled: bool = False
    state: StateSummary | None = None

    def is_rejected(self, owner: tuple[str, str]) -> bool:
        """Return whether a submission of this owner came to nothing."""
        if self.accepted is None or self.accepted.owner == owner:
            return False
        return owner in self.owners

    @property
    def status(self) -> JobStatus:
        """Where the job stands.

        What the lead wrote goes first: a job that ended before its cancelling
        arrived stays as it ended.
        """
        status = self.state.status if self.state else JobStatus.QUEUED
        if self.cancelled and not status.ended:
            return JobStatus.CANCELLED
        return status


@attrs.define(slots=True, eq=False)
class _Partition:
    """What is known of one partition of the topic.

    :ivar held: offset and value of each key that has one.
    :ivar dropped: offsets at which keys were dropped, the oldest entry first.
    :ivar complete_to: no record before it is news.
    """

    held: dict[str, tuple[int, Any]] = attrs.field(factory=dict)
    dropped: dict[str, int] = attrs.field(factory=dict)
    complete_to: int = 0

    def is_news(self, offset: int, key: str) -> bool:
        """Return whether a record may say more than what is known."""
        if key in self.held and offset == self.held[key][0]:
            # The whole of what is held as a digest.
            return True
        if not self.is_kept(offset, key):
            return False
        return key not in self.held or offset > self.held[key][0]

    def is_kept(self, offset: int, key: str) -> bool:
        """Return whether a key was neither dropped nor listed after a record."""
        return offset >= self.complete_to and offset >= self.dropped.get(key, -1)

    def keep(self, offset: int, key: str, value: Any) -> None:
        """Keep a key's value; ``None`` drops it."""
        self.dropped.pop(key, None)
        if value is not None:
            self.held[key] = (offset, value)
            return
        self.held.pop(key, None)
        self.dropped[key] = offset
        if len(self.dropped) > _DROPS_KEPT:
            del self.dropped[next(iter(self.dropped))]

    def drop_unlisted(self, listed: set[str], end: int) -> list[str]:
        """Drop the keys that are not listed; return them."""
        gone = [
            key
            for key, (offset, _) in self.held.items()
            if offset < end and key not in listed
        ]
        for key in gone:
            del self.held[key]
        self.complete_to = max(self.complete_to, end)
        self.dropped = {k: o for k, o in self.dropped.items() if o >= end}
        return gone


class Replica:
    """The newest value of each key, and what follows from them.

    Records may be applied in any order, since of two with one key on a partition
    the one with the higher offset holds.  A replica can thus be rebuilt from pages that
    were read while others wrote, which are no snapshot, and then read on.

    :ivar jobs: jobs by id.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, JobView] = {}
        self.peers: dict[str, PeerRecord] = {}
        self.lead: LeadRecord | None = None
        self.mesh_keys: MeshKeys | None = None
        self._partitions: dict[int, _Partition] = {}

    def apply(
        self, offset: int, key: str, value: bytes | None, partition: int = 0
    ) -> str | None:
        """Apply a record, and return the id of the job that it changed, if any.

        A key's records may lie on several partitions, if one of these could not be
        written for a while; it is gone once none of them has a value of it.
        Cancellations say the same wherever they lie; of submissions the earliest
        holds, of peers what was applied last, and states and leads tell which of two
        is the newer.

        :param value: ``None`` if the key was dropped.
        :raises RecordMalformedError: if it cannot be read; the key keeps its
            older value, and every instance, reading the same bytes, comes to the
            same.
        """
        part = self._partitions.setdefault(partition, _Partition())
        prefix, slash, name = key.partition("/")
        prefix += slash
        news = part.is_news(offset, key)
        if not news and not (prefix == JOB_PREFIX and part.is_kept(offset, key)):
            return None
        decoded = _decode(prefix, value) if value else None
        if prefix == JOB_PREFIX and self._is_rival(part, key, decoded):
            # The store keeps the newest; of two owners' the earliest holds.
            known_at, known = part.held[key]
            self._note_owners(name, [known, decoded])
            part.keep(max(known_at, offset), key, _earliest([known, decoded]))
        elif news:
            part.keep(offset, key, decoded)
        return self._show(key, prefix, name, decoded)

    @staticmethod
    def _is_rival(part: _Partition, key: str, job: AcceptedJob | None) -> bool:
        """Return whether a partition holds a submission by another owner."""
        if job is None or key not in part.held:
            return False
        return part.held[key][1].owner != job.owner

    def _note_owners(self, job_id: str, values: list[AcceptedJob]) -> None:
        """Remember who submitted an id, if they are several."""
        owners = {value.owner for value in values}
        if len(owners) > 1:
            job = self.jobs.setdefault(job_id, JobView())
            job.owners |= owners

    def drop_unlisted(self, partition: int, listed: set[str], end: int) -> list[str]:
        """Drop what a partition holds no more; return the ids of the jobs changed.

        :param listed: the keys that the store has a value of.
        :param end: an offset before which all records are accounted for by them.
        """
        part = self._partitions.setdefault(partition, _Partition())
        changed = []
        for key in part.drop_unlisted(listed, end):
            prefix, slash, name = key.partition("/")
            changed.append(self._show(key, prefix + slash, name))
        return [job_id for job_id in changed if job_id is not None]

    def is_known_state(self, partition: int, key: str, state: StateSummary) -> bool:
        """Return whether a partition's state of a job tells callers the same."""
        part = self._partitions.get(partition)
        if part is None or key not in part.held:
            return False
        held = part.held[key][1]
        return (held.status, held.has_no_steps) == (state.status, state.has_no_steps)

    def page(self, partition: int, after: str, most: int) -> list[tuple[int, str, Any]]:
        """Return offset, key and value of so many keys of a partition.

        :param after: the key after which to begin, in the order of keys.
        """
        part = self._partitions.get(partition)
        held = part.held if part is not None else {}
        keys = heapq.nsmallest(most, (key for key in held if key > after))
        return [(held[key][0], key, held[key][1]) for key in keys]

    def partitions_of(self, key: str) -> list[int]:
        """Return the partitions that hold a value of a key, the newest version last."""
        held = [
            (getattr(part.held[key][1], "version", 0), number)
            for number, part in self._partitions.items()
            if key in part.held
        ]
        return [number for _, number in sorted(held)]

    def _show(self, key: str, prefix: str, name: str, latest: Any = None) -> str | None:
        """Have readers see what the partitions hold of a key.

        :param prefix: of the key, with its slash if it has one; the name follows.
        :param latest: the value applied just now, if any.
        """
        values = [
            part.held[key][1] for part in self._partitions.values() if key in part.held
        ]
        if prefix in _JOB_PREFIXES:
            self._show_job(prefix, name, values)
            return name
        if prefix == PEER_PREFIX:
            if not values:
                self.peers.pop(name, None)
            elif latest is not None or self.peers.get(name) not in values:
                self.peers[name] = _newest_peer(latest or values[0], values)
        elif key == LEAD_KEY:
            self.lead = max(values, key=lambda v: (v.epoch, v.version), default=None)
        elif key == MESH_KEY and values:
            self.mesh_keys = latest or values[0]
        return None

    def _show_job(self, prefix: str, job_id: str, values: list[Any]) -> None:
        job = self.jobs.get(job_id) or JobView()
        if prefix == JOB_PREFIX:
            job.accepted = _earliest(values)
            if len(values) > 1:
                self._note_owners(job_id, values)
        elif prefix == STATE_PREFIX:
            job.state = _first(values, lambda v: -v.version)
        else:
            job.cancelled = bool(values)
        if job.accepted is None and job.state is None and not job.cancelled:
            self.jobs.pop(job_id, None)
        else:
            self.jobs[job_id] = job

    def find(self, job_id: str) -> JobView | None:
        """Return an accepted job."""
        job = self.jobs.get(job_id)
        return job if job is not None and job.accepted is not None else None

    def unfinished_jobs(self) -> Iterator[tuple[str, JobView]]:
        """Return the accepted jobs that may still have something to do.

        A job that ended may have runs left that are being stopped.
        """
        for job_id, job in self.jobs.items():
            if job.accepted is None:
                continue
            if not job.status.ended or job.state is None or not job.state.has_no_steps:
                yield job_id, job

    def pending_count(self, address: str) -> int:
        """Return how many jobs of a queue wait for a worker to begin a task.

        :param address: host and path of the queue.
        """
        return sum(
            job.accepted is not None
            and job.accepted.queue.address == address
            and job.status == JobStatus.QUEUED
            for job in self.jobs.values()
        )


def _earliest(values: list[AcceptedJob]) -> AcceptedJob | None:
    """Return the submission of an id that holds: the same at every instance."""
    return _first(values, lambda v: (v.accepted_at, v.owner))


def _newest_peer(applied: PeerRecord, values: list[PeerRecord]) -> PeerRecord:
    """Return the record of an instance that holds.

    Its two records may lie on two partitions, and be applied in any order; the one
    that it wrote once it had read everything is the later one.
    """
    later = (v for v in values if v.incarnation == applied.incarnation)
    return next((v for v in later if not v.catching_up), applied)


def _first(values: list[Any], rank: Callable[[Any], Any]) -> Any:
    """Return the value of the lowest rank; ``None`` if there is none."""
    if len(values) == 1:
        return values[0]
    return min(values, key=rank, default=None)


def _decode(prefix: str, value: bytes) -> Any:
    """Return what a record says; of most keys that is only that they are there."""
    if prefix == JOB_PREFIX:
        return decode_record(AcceptedJob, value)
    if prefix == STATE_PREFIX:
        return decode_state_summary(value)
    if prefix == PEER_PREFIX:
        return decode_record(PeerRecord, value)
    if prefix == LEAD_KEY:
        return decode_record(LeadRecord, value)
    if prefix == MESH_KEY:
        return decode_record(MeshKeys, value)
    return True
