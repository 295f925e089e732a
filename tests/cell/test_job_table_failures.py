"""How often a task, or a gang, counts as failed."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firhook.cell import AcceptedJob, JobSpec, JobState, JobTable, Queue, RunEnd
from firhook.cell.records import decode_record, encode_record
from tests.cell.test_job_table_occurrences import CONFIG, JOB, START, a_step, end
from tests.cell.test_job_table_occurrences import start as start_step

STEP = f"{JOB}.0.0"


def table_of(step, max_attempts, state=None):
    queue = Queue("own", "h", "/own/", "pool", max_attempts=max_attempts)
    accepted = AcceptedJob(JOB, "a", queue, START, JobSpec("x", (step,)))
    table = JobTable(CONFIG)
    table.add(accepted, state, START, START)
    return table


def take_over(table):
    job = table.jobs[JOB]
    state = decode_record(JobState, encode_record(job.to_state(1)))
    spec, queue = job.accepted.spec.steps[0], job.queue
    return table_of(spec, queue.max_attempts, state)


def start(table):
    return start_step(table, STEP, START)


def report(table, run, how):
    """Let the worker of a run, as this lead knows it, report how it ended."""
    found = table.worker_runs.get(run.worker, {}).get(run.key)
    if found is not None:
        end(table, found, START, how)


def status(table, job):
    return table.jobs[JOB].status.name if JOB in table.jobs else job.status.name


@pytest.mark.parametrize("leads", [1, 2])
def test_run_of_a_gang_counts_once_if_several_members_fail(leads):
    """The job was shown as failed although it had attempts left.

    The second end may be read by the next lead.
    """
    table = table_of(a_step(3, gang=True), max_attempts=2)
    runs = start(table)
    for run in runs[:2]:
        report(table, run, RunEnd.FAILED)
        if leads > 1:
            table = take_over(table)
    report(table, runs[2], RunEnd.GANG_BROKEN)
    runs = start(table)
    job = table.jobs[JOB]
    assert [run.number for run in runs] == [2, 2, 2]
    report(table, runs[0], RunEnd.FAILED)
    assert job.status.name == "FAILED"


def test_gang_of_which_one_member_is_done_is_done_whatever_others_report():
    table = table_of(a_step(2, gang=True), max_attempts=1)
    job, (one, other) = table.jobs[JOB], start(table)
    report(table, one, RunEnd.DONE)
    report(table, other, RunEnd.FAILED)
    assert job.status.name == "COMPLETED"


def test_gang_that_is_done_after_a_member_failed_does_not_run_again():
    table = table_of(a_step(2, gang=True), max_attempts=2)
    job, (one, other) = table.jobs[JOB], start(table)
    report(table, one, RunEnd.FAILED)
    report(table, other, RunEnd.DONE)
    assert job.status.name == "COMPLETED"


def test_each_copy_of_a_task_counts():
    table = table_of(a_step(1, duplicates=True), max_attempts=2)
    job, (one,) = table.jobs[JOB], start(table)
    table.allow_duplicate(one.task)
    (copy,) = start_step(table, STEP, START, worker="other")
    report(table, one, RunEnd.FAILED)
    assert not job.status.ended
    report(table, copy, RunEnd.FAILED)
    assert job.status.name == "FAILED"


ENDS = st.lists(
    st.sampled_from([RunEnd.FAILED, RunEnd.GANG_BROKEN, RunEnd.STOPPED]),
    min_size=3,
    max_size=3,
)


@given(
    st.integers(1, 4),
    st.lists(st.tuples(ENDS, st.permutations(range(3)), st.booleans()), max_size=6),
)
def test_gang_fails_after_as_many_failed_runs_as_it_may_have(max_attempts, runs_ends):
    """Whichever members fail, in whatever order their ends are read, by any leads."""
    table = table_of(a_step(3, gang=True), max_attempts)
    failed = 0
    for ends, order, changes_lead in runs_ends:
        runs, job = start(table), table.jobs[JOB]
        failed += RunEnd.FAILED in ends
        for member in order:
            report(table, runs[member], ends[member])
            if changes_lead and JOB in table.jobs:
                table = take_over(table)
                job = table.jobs[JOB]
        assert (job.status.name == "FAILED") == (failed >= max_attempts)
        if job.status.ended:
            assert not table.open_steps
            return
