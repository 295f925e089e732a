"""Digests of records, which suffice for instances that only answer callers."""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

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
    digest_value,
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
    """Return the state of a job with a number of running tasks."""
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


def test_job_digest_has_the_owner_but_not_the_specification():
    digest = digest_job(encode_record(JOB))
    decoded = decode_record(AcceptedJob, digest)
    assert (decoded.owner, decoded.accepted_at) == (JOB.owner, JOB.accepted_at)
    assert decoded.is_digest and not JOB.is_digest
    assert len(digest) < 150


@pytest.mark.parametrize("tasks", [1, 120])
def test_state_digest_does_not_grow_with_the_number_of_tasks(tasks):
    state = decode_state_summary(encode_record(_state(tasks)))
    digest = digest_state(state)
    decoded = decode_state_summary(digest)
    assert attrs.evolve(decoded, raw=b"") == attrs.evolve(state, raw=b"")
    assert len(digest) < 32


def test_state_digest_cannot_be_decoded_as_a_full_state():
    """A lead that took it for the full state would start tasks that already run."""
    digest = decode_state_summary(
        digest_state(decode_state_summary(encode_record(_state(3))))
    )
    with pytest.raises(RecordMalformedError):
        digest.decode()


def test_digest_omits_states_with_nothing_new_for_callers():
    replica = Replica()
    key = "state/" + JOB.id
    replica.apply(0, key, encode_record(_state(3)))
    later, done = _state(2, version=8), _state(0, JobStatus.COMPLETED, version=9)
    digest = digest_batch(replica, _push((key, later), (key, done), offset=1))
    assert (digest.offset, digest.count) == (1, 2)
    assert [row.offset for row in digest.rows] == [2]


def test_digest_keeps_a_state_on_another_partition():
    """Instances must know which partitions have a key, to delete it from all."""
    replica = Replica()
    key = "state/" + JOB.id
    replica.apply(0, key, encode_record(_state(3)), 0)
    digest = digest_batch(replica, _push((key, _state(2, version=8)), partition=2))
    assert len(digest.rows) == 1


def test_digest_keeps_a_malformed_record_unchanged():
    batch = PushedBatch(0, 5, (PushedRecord("state/1", b"\xc1"),))
    digest = digest_batch(Replica(), batch)
    assert [(row.key, row.value) for row in digest.rows] == [("state/1", b"\xc1")]


def test_full_record_replaces_its_digest():
    """A copy of digests accounts for all records before its end.

    If the full records, read later, were ignored as old, a new lead would know no job.
    """
    replica, key, full = Replica(), "job/" + JOB.id, encode_record(JOB)
    replica.apply(3, key, digest_job(full))
    replica.drop_unlisted(0, {key}, 10)
    replica.apply(3, key, full)
    assert replica.jobs[JOB.id].accepted == JOB
    replica.apply(2, key, digest_job(full))
    assert replica.jobs[JOB.id].accepted == JOB


def test_full_state_replaces_a_digest_of_an_older_state():
    """A copy may hold older states: digests omit those with nothing new for callers."""
    replica, key = Replica(), "state/" + JOB.id
    older, newest = _state(3, version=8), _state(2, version=9)
    replica.apply(100, key, digest_state(decode_state_summary(encode_record(older))))
    replica.drop_unlisted(0, {key}, 300)
    replica.apply(200, key, encode_record(newest))
    assert replica.jobs[JOB.id].state.decode() == newest


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["1", "2"]),
            st.sampled_from([JobStatus.QUEUED, JobStatus.RUNNING, None]),
        ),
        max_size=12,
    ),
    st.integers(0, 12),
)
def test_full_records_read_after_a_copy_leave_no_digest(changes, copied_after):
    """A state of ``None`` deletes the job's records."""
    lead, peer, copier, newest = Replica(), Replica(), Replica(), {}
    for offset, (job_id, status) in enumerate(changes):
        key = "state/" + job_id
        value = None
        if status is not None:
            value = encode_record(_state(1 + offset, status, version=offset))
        batch = PushedBatch(0, offset, (PushedRecord(key, value),))
        receivers = [peer] if offset < copied_after else [peer, copier]
        for row in digest_batch(lead, batch).rows:
            for replica in receivers:
                replica.apply(row.offset, row.key, row.value)
        lead.apply(offset, key, value)
        newest[key] = (offset, value)
        if offset + 1 == copied_after:
            rows = peer.page(0, "", 99)
            for at, key, known in rows:
                copier.apply(at, key, digest_value(known))
            copier.drop_unlisted(0, {key for _, key, _ in rows}, offset + 1)
    kept = {key: row for key, row in newest.items() if row[1] is not None}
    for key, (offset, value) in kept.items():
        copier.apply(offset, key, value)
    copier.drop_unlisted(0, set(kept), len(changes))
    states = {"state/" + i: view.state.raw for i, view in copier.jobs.items()}
    assert states == {key: value for key, (_, value) in kept.items()}


@pytest.mark.parametrize("order", [(0, 3), (3, 0)])
def test_full_submission_is_preferred_to_its_digest_on_another_partition(order):
    """The store keeps no full record of the earliest of two submissions on one."""
    key = "job/" + JOB.id
    later = attrs.evolve(JOB, team="other", accepted_at=JOB.accepted_at + 1)
    peer, copier = Replica(), Replica()
    peer.apply(10, key, encode_record(JOB), 3)
    peer.apply(20, key, encode_record(later), 3)
    peer.apply(5, key, encode_record(JOB), 0)
    for partition in order:
        for offset, _, value in peer.page(partition, "", 9):
            copier.apply(offset, key, digest_value(value), partition)
        copier.drop_unlisted(partition, {key}, 30)
    copier.apply(20, key, encode_record(later), 3)
    copier.apply(5, key, encode_record(JOB), 0)
    assert copier.jobs[JOB.id].accepted == JOB
