"""A replica has the same content whatever the order in which records are applied."""

import contextlib

import attrs
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from firhook.cell import (
    AcceptedJob,
    AdvicePolicy,
    JobSpec,
    JobState,
    JobStatus,
    Queue,
    Replica,
    Resources,
    RunState,
    StepSpec,
    StepState,
    TaskState,
)
from firhook.cell._records import WorkerIncarnation, decode_state_summary
from firhook.cell.records import decode_record, encode_record
from firhook.errors import RecordMalformedError

QUEUE = Queue("q", "h", "/p/", "pool", advice=AdvicePolicy(1.0, 0.1, 2.0))
SPEC = JobSpec("run", (StepSpec(2, Resources(1, 2, 3), after=()),))
JOB = AcceptedJob("a" * 16, "t", QUEUE, 1.5, SPEC)
STATE = JobState(
    1,
    0.0,
    (WorkerIncarnation("w", 7),),
    (StepState(0, 0, (TaskState(False, 2, 1, "c", (RunState(2, 0),)), None)),),
)


def test_records_are_decoded_as_they_were_encoded():
    assert decode_record(AcceptedJob, encode_record(JOB)) == JOB
    assert decode_record(JobState, encode_record(STATE)) == STATE


@given(
    status=st.sampled_from(JobStatus),
    ended_at=st.floats(0, 2e9),
    steps=st.sampled_from([(), STATE.steps]),
    version=st.integers(0, 2**60),
)
def test_state_summary_matches_the_full_state(status, ended_at, steps, version):
    state = attrs.evolve(
        STATE, status=int(status), ended_at=ended_at, steps=steps, version=version
    )
    summary = decode_state_summary(encode_record(state))
    assert (summary.status, summary.ended_at, summary.version) == (
        status,
        ended_at,
        version,
    )
    assert summary.has_no_steps == (steps == ())
    assert summary.decode() == state


def test_state_summary_of_a_row_of_an_older_version_has_the_defaults():
    row = msgspec.msgpack.decode(encode_record(STATE))
    summary = decode_state_summary(msgspec.msgpack.encode(row[:3]))
    assert (summary.status, summary.has_no_steps, summary.version) == (
        JobStatus.RUNNING,
        True,
        0,
    )


@given(st.binary(max_size=60))
def test_other_bytes_are_no_state(raw):
    with contextlib.suppress(RecordMalformedError):
        assert decode_state_summary(raw).status in JobStatus


def test_unknown_fields_of_a_newer_version_are_ignored():
    row = msgspec.msgpack.decode(encode_record(STATE))
    longer = msgspec.msgpack.encode([*row, "new"])
    assert decode_record(JobState, longer) == STATE


@given(st.binary(max_size=60))
def test_other_bytes_are_told_from_records(raw):
    with pytest.raises(RecordMalformedError):
        decode_record(AcceptedJob, raw)


KEYS = ("job/1", "cancel/1", "state/1", "peer/x", "lead")


def value_of(key, i):
    if key.startswith("job"):
        return encode_record(attrs.evolve(JOB, accepted_at=float(i)))
    if key.startswith("state"):
        return encode_record(attrs.evolve(STATE, status=i % 5))
    if key.startswith("cancel"):
        return b"\x01" if i % 2 else None
    return b"garbage"


@given(st.permutations(range(3)), st.integers(0, 1))
def test_of_one_ids_submissions_the_earliest_holds_in_whatever_order(order, other):
    """Two teams submit an id at once; instances read the records in any order."""
    records = [
        (0, 10, attrs.evolve(JOB, team="a", accepted_at=5.0)),
        (0, 11, attrs.evolve(JOB, team="b", accepted_at=4.0)),
        (other, 13, attrs.evolve(JOB, team="a", accepted_at=3.0)),
    ]
    replica = Replica()
    for i in order:
        partition, offset, job = records[i]
        replica.apply(offset, f"job/{job.id}", encode_record(job), partition)
    view = replica.jobs[JOB.id]
    assert view.accepted == records[2][2]
    assert view.is_rejected(QUEUE.owner("b"))
    assert not view.is_rejected(QUEUE.owner("a"))
    assert not view.is_rejected(QUEUE.owner("c"))


@given(
    st.lists(st.sampled_from(KEYS), min_size=1, max_size=12),
    st.randoms(use_true_random=False),
)
def test_any_order_comes_to_the_same(keys, rng):
    records = [(i, key, value_of(key, i)) for i, key in enumerate(keys)]
    ordered, shuffled = Replica(), Replica()
    for record in records:
        with contextlib.suppress(RecordMalformedError):
            ordered.apply(*record)
    order = list(records)
    rng.shuffle(order)
    for record in order:
        with contextlib.suppress(RecordMalformedError):
            shuffled.apply(*record)
    for job_id in {*ordered.jobs, *shuffled.jobs}:
        one, other = ordered.jobs.get(job_id), shuffled.jobs.get(job_id)
        assert one == other or (
            one and other and attrs.asdict(one) == attrs.asdict(other)
        )


def test_cancellation_after_the_end_of_a_job_does_not_change_its_status():
    replica = Replica()
    replica.apply(0, "job/1", encode_record(JOB))
    replica.apply(2, "cancel/1", b"\x01")
    assert replica.find("1").status is JobStatus.CANCELLED
    done = encode_record(attrs.evolve(STATE, status=2, steps=()))
    replica.apply(1, "state/1", done)
    assert replica.find("1").status is JobStatus.COMPLETED
