"""Which accepted jobs the lead's job table lacks, and why."""

import attrs
import msgspec
import pytest

from firhook.cell import AcceptedJob, JobSpec, JobState, JobStatus, Replica
from firhook.cell.records import (
    JOB_PREFIX,
    STATE_PREFIX,
    decode_state_summary,
    digest_state,
    encode_record,
)
from firhook.decide.unknown_jobs import UnknownJobs, UnknownReason
from tests.decide.test_schedule import PLAN, tasks

JOB = AcceptedJob("a", "team", PLAN, 0.0, JobSpec("x", (tasks(1),)))
RUNNING = encode_record(JobState(int(JobStatus.RUNNING), version=1))
#: A state whose tasks cannot be decoded.
MALFORMED = msgspec.msgpack.encode([1, 0.0, [[1]], [], 0, 1])


class Records:
    """A replica to which records are written."""

    def __init__(self):
        self.replica = Replica()
        self.offset = 0

    def write(self, key, value):
        self.offset += 1
        self.replica.apply(self.offset, key, value)

    def accept(self, job_id, **changes):
        job = attrs.evolve(JOB, id=job_id, **changes)
        self.write(JOB_PREFIX + job_id, encode_record(job))


def found(records, table=(), notified=(), after_s=3.0, visibility_s=3.0):
    """Return the reasons of the jobs that are unknown after some seconds."""
    unknown = UnknownJobs(records.replica, table, notified, visibility_s)
    for now in (0.0, 0.0, after_s):
        unknown.scan(1000, now)
    assert unknown.counts(after_s).total() == len(unknown.oldest(1000, after_s))
    return {job.id: job.reason for job in unknown.oldest(1000, after_s)}


def test_job_that_the_table_lacks_is_found():
    records = Records()
    for job_id in ("known", "lost"):
        records.accept(job_id)
    assert found(records, table={"known"}) == {"lost": UnknownReason.NOT_NOTIFIED}
    assert found(records, table={"known"}, after_s=1.0) == {}


def test_jobs_that_ended_and_have_no_runs_are_not_unknown():
    records = Records()
    records.accept("a")
    state = JobState(int(JobStatus.COMPLETED), 1.0, version=1)
    records.write(STATE_PREFIX + "a", encode_record(state))
    assert found(records) == {}


@pytest.mark.parametrize(
    ("state", "notified", "reason"),
    [
        (RUNNING, (), UnknownReason.NOT_NOTIFIED),
        (RUNNING, ("a",), UnknownReason.END_NOT_STORED),
        (
            digest_state(decode_state_summary(RUNNING)),
            ("a",),
            UnknownReason.DIGEST_ONLY,
        ),
        (MALFORMED, ("a",), UnknownReason.MALFORMED),
    ],
)
def test_unknown_job_has_a_reason(state, notified, reason):
    records = Records()
    records.accept("a")
    records.write(STATE_PREFIX + "a", state)
    assert found(records, notified=notified) == {"a": reason}


def test_job_without_its_specification_is_unknown():
    records = Records()
    records.accept("a", spec=JobSpec("", ()))
    assert found(records) == {"a": UnknownReason.DIGEST_ONLY}


def test_job_id_of_several_owners_is_marked_as_contested():
    records = Records()
    records.accept("a", team="one")
    records.accept("a", team="two")
    assert found(records) == {"a": UnknownReason.CONTESTED}


def test_jobs_are_compared_a_part_at_a_time():
    """The number of unknown jobs is exact although each scan is bounded."""
    records = Records()
    for number in range(250):
        records.accept(f"{number:04}")
    unknown = UnknownJobs(records.replica, (), (), 3.0)
    for second in range(10):
        unknown.scan(60, float(second))
    assert unknown.counts(10.0).total() == 250
    assert len(unknown.oldest(7, 10.0)) == 7


def test_job_counts_as_unknown_after_the_time_in_which_it_must_be_visible():
    records = Records()
    records.accept("a")
    assert found(records, after_s=5.0, visibility_s=6.0) == {}
    assert found(records, after_s=5.0, visibility_s=4.0) == {
        "a": UnknownReason.NOT_NOTIFIED
    }
