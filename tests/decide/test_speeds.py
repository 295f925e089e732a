"""Speeds of workers, and runs that stand still."""

import random

from firhook.cell import Run, RunEnd
from firhook.decide.speeds import SpeedBook
from firhook.decide.stalls import STALL_S, standing_still
from firhook.decide.worker_health import FAILURES_IN_A_ROW, FIRST_REST_S, WorkerHealth


class Spec:
    long_running = False
    estimate_s = 1.0


class FakeStep:
    spec = Spec

    @staticmethod
    def start_checkpoint(task):
        return task.checkpoint


class FakeTask:
    step = FakeStep
    checkpoint = ""


class ResumedTask(FakeTask):
    checkpoint = "saved"


def a_run(first, percent, at, task=FakeTask):
    run = Run(task, 1, "w", 1, 0.0)
    run.confirmed = True
    run.first_percent, run.percent, run.percent_at = first, percent, at
    return run


def test_slow_workers_are_told_from_others_by_tasks_of_the_same_steps():
    rng = random.Random(1)
    slow = {f"w{i}" for i in range(7)}
    book = SpeedBook()
    for step in range(400):
        base = rng.lognormvariate(0, 0.9)
        for worker in rng.sample([f"w{i}" for i in range(24)], 2):
            factor = 1.3 if worker in slow else 1.0
            book.note(str(step), worker, base * factor * rng.lognormvariate(0, 0.15))
        book.close(str(step))
    found = {f"w{i}" for i in range(24) if book.slow(f"w{i}")}
    assert len(found & slow) >= 6
    assert len(found - slow) <= 2


def test_a_worker_on_which_nothing_moves_has_its_runs_moved():
    """A worker takes work and answers as if all were well, but nothing moves.

    Its tasks would never end; a user sees a job that runs for ever.
    """
    still = [a_run(0, 50, 1.0), a_run(0, 50, 1.0)]
    assert standing_still(still, 1.0 + STALL_S / 2) == []
    assert standing_still(still, 1.5 + STALL_S) == still


def test_short_work_that_never_moved_is_moved_before_it_is_worthless():
    """A ticket of 0.6 s is started on a worker that stands still.

    Left there for as long as work that moved before, it is worth nothing any more
    when it begins anew.
    """
    fresh = [a_run(0, 0, 0.4)]
    assert standing_still(fresh, 0.7) == []
    assert standing_still(fresh, 1.0) == fresh
    resumed = [a_run(0, 0, 0.4, ResumedTask)]
    assert standing_still(resumed, 1.4) == []
    assert standing_still(resumed, 1.7) == resumed


def test_what_moved_before_does_not_hide_that_a_worker_stands_still_now():
    before, fresh = a_run(0, 60, 1.0), a_run(0, 0, 1.5)
    fresh.started_at = 1.2
    assert standing_still([before, fresh], 2.1) == []
    assert standing_still([before, fresh], 2.4) == [fresh]


def test_a_slow_run_beside_one_that_moves_is_left_alone():
    runs = [a_run(0, 0, 1.0), a_run(0, 50, 4.0)]
    assert standing_still(runs, 4.2) == []


def test_a_worker_that_fails_several_jobs_rests_and_is_then_tried_with_one():
    """A worker fails all that it starts, within milliseconds.

    It always has room, so that it would draw most of what waits, and each task
    has a few attempts only.
    """
    health = WorkerHealth()
    for job in range(FAILURES_IN_A_ROW):
        health.note(str(job), RunEnd.FAILED, 10.0)
    assert not health.accepts(0, 10.1)
    assert health.accepts(0, 10.0 + FIRST_REST_S)
    assert not health.accepts(1, 10.0 + FIRST_REST_S)
    health.note("other", RunEnd.DONE, 13.0)
    assert health.accepts(5, 13.0)


def test_a_job_that_can_never_be_done_gives_no_worker_a_rest():
    health = WorkerHealth()
    for _ in range(10):
        health.note("hopeless", RunEnd.FAILED, 10.0)
    assert health.accepts(3, 10.0)
