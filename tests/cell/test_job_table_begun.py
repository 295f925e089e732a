"""When a job's status changes from queued to running, and when that is stored."""

import pytest

from firhook.cell import (
    AcceptedJob,
    CellConfig,
    EndedRow,
    JobSpec,
    JobStatus,
    JobTable,
    PollReply,
    Pool,
    Queue,
    Resources,
    RunEnd,
    RunningRow,
    StepSpec,
)
from firhook.cell.job_table import BEGUN_STORE_DELAY_S

QUEUE = Queue("plan", "h", "/plan/", "pool", max_attempts=3)
CONFIG = CellConfig(1, (QUEUE,), (), (Pool("pool"),))
INCARNATION = 7
NOW = 100.0


def make_table(*ids, state=None, count=2):
    table = JobTable(CONFIG)
    for job_id in ids:
        step = StepSpec(count, Resources(1000, 100, 0), 1.0)
        accepted = AcceptedJob(job_id, "a", QUEUE, NOW, JobSpec("x", (step,)))
        table.add(accepted, state, NOW, NOW)
    return table


def assign(table, job_id):
    """Assign the first idle task of a job, and mark the assignment as stored."""
    step = table.jobs[job_id].steps[0, 0]
    task = next(iter(step.idle.values()))
    (run,) = table.plan(step, [(task, "w", INCARNATION)], NOW)
    run.stored = True
    return run


def stored_statuses(table, now):
    """Return the statuses that are to be stored at a time, by job."""
    return {
        job.id: JobStatus(job.to_state().status).name for job in table.take_dirty(now)
    }


def poll(table, running=(), ended=(), sent_at=NOW, incarnation=INCARNATION):
    rows = tuple(RunningRow(task, run, "", 0) for task, run in running)
    ends = tuple(EndedRow(i + 1, *row, "") for i, row in enumerate(ended))
    reply = PollReply(incarnation, 1.0, rows, ends)
    return table.apply_poll_reply("w", reply, sent_at, NOW, NOW)


def test_assigned_job_stays_queued_when_its_run_is_voided():
    table = make_table("j")
    run = assign(table, "j")
    assert stored_statuses(table, NOW) == {"j": "QUEUED"}
    table.void(run, "ticket", NOW)
    assert stored_statuses(table, NOW + 9) == {"j": "QUEUED"}


def test_begin_is_stored_with_the_next_change_of_its_job():
    table = make_table("j")
    run = assign(table, "j")
    table.take_dirty(NOW)
    table.mark_begun(run.task.step.job, NOW)
    assert stored_statuses(table, NOW) == {}
    assign(table, "j")
    assert stored_statuses(table, NOW) == {"j": "RUNNING"}
    assert stored_statuses(table, NOW + 9) == {}


def table_of_two_begun():
    """Return a table of two jobs, one of which began 0.2 s after the other."""
    table = make_table("j", "k")
    for job_id, at in (("j", NOW), ("k", NOW + 0.2)):
        run = assign(table, job_id)
        table.take_dirty(at)
        table.mark_begun(run.task.step.job, at)
    return table


def test_begins_without_another_change_are_stored_together_after_the_delay():
    table = table_of_two_begun()
    assert stored_statuses(table, NOW + BEGUN_STORE_DELAY_S - 0.01) == {}
    assert stored_statuses(table, NOW + BEGUN_STORE_DELAY_S) == {
        "j": "RUNNING",
        "k": "RUNNING",
    }
    assert stored_statuses(table, NOW + 9) == {}


def test_storing_one_begun_job_early_does_not_store_the_others():
    table = table_of_two_begun()
    assign(table, "j")
    assert stored_statuses(table, NOW + 0.2) == {"j": "RUNNING"}
    assert stored_statuses(table, NOW + 0.2 + BEGUN_STORE_DELAY_S - 0.01) == {}
    assert stored_statuses(table, NOW + 0.2 + BEGUN_STORE_DELAY_S) == {"k": "RUNNING"}


def test_begun_job_stays_running_when_its_run_is_lost():
    table = make_table("j")
    run = assign(table, "j")
    table.mark_begun(run.task.step.job, NOW)
    table.void(run, "lease_lapsed", NOW)
    assert stored_statuses(table, NOW) == {"j": "RUNNING"}
    again = assign(table, "j")
    table.void(again, "ticket", NOW)
    assert stored_statuses(table, NOW) == {"j": "RUNNING"}


def test_late_begin_does_not_reopen_an_ended_job():
    table = make_table("j")
    run = assign(table, "j")
    job = run.task.step.job
    table.cancel("j", NOW)
    table.mark_begun(job, NOW)
    assert stored_statuses(table, NOW) == {"j": "CANCELLED"}
    assert stored_statuses(table, NOW + 9) == {}


@pytest.mark.parametrize("end", RunEnd)
def test_listed_end_marks_the_job_as_begun(end):
    table = make_table("j")
    run = assign(table, "j")
    table.take_dirty(NOW)
    poll(table, ended=[(*run.key, end)])
    assert stored_statuses(table, NOW) == {"j": "RUNNING"}


def test_poll_that_does_not_list_a_run_leaves_its_job_queued():
    table = make_table("j")
    run = assign(table, "j")
    run.absence_conclusive_after = NOW
    poll(table, sent_at=NOW + 1)
    assert run not in run.task.runs
    assert stored_statuses(table, NOW + 9) == {"j": "QUEUED"}


def test_new_lead_marks_a_job_as_begun_only_when_a_poll_lists_its_run():
    before = make_table("j")
    run = assign(before, "j")
    state = before.jobs["j"].to_state()
    table = make_table("j", state=state)
    assert table.jobs["j"].status is JobStatus.QUEUED
    assert stored_statuses(table, NOW + 9) == {}
    poll(table, running=[run.key])
    assert stored_statuses(table, NOW + 9) == {"j": "RUNNING"}


@pytest.mark.parametrize("running", [True, False])
def test_voided_run_that_a_worker_lists_marks_its_job_as_begun(running):
    table = make_table("j")
    run = assign(table, "j")
    table.void(run, "lease_lapsed", NOW)
    table.take_dirty(NOW)
    if running:
        assert poll(table, running=[run.key]) == [run.key]
    else:
        poll(table, ended=[(*run.key, RunEnd.LEASE_EXPIRED)])
    assert stored_statuses(table, NOW + 9) == {"j": "RUNNING"}
