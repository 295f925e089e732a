"""What instances are told that only answer callers."""

import attrs
import pytest

from firhook._peer_messages import PushedBatch, PushedRecord
from firhook.cell import AcceptedJob, JobSpec, JobStatus, Queue, Replica, StepSpec
from firhook.cell._records import (
    JobState,
    RunState,
    StepState,
    TaskState,
    WorkerIncarnation,
)
from firhook.cell._resources import Resources
from firhook.cell.records import (
    decode_record,
    decode_state_summary,
    digest_job,
    digest_state,
    encode_record,
)
from firhook.errors import RecordMalformedError
from firhook.services._fan_out import digest_batch

QUEUE = Queue("q", "jobs.example", "/plan/", "pool")
JOB = AcceptedJob(
    "00000000000000aa",
    "team",
    QUEUE,
    1_700_000_000.0,
    JobSpec("x" * 4000, (StepSpec(60, Resources(1000, 100)),)),
)


def _state(tasks, status=JobStatus.RUNNING, version=7):
    """Return the state of a job of which so many tasks run."""
    running = TaskState(last_run=1, runs=(RunState(1, 0),))
    return JobState(
        int(status),
        workers=(WorkerIncarnation("w0", 1),),
        steps=(StepState(0, 0, (running,) * tasks),),
        version=version,
    )


def _push(*records, partition=0, offset=0):
    rows = tuple(PushedRecord(key, encode_record(value)) for key, value in records)
    return PushedBatch(partition, offset, rows)


def test_digest_of_a_job_tells_whose_it_is_and_not_what_it_runs():
    digest = digest_job(encode_record(JOB))
    read = decode_record(AcceptedJob, digest)
    assert (read.owner, read.accepted_at) == (JOB.owner, JOB.accepted_at)
    assert read.is_digest and not JOB.is_digest
    assert len(digest) < 150


@pytest.mark.parametrize("tasks", [1, 120])
def test_digest_of_a_state_does_not_grow_with_the_tasks_of_its_job(tasks):
    state = decode_state_summary(encode_record(_state(tasks)))
    digest = digest_state(state)
    read = decode_state_summary(digest)
    assert attrs.evolve(read, raw=b"") == attrs.evolve(state, raw=b"")
    assert len(digest) < 32


def test_digest_of_a_state_is_not_taken_for_the_whole_of_it():
    """A lead that went by it would start tasks beside those that run."""
    digest = decode_state_summary(
        digest_state(decode_state_summary(encode_record(_state(3))))
    )
    with pytest.raises(RecordMalformedError):
        digest.decode()


def test_digest_leaves_out_states_that_tell_callers_nothing_new():
    replica = Replica()
    key = "state/" + JOB.id
    replica.apply(0, key, encode_record(_state(3)))
    later, done = _state(2, version=8), _state(0, JobStatus.COMPLETED, version=9)
    digest = digest_batch(replica, _push((key, later), (key, done), offset=1))
    assert (digest.offset, digest.count) == (1, 2)
    assert [row.offset for row in digest.rows] == [2]


def test_state_on_another_partition_is_always_told():
    """Instances must know on which partitions a key lies, to drop it from all."""
    replica = Replica()
    key = "state/" + JOB.id
    replica.apply(0, key, encode_record(_state(3)), 0)
    digest = digest_batch(replica, _push((key, _state(2, version=8)), partition=2))
    assert len(digest.rows) == 1


def test_what_cannot_be_read_is_told_as_it_is():
    batch = PushedBatch(0, 5, (PushedRecord("state/1", b"\xc1"),))
    digest = digest_batch(Replica(), batch)
    assert [(row.key, row.value) for row in digest.rows] == [("state/1", b"\xc1")]


def test_record_that_is_read_whole_replaces_its_digest():
    """A copy accounts for all records before its end; the whole of them, read later,
    was taken for old, and a new lead knew of no job.
    """
    replica, key, whole = Replica(), "job/" + JOB.id, encode_record(JOB)
    replica.apply(3, key, digest_job(whole))
    replica.drop_unlisted(0, {key}, 10)
    replica.apply(3, key, whole)
    assert replica.jobs[JOB.id].accepted == JOB
    replica.apply(2, key, digest_job(whole))
    assert replica.jobs[JOB.id].accepted == JOB
