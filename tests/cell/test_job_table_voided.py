"""Ends of runs that were voided although their worker executed them."""

import pytest

from firhook.cell import EndedRow, JobStatus, RunEnd
from tests.cell.test_job_table_begun import NOW, assign, make_table, poll


def voided_run(table):
    run = assign(table, "j")
    table.void(run, "lease_lapsed", NOW)
    return run


def test_task_whose_voided_run_ended_as_done_does_not_start_again():
    """The end was acknowledged, and the task started after it."""
    table = make_table("j", count=2)
    run = voided_run(table)
    poll(table, ended=[(*run.key, RunEnd.DONE)])
    (state,) = [job.to_state() for job in table.take_dirty(NOW)]
    assert state.steps[0].tasks[run.task.index].done
    assert list(table.jobs["j"].steps[0, 0].idle) == [1 - run.task.index]


def test_job_is_complete_when_its_last_voided_run_ended_as_done():
    table = make_table("j", count=1)
    run = voided_run(table)
    poll(table, ended=[(*run.key, RunEnd.DONE)])
    (job,) = table.take_dirty(NOW)
    assert job.status is JobStatus.COMPLETED
    assert not table.jobs
    assert not table.open_steps


def test_next_run_is_stopped_when_a_voided_one_ended_as_done():
    table = make_table("j", count=1)
    first = voided_run(table)
    second = assign(table, "j")
    assert second.number > first.number
    poll(table, running=[second.key], ended=[(*first.key, RunEnd.DONE)])
    assert second.stop_reason == "copy_done"
    assert first.task.done


def test_new_lead_completes_a_task_by_the_end_of_a_run_that_was_voided_before():
    before = make_table("j", count=2)
    run = voided_run(before)
    table = make_table("j", state=before.jobs["j"].to_state(), count=2)
    poll(table, ended=[(*run.key, RunEnd.DONE)])
    assert table.find_task(run.task.name).done


@pytest.mark.parametrize("end", [end for end in RunEnd if end is not RunEnd.DONE])
def test_task_whose_voided_run_did_not_end_as_done_starts_again(end):
    table = make_table("j", count=1)
    run = voided_run(table)
    poll(table, ended=[(*run.key, end)])
    assert not run.task.done
    assert table.open_steps


def test_end_listed_again_changes_nothing():
    table = make_table("j", count=2)
    run = voided_run(table)
    poll(table, ended=[(*run.key, RunEnd.DONE)])
    table.take_dirty(NOW)
    poll(table, ended=[(*run.key, RunEnd.DONE)])
    assert table.take_dirty(NOW) == []
    assert table.jobs["j"].steps[0, 0].remaining == 1


def test_end_of_a_run_that_the_table_never_assigned_changes_nothing():
    table = make_table("j", count=1)
    poll(table, ended=[("j.0.0.0", 1, RunEnd.DONE)])
    assert not table.find_task("j.0.0.0").done


def test_end_that_was_held_for_a_job_completes_the_task_of_a_voided_run():
    """The worker has deleted the end, and no other reply will list it."""
    table = make_table("j", count=2)
    run = voided_run(table)
    table.apply_held_end(EndedRow(1, *run.key, RunEnd.DONE, ""), NOW, NOW)
    assert run.task.done
    assert run.task.index not in table.jobs["j"].steps[0, 0].idle
