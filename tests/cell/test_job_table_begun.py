"""When a job counts as begun, and when that is stored."""

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
LIFE = 7
NOW = 100.0


def a_book(*ids, state=None, count=2):
    book = JobTable(CONFIG)
    for job_id in ids:
        step = StepSpec(count, Resources(1000, 100, 0), 1.0)
        accepted = AcceptedJob(job_id, "a", QUEUE, NOW, JobSpec("x", (step,)))
        book.add(accepted, state, NOW, NOW)
    return book


def assign(book, job_id):
    """Assign the first idle task of a job, and store that."""
    step = book.jobs[job_id].steps[0, 0]
    task = next(iter(step.idle.values()))
    (run,) = book.plan(step, [(task, "w", LIFE)], NOW)
    run.stored = True
    return run


def stored(book, now):
    """Return what a round at a moment stores: the status of each job."""
    return {
        job.id: JobStatus(job.to_state().status).name for job in book.take_dirty(now)
    }


def look(book, running=(), ended=(), sent_at=NOW):
    rows = tuple(RunningRow(task, run, "", 0) for task, run in running)
    ends = tuple(EndedRow(i + 1, *row, "") for i, row in enumerate(ended))
    seen = PollReply(LIFE, 1.0, rows, ends)
    return book.apply_poll_reply("w", seen, sent_at, NOW, NOW)


def test_an_assigned_job_is_stored_as_queued_and_so_it_stays_when_its_run_is_void():
    book = a_book("j")
    run = assign(book, "j")
    assert stored(book, NOW) == {"j": "QUEUED"}
    book.void(run, "ticket", NOW)
    assert stored(book, NOW + 9) == {"j": "QUEUED"}


def test_a_begin_is_stored_with_the_next_state_of_its_job_and_costs_no_record_more():
    book = a_book("j")
    run = assign(book, "j")
    book.take_dirty(NOW)
    book.mark_begun(run.task.step.job, NOW)
    assert stored(book, NOW) == {}
    assign(book, "j")
    assert stored(book, NOW) == {"j": "RUNNING"}
    assert stored(book, NOW + 9) == {}


def two_begun():
    """Return a book of two jobs, one of which began 0.2 s after the other."""
    book = a_book("j", "k")
    for job_id, at in (("j", NOW), ("k", NOW + 0.2)):
        run = assign(book, job_id)
        book.take_dirty(at)
        book.mark_begun(run.task.step.job, at)
    return book


def test_begins_with_nothing_to_ride_along_with_are_stored_together_and_in_time():
    book = two_begun()
    assert stored(book, NOW + BEGUN_STORE_DELAY_S - 0.01) == {}
    assert stored(book, NOW + BEGUN_STORE_DELAY_S) == {"j": "RUNNING", "k": "RUNNING"}
    assert stored(book, NOW + 9) == {}


def test_one_job_that_rode_along_does_not_hurry_the_others():
    book = two_begun()
    assign(book, "j")
    assert stored(book, NOW + 0.2) == {"j": "RUNNING"}
    assert stored(book, NOW + 0.2 + BEGUN_STORE_DELAY_S - 0.01) == {}
    assert stored(book, NOW + 0.2 + BEGUN_STORE_DELAY_S) == {"k": "RUNNING"}


def test_a_job_that_began_is_running_for_good_though_its_run_is_lost():
    book = a_book("j")
    run = assign(book, "j")
    book.mark_begun(run.task.step.job, NOW)
    book.void(run, "lease_lapsed", NOW)
    assert stored(book, NOW) == {"j": "RUNNING"}
    again = assign(book, "j")
    book.void(again, "ticket", NOW)
    assert stored(book, NOW) == {"j": "RUNNING"}


def test_a_begin_that_is_heard_of_late_does_not_bring_an_ended_job_back():
    book = a_book("j")
    run = assign(book, "j")
    job = run.task.step.job
    book.cancel("j", NOW)
    book.mark_begun(job, NOW)
    assert stored(book, NOW) == {"j": "CANCELLED"}
    assert stored(book, NOW + 9) == {}


@pytest.mark.parametrize("end", RunEnd)
def test_an_end_that_a_worker_lists_tells_that_the_run_was_begun(end):
    book = a_book("j")
    run = assign(book, "j")
    book.take_dirty(NOW)
    look(book, ended=[(*run.key, end)])
    assert stored(book, NOW) == {"j": "RUNNING"}


def test_a_look_that_does_not_list_a_run_leaves_its_job_queued():
    book = a_book("j")
    run = assign(book, "j")
    run.absence_conclusive_after = NOW
    look(book, sent_at=NOW + 1)
    assert run not in run.task.runs
    assert stored(book, NOW + 9) == {"j": "QUEUED"}


def test_a_successor_knows_of_a_begin_only_from_a_look_that_lists_the_run():
    before = a_book("j")
    run = assign(before, "j")
    state = before.jobs["j"].to_state()
    book = a_book("j", state=state)
    assert book.jobs["j"].status is JobStatus.QUEUED
    assert stored(book, NOW + 9) == {}
    look(book, running=[run.key])
    assert stored(book, NOW + 9) == {"j": "RUNNING"}


@pytest.mark.parametrize("going_on", [True, False])
def test_a_run_that_was_given_up_and_is_there_after_all_was_begun(going_on):
    book = a_book("j")
    run = assign(book, "j")
    book.void(run, "lease_lapsed", NOW)
    book.take_dirty(NOW)
    if going_on:
        assert look(book, running=[run.key]) == [run.key]
    else:
        look(book, ended=[(*run.key, RunEnd.LEASE_EXPIRED)])
    assert stored(book, NOW + 9) == {"j": "RUNNING"}
