"""What every instance keeps of the cell's topic."""

from collections.abc import Iterator

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
    StoredState,
    decode_record,
    peek_state,
)


@attrs.define(slots=True, eq=False)
class JobView:
    """A job as an instance sees it.

    :ivar accepted: ``None`` as long as only its cancelling is known.
    :ivar state: what the lead wrote last; ``None`` before it wrote anything.
    """

    accepted: AcceptedJob | None = None
    cancelled: bool = False
    state: StoredState | None = None

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
        self._offsets: dict[tuple[int, str], int] = {}

    def apply(
        self, offset: int, key: str, value: bytes | None, partition: int = 0
    ) -> str | None:
        """Apply a record, and return the id of the job that it changed, if any.

        A key's records may lie on two partitions, if one of these could not be
        written for a while.  Submissions and cancellations say the same wherever
        they lie; states and leads tell which of two is the newer.

        :param value: ``None`` if the key was dropped.
        :raises RecordMalformedError: if it cannot be read; the key keeps its
            older value, and every instance, reading the same bytes, comes to the
            same.
        """
        if offset < self._offsets.get((partition, key), -1):
            return None
        job_id = self._set(key, value)
        if value is None:
            self._offsets.pop((partition, key), None)
        else:
            self._offsets[partition, key] = offset
        return job_id

    def _set(self, key: str, value: bytes | None) -> str | None:
        prefix, slash, name = key.partition("/")
        if slash and prefix + slash in (JOB_PREFIX, CANCEL_PREFIX, STATE_PREFIX):
            self._set_job(prefix + slash, name, value)
            return name
        if prefix + slash == PEER_PREFIX:
            self._set_peer(name, value)
        elif key == LEAD_KEY:
            lead = decode_record(LeadRecord, value) if value else None
            if lead is None or self.lead is None or lead.epoch >= self.lead.epoch:
                self.lead = lead
        elif key == MESH_KEY and value:
            self.mesh_keys = decode_record(MeshKeys, value)
        return None

    def _set_job(self, prefix: str, job_id: str, value: bytes | None) -> None:
        job = self.jobs.get(job_id) or JobView()
        if prefix == JOB_PREFIX:
            job.accepted = decode_record(AcceptedJob, value) if value else None
        elif prefix == STATE_PREFIX:
            state = peek_state(value) if value else None
            if state is None or job.state is None or state.version >= job.state.version:
                job.state = state
        else:
            job.cancelled = value is not None
        if job.accepted is None and job.state is None and not job.cancelled:
            self.jobs.pop(job_id, None)
        else:
            self.jobs[job_id] = job

    def _set_peer(self, name: str, value: bytes | None) -> None:
        if value is None:
            self.peers.pop(name, None)
        else:
            self.peers[name] = decode_record(PeerRecord, value)

    def find(self, job_id: str) -> JobView | None:
        """Return an accepted job."""
        job = self.jobs.get(job_id)
        return job if job is not None and job.accepted is not None else None

    def unended(self) -> Iterator[tuple[str, JobView]]:
        """Return the accepted jobs that may still have something to do.

        A job that ended may have runs left that are being stopped.
        """
        for job_id, job in self.jobs.items():
            if job.accepted is None:
                continue
            if not job.status.ended or job.state is None or not job.state.over:
                yield job_id, job

    def pending(self, address: str) -> int:
        """Return how many jobs of a queue wait for a worker to begin a task.

        :param address: host and path of the queue.
        """
        return sum(
            job.accepted is not None
            and job.accepted.queue.address == address
            and job.status == JobStatus.QUEUED
            for job in self.jobs.values()
        )
