"""Deleted keys stay deleted in the replica, by a record or the store's listing."""

import attrs
from hypothesis import given
from hypothesis import strategies as st

from firhook.cell import JobState, JobStatus, LeadRecord, Replica
from firhook.cell.records import encode_record
from tests.cell.test_replica import JOB, STATE

KEYS = ("job/1", "cancel/1", "state/1")
ACCEPTED = encode_record(JOB)


def state_of(version):
    return encode_record(attrs.evolve(STATE, version=version))


def value_of(key, i, deleted):
    if deleted:
        return None
    if key == "job/1":
        return encode_record(attrs.evolve(JOB, accepted_at=float(i)))
    return state_of(i) if key == "state/1" else b"\x01"


def job_views(replica):
    """Return the jobs as readers of the replica see them."""
    return {job_id: attrs.asdict(job) for job_id, job in replica.jobs.items()}


def test_older_record_after_a_deletion_is_ignored():
    replica = Replica()
    replica.apply(5, "job/1", None, 1)
    replica.apply(3, "job/1", ACCEPTED, 1)
    assert replica.find("1") is None
    replica.apply(6, "job/1", ACCEPTED, 1)
    assert replica.find("1") is not None


def test_deletion_on_one_partition_leaves_the_value_of_another():
    replica = Replica()
    replica.apply(3, "job/1", ACCEPTED, 3)
    replica.apply(9, "job/1", None, 1)
    assert replica.find("1") is not None
    assert replica.partitions_of("job/1") == [3]
    replica.apply(4, "job/1", None, 3)
    assert replica.jobs == {}


def test_deletion_of_the_newest_state_leaves_the_older_one_of_another_partition():
    replica = Replica()
    replica.apply(0, "state/1", state_of(7), 0)
    replica.apply(0, "state/1", state_of(5), 2)
    assert replica.jobs["1"].state.version == 7
    replica.apply(1, "state/1", None, 0)
    assert replica.jobs["1"].state.version == 5


def test_key_that_the_store_no_longer_lists_is_deleted():
    replica = Replica()
    replica.apply(1, "job/1", ACCEPTED, 1)
    replica.apply(2, "job/2", ACCEPTED, 1)
    replica.apply(8, "job/3", ACCEPTED, 1)
    replica.apply(1, "job/4", ACCEPTED, 3)
    assert replica.drop_unlisted(1, {"job/2"}, 8) == ["1"]
    assert sorted(replica.jobs) == ["2", "3", "4"]


def test_late_push_of_an_unlisted_key_is_ignored():
    replica = Replica()
    replica.drop_unlisted(1, set(), 8)
    replica.apply(7, "job/1", ACCEPTED, 1)
    assert replica.jobs == {}
    replica.apply(8, "job/1", ACCEPTED, 1)
    assert list(replica.jobs) == ["1"]


def test_each_key_of_a_job_is_deleted_independently():
    replica = Replica()
    replica.apply(0, "job/1", ACCEPTED, 1)
    replica.apply(1, "cancel/1", b"\x01", 1)
    replica.apply(0, "state/1", encode_record(STATE), 0)
    replica.drop_unlisted(1, {"cancel/1"}, 2)
    assert replica.find("1") is None
    assert replica.jobs["1"].cancelled
    replica.apply(3, "cancel/1", None, 1)
    assert replica.jobs["1"].status is JobStatus.RUNNING
    replica.apply(1, "state/1", None, 0)
    assert replica.jobs == {}


def test_number_of_tombstones_is_bounded():
    replica = Replica()
    for i in range(50_000):
        replica.apply(i, f"job/{i}", None, 1)
    tombstones = replica._partitions[1].tombstones
    assert len(tombstones) == 20_000
    assert min(tombstones.values()) == 30_000
    replica.drop_unlisted(1, set(), 50_000)
    assert not replica._partitions[1].tombstones


def test_lead_of_an_older_epoch_on_another_partition_does_not_replace_the_newest():
    old, new = LeadRecord("a", "1", 4), LeadRecord("b", "2", 5)
    for order in ((0, 1), (1, 0)):
        replica = Replica()
        rows = [(0, "lead", encode_record(new), 0), (9, "lead", encode_record(old), 2)]
        for i in order:
            replica.apply(*rows[i])
        assert replica.lead == new


@given(
    st.lists(
        st.tuples(st.sampled_from(KEYS), st.sampled_from((0, 1, 3)), st.booleans()),
        min_size=1,
        max_size=12,
    ),
    st.randoms(use_true_random=False),
)
def test_any_order_on_several_partitions_comes_to_the_same(rows, rng):
    records = [
        (i, key, value_of(key, i, deleted), partition)
        for i, (key, partition, deleted) in enumerate(rows)
    ]
    shuffled = list(records)
    rng.shuffle(shuffled)
    ordered, other = Replica(), Replica()
    for record in records:
        ordered.apply(*record)
    for record in shuffled:
        other.apply(*record)
    assert job_views(ordered) == job_views(other)


@given(
    st.lists(st.tuples(st.sampled_from(KEYS), st.booleans()), min_size=1, max_size=12),
    st.data(),
)
def test_replica_rebuilt_at_any_time_comes_to_the_same(rows, data):
    records = [
        (i, key, value_of(key, i, deleted)) for i, (key, deleted) in enumerate(rows)
    ]
    end = data.draw(st.integers(0, len(records)))
    read_at = data.draw(st.integers(end, len(records)))
    known = data.draw(st.lists(st.sampled_from(records), max_size=6))
    ordered, rebuilt = Replica(), Replica()
    for record in records:
        ordered.apply(*record)
    for record in known:
        rebuilt.apply(*record)
    newest = {key: (i, key, value) for i, key, value in records[:read_at]}
    listed = [record for record in newest.values() if record[2] is not None]
    for record in listed:
        rebuilt.apply(*record)
    rebuilt.drop_unlisted(0, {key for _, key, _ in listed}, end)
    for record in records[end:]:
        rebuilt.apply(*record)
    assert job_views(ordered) == job_views(rebuilt)


def test_cancelled_job_whose_state_lists_no_steps_is_left_to_the_lead():
    """A new lead did not take it up, so that its end was never stored or deleted."""
    replica = Replica()
    replica.apply(0, "job/1", ACCEPTED, 1)
    state = JobState(int(JobStatus.RUNNING), version=1)
    replica.apply(0, "state/1", encode_record(state), 0)
    replica.apply(1, "cancel/1", b"\x01", 1)
    assert [job_id for job_id, _ in replica.unfinished_jobs()] == ["1"]
    ended = JobState(int(JobStatus.CANCELLED), 5.0, version=2)
    replica.apply(1, "state/1", encode_record(ended), 0)
    assert list(replica.unfinished_jobs()) == []
